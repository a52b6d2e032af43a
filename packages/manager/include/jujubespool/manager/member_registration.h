// Keeps the entry of this process in the list of members: writes it, and writes it again whenever something else stands there.
//
//     member_registration registration(store, timers, image, wallClock, log);
//     registration.onEntry(entry);          // for each entry of this process's node
//     registration.onCaughtUp(now);         // after all entries available at the time
//
// A write without an answer may be carried out seconds later, when another process has already started under the same node name. Each
// start therefore has a number that is higher than that of every start which has been seen under the name, so that readers know which of
// two entries belongs to the later start, and the process whose entry was replaced writes it again.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/timer_service.h>
#include <jujubespool/wire/jujubespool.pb.h>

namespace jujubespool {

class member_registration
{
public:
    // `own` is the entry without the number of the start, which is the wall-clock time unless a higher one has been seen.
    member_registration(feed_store &store, timer_service &timers, wire::member_image own, std::function<wall_ms()> wallClock,
                        event_log &log);

    // An entry of this process's node, as it stands in the list now; empty if it was removed or cannot be read.
    void onEntry(const std::optional<wire::member_image> &image);
    // All entries available at the time have been read. Writes the entry of this process if another one is listed.
    void onCaughtUp(instant now);
    // Records that this start has ended, and calls back once that was answered or has failed. The owner ends the entry of a process that
    // could not record it.
    void end(std::function<void(instant now)> done);
    // From now on nothing else is written, because the process is about to end.
    void stop()
    {
        m_stopped = true;
    }

private:
    bool isListed() const;
    void write();
    void onWritten(const ledger_append_result &outcome);

    feed_store &m_store;
    timer_service &m_timers;
    wire::member_image m_own;
    std::function<wall_ms()> m_wallClock;
    event_log &m_log;
    // The entry that the list has shown last.
    std::optional<wire::member_image> m_listed;
    // Lowest number that is higher than those of all other starts which have been seen.
    std::uint64_t m_leastNumber = 0;
    // An entry is being written, or was written so recently that the list need not show it yet.
    bool m_writing = false;
    bool m_stopped = false;
    lifetime m_lifetime;
};

} // namespace jujubespool

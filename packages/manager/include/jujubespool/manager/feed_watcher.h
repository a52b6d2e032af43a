// Watches one feed of the store: reads the newest entry of each key first, then every change.
//
//     feed_watcher watcher(store, timers, feed::operators, timing, log);
//     watcher.start([](const ledger_entry &entry, instant now) { ... }, [](instant now) { ... });
//
// If the store no longer has the changes, the newest entries are read again, and keys that were removed meanwhile
// are reported as entries without a value.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/timer_service.h>
#include <set>

namespace jujubespool {

struct poll_timing
{
    // Maximum time for which the store may hold a read until the feed changes.
    milliseconds longPollWait{ 0 };
    // Delay between two reads.
    milliseconds pollInterval{ 0 };
};

class feed_watcher
{
public:
    using entry_callback = std::function<void(const ledger_entry &entry, instant now)>;
    feed_watcher(feed_store &store, timer_service &timers, feed which, poll_timing timing, event_log &log);

    // Calls `entry` for each entry, and `onCaughtUp` each time all entries available at the time have been read.
    void start(entry_callback entry, std::function<void(instant now)> onCaughtUp);
    void stop();
    bool caughtUp() const
    {
        return m_caughtUp;
    }

private:
    void readNewest(const std::string &after);
    // Handles the page that begins after this key, the first page if it is empty.
    void onNewest(const feed_page &page, const std::string &after, instant now);
    void readNext();
    void onRead(const feed_page &page, instant now);
    void logAvailability(const feed_page &page);

    feed_store &m_store;
    timer_service &m_timers;
    feed m_which;
    poll_timing m_timing;
    event_log &m_log;
    entry_callback m_entry;
    std::function<void(instant now)> m_onCaughtUp;
    std::uint64_t m_offset = 0;
    bool m_caughtUp = false;
    bool m_stopped = false;
    bool m_available = true;
    std::set<std::string> m_keys;
    std::set<std::string> m_keysSeen;
    lifetime m_lifetime;
};

} // namespace jujubespool

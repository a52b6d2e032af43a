// The cordons that waves of maintenance lay on workers, so that their runs end and their hosts become empty.
//
//     host_cordons cordons(model, log);
//     cordons.hold(host, target, wave, now);       // begins a cordon or renews it
//     if (cordons.endStep(now)) { ... }            // workers that are open again can get tasks
//
// Every cordon has an end. It lapses unless it is renewed, so nothing stays closed because a wave was completed, changed or is not
// looked at any more. It is given up after MAX_CORDON_TIME, and as soon as accepted work waits for the worker that finds no room on the
// open ones. After it was given up, the host stays open for a while, longer each time, before the next cordon.
#pragma once

#include <jujubespool/jobs/host_demand.h>
#include <map>
#include <string>

namespace jujubespool {

// Longest time for which a worker is closed to new tasks so that its host becomes empty.
constexpr milliseconds MAX_CORDON_TIME{ 8000 };

// Why a cordon ended.
enum class cordon_end {
    // The host is empty and its maintenance is ordered.
    emptied,
    // No wave needs it any more, or the host cannot be emptied at present.
    not_renewed,
    // The host was not empty in time.
    timed_out,
    // Accepted work waits that only the closed workers have room for.
    work_waits
};

template <> struct enum_names<cordon_end>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "emptied", "not-renewed", "timed-out", "work-waits" };
};

class host_cordons
{
public:
    host_cordons(fleet_model &model, event_log &log);

    // False for some time after a cordon of the host has been given up.
    bool mayBegin(const std::string &host, instant now) const;
    bool isHeld(const std::string &host) const
    {
        return m_cordons.count(host) > 0;
    }
    // Closes the worker of the host to new tasks until shortly after the next step.
    void hold(const std::string &host, worker &target, std::uint64_t wave, instant now);
    // The host is empty and its maintenance is ordered. Does nothing if the host has no cordon.
    void endEmptied(const std::string &host, instant now);
    // Lets the host have no cordon for some time, which is longer each time.
    void pause(const std::string &host, instant now);
    // The host is being maintained, so its next cordon is one for another wave.
    void forgetPause(const std::string &host)
    {
        m_pauses.erase(host);
    }
    // Ends the cordons that were not renewed since the last step, and those that have to be given up. Returns true when a worker was
    // opened.
    bool endStep(instant now);

private:
    struct cordon
    {
        std::string worker;
        std::uint64_t wave = 0;
        instant since;
        bool renewed = true;
    };
    struct open_time
    {
        instant until;
        milliseconds length{ 0 };
    };
    using cordon_position = std::map<std::string, cordon>::iterator;
    cordon_position end(cordon_position position, cordon_end why, instant now);
    // Opens the workers that accepted work needs. Returns true if there were any.
    bool openForWaitingWork(instant now);
    // The closed workers of the pool that hold the steps, as far as the open ones do not.
    std::set<std::string> workersNeeded(const std::string &pool, const std::vector<waiting_step> &steps, instant now) const;

    fleet_model &m_model;
    event_log &m_log;
    // By host.
    std::map<std::string, cordon> m_cordons;
    std::map<std::string, open_time> m_pauses;
    waiting_step_finder m_waitingSteps;
    instant m_nextSearchAt;
};

} // namespace jujubespool

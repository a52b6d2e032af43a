// Tells whether this process has enough processor time: how late its event loop is, which share of each second its callbacks take, and
// how long work waits inside it.
//
//     load_monitor load(log, processMetrics, TICK_INTERVAL);
//     load.tick(now, loop.busyTime(), work);          // at each tick of the event loop; `work` of the owner, or null
//     if (load.lag() > bound) { ... }
//
// Once a second it sets the gauges, and writes a line if this process owns the jobs or a bound has been passed.
#pragma once

#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/manager/event_logger.h>
#include <optional>

namespace jujubespool {

// What is compared with a bound each second.
enum class load_signal {
    // How late a tick of the event loop was.
    loop_lag,
    // Share of the time that the callbacks of the event loop took. On a host that gives this process a part of a core, they take longer.
    busy_share,
    // From a job's arrival at the owner until the owner answers that it is recorded.
    accept_wait,
    // From the first change that calls for scheduling until the scheduling pass.
    pass_wait,
    // From the placement of a task until its start order is sent: the time of the record.
    record_wait
};

template <> struct enum_names<load_signal>
{
    static constexpr std::array<std::string_view, 5> NAMES{ "loop_lag", "busy_share", "accept_wait", "pass_wait", "record_wait" };
};

class load_monitor
{
public:
    load_monitor(event_logger &log, metrics_registry &processMetrics, milliseconds tickInterval);

    // `busyTime`: time spent in callbacks since the start. `work`: what its decisions have examined since then; null if it doesn't
    // own the jobs.
    void tick(instant now, duration busyTime, const owner_work *work);
    // How late the latest tick was.
    duration lag() const
    {
        return m_lag;
    }

private:
    struct second_start
    {
        instant at;
        duration busyTime{ 0 };
        owner_work work;
    };
    void completeSecond(instant now, duration busyTime, const owner_work *work);

    event_logger &m_log;
    metrics_registry &m_metrics;
    milliseconds m_tickInterval;
    std::optional<instant> m_lastTick;
    duration m_lag{ 0 };
    duration m_longestLag{ 0 };
    second_start m_second;
};

} // namespace jujubespool

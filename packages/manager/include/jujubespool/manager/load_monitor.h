// Tells whether this process has enough processor time: how late its event loop is, how much processor time it uses each second, and
// how long work waits inside it.
//
//     load_monitor load(log, processMetrics, TICK_INTERVAL, cores);
//     load.tick(now, loop.processorTime(), work);          // at each tick of the event loop; `work` of the owner, or null
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
    // Processor time used, as a share of what the host gives this process.
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
    // `cores`: processor time that the host gives this process, in seconds per second.
    load_monitor(event_logger &log, metrics_registry &processMetrics, milliseconds tickInterval, double cores);

    // `processorTime`: what this process has used since its start. `work`: what its decisions have examined since then; null if it doesn't
    // own the jobs.
    void tick(instant now, duration processorTime, const owner_work *work);
    // How late the latest tick was.
    duration lag() const
    {
        return m_lag;
    }

private:
    struct second_start
    {
        instant at;
        duration processorTime{ 0 };
        owner_work work;
    };
    void completeSecond(instant now, duration processorTime, const owner_work *work);

    event_logger &m_log;
    metrics_registry &m_metrics;
    milliseconds m_tickInterval;
    double m_cores;
    std::optional<instant> m_lastTick;
    duration m_lag{ 0 };
    duration m_longestLag{ 0 };
    second_start m_second;
};

} // namespace jujubespool

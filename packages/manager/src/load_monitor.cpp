#include <jujubespool/manager/load_monitor.h>

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubespool {

namespace {

constexpr seconds REPORT_INTERVAL{ 1 };
// A tick that is later than this delays heartbeats and the renewal of leases noticeably.
constexpr milliseconds MAX_LOOP_LAG{ 100 };
// Above this share, what arrives at the same moment already waits.
constexpr double MAX_BUSY_SHARE = 0.8;
// Each of the waits adds to the time to the first start, of which callers expect well under a second.
constexpr milliseconds MAX_WAIT{ 250 };

double secondsOf(duration time)
{
    return static_cast<double>(time.count()) / 1e6;
}

// A new owner counts from 0.
owner_work workSince(const owner_work &before, const owner_work &now)
{
    if (now.schedulingPasses < before.schedulingPasses) {
        return now;
    }
    return { now.schedulingPasses - before.schedulingPasses, now.tasksPlaced - before.tasksPlaced,
             now.workersExamined - before.workersExamined, now.jobsExamined - before.jobsExamined };
}

std::string millisecondsText(duration time)
{
    return std::to_string(duration_cast<milliseconds>(time).count());
}

} // namespace

load_monitor::load_monitor(event_logger &log, metrics_registry &processMetrics, milliseconds tickInterval)
    : m_log(log)
    , m_metrics(processMetrics)
    , m_tickInterval(tickInterval)
{
}

void load_monitor::tick(instant now, duration busyTime, const owner_work *work)
{
    if (!m_lastTick) {
        m_second = { now, busyTime, work == nullptr ? owner_work() : *work };
    } else {
        m_lag = std::max(duration(0), now - *m_lastTick - m_tickInterval);
        m_longestLag = std::max(m_longestLag, m_lag);
        m_log.observe(nameOf(load_signal::loop_lag), "", m_lag);
    }
    m_lastTick = now;
    if (now - m_second.at >= REPORT_INTERVAL) {
        completeSecond(now, busyTime, work);
    }
}

void load_monitor::completeSecond(instant now, duration busyTime, const owner_work *work)
{
    const double busyShare = secondsOf(busyTime - m_second.busyTime) / secondsOf(now - m_second.at);
    const duration longestLag = std::exchange(m_longestLag, duration(0));
    const duration accept = m_log.takeLongest(nameOf(load_signal::accept_wait));
    const duration pass = m_log.takeLongest(nameOf(load_signal::pass_wait));
    const duration record = m_log.takeLongest(nameOf(load_signal::record_wait));
    const owner_work done = work == nullptr ? owner_work() : workSince(m_second.work, *work);
    m_second = { now, busyTime, work == nullptr ? owner_work() : *work };
    m_metrics.setGauge("busy_share", busyShare);
    m_metrics.setGauge("loop_lag_longest_seconds", secondsOf(longestLag));
    std::string passed;
    const auto addIf = [&passed](bool over, load_signal signal) {
        if (over) {
            passed += passed.empty() ? "" : ",";
            passed += nameOf(signal);
        }
    };
    addIf(longestLag > MAX_LOOP_LAG, load_signal::loop_lag);
    addIf(busyShare > MAX_BUSY_SHARE, load_signal::busy_share);
    addIf(accept > MAX_WAIT, load_signal::accept_wait);
    addIf(pass > MAX_WAIT, load_signal::pass_wait);
    addIf(record > MAX_WAIT, load_signal::record_wait);
    if (!passed.empty()) {
        m_log.count("load_bounds_passed_total", passed);
    }
    if (!passed.empty() || work != nullptr) {
        m_log.write("load",
                    { { "owns", work == nullptr ? "no" : "yes" },
                      { "busy_share", fmt::format("{:.2f}", busyShare) },
                      { "loop_lag_ms", millisecondsText(longestLag) },
                      { "accept_wait_ms", millisecondsText(accept) },
                      { "pass_wait_ms", millisecondsText(pass) },
                      { "record_wait_ms", millisecondsText(record) },
                      { "passes", std::to_string(done.schedulingPasses) },
                      { "placed", std::to_string(done.tasksPlaced) },
                      { "workers_examined", std::to_string(done.workersExamined) },
                      { "jobs_examined", std::to_string(done.jobsExamined) },
                      { "passed", passed.empty() ? "none" : passed } });
    }
}

} // namespace jujubespool

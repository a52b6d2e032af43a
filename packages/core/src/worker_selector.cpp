#include <jujubespool/core/worker_selector.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Weight of a new sample in the moving average of the latency.
constexpr double LATENCY_SMOOTHING = 0.2;
// Lowest latency that a worker is assumed to have after a failure.
constexpr double INITIAL_LATENCY_US = 1000;

bool contains(const std::vector<std::string> &items, const std::string &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

worker_selector::worker_selector(std::uint64_t seed)
    : m_random(seed)
{
}

void worker_selector::setWorkers(const std::vector<std::string> &workers)
{
    std::map<std::string, worker_record> next;
    for (const std::string &name : workers) {
        const auto found = m_workers.find(name);
        next[name] = found == m_workers.end() ? worker_record{} : found->second;
    }
    m_workers = std::move(next);
}

bool worker_selector::available(worker_record &worker, instant now)
{
    if (worker.state == worker_health::ejected && now >= worker.ejectedUntil) {
        worker.state = worker_health::probing;
        worker.probesPassed = 0;
        worker.probeRunning = false;
    }
    return worker.state == worker_health::healthy || (worker.state == worker_health::probing && !worker.probeRunning);
}

double worker_selector::cost(const worker_record &worker) const
{
    return (worker.inFlight + 1) * std::max(worker.latencyUs, 1.0);
}

std::optional<std::string> worker_selector::pick(const std::vector<std::string> &candidates, const std::vector<std::string> &avoid,
                                                 instant now)
{
    std::vector<const std::string *> preferred;
    std::vector<const std::string *> fallback;
    for (const std::string &name : candidates) {
        const auto found = m_workers.find(name);
        if (found == m_workers.end() || !available(found->second, now)) {
            continue;
        }
        // A worker that is due for a probe takes precedence, because it might otherwise never be picked and return.
        if (found->second.state == worker_health::probing && !contains(avoid, name)) {
            return name;
        }
        (contains(avoid, name) ? fallback : preferred).push_back(&name);
    }
    const auto &eligible = preferred.empty() ? fallback : preferred;
    if (eligible.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, eligible.size() - 1);
    const std::string &first = *eligible[index(m_random)];
    const std::string &second = *eligible[index(m_random)];
    return cost(m_workers.at(first)) <= cost(m_workers.at(second)) ? first : second;
}

void worker_selector::onStart(const std::string &worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        ++found->second.inFlight;
        found->second.probeRunning = found->second.state == worker_health::probing;
    }
}

void worker_selector::onResult(const std::string &worker, const std::string &workload, attempt_result result, duration latency, instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    worker_record &record = found->second;
    record.inFlight -= record.inFlight > 0 ? 1 : 0;
    record.probeRunning = false;
    if (result == attempt_result::answered) {
        m_workloads.erase(workload);
        recordSuccess(record, latency);
        return;
    }
    if (!recordWorkloadFailure(workload, worker)) {
        recordFailure(record, result, now);
    }
}

void worker_selector::recordSuccess(worker_record &worker, duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    worker.latencyUs = worker.latencyUs == 0 ? sample : worker.latencyUs + LATENCY_SMOOTHING * (sample - worker.latencyUs);
    worker.failures = 0;
    worker.timeouts = 0;
    if (worker.state == worker_health::probing && ++worker.probesPassed >= PROBES_TO_RECOVER) {
        worker.state = worker_health::healthy;
        worker.ejections = 0;
    }
}

void worker_selector::recordFailure(worker_record &worker, attempt_result result, instant now)
{
    // A fast failure must not lower the worker's latency and so attract load.
    worker.latencyUs = std::max(worker.latencyUs, INITIAL_LATENCY_US);
    if (result == attempt_result::timed_out) {
        ++worker.timeouts;
    } else {
        ++worker.failures;
    }
    if (worker.state == worker_health::probing) {
        eject(worker, now);
        return;
    }
    const bool failsTooOften = worker.failures >= FAILURES_TO_EJECT || worker.timeouts >= TIMEOUTS_TO_EJECT;
    if (worker.state == worker_health::healthy && failsTooOften && mayEject()) {
        eject(worker, now);
    }
}

void worker_selector::eject(worker_record &worker, instant now)
{
    const int doublings = std::min(worker.ejections, 5);
    worker.state = worker_health::ejected;
    worker.ejectedUntil = now + std::min<duration>(MIN_EJECTION_TIME * (1 << doublings), MAX_EJECTION_TIME);
    ++worker.ejections;
}

bool worker_selector::mayEject() const
{
    const std::size_t out = ejected().size();
    return out + 1 <= std::max<std::size_t>(1, m_workers.size() * MAX_EJECTED_PERCENT / 100);
}

bool worker_selector::recordWorkloadFailure(const std::string &workload, const std::string &worker)
{
    workload_record &record = m_workloads[workload];
    if (!contains(record.failedOn, worker) && record.failedOn.size() < FAILED_WORKERS_PER_FAILING_WORKLOAD) {
        record.failedOn.push_back(worker);
        if (record.failedOn.size() == FAILED_WORKERS_PER_FAILING_WORKLOAD) {
            // The workload also caused the earlier failures, so they no longer count against the workers.
            for (const std::string &name : record.failedOn) {
                const auto found = m_workers.find(name);
                if (found != m_workers.end() && found->second.state == worker_health::healthy) {
                    found->second.failures = 0;
                }
            }
        }
    }
    return isWorkloadFailing(workload);
}

bool worker_selector::isWorkloadFailing(const std::string &workload) const
{
    const auto found = m_workloads.find(workload);
    return found != m_workloads.end() && found->second.failedOn.size() >= FAILED_WORKERS_PER_FAILING_WORKLOAD;
}

bool worker_selector::isEjected(const std::string &worker, instant now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.state == worker_health::ejected && now < found->second.ejectedUntil;
}

std::uint32_t worker_selector::inFlight(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? 0 : found->second.inFlight;
}

std::vector<std::string> worker_selector::ejected() const
{
    std::vector<std::string> names;
    for (const auto &[name, record] : m_workers) {
        if (record.state != worker_health::healthy) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace jujubespool

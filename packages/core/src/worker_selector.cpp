#include <jujubespool/core/worker_selector.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr double LATENCY_SMOOTHING = 0.2;
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
    if (worker.state == health::ejected && now >= worker.until) {
        worker.state = health::probing;
        worker.probesPassed = 0;
        worker.probeRunning = false;
    }
    return worker.state == health::healthy || (worker.state == health::probing && !worker.probeRunning);
}

double worker_selector::cost(const worker_record &worker) const
{
    return (worker.inFlight + 1) * std::max(worker.latencyUs, 1.0);
}

std::optional<std::string> worker_selector::pick(const std::vector<std::string> &candidates, const std::vector<std::string> &avoid,
                                                 instant now)
{
    std::vector<const std::string *> open;
    std::vector<const std::string *> avoided;
    for (const std::string &name : candidates) {
        const auto found = m_workers.find(name);
        if (found == m_workers.end() || !available(found->second, now)) {
            continue;
        }
        // A worker that is due for a probe gets it first, or it would never return.
        if (found->second.state == health::probing && !contains(avoid, name)) {
            return name;
        }
        (contains(avoid, name) ? avoided : open).push_back(&name);
    }
    const auto &choice = open.empty() ? avoided : open;
    if (choice.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, choice.size() - 1);
    const std::string &first = *choice[index(m_random)];
    const std::string &second = *choice[index(m_random)];
    return cost(m_workers.at(first)) <= cost(m_workers.at(second)) ? first : second;
}

void worker_selector::onStart(const std::string &worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        ++found->second.inFlight;
        found->second.probeRunning = found->second.state == health::probing;
    }
}

void worker_selector::onResult(const std::string &worker, const std::string &source, attempt_result result, duration latency, instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    worker_record &record = found->second;
    record.inFlight -= record.inFlight > 0 ? 1 : 0;
    record.probeRunning = false;
    if (result == attempt_result::answered) {
        m_sources.erase(source);
        noteSuccess(record, latency);
        return;
    }
    if (!blameSource(source, worker)) {
        noteFailure(record, result, now);
    }
}

void worker_selector::noteSuccess(worker_record &worker, duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    worker.latencyUs = worker.latencyUs == 0 ? sample : worker.latencyUs + LATENCY_SMOOTHING * (sample - worker.latencyUs);
    worker.failures = 0;
    worker.silent = 0;
    if (worker.state == health::probing && ++worker.probesPassed >= PROBES_TO_RECOVER) {
        worker.state = health::healthy;
        worker.ejections = 0;
    }
}

void worker_selector::noteFailure(worker_record &worker, attempt_result result, instant now)
{
    // A quick failure must not make the worker look fast.
    worker.latencyUs = std::max(worker.latencyUs, INITIAL_LATENCY_US);
    if (result == attempt_result::timed_out) {
        ++worker.silent;
    } else {
        ++worker.failures;
    }
    if (worker.state == health::probing) {
        eject(worker, now);
        return;
    }
    const bool condemned = worker.failures >= FAILURES_TO_EJECT || worker.silent >= TIMEOUTS_TO_EJECT;
    if (worker.state == health::healthy && condemned && mayEject()) {
        eject(worker, now);
    }
}

void worker_selector::eject(worker_record &worker, instant now)
{
    const int doublings = std::min(worker.ejections, 5);
    worker.state = health::ejected;
    worker.until = now + std::min<duration>(MIN_EJECTION_TIME * (1 << doublings), MAX_EJECTION_TIME);
    ++worker.ejections;
}

bool worker_selector::mayEject() const
{
    const std::size_t out = ejected().size();
    return out + 1 <= std::max<std::size_t>(1, m_workers.size() * MAX_EJECTED_PERCENT / 100);
}

bool worker_selector::blameSource(const std::string &source, const std::string &worker)
{
    source_record &record = m_sources[source];
    if (!contains(record.failedOn, worker) && record.failedOn.size() < FAILED_WORKERS_PER_FAILING_WORKLOAD) {
        record.failedOn.push_back(worker);
        if (record.failedOn.size() == FAILED_WORKERS_PER_FAILING_WORKLOAD) {
            // The failures before this one were the source's as well.
            for (const std::string &name : record.failedOn) {
                const auto found = m_workers.find(name);
                if (found != m_workers.end() && found->second.state == health::healthy) {
                    found->second.failures = 0;
                }
            }
        }
    }
    return isWorkloadFailing(source);
}

bool worker_selector::isWorkloadFailing(const std::string &source) const
{
    const auto found = m_sources.find(source);
    return found != m_sources.end() && found->second.failedOn.size() >= FAILED_WORKERS_PER_FAILING_WORKLOAD;
}

bool worker_selector::isEjected(const std::string &worker, instant now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.state == health::ejected && now < found->second.until;
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
        if (record.state != health::healthy) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace jujubespool

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/worker_registry.h>

#include <algorithm>

namespace jujubespool {

namespace {

// A single failing job is not enough, because a job that cannot succeed fails on every worker.
constexpr std::size_t FAILED_JOBS_BEFORE_SUSPICION = 2;

// CPU that the worker adds to what its pool can use, in thousandths of a core.
std::int64_t usableCpuMillis(const worker &entry)
{
    return entry.listed && !entry.evacuated ? entry.report.capacity.cpuMillis : 0;
}

// The resources of the run that count against the worker's capacity.
resources countedResources(const placed_run &run)
{
    resources need = run.need;
    if (run.bestEffort) {
        need.cpuMillis = 0;
    }
    return need;
}

} // namespace

bool worker::isSuspectedToFailRuns() const
{
    std::set<job_id> jobs;
    for (const task_key &task : failedTasks) {
        jobs.insert(task.job);
    }
    return jobs.size() >= FAILED_JOBS_BEFORE_SUSPICION;
}

bool worker::mayGetTasks(instant now) const
{
    return unansweredPolls == 0 && now >= avoidUntil && (now >= nextTrialAt || !isSuspectedToFailRuns());
}

bool worker::hasLabel(const std::string &label) const
{
    return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

std::string worker::rack() const
{
    // The first label is the kind of the worker, the second is its rack.
    return report.labels.size() > 1 ? report.labels[1] : std::string();
}

resources worker::freeCapacity() const
{
    resources free = report.capacity;
    free -= used;
    return free;
}

int worker::countTasks(const job_id &job, int occurrence, int step) const
{
    int count = 0;
    for (auto entry = runs.lower_bound({ job, occurrence, step, 0 }); entry != runs.end(); ++entry) {
        if (entry->first.job != job || entry->first.occurrence != occurrence || entry->first.step != step) {
            break;
        }
        ++count;
    }
    return count;
}

void worker::place(const task_key &key, const placed_run &run)
{
    remove(key);
    runs.emplace(key, run);
    used += countedResources(run);
}

void worker::remove(const task_key &key)
{
    const auto found = runs.find(key);
    if (found != runs.end()) {
        used -= countedResources(found->second);
        runs.erase(found);
    }
}

void worker_registry::update(const worker_report &report, instant now)
{
    const auto found = m_workers.find(report.id);
    if (found != m_workers.end() && found->second.report.startTimeMs > report.startTimeMs) {
        // A delayed report of an earlier incarnation.
        return;
    }
    worker &entry = m_workers[report.id];
    const bool isNew = entry.report.id.empty();
    if (!isNew) {
        removeFromPool(entry);
    }
    entry.report = report;
    entry.evacuated = isEvacuated(report.dataCenter);
    entry.coldUntil = now + report.coldRemaining;
    entry.listed = true;
    entry.reportAwaited = false;
    addToPool(entry);
    if (isNew) {
        entry.nextPollAt = now;
    }
}

void worker_registry::addToPool(worker &entry)
{
    pool_members &pool = m_pools[entry.report.pool];
    const auto hasLowerId = [](const worker *left, const worker *right) {
        return left->report.id < right->report.id;
    };
    pool.workers.insert(std::lower_bound(pool.workers.begin(), pool.workers.end(), &entry, hasLowerId), &entry);
    pool.listedCpuMillis += usableCpuMillis(entry);
}

void worker_registry::removeFromPool(const worker &entry)
{
    const auto pool = m_pools.find(entry.report.pool);
    pool->second.listedCpuMillis -= usableCpuMillis(entry);
    std::erase(pool->second.workers, &entry);
    if (pool->second.workers.empty()) {
        m_pools.erase(pool);
    }
}

const std::vector<worker *> &worker_registry::inPool(const std::string &pool) const
{
    static const std::vector<worker *> NONE;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? NONE : found->second.workers;
}

std::int64_t worker_registry::listedCpuMillis(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.listedCpuMillis;
}

void worker_registry::replaceWith(const worker_incarnation &later, instant now)
{
    worker &entry = m_workers.at(later.id);
    removeFromPool(entry);
    worker next;
    next.report = entry.report;
    next.report.startTimeMs = later.startTimeMs;
    next.evacuated = entry.evacuated;
    next.reportAwaited = true;
    next.nextPollAt = now;
    next.lastResponseAt = now;
    entry = std::move(next);
    addToPool(entry);
}

void worker_registry::markUnlisted(const std::string &id)
{
    worker *entry = find(id);
    if (entry != nullptr) {
        removeFromPool(*entry);
        entry->listed = false;
        entry->reportAwaited = false;
        addToPool(*entry);
    }
}

bool worker_registry::setEvacuated(const std::string &dataCenter, bool evacuated)
{
    const bool changed = evacuated ? m_evacuated.insert(dataCenter).second : m_evacuated.erase(dataCenter) > 0;
    for (auto &[id, entry] : m_workers) {
        if (changed && entry.report.dataCenter == dataCenter) {
            removeFromPool(entry);
            entry.evacuated = evacuated;
            addToPool(entry);
        }
    }
    return changed;
}

void worker_registry::pruneUnlisted(instant now)
{
    for (auto position = m_workers.begin(); position != m_workers.end();) {
        const worker &entry = position->second;
        const bool removable = !entry.listed && !entry.reportAwaited && entry.runs.empty() && !entry.pollInFlight && now >= entry.leaseEnd;
        if (removable) {
            removeFromPool(entry);
        }
        position = removable ? m_workers.erase(position) : std::next(position);
    }
}

worker *worker_registry::find(const std::string &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

worker *worker_registry::find(const worker_incarnation &incarnation)
{
    worker *found = find(incarnation.id);
    return found != nullptr && found->incarnation() == incarnation ? found : nullptr;
}

worker_address addressOf(const worker &target)
{
    return { target.incarnation(), target.report.address, target.report.dataCenter };
}

} // namespace jujubespool

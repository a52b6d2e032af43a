#include <jujubespool/jobs/demand_index.h>

namespace jujubespool {

void demand_index::subtract(job &current, const job_load &load)
{
    if (load.pool != nullptr) {
        load.team->usedMillis -= load.usedMillis;
        load.team->waitingMillis -= load.waitingMillis;
        load.pool->waitingJobs.erase(&current);
    }
}

void demand_index::update(job &current, const queue_config *queue)
{
    const auto [found, isNew] = m_jobs.try_emplace(&current);
    job_load &load = found->second;
    subtract(current, load);
    int &pendingJobs = m_pendingJobs[current.request().queue];
    const bool wasPending = !isNew && load.pending;
    load.pending = load.pending && !current.hasStarted();
    pendingJobs += (load.pending ? 1 : 0) - (wasPending ? 1 : 0);
    load.queue = queue;
    load.pool = queue == nullptr ? nullptr : &m_pools[queue->pool];
    if (load.pool == nullptr) {
        return;
    }
    const job_demand &demand = current.demand();
    load.team = &load.pool->teams[current.request().team];
    load.usedMillis = demand.usedMillis;
    load.waitingMillis = demand.waitingMillis;
    load.team->usedMillis += load.usedMillis;
    load.team->waitingMillis += load.waitingMillis;
    if (demand.hasWaitingTasks) {
        load.pool->waitingJobs.insert(&current);
    }
}

void demand_index::remove(job &current)
{
    const auto found = m_jobs.find(&current);
    if (found == m_jobs.end()) {
        return;
    }
    subtract(current, found->second);
    m_pendingJobs[current.request().queue] -= found->second.pending ? 1 : 0;
    m_jobs.erase(found);
}

void demand_index::clear()
{
    m_pools.clear();
    m_jobs.clear();
    m_pendingJobs.clear();
}

int demand_index::pendingJobCount(const std::string &queue) const
{
    const auto found = m_pendingJobs.find(queue);
    return found == m_pendingJobs.end() ? 0 : found->second;
}

} // namespace jujubespool

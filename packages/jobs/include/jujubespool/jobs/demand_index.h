// Keeps what the active jobs need, by pool and team, and which jobs have waiting tasks, so that a scheduling pass looks at these alone.
//
//     demand_index demands;
//     demands.update(changedJob, queueOfTheJob);
//     for (auto &[name, pool] : demands.pools()) { ... pool.waitingJobs ... }
//
// fleet_model updates it with each job that has changed since it was last asked.
#pragma once

#include <jujubespool/jobs/fleet_config.h>
#include <unordered_map>
#include <unordered_set>

namespace jujubespool {

// CPU of a team in one pool, in thousandths of a core. See job_demand.
struct team_load
{
    std::int64_t usedMillis = 0;
    std::int64_t waitingMillis = 0;
};

struct pool_load
{
    std::map<std::string, team_load> teams;
    std::unordered_set<job *> waitingJobs;
};

// What one job contributes.
struct job_load
{
    const queue_config *queue = nullptr;
    pool_load *pool = nullptr;
    team_load *team = nullptr;
    std::int64_t usedMillis = 0;
    std::int64_t waitingMillis = 0;
    // No task of the job has started.
    bool pending = true;
};

class demand_index
{
public:
    // Takes over the present demand of an active job. A job of an unknown queue has no pool, and its tasks do not count.
    void update(job &current, const queue_config *queue);
    void remove(job &current);
    void clear();

    const std::map<std::string, pool_load> &pools() const
    {
        return m_pools;
    }
    // The job must have been updated.
    const job_load &loadOf(const job &current) const
    {
        return m_jobs.at(&current);
    }
    // Number of jobs in the queue of which no task has started.
    int pendingJobCount(const std::string &queue) const;

private:
    static void subtract(job &current, const job_load &load);

    std::map<std::string, pool_load> m_pools;
    std::unordered_map<const job *, job_load> m_jobs;
    std::unordered_map<std::string, int> m_pendingJobs;
};

} // namespace jujubespool

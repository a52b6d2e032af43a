// Everything that the owner of the jobs knows: jobs, workers, teams' use and the configuration.
//
//     fleet_model model(bounds);
//     model.place(key, worker, now);      // a waiting task is assigned and counted
//     model.applyEnd(key, run, end, checkpoint, now, wall);
//
// Each change keeps the parts consistent and marks the job as changed; job_manager writes changed jobs to
// the ledger. Nothing here talks to the outside.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/team_usage_tracker.h>
#include <memory>
#include <set>

namespace jujubespool {

// Bounds that the platform's settings give.
struct manager_bounds
{
    // Longest lease that a worker grants.
    milliseconds maxLease{ 6000 };
    milliseconds stopTime{ 400 };
    milliseconds maxGangWait{ 3000 };
    // How long a new owner of the hosts leaves them alone after the former one.
    milliseconds hostLease{ 3000 };
    // How long a task that is started counts as away, at most.
    milliseconds maxStartupTime{ 4500 };
    milliseconds moveTime{ 1500 };
    milliseconds maintenanceTime{ 2000 };
    // Moves and upkeeps a second that the platform takes from all processes together.
    double hostOrdersPerSecond = 64;
    // How long the state of an ended job stays readable.
    seconds statusRetention{ 120 };
};

// An owner without a record for this long may have been replaced, unless all its peers say that they have not: it
// starts nothing and renews no lease. Its successor waits that long too before it takes runs on workers that it
// cannot reach for lapsed.
constexpr milliseconds SELF_FENCE_TIMEOUT{ 2000 };

// A part of a worker clock's speed that it may lack against ours.
constexpr double MIN_WORKER_CLOCK_RATE = 0.98;

class fleet_model
{
public:
    explicit fleet_model(const manager_bounds &bounds);

    const manager_bounds &bounds() const
    {
        return m_bounds;
    }
    // Length of the leases that we ask for.
    milliseconds leaseLength() const;
    // Time after which a lease of that length has surely lapsed.
    duration leaseExpiryBound() const;

    void setConfig(std::shared_ptr<const fleet_config> config);
    const fleet_config &config() const
    {
        return *m_config;
    }
    bool configured() const
    {
        return m_config != nullptr;
    }
    // The queue as configured now or, if it was removed, as it last was.
    const queue_config *queueOf(const job &item) const;

    job *find(const std::string &id);
    job &add(job item);
    void remove(const std::string &id);
    const std::map<std::string, job> &jobs() const
    {
        return m_jobs;
    }
    // Jobs that have not ended.
    const std::set<std::string> &activeJobs() const
    {
        return m_live;
    }
    worker_registry &workers()
    {
        return m_workers;
    }
    const worker_registry &workers() const
    {
        return m_workers;
    }
    const team_usage_tracker &usage() const
    {
        return m_usage;
    }

    // Marks the job as changed.
    void markChanged(const std::string &id);
    // Jobs changed since the last call.
    std::set<std::string> takeChanged();
    // Jobs ended since the last call.
    std::vector<std::string> takeEnded();

    // Assigns a waiting task as its next run, or as the given run for members of a gang.
    int place(const task_key &key, worker &target, instant now, int run = 0);
    // Counts a task that the ledger says is assigned, after a take-over.
    void restorePlacement(const task_key &key, instant leaseEnd, instant now);
    // The run is certainly not at work any more and has not ended by itself.
    void release(const task_key &key);
    // Takes the end of a run into account. Returns false when it is not the task's current run there.
    bool applyEnd(const finished_run &finished, const std::string &workerId, wall_ms wall);
    // The task runs at its full speed on a worker that answers.
    bool isAtFullSpeed(const task_key &key);
    void endJob(job &item, job_state state, wall_ms wall);
    // A worker has begun another life or its leases have lapsed: its runs are gone.
    void releaseAll(const std::vector<task_key> &keys);

    static resources resourcesOf(const step_spec &step);

private:
    void unplace(const task_key &key, const task_progress &task);

    manager_bounds m_bounds;
    std::shared_ptr<const fleet_config> m_config;
    // Queues of former configurations, for jobs that are still there.
    std::map<std::string, queue_config> m_knownQueues;
    std::map<std::string, job> m_jobs;
    std::set<std::string> m_live;
    std::set<std::string> m_changed;
    std::vector<std::string> m_ended;
    worker_registry m_workers;
    team_usage_tracker m_usage;
};

} // namespace jujubespool

// In-memory state of the job owner: jobs, workers, resource usage of teams and the configuration.
//
//     fleet_model model(bounds);
//     model.place(key, worker, now);      // assigns a waiting task and counts its resources
//     model.applyEnd(finished, workerId, wall);
//
// Each change keeps jobs, workers and usage consistent and marks the job as changed; job_manager writes changed
// jobs to the ledger. This class performs no input or output.
#pragma once

#include <jujubespool/jobs/demand_index.h>
#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/interference_model.h>
#include <jujubespool/jobs/known_queues.h>
#include <jujubespool/jobs/team_usage_tracker.h>
#include <memory>
#include <set>

namespace jujubespool {

// Limits and durations from the platform's settings.
struct manager_bounds
{
    // Longest lease that a worker grants.
    milliseconds maxLease{ 6000 };
    milliseconds stopTime{ 400 };
    milliseconds maxGangWait{ 3000 };
    // A new owner sends no orders for a host for this long after the former owner's last order for it.
    milliseconds hostLease{ 3000 };
    // Longest time for which a started task counts as unavailable.
    milliseconds maxStartupTime{ 4500 };
    milliseconds moveTime{ 1500 };
    milliseconds maintenanceTime{ 2000 };
    // Host moves and maintenance orders per second that the platform accepts from all processes together.
    double hostOrdersPerSecond = 64;
    // How long the state of an ended job stays readable.
    seconds statusRetention{ 120 };
    // Largest record that the platform's store accepts. A job and its progress are one record.
    std::size_t maxRecordBytes = 262144;
};

// An owner that has had no durable ledger append for this long may have been replaced, unless its peers confirm its ownership. It then
// starts nothing and renews no lease. A new owner also waits this long before it treats runs on unreachable workers as expired.
constexpr milliseconds SELF_FENCE_TIMEOUT{ 2000 };
// Without a durable append for this long, the ownership counts as lost even if the peers confirm it.
constexpr milliseconds MAX_TIME_WITHOUT_RECORD{ 10000 };
// How long a peer's confirmation of the ownership is valid, from the time at which the owner sent what the peer answers.
constexpr milliseconds PEER_CONFIRMATION_VALIDITY{ 1200 };

// How much the owner's decisions have examined so far. What a start costs follows from it.
struct owner_work
{
    std::uint64_t schedulingPasses = 0;
    std::uint64_t tasksPlaced = 0;
    std::uint64_t workersExamined = 0;
    std::uint64_t jobsExamined = 0;
};

class fleet_model
{
public:
    explicit fleet_model(const manager_bounds &bounds);

    const manager_bounds &bounds() const
    {
        return m_bounds;
    }
    // Length of the leases that are requested from workers.
    milliseconds leaseLength() const;
    // Time after which a lease of that length has certainly expired, including clock drift.
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
    // Returns the queue as configured now or, if it was removed, its last known configuration.
    const queue_config *queueOf(const job &entry) const;
    // Takes over the last known configuration of a queue from the ledger, after a change of owner.
    void restoreQueue(const queue_config &queue);
    // Returns the ledger entries of queues that changed since the last call.
    std::vector<ledger_entry> takeChangedQueues();

    const owner_work &work() const
    {
        return m_work;
    }
    // Whoever examines workers or jobs one by one counts them here.
    void countWorkersExamined(std::size_t number) const
    {
        m_work.workersExamined += number;
    }
    void countJobsExamined(std::size_t number) const
    {
        m_work.jobsExamined += number;
    }
    void countSchedulingPass(std::size_t placed) const
    {
        ++m_work.schedulingPasses;
        m_work.tasksPlaced += placed;
    }

    job *find(const job_id &id);
    job &add(job entry);
    void remove(const job_id &id);
    const std::unordered_map<job_id, job> &jobs() const
    {
        return m_jobs;
    }
    // The jobs that have not ended, in the order in which their identifiers were first seen.
    const std::map<job_id, job *> &activeJobs() const
    {
        return m_activeJobs;
    }
    // The active jobs that recur, by their identifiers.
    const std::map<job_id, job *> &recurringJobs() const
    {
        return m_recurringJobs;
    }
    // What the active jobs need at present.
    const demand_index &demands() const;
    // Records that a worker has a run of one of the job's tasks.
    void recordStart(job &started);
    worker_registry &workers()
    {
        return m_workers;
    }
    const worker_registry &workers() const
    {
        return m_workers;
    }
    interference_model &interference()
    {
        return m_interference;
    }
    const interference_model &interference() const
    {
        return m_interference;
    }
    const team_usage_tracker &usage() const
    {
        return m_usage;
    }

    // Marks the job as changed since the last ledger write; its demand is computed again.
    void markChanged(const job_id &id);
    // Returns the jobs changed since the last call.
    std::set<job_id> takeChanged();
    // Returns the jobs ended since the last call.
    std::vector<job_id> takeEnded();

    // Assigns a waiting task to the worker. The run number is the next one unless it is given, as for members of a
    // gang.
    int place(const task_key &key, worker &target, instant now, int run = 0);
    // Begins a later incarnation of a worker and releases all its runs, which have ended with the former one.
    void restartWorker(const worker_incarnation &later, instant now);
    // Restores the placement of a task that is assigned according to the ledger, after a change of owner. The task waits again if its
    // worker has restarted since.
    void restorePlacement(const task_key &key, instant leaseEnd, instant now);
    // Returns an assigned task to the waiting state, or marks it as done if its gang is. The run must have stopped for certain
    // without an end of its own.
    void release(const task_key &key);
    // Applies the end of a run. Returns false when it is not the task's current run on that worker.
    bool applyEnd(const finished_run &finished, const std::string &workerId, wall_ms wall);
    // The task runs at full speed on a worker that answers polls.
    bool isAtFullSpeed(const task_key &key);
    void endJob(job &entry, job_state state, wall_ms wall);
    // Blames the worker for a failed run, unless nothing else fails there and the task has failed on other workers as well. The task is the
    // cause then, and no worker stays blamed for it. Nor is any blamed for a task that is forgotten because its occurrence has ended.
    // Returns true when the worker becomes suspected to fail all runs.
    bool recordFailure(const task_key &key, worker &failed, instant now);
    // Completes the job if it has not ended and all its tasks are done.
    void completeIfDone(job &entry, wall_ms wall);
    // Releases runs that are gone because their worker has restarted or its leases have expired.
    void releaseAll(const std::vector<task_key> &keys);

    static resources resourcesOf(const step_spec &step);

private:
    void deactivate(job &entry);
    // Updates the demand of all active jobs when it is needed next.
    void renewDemands();
    void unplace(const task_key &key, const task_progress &task);
    // A job that has failed as often as it may is taken for the cause.
    void forgiveWorkersOf(const job &failedJob);
    // No worker counts the task among those that failed there any more.
    void forgiveWorkers(const task_progress &task, const task_key &key);
    // Sets the phase of a task whose run is gone.
    void setUnplaced(const task_key &key);

    manager_bounds m_bounds;
    std::shared_ptr<const fleet_config> m_config;
    known_queues m_queues;
    std::unordered_map<job_id, job> m_jobs;
    std::map<job_id, job *> m_activeJobs;
    std::map<job_id, job *> m_recurringJobs;
    mutable demand_index m_demands;
    // Active jobs that m_demands has to be updated with.
    mutable std::vector<job *> m_demandChanged;
    std::set<job_id> m_changed;
    std::vector<job_id> m_ended;
    mutable owner_work m_work;
    worker_registry m_workers;
    team_usage_tracker m_usage;
    interference_model m_interference;
};

} // namespace jujubespool

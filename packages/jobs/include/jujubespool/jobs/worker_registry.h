// Stores the workers of the fleet: their reports, the runs that are placed on them and the ends of their leases.
//
//     worker_registry registry;
//     registry.update(report, now);
//     if (need.fitsIn(registry.find(id)->freeCapacity())) { ... }
//
// A worker that restarts keeps its id and reports a later start time. The id and the start time together identify an
// incarnation of the worker; no run of an earlier incarnation still exists.
#pragma once

#include <jujubespool/jobs/job.h>
#include <map>
#include <optional>
#include <set>

namespace jujubespool {

enum class worker_state { ready, draining };

template <> struct enum_names<worker_state>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "ready", "draining" };
};

// A worker's entry in the platform's list of workers.
struct worker_report
{
    std::string id;
    std::string address;
    std::string pool;
    std::string dataCenter;
    worker_state state = worker_state::ready;
    resources capacity;
    // The kind of the worker, then its rack, then further labels.
    std::vector<std::string> labels;
    // Start time of this incarnation, in Unix milliseconds.
    std::uint64_t startTimeMs = 0;
    // While draining: the minimum time until the worker stops.
    milliseconds remaining{ 0 };
};

// A run that is placed on a worker.
struct placed_run
{
    // Number of the run.
    int run = 0;
    resources need;
    // The run uses only CPU that other runs leave unused.
    bool bestEffort = false;
    // The run continues until its job is cancelled.
    bool longRunning = false;
    // The worker has accepted the start order or listed the run.
    bool confirmed = false;
    // A start order for the run had no response, so that its outcome is unknown.
    bool inDoubt = false;
    // A stop order has been sent.
    bool stopping = false;
    instant placedAt;
    // Time of the first start order. No order has been sent if it is not set.
    std::optional<instant> orderedAt;
    instant confirmedAt;
    // Limit of the run's speed, in percent of its full speed.
    int speedLimitPercent = 100;
    // Latest value that the worker reported: the tail latency in milliseconds for a task with a latency target, otherwise the
    // CPU use.
    std::int64_t reportedMetric = 0;
    int progressPercent = 0;
    // Upper bound for the tail latency; 0 for none.
    milliseconds tailLatencyTarget{ 0 };
};

struct worker
{
    worker_report report;
    // The worker is in the platform's list.
    bool listed = false;
    std::map<task_key, placed_run> runs;
    // Sum of the resources of the placed runs. Best-effort runs count without their CPU.
    resources used;
    // The worker's clock, in milliseconds, when it was read at clockReadAt of the manager's clock.
    std::int64_t clockMs = 0;
    instant clockReadAt;
    bool clockKnown = false;
    // Latest time at which a lease that was granted to the worker expires. Nothing runs there afterwards unless it is renewed.
    instant leaseEnd;
    // Highest number of a run end that the worker has reported, and the highest of those that are durably recorded.
    std::uint64_t lastEndSeen = 0;
    std::uint64_t lastEndRecorded = 0;
    // This incarnation has answered a poll that carried the manager's fencing token.
    bool polled = false;
    bool pollInFlight = false;
    // Earliest time of the next poll.
    instant nextPollAt;
    instant lastResponseAt;
    // Number of successive polls without a usable response.
    int unansweredPolls = 0;
    // The worker gets no new tasks before this time, because it refused an order, lacked free capacity or did not answer a start order.
    instant avoidUntil;
    // Time for which the worker was avoided last. It doubles each time.
    milliseconds avoidBackoff{ 0 };
    // Time at which a start order had no response. A poll that is sent later and answered makes the worker available again.
    std::optional<instant> startUnansweredAt;
    // The worker gets no new tasks, because its host is about to be maintained or moved.
    bool cordoned = false;
    // Another pool needs the host more, so the worker is the last choice, and closed to some steps (mayUseLeavingWorkers).
    bool leavingPool = false;
    // The host has to be emptied for maintenance at some time.
    bool dueForMaintenance = false;
    // Tasks that have failed on this worker since a run last completed successfully here, without those whose failures have another cause.
    std::set<task_key> failedTasks;
    instant lastFailureAt;
    // While the worker is suspected to fail all runs, it gets one new task at this time, to find out whether it works again.
    instant nextTrialAt;

    // Runs of several jobs have failed here, and nothing shows that the jobs themselves are the cause.
    bool isSuspectedToFailRuns() const;
    // The worker answers polls and is neither avoided nor suspected, or the time has come for a trial.
    bool mayGetTasks(instant now) const;
    bool hasLabel(const std::string &label) const;
    // Empty if the worker does not report its rack.
    std::string rack() const;
    resources freeCapacity() const;
    // Number of runs here that belong to the step of the job's occurrence.
    int countTasks(const std::string &jobId, int occurrence, int step) const;
    // Replaces an earlier run of the same task.
    void place(const task_key &key, const placed_run &run);
    void remove(const task_key &key);
};

class worker_registry
{
public:
    // Adds or updates the worker, unless the report is of an earlier incarnation. Returns the runs that ended because the worker
    // has restarted.
    std::vector<task_key> update(const worker_report &report, instant now);
    void markUnlisted(const std::string &id);
    // Removes unlisted workers that have no runs, no poll in flight and no unexpired lease.
    void pruneUnlisted(instant now);
    // Null if there is no such worker.
    worker *find(const std::string &id);
    std::map<std::string, worker> &all()
    {
        return m_workers;
    }
    const std::map<std::string, worker> &all() const
    {
        return m_workers;
    }

private:
    std::map<std::string, worker> m_workers;
};

} // namespace jujubespool

// Stores the workers of the fleet: their reports, the runs that are placed on them and the ends of their leases.
//
//     worker_registry registry;
//     registry.update(report, now);
//     if (need.fitsIn(registry.find(id)->freeCapacity())) { ... }
//
// A worker that restarts keeps its id and reports a later start time. The id and the start time together identify an incarnation of the
// worker. All state about a worker belongs to one incarnation: the registry holds the latest that is known under an id, and whoever waits
// for a response keeps a worker_incarnation, by which it finds the state only while that incarnation is still the latest. An order reaches
// only the incarnation that it is meant for (worker_gateway), so nothing of an earlier incarnation exists once a later one is known.
#pragma once

#include <jujubespool/jobs/job.h>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace jujubespool {

// Lowest rate of a worker's clock relative to the clock of this process.
constexpr double MIN_WORKER_CLOCK_RATE = 0.98;

// One start of a worker.
struct worker_incarnation
{
    std::string id;
    // In Unix milliseconds.
    std::uint64_t startTimeMs = 0;

    bool operator==(const worker_incarnation &other) const = default;
};

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
    // How much longer the worker is slow after its start.
    milliseconds coldRemaining{ 0 };

    worker_incarnation incarnation() const
    {
        return { id, startTimeMs };
    }
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
    image_name image;
    // Limit of the run's speed, in percent of its full speed, and when it was last changed.
    int speedLimitPercent = 100;
    instant speedChangedAt;
    // The last change of the limit raised it.
    bool spedUp = false;
    // Latest value that the worker reported: the tail latency in milliseconds for a task with a latency target, otherwise the
    // CPU use.
    std::int64_t reportedMetric = 0;
    int progressPercent = 0;
    // Upper bound for the tail latency; 0 for none.
    milliseconds tailLatencyTarget{ 0 };
};

// One incarnation of a worker, the latest that is known.
struct worker
{
    worker_report report;
    // This incarnation is in the platform's list.
    bool listed = false;
    // A response has shown this incarnation, and the platform's list does not contain its report yet, so its capacity, labels and pool are
    // not known.
    bool reportAwaited = false;
    std::map<task_key, placed_run> runs;
    // Sum of the resources of the placed runs. Best-effort runs count without their CPU.
    resources used;
    // The worker's clock, in milliseconds, when it was read at clockReadAt of the manager's clock.
    std::int64_t clockMs = 0;
    instant clockReadAt;
    bool clockKnown = false;
    // Latest time at which a lease that was granted to this incarnation expires. Nothing runs there afterwards unless it is renewed.
    instant leaseEnd;
    // Highest number of a run end that the worker has reported, the highest of those that are durably recorded, and the highest that
    // this incarnation is known to have deleted.
    std::uint64_t lastEndSeen = 0;
    std::uint64_t lastEndRecorded = 0;
    std::uint64_t lastEndAcknowledged = 0;
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
    // The worker gets no new tasks, because an order for its host is pending.
    bool cordoned = false;
    // The worker gets no new tasks before this time, so that its host becomes empty for maintenance (host_cordons.h).
    instant cordonedUntil;
    // Another pool needs the host more, so the worker is the last choice, and closed to some steps (mayUseLeavingWorkers).
    bool leavingPool = false;
    // The worker gets no new tasks, because operators evacuate its data centre. Its runs may end.
    bool evacuated = false;
    // The worker is slow until then, so others are preferred.
    instant coldUntil;
    // The host has to be emptied for maintenance at some time.
    bool dueForMaintenance = false;
    // Tasks that have failed on this worker since a run last completed successfully here, without those whose failures have another cause.
    std::set<task_key> failedTasks;
    instant lastFailureAt;
    // While the worker is suspected to fail all runs, it gets one new task at this time, to find out whether it works again.
    instant nextTrialAt;

    worker_incarnation incarnation() const
    {
        return report.incarnation();
    }
    // Runs of several jobs have failed here, and nothing shows that the jobs themselves are the cause.
    bool isSuspectedToFailRuns() const;
    // The worker answers polls and is neither avoided nor suspected, or the time has come for a trial.
    bool mayGetTasks(instant now) const;
    bool isCordoned(instant now) const
    {
        return cordoned || now < cordonedUntil;
    }
    bool isCold(instant now) const
    {
        return now < coldUntil;
    }
    bool hasLabel(const std::string &label) const;
    // Empty if the worker does not report its rack.
    std::string rack() const;
    resources freeCapacity() const;
    // Number of runs here that belong to the step of the job's occurrence.
    int countTasks(const job_id &job, int occurrence, int step) const;
    // Replaces an earlier run of the same task.
    void place(const task_key &key, const placed_run &run);
    void remove(const task_key &key);
};

class worker_registry
{
public:
    // Adds the worker, or updates it if the report is of its present incarnation. A report of an earlier incarnation is ignored. One of a
    // later incarnation must follow replaceWith().
    void update(const worker_report &report, instant now);
    // Begins a later incarnation of the worker, which has nothing of the present one. Its report is not known yet.
    void replaceWith(const worker_incarnation &later, instant now);
    void markUnlisted(const std::string &id);
    // Closes the data centre's workers to new tasks, also those that are reported later, or opens them again. Returns false if that
    // changes nothing.
    bool setEvacuated(const std::string &dataCenter, bool evacuated);
    bool isEvacuated(const std::string &dataCenter) const
    {
        return m_evacuated.count(dataCenter) > 0;
    }
    // Removes unlisted workers that have no runs, no poll in flight and no unexpired lease.
    void pruneUnlisted(instant now);
    // The latest known incarnation; null if there is none.
    worker *find(const std::string &id);
    // Null if that is not the latest known incarnation.
    worker *find(const worker_incarnation &incarnation);
    // The workers whose latest report names the pool, in the order of their ids.
    const std::vector<worker *> &inPool(const std::string &pool) const;
    // CPU of the pool's workers that are listed and not evacuated, in thousandths of a core.
    std::int64_t listedCpuMillis(const std::string &pool) const;
    std::map<std::string, worker> &all()
    {
        return m_workers;
    }
    const std::map<std::string, worker> &all() const
    {
        return m_workers;
    }

private:
    struct pool_members
    {
        std::vector<worker *> workers;
        std::int64_t listedCpuMillis = 0;
    };
    void addToPool(worker &entry);
    void removeFromPool(const worker &entry);

    std::map<std::string, worker> m_workers;
    std::unordered_map<std::string, pool_members> m_pools;
    // Data centres, also such that no worker is known of.
    std::set<std::string> m_evacuated;
};

} // namespace jujubespool

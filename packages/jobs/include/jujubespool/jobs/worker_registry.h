// The workers of the fleet: what they report, what is placed on them and until when their leases hold.
//
//     worker_registry book(bounds);
//     book.report(report, now);
//     if (book.find(id)->fits(need)) { ... }
//
// A worker may come back under the same id with another birth time. That is another life: nothing of the
// former one runs there.
#pragma once

#include <jujubespool/jobs/job.h>
#include <map>
#include <set>

namespace jujubespool {

enum class worker_state { ready, draining };

template <> struct enum_names<worker_state>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "ready", "draining" };
};

// What a worker says of itself in the platform's list.
struct worker_report
{
    std::string id;
    std::string address;
    std::string pool;
    std::string dataCenter;
    worker_state state = worker_state::ready;
    resources capacity;
    std::vector<std::string> labels;
    // Start of this life, in Unix milliseconds.
    std::uint64_t startTimeMs = 0;
    // While draining: the least time that is left.
    milliseconds remaining{ 0 };
};

// A run that is placed on a worker.
struct placed_run
{
    int run = 0;
    resources need;
    bool bestEffort = false;
    // The run goes on until its job is cancelled.
    bool longRunning = false;
    // The worker has confirmed the run, by an answer or in a list.
    bool confirmed = false;
    // Orders for the run have been sent and at least one has no answer.
    bool inDoubt = false;
    bool stopping = false;
    instant placedAt;
    instant confirmedAt;
    // Share of its speed, in percent, at which we let it work.
    int pace = 100;
    // The worker's last figure: tail of response times in milliseconds for a task with a target, else processors.
    std::int64_t reportedMetric = 0;
    int progressPercent = 0;
    milliseconds tailLatencyTarget{ 0 };
};

struct worker
{
    worker_report report;
    // The entry is in the platform's list.
    bool listed = false;
    std::map<task_key, placed_run> runs;
    // Sum of what the placed runs need; filling tasks count with their memory alone.
    resources used;
    // The worker's own clock at a moment of ours.
    std::int64_t clockMs = 0;
    instant clockReadAt;
    bool clockKnown = false;
    // Our latest promise: nothing runs there after this unless it is renewed.
    instant leaseEnd;
    // Highest number of an end that was seen, and the highest whose record is durable.
    std::uint64_t lastEndSeen = 0;
    std::uint64_t lastEndRecorded = 0;
    // A look with our fencing token has been answered by this life.
    bool polled = false;
    bool pollInFlight = false;
    instant nextPollAt;
    instant lastResponseAt;
    int unansweredPolls = 0;
    // No new work before this time: the worker was silent, unhealthy or short of room.
    instant avoidUntil;
    milliseconds avoidBackoff{ 0 };
    // The worker is avoided since a start was not answered then; a later look that is answered ends that.
    std::optional<instant> startUnansweredAt;
    // No new work: the host is due for upkeep or is to move.
    bool cordoned = false;
    // No new work: another pool needs the host more.
    bool leavingPool = false;
    // The host has to be emptied for its upkeep some time.
    bool dueForMaintenance = false;
    // Jobs of which a run failed here since a run last ended well.
    std::set<std::string> failedJobs;

    bool hasLabel(const std::string &label) const;
    std::string rack() const;
    resources freeCapacity() const;
    int countTasks(const std::string &jobId, int occurrence, int step) const;
    void place(const task_key &key, const placed_run &run);
    void remove(const task_key &key);
};

class worker_registry
{
public:
    // Adds or updates the entry. Returns the runs that ended because the worker has begun another life.
    std::vector<task_key> update(const worker_report &report, instant now);
    void markUnlisted(const std::string &id);
    // Forgets workers that are not listed and run nothing.
    void pruneUnlisted(instant now);
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

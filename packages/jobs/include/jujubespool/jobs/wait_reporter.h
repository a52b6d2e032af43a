// Reports accepted tasks that have not run for longer than their queue's target latency, with the reason.
//
//     wait_reporter reporter(model, tickets, log);
//     reporter.tick({ now, storeUnresponsiveFor, confirmed }, wall);
//
// The active jobs are examined in rounds, at most one round a second, and a bounded number of tasks each tick. Once a second the jobs that
// have waited longest are selected, and one of them is reported each tick; each job again only after a time that doubles. One task of each
// step is tracked: the first that did not run, until it runs. Nothing of this is recorded; a new owner takes the time of a task that has
// never run from the acceptance of its job.
#pragma once

#include <jujubespool/jobs/wait_reason.h>

namespace jujubespool {

constexpr std::size_t MAX_WAIT_LINES_PER_SELECTION = 5;
constexpr seconds WAIT_SELECTION_INTERVAL{ 1 };
// Minimum time between the starts of two rounds.
constexpr seconds WAIT_ROUND_INTERVAL{ 1 };
// A shorter wait is not reported, even if the queue's target latency is shorter.
constexpr milliseconds MIN_REPORTED_WAIT{ 2000 };
// Time after which a job is reported again. It doubles each time.
constexpr seconds FIRST_REPORT_INTERVAL{ 10 };
constexpr seconds MAX_REPORT_INTERVAL{ 80 };

class wait_reporter
{
public:
    wait_reporter(const fleet_model &model, const policy_ticket_cache &tickets, event_log &log);

    void tick(const owner_condition &condition, wall_ms wall);

private:
    struct held_back_task
    {
        int index = 0;
        instant since;
    };
    struct waiting_job
    {
        // By occurrence and step.
        std::map<std::pair<int, int>, held_back_task> steps;
        // A shorter wait of its tasks is not reported.
        milliseconds minWait{ 0 };
        instant nextReportAt;
        seconds reportInterval = FIRST_REPORT_INTERVAL;
    };
    struct overdue_task
    {
        instant since;
        task_key task;

        bool operator<(const overdue_task &other) const
        {
            return std::tie(since, task) < std::tie(other.since, other.task);
        }
    };
    // Examines the next jobs of the round, or begins a round if one is due.
    void examineNext(instant now, wall_ms wall);
    // Returns the number of tasks that were examined.
    int examine(const job &current, instant now, wall_ms wall);
    // Index of the step's task to track: the one tracked so far if it still does not run, or the first that does not run.
    std::optional<int> heldBackIndex(const job &current, const task_key &first, std::optional<int> tracked, int &examined) const;
    milliseconds minWaitOf(const job &current) const;
    // The oldest task of each job that is due for a report; of these, the oldest. The last is to be reported first.
    std::vector<overdue_task> selectOverdue(instant now) const;
    void report(const overdue_task &overdue, const owner_condition &condition);

    const fleet_model &m_model;
    const policy_ticket_cache &m_tickets;
    event_log &m_log;
    // The jobs with a task that did not run when they were last examined.
    std::map<job_id, waiting_job> m_waiting;
    // Job with which the round continues; empty between two rounds.
    job_id m_nextJob;
    instant m_roundStartedAt;
    // The tasks that are still to be reported.
    std::vector<overdue_task> m_selected;
    instant m_selectedAt;
};

} // namespace jujubespool

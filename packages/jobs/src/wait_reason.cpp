#include <jujubespool/jobs/wait_reason.h>

#include <algorithm>
#include <jujubespool/jobs/gang_placement.h>

namespace jujubespool {

namespace {

// An append that takes longer than this is not an ordinary one.
constexpr milliseconds STORE_SILENT_TIME{ 700 };

// Why a run that is placed is not known to run; no value if it is.
std::optional<wait_reason> reasonOfPlacedRun(const fleet_model &model, const task_key &key, const task_progress &task)
{
    const auto target = model.workers().all().find(task.worker);
    if (target == model.workers().all().end()) {
        return wait_reason::placement_missing;
    }
    const auto placed = target->second.runs.find(key);
    if (placed == target->second.runs.end() || placed->second.run != task.run) {
        return wait_reason::placement_missing;
    }
    const placed_run &run = placed->second;
    if (run.stopping) {
        return wait_reason::being_stopped;
    }
    if (run.inDoubt && !run.confirmed) {
        return wait_reason::start_in_doubt;
    }
    if (!target->second.listed || target->second.unansweredPolls > 0) {
        return wait_reason::worker_unresponsive;
    }
    return run.confirmed ? std::nullopt : std::optional(wait_reason::start_not_answered);
}

// Why a worker for which acceptsNewTasks is false gets no tasks.
wait_reason reasonForNoTasks(const worker &target, instant now)
{
    if (!target.listed || target.report.state != worker_state::ready) {
        return wait_reason::workers_not_listed;
    }
    if (!target.polled || !target.clockKnown) {
        return wait_reason::workers_not_polled;
    }
    if (target.evacuated) {
        return wait_reason::workers_evacuated;
    }
    if (target.isCordoned(now)) {
        return wait_reason::workers_cordoned;
    }
    if (target.unansweredPolls > 0) {
        return wait_reason::workers_silent;
    }
    return target.isSuspectedToFailRuns() ? wait_reason::workers_failing_runs : wait_reason::workers_avoided;
}

// Examines the workers of a queue's pool for one waiting task.
class pool_examination
{
public:
    pool_examination(const fleet_model &model, const policy_ticket_cache &tickets, const queue_config &queue, const job &owningJob,
                     const task_key &key, instant now)
        : m_model(model)
        , m_tickets(tickets)
        , m_queue(queue)
        , m_job(owningJob)
        , m_step(owningJob.step(key.step))
        , m_key(key)
        , m_now(now)
    {
        for (const auto &[id, target] : model.workers().all()) {
            if (target.report.pool == queue.pool) {
                m_workers.push_back(&target);
            }
        }
    }

    wait_reason reason()
    {
        if (m_workers.empty()) {
            return wait_reason::no_worker_in_pool;
        }
        if (keepOnly([this](const worker &target) { return fitsWhenEmpty(target, m_step); }) == 0) {
            return reasonForNoFit();
        }
        if (keepOnly([this](const worker &target) { return acceptsNewTasks(target, m_now); }) == 0) {
            return mostFrequentReason();
        }
        if (exceedsTeamLimit()) {
            return wait_reason::team_limit;
        }
        if (keepOnly([this](const worker &target) { return isEligible(target, requestFor(m_step), m_now); }) == 0) {
            return reasonForNoRoom();
        }
        if (m_queue.policy && keepOnly([this](const worker &target) { return hasTicket(target); }) == 0) {
            return reasonForNoTicket();
        }
        return m_step.gang && !gangFits() ? wait_reason::gang_does_not_fit : wait_reason::could_run;
    }

private:
    // Moves the workers that do not meet the condition to m_excluded and returns the number of the others.
    template <typename Condition> std::size_t keepOnly(Condition condition)
    {
        const auto firstExcluded
            = std::stable_partition(m_workers.begin(), m_workers.end(), [&](const worker *target) { return condition(*target); });
        m_excluded.assign(firstExcluded, m_workers.end());
        m_workers.erase(firstExcluded, m_workers.end());
        return m_workers.size();
    }

    placement_request requestFor(const step_spec &step) const
    {
        const auto &tasks = m_job.occurrences().at(m_key.occurrence).steps[static_cast<std::size_t>(m_key.step)];
        const bool canHold = std::any_of(m_workers.begin(), m_workers.end(),
                                         [&step](const worker *target) { return canHoldBesideLongRunningTasks(*target, step); });
        return { m_key, &step, m_queue.pool, {}, {}, {}, {}, nullptr, mayUseLeavingWorkers(step, tasks, canHold) };
    }

    bool hasTicket(const worker &target) const
    {
        return m_tickets.ticketFor(m_key.stepText(), target, m_now) != nullptr;
    }

    wait_reason reasonForNoFit() const
    {
        step_spec unlabelled = m_step;
        unlabelled.requiredLabel.clear();
        const bool fits
            = std::any_of(m_excluded.begin(), m_excluded.end(), [&](const worker *target) { return fitsWhenEmpty(*target, unlabelled); });
        return fits ? wait_reason::required_label : wait_reason::task_too_large;
    }

    wait_reason mostFrequentReason() const
    {
        std::map<wait_reason, int> counts;
        for (const worker *target : m_excluded) {
            ++counts[reasonForNoTasks(*target, m_now)];
        }
        const auto isFewer = [](const auto &left, const auto &right) {
            return left.second < right.second;
        };
        return std::max_element(counts.begin(), counts.end(), isFewer)->first;
    }

    // All tasks of a gang must be allowed at once.
    bool exceedsTeamLimit() const
    {
        const auto team = m_model.config().teams.find(m_job.request().team);
        if (team == m_model.config().teams.end()) {
            return false;
        }
        resources need;
        for (int task = 0; task < (m_step.gang ? m_step.count : 1); ++task) {
            need += fleet_model::resourcesOf(m_step);
        }
        return !m_model.usage().allows(team->second, need);
    }

    wait_reason reasonForNoRoom() const
    {
        step_spec unlimited = m_step;
        unlimited.maxPerWorker = 0;
        const bool hasRoom = std::any_of(m_excluded.begin(), m_excluded.end(),
                                         [&](const worker *target) { return isEligible(*target, requestFor(unlimited), m_now); });
        return hasRoom ? wait_reason::max_per_worker : wait_reason::no_free_capacity;
    }

    wait_reason reasonForNoTicket() const
    {
        const std::string step = m_key.stepText();
        const bool allDenied
            = std::all_of(m_excluded.begin(), m_excluded.end(), [&](const worker *target) { return m_tickets.isDenied(step, *target); });
        if (allDenied) {
            return wait_reason::ticket_denied;
        }
        const policy_request_pacer &pacer = m_tickets.pacer();
        if (pacer.isStalled(m_now) || pacer.isPaused(m_now)) {
            return wait_reason::ticket_late;
        }
        if (m_tickets.isRequestPending(step)) {
            return wait_reason::ticket_pending;
        }
        return pacer.maySend(m_now) ? wait_reason::ticket_not_requested : wait_reason::ticket_queued;
    }

    // The tasks of a gang are alike, so the numbers that the eligible workers can take add up.
    bool gangFits() const
    {
        int fitting = 0;
        for (const worker *target : m_workers) {
            fitting += countFittingTasks(*target, requestFor(m_step), m_now);
        }
        return fitting >= m_step.count;
    }

    const fleet_model &m_model;
    const policy_ticket_cache &m_tickets;
    const queue_config &m_queue;
    const job &m_job;
    const step_spec &m_step;
    task_key m_key;
    instant m_now;
    // The workers of the pool that meet all conditions so far, and those that do not meet the last one.
    std::vector<const worker *> m_workers;
    std::vector<const worker *> m_excluded;
};

bool isWaiting(const task_progress &task)
{
    return task.phase == task_phase::waiting;
}

std::optional<wait_reason> reasonOfOwner(const owner_condition &condition)
{
    if (condition.storeUnresponsiveFor >= STORE_SILENT_TIME) {
        return wait_reason::store_does_not_answer;
    }
    return condition.ownershipConfirmed ? std::nullopt : std::optional(wait_reason::ownership_not_confirmed);
}

wait_reason reasonOfWaitingTask(const fleet_model &model, const policy_ticket_cache &tickets, const job &owningJob, const task_key &key,
                                const owner_condition &condition)
{
    const queue_config *queue = model.configured() ? model.queueOf(owningJob) : nullptr;
    if (queue == nullptr) {
        return wait_reason::queue_unknown;
    }
    const occurrence_progress &occurrence = owningJob.occurrences().at(key.occurrence);
    if (!owningJob.stepReady(occurrence, key.step)) {
        return wait_reason::dependency_not_done;
    }
    if (const std::optional<wait_reason> reason = reasonOfOwner(condition)) {
        return *reason;
    }
    const std::vector<task_progress> &tasks = occurrence.steps[static_cast<std::size_t>(key.step)];
    if (owningJob.step(key.step).gang && !std::all_of(tasks.begin(), tasks.end(), isWaiting)) {
        return wait_reason::gang_incomplete;
    }
    return pool_examination(model, tickets, *queue, owningJob, key, condition.now).reason();
}

const task_progress *findTask(const job &owningJob, const task_key &key)
{
    const auto occurrence = owningJob.occurrences().find(key.occurrence);
    if (occurrence == owningJob.occurrences().end() || key.step < 0
        || static_cast<std::size_t>(key.step) >= occurrence->second.steps.size()) {
        return nullptr;
    }
    const std::vector<task_progress> &tasks = occurrence->second.steps[static_cast<std::size_t>(key.step)];
    return key.index >= 0 && static_cast<std::size_t>(key.index) < tasks.size() ? &tasks[static_cast<std::size_t>(key.index)] : nullptr;
}

} // namespace

bool isHeldBack(const fleet_model &model, const task_key &key, const task_progress &task)
{
    return isWaiting(task) || (task.phase == task_phase::assigned && reasonOfPlacedRun(model, key, task).has_value());
}

std::optional<wait_reason> waitReasonOf(const fleet_model &model, const policy_ticket_cache &tickets, const task_key &key,
                                        const owner_condition &condition)
{
    const auto owningJob = model.activeJobs().find(key.job);
    const task_progress *task = owningJob == model.activeJobs().end() ? nullptr : findTask(*owningJob->second, key);
    if (task == nullptr) {
        return std::nullopt;
    }
    if (isWaiting(*task)) {
        return reasonOfWaitingTask(model, tickets, *owningJob->second, key, condition);
    }
    if (task->phase != task_phase::assigned) {
        return std::nullopt;
    }
    const std::optional<wait_reason> reason = reasonOfPlacedRun(model, key, *task);
    const std::optional<wait_reason> ownerReason = reasonOfOwner(condition);
    return reason == wait_reason::start_not_answered && ownerReason ? ownerReason : reason;
}

} // namespace jujubespool

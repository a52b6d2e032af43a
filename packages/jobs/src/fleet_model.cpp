#include <jujubespool/jobs/fleet_model.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds LEASE_LENGTH{ 3200 };
constexpr milliseconds LEASE_MARGIN{ 200 };
// Maximum time between two tasks that a worker gets while it is suspected to fail all runs.
constexpr milliseconds MAX_TRIAL_INTERVAL{ 2000 };
// The next one follows a failed run after this time.
constexpr milliseconds PAUSE_AFTER_FAILURE{ 500 };
// Speed that a new owner presumes of a best-effort run. The former one may have limited it, so it has to be sped up once.
constexpr int PRESUMED_SPEED_PERCENT = 70;

} // namespace

fleet_model::fleet_model(const manager_bounds &bounds)
    : m_bounds(bounds)
{
}

milliseconds fleet_model::leaseLength() const
{
    return std::min(LEASE_LENGTH, m_bounds.maxLease);
}

duration fleet_model::leaseExpiryBound() const
{
    const auto longest = static_cast<double>(duration(leaseLength()).count()) / MIN_WORKER_CLOCK_RATE;
    return duration(static_cast<std::int64_t>(longest)) + duration(LEASE_MARGIN);
}

void fleet_model::setConfig(std::shared_ptr<const fleet_config> config)
{
    m_config = std::move(config);
    m_queues.setConfig(*m_config);
    renewDemands();
}

const queue_config *fleet_model::queueOf(const job &entry) const
{
    return m_queues.find(entry.request().queue);
}

void fleet_model::restoreQueue(const queue_config &queue)
{
    m_queues.restore(queue);
    renewDemands();
}

std::vector<ledger_entry> fleet_model::takeChangedQueues()
{
    return m_queues.takeChanges();
}

job *fleet_model::find(const job_id &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

job &fleet_model::add(job entry)
{
    const job_id id = entry.request().id;
    if (job *replaced = find(id)) {
        deactivate(*replaced);
    }
    job &added = m_jobs.insert_or_assign(id, std::move(entry)).first->second;
    if (!added.ended()) {
        m_activeJobs[id] = &added;
        if (added.isRecurring()) {
            m_recurringJobs[id] = &added;
        }
        m_demandChanged.push_back(&added);
        m_queues.addJob(added.request().queue);
    }
    return added;
}

void fleet_model::remove(const job_id &id)
{
    job *removed = find(id);
    if (removed == nullptr) {
        return;
    }
    deactivate(*removed);
    m_changed.erase(id);
    m_jobs.erase(id);
}

void fleet_model::deactivate(job &entry)
{
    if (m_activeJobs.erase(entry.request().id) > 0) {
        m_recurringJobs.erase(entry.request().id);
        m_queues.removeJob(entry.request().queue);
        m_demands.remove(entry);
        std::erase(m_demandChanged, &entry);
    }
}

void fleet_model::renewDemands()
{
    m_demands.clear();
    m_demandChanged.clear();
    for (const auto &[id, active] : m_activeJobs) {
        m_demandChanged.push_back(active);
    }
}

const demand_index &fleet_model::demands() const
{
    countJobsExamined(m_demandChanged.size());
    for (job *changed : m_demandChanged) {
        m_demands.update(*changed, queueOf(*changed));
    }
    m_demandChanged.clear();
    return m_demands;
}

void fleet_model::recordStart(job &started)
{
    if (started.recordStart() && !started.ended()) {
        m_demandChanged.push_back(&started);
    }
}

void fleet_model::markChanged(const job_id &id)
{
    m_changed.insert(id);
    job *changed = find(id);
    if (changed != nullptr && changed->markDemandChanged() && !changed->ended()) {
        m_demandChanged.push_back(changed);
    }
}

std::set<job_id> fleet_model::takeChanged()
{
    return std::exchange(m_changed, {});
}

resources fleet_model::resourcesOf(const step_spec &step)
{
    return step.taskResources;
}

std::vector<job_id> fleet_model::takeEnded()
{
    return std::exchange(m_ended, {});
}

int fleet_model::place(const task_key &key, worker &target, instant now, int run)
{
    job &owningJob = *find(key.job);
    task_progress &task = *owningJob.task(key);
    const step_spec &step = owningJob.step(key.step);
    task.phase = task_phase::assigned;
    task.run = run > 0 ? run : task.run + 1;
    task.worker = target.report.id;
    task.startTimeMs = target.report.startTimeMs;
    placed_run placed;
    placed.run = task.run;
    placed.need = resourcesOf(step);
    placed.bestEffort = step.bestEffort;
    placed.longRunning = step.longRunning;
    placed.image = image_name(step.image);
    placed.placedAt = now;
    placed.tailLatencyTarget = step.tailLatencyTarget;
    target.place(key, placed);
    if (target.isSuspectedToFailRuns()) {
        target.nextTrialAt = now + MAX_TRIAL_INTERVAL;
    }
    m_usage.add(owningJob.request().team, placed.need);
    if (owningJob.state() == job_state::queued) {
        owningJob.setState(job_state::running, 0);
    }
    markChanged(key.job);
    return task.run;
}

void fleet_model::restartWorker(const worker_incarnation &later, instant now)
{
    std::vector<task_key> ended;
    for (const auto &[key, run] : m_workers.find(later.id)->runs) {
        ended.push_back(key);
    }
    releaseAll(ended);
    m_workers.replaceWith(later, now);
}

void fleet_model::restorePlacement(const task_key &key, instant leaseEnd, instant now)
{
    job &owningJob = *find(key.job);
    task_progress &task = *owningJob.task(key);
    const worker_incarnation ordered{ task.worker, task.startTimeMs };
    worker *target = m_workers.find(ordered.id);
    if (target == nullptr) {
        // The worker is not listed: its lease has to expire before the task may run elsewhere.
        worker_report unlisted;
        unlisted.id = ordered.id;
        unlisted.startTimeMs = ordered.startTimeMs;
        m_workers.update(unlisted, now);
        m_workers.markUnlisted(unlisted.id);
        target = m_workers.find(ordered.id);
    }
    if (ordered.startTimeMs > target->report.startTimeMs) {
        // The former owner knew of a restart of which no report has been read yet.
        restartWorker(ordered, now);
    } else if (ordered.startTimeMs > 0 && ordered.startTimeMs < target->report.startTimeMs) {
        // The run has ended with its incarnation.
        setUnplaced(key);
        return;
    }
    const step_spec &step = owningJob.step(key.step);
    placed_run placed;
    placed.run = task.run;
    placed.need = resourcesOf(step);
    placed.bestEffort = step.bestEffort;
    placed.longRunning = step.longRunning;
    placed.image = image_name(step.image);
    placed.confirmed = true;
    placed.placedAt = now;
    placed.orderedAt = now;
    placed.confirmedAt = now;
    placed.tailLatencyTarget = step.tailLatencyTarget;
    placed.speedLimitPercent = step.bestEffort ? PRESUMED_SPEED_PERCENT : placed.speedLimitPercent;
    target->place(key, placed);
    target->leaseEnd = std::max(target->leaseEnd, leaseEnd);
    m_usage.add(owningJob.request().team, placed.need);
}

void fleet_model::unplace(const task_key &key, const task_progress &task)
{
    const job &owningJob = *find(key.job);
    worker *target = m_workers.find(task.worker);
    if (target != nullptr) {
        target->remove(key);
    }
    m_usage.remove(owningJob.request().team, resourcesOf(owningJob.step(key.step)));
}

void fleet_model::release(const task_key &key)
{
    job *owningJob = find(key.job);
    task_progress *task = owningJob == nullptr ? nullptr : owningJob->task(key);
    if (task == nullptr || task->phase != task_phase::assigned) {
        return;
    }
    unplace(key, *task);
    setUnplaced(key);
}

void fleet_model::setUnplaced(const task_key &key)
{
    job &owningJob = *find(key.job);
    if (owningJob.isDone(key)) {
        owningJob.markDone(key);
        owningJob.markFinishedOccurrences();
    } else {
        task_progress &task = *owningJob.task(key);
        task.phase = task_phase::waiting;
        task.worker.clear();
    }
    markChanged(key.job);
}

void fleet_model::releaseAll(const std::vector<task_key> &keys)
{
    for (const task_key &key : keys) {
        release(key);
    }
}

bool fleet_model::applyEnd(const finished_run &finished, const std::string &workerId, wall_ms wall)
{
    const task_key &key = finished.task;
    job *owningJob = find(key.job);
    task_progress *task = owningJob == nullptr ? nullptr : owningJob->task(key);
    if (task == nullptr || task->phase != task_phase::assigned || task->run != finished.run || task->worker != workerId) {
        return false;
    }
    unplace(key, *task);
    markChanged(key.job);
    const step_spec &step = owningJob->step(key.step);
    if (owningJob->isDone(key) || (finished.outcome == run_outcome::done && !step.longRunning)) {
        owningJob->markDone(key);
        completeIfDone(*owningJob, wall);
        return true;
    }
    task->phase = task_phase::waiting;
    owningJob->setCheckpoint(key, finished.checkpoint);
    if (finished.outcome != run_outcome::failed) {
        task->worker.clear();
        return true;
    }
    // The worker's id is kept, so that the next run avoids this worker.
    if (!step.longRunning) {
        ++task->failures;
        const queue_config *queue = queueOf(*owningJob);
        if (queue != nullptr && task->failures >= queue->maxAttempts && !owningJob->ended()) {
            task->phase = task_phase::failed;
            endJob(*owningJob, job_state::failed, wall);
        }
    }
    return true;
}

bool fleet_model::isAtFullSpeed(const task_key &key)
{
    const task_progress &task = *find(key.job)->task(key);
    const worker *target = task.phase == task_phase::assigned ? m_workers.find(task.worker) : nullptr;
    if (target == nullptr || target->unansweredPolls > 0) {
        return false;
    }
    const auto placed = target->runs.find(key);
    return placed != target->runs.end() && placed->second.confirmed && !placed->second.stopping && placed->second.progressPercent >= 100;
}

bool fleet_model::recordFailure(const task_key &key, worker &failed, instant now)
{
    job *owningJob = find(key.job);
    task_progress *found = owningJob == nullptr ? nullptr : owningJob->task(key);
    if (found == nullptr) {
        // The end was the last of its occurrence, which is forgotten. Its gang is done, so the run was of no use any more.
        return false;
    }
    task_progress &task = *found;
    const bool wasSuspected = failed.isSuspectedToFailRuns();
    const bool failedHereOnly = task.failedOn.empty() || task.failedOn == std::set<std::string>{ failed.report.id };
    const bool worksOtherwise = failed.failedTasks.empty();
    task.failedOn.insert(failed.report.id);
    failed.lastFailureAt = now;
    if (failedHereOnly || !worksOtherwise) {
        failed.failedTasks.insert(key);
    } else {
        forgiveWorkers(task, key);
    }
    failed.nextTrialAt = now + PAUSE_AFTER_FAILURE;
    return !wasSuspected && failed.isSuspectedToFailRuns();
}

void fleet_model::forgiveWorkers(const task_progress &task, const task_key &key)
{
    for (const std::string &id : task.failedOn) {
        worker *blamed = m_workers.find(id);
        if (blamed != nullptr) {
            blamed->failedTasks.erase(key);
        }
    }
}

void fleet_model::forgiveWorkersOf(const job &failedJob)
{
    for (const auto &[number, occurrence] : failedJob.occurrences()) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                forgiveWorkers(occurrence.steps[step][index],
                               { failedJob.request().id, number, static_cast<int>(step), static_cast<int>(index) });
            }
        }
    }
}

void fleet_model::completeIfDone(job &entry, wall_ms wall)
{
    const bool done = entry.markFinishedOccurrences();
    if (done && !entry.ended()) {
        endJob(entry, job_state::completed, wall);
    }
}

void fleet_model::endJob(job &entry, job_state state, wall_ms wall)
{
    entry.setState(state, wall);
    if (state == job_state::failed) {
        forgiveWorkersOf(entry);
    }
    deactivate(entry);
    m_ended.push_back(entry.request().id);
    markChanged(entry.request().id);
}

} // namespace jujubespool

#include <jujubespool/jobs/wait_reporter.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr int MAX_TASKS_PER_TICK = 250;

// When the task began to wait if it has not been seen before. A task that has never run and has no dependencies has waited since its job
// was accepted, or since its occurrence was due.
instant firstSeenSince(const job &current, const task_key &key, const task_progress &task, instant now, wall_ms wall)
{
    if (task.run > 0 || !current.step(key.step).dependencies.empty()) {
        return now;
    }
    const wall_ms begin = std::max(current.acceptedAt(), current.dueAt(key.occurrence));
    return now - milliseconds(wall - std::min(wall, begin));
}

} // namespace

wait_reporter::wait_reporter(const fleet_model &model, const policy_ticket_cache &tickets, event_log &log)
    : m_model(model)
    , m_tickets(tickets)
    , m_log(log)
{
}

void wait_reporter::tick(const owner_condition &condition, wall_ms wall)
{
    const instant now = condition.now;
    examineNext(now, wall);
    if (now - m_selectedAt >= WAIT_SELECTION_INTERVAL) {
        m_selectedAt = now;
        m_selected = selectOverdue(now);
    }
    if (!m_selected.empty()) {
        report(m_selected.back(), condition);
        m_selected.pop_back();
    }
}

void wait_reporter::examineNext(instant now, wall_ms wall)
{
    if (m_nextJob.empty()) {
        if (now - m_roundStartedAt < WAIT_ROUND_INTERVAL) {
            return;
        }
        m_roundStartedAt = now;
    }
    int examined = 0;
    auto entry = m_model.activeJobs().lower_bound(m_nextJob);
    for (; entry != m_model.activeJobs().end() && examined < MAX_TASKS_PER_TICK; ++entry) {
        examined += examine(*entry->second, now, wall);
    }
    if (entry != m_model.activeJobs().end()) {
        m_nextJob = entry->first;
        return;
    }
    m_nextJob = {};
    std::erase_if(m_waiting, [this](const auto &waiting) { return !m_model.activeJobs().contains(waiting.first); });
}

int wait_reporter::examine(const job &current, instant now, wall_ms wall)
{
    m_model.countJobsExamined(1);
    const job_id &id = current.request().id;
    const auto known = m_waiting.find(id);
    std::map<std::pair<int, int>, held_back_task> steps;
    int examined = 1;
    for (const auto &[number, occurrence] : current.occurrences()) {
        for (int step = 0; !occurrence.ended && step < static_cast<int>(occurrence.steps.size()); ++step) {
            if (occurrence.unfinishedTasks[static_cast<std::size_t>(step)] == 0 || !current.stepReady(occurrence, step)) {
                continue;
            }
            const held_back_task *tracked = nullptr;
            if (known != m_waiting.end()) {
                const auto found = known->second.steps.find({ number, step });
                tracked = found == known->second.steps.end() ? nullptr : &found->second;
            }
            const std::optional<int> trackedIndex = tracked == nullptr ? std::nullopt : std::optional(tracked->index);
            const task_key first{ id, number, step, 0 };
            const std::optional<int> index = heldBackIndex(current, first, trackedIndex, examined);
            if (index && index == trackedIndex) {
                steps[{ number, step }] = *tracked;
            } else if (index) {
                const task_progress &task = occurrence.steps[static_cast<std::size_t>(step)][static_cast<std::size_t>(*index)];
                steps[{ number, step }] = { *index, firstSeenSince(current, first, task, now, wall) };
            }
        }
    }
    if (!steps.empty()) {
        waiting_job &waiting = m_waiting[id];
        waiting.steps = std::move(steps);
        waiting.minWait = minWaitOf(current);
    } else if (known != m_waiting.end()) {
        m_waiting.erase(known);
    }
    return examined;
}

std::optional<int> wait_reporter::heldBackIndex(const job &current, const task_key &first, std::optional<int> tracked, int &examined) const
{
    const auto &tasks = current.occurrences().at(first.occurrence).steps[static_cast<std::size_t>(first.step)];
    task_key key = first;
    const auto heldBack = [&](int index) {
        ++examined;
        key.index = index;
        return isHeldBack(m_model, key, tasks[static_cast<std::size_t>(index)]);
    };
    if (tracked && heldBack(*tracked)) {
        return tracked;
    }
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        if (heldBack(index)) {
            return index;
        }
    }
    return std::nullopt;
}

milliseconds wait_reporter::minWaitOf(const job &current) const
{
    const queue_config *queue = m_model.configured() ? m_model.queueOf(current) : nullptr;
    return std::max(queue == nullptr ? milliseconds(0) : queue->targetLatency, MIN_REPORTED_WAIT);
}

std::vector<wait_reporter::overdue_task> wait_reporter::selectOverdue(instant now) const
{
    std::vector<overdue_task> overdue;
    for (const auto &[id, waiting] : m_waiting) {
        if (now < waiting.nextReportAt) {
            continue;
        }
        const auto oldest = std::min_element(waiting.steps.begin(), waiting.steps.end(),
                                             [](const auto &left, const auto &right) { return left.second.since < right.second.since; });
        if (now - oldest->second.since >= waiting.minWait) {
            overdue.push_back({ oldest->second.since, { id, oldest->first.first, oldest->first.second, oldest->second.index } });
        }
    }
    const std::size_t count = std::min(overdue.size(), MAX_WAIT_LINES_PER_SELECTION);
    std::partial_sort(overdue.begin(), overdue.begin() + static_cast<std::ptrdiff_t>(count), overdue.end());
    overdue.resize(count);
    std::reverse(overdue.begin(), overdue.end());
    return overdue;
}

void wait_reporter::report(const overdue_task &overdue, const owner_condition &condition)
{
    const std::optional<wait_reason> reason = waitReasonOf(m_model, m_tickets, overdue.task, condition);
    const auto known = m_waiting.find(overdue.task.job);
    if (!reason || known == m_waiting.end()) {
        // The task began to run after it was examined.
        return;
    }
    waiting_job &waiting = known->second;
    waiting.nextReportAt = condition.now + waiting.reportInterval;
    waiting.reportInterval = std::min(waiting.reportInterval * 2, MAX_REPORT_INTERVAL);
    const job &current = *m_model.activeJobs().at(overdue.task.job);
    const queue_config *queue = m_model.configured() ? m_model.queueOf(current) : nullptr;
    const std::string pool = queue == nullptr ? "unknown" : queue->pool;
    const milliseconds waited = duration_cast<milliseconds>(condition.now - overdue.since);
    m_log.write("task-waiting",
                { { "task", overdue.task.text() },
                  { "queue", current.request().queue },
                  { "pool", pool },
                  { "reason", std::string(nameOf(*reason)) },
                  { "waited_ms", std::to_string(waited.count()) } });
    m_log.count("task_waits_total", pool + "/" + std::string(nameOf(*reason)));
}

} // namespace jujubespool

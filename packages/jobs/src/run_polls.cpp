// The looks of the run supervisor: what workers list, how runs end, and which workers are judged unfit.
#include <algorithm>
#include <jujubespool/jobs/run_supervisor.h>

namespace jujubespool {

namespace {

// How long a worker may wait for an end before it answers a look.
constexpr milliseconds LOOK_WAIT{ 800 };
// A new owner looks at all workers at once, over connections that are opened for it.
constexpr milliseconds FIRST_LOOK_PATIENCE{ 1500 };
// On a worker with more runs than this, ends are collected for a while before the next look.
constexpr std::size_t RUNS_LOOKED_AT_ONCE = 3;
constexpr milliseconds ENDS_COLLECTED{ 25 };
// Pause between looks at a worker whose ends are not recorded yet: its leases are renewed all the same.
constexpr milliseconds UNRECORDED_LOOK_INTERVAL{ 800 };
// Pause between looks at a worker that does not answer.
constexpr milliseconds SILENT_LOOK_INTERVAL{ 300 };
// A worker that fails runs of this many jobs without a good end between is avoided. One job proves nothing, since a
// job that cannot be done fails everywhere.
constexpr std::size_t FAILED_JOBS_TOLERATED = 2;
constexpr milliseconds FAILING_AVOID{ 2000 };
// A serving task is protected once its tail exceeds the first share of its target; filling tasks speed up
// again below the second.
constexpr double TAIL_HIGH = 0.8;
constexpr double TAIL_LOW = 0.55;
constexpr int PACE_STEP_UP = 10;

} // namespace

bool run_supervisor::needsLook(const worker &target) const
{
    if (target.report.address.empty()) {
        return false;
    }
    return !target.runs.empty() || (target.listed && !target.polled) || target.lastEndRecorded < target.lastEndSeen;
}

void run_supervisor::tick(instant now)
{
    for (auto &[id, target] : m_model.workers().all()) {
        if (!target.pollInFlight && now >= target.nextPollAt && needsLook(target)) {
            look(target, now);
        }
        if (!target.runs.empty() && now >= target.leaseEnd && target.leaseEnd != instant()) {
            endLapsed(target, now);
        }
    }
    m_model.workers().pruneUnlisted(now);
}

void run_supervisor::look(worker &target, instant now)
{
    poll_order order;
    order.worker = addressOf(target);
    order.fencingToken = m_token;
    order.acknowledgedEnds = target.lastEndRecorded;
    // A worker that is silent is not given more time blindly.
    if (target.clockKnown && target.unansweredPolls == 0 && !target.runs.empty() && m_listener.isOwnershipConfirmed(now)) {
        order.untilMs = leaseUntil(target, now);
    }
    const bool unconfirmed = std::any_of(target.runs.begin(), target.runs.end(), [](const auto &item) { return item.second.stopping; });
    if (target.polled && target.unansweredPolls == 0 && !unconfirmed) {
        order.wait = LOOK_WAIT;
    }
    if (!target.polled && target.unansweredPolls == 0) {
        order.responseAllowance = FIRST_LOOK_PATIENCE;
    }
    target.pollInFlight = true;
    const worker_address where = order.worker;
    m_gateway.poll(order,
                   m_lifetime.guard([this, where, now](const poll_result &result, instant then) { onLook(where, now, result, then); }));
}

void run_supervisor::onLook(const worker_address &where, instant sentAt, const poll_result &result, instant now)
{
    m_log.count("looks_total", nameOf(result.status));
    worker *target = m_model.workers().find(where.id);
    if (target == nullptr || target->report.startTimeMs != where.startTimeMs) {
        return;
    }
    target->pollInFlight = false;
    target->nextPollAt = now;
    if (result.status == order_status::fenced) {
        m_listener.onFenced(now);
        return;
    }
    if (result.status != order_status::accepted || (result.startTimeMs != 0 && result.startTimeMs != where.startTimeMs)) {
        onLookUnanswered(*target, result, now);
        return;
    }
    const bool answersSinceStart = target->startUnansweredAt && sentAt > *target->startUnansweredAt;
    if (target->unansweredPolls > 0 || answersSinceStart) {
        m_log.write("worker-answers-again", { { "worker", where.id }, { "unanswered", std::to_string(target->unansweredPolls) } });
        target->startUnansweredAt.reset();
        target->avoidUntil = now;
        target->avoidBackoff = milliseconds(0);
    }
    noteClock(*target, { order_status::accepted, result.clockMs, {} }, now);
    if (!target->polled) {
        // From now on only our own renewals count there.
        target->leaseEnd = std::min(target->leaseEnd, now + m_model.leaseExpiryBound());
        target->polled = true;
    }
    reconcile(*target, sentAt, result, now);
}

void run_supervisor::onLookUnanswered(worker &target, const poll_result &result, instant now)
{
    ++target.unansweredPolls;
    target.nextPollAt = now + SILENT_LOOK_INTERVAL;
    avoid(target, FIRST_AVOID, now);
    if (target.unansweredPolls == 1) {
        m_log.write("worker-silent",
                    { { "worker", target.report.id },
                      { "outcome", std::string(nameOf(result.status)) },
                      { "runs", std::to_string(target.runs.size()) },
                      { "lease_left_ms", std::to_string(duration_cast<milliseconds>(target.leaseEnd - now).count()) },
                      { "reason", result.reason.reason } });
    }
}

void run_supervisor::reconcile(worker &target, instant sentAt, const poll_result &result, instant now)
{
    std::set<std::pair<task_key, int>> shown;
    for (const finished_run &finished : result.finished) {
        shown.insert({ finished.task, finished.run });
    }
    for (const active_run &running : result.running) {
        shown.insert({ running.task, running.run });
        const auto placed = target.runs.find(running.task);
        if (placed == target.runs.end() || placed->second.run != running.run) {
            m_log.write("unknown-run-stopped",
                        { { "task", running.task.text() }, { "run", std::to_string(running.run) }, { "worker", target.report.id } });
            sendStop(running.task, running.run, addressOf(target), now);
            continue;
        }
        placed_run &run = placed->second;
        run.confirmedAt = run.confirmed ? run.confirmedAt : now;
        run.confirmed = true;
        run.progressPercent = running.progressPercent;
        run.reportedMetric = running.reportedMetric;
        job *owner = m_model.find(running.task.job);
        if (!running.checkpoint.empty()) {
            owner->task(running.task)->checkpoint = running.checkpoint;
        }
        if (owner->ended()) {
            stop(running.task, now);
        }
    }
    std::vector<task_key> gone;
    for (const auto &[key, run] : target.runs) {
        const auto stopped = m_confirmedStops.find({ key, run.run });
        const bool proven = (run.confirmed && run.confirmedAt < sentAt) || (stopped != m_confirmedStops.end() && stopped->second < sentAt);
        if (proven && shown.count({ key, run.run }) == 0) {
            gone.push_back(key);
        }
    }
    for (const task_key &key : gone) {
        m_log.write("run-gone", { { "task", key.text() }, { "worker", target.report.id } });
    }
    m_model.releaseAll(gone);
    applyEnds(target, result, now);
    adjustPaces(target);
    if (!gone.empty() || !result.finished.empty()) {
        m_listener.onProgress(now);
    }
}

void run_supervisor::applyEnds(worker &target, const poll_result &result, instant now)
{
    std::uint64_t highest = target.lastEndSeen;
    for (const finished_run &finished : result.finished) {
        if (finished.number <= target.lastEndSeen) {
            continue;
        }
        highest = std::max(highest, finished.number);
        const bool current = m_model.applyEnd(finished, target.report.id, m_listener.wallNow());
        m_confirmedStops.erase({ finished.task, finished.run });
        m_log.count("ends_total", nameOf(finished.outcome));
        if (finished.outcome != run_outcome::done) {
            m_log.write("run-ended",
                        { { "task", finished.task.text() },
                          { "run", std::to_string(finished.run) },
                          { "worker", target.report.id },
                          { "end", std::string(nameOf(finished.outcome)) },
                          { "current", current ? "yes" : "no" } });
        }
        if (current) {
            judge(target, finished, now);
        }
    }
    if (highest == target.lastEndSeen) {
        return;
    }
    target.lastEndSeen = highest;
    // The next look tells the worker that the ends may be forgotten, so it waits for the record, but not for long.
    target.nextPollAt = now + UNRECORDED_LOOK_INTERVAL;
    m_listener.whenDurable(m_lifetime.guard([this, where = addressOf(target), highest](instant then) {
        worker *recorded = m_model.workers().find(where.id);
        if (recorded != nullptr && recorded->report.startTimeMs == where.startTimeMs) {
            recorded->lastEndRecorded = std::max(recorded->lastEndRecorded, highest);
            const bool busy = recorded->runs.size() > RUNS_LOOKED_AT_ONCE;
            recorded->nextPollAt = then + (busy ? ENDS_COLLECTED : milliseconds(0));
        }
    }),
                           now);
}

void run_supervisor::judge(worker &target, const finished_run &finished, instant now)
{
    if (finished.outcome == run_outcome::done) {
        target.failedJobs.clear();
        target.avoidBackoff = milliseconds(0);
        return;
    }
    if (finished.outcome != run_outcome::failed) {
        return;
    }
    target.failedJobs.insert(finished.task.job);
    target.startUnansweredAt.reset();
    if (target.failedJobs.size() >= FAILED_JOBS_TOLERATED) {
        avoid(target, FAILING_AVOID, now);
        m_log.write("worker-avoided",
                    { { "worker", target.report.id },
                      { "jobs_failed", std::to_string(target.failedJobs.size()) },
                      { "for_ms", std::to_string(target.avoidBackoff.count()) } });
    }
}

void run_supervisor::endLapsed(worker &target, instant now)
{
    std::vector<task_key> keys;
    for (const auto &[key, run] : target.runs) {
        keys.push_back(key);
    }
    m_log.write("leases-lapsed",
                { { "worker", target.report.id },
                  { "runs", std::to_string(keys.size()) },
                  { "silent_ms", std::to_string(duration_cast<milliseconds>(now - target.lastResponseAt).count()) } });
    m_model.releaseAll(keys);
    target.leaseEnd = instant();
    m_listener.onProgress(now);
}

void run_supervisor::adjustPaces(worker &target)
{
    double worst = 0;
    for (const auto &[key, run] : target.runs) {
        if (run.tailLatencyTarget.count() > 0 && run.confirmed) {
            worst = std::max(worst, static_cast<double>(run.reportedMetric) / static_cast<double>(run.tailLatencyTarget.count()));
        }
    }
    std::vector<std::pair<task_key, int>> changes;
    for (const auto &[key, run] : target.runs) {
        if (!run.bestEffort || !run.confirmed) {
            continue;
        }
        if (worst > TAIL_HIGH && run.pace > 0) {
            changes.emplace_back(key, worst > 1 ? 0 : run.pace / 2);
        } else if (worst < TAIL_LOW && run.pace < 100) {
            changes.emplace_back(key, std::min(100, run.pace + PACE_STEP_UP));
        }
    }
    for (const auto &[key, percent] : changes) {
        setPace(key, percent);
    }
}

} // namespace jujubespool

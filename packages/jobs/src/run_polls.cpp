// The part of run_supervisor that polls workers: it compares the listed runs with the placed ones, applies the ends of runs and
// avoids unhealthy workers.
#include <algorithm>
#include <jujubespool/jobs/run_supervisor.h>
#include <tuple>

namespace jujubespool {

namespace {

// Maximum time for which a worker may delay its response to a poll until a run ends (long poll).
constexpr milliseconds POLL_WAIT{ 800 };
// Additional time for the response to the first poll: a new owner polls all workers at the same time, over new connections.
constexpr milliseconds FIRST_POLL_RESPONSE_ALLOWANCE{ 1500 };
// On a worker with more runs than this, the next poll is delayed so that it reports several ends at once.
constexpr std::size_t MAX_RUNS_FOR_IMMEDIATE_POLL = 3;
constexpr milliseconds END_BATCHING_DELAY{ 25 };
// Poll interval for a worker that has reported ends which are not durably recorded yet. The polls renew its leases.
constexpr milliseconds UNRECORDED_ENDS_POLL_INTERVAL{ 800 };
// Poll interval for a worker that does not respond.
constexpr milliseconds UNRESPONSIVE_POLL_INTERVAL{ 300 };
// All attempts to start a run take less time than this.
constexpr milliseconds MAX_UNCONFIRMED_TIME{ 2500 };
// A worker is no longer blamed for failed runs if none has failed there for this long.
constexpr milliseconds BLAME_DURATION{ 4000 };
// Poll interval while this process may not act.
constexpr milliseconds WITHHELD_POLL_INTERVAL{ 100 };

// The runs that a poll result lists as active or ended. Refers to the result and copies no keys, since every poll needs it.
class listed_runs
{
public:
    explicit listed_runs(const poll_result &result)
    {
        for (const finished_run &finished : result.finished) {
            m_runs.push_back({ &finished.task, finished.run });
        }
        for (const active_run &running : result.running) {
            m_runs.push_back({ &running.task, running.run });
        }
        std::sort(m_runs.begin(), m_runs.end());
    }

    bool contains(const task_key &task, int run) const
    {
        return std::binary_search(m_runs.begin(), m_runs.end(), entry{ &task, run });
    }

private:
    struct entry
    {
        const task_key *task;
        int run;

        bool operator<(const entry &other) const
        {
            return std::tie(*task, run) < std::tie(*other.task, other.run);
        }
    };
    std::vector<entry> m_runs;
};

} // namespace

bool run_supervisor::needsPoll(const worker &target) const
{
    if (target.report.address.empty()) {
        return false;
    }
    const bool mustAnswerFirst = !target.polled || target.unansweredPolls > 0;
    return !target.runs.empty() || (target.listed && mustAnswerFirst) || target.lastEndRecorded < target.lastEndSeen;
}

void run_supervisor::tick(instant now)
{
    m_model.countWorkersExamined(m_model.workers().all().size());
    for (auto &[id, target] : m_model.workers().all()) {
        if (!target.failedTasks.empty() && now - target.lastFailureAt > BLAME_DURATION) {
            target.failedTasks.clear();
        }
        if (!target.pollInFlight && now >= target.nextPollAt && needsPoll(target)) {
            poll(target, now);
        }
        const bool mayExpire = target.polled || m_listener.formerLeasesExpired(now);
        if (!target.runs.empty() && now >= target.leaseEnd && mayExpire) {
            expireLeases(target, now);
        }
    }
    m_model.workers().pruneUnlisted(now);
}

void run_supervisor::poll(worker &target, instant now)
{
    poll_order order;
    order.worker = addressOf(target);
    order.fencingToken = m_token;
    order.acknowledgedEnds = target.lastEndRecorded > target.lastEndAcknowledged ? target.lastEndRecorded : 0;
    // The leases of a worker that does not respond are not renewed.
    if (target.clockKnown && target.unansweredPolls == 0 && !target.runs.empty() && m_listener.isOwnershipConfirmed(now)) {
        order.untilMs = leaseUntil(target, now);
    }
    const bool stopPending = std::any_of(target.runs.begin(), target.runs.end(), [](const auto &entry) { return entry.second.stopping; });
    if (target.polled && target.unansweredPolls == 0 && !stopPending) {
        order.wait = POLL_WAIT;
    }
    if (!target.polled && target.unansweredPolls == 0) {
        order.responseAllowance = FIRST_POLL_RESPONSE_ALLOWANCE;
    }
    target.pollInFlight = true;
    const sent_poll sent{ order.worker.incarnation, now, order.acknowledgedEnds };
    m_gateway.poll(order, m_lifetime.guard([this, sent](const poll_result &result, instant then) { onPollResult(sent, result, then); }));
}

void run_supervisor::onPollResult(const sent_poll &sent, const poll_result &result, instant now)
{
    m_log.count("looks_total", nameOf(result.status));
    worker *target = m_model.workers().find(sent.worker);
    if (target == nullptr) {
        return;
    }
    target->pollInFlight = false;
    target->nextPollAt = now;
    if (result.status == order_status::fenced) {
        m_listener.onFenced(now);
        return;
    }
    if (result.status == order_status::withheld) {
        target->nextPollAt = now + WITHHELD_POLL_INTERVAL;
        return;
    }
    if (result.status != order_status::accepted || result.startTimeMs < sent.worker.startTimeMs) {
        onPollFailed(*target, result, now);
        return;
    }
    const bool restarted = result.startTimeMs > sent.worker.startTimeMs;
    if (restarted) {
        onRestart({ sent.worker.id, result.startTimeMs }, now);
        target = m_model.workers().find(sent.worker.id);
    }
    const bool respondedSinceStart = target->startUnansweredAt && sent.at > *target->startUnansweredAt;
    if (target->unansweredPolls > 0 || respondedSinceStart) {
        m_log.write("worker-answers-again", { { "worker", sent.worker.id }, { "unanswered", std::to_string(target->unansweredPolls) } });
        target->startUnansweredAt.reset();
        target->avoidUntil = now;
        target->avoidBackoff = milliseconds(0);
    }
    target->lastResponseAt = now;
    recordClock(*target, result.clockMs, now);
    if (!target->polled) {
        // The worker has accepted this manager's fencing token, so only this manager can renew its leases from now on.
        target->leaseEnd = std::min(target->leaseEnd, now + m_model.leaseExpiryBound());
        target->polled = true;
    }
    if (!restarted) {
        target->lastEndAcknowledged = std::max(target->lastEndAcknowledged, sent.acknowledgedEnds);
    }
    reconcileRuns(*target, sent.at, result, now);
    if (restarted) {
        m_listener.onProgress(now);
    }
}

void run_supervisor::onPollFailed(worker &target, const poll_result &result, instant now)
{
    ++target.unansweredPolls;
    target.nextPollAt = now + UNRESPONSIVE_POLL_INTERVAL;
    if (target.unansweredPolls == 1) {
        m_log.write("worker-silent",
                    { { "worker", target.report.id },
                      { "outcome", std::string(nameOf(result.status)) },
                      { "runs", std::to_string(target.runs.size()) },
                      { "lease_left_ms", std::to_string(duration_cast<milliseconds>(target.leaseEnd - now).count()) },
                      { "reason", result.reason.reason } });
    }
}

bool run_supervisor::stopConfirmedBefore(const worker &target, const task_key &key, int run, instant time) const
{
    const auto stopped = m_confirmedStops.find({ key, run });
    return stopped != m_confirmedStops.end() && stopped->second.worker == target.incarnation() && stopped->second.at < time;
}

void run_supervisor::reconcileRuns(worker &target, instant sentAt, const poll_result &result, instant now)
{
    const listed_runs listed(result);
    for (const active_run &running : result.running) {
        const auto placed = target.runs.find(running.task);
        if (placed == target.runs.end() || placed->second.run != running.run) {
            m_log.write("unknown-run-stopped",
                        { { "task", running.task.text() }, { "run", std::to_string(running.run) }, { "worker", target.report.id } });
            sendStop(running.task, running.run, addressOf(target));
            continue;
        }
        placed_run &run = placed->second;
        run.confirmedAt = run.confirmed ? run.confirmedAt : now;
        run.confirmed = true;
        run.progressPercent = running.progressPercent;
        run.reportedMetric = running.reportedMetric;
        job *owningJob = m_model.find(running.task.job);
        m_model.recordStart(*owningJob);
        owningJob->setCheckpoint(running.task, running.checkpoint);
        if (!owningJob->needsRun(running.task)) {
            stop(running.task);
        }
    }
    std::vector<task_key> gone;
    for (const auto &[key, run] : target.runs) {
        const bool provenGone = (run.confirmed && run.confirmedAt < sentAt) || stopConfirmedBefore(target, key, run.run, sentAt);
        if (provenGone && result.complete && !listed.contains(key, run.run)) {
            gone.push_back(key);
        }
    }
    for (const task_key &key : gone) {
        m_log.write("run-gone", { { "task", key.text() }, { "worker", target.report.id } });
    }
    m_model.releaseAll(gone);
    applyEnds(target, result, now);
    settleOverdueStarts(target, now);
    adjustSpeedLimits(target, now);
    if (!gone.empty() || !result.finished.empty()) {
        m_listener.onProgress(now);
    }
}

void run_supervisor::settleOverdueStarts(worker &target, instant now)
{
    std::vector<task_key> overdue;
    for (const auto &[key, run] : target.runs) {
        if (!run.confirmed && !run.stopping && run.orderedAt && now - *run.orderedAt > MAX_UNCONFIRMED_TIME) {
            overdue.push_back(key);
        }
    }
    for (const task_key &key : overdue) {
        m_log.write("start-overdue", { { "task", key.text() }, { "worker", target.report.id } });
        m_log.count("overdue_total", "start");
        stop(key);
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
            updateHealth(target, finished, now);
        }
    }
    if (highest == target.lastEndSeen) {
        return;
    }
    target.lastEndSeen = highest;
    // The next poll acknowledges the ends to the worker, so it is delayed until they are recorded, but no longer than this.
    target.nextPollAt = now + UNRECORDED_ENDS_POLL_INTERVAL;
    m_listener.whenDurable(m_lifetime.guard([this, reported = target.incarnation(), highest](instant then) {
        worker *recorded = m_model.workers().find(reported);
        if (recorded != nullptr) {
            recorded->lastEndRecorded = std::max(recorded->lastEndRecorded, highest);
            const bool busy = recorded->runs.size() > MAX_RUNS_FOR_IMMEDIATE_POLL;
            recorded->nextPollAt = then + (busy ? END_BATCHING_DELAY : milliseconds(0));
        }
    }),
                           now);
}

void run_supervisor::updateHealth(worker &target, const finished_run &finished, instant now)
{
    if (finished.outcome == run_outcome::done) {
        target.failedTasks.clear();
        target.avoidBackoff = milliseconds(0);
        return;
    }
    if (finished.outcome != run_outcome::failed) {
        return;
    }
    target.startUnansweredAt.reset();
    if (m_model.recordFailure(finished.task, target, now)) {
        m_log.write("worker-avoided",
                    { { "worker", target.report.id },
                      { "tasks_failed", std::to_string(target.failedTasks.size()) },
                      { "for_ms", std::to_string(duration_cast<milliseconds>(target.nextTrialAt - now).count()) } });
    }
}

void run_supervisor::expireLeases(worker &target, instant now)
{
    std::vector<task_key> keys;
    for (const auto &[key, run] : target.runs) {
        if (run.orderedAt) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    m_log.write("leases-lapsed",
                { { "worker", target.report.id },
                  { "runs", std::to_string(keys.size()) },
                  { "silent_ms", std::to_string(duration_cast<milliseconds>(now - target.lastResponseAt).count()) } });
    m_model.releaseAll(keys);
    m_listener.onProgress(now);
}

void run_supervisor::adjustSpeedLimits(worker &target, instant now)
{
    learnFromWorker(target, m_model.interference(), now);
    for (const auto &[key, run] : target.runs) {
        if (run.confirmed && run.tailLatencyTarget.count() > 0 && run.reportedMetric > run.tailLatencyTarget.count()) {
            m_log.count("serving_over_target_total", run.image.text());
        }
    }
    for (const speed_change &change : planSpeedLimits(target, m_model.interference(), now)) {
        setSpeedLimit(change, now);
    }
}

} // namespace jujubespool

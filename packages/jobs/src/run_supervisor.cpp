#include <jujubespool/jobs/run_supervisor.h>

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

namespace {

// Number of start orders that are sent without a response before the run is stopped instead.
constexpr int MAX_START_ATTEMPTS = 3;
constexpr milliseconds STOP_RETRY_DELAY{ 250 };
// Upper limit of the time for which a worker is avoided, which doubles each time.
constexpr milliseconds MAX_AVOID_TIME{ 2000 };

} // namespace

run_supervisor::run_supervisor(fleet_model &model, worker_gateway &gateway, timer_service &timers, event_log &log,
                               std::uint64_t fencingToken, run_listener &listener)
    : m_model(model)
    , m_gateway(gateway)
    , m_timers(timers)
    , m_log(log)
    , m_token(fencingToken)
    , m_listener(listener)
{
}

worker *run_supervisor::workerOf(const task_key &key)
{
    job *owningJob = m_model.find(key.job);
    const task_progress *task = owningJob == nullptr ? nullptr : owningJob->task(key);
    if (task == nullptr || task->phase != task_phase::assigned) {
        return nullptr;
    }
    return m_model.workers().find(task->worker);
}

placed_run *run_supervisor::runOf(const task_key &key, int run)
{
    worker *target = workerOf(key);
    if (target == nullptr) {
        return nullptr;
    }
    const auto found = target->runs.find(key);
    return found == target->runs.end() || found->second.run != run ? nullptr : &found->second;
}

std::int64_t run_supervisor::leaseUntil(worker &target, instant now)
{
    const auto msSinceRead = duration_cast<milliseconds>(now - target.clockReadAt).count();
    target.leaseEnd = std::max(target.leaseEnd, now + m_model.leaseExpiryBound());
    return target.clockMs + static_cast<std::int64_t>(static_cast<double>(msSinceRead) * MIN_WORKER_CLOCK_RATE)
        + m_model.leaseLength().count();
}

void run_supervisor::recordClock(worker &target, std::int64_t clockMs, instant now)
{
    target.unansweredPolls = 0;
    target.clockMs = clockMs;
    target.clockReadAt = now;
    target.clockKnown = true;
}

void run_supervisor::onReport(const worker_report &report, instant now)
{
    const worker *known = m_model.workers().find(report.id);
    if (known != nullptr && known->report.startTimeMs < report.startTimeMs) {
        onRestart(report.incarnation(), now);
    }
    m_model.workers().update(report, now);
}

void run_supervisor::onRestart(const worker_incarnation &later, instant now)
{
    const worker &former = *m_model.workers().find(later.id);
    const std::uint64_t formerStart = former.report.startTimeMs;
    const std::size_t formerRuns = former.runs.size();
    m_model.restartWorker(later, now);
    m_log.write("worker-restarted",
                { { "worker", later.id },
                  { "born", std::to_string(later.startTimeMs) },
                  { "born_before", std::to_string(formerStart) },
                  { "runs", std::to_string(formerRuns) } });
}

void run_supervisor::avoidWorker(worker &target, milliseconds minTime, instant now)
{
    target.avoidBackoff = std::min(std::max(target.avoidBackoff * 2, minTime), MAX_AVOID_TIME);
    target.avoidUntil = now + target.avoidBackoff;
}

void run_supervisor::start(const placement &placed, instant now)
{
    const worker *target = workerOf(placed.task);
    if (target != nullptr) {
        start_attempt first;
        first.placed = placed;
        first.worker = target->incarnation();
        sendStart(first, now);
    }
}

void run_supervisor::withhold(const placement &placed, instant now)
{
    const placed_run *run = runOf(placed.task, placed.run);
    if (run != nullptr && !run->confirmed && !run->stopping) {
        giveUpStart(placed.task, now);
    }
}

void run_supervisor::sendStart(const start_attempt &attempt, instant now)
{
    const placement &placed = attempt.placed;
    job *owningJob = m_model.find(placed.task.job);
    worker *target = workerOf(placed.task);
    placed_run *run = runOf(placed.task, placed.run);
    if (run == nullptr || run->confirmed || run->stopping) {
        return;
    }
    const bool restarted = target->incarnation() != attempt.worker;
    if (restarted || target->evacuated || !owningJob->needsRun(placed.task) || !m_listener.isOwnershipConfirmed(now)) {
        giveUpStart(placed.task, now);
        return;
    }
    run->orderedAt = run->orderedAt.value_or(now);
    start_order order;
    order.worker = addressOf(*target);
    order.task = placed.task;
    order.run = placed.run;
    order.spec = owningJob->request().spec;
    order.untilMs = leaseUntil(*target, now);
    order.fencingToken = m_token;
    order.checkpoint = owningJob->task(placed.task)->checkpoint;
    order.ticket = placed.ticket;
    order.repeated = attempt.attempts > 0;
    start_attempt next = attempt;
    ++next.attempts;
    m_gateway.start(order, m_lifetime.guard([this, next](const order_result &result, instant then) { onStartAnswer(next, result, then); }));
}

void run_supervisor::onStartAnswer(const start_attempt &attempt, const order_result &result, instant now)
{
    const placement &placed = attempt.placed;
    m_log.count("starts_total", nameOf(result.status));
    if (result.status != order_status::accepted || attempt.attempts > 1) {
        m_log.write("start-answered",
                    { { "task", placed.task.text() },
                      { "run", std::to_string(placed.run) },
                      { "worker", placed.worker },
                      { "attempt", std::to_string(attempt.attempts) },
                      { "outcome", std::string(nameOf(result.status)) },
                      { "reason", result.reason.reason } });
    }
    placed_run *run = runOf(placed.task, placed.run);
    worker *target = workerOf(placed.task);
    if (run == nullptr || target->report.id != placed.worker) {
        return;
    }
    const bool otherAnswerCounts = run->confirmed && result.status != order_status::accepted && result.status != order_status::fenced
        && result.status != order_status::other_incarnation;
    if (otherAnswerCounts) {
        // A poll has listed the run since this order was sent.
        return;
    }
    if (result.status == order_status::unknown) {
        run->inDoubt = true;
        onStartUnanswered(attempt, now);
        return;
    }
    if (result.status == order_status::withheld) {
        onStartRejected(attempt, result, now);
        return;
    }
    if (result.status == order_status::other_incarnation && result.startTimeMs > target->report.startTimeMs) {
        onRestart({ target->report.id, result.startTimeMs }, now);
        m_listener.onProgress(now);
        return;
    }
    target->lastResponseAt = now;
    if (result.clockMs && result.status != order_status::other_incarnation) {
        recordClock(*target, *result.clockMs, now);
    }
    if (result.status == order_status::accepted) {
        run->confirmed = true;
        run->confirmedAt = now;
        m_model.recordStart(*m_model.find(placed.task.job));
        if (!target->pollInFlight) {
            target->nextPollAt = now;
        }
        if (!m_model.find(placed.task.job)->needsRun(placed.task)) {
            stop(placed.task);
        }
        return;
    }
    if (result.status == order_status::fenced) {
        m_listener.onFenced(now);
        return;
    }
    onStartRejected(attempt, result, now);
}

void run_supervisor::onStartUnanswered(const start_attempt &attempt, instant now)
{
    worker &target = *workerOf(attempt.placed.task);
    avoidWorker(target, INITIAL_AVOID_TIME, now);
    target.startUnansweredAt = now;
    placed_run &run = *runOf(attempt.placed.task, attempt.placed.run);
    if (attempt.attempts < MAX_START_ATTEMPTS && !run.stopping) {
        sendStart(attempt, now);
    } else if (!run.confirmed) {
        stop(attempt.placed.task);
    }
}

void run_supervisor::onStartRejected(const start_attempt &attempt, const order_result &result, instant now)
{
    const placement &placed = attempt.placed;
    placed_run &run = *runOf(placed.task, placed.run);
    worker &target = *workerOf(placed.task);
    if (result.status == order_status::bad_ticket) {
        m_listener.onBadTicket(placed.task, placed.worker);
    }
    if (result.status == order_status::no_room || result.status == order_status::refused) {
        avoidWorker(target, INITIAL_AVOID_TIME, now);
    }
    if (result.status == order_status::other_incarnation) {
        // The worker has restarted. Its state is unknown until the platform's list reports the new incarnation.
        target.polled = false;
        target.clockKnown = false;
        run.inDoubt = false;
    }
    if (result.status == order_status::superseded) {
        // The run has already ended or been stopped on the worker. The next poll reports how it ended.
        run.confirmed = true;
        run.confirmedAt = now;
        target.nextPollAt = now;
        return;
    }
    giveUpStart(placed.task, now);
}

void run_supervisor::giveUpStart(const task_key &key, instant now)
{
    if (workerOf(key)->runs.at(key).inDoubt) {
        // An earlier copy of the order may still be executed.
        stop(key);
        return;
    }
    m_model.release(key);
    m_listener.onProgress(now);
}

void run_supervisor::stop(const task_key &key)
{
    worker *target = workerOf(key);
    if (target == nullptr) {
        return;
    }
    placed_run &run = target->runs.at(key);
    if (!run.stopping) {
        run.stopping = true;
        sendStop(key, run.run, addressOf(*target));
    }
}

void run_supervisor::sendStop(const task_key &key, int run, const worker_address &address)
{
    const stop_order order{ address, key, run, m_token };
    m_gateway.stop(order, m_lifetime.guard([this, key, run, address](const order_result &result, instant now) {
        onStopAnswer(key, run, address, result, now);
    }));
}

void run_supervisor::onStopAnswer(const task_key &key, int run, const worker_address &address, const order_result &result, instant now)
{
    m_log.count("stops_total", nameOf(result.status));
    worker *target = m_model.workers().find(address.incarnation);
    if (target == nullptr || result.status == order_status::other_incarnation) {
        return;
    }
    if (result.status == order_status::fenced) {
        m_listener.onFenced(now);
        return;
    }
    if (result.status == order_status::accepted) {
        target->lastResponseAt = now;
        m_confirmedStops[{ key, run }] = { address.incarnation, now };
        if (!target->pollInFlight) {
            target->nextPollAt = now;
        }
        return;
    }
    const bool placed = runOf(key, run) != nullptr;
    if (placed || now < target->leaseEnd) {
        m_timers.after(STOP_RETRY_DELAY, m_lifetime.guard([this, key, run, address](instant) { sendStop(key, run, address); }));
    }
}

void run_supervisor::setSpeedLimit(const speed_change &change, instant now)
{
    worker *target = workerOf(change.task);
    if (target == nullptr) {
        return;
    }
    placed_run &run = target->runs.at(change.task);
    m_log.count("speed_changes_total", nameOf(change.reason));
    m_log.write("pace",
                { { "task", change.task.text() },
                  { "worker", target->report.id },
                  { "image", run.image.text() },
                  { "percent", fmt::format("{}->{}", run.speedLimitPercent, change.percent) },
                  { "reason", std::string(nameOf(change.reason)) },
                  { "tail_ratio", fmt::format("{:.2f}", change.tailRatio) },
                  { "harm", fmt::format("{:.2f}", change.harm) } });
    const int formerPercent = changeSpeed(run, change.percent, now);
    const speed_limit_order order{ addressOf(*target), change.task, run.run, change.percent, m_token };
    m_gateway.setSpeedLimit(order, m_lifetime.guard([this, change, formerPercent, number = run.run](const order_result &result, instant) {
        placed_run *current = runOf(change.task, number);
        if (current != nullptr && result.status != order_status::accepted && current->speedLimitPercent == change.percent) {
            // The new limit is not in effect, so the next poll decides again.
            current->speedLimitPercent = formerPercent;
            current->speedChangedAt = instant();
        }
    }));
}

} // namespace jujubespool

#include <jujubespool/jobs/run_supervisor.h>

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

namespace {

// A start is repeated this often before the run is stopped instead.
constexpr int START_ATTEMPTS = 3;
constexpr milliseconds STOP_RETRY_DELAY{ 250 };
// Longest time for which a worker is avoided at once.
constexpr milliseconds LONGEST_AVOID{ 6000 };

} // namespace

run_supervisor::run_supervisor(fleet_model &model, worker_gateway &gateway, timer_service &clock, event_log &log,
                               std::uint64_t fencingToken, run_listener &listener)
    : m_model(model)
    , m_gateway(gateway)
    , m_clock(clock)
    , m_log(log)
    , m_token(fencingToken)
    , m_listener(listener)
{
}

worker *run_supervisor::workerOf(const task_key &key)
{
    job *item = m_model.find(key.job);
    const task_progress *task = item == nullptr ? nullptr : item->task(key);
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
    const auto sinceRead = duration_cast<milliseconds>(now - target.clockReadAt).count();
    target.leaseEnd = std::max(target.leaseEnd, now + m_model.leaseExpiryBound());
    return target.clockMs + static_cast<std::int64_t>(static_cast<double>(sinceRead) * MIN_WORKER_CLOCK_RATE)
        + m_model.leaseLength().count();
}

void run_supervisor::noteClock(worker &target, const order_result &result, instant now)
{
    target.lastResponseAt = now;
    target.unansweredPolls = 0;
    if (result.clockMs) {
        target.clockMs = *result.clockMs;
        target.clockReadAt = now;
        target.clockKnown = true;
    }
}

void run_supervisor::avoid(worker &target, milliseconds least, instant now)
{
    target.avoidBackoff = std::min(std::max(target.avoidBackoff * 2, least), LONGEST_AVOID);
    target.avoidUntil = now + target.avoidBackoff;
}

void run_supervisor::start(const placement &item, instant now)
{
    sendStart({ item, 0 }, now);
}

void run_supervisor::sendStart(const start_attempt &attempt, instant now)
{
    const placement &item = attempt.item;
    job *owner = m_model.find(item.task.job);
    worker *target = workerOf(item.task);
    placed_run *run = runOf(item.task, item.run);
    if (run == nullptr || run->confirmed || run->stopping) {
        return;
    }
    if (owner->ended() || !m_listener.isOwnershipConfirmed(now)) {
        if (attempt.attempts == 0) {
            m_model.release(item.task);
            m_listener.onProgress(now);
        }
        return;
    }
    start_order order;
    order.worker = addressOf(*target);
    order.task = item.task;
    order.run = item.run;
    order.spec = owner->request().spec;
    order.untilMs = leaseUntil(*target, now);
    order.fencingToken = m_token;
    order.checkpoint = owner->task(item.task)->checkpoint;
    order.ticket = item.ticket;
    order.repeated = attempt.attempts > 0;
    start_attempt next = attempt;
    ++next.attempts;
    m_gateway.start(order, m_lifetime.guard([this, next](const order_result &result, instant then) { onStartAnswer(next, result, then); }));
}

void run_supervisor::onStartAnswer(const start_attempt &attempt, const order_result &result, instant now)
{
    const placement &item = attempt.item;
    m_log.count("starts_total", nameOf(result.status));
    if (result.status != order_status::accepted || attempt.attempts > 1) {
        m_log.write("start-answered",
                    { { "task", item.task.text() },
                      { "run", std::to_string(item.run) },
                      { "worker", item.worker },
                      { "attempt", std::to_string(attempt.attempts) },
                      { "outcome", std::string(nameOf(result.status)) },
                      { "reason", result.reason.reason } });
    }
    placed_run *run = runOf(item.task, item.run);
    worker *target = workerOf(item.task);
    if (run == nullptr || target->report.id != item.worker) {
        return;
    }
    if (result.status == order_status::unknown) {
        run->inDoubt = true;
        onStartUnanswered(attempt, now);
        return;
    }
    noteClock(*target, result, now);
    if (result.status == order_status::accepted) {
        run->confirmed = true;
        run->confirmedAt = now;
        if (!target->pollInFlight) {
            target->nextPollAt = now;
        }
        if (m_model.find(item.task.job)->ended()) {
            stop(item.task, now);
        }
        return;
    }
    if (result.status == order_status::fenced) {
        m_listener.onFenced(now);
        return;
    }
    giveUpStart(attempt, result, now);
}

void run_supervisor::onStartUnanswered(const start_attempt &attempt, instant now)
{
    worker &target = *workerOf(attempt.item.task);
    avoid(target, FIRST_AVOID, now);
    target.startUnansweredAt = now;
    placed_run &run = *runOf(attempt.item.task, attempt.item.run);
    if (attempt.attempts < START_ATTEMPTS && !run.stopping) {
        sendStart(attempt, now);
    } else if (!run.confirmed) {
        stop(attempt.item.task, now);
    }
}

void run_supervisor::giveUpStart(const start_attempt &attempt, const order_result &result, instant now)
{
    const placement &item = attempt.item;
    placed_run &run = *runOf(item.task, item.run);
    worker &target = *workerOf(item.task);
    if (result.status == order_status::bad_ticket) {
        m_listener.onBadTicket(item.task, item.worker);
    }
    if (result.status == order_status::no_room || result.status == order_status::refused) {
        avoid(target, FIRST_AVOID, now);
    }
    if (result.status == order_status::other_incarnation) {
        // The list will tell the new life; until then nothing is known of the worker.
        target.polled = false;
        target.clockKnown = false;
    }
    if (result.status == order_status::superseded) {
        // The run is over there; the next look shows how it ended.
        run.confirmed = true;
        run.confirmedAt = now;
        target.nextPollAt = now;
        return;
    }
    if (run.inDoubt && result.status != order_status::other_incarnation) {
        // An earlier copy of the order may still be carried out.
        stop(item.task, now);
        return;
    }
    m_model.release(item.task);
    m_listener.onProgress(now);
}

void run_supervisor::stop(const task_key &key, instant now)
{
    worker *target = workerOf(key);
    if (target == nullptr) {
        return;
    }
    placed_run &run = target->runs.at(key);
    if (!run.stopping) {
        run.stopping = true;
        sendStop(key, run.run, addressOf(*target), now);
    }
}

void run_supervisor::sendStop(const task_key &key, int run, const worker_address &where, instant)
{
    const stop_order order{ where, key, run, m_token };
    m_gateway.stop(order, m_lifetime.guard([this, key, run, where](const order_result &result, instant now) {
        onStopAnswer(key, run, where, result, now);
    }));
}

void run_supervisor::onStopAnswer(const task_key &key, int run, const worker_address &where, const order_result &result, instant now)
{
    m_log.count("stops_total", nameOf(result.status));
    worker *target = m_model.workers().find(where.id);
    const bool current = target != nullptr && target->report.startTimeMs == where.startTimeMs;
    if (!current || result.status == order_status::other_incarnation) {
        return;
    }
    if (result.status == order_status::fenced) {
        m_listener.onFenced(now);
        return;
    }
    if (result.status == order_status::accepted) {
        noteClock(*target, result, now);
        m_confirmedStops[{ key, run }] = now;
        if (!target->pollInFlight) {
            target->nextPollAt = now;
        }
        return;
    }
    if (now < target->leaseEnd) {
        m_clock.after(STOP_RETRY_DELAY, m_lifetime.guard([this, key, run, where](instant then) { sendStop(key, run, where, then); }));
    }
}

void run_supervisor::setPace(const task_key &key, int percent)
{
    worker *target = workerOf(key);
    if (target == nullptr) {
        return;
    }
    placed_run &run = target->runs.at(key);
    m_log.write("pace",
                { { "task", key.text() }, { "worker", target->report.id }, { "percent", fmt::format("{}->{}", run.pace, percent) } });
    run.pace = percent;
    const pace_order order{ addressOf(*target), key, run.run, percent, m_token };
    m_gateway.pace(order, m_lifetime.guard([this, key, number = run.run, percent](const order_result &result, instant) {
        placed_run *paced = runOf(key, number);
        if (paced != nullptr && result.status != order_status::accepted && paced->pace == percent) {
            // Not in force: the next look decides again.
            paced->pace = 100;
        }
    }));
}

} // namespace jujubespool

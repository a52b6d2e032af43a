#include <jujubespool/jobs/run_supervisor.h>

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

namespace {

// How long a worker may wait for an end before it answers a look.
constexpr milliseconds LOOK_WAIT{ 800 };
// On a worker with more runs than this, ends are collected for a while before the next look.
constexpr std::size_t RUNS_LOOKED_AT_ONCE = 3;
constexpr milliseconds ENDS_COLLECTED{ 25 };
// Pause between looks at a worker whose ends are not recorded yet: its leases are renewed all the same.
constexpr milliseconds UNRECORDED_LOOK_INTERVAL{ 800 };
// Pause between looks at a worker that does not answer.
constexpr milliseconds SILENT_LOOK_INTERVAL{ 300 };
// A start is repeated this often before the run is stopped instead.
constexpr int START_ATTEMPTS = 3;
constexpr milliseconds STOP_RETRY_DELAY{ 250 };
// A worker that refused or was silent gets no new work for this long, doubled each time up to the longest.
constexpr milliseconds FIRST_AVOID{ 300 };
constexpr milliseconds LONGEST_AVOID{ 6000 };
// A worker that fails runs of this many jobs without a good end between is avoided. One job proves nothing, since a
// job that cannot be done fails everywhere.
constexpr std::size_t FAILED_JOBS_TOLERATED = 2;
constexpr milliseconds FAILING_AVOID{ 2000 };
// A serving task is protected once its tail exceeds the first share of its target; filling tasks speed up
// again below the second.
constexpr double TAIL_HIGH = 0.8;
constexpr double TAIL_LOW = 0.55;
constexpr int PACE_STEP_UP = 10;

worker_address addressOf(const worker &target)
{
    return { target.report.id, target.report.born, target.report.address };
}

} // namespace

run_supervisor::run_supervisor(fleet_model &model, worker_gateway &gateway, scheduler_clock &clock, decision_log &log,
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
    target.leaseEnd = std::max(target.leaseEnd, now + m_model.leaseBound());
    return target.clockMs + static_cast<std::int64_t>(static_cast<double>(sinceRead) * SLOWEST_WORKER_CLOCK)
        + m_model.leaseLength().count();
}

void run_supervisor::noteClock(worker &target, const order_result &result, instant now)
{
    target.lastAnswer = now;
    target.unansweredInRow = 0;
    if (result.clockMs) {
        target.clockMs = *result.clockMs;
        target.clockReadAt = now;
        target.clockKnown = true;
    }
}

void run_supervisor::avoid(worker &target, milliseconds least, instant now)
{
    target.avoidStep = std::min(std::max(target.avoidStep * 2, least), LONGEST_AVOID);
    target.avoidUntil = now + target.avoidStep;
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
    if (owner->ended() || !m_listener.ownsSurely(now)) {
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
    m_log.count("starts_total", nameOf(result.end));
    if (result.end != order_end::accepted || attempt.attempts > 1) {
        m_log.write("start-answered",
                    { { "task", item.task.text() },
                      { "run", std::to_string(item.run) },
                      { "worker", item.worker },
                      { "attempt", std::to_string(attempt.attempts) },
                      { "outcome", std::string(nameOf(result.end)) },
                      { "reason", result.reason.reason } });
    }
    placed_run *run = runOf(item.task, item.run);
    worker *target = workerOf(item.task);
    if (run == nullptr || target->report.id != item.worker) {
        return;
    }
    if (result.end == order_end::unknown) {
        run->inDoubt = true;
        onStartUnanswered(attempt, now);
        return;
    }
    noteClock(*target, result, now);
    if (result.end == order_end::accepted) {
        run->confirmed = true;
        run->confirmedAt = now;
        if (!target->holdInFlight) {
            target->holdNotBefore = now;
        }
        if (m_model.find(item.task.job)->ended()) {
            stop(item.task, now);
        }
        return;
    }
    if (result.end == order_end::fenced) {
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
    if (result.end == order_end::bad_ticket) {
        m_listener.onBadTicket(item.task, item.worker);
    }
    if (result.end == order_end::no_room || result.end == order_end::refused) {
        avoid(target, FIRST_AVOID, now);
    }
    if (result.end == order_end::other_life) {
        // The list will tell the new life; until then nothing is known of the worker.
        target.looked = false;
        target.clockKnown = false;
    }
    if (result.end == order_end::old) {
        // The run is over there; the next look shows how it ended.
        run.confirmed = true;
        run.confirmedAt = now;
        target.holdNotBefore = now;
        return;
    }
    if (run.inDoubt && result.end != order_end::other_life) {
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
    m_log.count("stops_total", nameOf(result.end));
    worker *target = m_model.workers().find(where.id);
    const bool current = target != nullptr && target->report.born == where.born;
    if (!current || result.end == order_end::other_life) {
        return;
    }
    if (result.end == order_end::fenced) {
        m_listener.onFenced(now);
        return;
    }
    if (result.end == order_end::accepted) {
        noteClock(*target, result, now);
        m_confirmedStops[{ key, run }] = now;
        if (!target->holdInFlight) {
            target->holdNotBefore = now;
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
        if (paced != nullptr && result.end != order_end::accepted && paced->pace == percent) {
            // Not in force: the next look decides again.
            paced->pace = 100;
        }
    }));
}

bool run_supervisor::needsLook(const worker &target) const
{
    if (target.report.address.empty()) {
        return false;
    }
    return !target.runs.empty() || (target.listed && !target.looked) || target.endsRecorded < target.endsSeen;
}

void run_supervisor::tick(instant now)
{
    for (auto &[id, target] : m_model.workers().all()) {
        if (!target.holdInFlight && now >= target.holdNotBefore && needsLook(target)) {
            look(target, now);
        }
        if (!target.runs.empty() && now >= target.leaseEnd && target.leaseEnd != instant()) {
            endLapsed(target, now);
        }
    }
    m_model.workers().forgetGone(now);
}

void run_supervisor::look(worker &target, instant now)
{
    look_order order;
    order.worker = addressOf(target);
    order.fencingToken = m_token;
    order.recordedEnds = target.endsRecorded;
    // A worker that is silent is not given more time blindly.
    if (target.clockKnown && target.unansweredInRow == 0 && !target.runs.empty() && m_listener.ownsSurely(now)) {
        order.untilMs = leaseUntil(target, now);
    }
    const bool unconfirmed = std::any_of(target.runs.begin(), target.runs.end(), [](const auto &item) { return item.second.stopping; });
    if (target.looked && target.unansweredInRow == 0 && !unconfirmed) {
        order.wait = LOOK_WAIT;
    }
    target.holdInFlight = true;
    const worker_address where = order.worker;
    m_gateway.look(order,
                   m_lifetime.guard([this, where, now](const look_result &result, instant then) { onLook(where, now, result, then); }));
}

void run_supervisor::onLook(const worker_address &where, instant sentAt, const look_result &result, instant now)
{
    m_log.count("looks_total", nameOf(result.end));
    worker *target = m_model.workers().find(where.id);
    if (target == nullptr || target->report.born != where.born) {
        return;
    }
    target->holdInFlight = false;
    target->holdNotBefore = now;
    if (result.end == order_end::fenced) {
        m_listener.onFenced(now);
        return;
    }
    if (result.end != order_end::accepted || (result.born != 0 && result.born != where.born)) {
        onLookUnanswered(*target, result, now);
        return;
    }
    const bool answersSinceStart = target->startUnansweredAt && sentAt > *target->startUnansweredAt;
    if (target->unansweredInRow > 0 || answersSinceStart) {
        m_log.write("worker-answers-again", { { "worker", where.id }, { "unanswered", std::to_string(target->unansweredInRow) } });
        target->startUnansweredAt.reset();
        target->avoidUntil = now;
        target->avoidStep = milliseconds(0);
    }
    noteClock(*target, { order_end::accepted, result.clockMs, {} }, now);
    if (!target->looked) {
        // From now on only our own renewals count there.
        target->leaseEnd = std::min(target->leaseEnd, now + m_model.leaseBound());
        target->looked = true;
    }
    reconcile(*target, sentAt, result, now);
}

void run_supervisor::onLookUnanswered(worker &target, const look_result &result, instant now)
{
    ++target.unansweredInRow;
    target.holdNotBefore = now + SILENT_LOOK_INTERVAL;
    avoid(target, FIRST_AVOID, now);
    if (target.unansweredInRow == 1) {
        m_log.write("worker-silent",
                    { { "worker", target.report.id },
                      { "outcome", std::string(nameOf(result.end)) },
                      { "runs", std::to_string(target.runs.size()) },
                      { "lease_left_ms", std::to_string(duration_cast<milliseconds>(target.leaseEnd - now).count()) },
                      { "reason", result.reason.reason } });
    }
}

void run_supervisor::reconcile(worker &target, instant sentAt, const look_result &result, instant now)
{
    std::set<std::pair<task_key, int>> shown;
    for (const finished_run &finished : result.finished) {
        shown.insert({ finished.task, finished.run });
    }
    for (const running_run &running : result.running) {
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
        run.figure = running.figure;
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

void run_supervisor::applyEnds(worker &target, const look_result &result, instant now)
{
    std::uint64_t highest = target.endsSeen;
    for (const finished_run &finished : result.finished) {
        if (finished.number <= target.endsSeen) {
            continue;
        }
        highest = std::max(highest, finished.number);
        const bool current = m_model.applyEnd(finished, target.report.id, m_listener.wallNow());
        m_confirmedStops.erase({ finished.task, finished.run });
        m_log.count("ends_total", nameOf(finished.end));
        if (finished.end != run_end::done) {
            m_log.write("run-ended",
                        { { "task", finished.task.text() },
                          { "run", std::to_string(finished.run) },
                          { "worker", target.report.id },
                          { "end", std::string(nameOf(finished.end)) },
                          { "current", current ? "yes" : "no" } });
        }
        if (current) {
            judge(target, finished, now);
        }
    }
    if (highest == target.endsSeen) {
        return;
    }
    target.endsSeen = highest;
    // The next look tells the worker that the ends may be forgotten, so it waits for the record, but not for long.
    target.holdNotBefore = now + UNRECORDED_LOOK_INTERVAL;
    m_listener.whenDurable(m_lifetime.guard([this, where = addressOf(target), highest](instant then) {
        worker *recorded = m_model.workers().find(where.id);
        if (recorded != nullptr && recorded->report.born == where.born) {
            recorded->endsRecorded = std::max(recorded->endsRecorded, highest);
            const bool busy = recorded->runs.size() > RUNS_LOOKED_AT_ONCE;
            recorded->holdNotBefore = then + (busy ? ENDS_COLLECTED : milliseconds(0));
        }
    }),
                           now);
}

void run_supervisor::judge(worker &target, const finished_run &finished, instant now)
{
    if (finished.end == run_end::done) {
        target.jobsFailed.clear();
        target.avoidStep = milliseconds(0);
        return;
    }
    if (finished.end != run_end::failed) {
        return;
    }
    target.jobsFailed.insert(finished.task.job);
    target.startUnansweredAt.reset();
    if (target.jobsFailed.size() >= FAILED_JOBS_TOLERATED) {
        avoid(target, FAILING_AVOID, now);
        m_log.write("worker-avoided",
                    { { "worker", target.report.id },
                      { "jobs_failed", std::to_string(target.jobsFailed.size()) },
                      { "for_ms", std::to_string(target.avoidStep.count()) } });
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
                  { "silent_ms", std::to_string(duration_cast<milliseconds>(now - target.lastAnswer).count()) } });
    m_model.releaseAll(keys);
    target.leaseEnd = instant();
    m_listener.onProgress(now);
}

void run_supervisor::adjustPaces(worker &target)
{
    double worst = 0;
    for (const auto &[key, run] : target.runs) {
        if (run.target.count() > 0 && run.confirmed) {
            worst = std::max(worst, static_cast<double>(run.figure) / static_cast<double>(run.target.count()));
        }
    }
    std::vector<std::pair<task_key, int>> changes;
    for (const auto &[key, run] : target.runs) {
        if (!run.fills || !run.confirmed) {
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

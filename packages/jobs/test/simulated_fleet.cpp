#include "simulated_fleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

namespace {

constexpr int POOL_COUNT = 5;
constexpr int DATA_CENTER_COUNT = 5;
constexpr int TEAM_COUNT = 60;
constexpr int WORKERS_PER_RACK = 60;
constexpr resources WORKER_CAPACITY{ 64000, 128000, 0 };
// The pool whose queue is at its peak gets this share of all jobs.
constexpr double PEAK_POOL_SHARE = 0.6;
constexpr int STEPS_PER_JOB = 2;
constexpr int TASKS_PER_STEP = 8;
constexpr std::size_t SPEC_BYTES = 600;
constexpr milliseconds TASK_TIME{ 800 };
constexpr resources TASK_RESOURCES{ 8900, 4000, 0 };
constexpr milliseconds TICK_INTERVAL{ 25 };
constexpr milliseconds APPEND_TIME{ 6 };
constexpr milliseconds ORDER_TIME{ 2 };
constexpr wall_ms WALL_START = 1'700'000'000'000;

std::shared_ptr<const fleet_config> makeConfig()
{
    auto config = std::make_shared<fleet_config>();
    config->version = 1;
    for (int pool = 0; pool < POOL_COUNT; ++pool) {
        queue_config queue;
        queue.name = queue.pool = fmt::format("p{}", pool);
        queue.maxAttempts = 2;
        queue.deadlineFactor = 2;
        queue.targetLatency = milliseconds(600);
        config->queues.push_back(queue);
        config->pools[queue.pool].name = queue.pool;
    }
    for (int team = 0; team < TEAM_COUNT; ++team) {
        team_config &entry = config->teams[fmt::format("t{}", team)];
        entry.name = fmt::format("t{}", team);
    }
    return config;
}

worker_report reportOf(int number)
{
    worker_report report;
    report.id = fmt::format("worker-{:05}", number);
    report.address = "10.0.0.1:80";
    report.pool = fmt::format("p{}", number % POOL_COUNT);
    report.dataCenter = fmt::format("dc{}", number / POOL_COUNT % DATA_CENTER_COUNT);
    report.capacity = WORKER_CAPACITY;
    report.labels = { "plain", fmt::format("r{}", number / WORKERS_PER_RACK) };
    report.startTimeMs = 1;
    return report;
}

std::int64_t clockOf(instant now)
{
    return duration_cast<milliseconds>(now.time_since_epoch()).count();
}

} // namespace

void simulated_platform::schedule(duration delay, std::function<void(instant now)> call)
{
    m_events.push({ m_now + delay, m_nextEvent++, std::move(call) });
}

void simulated_platform::enter(std::function<void(instant now)> call)
{
    m_inbox.push_back(std::move(call));
    serveInbox();
}

void simulated_platform::serveInbox()
{
    while (!m_inbox.empty() && !m_processorBusy) {
        const auto call = std::move(m_inbox.front());
        m_inbox.pop_front();
        m_processorBusy = true;
        onBoundary(true);
        call(m_now);
        onBoundary(false);
        const duration cost = costOfCall ? costOfCall() : duration(0);
        processorTimeUsed += cost;
        if (cost == duration(0)) {
            m_processorBusy = false;
        } else {
            schedule(cost, [this](instant) {
                m_processorBusy = false;
                serveInbox();
            });
        }
    }
}

void simulated_platform::after(milliseconds delay, std::function<void(instant now)> call)
{
    onBoundary(false);
    schedule(delay, [this, call = std::move(call)](instant) { enter(call); });
    onBoundary(true);
}

template <typename Callback, typename Result> void simulated_platform::answerAfter(milliseconds delay, Callback done, Result result)
{
    schedule(delay, [this, done = std::move(done), result = std::move(result)](instant) {
        enter([done, result](instant now) { done(result, now); });
    });
}

void simulated_platform::advanceTo(instant until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.call(m_now);
    }
    m_now = until;
}

void simulated_platform::append(const ledger_append &call, std::function<void(const ledger_append_result &, instant now)> done)
{
    onBoundary(false);
    ++appends;
    for (const ledger_entry &entry : call.entries) {
        ledgerBytes += entry.key.size() + (entry.value ? entry.value->size() : 0);
    }
    answerAfter(APPEND_TIME, std::move(done), ledger_append_result{ append_status::done, 0, {} });
    onBoundary(true);
}

void simulated_platform::start(const start_order &order, worker_gateway::order_callback done)
{
    onBoundary(false);
    ++starts;
    schedule(ORDER_TIME, [this, order, done = std::move(done)](instant now) {
        const std::string &id = order.worker.incarnation.id;
        m_workers[id].running[order.task] = order.run;
        schedule(TASK_TIME, [this, id, task = order.task](instant then) { endRun(id, task, then); });
        enter([done, clock = clockOf(now)](instant then) { done({ order_status::accepted, clock, {} }, then); });
    });
    onBoundary(true);
}

void simulated_platform::stop(const stop_order &, worker_gateway::order_callback done)
{
    onBoundary(false);
    answerAfter(ORDER_TIME, std::move(done), order_result{ order_status::accepted, clockOf(m_now + ORDER_TIME), {} });
    onBoundary(true);
}

void simulated_platform::setSpeedLimit(const speed_limit_order &, worker_gateway::order_callback done)
{
    onBoundary(false);
    answerAfter(ORDER_TIME, std::move(done), order_result{ order_status::accepted, clockOf(m_now + ORDER_TIME), {} });
    onBoundary(true);
}

void simulated_platform::poll(const poll_order &order, std::function<void(const poll_result &, instant now)> done)
{
    onBoundary(false);
    ++polls;
    simulated_worker &target = m_workers[order.worker.incarnation.id];
    auto &listed = target.ends;
    listed.erase(
        std::remove_if(listed.begin(), listed.end(), [&](const finished_run &end) { return end.number <= order.acknowledgedEnds; }),
        listed.end());
    target.answer = std::move(done);
    target.startTimeMs = order.worker.incarnation.startTimeMs;
    const std::uint64_t number = ++target.pollNumber;
    schedule(listed.empty() ? order.wait + ORDER_TIME : ORDER_TIME, [this, id = order.worker.incarnation.id, number](instant now) {
        if (m_workers[id].pollNumber == number) {
            answerPoll(m_workers[id], now);
        }
    });
    onBoundary(true);
}

void simulated_platform::list(std::function<void(const host_list &, instant now)> done)
{
    onBoundary(false);
    answerAfter(ORDER_TIME, std::move(done), host_list{ hosts, {} });
    onBoundary(true);
}

void simulated_platform::move(const host_order &, const std::string &, host_gateway::order_callback done)
{
    onBoundary(false);
    answerAfter(ORDER_TIME, std::move(done), host_order_result{ host_order_status::refused, {} });
    onBoundary(true);
}

void simulated_platform::startMaintenance(const host_order &, std::uint64_t, host_gateway::order_callback done)
{
    onBoundary(false);
    answerAfter(ORDER_TIME, std::move(done), host_order_result{ host_order_status::refused, {} });
    onBoundary(true);
}

void simulated_platform::requestTickets(const std::string &, const std::vector<std::string> &, milliseconds,
                                        std::function<void(const ticket_response &, instant now)>)
{
}

void simulated_platform::publishWaveStatus(std::uint64_t, bool, std::function<void(bool written, instant now)>)
{
}

void simulated_platform::endRun(const std::string &id, const task_key &task, instant now)
{
    simulated_worker &target = m_workers[id];
    const auto run = target.running.find(task);
    if (run != target.running.end()) {
        ++ends;
        target.ends.push_back({ ++target.lastEnd, task, run->second, run_outcome::done, {} });
        target.running.erase(run);
        answerPoll(target, now);
    }
}

void simulated_platform::answerPoll(simulated_worker &target, instant now)
{
    if (!target.answer) {
        return;
    }
    poll_result result;
    result.status = order_status::accepted;
    result.clockMs = clockOf(now);
    result.startTimeMs = target.startTimeMs;
    for (const auto &[task, run] : target.running) {
        result.running.push_back({ task, run, {}, 100, 0 });
    }
    result.finished = target.ends;
    enter([answer = std::exchange(target.answer, nullptr), result = std::move(result)](instant then) { answer(result, then); });
}

simulated_fleet::simulated_fleet(int workers, std::uint64_t seed, event_log &log)
    : m_workerCount(workers)
    , m_random(seed)
    , m_start(m_platform.now())
    , m_nextTick(m_start)
    , m_manager({ m_platform, m_platform, m_platform, m_platform, m_platform }, m_platform, log, manager_bounds(),
                { "entry-1", 1, 1, m_start })
{
    for (int i = 0; i < workers; ++i) {
        const worker_report report = reportOf(i);
        m_manager.onWorkerReport(report, m_start);
        host_entry host;
        host.name = fmt::format("h{}", i);
        host.pool = report.pool;
        host.worker = report.id;
        host.capacity = WORKER_CAPACITY;
        m_platform.hosts.push_back(host);
    }
    m_manager.setConfig(makeConfig(), m_start);
    m_manager.restore({}, m_start, wallAt(m_start));
}

wall_ms simulated_fleet::wallAt(instant now) const
{
    return WALL_START + static_cast<wall_ms>(duration_cast<milliseconds>(now - m_start).count());
}

void simulated_fleet::tickUntil(instant until)
{
    for (; m_nextTick <= until; m_nextTick += TICK_INTERVAL) {
        m_platform.advanceTo(m_nextTick);
        // Like a repeated timer of an event loop, a tick that waits is not followed by a second one.
        if (!std::exchange(m_tickWaits, true)) {
            m_platform.enter([this](instant now) {
                m_tickWaits = false;
                m_manager.tick(now, wallAt(now));
            });
        }
    }
    m_platform.advanceTo(until);
}

void simulated_fleet::play(milliseconds length)
{
    tickUntil(m_platform.now() + length);
}

void simulated_fleet::playLoad(milliseconds length, double startsPerWorker)
{
    const auto jobInterval = duration(static_cast<std::int64_t>(1e6 * STEPS_PER_JOB * TASKS_PER_STEP / (startsPerWorker * m_workerCount)));
    const instant begin = m_platform.now();
    for (instant next = begin; next < begin + length; next += jobInterval) {
        tickUntil(next);
        const job_request request = makeJob();
        m_platform.enter([this, request](instant now) {
            m_manager.submit(
                request, [](submit_result) {}, now, wallAt(now));
        });
    }
}

job_request simulated_fleet::makeJob(const std::string &queue)
{
    job_request request;
    request.id = fmt::format("{:016x}", m_random());
    const bool atPeak = std::uniform_real_distribution<double>(0, 1)(m_random) < PEAK_POOL_SHARE;
    request.queue = queue.empty() ? fmt::format("p{}", atPeak ? 0 : m_nextJob % POOL_COUNT) : queue;
    ++m_nextJob;
    request.team = fmt::format("t{}", m_random() % TEAM_COUNT);
    request.spec = std::string(SPEC_BYTES, 's');
    for (int step = 0; step < STEPS_PER_JOB; ++step) {
        step_spec spec;
        spec.count = TASKS_PER_STEP;
        spec.taskResources = TASK_RESOURCES;
        spec.estimated = TASK_TIME;
        if (step > 0) {
            spec.dependencies = { step - 1 };
        }
        request.steps.push_back(spec);
    }
    return request;
}

} // namespace jujubespool

#include <criterion/criterion.h>
#include <jujubespool/jobs/run_supervisor.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr wall_ms WALL = 1800000000000;
constexpr milliseconds STEP{ 25 };
constexpr milliseconds ORDER_TIMEOUT{ 400 };
// A task that could run must not be held back for longer than this once its worker answers again.
constexpr milliseconds MAX_HELD_BACK{ 3000 };
const worker_report REPORT{ "w1", "w1:1", "pool", "a", worker_state::ready, { 64000, 128000, 0 }, {}, 1, {} };

// A worker whose answers a test determines. Time advances in steps.
class scripted_worker : public worker_gateway, public timer_service, public run_listener, public event_log
{
public:
    void start(const start_order &order, order_callback done) override
    {
        ++starts;
        if (losesStartAnswers) {
            return;
        }
        answer(startStatus, order.task, order.run, std::move(done));
    }
    void stop(const stop_order &order, order_callback done) override
    {
        ++stops;
        if (stopStatus == order_status::accepted) {
            m_running.erase(order.task);
        }
        answer(stopStatus, {}, 0, std::move(done));
    }
    void setSpeedLimit(const speed_limit_order &, order_callback done) override
    {
        answer(order_status::accepted, {}, 0, std::move(done));
    }
    void poll(const poll_order &, std::function<void(const poll_result &, instant now)> done) override
    {
        after(pollStatus == order_status::accepted ? STEP : ORDER_TIMEOUT, [this, done = std::move(done)](instant then) {
            poll_result result;
            result.status = pollStatus;
            result.startTimeMs = REPORT.startTimeMs;
            for (const auto &[task, run] : m_running) {
                result.running.push_back({ task, run, {}, 100, 0 });
            }
            done(result, then);
        });
    }
    void after(milliseconds delay, std::function<void(instant now)> call) override
    {
        m_calls.emplace(now + delay, std::move(call));
    }
    void onProgress(instant) override
    {
    }
    void whenDurable(std::function<void(instant now)> call, instant then) override
    {
        call(then);
    }
    void onFenced(instant) override
    {
    }
    void onBadTicket(const task_key &, const std::string &) override
    {
    }
    wall_ms wallNow() const override
    {
        return WALL;
    }
    bool isOwnershipConfirmed(instant) const override
    {
        return ownershipConfirmed;
    }
    bool formerLeasesExpired(instant) const override
    {
        return false;
    }
    void write(std::string_view, std::initializer_list<field>) override
    {
    }
    void count(std::string_view, std::string_view) override
    {
    }
    void observe(std::string_view, const std::string &, duration) override
    {
    }

    void setUnreachable(bool unreachable)
    {
        startStatus = stopStatus = pollStatus = unreachable ? order_status::unknown : order_status::accepted;
        if (unreachable) {
            m_running.clear();
        }
    }
    void runTask(const task_key &task, int run)
    {
        m_running[task] = run;
    }
    bool isRunning(const task_key &task) const
    {
        return m_running.count(task) > 0;
    }
    // Makes the calls that are due.
    void makeDueCalls()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= now) {
            const auto call = m_calls.extract(m_calls.begin());
            call.mapped()(now);
        }
    }

    instant now{ seconds(100) };
    order_status startStatus = order_status::accepted;
    order_status stopStatus = order_status::accepted;
    order_status pollStatus = order_status::accepted;
    bool ownershipConfirmed = true;
    bool losesStartAnswers = false;
    int starts = 0;
    int stops = 0;

private:
    void answer(order_status status, const task_key &task, int run, order_callback done)
    {
        if (status == order_status::accepted && run > 0) {
            m_running[task] = run;
        }
        after(status == order_status::unknown ? ORDER_TIMEOUT : STEP, [status, done = std::move(done)](instant then) {
            done({ status, std::nullopt, {} }, then);
        });
    }

    std::multimap<instant, std::function<void(instant now)>> m_calls;
    std::map<task_key, int> m_running;
};

// A worker that has answered a poll, and a job of one task.
class one_task_fixture
{
public:
    explicit one_task_fixture(milliseconds maxLease = manager_bounds().maxLease)
        : m_model(boundsWith(maxLease))
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        m_model.setConfig(config);
        m_model.workers().update(REPORT, platform.now);
        target().polled = true;
        target().clockKnown = true;
        job_request request;
        request.id = key.job;
        request.queue = "q";
        step_spec step;
        step.count = 1;
        step.taskResources = { 1000, 1000, 0 };
        request.steps.push_back(step);
        m_model.add(job::accept(request, WALL));
    }

    worker &target()
    {
        return *m_model.workers().find(REPORT.id);
    }
    task_phase phase()
    {
        return m_model.find(key.job)->task(key)->phase;
    }
    void place()
    {
        const int run = m_model.place(key, target(), platform.now);
        m_runs.start({ key, run, REPORT.id, {} }, platform.now);
    }
    // Places the task whenever it waits and the worker may get it.
    void advanceAndPlace(milliseconds time)
    {
        for (const instant end = platform.now + time; platform.now < end;) {
            if (phase() == task_phase::waiting && target().mayGetTasks(platform.now)) {
                place();
            }
            advance(STEP);
        }
    }
    // Places the task as a new owner does that finds it assigned in the ledger, on a worker that it has not polled yet.
    void restore()
    {
        task_progress &task = *m_model.find(key.job)->task(key);
        task = { task_phase::assigned, 1, 0, {}, REPORT.id, REPORT.startTimeMs, {} };
        target().polled = false;
        target().clockKnown = false;
        m_model.restorePlacement(key, platform.now + m_model.leaseExpiryBound(), platform.now);
        platform.runTask(key, 1);
    }
    void cancel()
    {
        m_model.endJob(*m_model.find(key.job), job_state::cancelled, WALL);
        m_runs.stop(key);
    }
    void advance(milliseconds time)
    {
        for (const instant end = platform.now + time; platform.now < end; platform.now += STEP) {
            platform.makeDueCalls();
            m_runs.tick(platform.now);
        }
    }

    scripted_worker platform;
    const task_key key{ "00000000000000a1", 0, 0, 0 };

private:
    static manager_bounds boundsWith(milliseconds maxLease)
    {
        manager_bounds bounds;
        bounds.maxLease = maxLease;
        return bounds;
    }

    fleet_model m_model;
    run_supervisor m_runs{ m_model, platform, platform, platform, 1, platform };
};

// A task that lasts has to run again when the fleet has been calm for this long since its worker was lost: 4 s, and 3 s in which it has
// nothing running.
constexpr milliseconds MAX_WAIT_OF_A_LASTING_TASK{ 7000 };

struct lost_start_row
{
    const char *name;
    // When the ownership stops being confirmed, after the first order was sent, and for how long.
    milliseconds unconfirmedAfter;
    milliseconds unconfirmedFor;
};

const lost_start_row LOST_STARTS[] = {
    { "the first answer is missing", milliseconds(100), milliseconds(500) },
    { "the second answer is missing", milliseconds(500), milliseconds(500) },
    { "all answers are missing", milliseconds(900), milliseconds(500) },
    { "the ownership stays unconfirmed for long", milliseconds(100), milliseconds(5000) },
    { "the ownership stays confirmed", milliseconds(0), milliseconds(0) },
};

} // namespace

ParameterizedTestParameters(run_supervisor, taskWaitsAgainWhenItsStartIsLostWhileTheOwnershipIsNotConfirmed)
{
    return rowsOf(LOST_STARTS);
}

ParameterizedTest(std::size_t *row, run_supervisor, taskWaitsAgainWhenItsStartIsLostWhileTheOwnershipIsNotConfirmed)
{
    const lost_start_row &testCase = LOST_STARTS[*row];
    one_task_fixture fixture;
    fixture.platform.startStatus = order_status::unknown;
    fixture.place();
    fixture.advance(testCase.unconfirmedAfter);
    fixture.platform.ownershipConfirmed = testCase.unconfirmedFor == milliseconds(0);
    fixture.advance(testCase.unconfirmedFor);
    fixture.platform.ownershipConfirmed = true;
    fixture.advance(MAX_HELD_BACK);
    cr_assert_eq(fixture.phase(), task_phase::waiting, "%s: %d starts, %d stops", testCase.name, fixture.platform.starts,
                 fixture.platform.stops);
}

// The worker refuses all orders for a while, and then none.
Test(run_supervisor, taskStartsSoonAfterItsOnlyWorkerStopsRefusingOrders)
{
    for (seconds refusing(10); refusing <= seconds(22); refusing += seconds(1)) {
        one_task_fixture fixture;
        fixture.platform.startStatus = order_status::refused;
        fixture.advanceAndPlace(refusing);
        fixture.platform.startStatus = order_status::accepted;
        fixture.advanceAndPlace(MAX_HELD_BACK);
        cr_assert(fixture.platform.isRunning(fixture.key), "refused for %ld s, %d starts", static_cast<long>(refusing.count()),
                  fixture.platform.starts);
    }
}

// Every order is answered sooner or later, but a fault in this process may lose the answer.
Test(run_supervisor, taskWaitsAgainWhenTheAnswerToItsStartIsNeverReported)
{
    one_task_fixture fixture;
    fixture.platform.losesStartAnswers = true;
    fixture.place();
    fixture.advance(MAX_HELD_BACK);
    cr_assert_eq(fixture.phase(), task_phase::waiting, "%d stops", fixture.platform.stops);
}

// Its leases end meanwhile, so nothing of this owner runs there any more.
Test(run_supervisor, silentWorkerGetsNoTaskUntilItAnswersAndThenSoon)
{
    for (milliseconds silence(4000); silence <= milliseconds(12000); silence += milliseconds(500)) {
        one_task_fixture fixture;
        fixture.place();
        fixture.advance(milliseconds(500));
        fixture.platform.setUnreachable(true);
        fixture.advanceAndPlace(silence);
        cr_assert_eq(fixture.platform.starts, 1, "silent for %ld ms, %d starts", static_cast<long>(silence.count()),
                     fixture.platform.starts);
        fixture.platform.setUnreachable(false);
        fixture.advanceAndPlace(milliseconds(1000));
        cr_assert_eq(fixture.platform.starts, 2, "silent for %ld ms", static_cast<long>(silence.count()));
    }
}

// The worker does not answer until the lease that the former owner granted may have ended, but the former owner has renewed it.
Test(run_supervisor, runOfACancelledJobIsStoppedEvenIfItsWorkerAnswersOnlyAfterTheLease)
{
    one_task_fixture fixture;
    fixture.platform.stopStatus = order_status::unknown;
    fixture.platform.pollStatus = order_status::unknown;
    fixture.restore();
    fixture.cancel();
    fixture.advance(milliseconds(5000));
    fixture.platform.stopStatus = order_status::accepted;
    fixture.platform.pollStatus = order_status::accepted;
    fixture.advance(MAX_HELD_BACK);
    cr_assert_not(fixture.platform.isRunning(fixture.key));
    cr_assert_eq(fixture.phase(), task_phase::waiting);
}

// Guards against LOST: a start has no answer, and its worker is gone for good. A restarted worker might hold the run for the longest lease,
// which is 10 s on some fleets.
Test(run_supervisor, taskInDoubtOnAWorkerThatIsGoneWaitsNoLongerThanATaskThatLastsMay)
{
    one_task_fixture fixture(seconds(10));
    fixture.platform.setUnreachable(true);
    fixture.place();
    fixture.advance(MAX_WAIT_OF_A_LASTING_TASK);
    cr_assert_eq(fixture.phase(), task_phase::waiting, "%d starts, %d stops", fixture.platform.starts, fixture.platform.stops);
}

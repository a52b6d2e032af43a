#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/jobs/host_maintenance_controller.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
constexpr wall_ms WALL = 1800000000000;

// Ignores all events; changes count as durable at once.
struct stub_listener : run_listener
{
    void onProgress(instant) override
    {
    }
    void whenDurable(std::function<void(instant now)> call, instant now) override
    {
        call(now);
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
        return true;
    }
    bool formerLeasesExpired(instant) const override
    {
        return true;
    }
};

// Two hosts. One is due for maintenance and runs a long-running task that may be unavailable for a while.
class due_host_fixture
{
public:
    due_host_fixture()
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        config->pools["pool"] = { "pool", true, false, {} };
        m_model.setConfig(config);
        for (const char *id : { "w1", "w2" }) {
            m_platform.addWorker(id, "pool", WORKER_CAPACITY);
            m_platform.hosts.push_back({ std::string("host-") + id, "pool", host_condition::up, "a", {}, WORKER_CAPACITY, id });
            m_model.workers().update(m_platform.workerNamed(id).report, m_platform.now());
            m_model.workers().find(id)->polled = true;
            m_model.workers().find(id)->clockKnown = true;
        }
        job_request request;
        request.id = m_key.job;
        request.queue = "q";
        step_spec step;
        step.count = 1;
        step.taskResources = { 1000, 1000, 0 };
        step.longRunning = true;
        step.maxUnavailable = 1;
        request.steps.push_back(step);
        m_model.add(job::accept(request, WALL)).addDueOccurrences(WALL, manager_bounds().maxRecordBytes);
        m_model.place(m_key, *m_model.workers().find("w1"), m_platform.now());
        placed_run &run = m_model.workers().find("w1")->runs.at(m_key);
        run.confirmed = true;
        run.progressPercent = 100;
        m_hostController.setOrderRecorder(
            [this](const host_order_record &, const std::function<void(instant now)> &recorded) { recorded(m_platform.now()); });
        m_hostController.refresh(m_platform.now());
        m_platform.advance(milliseconds(50));
        maintenanceController.setWave({ 1, { "host-w1" }, seconds(30), 1 }, WALL);
    }

    // Whether the task is evicted within the time.
    bool evictsWithin(milliseconds time)
    {
        for (milliseconds elapsed(0); elapsed < time; elapsed += milliseconds(50)) {
            m_platform.advance(milliseconds(50));
            maintenanceController.tick(m_platform.now(), WALL);
            if (m_log.events["run-evicted"] > 0) {
                return true;
            }
        }
        return false;
    }
    // Whether a wave completes within the time.
    bool completesWithin(milliseconds time)
    {
        for (milliseconds elapsed(0); elapsed < time; elapsed += milliseconds(50)) {
            m_platform.advance(milliseconds(50));
            maintenanceController.tick(m_platform.now(), WALL);
        }
        return m_log.events["wave-completed"] > 0;
    }
    // Number of maintenance orders within the time.
    int ordersWithin(milliseconds time)
    {
        completesWithin(time);
        return m_log.events["upkeep-ordered"];
    }
    instant now() const
    {
        return m_platform.now();
    }

private:
    fake_platform m_platform;
    counting_log m_log;
    stub_listener m_listener;
    fleet_model m_model{ manager_bounds() };
    const task_key m_key{ "00000000000000a1", 0, 0, 0 };
    platform_clients m_clients{ m_platform.clientsOf("entry-1") };
    run_supervisor m_runs{ m_model, m_clients.workers, m_platform, m_log, 1, m_listener };
    host_controller m_hostController{ m_model, m_clients.hosts, m_log, "entry-1", 1 };

public:
    host_maintenance_controller maintenanceController{ m_model, m_runs, m_hostController, m_clients.waveStatus, m_log };
};

// Records the polls that are sent; the test calls `answer` with a result.
struct poll_recorder : worker_gateway
{
    void start(const start_order &, order_callback) override
    {
    }
    void stop(const stop_order &, order_callback) override
    {
    }
    void setSpeedLimit(const speed_limit_order &, order_callback) override
    {
    }
    void poll(const poll_order &order, std::function<void(const poll_result &, instant now)> done) override
    {
        sent.push_back(order);
        answer = std::move(done);
    }

    std::vector<poll_order> sent;
    std::function<void(const poll_result &, instant now)> answer;
};

} // namespace

// After a takeover, hundreds of connections are opened at the same time. With a short timeout, every worker would appear
// unresponsive.
Test(worker_poll, firstPollOfAWorkerHasALongerTimeout)
{
    fake_platform platform;
    counting_log log;
    stub_listener listener;
    poll_recorder gateway;
    fleet_model model{ manager_bounds() };
    run_supervisor runs(model, gateway, platform, log, 1, listener);
    model.workers().update({ "w1", "w1:1", "pool", "a", worker_state::ready, WORKER_CAPACITY, {}, 1, {} }, platform.now());
    runs.tick(platform.now());
    cr_assert_eq(gateway.sent.size(), 1);
    cr_assert_geq(gateway.sent[0].responseAllowance.count(), 1000);
    gateway.answer(poll_result(), platform.now());
    platform.advance(seconds(1));
    runs.tick(platform.now());
    cr_assert_eq(gateway.sent.size(), 2);
    cr_assert_lt(gateway.sent[1].responseAllowance.count(), 1000);
}

// Guards against a wave that stands still: more hosts may be in doubt after a take-over than may be maintained at once.
Test(maintenance, hostsInDoubtBeyondTheMaximumAreMaintained)
{
    due_host_fixture fleet;
    fleet.maintenanceController.setWave({ 1, { "host-w1", "host-w2" }, seconds(30), 1 }, WALL);
    fleet.maintenanceController.restoreOrder("host-w1", 1);
    fleet.maintenanceController.restoreOrder("host-w2", 1);
    fleet.maintenanceController.onTakeOver(fleet.now());
    const int orders = fleet.ordersWithin(seconds(2));
    cr_assert_eq(orders, 1, "%d orders", orders);
}

Test(maintenance, evictsLongRunningTasksFromADueHost)
{
    due_host_fixture fixture;
    cr_assert(fixture.evictsWithin(milliseconds(200)));
}

// Stop orders of the former owner take effect with a delay. Together with the evictions of the new owner they might make
// more tasks unavailable than allowed.
Test(maintenance, evictsNothingUntilStopsOfTheFormerOwnerHaveTakenEffect)
{
    due_host_fixture fixture;
    fixture.maintenanceController.onTakeOver(fixture.now());
    cr_assert_not(fixture.evictsWithin(milliseconds(1800)));
    cr_assert(fixture.evictsWithin(milliseconds(400)));
}

// Guards against LOST: a worker that a wave named once stayed due for its maintenance, also when no wave named it any more, and no
// long-running task could be moved there.
Test(maintenance, workerThatNoWaveNamesAnyMoreTakesEvictedTasks)
{
    due_host_fixture fixture;
    // No host may be in maintenance at present, so the wave only marks the worker.
    fixture.maintenanceController.setWave({ 2, { "host-w2" }, seconds(30), 0 }, WALL);
    cr_assert_not(fixture.evictsWithin(milliseconds(1000)));
    fixture.maintenanceController.setWave({ 2, {}, seconds(30), 0 }, WALL);
    cr_assert(fixture.evictsWithin(milliseconds(500)));
}

// A host that is taken away for some seconds is not listed meanwhile, and still has to be maintained when it is back.
Test(maintenance, waveIsNotCompletedWhileOneOfItsHostsIsUnlistedForAWhile)
{
    due_host_fixture fixture;
    fixture.maintenanceController.setWave({ 2, { "host-away" }, seconds(30), 1 }, WALL);
    cr_assert_not(fixture.completesWithin(seconds(6)));
}

// A host that was removed for good keeps no wave from its end.
Test(maintenance, waveIsCompletedWhenItsOnlyHostStaysUnlisted)
{
    due_host_fixture fixture;
    fixture.maintenanceController.setWave({ 2, { "host-away" }, seconds(30), 1 }, WALL);
    cr_assert(fixture.completesWithin(seconds(12)));
}

struct age_row
{
    const char *name;
    std::int64_t clockDifferenceMs;
    milliseconds unowned;
    milliseconds expected;
};

constexpr milliseconds COUNTED{ 20000 };

const age_row AGES[] = {
    { "clocks agree", 0, milliseconds(0), COUNTED },
    { "clocks agree, and nobody owned the jobs for a while", 0, milliseconds(4000), COUNTED + milliseconds(4000) },
    { "the present clock is back", -2000, milliseconds(0), COUNTED },
    { "the present clock is an hour back", -3600000, milliseconds(0), COUNTED },
    { "the present clock is ahead", 2000, milliseconds(0), COUNTED + milliseconds(2000) },
    { "the present clock is an hour ahead", 3600000, milliseconds(0), COUNTED + MAX_UNOWNED_TIME },
};

ParameterizedTestParameters(maintenance, ageOfAWaveDependsOnTimesOfDayWithinABound)
{
    return rowsOf(AGES);
}

// Guards against a deadline that is missed, or hosts that are all drained at once, because two owners' clocks differ.
ParameterizedTest(std::size_t *row, maintenance, ageOfAWaveDependsOnTimesOfDayWithinABound)
{
    const age_row &testCase = AGES[*row];
    const auto passed = COUNTED + testCase.unowned;
    const wall_ms present = WALL + static_cast<wall_ms>(passed.count()) + static_cast<wall_ms>(testCase.clockDifferenceMs);
    cr_assert_eq(waveAge(COUNTED, WALL, present).count(), testCase.expected.count(), "%s", testCase.name);
}

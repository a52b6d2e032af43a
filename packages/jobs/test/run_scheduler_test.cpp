#include <criterion/criterion.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <set>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };
constexpr wall_ms WALL = 1800000000000;
const std::vector<std::string> DATA_CENTERS{ "a", "b", "c" };

// A pool with the same number of workers in each of three data centres, and jobs that are submitted to it.
class pool_fixture
{
public:
    explicit pool_fixture(int workersPerDataCenter)
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        config->pools["pool"] = { "pool", true, false, {} };
        model.setConfig(config);
        for (const std::string &center : DATA_CENTERS) {
            for (int i = 0; i < workersPerDataCenter; ++i) {
                const std::string id = center + std::to_string(i);
                model.workers().update({ id, id + ":1", "pool", center, worker_state::ready, { 64000, 128000, 0 }, {}, 1, {} }, NOW);
                worker &target = *model.workers().find(id);
                target.polled = true;
                target.clockKnown = true;
            }
        }
    }

    void submit(int number, int tasks, int maxPerWorker = 0, bool longRunning = false)
    {
        job_request request;
        request.id = "00000000000" + std::to_string(10000 + number);
        request.queue = "q";
        step_spec step;
        step.count = tasks;
        step.taskResources = { 6000, 4000, 0 };
        step.estimated = milliseconds(800);
        step.maxPerWorker = maxPerWorker;
        step.longRunning = longRunning;
        request.steps.push_back(step);
        job &accepted = model.add(job::accept(request, WALL));
        accepted.addDueOccurrences(WALL, manager_bounds().maxRecordBytes);
    }

    void schedule()
    {
        scheduler.decide(model, tickets, NOW, WALL);
    }

    std::size_t countRuns() const
    {
        std::size_t count = 0;
        for (const auto &[id, target] : model.workers().all()) {
            count += target.runs.size();
        }
        return count;
    }

    // Number of jobs with a running task in the data centre.
    std::size_t countJobsIn(const std::string &center) const
    {
        std::set<std::string> jobs;
        for (const auto &[id, target] : model.workers().all()) {
            for (const auto &[key, run] : target.runs) {
                if (target.report.dataCenter == center) {
                    jobs.insert(key.job);
                }
            }
        }
        return jobs.size();
    }

    fleet_model model{ manager_bounds() };
    run_scheduler scheduler;
    policy_ticket_cache tickets;
};

} // namespace

// If the tasks of each job were spread over all data centres, the loss of one data centre during a load peak would delay nearly
// all jobs. Keeping a job in one data centre limits the delay to the jobs that run there.
Test(run_scheduler, keepsTheTasksOfAJobInOneDataCenterWhenTheyFit)
{
    constexpr int JOBS = 30;
    pool_fixture fixture(12);
    for (int i = 0; i < JOBS; ++i) {
        fixture.submit(i, 8);
        fixture.schedule();
    }
    for (const std::string &center : DATA_CENTERS) {
        cr_assert_leq(fixture.countJobsIn(center), JOBS / 2, "%s: %zu", center.c_str(), fixture.countJobsIn(center));
        cr_assert_geq(fixture.countJobsIn(center), 5, "%s: %zu", center.c_str(), fixture.countJobsIn(center));
    }
}

Test(run_scheduler, usesEveryWorkerWhenThePoolIsFull)
{
    pool_fixture fixture(2);
    for (int i = 0; i < 20; ++i) {
        fixture.submit(i, 8);
    }
    fixture.schedule();
    for (const auto &[id, target] : fixture.model.workers().all()) {
        cr_assert_lt(target.freeCapacity().cpuMillis, 6000, "%s", id.c_str());
    }
}

// The pool gives hosts away because it has processor time to spare, but the step needs three workers.
Test(run_scheduler, stepWithOneTaskPerWorkerIsPlacedAlthoughOtherPoolsNeedTheHosts)
{
    pool_fixture fixture(1);
    for (auto &[id, target] : fixture.model.workers().all()) {
        target.leavingPool = id != "a0";
    }
    fixture.submit(1, 3, 1, true);
    fixture.schedule();
    cr_assert_eq(fixture.countRuns(), 3, "%zu", fixture.countRuns());
}

// Its other tasks run one after the other on the workers that stay.
Test(run_scheduler, stepThatEndsKeepsRunningWhileItsPoolGivesHostsAway)
{
    for (const bool allLeave : { false, true }) {
        pool_fixture fixture(1);
        for (auto &[id, target] : fixture.model.workers().all()) {
            target.leavingPool = allLeave || id != "a0";
        }
        fixture.submit(1, 3, 1);
        fixture.schedule();
        cr_assert_eq(fixture.countRuns(), 1, "%zu", fixture.countRuns());
        cr_assert(allLeave || !fixture.model.workers().find("a0")->runs.empty());
    }
}

// A worker that has just started is slow. It helps when the others are full, and counts like them once it is warm.
Test(run_scheduler, coldWorkersGetTasksOnlyWhenTheOthersAreFull)
{
    pool_fixture fixture(1);
    worker &cold = *fixture.model.workers().find("a0");
    cold.coldUntil = NOW + seconds(5);
    for (int i = 0; i < 4; ++i) {
        fixture.submit(i, 4);
    }
    fixture.schedule();
    cr_assert(cold.runs.empty());
    cr_assert_eq(fixture.countRuns(), 16);
    fixture.submit(4, 8);
    fixture.schedule();
    cr_assert_eq(cold.runs.size(), 4, "%zu", cold.runs.size());
    cr_assert_eq(fixture.countRuns(), 24);
    cr_assert_not(cold.isCold(NOW + seconds(5)));
}

Test(run_scheduler, placesNothingOnWorkersThatLeaveThePoolWhileOthersHaveRoom)
{
    pool_fixture fixture(1);
    fixture.model.workers().find("a0")->leavingPool = true;
    for (int i = 0; i < 4; ++i) {
        fixture.submit(i, 4);
    }
    fixture.schedule();
    cr_assert(fixture.model.workers().find("a0")->runs.empty());
    cr_assert_eq(fixture.countRuns(), 16);
}

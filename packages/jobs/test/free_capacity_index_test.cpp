// The index against a look at all workers, which is the reference.
#include <criterion/criterion.h>
#include <deque>
#include <fmt/format.h>
#include <jujubespool/jobs/free_capacity_index.h>
#include <random>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };
constexpr int SEEDS = 200;
constexpr int TASKS = 60;

int pick(std::mt19937_64 &random, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(random);
}

bool oneIn(std::mt19937_64 &random, int number)
{
    return pick(random, 1, number) == 1;
}

worker randomWorker(std::mt19937_64 &random, int number)
{
    worker target;
    target.report.id = fmt::format("w{:03}", number);
    target.report.pool = "pool";
    target.report.dataCenter = fmt::format("dc{}", pick(random, 0, 2));
    target.report.capacity = { pick(random, 2, 4) * 4000, pick(random, 1, 4) * 8000, 0 };
    target.report.labels = { oneIn(random, 3) ? "gpu" : "plain", fmt::format("r{}", pick(random, 0, 4)) };
    target.listed = !oneIn(random, 10);
    target.polled = true;
    target.clockKnown = true;
    target.cordoned = oneIn(random, 10);
    target.leavingPool = oneIn(random, 5);
    target.dueForMaintenance = oneIn(random, 5);
    return target;
}

step_spec randomStep(std::mt19937_64 &random)
{
    step_spec step;
    step.count = 4;
    step.taskResources = { pick(random, 0, 6) * 1000, pick(random, 0, 6) * 2000, 0 };
    step.longRunning = oneIn(random, 6);
    step.bestEffort = oneIn(random, 6);
    step.requiredLabel = oneIn(random, 4) ? "gpu" : "";
    step.dataRack = oneIn(random, 3) ? fmt::format("r{}", pick(random, 0, 5)) : "";
    step.maxPerWorker = oneIn(random, 4) ? 1 : 0;
    return step;
}

placement_request randomRequest(std::mt19937_64 &random, const step_spec &step, const std::set<std::string> &failedOn)
{
    placement_request request;
    request.task = { "job", 0, pick(random, 0, 3), 0 };
    request.step = &step;
    request.pool = "pool";
    request.rack = oneIn(random, 6) ? fmt::format("r{}", pick(random, 0, 4)) : "";
    request.preferredDataCenter = fmt::format("dc{}", pick(random, 0, 3));
    request.avoidedWorker = oneIn(random, 3) ? fmt::format("w{:03}", pick(random, 0, 9)) : "";
    request.failedOn = oneIn(random, 3) ? &failedOn : nullptr;
    request.mayUseLeavingWorkers = oneIn(random, 2);
    if (oneIn(random, 6)) {
        request.isPermitted = [](const worker &target) {
            return target.report.id.back() % 2 == 0;
        };
    }
    return request;
}

} // namespace

Test(free_capacity_index, choosesTheWorkerThatALookAtAllWorkersChooses)
{
    for (int seed = 1; seed <= SEEDS; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        std::deque<worker> fleet;
        std::vector<worker *> workers;
        const int size = pick(random, 1, 25);
        for (int number = 0; number < size; ++number) {
            workers.push_back(&fleet.emplace_back(randomWorker(random, number)));
        }
        free_capacity_index index(workers);
        const std::set<std::string> failedOn{ "w001", "w004" };
        for (int task = 0; task < TASKS; ++task) {
            const step_spec step = randomStep(random);
            placement_request request = randomRequest(random, step, failedOn);
            request.task.index = task;
            const worker *expected = chooseWorker(workers, request, NOW);
            worker *chosen = index.choose(request, NOW);
            cr_assert_eq(chosen, expected, "seed %d, task %d: %s instead of %s", seed, task,
                         chosen == nullptr ? "none" : chosen->report.id.c_str(),
                         expected == nullptr ? "none" : expected->report.id.c_str());
            if (chosen != nullptr) {
                const std::int64_t before = chosen->freeCapacity().cpuMillis;
                placed_run run;
                run.need = step.taskResources;
                run.bestEffort = step.bestEffort;
                run.longRunning = step.longRunning;
                chosen->place(request.task, run);
                index.onPlaced(*chosen, before);
            }
        }
    }
}

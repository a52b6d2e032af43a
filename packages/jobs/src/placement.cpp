#include <jujubespool/jobs/placement.h>

#include <algorithm>
#include <tuple>

namespace jujubespool {

namespace {

// Smaller is better, part by part.
using preference = std::tuple<bool, bool, int, std::int64_t, std::int64_t>;

// Part of a host that lasting tasks should fill at most, as long as there are other hosts.
constexpr double LASTING_SHARE = 0.6;

// Tasks that last serve callers of their own or fill what is left.
bool lasts(const placed_run &run)
{
    return run.bestEffort || run.longRunning;
}

std::int64_t lastingRuns(const worker &target)
{
    return std::count_if(target.runs.begin(), target.runs.end(), [](const auto &item) { return lasts(item.second); });
}

std::int64_t lastingMillis(const worker &target)
{
    std::int64_t millis = 0;
    for (const auto &[key, run] : target.runs) {
        millis += run.longRunning && !run.bestEffort ? run.need.cpuMillis : 0;
    }
    return millis;
}

preference preferenceFor(const worker &target, const placement_request &request)
{
    const step_spec &step = *request.step;
    const bool failedHere = target.report.id == request.avoid;
    const bool farFromData = !step.dataRack.empty() && target.rack() != step.dataRack;
    const std::int64_t room = target.freeCapacity().cpuMillis;
    if (step.longRunning) {
        // A few hosts take the lasting tasks, evenly, so that the others can be moved or switched off.
        const bool crowded = lastingMillis(target) + (step.bestEffort ? 0 : step.taskResources.cpuMillis)
            > static_cast<std::int64_t>(LASTING_SHARE * static_cast<double>(target.report.capacity.cpuMillis));
        const bool opensHost = crowded || lastingRuns(target) == 0;
        return { failedHere || target.dueForMaintenance, farFromData, opensHost ? 1 : 0, lastingRuns(target), -room };
    }
    const bool away = !request.homeDataCenter.empty() && target.report.dataCenter != request.homeDataCenter;
    return { failedHere, farFromData, target.dueForMaintenance ? 1 : 0, away ? 1 : 0, room };
}

} // namespace

bool acceptsNewTasks(const worker &target, instant now)
{
    return target.listed && target.report.state == worker_state::ready && target.polled && target.clockKnown && !target.cordoned
        && !target.leavingPool && now >= target.avoidUntil;
}

bool fitsWhenEmpty(const worker &target, const step_spec &step)
{
    const bool labelled = step.requiredLabel.empty() || target.hasLabel(step.requiredLabel);
    resources need = step.taskResources;
    need.cpuMillis = step.bestEffort ? 0 : need.cpuMillis;
    return labelled && need.fitsIn(target.report.capacity);
}

bool isEligible(const worker &target, const placement_request &request, instant now)
{
    const step_spec &step = *request.step;
    resources need = step.taskResources;
    need.cpuMillis = step.bestEffort ? 0 : need.cpuMillis;
    if (target.report.pool != request.pool || !acceptsNewTasks(target, now) || !need.fitsIn(target.freeCapacity())
        || !fitsWhenEmpty(target, step)) {
        return false;
    }
    const bool wrongRack = !request.rack.empty() && target.rack() != request.rack;
    const task_key &task = request.task;
    const bool crowded = step.maxPerWorker > 0 && target.countTasks(task.job, task.occurrence, task.step) >= step.maxPerWorker;
    return !wrongRack && !crowded && (!request.permitted || request.permitted(target));
}

worker *chooseWorker(const std::vector<worker *> &workers, const placement_request &request, instant now)
{
    worker *best = nullptr;
    preference bestPreference;
    for (worker *target : workers) {
        if (!isEligible(*target, request, now)) {
            continue;
        }
        const preference candidate = preferenceFor(*target, request);
        if (best == nullptr || candidate < bestPreference) {
            best = target;
            bestPreference = candidate;
        }
    }
    return best;
}

} // namespace jujubespool

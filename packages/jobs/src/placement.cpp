#include <jujubespool/jobs/placement.h>

#include <algorithm>
#include <jujubespool/jobs/speed_limits.h>
#include <limits>
#include <tuple>

namespace jujubespool {

namespace {

// Compared element by element; the smallest is chosen.
using preference = std::tuple<bool, bool, bool, bool, int, std::int64_t, std::int64_t>;

// Maximum fraction of a host's CPU that long-running tasks should use as long as other hosts are available.
constexpr double MAX_LONG_RUNNING_FRACTION = 0.6;

// Runs that do not finish by themselves: they serve callers of their own, or they are best-effort runs.
bool runsIndefinitely(const placed_run &run)
{
    return run.bestEffort || run.longRunning;
}

std::int64_t countIndefiniteRuns(const worker &target)
{
    return std::count_if(target.runs.begin(), target.runs.end(), [](const auto &entry) { return runsIndefinitely(entry.second); });
}

std::int64_t longRunningCpuMillis(const worker &target)
{
    std::int64_t millis = 0;
    for (const auto &[key, run] : target.runs) {
        millis += run.longRunning && !run.bestEffort ? run.need.cpuMillis : 0;
    }
    return millis;
}

preference preferenceFor(const worker &target, const placement_request &request, instant now)
{
    const step_spec &step = *request.step;
    const bool failedHere = request.failedOn != nullptr && request.failedOn->count(target.report.id) > 0;
    const bool avoided = failedHere || target.report.id == request.avoidedWorker || target.isCold(now);
    const bool farFromData = !step.dataRack.empty() && target.rack() != step.dataRack;
    const std::int64_t freeCpuMillis = target.freeCapacity().cpuMillis;
    if (step.longRunning) {
        // Long-running tasks are spread evenly over a few hosts, so that the other hosts can be moved or switched off.
        const bool crowded = longRunningCpuMillis(target) + (step.bestEffort ? 0 : step.taskResources.cpuMillis)
            > static_cast<std::int64_t>(MAX_LONG_RUNNING_FRACTION * static_cast<double>(target.report.capacity.cpuMillis));
        const bool needsFurtherHost = crowded || countIndefiniteRuns(target) == 0;
        const bool interferes = request.interference != nullptr && wouldInterfere(target, step, *request.interference, now);
        return { target.leavingPool,       avoided || target.dueForMaintenance, farFromData,   interferes,
                 needsFurtherHost ? 1 : 0, countIndefiniteRuns(target),         -freeCpuMillis };
    }
    const bool otherDataCenter = !request.preferredDataCenter.empty() && target.report.dataCenter != request.preferredDataCenter;
    return { target.leavingPool, avoided, farFromData, false, target.dueForMaintenance ? 1 : 0, otherDataCenter ? 1 : 0, freeCpuMillis };
}

} // namespace

bool acceptsNewTasks(const worker &target, instant now)
{
    return !target.isCordoned(now) && wouldAcceptUncordoned(target, now);
}

bool wouldAcceptUncordoned(const worker &target, instant now)
{
    return target.listed && !target.evacuated && target.report.state == worker_state::ready && target.polled && target.clockKnown
        && target.mayGetTasks(now);
}

bool canHoldBesideLongRunningTasks(const worker &target, const step_spec &step)
{
    resources needed = step.taskResources;
    for (const auto &[key, run] : target.runs) {
        if (run.longRunning) {
            needed += run.need;
            needed.cpuMillis -= run.bestEffort ? run.need.cpuMillis : 0;
        }
    }
    needed.cpuMillis -= step.bestEffort ? step.taskResources.cpuMillis : 0;
    return !target.leavingPool && fitsWhenEmpty(target, step) && needed.fitsIn(target.report.capacity);
}

bool mayUseLeavingWorkers(const step_spec &step, const std::vector<task_progress> &tasks, bool stayingWorkerCanHoldTask)
{
    const auto isAssigned = [](const task_progress &task) {
        return task.phase == task_phase::assigned;
    };
    return step.longRunning || step.gang || (!stayingWorkerCanHoldTask && std::none_of(tasks.begin(), tasks.end(), isAssigned));
}

bool fitsWhenEmpty(const worker &target, const step_spec &step)
{
    const bool hasRequiredLabel = step.requiredLabel.empty() || target.hasLabel(step.requiredLabel);
    resources need = step.taskResources;
    need.cpuMillis = step.bestEffort ? 0 : need.cpuMillis;
    return hasRequiredLabel && need.fitsIn(target.report.capacity);
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
    if (target.leavingPool && !request.mayUseLeavingWorkers) {
        return false;
    }
    const bool wrongRack = !request.rack.empty() && target.rack() != request.rack;
    const task_key &task = request.task;
    const bool limitReached = step.maxPerWorker > 0 && target.countTasks(task.job, task.occurrence, task.step) >= step.maxPerWorker;
    return !wrongRack && !limitReached && (!request.isPermitted || request.isPermitted(target));
}

std::vector<worker *> eligibleWorkers(const std::vector<worker *> &workers, const placement_request &request, instant now)
{
    std::vector<std::pair<preference, worker *>> eligible;
    for (worker *target : workers) {
        if (isEligible(*target, request, now)) {
            eligible.emplace_back(preferenceFor(*target, request, now), target);
        }
    }
    std::stable_sort(eligible.begin(), eligible.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<worker *> ordered;
    ordered.reserve(eligible.size());
    for (const auto &[rank, target] : eligible) {
        ordered.push_back(target);
    }
    return ordered;
}

std::int64_t countFreeSlots(const worker &target, const placement_request &request)
{
    const step_spec &step = *request.step;
    const resources free = target.freeCapacity();
    const auto slotsIn = [](std::int64_t available, std::int64_t need) {
        return need > 0 ? std::max<std::int64_t>(available, 0) / need : std::numeric_limits<std::int64_t>::max();
    };
    std::int64_t slots = std::min(slotsIn(free.memoryMb, step.taskResources.memoryMb), slotsIn(free.gpus, step.taskResources.gpus));
    if (!step.bestEffort) {
        slots = std::min(slots, slotsIn(free.cpuMillis, step.taskResources.cpuMillis));
    }
    if (step.maxPerWorker > 0) {
        const task_key &task = request.task;
        slots = std::min<std::int64_t>(slots, step.maxPerWorker - target.countTasks(task.job, task.occurrence, task.step));
    }
    // A suspected worker gets one task at a time.
    return std::min<std::int64_t>(slots, target.isSuspectedToFailRuns() ? 1 : step.count);
}

worker *chooseWorker(const std::vector<worker *> &workers, const placement_request &request, instant now)
{
    worker *best = nullptr;
    preference bestPreference;
    for (worker *target : workers) {
        if (!isEligible(*target, request, now)) {
            continue;
        }
        const preference candidate = preferenceFor(*target, request, now);
        if (best == nullptr || candidate < bestPreference) {
            best = target;
            bestPreference = candidate;
        }
    }
    return best;
}

} // namespace jujubespool

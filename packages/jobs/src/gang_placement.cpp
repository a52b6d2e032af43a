#include <jujubespool/jobs/gang_placement.h>

#include <algorithm>
#include <unordered_map>

namespace jujubespool {

namespace {

// The number of tasks that the free amount of one resource is enough for, at most `limit`.
std::int64_t countWithin(std::int64_t limit, std::int64_t free, std::int64_t need)
{
    return need > 0 ? std::min(limit, free / need) : limit;
}

} // namespace

int countFittingTasks(const worker &target, const placement_request &request, instant now)
{
    if (!isEligible(target, request, now)) {
        return 0;
    }
    const step_spec &step = *request.step;
    const resources free = target.freeCapacity();
    std::int64_t count = step.count;
    if (!step.bestEffort) {
        count = countWithin(count, free.cpuMillis, step.taskResources.cpuMillis);
    }
    count = countWithin(count, free.memoryMb, step.taskResources.memoryMb);
    count = countWithin(count, free.gpus, step.taskResources.gpus);
    if (step.maxPerWorker > 0) {
        const task_key &task = request.task;
        const int placed = target.countTasks(task.job, task.occurrence, task.step);
        count = std::min<std::int64_t>(count, step.maxPerWorker - placed);
    }
    return static_cast<int>(count);
}

std::optional<std::string> rackForGang(const std::vector<worker *> &workers, const placement_request &request, instant now)
{
    const step_spec &step = *request.step;
    std::unordered_map<std::string, int> countOnRack;
    int total = 0;
    for (const worker *target : workers) {
        const int count = countFittingTasks(*target, request, now);
        total = std::min(step.count, total + count);
        if (step.sameRack && count > 0) {
            const std::string rack = target->rack();
            int &onRack = countOnRack[rack];
            onRack += count;
            if (onRack >= step.count) {
                return rack;
            }
        } else if (total >= step.count) {
            return std::string();
        }
    }
    return total >= step.count ? std::optional<std::string>(std::string()) : std::nullopt;
}

} // namespace jujubespool

#include <jujubespool/jobs/gang_placement.h>

#include <algorithm>
#include <unordered_map>

namespace jujubespool {

int countFittingTasks(const worker &target, const placement_request &request, instant now)
{
    return isEligible(target, request, now) ? static_cast<int>(countFreeSlots(target, request)) : 0;
}

std::optional<std::string> rackForGang(const std::vector<worker *> &workers, const placement_request &request, instant now)
{
    const step_spec &step = *request.step;
    std::unordered_map<std::string, int> countOnRack;
    int total = 0;
    for (const worker *target : workers) {
        const int count = countFittingTasks(*target, request, now);
        total = std::min(step.count, total + count);
        if (!step.sameRack && total >= step.count) {
            return std::string();
        }
        if (step.sameRack && count > 0) {
            const std::string rack = target->rack();
            int &onRack = countOnRack[rack];
            onRack += count;
            if (onRack >= step.count) {
                return rack;
            }
        }
    }
    return total >= step.count ? std::optional<std::string>(std::string()) : std::nullopt;
}

} // namespace jujubespool

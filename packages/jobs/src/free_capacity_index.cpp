#include <jujubespool/jobs/free_capacity_index.h>

#include <algorithm>
#include <utility>

namespace jujubespool {

namespace {

bool isAvoided(const worker &target, const placement_request &request, instant now)
{
    return target.isCold(now) || target.report.id == request.avoidedWorker
        || (request.failedOn != nullptr && request.failedOn->count(target.report.id) > 0);
}

} // namespace

free_capacity_index::free_capacity_index(const std::vector<worker *> &workers)
    : m_workers(workers)
{
    for (std::size_t order = 0; order < workers.size(); ++order) {
        groupOf(workers[order]->report.dataCenter).slots.push_back({ workers[order]->freeCapacity().cpuMillis, order, workers[order] });
    }
    for (data_center &group : m_dataCenters) {
        std::sort(group.slots.begin(), group.slots.end());
    }
}

free_capacity_index::data_center &free_capacity_index::groupOf(const std::string &name)
{
    const auto position = std::lower_bound(m_dataCenters.begin(), m_dataCenters.end(), name,
                                           [](const data_center &group, const std::string &wanted) { return group.name < wanted; });
    if (position != m_dataCenters.end() && position->name == name) {
        return *position;
    }
    return *m_dataCenters.insert(position, data_center{ name, {} });
}

std::vector<std::string> free_capacity_index::dataCenters() const
{
    std::vector<std::string> names;
    names.reserve(m_dataCenters.size());
    for (const data_center &group : m_dataCenters) {
        names.push_back(group.name);
    }
    return names;
}

std::size_t free_capacity_index::takeExamined()
{
    return std::exchange(m_examined, 0);
}

const std::vector<worker *> &free_capacity_index::workersOnRack(const std::string &rack)
{
    if (m_racks.empty()) {
        m_examined += m_workers.size();
        for (worker *target : m_workers) {
            m_racks[target->rack()].push_back(target);
        }
    }
    return m_racks[rack];
}

worker *free_capacity_index::choose(const placement_request &request, instant now)
{
    if (request.step->longRunning) {
        m_examined += m_workers.size();
        return chooseWorker(m_workers, request, now);
    }
    if (!request.rack.empty()) {
        const std::vector<worker *> &workers = workersOnRack(request.rack);
        m_examined += workers.size();
        return chooseWorker(workers, request, now);
    }
    if (worker *near = chooseNearData(request, now)) {
        return near;
    }
    return chooseByFreeCapacity(request, now);
}

// A worker near the data comes before all others but those that leave the pool and those that the task avoids.
worker *free_capacity_index::chooseNearData(const placement_request &request, instant now)
{
    if (request.step->dataRack.empty()) {
        return nullptr;
    }
    std::vector<worker *> near;
    for (worker *target : workersOnRack(request.step->dataRack)) {
        ++m_examined;
        if (!target->leavingPool && !isAvoided(*target, request, now)) {
            near.push_back(target);
        }
    }
    return chooseWorker(near, request, now);
}

worker *free_capacity_index::chooseByFreeCapacity(const placement_request &request, instant now)
{
    m_lastChoices.clear();
    const slot *best = nullptr;
    for (const data_center &group : m_dataCenters) {
        if (group.name == request.preferredDataCenter) {
            best = firstFit(group, request, now);
        }
    }
    for (const data_center &group : m_dataCenters) {
        if (best != nullptr && best->target->report.dataCenter == request.preferredDataCenter) {
            break;
        }
        const slot *candidate = group.name == request.preferredDataCenter ? nullptr : firstFit(group, request, now);
        best = candidate != nullptr && (best == nullptr || *candidate < *best) ? candidate : best;
    }
    return best != nullptr ? best->target : chooseLast(request, now);
}

worker *free_capacity_index::chooseLast(const placement_request &request, instant now)
{
    std::sort(m_lastChoices.begin(), m_lastChoices.end(), [](const slot &left, const slot &right) { return left.order < right.order; });
    std::vector<worker *> workers;
    workers.reserve(m_lastChoices.size());
    for (const slot &entry : m_lastChoices) {
        workers.push_back(entry.target);
    }
    return chooseWorker(workers, request, now);
}

const free_capacity_index::slot *free_capacity_index::firstFit(const data_center &group, const placement_request &request, instant now)
{
    const std::int64_t need = request.step->bestEffort ? 0 : request.step->taskResources.cpuMillis;
    const auto hasLess = [](const slot &entry, std::int64_t millis) {
        return entry.freeCpuMillis < millis;
    };
    for (auto entry = std::lower_bound(group.slots.begin(), group.slots.end(), need, hasLess); entry != group.slots.end(); ++entry) {
        ++m_examined;
        worker &target = *entry->target;
        if (!isEligible(target, request, now)) {
            continue;
        }
        if (!target.leavingPool && !target.dueForMaintenance && !isAvoided(target, request, now)) {
            return &*entry;
        }
        m_lastChoices.push_back(*entry);
    }
    return nullptr;
}

void free_capacity_index::onPlaced(const worker &target, std::int64_t freeCpuMillisBefore)
{
    const std::int64_t freeCpuMillis = target.freeCapacity().cpuMillis;
    if (freeCpuMillis == freeCpuMillisBefore) {
        return;
    }
    std::vector<slot> &slots = groupOf(target.report.dataCenter).slots;
    auto entry = std::lower_bound(slots.begin(), slots.end(), slot{ freeCpuMillisBefore, 0, nullptr });
    while (entry->target != &target) {
        ++entry;
    }
    slot moved = *entry;
    moved.freeCpuMillis = freeCpuMillis;
    const auto place = std::lower_bound(slots.begin(), entry, moved);
    std::rotate(place, entry, std::next(entry));
    *place = moved;
}

} // namespace jujubespool

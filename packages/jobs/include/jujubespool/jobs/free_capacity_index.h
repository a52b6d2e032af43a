// Finds the worker for a task without a look at each worker of the pool.
//
//     free_capacity_index index(workersOfThePool);
//     worker *target = index.choose(request, now);            // the one that chooseWorker() chooses
//     index.onPlaced(*target, freeCpuMillisBefore);
//
// The workers of a data centre are kept in the order of their free CPU, so that a task takes the first that it fits on. Only workers with
// enough free CPU are looked at, and of those as a rule one.
#pragma once

#include <jujubespool/jobs/placement.h>

namespace jujubespool {

class free_capacity_index
{
public:
    free_capacity_index() = default;
    // The workers must accept new tasks, and stand in the order in which equals are preferred.
    explicit free_capacity_index(const std::vector<worker *> &workers);

    worker *choose(const placement_request &request, instant now);
    // Must be called when a task has been placed on one of the workers, with its free CPU before.
    void onPlaced(const worker &target, std::int64_t freeCpuMillisBefore);
    // The data centres of the workers, in alphabetical order.
    std::vector<std::string> dataCenters() const;
    // Number of workers looked at since the last call.
    std::size_t takeExamined();

private:
    struct slot
    {
        std::int64_t freeCpuMillis = 0;
        // Position of the worker among all.
        std::size_t order = 0;
        worker *target = nullptr;

        bool operator<(const slot &other) const
        {
            return std::tie(freeCpuMillis, order) < std::tie(other.freeCpuMillis, other.order);
        }
    };
    struct data_center
    {
        std::string name;
        // By free CPU.
        std::vector<slot> slots;
    };
    data_center &groupOf(const std::string &name);
    const std::vector<worker *> &workersOnRack(const std::string &rack);
    // The first worker with enough free capacity that nothing speaks against. Others that could take the task are added to the last
    // choices.
    const slot *firstFit(const data_center &group, const placement_request &request, instant now);
    worker *chooseNearData(const placement_request &request, instant now);
    worker *chooseByFreeCapacity(const placement_request &request, instant now);
    worker *chooseLast(const placement_request &request, instant now);

    std::vector<worker *> m_workers;
    std::vector<data_center> m_dataCenters;
    // Filled when a request names a rack.
    std::map<std::string, std::vector<worker *>> m_racks;
    // Workers that could take the task, but against which something speaks.
    std::vector<slot> m_lastChoices;
    std::size_t m_examined = 0;
};

} // namespace jujubespool

// Chooses the process that sends the orders of the owner to a worker.
//
//     const std::uint64_t helper = chooseHelper(order.worker, helpers);
//
// All orders for a worker go through the same helper as long as the helpers are the same, so that connections are reused.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <vector>

namespace jujubespool {

// A process that sends orders to workers on behalf of the owner.
struct relay_helper
{
    std::uint64_t incarnation = 0;
    std::string dataCenter;
};

// Prefers helpers in the worker's data centre. Returns the incarnation, or 0 if there is no helper.
std::uint64_t chooseHelper(const worker_address &target, const std::vector<relay_helper> &helpers);

} // namespace jujubespool

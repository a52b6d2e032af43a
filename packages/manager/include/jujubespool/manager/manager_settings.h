// Settings of one manager process, as read by the adapter of the platform.
//
//     manager_process process(loop, settings, clients, log, processMetrics);
#pragma once

#include <jujubespool/entry/client_budget.h>
#include <jujubespool/jobs/fleet_model.h>

namespace jujubespool {

struct manager_settings
{
    std::string node;
    std::string ip;
    std::string dataCenter;
    // Addresses as "ip:port": for callers, and for the readiness checks of the load balancer.
    std::string callerAddress;
    std::string readyAddress;
    // Port for messages from the other processes of the system.
    std::uint16_t peerPort = 0;
    // Port for metrics; 0 disables them.
    std::uint16_t metricsPort = 0;
    // An owner of at least this many workers lets other processes send its orders. With fewer workers, it sends all orders
    // itself, which takes one message less for each.
    std::uint32_t relayFromWorkers = 400;
    std::string storeAddress;
    std::string hostServiceAddress;
    std::string policyServiceAddress;
    // CPU share of this process, in percent of one core.
    std::uint32_t cpuSharePercent = 0;
    // Bandwidth of the host's network, in Mbit/s.
    std::uint32_t linkMbps = 0;
    // Memory of the host for this process, in MiB.
    std::uint32_t memoryMb = 256;
    // Descriptors that this process may open.
    std::uint32_t maxDescriptors = 1024;
    manager_bounds bounds;
};

// Limits for the clients of a manager. The rest of the memory is for the jobs, the rest of the descriptors for peers, the store and
// workers.
client_limits clientLimitsOf(const manager_settings &settings, std::size_t descriptorsOfProcess);

} // namespace jujubespool

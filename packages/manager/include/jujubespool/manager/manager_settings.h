// Settings of one manager process, as read by the adapter of the platform.
//
//     manager_process process(loop, settings, clients, log, processMetrics);
#pragma once

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
    manager_bounds bounds;
};

} // namespace jujubespool

// Settings of one manager process.
#pragma once

#include <jujubespool/jobs/fleet_model.h>

namespace jujubespool {

struct manager_settings
{
    std::string node;
    std::string ip;
    std::string dataCenter;
    // "ip:port" at which callers connect, and at which the balancer asks whether to send callers here.
    std::string callerAddress;
    std::string readyAddress;
    // Port for the other processes of the system.
    std::uint16_t peerPort = 0;
    std::uint16_t metricsPort = 0;
    std::string storeAddress;
    std::string hostServiceAddress;
    std::string adviceAddress;
    // Part of a core that this process has, in percent.
    std::uint32_t cpuSharePercent = 0;
    // Bandwidth of the host's network, in Mbit/s.
    std::uint32_t linkMbps = 0;
    manager_bounds bounds;
};

} // namespace jujubespool

// Parses and validates the settings of one entry host.
//
//     std::vector<config_problem> problems;
//     const auto settings = readSettings("host.yaml", problems);
//
// Settings that have no default in docs/REFERENCE.md are required.
#pragma once

#include <jujubespool/core/configuration.h>
#include <jujubespool/core/time.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

struct entry_settings
{
    std::string host;
    std::string dataCenter;
    // Addresses have the form "ip:port"; with port 0 the kernel chooses the port.
    std::string callerAddress;
    std::string adminAddress;
    std::string peerAddress;
    std::string platformAddress;
    // Addresses of peers from which log records are requested if the platform is unreachable.
    std::vector<std::string> peers;
    std::size_t maxBodyBytes = 1048576;
    milliseconds defaultTimeout{ 5000 };
    milliseconds stopTimeout{ 30000 };
    milliseconds logRetention{ 600000 };
    std::size_t answerStoreBytes = 33554432;
    // What all clients together may make the process hold; it has to hold the largest request, which is a configuration.
    std::size_t clientMemoryBytes = 71303168;
    // Connections of clients that may be open; 0 for half of the descriptors that the process may open.
    std::size_t maxClientConnections = 0;
    // Maximum time for a host of a wave to reboot and become healthy. After it, maintenance of the host counts as failed.
    milliseconds rebootTimeout{ 600000 };
    // Enables /v1/faults on the admin address. Only for tests.
    bool allowFaults = false;
};

// Both return std::nullopt and add to the problems if the settings are invalid or the file cannot be read.
std::optional<entry_settings> parseSettings(const std::string &yaml, std::vector<config_problem> &problems);
std::optional<entry_settings> readSettings(const std::string &path, std::vector<config_problem> &problems);

} // namespace jujubespool

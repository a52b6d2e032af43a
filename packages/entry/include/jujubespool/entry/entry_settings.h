// Settings of one entry host.
//
//     std::vector<config_problem> problems;
//     const auto settings = readSettings("host.yaml", problems);
//
// Every setting without a default in docs/REFERENCE.md has to be given; nothing is guessed.
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
    // "ip:port"; port 0 lets the kernel choose.
    std::string callerAddress;
    std::string adminAddress;
    std::string peerAddress;
    std::string platformAddress;
    // Peer addresses asked for log records when the platform cannot be reached.
    std::vector<std::string> peers;
    std::size_t maxBodyBytes = 1048576;
    milliseconds defaultTimeout{ 5000 };
    milliseconds stopTimeout{ 30000 };
    milliseconds logRetention{ 600000 };
    std::size_t answerStoreBytes = 33554432;
    // Hosts of a wave count as drained, rebooted and healthy after these times at most.
    milliseconds rebootTimeout{ 600000 };
    // Allows /v1/faults on the admin port, for tests only.
    bool allowFaults = false;
};

std::optional<entry_settings> parseSettings(const std::string &yaml, std::vector<config_problem> &problems);
std::optional<entry_settings> readSettings(const std::string &path, std::vector<config_problem> &problems);

} // namespace jujubespool

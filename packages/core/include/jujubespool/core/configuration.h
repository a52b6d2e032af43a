// The configuration that operators publish: data centres, services, pools, hosts and teams.
//
//     failure reason;
//     const auto text = parseConfiguration(yaml, problems);
//     const service_spec *service = text->findService("badge-check");
//
// A `configuration` that parseConfiguration() returned satisfies every rule of the reference,
// docs/REFERENCE.md; code that receives one checks none of them again.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

enum class request_class { urgent, normal };

template <> struct enum_names<request_class>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "urgent", "normal" };
};

enum class queue_kind { keyed, open };

template <> struct enum_names<queue_kind>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "keyed", "open" };
};

struct service_spec
{
    std::string name;
    std::string pool;
    std::vector<std::string> dependsOn;
    request_class defaultClass = request_class::normal;
    // Whether running a request twice is harmless.
    bool repeatable = false;
    // Largest share of the pool's hosts that may be out of service at once, in percent, 0 to 100.
    std::uint32_t maxUnavailablePercent = 20;
    queue_kind queue = queue_kind::keyed;
    // Longest time that an upstream may run one request; the upstream ends it then.
    milliseconds maxRun{ 10000 };

    bool operator==(const service_spec &other) const = default;
};

struct host_spec
{
    std::string name;
    std::string pool;
    std::string dataCenter;
    std::string rack;
    std::string address;
    // Requests that the host runs at once, 1 to 1024.
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;

    bool operator==(const host_spec &other) const = default;
};

struct pool_spec
{
    std::string name;
    bool spare = false;

    bool operator==(const pool_spec &other) const = default;
};

struct team_spec
{
    std::string name;
    // Weight when everything is full, 1 to 1000000.
    std::uint32_t share = 1;
    // Most requests that the team runs at once across the fleet, 1 to 1000000.
    std::uint32_t limit = 1;
    // Lower-case hexadecimal SHA-256 of each key.
    std::vector<std::string> keyHashes;

    bool operator==(const team_spec &other) const = default;
};

// Every list is sorted by name.
struct configuration
{
    std::vector<std::string> dataCenters;
    std::vector<service_spec> services;
    std::vector<pool_spec> pools;
    std::vector<host_spec> hosts;
    std::vector<team_spec> teams;
    // How long a claim of an idempotency key is kept after the key was issued.
    milliseconds claimRetention{ 3600000 };
    // Longest time that keyed work is accepted without news of the configuration; 0 for no bound.
    milliseconds keyGrace{ 0 };

    const service_spec *findService(std::string_view name) const;
    const host_spec *findHost(std::string_view name) const;
    const team_spec *findTeam(std::string_view name) const;
    const pool_spec *findPool(std::string_view name) const;
    // Longest run time of any service: what a fence has to wait out.
    milliseconds longestRun() const;
};

struct config_problem
{
    // Line in the text, from 1; 0 when no line can be named.
    int line = 0;
    std::string message;
};

// Parses and validates a configuration text as a whole.
// Returns no value and at least one problem when any rule is broken.
std::optional<configuration> parseConfiguration(const std::string &yaml, std::vector<config_problem> &problems);

// Returns the lines that differ between two texts, prefixed "- " and "+ ".
std::string formatTextDiff(const std::string &before, const std::string &after);

} // namespace jujubespool

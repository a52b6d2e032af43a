// The configuration that operators publish: data centres, services, pools, hosts and teams.
//
//     std::vector<config_problem> problems;
//     const std::optional<configuration> config = parseConfiguration(yaml, problems);
//     if (config) {
//         const service_spec *service = config->findService("badge-check");
//     }
//
// A `configuration` returned by parseConfiguration() satisfies every rule in docs/REFERENCE.md, so code
// that receives one does not validate it again.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

// Priority class of a request.
enum class request_class { urgent, normal };

template <> struct enum_names<request_class>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "urgent", "normal" };
};

// Whether requests to a service must carry an API key (keyed) or may omit it (open).
enum class queue_kind { keyed, open };

template <> struct enum_names<queue_kind>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "keyed", "open" };
};

struct service_spec
{
    std::string name;
    std::string pool;
    // Names of the services that this service calls.
    std::vector<std::string> dependsOn;
    request_class defaultClass = request_class::normal;
    // Whether a request may safely run more than once.
    bool repeatable = false;
    // Largest share of the pool's hosts that may be out of service at once, in percent, 0 to 100.
    std::uint32_t maxUnavailablePercent = 20;
    queue_kind queue = queue_kind::keyed;
    // Longest run time of one request; the upstream ends the request after this time.
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
    // Maximum number of requests that run on the host at the same time, 1 to 1024.
    std::uint32_t slots = 8;
    // Maximum number of connections to the host; at least `slots`.
    std::uint32_t connections = 64;

    bool operator==(const host_spec &other) const = default;
};

struct pool_spec
{
    std::string name;
    // Whether this is the pool of spare hosts. At most one pool is.
    bool spare = false;

    bool operator==(const pool_spec &other) const = default;
};

// A client account, which the configuration calls a team.
struct team_spec
{
    std::string name;
    // Weight in fair sharing when the capacity is exhausted, 1 to 1000000.
    std::uint32_t share = 1;
    // Maximum number of requests that the team runs at the same time across the fleet, 1 to 1000000.
    std::uint32_t limit = 1;
    // Lower-case hexadecimal SHA-256 of each API key.
    std::vector<std::string> keyHashes;

    bool operator==(const team_spec &other) const = default;
};

// Every list is sorted by name, except `dataCenters`, which keeps the order of the text.
struct configuration
{
    std::vector<std::string> dataCenters;
    std::vector<service_spec> services;
    std::vector<pool_spec> pools;
    std::vector<host_spec> hosts;
    std::vector<team_spec> teams;
    // How long the claim of an idempotency key is kept after the key was issued.
    milliseconds claimRetention{ 3600000 };
    // Longest time that requests with an API key are accepted while it is not confirmed that the configuration is up to
    // date, because a key may have been withdrawn meanwhile; 0 for no limit.
    milliseconds keyGrace{ 0 };

    // These return nullptr when the name is unknown.
    const service_spec *findService(std::string_view name) const;
    const host_spec *findHost(std::string_view name) const;
    const team_spec *findTeam(std::string_view name) const;
    const pool_spec *findPool(std::string_view name) const;
    // Longest maxRun of any service. A fence waits for at least this time.
    milliseconds longestRun() const;
};

struct config_problem
{
    // Line in the text, counted from 1; 0 when the line is unknown.
    int line = 0;
    std::string message;
};

// Parses and validates a complete configuration text.
// When a rule is violated, returns std::nullopt and adds at least one problem.
std::optional<configuration> parseConfiguration(const std::string &yaml, std::vector<config_problem> &problems);

// Returns the lines that differ between two texts: removed lines prefixed "- ", then added lines prefixed "+ ".
std::string formatTextDiff(const std::string &before, const std::string &after);

} // namespace jujubespool

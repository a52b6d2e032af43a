// Parses the configuration text and checks it as a whole.
#include <jujubespool/core/configuration.h>

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <set>
#include <yaml-cpp/yaml.h>

namespace jujubespool {

namespace {

constexpr std::uint32_t MAX_SLOTS = 1024;
constexpr std::uint32_t MAX_AMOUNT = 1000000;
constexpr std::uint32_t MAX_PERCENT = 100;
constexpr std::uint32_t MAX_RUN_MS = 3600000;
constexpr std::uint32_t MAX_RETENTION_MS = 30U * 24 * 3600 * 1000;
constexpr std::size_t SHA256_HEX_SIZE = 64;

// Reads one text; every rule that is broken adds a problem, and reading goes on.
class text_reader
{
public:
    explicit text_reader(std::vector<config_problem> &problems)
        : m_problems(problems)
    {
    }

    void problem(const YAML::Node &node, std::string message)
    {
        const YAML::Mark mark = node.Mark();
        m_problems.push_back({ mark.is_null() ? 0 : mark.line + 1, std::move(message) });
    }

    // Reports keys of a map that the reference does not name, because a misspelt key would be ignored silently.
    bool expectMap(const YAML::Node &node, const std::string &what, const std::set<std::string> &keys)
    {
        if (!node.IsMap()) {
            problem(node, fmt::format("{} must be a map", what));
            return false;
        }
        std::set<std::string> seen;
        for (const auto &entry : node) {
            const std::string key = entry.first.Scalar();
            if (keys.count(key) == 0) {
                problem(entry.first, fmt::format("{}: unknown key '{}'", what, key));
            }
            if (!seen.insert(key).second) {
                problem(entry.first, fmt::format("{}: key '{}' is given twice", what, key));
            }
        }
        return true;
    }

    std::string name(const YAML::Node &parent, const char *key, const std::string &what)
    {
        const YAML::Node node = parent[key];
        if (!node || !node.IsScalar() || node.Scalar().empty()) {
            problem(parent, fmt::format("{}: '{}' is missing", what, key));
            return {};
        }
        const std::string &text = node.Scalar();
        const auto allowed = [](char c) {
            return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
        };
        if (!std::all_of(text.begin(), text.end(), allowed)) {
            problem(node, fmt::format("{}: '{}' holds a character outside A-Z a-z 0-9 - _ . :", what, text));
        }
        return text;
    }

    std::uint32_t number(const YAML::Node &parent, const char *key, const std::string &what, std::uint32_t least, std::uint32_t most,
                         std::optional<std::uint32_t> fallback = std::nullopt)
    {
        const YAML::Node node = parent[key];
        if (!node) {
            if (!fallback) {
                problem(parent, fmt::format("{}: '{}' is missing", what, key));
            }
            return fallback.value_or(least);
        }
        long long value = 0;
        if (!node.IsScalar() || !YAML::convert<long long>::decode(node, value) || value < least || value > most) {
            problem(node, fmt::format("{}: '{}' must be a whole number from {} to {}", what, key, least, most));
            return least;
        }
        return static_cast<std::uint32_t>(value);
    }

    bool truth(const YAML::Node &parent, const char *key, const std::string &what, bool fallback)
    {
        const YAML::Node node = parent[key];
        bool value = fallback;
        if (node && (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))) {
            problem(node, fmt::format("{}: '{}' must be true or false", what, key));
        }
        return value;
    }

    template <typename E> E choice(const YAML::Node &parent, const char *key, const std::string &what, E fallback)
    {
        const YAML::Node node = parent[key];
        if (!node) {
            return fallback;
        }
        const auto value = node.IsScalar() ? valueOf<E>(node.Scalar()) : std::nullopt;
        if (!value) {
            problem(node, fmt::format("{}: '{}' is not one of its names", what, key));
        }
        return value.value_or(fallback);
    }

    // Calls read for each item of the list at key.
    void list(const YAML::Node &parent, const char *key, bool required, const std::function<void(const YAML::Node &)> &read)
    {
        const YAML::Node node = parent[key];
        if (!node) {
            if (required) {
                problem(parent, fmt::format("'{}' is missing", key));
            }
            return;
        }
        if (!node.IsSequence()) {
            problem(node, fmt::format("'{}' must be a list", key));
            return;
        }
        for (const YAML::Node &item : node) {
            read(item);
        }
    }

private:
    std::vector<config_problem> &m_problems;
};

class configuration_reader
{
public:
    configuration_reader(const YAML::Node &root, std::vector<config_problem> &problems)
        : m_root(root)
        , m_reader(problems)
    {
    }

    configuration read()
    {
        if (!m_reader.expectMap(m_root, "configuration",
                                { "data_centers", "services", "pools", "teams", "claim_retention_ms", "key_grace_ms" })) {
            return {};
        }
        m_config.claimRetention
            = milliseconds(m_reader.number(m_root, "claim_retention_ms", "configuration", 1000, MAX_RETENTION_MS, 3600000));
        m_config.keyGrace = milliseconds(m_reader.number(m_root, "key_grace_ms", "configuration", 0, MAX_RETENTION_MS, 0));
        m_reader.list(m_root, "data_centers", true, [this](const YAML::Node &node) { readDataCenter(node); });
        m_reader.list(m_root, "pools", true, [this](const YAML::Node &node) { readPool(node); });
        m_reader.list(m_root, "services", true, [this](const YAML::Node &node) { readService(node); });
        m_reader.list(m_root, "teams", true, [this](const YAML::Node &node) { readTeam(node); });
        sortLists();
        checkReferences();
        checkCycles();
        checkBudgets();
        return std::move(m_config);
    }

private:
    void sortLists()
    {
        const auto byName = [](const auto &left, const auto &right) {
            return left.name < right.name;
        };
        std::sort(m_config.services.begin(), m_config.services.end(), byName);
        std::sort(m_config.pools.begin(), m_config.pools.end(), byName);
        std::sort(m_config.hosts.begin(), m_config.hosts.end(), byName);
        std::sort(m_config.teams.begin(), m_config.teams.end(), byName);
    }

    void readDataCenter(const YAML::Node &node)
    {
        if (!node.IsScalar()) {
            m_reader.problem(node, "a data centre must be a name");
            return;
        }
        claimName(node, "data centre", node.Scalar());
        m_config.dataCenters.push_back(node.Scalar());
    }

    void readPool(const YAML::Node &node)
    {
        if (!m_reader.expectMap(node, "pool", { "name", "spare", "hosts" })) {
            return;
        }
        pool_spec pool;
        pool.name = m_reader.name(node, "name", "pool");
        pool.spare = m_reader.truth(node, "spare", "pool " + pool.name, false);
        claimName(node, "pool", pool.name);
        m_config.pools.push_back(pool);
        m_reader.list(node, "hosts", false, [&](const YAML::Node &item) { readHost(item, pool.name); });
    }

    void readHost(const YAML::Node &node, const std::string &pool)
    {
        if (!m_reader.expectMap(node, "host", { "name", "data_center", "rack", "address", "slots", "connections" })) {
            return;
        }
        host_spec host;
        host.name = m_reader.name(node, "name", "host");
        const std::string what = "host " + host.name;
        host.pool = pool;
        host.dataCenter = m_reader.name(node, "data_center", what);
        host.rack = m_reader.name(node, "rack", what);
        host.address = m_reader.name(node, "address", what);
        host.slots = m_reader.number(node, "slots", what, 1, MAX_SLOTS, 8);
        host.connections = m_reader.number(node, "connections", what, host.slots, MAX_AMOUNT, std::max(64U, host.slots));
        const auto [earlier, fresh] = m_poolOfHost.emplace(host.name, pool);
        if (!fresh) {
            m_reader.problem(node, fmt::format("{} is in two pools, {} and {}", what, earlier->second, pool));
        }
        requireDataCenter(node, what, host.dataCenter);
        m_config.hosts.push_back(host);
    }

    void readService(const YAML::Node &node)
    {
        if (!m_reader.expectMap(
                node, "service",
                { "name", "pool", "depends_on", "class", "repeatable", "max_unavailable_percent", "queue", "max_run_ms" })) {
            return;
        }
        service_spec service;
        service.name = m_reader.name(node, "name", "service");
        const std::string what = "service " + service.name;
        claimName(node, "service", service.name);
        service.pool = m_reader.name(node, "pool", what);
        service.defaultClass = m_reader.choice(node, "class", what, request_class::normal);
        service.queue = m_reader.choice(node, "queue", what, queue_kind::keyed);
        service.repeatable = m_reader.truth(node, "repeatable", what, false);
        service.maxUnavailablePercent = m_reader.number(node, "max_unavailable_percent", what, 0, MAX_PERCENT);
        service.maxRun = milliseconds(m_reader.number(node, "max_run_ms", what, 1, MAX_RUN_MS));
        m_reader.list(node, "depends_on", false, [&](const YAML::Node &item) { service.dependsOn.push_back(item.Scalar()); });
        m_nodes.emplace(service.name, node);
        m_config.services.push_back(service);
    }

    void readTeam(const YAML::Node &node)
    {
        if (!m_reader.expectMap(node, "team", { "name", "share", "limit", "keys" })) {
            return;
        }
        team_spec team;
        team.name = m_reader.name(node, "name", "team");
        const std::string what = "team " + team.name;
        claimName(node, "team", team.name);
        team.share = m_reader.number(node, "share", what, 1, MAX_AMOUNT);
        team.limit = m_reader.number(node, "limit", what, 1, MAX_AMOUNT);
        m_reader.list(node, "keys", false, [&](const YAML::Node &item) { readKey(item, what, team); });
        m_config.teams.push_back(team);
    }

    void readKey(const YAML::Node &node, const std::string &what, team_spec &team)
    {
        const std::string hash = node.IsScalar() ? node.Scalar() : std::string();
        const bool hexadecimal = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (hash.size() != SHA256_HEX_SIZE || !hexadecimal) {
            m_reader.problem(node, what + ": a key must be given as its SHA-256 in lower-case hexadecimal");
            return;
        }
        if (!m_keys.insert(hash).second) {
            m_reader.problem(node, what + ": the key belongs to another team already");
        }
        team.keyHashes.push_back(hash);
    }

    void claimName(const YAML::Node &node, const std::string &kind, const std::string &name)
    {
        if (!m_names.insert(kind + "/" + name).second) {
            m_reader.problem(node, fmt::format("{} {} is given twice", kind, name));
        }
    }

    void requireDataCenter(const YAML::Node &node, const std::string &what, const std::string &name)
    {
        const auto &known = m_config.dataCenters;
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            m_reader.problem(node, fmt::format("{}: unknown data centre '{}'", what, name));
        }
    }

    void checkReferences()
    {
        for (const service_spec &service : m_config.services) {
            const YAML::Node &node = m_nodes.at(service.name);
            const pool_spec *pool = m_config.findPool(service.pool);
            if (pool == nullptr) {
                m_reader.problem(node, fmt::format("service {}: unknown pool '{}'", service.name, service.pool));
            } else if (pool->spare) {
                m_reader.problem(node, fmt::format("service {}: pool '{}' is the spare pool", service.name, service.pool));
            }
            for (const std::string &name : service.dependsOn) {
                if (m_config.findService(name) == nullptr) {
                    m_reader.problem(node, fmt::format("service {}: unknown dependency '{}'", service.name, name));
                }
            }
        }
        const auto spares = std::count_if(m_config.pools.begin(), m_config.pools.end(), [](const pool_spec &pool) { return pool.spare; });
        if (spares > 1) {
            m_reader.problem(m_root, "more than one pool is the spare pool");
        }
    }

    void checkCycles()
    {
        std::map<std::string, int> state;
        for (const service_spec &service : m_config.services) {
            visit(service, state);
        }
    }

    // Depth-first search; state 1 is on the path, 2 is finished.
    void visit(const service_spec &service, std::map<std::string, int> &state)
    {
        int &mine = state[service.name];
        if (mine == 1) {
            m_reader.problem(m_nodes.at(service.name), fmt::format("service {} depends on itself through its dependencies", service.name));
        }
        if (mine != 0) {
            return;
        }
        mine = 1;
        for (const std::string &name : service.dependsOn) {
            if (const service_spec *next = m_config.findService(name)) {
                visit(*next, state);
            }
        }
        state[service.name] = 2;
    }

    // A budget that permits no host to leave makes maintenance impossible.
    void checkBudgets()
    {
        std::map<std::string, std::size_t> hostsOfPool;
        for (const host_spec &host : m_config.hosts) {
            ++hostsOfPool[host.pool];
        }
        for (const service_spec &service : m_config.services) {
            const std::size_t hosts = hostsOfPool[service.pool];
            if (hosts * service.maxUnavailablePercent < MAX_PERCENT) {
                m_reader.problem(m_nodes.at(service.name),
                                 fmt::format("service {}: with {} hosts a budget of {}% never permits one host to be out of service",
                                             service.name, hosts, service.maxUnavailablePercent));
            }
        }
    }

    const YAML::Node &m_root;
    text_reader m_reader;
    configuration m_config;
    std::set<std::string> m_names;
    std::set<std::string> m_keys;
    std::map<std::string, std::string> m_poolOfHost;
    std::map<std::string, YAML::Node> m_nodes;
};

} // namespace

std::optional<configuration> parseConfiguration(const std::string &yaml, std::vector<config_problem> &problems)
{
    try {
        const YAML::Node root = YAML::Load(yaml);
        configuration_reader reader(root, problems);
        configuration parsed = reader.read();
        if (problems.empty()) {
            return parsed;
        }
    } catch (const YAML::Exception &error) {
        problems.push_back({ error.mark.line + 1, error.msg });
    }
    return std::nullopt;
}

} // namespace jujubespool

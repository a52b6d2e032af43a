// Parses a configuration text and validates the complete configuration.
#include <jujubespool/core/configuration.h>

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <set>
#include <yaml-cpp/yaml.h>

namespace jujubespool {

namespace {

constexpr std::uint32_t DEFAULT_SLOTS = 8;
constexpr std::uint32_t MAX_SLOTS = 1024;
constexpr std::uint32_t DEFAULT_CONNECTIONS = 64;
// Upper limit of shares, limits and numbers of connections.
constexpr std::uint32_t MAX_COUNT = 1000000;
constexpr std::uint32_t MAX_PERCENT = 100;
constexpr std::uint32_t MAX_RUN_MS = 3600000;
constexpr std::uint32_t DEFAULT_RETENTION_MS = 3600000;
constexpr std::uint32_t MIN_RETENTION_MS = 1000;
constexpr std::uint32_t MAX_RETENTION_MS = 30U * 24 * 3600 * 1000;
constexpr std::size_t SHA256_HEX_SIZE = 64;

// Reads values from YAML nodes. Each violated rule adds a problem, and reading continues with a valid value.
class yaml_reader
{
public:
    explicit yaml_reader(std::vector<config_problem> &problems)
        : m_problems(problems)
    {
    }

    void addProblem(const YAML::Node &node, std::string message)
    {
        const YAML::Mark mark = node.Mark();
        m_problems.push_back({ mark.is_null() ? 0 : mark.line + 1, std::move(message) });
    }

    // Returns whether the node is a map. Reports unknown keys, because a misspelt key would otherwise be ignored silently.
    bool checkMap(const YAML::Node &node, const std::string &subject, const std::set<std::string> &keys)
    {
        if (!node.IsMap()) {
            addProblem(node, fmt::format("{} must be a map", subject));
            return false;
        }
        std::set<std::string> seen;
        for (const auto &entry : node) {
            const std::string key = entry.first.Scalar();
            if (keys.count(key) == 0) {
                addProblem(entry.first, fmt::format("{}: unknown key '{}'", subject, key));
            }
            if (!seen.insert(key).second) {
                addProblem(entry.first, fmt::format("{}: key '{}' is given twice", subject, key));
            }
        }
        return true;
    }

    std::string readName(const YAML::Node &parent, const char *key, const std::string &subject)
    {
        const YAML::Node node = parent[key];
        if (!node || !node.IsScalar() || node.Scalar().empty()) {
            addProblem(parent, fmt::format("{}: '{}' is missing", subject, key));
            return {};
        }
        const std::string &text = node.Scalar();
        const auto allowed = [](char c) {
            return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
        };
        if (!std::all_of(text.begin(), text.end(), allowed)) {
            addProblem(node, fmt::format("{}: '{}' contains a character other than A-Z a-z 0-9 - _ . :", subject, text));
        }
        return text;
    }

    std::uint32_t readNumber(const YAML::Node &parent, const char *key, const std::string &subject, std::uint32_t minimum,
                             std::uint32_t maximum, std::optional<std::uint32_t> defaultValue = std::nullopt)
    {
        const YAML::Node node = parent[key];
        if (!node) {
            if (!defaultValue) {
                addProblem(parent, fmt::format("{}: '{}' is missing", subject, key));
            }
            return defaultValue.value_or(minimum);
        }
        long long value = 0;
        if (!node.IsScalar() || !YAML::convert<long long>::decode(node, value) || value < minimum || value > maximum) {
            addProblem(node, fmt::format("{}: '{}' must be a whole number from {} to {}", subject, key, minimum, maximum));
            return minimum;
        }
        return static_cast<std::uint32_t>(value);
    }

    bool readBool(const YAML::Node &parent, const char *key, const std::string &subject, bool defaultValue)
    {
        const YAML::Node node = parent[key];
        bool value = defaultValue;
        if (node && (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))) {
            addProblem(node, fmt::format("{}: '{}' must be true or false", subject, key));
        }
        return value;
    }

    template <typename E> E readEnum(const YAML::Node &parent, const char *key, const std::string &subject, E defaultValue)
    {
        const YAML::Node node = parent[key];
        if (!node) {
            return defaultValue;
        }
        const auto value = node.IsScalar() ? valueOf<E>(node.Scalar()) : std::nullopt;
        if (!value) {
            addProblem(node, fmt::format("{}: '{}' has an unknown value", subject, key));
        }
        return value.value_or(defaultValue);
    }

    // Calls readElement for each element of the list at the key.
    void forEachInList(const YAML::Node &parent, const char *key, bool required, const std::function<void(const YAML::Node &)> &readElement)
    {
        const YAML::Node node = parent[key];
        if (!node) {
            if (required) {
                addProblem(parent, fmt::format("'{}' is missing", key));
            }
            return;
        }
        if (!node.IsSequence()) {
            addProblem(node, fmt::format("'{}' must be a list", key));
            return;
        }
        for (const YAML::Node &element : node) {
            readElement(element);
        }
    }

private:
    std::vector<config_problem> &m_problems;
};

class configuration_parser
{
public:
    configuration_parser(const YAML::Node &root, std::vector<config_problem> &problems)
        : m_root(root)
        , m_reader(problems)
    {
    }

    configuration parse()
    {
        if (!m_reader.checkMap(m_root, "configuration",
                               { "data_centers", "services", "pools", "teams", "claim_retention_ms", "key_grace_ms" })) {
            return {};
        }
        m_config.claimRetention = milliseconds(
            m_reader.readNumber(m_root, "claim_retention_ms", "configuration", MIN_RETENTION_MS, MAX_RETENTION_MS, DEFAULT_RETENTION_MS));
        m_config.keyGrace = milliseconds(m_reader.readNumber(m_root, "key_grace_ms", "configuration", 0, MAX_RETENTION_MS, 0));
        m_reader.forEachInList(m_root, "data_centers", true, [this](const YAML::Node &node) { readDataCenter(node); });
        m_reader.forEachInList(m_root, "pools", true, [this](const YAML::Node &node) { readPool(node); });
        m_reader.forEachInList(m_root, "services", true, [this](const YAML::Node &node) { readService(node); });
        m_reader.forEachInList(m_root, "teams", true, [this](const YAML::Node &node) { readTeam(node); });
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
            m_reader.addProblem(node, "a data centre must be given as a name");
            return;
        }
        checkUniqueName(node, "data centre", node.Scalar());
        m_config.dataCenters.push_back(node.Scalar());
    }

    void readPool(const YAML::Node &node)
    {
        if (!m_reader.checkMap(node, "pool", { "name", "spare", "hosts" })) {
            return;
        }
        pool_spec pool;
        pool.name = m_reader.readName(node, "name", "pool");
        pool.spare = m_reader.readBool(node, "spare", "pool " + pool.name, false);
        checkUniqueName(node, "pool", pool.name);
        m_config.pools.push_back(pool);
        m_reader.forEachInList(node, "hosts", false, [&](const YAML::Node &element) { readHost(element, pool.name); });
    }

    void readHost(const YAML::Node &node, const std::string &pool)
    {
        if (!m_reader.checkMap(node, "host", { "name", "data_center", "rack", "address", "slots", "connections" })) {
            return;
        }
        host_spec host;
        host.name = m_reader.readName(node, "name", "host");
        const std::string subject = "host " + host.name;
        host.pool = pool;
        host.dataCenter = m_reader.readName(node, "data_center", subject);
        host.rack = m_reader.readName(node, "rack", subject);
        host.address = m_reader.readName(node, "address", subject);
        host.slots = m_reader.readNumber(node, "slots", subject, 1, MAX_SLOTS, DEFAULT_SLOTS);
        host.connections
            = m_reader.readNumber(node, "connections", subject, host.slots, MAX_COUNT, std::max(DEFAULT_CONNECTIONS, host.slots));
        const auto [existing, inserted] = m_poolOfHost.emplace(host.name, pool);
        if (!inserted) {
            m_reader.addProblem(node, fmt::format("{} is in two pools, {} and {}", subject, existing->second, pool));
        }
        checkDataCenter(node, subject, host.dataCenter);
        m_config.hosts.push_back(host);
    }

    void readService(const YAML::Node &node)
    {
        if (!m_reader.checkMap(node, "service",
                               { "name", "pool", "depends_on", "class", "repeatable", "max_unavailable_percent", "queue", "max_run_ms" })) {
            return;
        }
        service_spec service;
        service.name = m_reader.readName(node, "name", "service");
        const std::string subject = "service " + service.name;
        checkUniqueName(node, "service", service.name);
        service.pool = m_reader.readName(node, "pool", subject);
        service.defaultClass = m_reader.readEnum(node, "class", subject, request_class::normal);
        service.queue = m_reader.readEnum(node, "queue", subject, queue_kind::keyed);
        service.repeatable = m_reader.readBool(node, "repeatable", subject, false);
        service.maxUnavailablePercent = m_reader.readNumber(node, "max_unavailable_percent", subject, 0, MAX_PERCENT);
        service.maxRun = milliseconds(m_reader.readNumber(node, "max_run_ms", subject, 1, MAX_RUN_MS));
        m_reader.forEachInList(node, "depends_on", false,
                               [&](const YAML::Node &element) { service.dependsOn.push_back(element.Scalar()); });
        m_serviceNodes.emplace(service.name, node);
        m_config.services.push_back(service);
    }

    void readTeam(const YAML::Node &node)
    {
        if (!m_reader.checkMap(node, "team", { "name", "share", "limit", "keys" })) {
            return;
        }
        team_spec team;
        team.name = m_reader.readName(node, "name", "team");
        const std::string subject = "team " + team.name;
        checkUniqueName(node, "team", team.name);
        team.share = m_reader.readNumber(node, "share", subject, 1, MAX_COUNT);
        team.limit = m_reader.readNumber(node, "limit", subject, 1, MAX_COUNT);
        m_reader.forEachInList(node, "keys", false, [&](const YAML::Node &element) { readKeyHash(element, subject, team); });
        m_config.teams.push_back(team);
    }

    void readKeyHash(const YAML::Node &node, const std::string &subject, team_spec &team)
    {
        const std::string hash = node.IsScalar() ? node.Scalar() : std::string();
        const bool hexadecimal = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (hash.size() != SHA256_HEX_SIZE || !hexadecimal) {
            m_reader.addProblem(node, subject + ": an API key must be given as its SHA-256 in lower-case hexadecimal");
            return;
        }
        if (!m_keyHashes.insert(hash).second) {
            m_reader.addProblem(node, subject + ": the API key is already in use");
        }
        team.keyHashes.push_back(hash);
    }

    void checkUniqueName(const YAML::Node &node, const std::string &kind, const std::string &name)
    {
        if (!m_uniqueNames.insert(kind + "/" + name).second) {
            m_reader.addProblem(node, fmt::format("{} {} is given twice", kind, name));
        }
    }

    void checkDataCenter(const YAML::Node &node, const std::string &subject, const std::string &name)
    {
        const auto &known = m_config.dataCenters;
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            m_reader.addProblem(node, fmt::format("{}: unknown data centre '{}'", subject, name));
        }
    }

    void checkReferences()
    {
        for (const service_spec &service : m_config.services) {
            const YAML::Node &node = m_serviceNodes.at(service.name);
            const pool_spec *pool = m_config.findPool(service.pool);
            if (pool == nullptr) {
                m_reader.addProblem(node, fmt::format("service {}: unknown pool '{}'", service.name, service.pool));
            } else if (pool->spare) {
                m_reader.addProblem(
                    node, fmt::format("service {}: pool '{}' is the spare pool, which cannot run services", service.name, service.pool));
            }
            for (const std::string &name : service.dependsOn) {
                if (m_config.findService(name) == nullptr) {
                    m_reader.addProblem(node, fmt::format("service {}: unknown dependency '{}'", service.name, name));
                }
            }
        }
        const auto spares = std::count_if(m_config.pools.begin(), m_config.pools.end(), [](const pool_spec &pool) { return pool.spare; });
        if (spares > 1) {
            m_reader.addProblem(m_root, "more than one pool is the spare pool");
        }
    }

    void checkCycles()
    {
        std::map<std::string, int> state;
        for (const service_spec &service : m_config.services) {
            visitDependencies(service, state);
        }
    }

    // Depth-first search for cycles. A service has state 1 while it is on the current path and 2 when it is finished.
    void visitDependencies(const service_spec &service, std::map<std::string, int> &state)
    {
        int &mark = state[service.name];
        if (mark == 1) {
            m_reader.addProblem(m_serviceNodes.at(service.name),
                                fmt::format("service {} depends on itself, directly or indirectly", service.name));
        }
        if (mark != 0) {
            return;
        }
        mark = 1;
        for (const std::string &name : service.dependsOn) {
            if (const service_spec *next = m_config.findService(name)) {
                visitDependencies(*next, state);
            }
        }
        state[service.name] = 2;
    }

    // Rejects budgets that never allow a host to leave service, because they make maintenance impossible.
    void checkBudgets()
    {
        std::map<std::string, std::size_t> hostsOfPool;
        for (const host_spec &host : m_config.hosts) {
            ++hostsOfPool[host.pool];
        }
        for (const service_spec &service : m_config.services) {
            const std::size_t hosts = hostsOfPool[service.pool];
            if (hosts * service.maxUnavailablePercent < MAX_PERCENT) {
                m_reader.addProblem(
                    m_serviceNodes.at(service.name),
                    fmt::format("service {}: with {} hosts, a max_unavailable_percent of {} never permits one host to be out of service",
                                service.name, hosts, service.maxUnavailablePercent));
            }
        }
    }

    const YAML::Node &m_root;
    yaml_reader m_reader;
    configuration m_config;
    std::set<std::string> m_uniqueNames;
    std::set<std::string> m_keyHashes;
    std::map<std::string, std::string> m_poolOfHost;
    std::map<std::string, YAML::Node> m_serviceNodes;
};

} // namespace

std::optional<configuration> parseConfiguration(const std::string &yaml, std::vector<config_problem> &problems)
{
    try {
        const YAML::Node root = YAML::Load(yaml);
        configuration_parser parser(root, problems);
        configuration parsed = parser.parse();
        if (problems.empty()) {
            return parsed;
        }
    } catch (const YAML::Exception &error) {
        problems.push_back({ error.mark.line + 1, error.msg });
    }
    return std::nullopt;
}

} // namespace jujubespool

#include <jujubespool/entry/entry_settings.h>

#include <fmt/format.h>
#include <fstream>
#include <jujubespool/platform/http_client.h>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace jujubespool {

namespace {

const std::set<std::string> KNOWN_KEYS{
    "host",
    "data_center",
    "caller_address",
    "admin_address",
    "peer_address",
    "platform_address",
    "peers",
    "max_body_bytes",
    "default_timeout_ms",
    "stop_timeout_ms",
    "log_retention_ms",
    "answer_store_bytes",
    "client_memory_bytes",
    "max_client_connections",
    "reboot_timeout_ms",
    "allow_faults",
};

constexpr long long MAX_NUMBER_VALUE = 1LL << 40;

class settings_reader
{
public:
    settings_reader(const YAML::Node &root, std::vector<config_problem> &problems)
        : m_root(root)
        , m_problems(problems)
    {
    }

    entry_settings read()
    {
        rejectUnknownKeys();
        entry_settings settings;
        settings.host = requiredText("host");
        settings.dataCenter = requiredText("data_center");
        settings.callerAddress = address("caller_address");
        settings.adminAddress = address("admin_address");
        settings.peerAddress = address("peer_address");
        settings.platformAddress = address("platform_address");
        readPeers(settings);
        settings.maxBodyBytes = static_cast<std::size_t>(number("max_body_bytes", static_cast<long long>(settings.maxBodyBytes), 1));
        settings.defaultTimeout = milliseconds(number("default_timeout_ms", settings.defaultTimeout.count(), 1));
        settings.stopTimeout = milliseconds(number("stop_timeout_ms", settings.stopTimeout.count(), 0));
        settings.logRetention = milliseconds(number("log_retention_ms", settings.logRetention.count(), 1000));
        settings.answerStoreBytes
            = static_cast<std::size_t>(number("answer_store_bytes", static_cast<long long>(settings.answerStoreBytes), 0));
        settings.clientMemoryBytes
            = static_cast<std::size_t>(number("client_memory_bytes", static_cast<long long>(settings.clientMemoryBytes), 1));
        settings.maxClientConnections
            = static_cast<std::size_t>(number("max_client_connections", static_cast<long long>(settings.maxClientConnections), 0));
        settings.rebootTimeout = milliseconds(number("reboot_timeout_ms", settings.rebootTimeout.count(), 1));
        settings.allowFaults = boolean("allow_faults");
        return settings;
    }

private:
    void addProblem(const YAML::Node &node, std::string message)
    {
        m_problems.push_back({ node.Mark().is_null() ? 0 : node.Mark().line + 1, std::move(message) });
    }

    void rejectUnknownKeys()
    {
        for (const auto &entry : m_root) {
            if (KNOWN_KEYS.count(entry.first.Scalar()) == 0) {
                addProblem(entry.first, fmt::format("unknown setting '{}'", entry.first.Scalar()));
            }
        }
    }

    std::string requiredText(const char *key)
    {
        const YAML::Node node = m_root[key];
        if (!node || !node.IsScalar() || node.Scalar().empty()) {
            addProblem(node ? node : m_root, fmt::format("setting '{}' is missing", key));
            return {};
        }
        return node.Scalar();
    }

    std::string address(const char *key)
    {
        std::string value = requiredText(key);
        if (!value.empty() && !parseAddress(value)) {
            addProblem(m_root[key], fmt::format("setting '{}' must be an address as ip:port", key));
        }
        return value;
    }

    long long number(const char *key, long long defaultValue, long long minimum)
    {
        const YAML::Node node = m_root[key];
        long long value = defaultValue;
        if (node && (!node.IsScalar() || !YAML::convert<long long>::decode(node, value) || value < minimum || value > MAX_NUMBER_VALUE)) {
            addProblem(node, fmt::format("setting '{}' must be a whole number of at least {}", key, minimum));
        }
        return value;
    }

    bool boolean(const char *key)
    {
        const YAML::Node node = m_root[key];
        bool value = false;
        if (node && (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))) {
            addProblem(node, fmt::format("setting '{}' must be true or false", key));
        }
        return value;
    }

    void readPeers(entry_settings &settings)
    {
        const YAML::Node node = m_root["peers"];
        if (!node) {
            return;
        }
        if (!node.IsSequence()) {
            addProblem(node, "setting 'peers' must be a list of addresses");
            return;
        }
        for (const YAML::Node &peer : node) {
            if (!peer.IsScalar() || !parseAddress(peer.Scalar())) {
                addProblem(peer, "a peer must be an address as ip:port");
                continue;
            }
            settings.peers.push_back(peer.Scalar());
        }
    }

    const YAML::Node &m_root;
    std::vector<config_problem> &m_problems;
};

} // namespace

std::optional<entry_settings> parseSettings(const std::string &yaml, std::vector<config_problem> &problems)
{
    try {
        const YAML::Node root = YAML::Load(yaml);
        if (!root.IsMap()) {
            problems.push_back({ 1, "the settings must be a map" });
            return std::nullopt;
        }
        entry_settings settings = settings_reader(root, problems).read();
        if (problems.empty()) {
            return settings;
        }
    } catch (const YAML::Exception &error) {
        problems.push_back({ error.mark.line + 1, error.msg });
    }
    return std::nullopt;
}

std::optional<entry_settings> readSettings(const std::string &path, std::vector<config_problem> &problems)
{
    const std::ifstream file(path);
    if (!file) {
        problems.push_back({ 0, "the file cannot be read" });
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), problems);
}

} // namespace jujubespool

// Stand-in for the platform: the log, the list of hosts, and the control of hosts and worker tasks, with fault injection.
//
// docs/PLATFORM.md describes the protocol and the faults that POST /faults sets.
#include "http_server.h"

#include <deque>
#include <docopt/docopt.h>
#include <map>
#include <set>

namespace {

using json = nlohmann::json;

const char USAGE[] = R"(standin_platform - stand-in for the platform, for demo and tests.

Usage:
  standin_platform [--port=PORT] [--reboot-ms=MS]
  standin_platform (-h | --help)

Options:
  --port=PORT      Port to listen on; 0 lets the kernel choose [default: 0].
  --reboot-ms=MS   Duration of a reboot, in milliseconds [default: 300].
)";

struct fault_switches
{
    bool outage = false;
    std::uint64_t extraDelayMs = 0;
    // Number of further appends that take effect but get no response.
    std::uint64_t appendResponsesToLose = 0;
    // Hosts that cannot reach the platform.
    std::set<std::string> partitionedHosts;
    // Time until a change of a host's state is visible in the list of hosts.
    std::uint64_t hostListLagMs = 0;
};

struct host_record
{
    std::string state = "up";
    std::string version;
    // Idempotency tokens of the reboots that were started.
    std::set<std::string> handledTokens;
    std::uint64_t reboots = 0;
    bool rebootFails = false;
};

struct leased_task
{
    std::string worker;
    std::string state = "running";
    // Incremented with each lease, so that an expired older lease does not end the task.
    std::uint64_t leaseEpoch = 0;
};

class platform_server
{
public:
    platform_server(event_base *base, std::uint64_t rebootMs)
        : m_server(base, [this](const standin::http_request &request) { onRequest(request); })
        , m_rebootMs(rebootMs)
    {
    }

    std::string bind(std::uint16_t port)
    {
        return m_server.bind("127.0.0.1", port);
    }

private:
    struct pending_read
    {
        evhttp_request *raw = nullptr;
        std::uint64_t from = 0;
        std::uint64_t max = 0;
    };

    void onRequest(const standin::http_request &request)
    {
        if (request.path == "/faults") {
            setFaults(request);
            return;
        }
        const bool unavailable = m_faults.outage || m_faults.partitionedHosts.count(request.header("Jujubespool-Host")) > 0;
        if (unavailable) {
            standin::sendReply(request.raw, 503, json{ { "error", "away" } });
            return;
        }
        if (m_faults.extraDelayMs > 0) {
            m_server.runAfter(m_faults.extraDelayMs, [this, request] { routeRequest(request); });
            return;
        }
        routeRequest(request);
    }

    void routeRequest(const standin::http_request &request)
    {
        if (request.path == "/v1/log" && request.isPost) {
            appendRecords(request);
        } else if (request.path == "/v1/log") {
            readRecords(request);
        } else if (request.path == "/v1/hosts") {
            listHosts(request);
        } else if (request.path.rfind("/v1/machines/", 0) == 0) {
            handleHost(request);
        } else if (request.path.rfind("/v1/workers/", 0) == 0) {
            handleTask(request);
        } else if (request.path == "/v1/usage") {
            listUsage(request);
        } else {
            standin::sendReply(request.raw, 404, json{ { "error", "unknown path" } });
        }
    }

    void appendRecords(const standin::http_request &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("records")) {
            standin::sendReply(request.raw, 400, json{ { "error", "records are missing" } });
            return;
        }
        const std::uint64_t first = nextOffset();
        for (const json &record : body["records"]) {
            m_records.push_back(record.get<std::string>());
        }
        ++m_appendCount;
        completePendingReads();
        if (m_faults.appendResponsesToLose > 0) {
            --m_faults.appendResponsesToLose;
            standin::closeWithoutReply(request.raw);
            return;
        }
        standin::sendReply(request.raw, 200, json{ { "first", first }, { "next", nextOffset() } });
    }

    std::uint64_t nextOffset() const
    {
        return m_oldestOffset + m_records.size();
    }

    void readRecords(const standin::http_request &request)
    {
        const pending_read read{ request.raw, request.queryNumber("from", 0), request.queryNumber("max", 1000) };
        if (read.from < nextOffset()) {
            replyToRead(read);
            return;
        }
        const std::uint64_t readId = ++m_lastReadId;
        m_pendingReads[readId] = read;
        // onConnectionClosed() removes the read, because a closed connection must not get a response.
        m_server.runAfter(request.queryNumber("wait_ms", 0), [this, readId] {
            const auto found = m_pendingReads.find(readId);
            if (found != m_pendingReads.end()) {
                const pending_read timedOutRead = found->second;
                m_pendingReads.erase(found);
                replyToRead(timedOutRead);
            }
        });
        evhttp_connection_set_closecb(evhttp_request_get_connection(request.raw), onConnectionClosed, this);
    }

    static void onConnectionClosed(evhttp_connection *connection, void *self)
    {
        std::erase_if(static_cast<platform_server *>(self)->m_pendingReads,
                      [connection](const auto &entry) { return evhttp_request_get_connection(entry.second.raw) == connection; });
    }

    void replyToRead(const pending_read &read)
    {
        json records = json::array();
        const std::uint64_t from = std::max(read.from, m_oldestOffset);
        for (std::uint64_t offset = from; offset < nextOffset() && records.size() < read.max; ++offset) {
            records.push_back({ { "offset", offset }, { "data", m_records[offset - m_oldestOffset] } });
        }
        standin::sendReply(read.raw, 200, json{ { "oldest", m_oldestOffset }, { "next", nextOffset() }, { "records", records } });
    }

    void completePendingReads()
    {
        const auto reads = std::move(m_pendingReads);
        m_pendingReads.clear();
        for (const auto &[readId, read] : reads) {
            replyToRead(read);
        }
    }

    void listHosts(const standin::http_request &request)
    {
        json hosts = json::array();
        for (const auto &[name, state] : m_listedStates) {
            hosts.push_back({ { "name", name }, { "state", state } });
        }
        standin::sendReply(request.raw, 200, json{ { "hosts", hosts } });
    }

    void handleHost(const standin::http_request &request)
    {
        const std::string subpath = request.path.substr(std::string("/v1/machines/").size());
        const std::string name = subpath.substr(0, subpath.find('/'));
        host_record &host = m_hosts[name];
        if (!request.isPost) {
            standin::sendReply(request.raw, 200, json{ { "state", host.state }, { "version", host.version }, { "reboots", host.reboots } });
            return;
        }
        const json body = json::parse(request.body, nullptr, false);
        const std::string token = body.value("token", "");
        if (host.handledTokens.insert(token).second) {
            ++host.reboots;
            host.state = "rebooting";
            const std::string version = body.value("version", "");
            m_server.runAfter(m_rebootMs, [this, name, version] {
                host_record &rebootedHost = m_hosts[name];
                rebootedHost.state = rebootedHost.rebootFails ? "failed" : "up";
                rebootedHost.version = version.empty() ? rebootedHost.version : version;
            });
        }
        standin::sendReply(request.raw, 200, json{ { "accepted", true } });
    }

    void handleTask(const standin::http_request &request)
    {
        const std::string subpath = request.path.substr(std::string("/v1/workers/").size());
        const std::string worker = subpath.substr(0, subpath.find('/'));
        const std::size_t slash = subpath.find('/', worker.size() + 1);
        const json body = json::parse(request.body, nullptr, false);
        if (slash == std::string::npos) {
            const std::string name = body.value("task", "");
            leased_task &task = m_tasks[worker + "/" + name];
            task.worker = worker;
            task.state = "running";
            const std::uint64_t epoch = ++task.leaseEpoch;
            m_server.runAfter(body.value("lease_ms", std::uint64_t{ 0 }), [this, key = worker + "/" + name, epoch] {
                const auto found = m_tasks.find(key);
                if (found != m_tasks.end() && found->second.leaseEpoch == epoch) {
                    m_tasks.erase(found);
                }
            });
            standin::sendReply(request.raw, 200, json{ { "accepted", true } });
            return;
        }
        const auto found = m_tasks.find(worker + "/" + subpath.substr(slash + 1));
        if (found == m_tasks.end()) {
            standin::sendReply(request.raw, 404, json{ { "error", "no such task" } });
            return;
        }
        found->second.state = body.value("action", "");
        if (found->second.state == "stop") {
            m_tasks.erase(found);
        }
        standin::sendReply(request.raw, 200, json{ { "accepted", true } });
    }

    void listUsage(const standin::http_request &request)
    {
        json list = json::array();
        for (const auto &[key, task] : m_tasks) {
            const std::string name = key.substr(task.worker.size() + 1);
            list.push_back({ { "worker", task.worker }, { "task", name }, { "cores", 1.0 }, { "memory_gb", 1.0 } });
        }
        standin::sendReply(request.raw, 200, json{ { "usage", list } });
    }

    void setFaults(const standin::http_request &request)
    {
        const json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            standin::sendReply(request.raw, 400, json{ { "error", "the body is not a JSON object" } });
            return;
        }
        m_faults.outage = body.value("outage", m_faults.outage);
        m_faults.extraDelayMs = body.value("slow_ms", m_faults.extraDelayMs);
        m_faults.appendResponsesToLose = body.value("lose_answers", m_faults.appendResponsesToLose);
        m_faults.hostListLagMs = body.value("list_lag_ms", m_faults.hostListLagMs);
        if (body.contains("partition")) {
            m_faults.partitionedHosts = body["partition"].get<std::set<std::string>>();
        }
        const json failingHosts = body.value("fail_reboot", json::array());
        for (const json &name : failingHosts) {
            m_hosts[name.get<std::string>()].rebootFails = true;
        }
        const json listedStates = body.value("list", json::object());
        for (const auto &[name, state] : listedStates.items()) {
            m_server.runAfter(m_faults.hostListLagMs,
                              [this, name = name, state = state.get<std::string>()] { m_listedStates[name] = state; });
        }
        if (body.contains("append_raw")) {
            m_records.push_back(body["append_raw"].get<std::string>());
            completePendingReads();
        }
        truncateLogBefore(body.value("cut_before", std::uint64_t{ 0 }));
        standin::sendReply(request.raw, 200, json{ { "oldest", m_oldestOffset }, { "next", nextOffset() }, { "appends", m_appendCount } });
    }

    void truncateLogBefore(std::uint64_t offset)
    {
        while (m_oldestOffset < offset && !m_records.empty()) {
            m_records.pop_front();
            ++m_oldestOffset;
        }
    }

    standin::http_server m_server;
    std::uint64_t m_rebootMs;
    fault_switches m_faults;
    std::deque<std::string> m_records;
    std::uint64_t m_oldestOffset = 0;
    std::uint64_t m_appendCount = 0;
    std::uint64_t m_lastReadId = 0;
    std::map<std::uint64_t, pending_read> m_pendingReads;
    std::map<std::string, std::string> m_listedStates;
    std::map<std::string, host_record> m_hosts;
    std::map<std::string, leased_task> m_tasks;
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    platform_server server(base, static_cast<std::uint64_t>(arguments["--reboot-ms"].asLong()));
    const std::string address = server.bind(static_cast<std::uint16_t>(arguments["--port"].asLong()));
    fmt::print("listening {}\n", address);
    std::fflush(stdout);
    standin::runUntilSignal(base);
    return 0;
}

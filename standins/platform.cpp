// Stand-in for the platform: the log, the list of hosts and the control of machines, with faults.
//
// docs/PLATFORM.md describes the protocol and the fault switches of POST /faults.
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
  --reboot-ms=MS   Time that a reboot takes [default: 300].
)";

struct fault_switches
{
    bool outage = false;
    std::uint64_t slowMs = 0;
    // Number of appends whose answer is dropped after they have taken effect.
    std::uint64_t loseAnswers = 0;
    std::set<std::string> partitioned;
    std::uint64_t listLagMs = 0;
};

struct machine
{
    std::string state = "up";
    std::string version;
    std::set<std::string> tokens;
    std::uint64_t reboots = 0;
    bool failsReboot = false;
};

struct task
{
    std::string worker;
    std::string state = "running";
    std::uint64_t leaseEpoch = 0;
};

class platform
{
public:
    platform(event_base *base, std::uint64_t rebootMs)
        : m_server(base, [this](const standin::request &item) { onRequest(item); })
        , m_rebootMs(rebootMs)
    {
    }

    std::string bind(std::uint16_t port)
    {
        return m_server.bind("127.0.0.1", port);
    }

private:
    struct waiting_read
    {
        evhttp_request *raw = nullptr;
        std::uint64_t from = 0;
        std::uint64_t max = 0;
    };

    void onRequest(const standin::request &item)
    {
        if (item.path == "/faults") {
            setFaults(item);
            return;
        }
        const bool cut = m_faults.outage || m_faults.partitioned.count(item.header("Jujubespool-Host")) > 0;
        if (cut) {
            standin::reply(item.raw, 503, json{ { "error", "away" } });
            return;
        }
        if (m_faults.slowMs > 0) {
            m_server.after(m_faults.slowMs, [this, item] { route(item); });
            return;
        }
        route(item);
    }

    void route(const standin::request &item)
    {
        if (item.path == "/v1/log" && item.post) {
            append(item);
        } else if (item.path == "/v1/log") {
            read(item);
        } else if (item.path == "/v1/hosts") {
            listHosts(item);
        } else if (item.path.rfind("/v1/machines/", 0) == 0) {
            machines(item);
        } else if (item.path.rfind("/v1/workers/", 0) == 0) {
            tasks(item);
        } else if (item.path == "/v1/usage") {
            usage(item);
        } else {
            standin::reply(item.raw, 404, json{ { "error", "unknown path" } });
        }
    }

    void append(const standin::request &item)
    {
        const json body = json::parse(item.body, nullptr, false);
        if (!body.is_object() || !body.contains("records")) {
            standin::reply(item.raw, 400, json{ { "error", "records are missing" } });
            return;
        }
        const std::uint64_t first = next();
        for (const json &record : body["records"]) {
            m_records.push_back(record.get<std::string>());
        }
        ++m_appends;
        wakeReaders();
        if (m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            standin::drop(item.raw);
            return;
        }
        standin::reply(item.raw, 200, json{ { "first", first }, { "next", next() } });
    }

    std::uint64_t next() const
    {
        return m_oldest + m_records.size();
    }

    void read(const standin::request &item)
    {
        const waiting_read wanted{ item.raw, item.number("from", 0), item.number("max", 1000) };
        if (wanted.from < next()) {
            answerRead(wanted);
            return;
        }
        const std::uint64_t token = ++m_lastRead;
        m_waiting[token] = wanted;
        // A reader that has gone away must not be answered.
        m_server.after(item.number("wait_ms", 0), [this, token] {
            const auto found = m_waiting.find(token);
            if (found != m_waiting.end()) {
                const waiting_read waiting = found->second;
                m_waiting.erase(found);
                answerRead(waiting);
            }
        });
        evhttp_connection_set_closecb(evhttp_request_get_connection(item.raw), onClosed, this);
    }

    static void onClosed(evhttp_connection *connection, void *self)
    {
        std::erase_if(static_cast<platform *>(self)->m_waiting,
                      [connection](const auto &entry) { return evhttp_request_get_connection(entry.second.raw) == connection; });
    }

    void answerRead(const waiting_read &wanted)
    {
        json records = json::array();
        const std::uint64_t from = std::max(wanted.from, m_oldest);
        for (std::uint64_t offset = from; offset < next() && records.size() < wanted.max; ++offset) {
            records.push_back({ { "offset", offset }, { "data", m_records[offset - m_oldest] } });
        }
        standin::reply(wanted.raw, 200, json{ { "oldest", m_oldest }, { "next", next() }, { "records", records } });
    }

    void wakeReaders()
    {
        const auto waiting = std::move(m_waiting);
        m_waiting.clear();
        for (const auto &[token, wanted] : waiting) {
            answerRead(wanted);
        }
    }

    void listHosts(const standin::request &item)
    {
        json hosts = json::array();
        for (const auto &[name, state] : m_listed) {
            hosts.push_back({ { "name", name }, { "state", state } });
        }
        standin::reply(item.raw, 200, json{ { "hosts", hosts } });
    }

    void machines(const standin::request &item)
    {
        const std::string rest = item.path.substr(std::string("/v1/machines/").size());
        const std::string name = rest.substr(0, rest.find('/'));
        machine &target = m_machines[name];
        if (!item.post) {
            standin::reply(item.raw, 200, json{ { "state", target.state }, { "version", target.version }, { "reboots", target.reboots } });
            return;
        }
        const json body = json::parse(item.body, nullptr, false);
        const std::string token = body.value("token", "");
        if (target.tokens.insert(token).second) {
            ++target.reboots;
            target.state = "rebooting";
            const std::string version = body.value("version", "");
            m_server.after(m_rebootMs, [this, name, version] {
                machine &rebooted = m_machines[name];
                rebooted.state = rebooted.failsReboot ? "failed" : "up";
                rebooted.version = version.empty() ? rebooted.version : version;
            });
        }
        standin::reply(item.raw, 200, json{ { "accepted", true } });
    }

    void tasks(const standin::request &item)
    {
        const std::string rest = item.path.substr(std::string("/v1/workers/").size());
        const std::string worker = rest.substr(0, rest.find('/'));
        const std::size_t slash = rest.find('/', worker.size() + 1);
        const json body = json::parse(item.body, nullptr, false);
        if (slash == std::string::npos) {
            const std::string name = body.value("task", "");
            task &leased = m_tasks[worker + "/" + name];
            leased.worker = worker;
            leased.state = "running";
            const std::uint64_t epoch = ++leased.leaseEpoch;
            m_server.after(body.value("lease_ms", std::uint64_t{ 0 }), [this, key = worker + "/" + name, epoch] {
                const auto found = m_tasks.find(key);
                if (found != m_tasks.end() && found->second.leaseEpoch == epoch) {
                    m_tasks.erase(found);
                }
            });
            standin::reply(item.raw, 200, json{ { "accepted", true } });
            return;
        }
        const auto found = m_tasks.find(worker + "/" + rest.substr(slash + 1));
        if (found == m_tasks.end()) {
            standin::reply(item.raw, 404, json{ { "error", "no such task" } });
            return;
        }
        found->second.state = body.value("action", "");
        if (found->second.state == "stop") {
            m_tasks.erase(found);
        }
        standin::reply(item.raw, 200, json{ { "accepted", true } });
    }

    void usage(const standin::request &item)
    {
        json list = json::array();
        for (const auto &[key, leased] : m_tasks) {
            const std::string name = key.substr(leased.worker.size() + 1);
            list.push_back({ { "worker", leased.worker }, { "task", name }, { "cores", 1.0 }, { "memory_gb", 1.0 } });
        }
        standin::reply(item.raw, 200, json{ { "usage", list } });
    }

    void setFaults(const standin::request &item)
    {
        const json body = item.body.empty() ? json::object() : json::parse(item.body, nullptr, false);
        if (!body.is_object()) {
            standin::reply(item.raw, 400, json{ { "error", "the body is not a JSON object" } });
            return;
        }
        m_faults.outage = body.value("outage", m_faults.outage);
        m_faults.slowMs = body.value("slow_ms", m_faults.slowMs);
        m_faults.loseAnswers = body.value("lose_answers", m_faults.loseAnswers);
        m_faults.listLagMs = body.value("list_lag_ms", m_faults.listLagMs);
        if (body.contains("partition")) {
            m_faults.partitioned = body["partition"].get<std::set<std::string>>();
        }
        const json failing = body.value("fail_reboot", json::array());
        for (const json &name : failing) {
            m_machines[name.get<std::string>()].failsReboot = true;
        }
        const json listed = body.value("list", json::object());
        for (const auto &[name, state] : listed.items()) {
            m_server.after(m_faults.listLagMs, [this, name = name, state = state.get<std::string>()] { m_listed[name] = state; });
        }
        if (body.contains("append_raw")) {
            m_records.push_back(body["append_raw"].get<std::string>());
            wakeReaders();
        }
        cutRecords(body.value("cut_before", std::uint64_t{ 0 }));
        standin::reply(item.raw, 200, json{ { "oldest", m_oldest }, { "next", next() }, { "appends", m_appends } });
    }

    void cutRecords(std::uint64_t before)
    {
        while (m_oldest < before && !m_records.empty()) {
            m_records.pop_front();
            ++m_oldest;
        }
    }

    standin::http_server m_server;
    std::uint64_t m_rebootMs;
    fault_switches m_faults;
    std::deque<std::string> m_records;
    std::uint64_t m_oldest = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_lastRead = 0;
    std::map<std::uint64_t, waiting_read> m_waiting;
    std::map<std::string, std::string> m_listed;
    std::map<std::string, machine> m_machines;
    std::map<std::string, task> m_tasks;
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    platform server(base, static_cast<std::uint64_t>(arguments["--reboot-ms"].asLong()));
    const std::string address = server.bind(static_cast<std::uint16_t>(arguments["--port"].asLong()));
    fmt::print("listening {}\n", address);
    std::fflush(stdout);
    standin::serve(base);
    return 0;
}

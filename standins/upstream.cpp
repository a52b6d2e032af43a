// Stand-in for a group of upstreams: each worker is one port of this process.
//
// It counts what really ran: every request id, every tag of the body, and the most that ran at once for each
// team and worker. POST /faults sets the faults of one worker; GET /counts tells what ran.
#include "http_server.h"

#include <docopt/docopt.h>
#include <map>
#include <set>
#include <vector>

namespace {

using json = nlohmann::json;

const char USAGE[] = R"(standin_upstream - stand-in for upstream workers, for demo and tests.

Usage:
  standin_upstream [--workers=N] [--port=PORT] [--run-us=US]
  standin_upstream (-h | --help)

Options:
  --workers=N    Number of workers, each on a port of its own [default: 1].
  --port=PORT    First port; 0 lets the kernel choose each [default: 0].
  --run-us=US    Time that a request runs unless its header Run-Us says otherwise [default: 0].
)";

struct fault_switches
{
    bool silent = false;
    bool truncate = false;
    bool fail = false;
    std::uint64_t slowMs = 0;
};

struct gauge_of_running
{
    std::uint64_t now = 0;
    std::uint64_t most = 0;

    void begin()
    {
        most = std::max(most, ++now);
    }
};

class upstream_group
{
public:
    upstream_group(event_base *base, std::uint64_t runUs)
        : m_base(base)
        , m_control(base, [this](const standin::request &item) { onControl(item); })
        , m_runUs(runUs)
    {
    }

    std::string addWorker(std::uint16_t port)
    {
        const std::size_t index = m_workers.size();
        auto worker = std::make_unique<worker_record>();
        worker->server
            = std::make_unique<standin::http_server>(m_base, [this, index](const standin::request &item) { onRequest(index, item); });
        const std::string address = worker->server->bind("127.0.0.1", port);
        m_workers.push_back(std::move(worker));
        return address;
    }

    std::string bindControl()
    {
        return m_control.bind("127.0.0.1", 0);
    }

private:
    struct worker_record
    {
        std::unique_ptr<standin::http_server> server;
        fault_switches faults;
        gauge_of_running running;
        std::uint64_t started = 0;
    };

    void onRequest(std::size_t index, const standin::request &item)
    {
        worker_record &worker = *m_workers[index];
        const std::string team = item.header("Jujubespool-Team");
        const std::string tag = item.header("Work-Tag");
        ++worker.started;
        ++m_started;
        worker.running.begin();
        m_teams[team].begin();
        if (!tag.empty() && ++m_tags[tag] > 1) {
            ++m_duplicated;
        }
        const std::string asked = item.header("Run-Us");
        const std::uint64_t runUs = asked.empty() ? m_runUs : std::strtoull(asked.c_str(), nullptr, 10);
        const std::uint64_t delayMs = worker.faults.slowMs + runUs / 1000;
        if (delayMs == 0) {
            finish(index, team, item);
            return;
        }
        const std::uint64_t token = ++m_lastToken;
        m_open[token] = item;
        evhttp_connection_set_closecb(evhttp_request_get_connection(item.raw), onClosed, this);
        worker.server->after(delayMs, [this, index, team, token] {
            const auto found = m_open.find(token);
            if (found == m_open.end()) {
                endRun(index, team);
                return;
            }
            const standin::request open = found->second;
            m_open.erase(found);
            finish(index, team, open);
        });
    }

    // The work goes on when its caller has closed the connection; only its answer has nowhere to go.
    static void onClosed(evhttp_connection *connection, void *self)
    {
        std::erase_if(static_cast<upstream_group *>(self)->m_open,
                      [connection](const auto &entry) { return evhttp_request_get_connection(entry.second.raw) == connection; });
    }

    void endRun(std::size_t index, const std::string &team)
    {
        --m_workers[index]->running.now;
        --m_teams[team].now;
    }

    void finish(std::size_t index, const std::string &team, const standin::request &item)
    {
        const fault_switches &faults = m_workers[index]->faults;
        endRun(index, team);
        if (faults.silent) {
            return;
        }
        if (faults.fail) {
            standin::reply(item.raw, 500, json{ { "error", "this worker fails everything" } });
            return;
        }
        if (faults.truncate) {
            evhttp_add_header(evhttp_request_get_output_headers(item.raw), "Content-Length", "1000");
            evhttp_add_header(evhttp_request_get_output_headers(item.raw), "Connection", "close");
            standin::reply(item.raw, 200, std::string("cut"));
            return;
        }
        const std::string tag = item.header("Work-Tag");
        evhttp_add_header(evhttp_request_get_output_headers(item.raw), "Work-Tag", tag.c_str());
        standin::reply(item.raw, 200, fmt::format("{{\"worker\":{},\"echo\":\"{}\",\"bytes\":{}}}", index, tag, item.body.size()));
    }

    void onControl(const standin::request &item)
    {
        if (item.path == "/faults" && item.post) {
            setFaults(item);
        } else if (item.path == "/counts") {
            showCounts(item);
        } else {
            standin::reply(item.raw, 404, json{ { "error", "unknown path" } });
        }
    }

    void setFaults(const standin::request &item)
    {
        const json body = json::parse(item.body, nullptr, false);
        if (!body.is_object()) {
            standin::reply(item.raw, 400, json{ { "error", "the body is not a JSON object" } });
            return;
        }
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            if (body.value("worker", index) == index) {
                fault_switches &faults = m_workers[index]->faults;
                faults.silent = body.value("silent", faults.silent);
                faults.truncate = body.value("truncate", faults.truncate);
                faults.fail = body.value("fail", faults.fail);
                faults.slowMs = body.value("slow_ms", faults.slowMs);
            }
        }
        standin::reply(item.raw, 200, json::object());
    }

    void showCounts(const standin::request &item)
    {
        json teams = json::object();
        for (const auto &[team, running] : m_teams) {
            teams[team] = running.most;
        }
        json workers = json::array();
        std::uint64_t most = 0;
        for (const auto &worker : m_workers) {
            workers.push_back(worker->started);
            most = std::max(most, worker->running.most);
        }
        json body{ { "started", m_started },
                   { "duplicated", m_duplicated },
                   { "most_per_team", teams },
                   { "most_per_worker", most },
                   { "per_worker", workers } };
        if (item.number("tags", 0) == 1) {
            body["tags"] = m_tags;
        }
        standin::reply(item.raw, 200, body);
    }

    event_base *m_base;
    standin::http_server m_control;
    std::uint64_t m_runUs;
    std::vector<std::unique_ptr<worker_record>> m_workers;
    std::map<std::string, std::uint64_t> m_tags;
    std::map<std::string, gauge_of_running> m_teams;
    std::map<std::uint64_t, standin::request> m_open;
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_duplicated = 0;
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    upstream_group group(base, static_cast<std::uint64_t>(arguments["--run-us"].asLong()));
    const long port = arguments["--port"].asLong();
    for (long i = 0; i < arguments["--workers"].asLong(); ++i) {
        fmt::print("worker {}\n", group.addWorker(static_cast<std::uint16_t>(port == 0 ? 0 : port + i)));
    }
    fmt::print("listening {}\n", group.bindControl());
    std::fflush(stdout);
    standin::serve(base);
    return 0;
}

// Stand-in for a group of upstream workers: each worker listens on its own port of this process.
//
// It counts the requests that were run: the number per worker, the number per Work-Tag header, and the peak concurrency
// per team and worker. POST /faults sets the faults of one worker, or of all; GET /counts returns the counts.
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
  --workers=N    Number of workers; each listens on its own port [default: 1].
  --port=PORT    Port of the first worker; 0 lets the kernel choose all ports [default: 0].
  --run-us=US    Run time of requests without a Run-Us header, in microseconds [default: 0].
)";

struct fault_switches
{
    // Requests run, but get no response.
    bool noResponse = false;
    // The response body is shorter than its Content-Length.
    bool truncateResponse = false;
    bool failRequests = false;
    std::uint64_t extraDelayMs = 0;
};

// Counts the requests that are running, and the peak of that number.
struct concurrency_counter
{
    std::uint64_t current = 0;
    std::uint64_t peak = 0;

    void increment()
    {
        peak = std::max(peak, ++current);
    }
};

class upstream_group
{
public:
    upstream_group(event_base *base, std::uint64_t runTimeUs)
        : m_base(base)
        , m_controlServer(base, [this](const standin::http_request &request) { onControlRequest(request); })
        , m_defaultRunTimeUs(runTimeUs)
    {
    }

    std::string addWorker(std::uint16_t port)
    {
        const std::size_t index = m_workers.size();
        auto worker = std::make_unique<upstream_worker>();
        worker->server = std::make_unique<standin::http_server>(
            m_base, [this, index](const standin::http_request &request) { onRequest(index, request); });
        const std::string address = worker->server->bind("127.0.0.1", port);
        m_workers.push_back(std::move(worker));
        return address;
    }

    std::string bindControl()
    {
        return m_controlServer.bind("127.0.0.1", 0);
    }

private:
    struct upstream_worker
    {
        std::unique_ptr<standin::http_server> server;
        fault_switches faults;
        concurrency_counter concurrency;
        std::uint64_t startedCount = 0;
    };

    void onRequest(std::size_t index, const standin::http_request &request)
    {
        upstream_worker &worker = *m_workers[index];
        const std::string team = request.header("Jujubespool-Team");
        const std::string tag = request.header("Work-Tag");
        ++worker.startedCount;
        ++m_startedCount;
        worker.concurrency.increment();
        m_teamConcurrency[team].increment();
        if (!tag.empty() && ++m_runsPerTag[tag] > 1) {
            ++m_duplicateCount;
        }
        const std::string runTimeHeader = request.header("Run-Us");
        const std::uint64_t runTimeUs = runTimeHeader.empty() ? m_defaultRunTimeUs : std::strtoull(runTimeHeader.c_str(), nullptr, 10);
        const std::uint64_t delayMs = worker.faults.extraDelayMs + runTimeUs / 1000;
        if (delayMs == 0) {
            finishRequest(index, team, request);
            return;
        }
        const std::uint64_t requestId = ++m_lastRequestId;
        m_openRequests[requestId] = request;
        evhttp_connection_set_closecb(evhttp_request_get_connection(request.raw), onConnectionClosed, this);
        worker.server->runAfter(delayMs, [this, index, team, requestId] {
            const auto found = m_openRequests.find(requestId);
            if (found == m_openRequests.end()) {
                decrementRunning(index, team);
                return;
            }
            const standin::http_request openRequest = found->second;
            m_openRequests.erase(found);
            finishRequest(index, team, openRequest);
        });
    }

    // A request continues to run when its client closes the connection; only its response is discarded.
    static void onConnectionClosed(evhttp_connection *connection, void *self)
    {
        std::erase_if(static_cast<upstream_group *>(self)->m_openRequests,
                      [connection](const auto &entry) { return evhttp_request_get_connection(entry.second.raw) == connection; });
    }

    void decrementRunning(std::size_t index, const std::string &team)
    {
        --m_workers[index]->concurrency.current;
        --m_teamConcurrency[team].current;
    }

    void finishRequest(std::size_t index, const std::string &team, const standin::http_request &request)
    {
        const fault_switches &faults = m_workers[index]->faults;
        decrementRunning(index, team);
        if (faults.noResponse) {
            return;
        }
        if (faults.failRequests) {
            standin::sendReply(request.raw, 500, json{ { "error", "this worker fails everything" } });
            return;
        }
        if (faults.truncateResponse) {
            evhttp_add_header(evhttp_request_get_output_headers(request.raw), "Content-Length", "1000");
            evhttp_add_header(evhttp_request_get_output_headers(request.raw), "Connection", "close");
            standin::sendReply(request.raw, 200, std::string("cut"));
            return;
        }
        const std::string tag = request.header("Work-Tag");
        evhttp_add_header(evhttp_request_get_output_headers(request.raw), "Work-Tag", tag.c_str());
        standin::sendReply(request.raw, 200,
                           fmt::format("{{\"worker\":{},\"echo\":\"{}\",\"bytes\":{}}}", index, tag, request.body.size()));
    }

    void onControlRequest(const standin::http_request &request)
    {
        if (request.path == "/faults" && request.isPost) {
            setFaults(request);
        } else if (request.path == "/counts") {
            showCounts(request);
        } else {
            standin::sendReply(request.raw, 404, json{ { "error", "unknown path" } });
        }
    }

    void setFaults(const standin::http_request &request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            standin::sendReply(request.raw, 400, json{ { "error", "the body is not a JSON object" } });
            return;
        }
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            if (body.value("worker", index) == index) {
                fault_switches &faults = m_workers[index]->faults;
                faults.noResponse = body.value("silent", faults.noResponse);
                faults.truncateResponse = body.value("truncate", faults.truncateResponse);
                faults.failRequests = body.value("fail", faults.failRequests);
                faults.extraDelayMs = body.value("slow_ms", faults.extraDelayMs);
            }
        }
        standin::sendReply(request.raw, 200, json::object());
    }

    void showCounts(const standin::http_request &request)
    {
        json teams = json::object();
        for (const auto &[team, concurrency] : m_teamConcurrency) {
            teams[team] = concurrency.peak;
        }
        json workers = json::array();
        std::uint64_t peak = 0;
        for (const auto &worker : m_workers) {
            workers.push_back(worker->startedCount);
            peak = std::max(peak, worker->concurrency.peak);
        }
        json body{ { "started", m_startedCount },
                   { "duplicated", m_duplicateCount },
                   { "most_per_team", teams },
                   { "most_per_worker", peak },
                   { "per_worker", workers } };
        if (request.queryNumber("tags", 0) == 1) {
            body["tags"] = m_runsPerTag;
        }
        standin::sendReply(request.raw, 200, body);
    }

    event_base *m_base;
    standin::http_server m_controlServer;
    std::uint64_t m_defaultRunTimeUs;
    std::vector<std::unique_ptr<upstream_worker>> m_workers;
    std::map<std::string, std::uint64_t> m_runsPerTag;
    std::map<std::string, concurrency_counter> m_teamConcurrency;
    std::map<std::uint64_t, standin::http_request> m_openRequests;
    std::uint64_t m_lastRequestId = 0;
    std::uint64_t m_startedCount = 0;
    std::uint64_t m_duplicateCount = 0;
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
    standin::runUntilSignal(base);
    return 0;
}

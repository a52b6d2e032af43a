// Stand-in for a platform that runs jobs: the log store, the workers and the host service in one process.
//
// The first line of output is the address. In addition to the platform's API, it serves for demos and soak tests:
//   POST /operator/KEY      stores the body as the operator's entry with that key
//   POST /faults            {"store": "none"|"rejects"|"silent"|"loses_answers"|"late", "slow_ms": N, "late_starts_ms": N,
//                            "lose_starts": B, "cut_zone": ZONE, "crash_worker": N, "down_ms": N, "keep_id": B, "compact": TOPIC}
//   GET  /report            violations of the run guarantees, number of starts, completed and running tasks
#include "fleet_simulator.h"

#include <docopt/docopt.h>

namespace {

using json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_NOT_FOUND = 404;

const char USAGE[] = R"(standin_jobs - stand-in for a platform that runs jobs, for demos and soak tests.

Usage:
  standin_jobs [--pool=NAME:COUNT]... [--zones=N] [--events=FILE]
  standin_jobs (-h | --help)

Options:
  --pool=NAME:COUNT  Initial number of hosts of a pool; may be repeated.
  --zones=N          Number of zones over which the hosts are spread [default: 1].
  --events=FILE      Writes each start, end, acknowledged completion and crash to the file.
)";

standin::store_fault parseStoreFault(const std::string &name)
{
    if (name == "rejects") {
        return standin::store_fault::reject_requests;
    }
    if (name == "silent") {
        return standin::store_fault::no_response;
    }
    if (name == "late") {
        return standin::store_fault::late_writes;
    }
    return name == "loses_answers" ? standin::store_fault::lose_responses : standin::store_fault::none;
}

class job_platform
{
public:
    explicit job_platform(event_base *base)
        : m_server(base, [this](const standin::http_request &request) { onRequest(request); })
        , m_store(m_server)
        , m_fleet(base, m_server, m_store)
    {
    }

    std::string bind()
    {
        return m_server.bind("127.0.0.1", 0);
    }
    void logEventsTo(const std::string &path)
    {
        m_fleet.logEventsTo(path);
    }
    void addPool(const std::string &poolArgument, int zones)
    {
        const std::size_t colon = poolArgument.find(':');
        m_fleet.addHosts(poolArgument.substr(0, colon), colon == std::string::npos ? 1 : std::atoi(poolArgument.c_str() + colon + 1),
                         zones);
    }

private:
    void onRequest(const standin::http_request &request)
    {
        const std::string operatorPrefix = "/operator/";
        if (m_store.handleRequest(request) || m_fleet.handleHostRequest(request)) {
            return;
        }
        if (request.path.rfind(operatorPrefix, 0) == 0) {
            m_store.put("keyed.op", request.path.substr(operatorPrefix.size()), request.body);
            standin::sendReply(request.raw, STATUS_OK, json::object());
        } else if (request.path == "/faults") {
            setFaults(json::parse(request.body, nullptr, false));
            standin::sendReply(request.raw, STATUS_OK, json::object());
        } else if (request.path == "/report") {
            standin::sendReply(request.raw, STATUS_OK, m_fleet.report());
        } else {
            standin::sendReply(request.raw, STATUS_NOT_FOUND, json::object());
        }
    }

    void setFaults(const json &body)
    {
        m_store.setFault(parseStoreFault(body.value("store", "none")), body.value("slow_ms", std::uint64_t(0)));
        m_fleet.setStartDelay(body.value("late_starts_ms", std::uint64_t(0)));
        m_fleet.loseStartResponses(body.value("lose_starts", false));
        m_fleet.cutZone(body.value("cut_zone", ""));
        if (body.contains("crash_worker")) {
            m_fleet.crashWorker(body.at("crash_worker").get<std::size_t>(), body.value("down_ms", std::uint64_t(0)),
                                body.value("keep_id", false));
        }
        if (body.contains("compact")) {
            m_store.compact(body.at("compact").get<std::string>());
        }
    }

    standin::http_server m_server;
    standin::log_store m_store;
    standin::fleet_simulator m_fleet;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    job_platform platform(base);
    if (arguments.at("--events")) {
        platform.logEventsTo(arguments.at("--events").asString());
    }
    for (const std::string &pool : arguments.at("--pool").asStringList()) {
        platform.addPool(pool, static_cast<int>(arguments.at("--zones").asLong()));
    }
    fmt::print("{}\n", platform.bind());
    std::fflush(stdout);
    standin::runUntilSignal(base);
    return 0;
}

// Stand-in for a platform that runs jobs: the store, the workers and the host service in one process.
//
// Its first line of output tells the address. Beside the platform's own calls it takes, for demo and soak:
//   POST /operator/KEY      puts the body as the operator's entry of that key
//   POST /faults            {"store": "none"|"rejects"|"silent"|"loses_answers", "slow_ms": N, "late_starts_ms": N,
//                            "crash_worker": N, "down_ms": N, "compact": TOPIC}
//   GET  /report            starts, ends and broken promises so far
#include "worker_fleet.h"

#include <docopt/docopt.h>

namespace {

using json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_NOT_FOUND = 404;

const char USAGE[] = R"(standin_jobs - stand-in for a platform that runs jobs, for demo and soak.

Usage:
  standin_jobs [--pool=NAME:COUNT]...
  standin_jobs (-h | --help)

Options:
  --pool=NAME:COUNT  Hosts of a pool at the start; may be given more than once.
)";

standin::store_fault storeFaultOf(const std::string &name)
{
    if (name == "rejects") {
        return standin::store_fault::rejects;
    }
    if (name == "silent") {
        return standin::store_fault::silent;
    }
    return name == "loses_answers" ? standin::store_fault::loses_answers : standin::store_fault::none;
}

class job_platform
{
public:
    explicit job_platform(event_base *base)
        : m_server(base, [this](const standin::request &item) { onRequest(item); })
        , m_store(m_server)
        , m_fleet(base, m_server, m_store)
    {
    }

    std::string bind()
    {
        return m_server.bind("127.0.0.1", 0);
    }
    void addPool(const std::string &text)
    {
        const std::size_t colon = text.find(':');
        m_fleet.add(text.substr(0, colon), colon == std::string::npos ? 1 : std::atoi(text.c_str() + colon + 1));
    }

private:
    void onRequest(const standin::request &item)
    {
        const std::string operatorPrefix = "/operator/";
        if (m_store.handle(item) || m_fleet.handleHosts(item)) {
            return;
        }
        if (item.path.rfind(operatorPrefix, 0) == 0) {
            m_store.put("keyed.op", item.path.substr(operatorPrefix.size()), item.body);
            standin::reply(item.raw, STATUS_OK, json::object());
        } else if (item.path == "/faults") {
            setFaults(json::parse(item.body, nullptr, false));
            standin::reply(item.raw, STATUS_OK, json::object());
        } else if (item.path == "/report") {
            standin::reply(item.raw, STATUS_OK, m_fleet.report());
        } else {
            standin::reply(item.raw, STATUS_NOT_FOUND, json::object());
        }
    }

    void setFaults(const json &body)
    {
        m_store.setFault(storeFaultOf(body.value("store", "none")), body.value("slow_ms", std::uint64_t(0)));
        m_fleet.setLateStarts(body.value("late_starts_ms", std::uint64_t(0)));
        if (body.contains("crash_worker")) {
            m_fleet.crash(body.at("crash_worker").get<std::size_t>(), body.value("down_ms", std::uint64_t(0)));
        }
        if (body.contains("compact")) {
            m_store.compact(body.at("compact").get<std::string>());
        }
    }

    standin::http_server m_server;
    standin::log_store m_store;
    standin::worker_fleet m_fleet;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    job_platform platform(base);
    for (const std::string &pool : arguments.at("--pool").asStringList()) {
        platform.addPool(pool);
    }
    fmt::print("{}\n", platform.bind());
    std::fflush(stdout);
    standin::serve(base);
    return 0;
}

// Load tool: sends requests of several teams and counts what became of each.
//
// Every request carries a tag of its own, so that the upstream stand-in can tell what ran twice, and
// the answer has to echo the tag, so that another caller's answer is noticed.
#include <algorithm>
#include <chrono>
#include <deque>
#include <docopt/docopt.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <jujubespool/platform/http_client.h>
#include <map>
#include <random>
#include <sstream>

namespace {

using namespace jujubespool;

const char USAGE[] = R"(standin_load - load for entry hosts or upstreams.

Usage:
  standin_load --targets=LIST [--requests=N] [--concurrency=N] [--path=PATH] [--teams=LIST] [--run-us=US]
               [--body=BYTES] [--keyed] [--repeat-key] [--timeout-ms=MS] [--seconds=S] [--seed=N] [--verbose]
  standin_load (-h | --help)

Options:
  --targets=LIST     Addresses, separated by commas.
  --requests=N       Number of requests [default: 1000].
  --concurrency=N    Requests under way at once [default: 16].
  --path=PATH        Path of each request [default: /v1/services/badge-check/scan].
  --teams=LIST       Keys of the teams, separated by commas; a name may follow each after '='.
  --run-us=US        Run time that the upstream is asked for, 0 for its own [default: 0].
  --body=BYTES       Size of the body [default: 64].
  --keyed            Sends an idempotency key with each request.
  --repeat-key       Sends each keyed request to two targets at once.
  --timeout-ms=MS    Deadline of each request [default: 5000].
  --seconds=S        Ends after this time although requests are left [default: 300].
  --seed=N           Seed of the choices [default: 1].
  --verbose          Prints each refusal.
)";

using steady = std::chrono::steady_clock;

struct team_figures
{
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

class load
{
public:
    load(event_base *base, std::map<std::string, docopt::value> &arguments)
        : m_base(base)
        , m_client(base)
        , m_random(static_cast<std::uint64_t>(arguments["--seed"].asLong()))
        , m_targets(split(arguments["--targets"].asString()))
        , m_teams(arguments["--teams"] ? split(arguments["--teams"].asString()) : std::vector<std::string>{ "" })
        , m_path(arguments["--path"].asString())
        , m_runUs(arguments["--run-us"].asString())
        , m_body(static_cast<std::size_t>(arguments["--body"].asLong()), 'x')
        , m_keyed(arguments["--keyed"].asBool() || arguments["--repeat-key"].asBool())
        , m_repeat(arguments["--repeat-key"].asBool())
        , m_verbose(arguments["--verbose"].asBool())
        , m_left(static_cast<std::uint64_t>(arguments["--requests"].asLong()))
        , m_timeoutMs(arguments["--timeout-ms"].asLong())
        , m_end(steady::now() + std::chrono::seconds(arguments["--seconds"].asLong()))
        , m_started(steady::now())
    {
        for (long i = 0; i < arguments["--concurrency"].asLong(); ++i) {
            next();
        }
    }

    void report() const
    {
        const double seconds = std::chrono::duration<double>(steady::now() - m_started).count();
        team_figures all;
        for (const auto &[team, figures] : m_figures) {
            if (!team.empty()) {
                fmt::print("team={} ran={} not_run={} unknown={}\n", team, figures.ran, figures.notRun, figures.unknown);
            }
            all.ran += figures.ran;
            all.notRun += figures.notRun;
            all.unknown += figures.unknown;
        }
        std::vector<double> sorted = m_latencies;
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&](double q) {
            return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
        };
        fmt::print("requests_per_s={:.0f} p50_us={:.0f} p99_us={:.0f} seconds={:.2f}\n", static_cast<double>(m_latencies.size()) / seconds,
                   quantile(0.5), quantile(0.99), seconds);
        fmt::print("answered={} not_run={} unknown={} lost={} mixed_up={}\n", all.ran, all.notRun, all.unknown, m_lost, m_mixedUp);
    }

private:
    static std::vector<std::string> split(const std::string &list)
    {
        std::istringstream stream(list);
        std::vector<std::string> items;
        for (std::string item; std::getline(stream, item, ',');) {
            items.push_back(item);
        }
        return items;
    }

    template <typename T> const T &anyOf(const std::vector<T> &items)
    {
        return items[std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(m_random)];
    }

    void next()
    {
        if (m_left == 0 || steady::now() > m_end) {
            if (m_open == 0) {
                event_base_loopbreak(m_base);
            }
            return;
        }
        --m_left;
        const std::string entry = anyOf(m_teams);
        const std::string key = entry.substr(0, entry.find('='));
        const std::string name = entry.find('=') == std::string::npos ? key : entry.substr(entry.find('=') + 1);
        http_request request;
        request.method = http_method::post;
        request.path = m_path;
        request.body = m_body;
        request.timeout = milliseconds(m_timeoutMs + 2000);
        const std::string tag = fmt::format("{:x}", m_random());
        request.headers = { { "Work-Tag", tag }, { "Jujubespool-Timeout-Ms", std::to_string(m_timeoutMs) } };
        if (m_runUs != "0") {
            request.headers.push_back({ "Run-Us", m_runUs });
        }
        if (!key.empty()) {
            request.headers.push_back({ "Authorization", "Bearer " + key });
        }
        if (m_keyed) {
            const auto ms = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            request.headers.push_back({ "Idempotency-Key", fmt::format("{}-{}", ms, tag) });
        }
        const std::size_t first = std::uniform_int_distribution<std::size_t>(0, m_targets.size() - 1)(m_random);
        for (std::size_t i = 0; i < (m_repeat ? 2U : 1U); ++i) {
            request.address = m_targets[(first + i) % m_targets.size()];
            send(request, name, tag, i == 0);
        }
    }

    // With goesOn, the next request begins when this one has ended.
    void send(const http_request &request, const std::string &team, const std::string &tag, bool goesOn)
    {
        ++m_open;
        const auto begin = steady::now();
        m_client.send(request, [this, team, tag, begin, goesOn](const http_result &result) {
            --m_open;
            m_latencies.push_back(std::chrono::duration<double, std::micro>(steady::now() - begin).count());
            note(result, team, tag);
            if (goesOn || m_left == 0 || steady::now() > m_end) {
                next();
            }
        });
    }

    void note(const http_result &result, const std::string &team, const std::string &tag)
    {
        team_figures &figures = m_figures[team];
        if (result.outcome == http_outcome::connect_failed) {
            // Nothing was sent; a caller would turn to another entry host.
            ++figures.notRun;
            return;
        }
        if (result.outcome != http_outcome::complete) {
            ++m_lost;
            return;
        }
        const std::string *outcome = result.header("Jujubespool-Outcome");
        const std::string told = outcome == nullptr ? "ran" : *outcome;
        if (told == "ran") {
            ++figures.ran;
            const std::string *echo = result.header("Work-Tag");
            m_mixedUp += result.status == 200 && (echo == nullptr || *echo != tag) ? 1 : 0;
        } else {
            (told == "unknown" ? figures.unknown : figures.notRun) += 1;
            if (m_verbose) {
                fmt::print("refused status={} body={}\n", result.status, result.body);
            }
        }
    }

    event_base *m_base;
    http_client m_client;
    std::mt19937_64 m_random;
    std::vector<std::string> m_targets;
    std::vector<std::string> m_teams;
    std::string m_path;
    std::string m_runUs;
    std::string m_body;
    bool m_keyed;
    bool m_repeat;
    bool m_verbose;
    std::uint64_t m_left;
    long m_timeoutMs;
    steady::time_point m_end;
    steady::time_point m_started;
    std::uint64_t m_open = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_mixedUp = 0;
    std::map<std::string, team_figures> m_figures;
    std::vector<double> m_latencies;
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    load run(base, arguments);
    event_base_dispatch(base);
    run.report();
    return 0;
}

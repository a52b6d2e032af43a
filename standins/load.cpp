// Load generator: sends requests on behalf of several teams and counts their outcomes.
//
// Each request carries a unique tag, by which the upstream stand-in detects requests that ran more than once. The
// response has to echo the tag, so that a response that belongs to another request is detected.
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

const char USAGE[] = R"(standin_load - load generator for entry hosts or upstreams.

Usage:
  standin_load --targets=LIST [--requests=N] [--concurrency=N] [--path=PATH] [--teams=LIST] [--run-us=US]
               [--body=BYTES] [--keyed] [--repeat-key] [--timeout-ms=MS] [--seconds=S] [--seed=N] [--verbose]
  standin_load (-h | --help)

Options:
  --targets=LIST     Target addresses, separated by commas.
  --requests=N       Number of requests [default: 1000].
  --concurrency=N    Number of requests in flight [default: 16].
  --path=PATH        Path of each request [default: /v1/services/badge-check/scan].
  --teams=LIST       API keys of the teams, separated by commas; KEY=NAME sets the name to print for a team.
  --run-us=US        Run time requested from the upstream, in microseconds; 0 for its default [default: 0].
  --body=BYTES       Size of the request body [default: 64].
  --keyed            Send an idempotency key with each request.
  --repeat-key       Send each request, with the same idempotency key, to two targets at once.
  --timeout-ms=MS    Timeout of each request [default: 5000].
  --seconds=S        Stop sending after this time even if requests remain [default: 300].
  --seed=N           Seed of the random choices [default: 1].
  --verbose          Print each rejected request.
)";

using steady_clock = std::chrono::steady_clock;

// Time that the client waits for a response beyond the timeout that the request states.
constexpr long RESPONSE_ALLOWANCE_MS = 2000;

struct team_counts
{
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

class load_generator
{
public:
    load_generator(event_base *base, std::map<std::string, docopt::value> &arguments)
        : m_base(base)
        , m_client(base)
        , m_random(static_cast<std::uint64_t>(arguments["--seed"].asLong()))
        , m_targets(splitList(arguments["--targets"].asString()))
        , m_teams(arguments["--teams"] ? splitList(arguments["--teams"].asString()) : std::vector<std::string>{ "" })
        , m_path(arguments["--path"].asString())
        , m_runTimeUs(arguments["--run-us"].asString())
        , m_body(static_cast<std::size_t>(arguments["--body"].asLong()), 'x')
        , m_sendsKeys(arguments["--keyed"].asBool() || arguments["--repeat-key"].asBool())
        , m_repeatsKeys(arguments["--repeat-key"].asBool())
        , m_verbose(arguments["--verbose"].asBool())
        , m_remainingRequests(static_cast<std::uint64_t>(arguments["--requests"].asLong()))
        , m_timeoutMs(arguments["--timeout-ms"].asLong())
        , m_endTime(steady_clock::now() + std::chrono::seconds(arguments["--seconds"].asLong()))
        , m_startedAt(steady_clock::now())
    {
        for (long i = 0; i < arguments["--concurrency"].asLong(); ++i) {
            sendNext();
        }
    }

    void printReport() const
    {
        const double seconds = std::chrono::duration<double>(steady_clock::now() - m_startedAt).count();
        team_counts total;
        for (const auto &[team, counts] : m_teamCounts) {
            if (!team.empty()) {
                fmt::print("team={} ran={} not_run={} unknown={}\n", team, counts.ran, counts.notRun, counts.unknown);
            }
            total.ran += counts.ran;
            total.notRun += counts.notRun;
            total.unknown += counts.unknown;
        }
        std::vector<double> sorted = m_latenciesUs;
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&](double q) {
            return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
        };
        fmt::print("requests_per_s={:.0f} p50_us={:.0f} p99_us={:.0f} seconds={:.2f}\n",
                   static_cast<double>(m_latenciesUs.size()) / seconds, quantile(0.5), quantile(0.99), seconds);
        fmt::print("answered={} not_run={} unknown={} lost={} mixed_up={}\n", total.ran, total.notRun, total.unknown, m_lostResponses,
                   m_mismatchedResponses);
    }

private:
    static std::vector<std::string> splitList(const std::string &list)
    {
        std::istringstream stream(list);
        std::vector<std::string> items;
        for (std::string item; std::getline(stream, item, ',');) {
            items.push_back(item);
        }
        return items;
    }

    template <typename T> const T &pickRandom(const std::vector<T> &items)
    {
        return items[std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(m_random)];
    }

    void sendNext()
    {
        if (m_remainingRequests == 0 || steady_clock::now() > m_endTime) {
            if (m_inFlight == 0) {
                event_base_loopbreak(m_base);
            }
            return;
        }
        --m_remainingRequests;
        const std::string keyAndName = pickRandom(m_teams);
        const std::string key = keyAndName.substr(0, keyAndName.find('='));
        const std::string team = keyAndName.find('=') == std::string::npos ? key : keyAndName.substr(keyAndName.find('=') + 1);
        http_request request;
        request.method = http_method::post;
        request.path = m_path;
        request.body = m_body;
        request.timeout = milliseconds(m_timeoutMs + RESPONSE_ALLOWANCE_MS);
        const std::string tag = fmt::format("{:x}", m_random());
        request.headers = { { "Work-Tag", tag }, { "Jujubespool-Timeout-Ms", std::to_string(m_timeoutMs) } };
        if (m_runTimeUs != "0") {
            request.headers.push_back({ "Run-Us", m_runTimeUs });
        }
        if (!key.empty()) {
            request.headers.push_back({ "Authorization", "Bearer " + key });
        }
        if (m_sendsKeys) {
            const auto ms = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            request.headers.push_back({ "Idempotency-Key", fmt::format("{}-{}", ms, tag) });
        }
        const std::size_t firstTarget = std::uniform_int_distribution<std::size_t>(0, m_targets.size() - 1)(m_random);
        for (std::size_t i = 0; i < (m_repeatsKeys ? 2U : 1U); ++i) {
            request.address = m_targets[(firstTarget + i) % m_targets.size()];
            sendRequest(request, team, tag, i == 0);
        }
    }

    // If startsNext is set, the next request is sent when this one ends.
    void sendRequest(const http_request &request, const std::string &team, const std::string &tag, bool startsNext)
    {
        ++m_inFlight;
        const auto sentAt = steady_clock::now();
        m_client.send(request, [this, team, tag, sentAt, startsNext](const http_result &result) {
            --m_inFlight;
            m_latenciesUs.push_back(std::chrono::duration<double, std::micro>(steady_clock::now() - sentAt).count());
            recordResult(result, team, tag);
            if (startsNext || m_remainingRequests == 0 || steady_clock::now() > m_endTime) {
                sendNext();
            }
        });
    }

    void recordResult(const http_result &result, const std::string &team, const std::string &tag)
    {
        team_counts &counts = m_teamCounts[team];
        if (result.outcome == http_outcome::connect_failed) {
            // Nothing was sent, so a client could safely retry at another entry host.
            ++counts.notRun;
            return;
        }
        if (result.outcome != http_outcome::complete) {
            ++m_lostResponses;
            return;
        }
        const std::string *outcome = result.header("Jujubespool-Outcome");
        const std::string outcomeName = outcome == nullptr ? "ran" : *outcome;
        if (outcomeName == "ran") {
            ++counts.ran;
            const std::string *echo = result.header("Work-Tag");
            m_mismatchedResponses += result.status == 200 && (echo == nullptr || *echo != tag) ? 1 : 0;
        } else {
            (outcomeName == "unknown" ? counts.unknown : counts.notRun) += 1;
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
    std::string m_runTimeUs;
    std::string m_body;
    bool m_sendsKeys;
    bool m_repeatsKeys;
    bool m_verbose;
    std::uint64_t m_remainingRequests;
    long m_timeoutMs;
    steady_clock::time_point m_endTime;
    steady_clock::time_point m_startedAt;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_lostResponses = 0;
    std::uint64_t m_mismatchedResponses = 0;
    std::map<std::string, team_counts> m_teamCounts;
    std::vector<double> m_latenciesUs;
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    event_base *base = event_base_new();
    load_generator generator(base, arguments);
    event_base_dispatch(base);
    generator.printReport();
    return 0;
}

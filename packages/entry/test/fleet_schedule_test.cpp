// Runs seeded random fault schedules against a fleet of entry nodes. The fake fleet checks its invariants whenever work starts, a
// response arrives or a record is applied.
#include "fake_fleet.h"

#include <cstdlib>
#include <fmt/format.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/testing/table.h>
#include <rapidcheck.h>

namespace {

using namespace jujubespool;

constexpr int HOST_COUNT = 4;
constexpr int DEFAULT_SEED_COUNT = 12;

std::string fleetText(int bigLimit, const std::string &extra = {})
{
    std::string text = "data_centers: [east, west]\nclaim_retention_ms: 60000\npools:\n";
    int number = 0;
    for (const auto &[pool, hosts] : { std::pair("p", 5), std::pair("q", 4), std::pair("spare", 1) }) {
        text += fmt::format("  - name: {}\n    spare: {}\n    hosts:\n", pool, std::string(pool) == "spare");
        for (int i = 0; i < hosts; ++i, ++number) {
            text += fmt::format("      - {{ name: {}{}, data_center: {}, rack: r{}, address: \"{}{}:1\", slots: 3 }}\n", pool, i,
                                number % 2 == 0 ? "east" : "west", i % 3, pool, i);
        }
    }
    text += "services:\n"
            "  - { name: post, pool: p, max_unavailable_percent: 40, max_run_ms: 400, depends_on: [check] }\n"
            "  - { name: check, pool: q, max_unavailable_percent: 50, max_run_ms: 400, repeatable: true, class: urgent }\n"
            "teams:\n";
    text += fmt::format("  - {{ name: big, share: 3, limit: {}, keys: [{}] }}\n", bigLimit, hashApiKey("key-big"));
    text += fmt::format("  - {{ name: small, share: 1, limit: 2, keys: [{}] }}\n", hashApiKey("key-small"));
    return text + extra;
}

enum class operation {
    traffic,
    burst,
    crash,
    restart,
    pause,
    resume,
    log_unavailable,
    log_available,
    lose_append_responses,
    cut_platform,
    heal_platform,
    cut_data_center,
    heal_data_center,
    drop_messages,
    drain,
    undrain,
    move,
    change_limit,
    withdraw,
    grant,
    truncate_log,
    wave,
    upstream_fault,
    stop_gracefully,
    count
};

struct schedule_step
{
    operation what = operation::traffic;
    int where = 0;
    int amount = 0;
};

std::ostream &operator<<(std::ostream &out, const schedule_step &step)
{
    return out << static_cast<int>(step.what) << "@" << step.where << "x" << step.amount;
}

class schedule_runner
{
public:
    // An empty set allows all operations. Requests run for less than maxRunMs milliseconds.
    schedule_runner(std::uint64_t seed, std::set<operation> allowed, std::uint64_t maxRunMs = 390)
        : m_maxRunMs(maxRunMs)
        , m_fleet(seed, fleetText(6), { "east", "west" }, HOST_COUNT)
        , m_allowedOperations(std::move(allowed))
    {
    }

    void perform(const schedule_step &step)
    {
        if (m_allowedOperations.empty() || m_allowedOperations.count(step.what) > 0) {
            apply(step);
        }
        traffic(6 + step.amount % 8);
        m_fleet.run(milliseconds(20 + step.amount % 10 * 40));
    }

    // Ends all faults and gives the fleet time to recover.
    void endFaults()
    {
        m_fleet.faults = {};
        m_fleet.upstreamFaults.clear();
        for (int i = 0; i < HOST_COUNT; ++i) {
            m_fleet.resume(i);
            m_fleet.start(i);
        }
        m_fleet.run(milliseconds(5000));
    }

    fake_fleet &fleet()
    {
        return m_fleet;
    }

    // Sends one request to each host and returns how many of them ran.
    std::uint64_t countSuccessfulProbes()
    {
        const std::uint64_t before = m_fleet.callerCounts().ran;
        for (int i = 0; i < HOST_COUNT; ++i) {
            m_fleet.sendRequest(i, "post", m_fleet.withdrawnAfter.empty() ? "key-big" : "key-small", m_fleet.makeTag(false), 5, {});
        }
        m_fleet.run(milliseconds(2000));
        return m_fleet.callerCounts().ran - before;
    }

private:
    void traffic(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            const int host = static_cast<int>(m_fleet.random(HOST_COUNT));
            const std::string apiKey = m_fleet.random(3) == 0 ? "key-small" : "key-big";
            const bool repeatable = m_fleet.random(3) == 0;
            const std::string tag = m_fleet.makeTag(repeatable);
            // Some requests run for almost the maximum run time, so that they are still running when their entry host crashes.
            const int runMs = static_cast<int>(m_fleet.random(m_fleet.random(2) == 0 ? m_maxRunMs : m_maxRunMs / 6));
            if (m_fleet.random(2) == 0) {
                m_fleet.sendRequest(host, repeatable ? "check" : "post", apiKey, tag, runMs, {});
                continue;
            }
            // Send the same idempotency key up to three times, to random hosts.
            const std::string key = fmt::format("{}-{}", m_fleet.wallNow(), tag);
            for (std::uint64_t copy = 0; copy <= m_fleet.random(3); ++copy) {
                m_fleet.sendRequest(static_cast<int>(m_fleet.random(HOST_COUNT)), repeatable ? "check" : "post", apiKey, tag, runMs, key);
            }
            m_keyedRequests.push_back({ repeatable, apiKey, tag, key, runMs });
        }
        if (!m_keyedRequests.empty()) {
            const keyed_request &repeated = m_keyedRequests[m_fleet.random(m_keyedRequests.size())];
            m_fleet.sendRequest(static_cast<int>(m_fleet.random(HOST_COUNT)), repeated.repeatable ? "check" : "post", repeated.apiKey,
                                repeated.tag, repeated.runMs, repeated.key);
        }
    }

    void apply(const schedule_step &step)
    {
        const std::string worker = std::string(step.where % 2 == 0 ? "p" : "q") + std::to_string(step.amount % 4);
        wire::record record;
        switch (step.what) {
        case operation::burst:
            traffic(40);
            break;
        case operation::crash:
            m_fleet.crash(step.where);
            break;
        case operation::restart:
            m_fleet.start(step.where);
            break;
        case operation::pause:
            m_fleet.pause(step.where);
            break;
        case operation::resume:
            m_fleet.resume(step.where);
            break;
        case operation::log_unavailable:
            m_fleet.faults.logUnavailable = true;
            break;
        case operation::log_available:
            m_fleet.faults.logUnavailable = false;
            break;
        case operation::lose_append_responses:
            m_fleet.faults.appendResponsesToLose += 1 + step.amount % 4;
            break;
        case operation::cut_platform:
            m_fleet.faults.hostsCutFromPlatform.insert(m_fleet.host(step.where).name);
            break;
        case operation::heal_platform:
            m_fleet.faults.hostsCutFromPlatform.clear();
            break;
        case operation::cut_data_center:
            m_fleet.faults.cutDataCenters.insert(step.where % 2 == 0 ? "east" : "west");
            break;
        case operation::heal_data_center:
            m_fleet.faults.cutDataCenters.clear();
            break;
        case operation::drop_messages:
            m_fleet.faults.messageDropRate = (step.amount % 4) * 0.2;
            break;
        case operation::drain:
            record.mutable_drain()->set_host(worker);
            m_fleet.propose(step.where, record);
            break;
        case operation::undrain:
            record.mutable_undrain()->set_host(worker);
            m_fleet.propose(step.where, record);
            break;
        case operation::move:
            record.mutable_drain()->set_host(worker);
            record.mutable_drain()->set_move_to_pool(step.where % 2 == 0 ? "q" : "p");
            m_fleet.propose(step.where, record);
            break;
        case operation::change_limit:
            m_fleet.publish(step.where, fleetText(2 + step.amount % 8));
            break;
        case operation::withdraw:
            withdraw(step.where);
            break;
        case operation::grant:
            break;
        case operation::truncate_log:
            m_fleet.truncateLogBefore(m_fleet.host(step.where).node ? m_fleet.host(step.where).node->session().replayer().snapshotOffset()
                                                                    : 0);
            break;
        case operation::wave:
            startWave(step);
            break;
        case operation::upstream_fault:
            m_fleet.upstreamFaults[worker] = static_cast<upstream_fault>(step.amount % 5);
            break;
        case operation::stop_gracefully:
            if (m_fleet.host(step.where).node) {
                m_fleet.host(step.where).node->stopGracefully();
            }
            break;
        default:
            break;
        }
    }

    void startWave(const schedule_step &step)
    {
        wire::record record;
        record.mutable_wave()->set_name("wave-" + std::to_string(++m_waveCount));
        record.mutable_wave()->set_kind(wire::WAVE_KIND_MAINTENANCE);
        for (const std::string name : { "p0", "p1", "p2", "p3", "q0", "q1", "q2" }) {
            record.mutable_wave()->add_hosts(name);
        }
        m_fleet.propose(step.where, record);
    }

    // Withdraws a key if all hosts are running and connected. It must be rejected everywhere within 3 s, even if the log is unavailable.
    void withdraw(int where)
    {
        const bool connected = m_fleet.faults.cutDataCenters.empty() && m_fleet.faults.messageDropRate == 0;
        fake_host &host = m_fleet.host(where);
        if (!connected || !host.node || host.paused || !m_fleet.withdrawnAfter.empty()
            || host.node->session().state().editionOffset() == 0) {
            return;
        }
        for (int i = 0; i < HOST_COUNT; ++i) {
            if (m_fleet.host(i).paused || !m_fleet.host(i).node) {
                return;
            }
        }
        host.node->apiKeys().withdraw("big", hashApiKey("key-big"), {}, host.clock->now());
        m_fleet.withdrawnAfter["key-big"] = host.clock->now() + seconds(3);
    }

    struct keyed_request
    {
        bool repeatable = false;
        std::string apiKey;
        std::string tag;
        std::string key;
        int runMs = 0;
    };

    std::uint64_t m_maxRunMs;
    fake_fleet m_fleet;
    std::set<operation> m_allowedOperations;
    std::vector<keyed_request> m_keyedRequests;
    int m_waveCount = 0;
};

// Groups of operations that are tested together. The last row allows all operations.
struct fault_family
{
    const char *name;
    std::initializer_list<operation> operations;
};

const fault_family FAULT_FAMILIES[] = {
    { "crashes", { operation::crash, operation::restart, operation::burst } },
    { "pauses", { operation::pause, operation::resume, operation::burst, operation::lose_append_responses } },
    { "log outages",
      { operation::log_unavailable, operation::log_available, operation::lose_append_responses, operation::burst, operation::crash,
        operation::restart } },
    { "partitions",
      { operation::cut_platform, operation::heal_platform, operation::cut_data_center, operation::heal_data_center,
        operation::drop_messages, operation::burst } },
    { "operators",
      { operation::drain, operation::undrain, operation::move, operation::change_limit, operation::wave, operation::lose_append_responses,
        operation::burst } },
    { "operators and crashes",
      { operation::drain, operation::undrain, operation::move, operation::change_limit, operation::wave, operation::crash,
        operation::restart, operation::pause, operation::resume } },
    { "upstreams", { operation::upstream_fault, operation::burst, operation::drop_messages } },
    { "graceful stops", { operation::stop_gracefully, operation::restart, operation::burst, operation::lose_append_responses } },
    { "retention", { operation::truncate_log, operation::crash, operation::restart, operation::cut_platform, operation::heal_platform } },
    { "everything", {} },
};

int seedCount()
{
    const char *text = std::getenv("JUJUBESPOOL_SEEDS");
    return text == nullptr || *text == '\0' ? DEFAULT_SEED_COUNT : std::atoi(text);
}

rc::Gen<schedule_step> anyStep()
{
    return rc::gen::construct<schedule_step>(
        rc::gen::map(rc::gen::inRange(0, static_cast<int>(operation::count)), [](int value) { return static_cast<operation>(value); }),
        rc::gen::inRange(0, HOST_COUNT), rc::gen::inRange(0, 100));
}

} // namespace

ParameterizedTestParameters(fleetSchedule, keepsEveryInvariant)
{
    return rowsOf(FAULT_FAMILIES);
}

ParameterizedTest(std::size_t *row, fleetSchedule, keepsEveryInvariant)
{
    const fault_family &faults = FAULT_FAMILIES[*row];
    const std::string parameters = fmt::format("seed={} max_success={} noshrink=1", 4711 + *row, seedCount());
    setenv("RC_PARAMS", parameters.c_str(), 1);
    int schedules = 0;
    const bool held = rc::check(faults.name, [&] {
        const auto steps = *rc::gen::container<std::vector<schedule_step>>(25, anyStep());
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000000);
        ++schedules;
        schedule_runner runner(seed, faults.operations);
        for (const schedule_step &step : steps) {
            runner.perform(step);
            if (!runner.fleet().violations().empty()) {
                RC_FAIL(fmt::format("seed {}: {}", seed, runner.fleet().violations().front()));
            }
        }
        runner.endFaults();
        const std::uint64_t ran = runner.countSuccessfulProbes();
        if (!runner.fleet().violations().empty()) {
            RC_FAIL(fmt::format("seed {}: {}", seed, runner.fleet().violations().front()));
        }
        if (ran == 0) {
            RC_FAIL(fmt::format("seed {}: no request ran after all faults had ended", seed));
        }
    });
    cr_assert(held, "expected every invariant to hold under %s", faults.name);
    cr_assert_geq(schedules, 1, "expected at least one schedule");
}

Test(fleetSchedule, servesWithoutFaults)
{
    schedule_runner runner(1, { operation::traffic }, 24);
    for (int i = 0; i < 20; ++i) {
        runner.perform({ operation::traffic, 0, 10 });
    }
    runner.endFaults();
    const caller_counts &figures = runner.fleet().callerCounts();
    cr_assert(runner.fleet().violations().empty(), "expected no violations, got %s",
              runner.fleet().violations().empty() ? "" : runner.fleet().violations().front().c_str());
    cr_assert_eq(figures.unknown, 0U, "expected no unknown outcome, got %zu", static_cast<std::size_t>(figures.unknown));
    cr_assert_eq(figures.ran, figures.sent, "expected %zu requests to run, got %zu", static_cast<std::size_t>(figures.sent),
                 static_cast<std::size_t>(figures.ran));
}

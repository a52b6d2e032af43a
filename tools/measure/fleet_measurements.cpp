// Measurements of permits, at-most-once execution, fair shares, retries and waves. They run real entry nodes on a
// simulated clock.
#include "fake_fleet.h"
#include "measurements.h"

#include <algorithm>
#include <jujubespool/core/hashing.h>

namespace measure {

namespace {

using namespace jujubespool;

constexpr milliseconds SLICE_DURATION{ 50 };

struct team_spec
{
    const char *name;
    int share;
    int limit;
};

// Returns a configuration like those of the users: five pools, each spread over three data centres.
std::string makeSimulationConfigurationText(const std::vector<team_spec> &teams, int slots, int poolHosts)
{
    std::string text = "data_centers: [a, b, c]\nclaim_retention_ms: 600000\npools:\n";
    for (const std::string pool : { "p", "q", "r", "u", "spare" }) {
        text += fmt::format("  - name: {}\n    spare: {}\n    hosts:\n", pool, pool == "spare");
        for (int i = 0; i < poolHosts; ++i) {
            text += fmt::format("      - {{ name: {0}{1}, data_center: {2}, rack: r{3}, address: \"{0}{1}:1\", slots: {4} }}\n", pool, i,
                                "abc"[i % 3], i / 4, slots);
        }
    }
    text += "services:\n";
    for (const std::string pool : { "p", "q", "r", "u" }) {
        const std::string name = pool == "p" ? "post" : (pool == "q" ? "check" : "service-" + pool);
        text += fmt::format("  - {{ name: {}, pool: {}, max_unavailable_percent: 20, max_run_ms: 400, repeatable: {} }}\n", name, pool,
                            pool == "q");
    }
    text += "teams:\n";
    for (const team_spec &team : teams) {
        text += fmt::format("  - {{ name: {0}, share: {1}, limit: {2}, keys: [{3}] }}\n", team.name, team.share, team.limit,
                            hashApiKey(std::string("key-") + team.name));
    }
    return text;
}

// Advances the simulation by the duration. Calls the function before each slice.
template <typename Call> void runInSlices(fake_fleet &fleet, milliseconds totalDuration, Call call)
{
    for (milliseconds elapsed{ 0 }; elapsed < totalDuration; elapsed += SLICE_DURATION) {
        call();
        fleet.run(SLICE_DURATION);
    }
}

// Sends far more load than the team's limit to the given hosts for three seconds. Returns the mean share of the limit
// that is running, without the samples of the warm-up time at the beginning.
double meanRunningShare(fake_fleet &fleet, int limit, const std::vector<int> &hosts, milliseconds warmUp)
{
    double sum = 0;
    double samples = 0;
    milliseconds elapsed{ 0 };
    runInSlices(fleet, seconds(3), [&] {
        for (const int host : hosts) {
            for (int i = 0; i < limit; ++i) {
                fleet.sendRequest(host, "post", "key-large", fleet.makeTag(false), 100, {}, milliseconds(400));
            }
        }
        elapsed += SLICE_DURATION;
        if (elapsed > warmUp) {
            sum += static_cast<double>(fleet.runningOf("large")) / limit;
            ++samples;
        }
    });
    return sum / samples;
}

} // namespace

void measurePermits(const options &options)
{
    constexpr int TEAM_LIMIT = 60;
    const std::string text = makeSimulationConfigurationText({ { "large", 3, TEAM_LIMIT }, { "small", 1, 2 } }, 8, 10);
    {
        fake_fleet fleet(options.seed, text, { "a", "b", "c" }, 9);
        const std::uint64_t appendsBefore = fleet.appendCount();
        printValue("permits.usable_within_1s_log_up", meanRunningShare(fleet, TEAM_LIMIT, { 0, 3, 6 }, seconds(1)));
        printValue("permits.appends_during_peak", static_cast<double>(fleet.appendCount() - appendsBefore));
        printValue("permits.violations", static_cast<double>(fleet.violations().size()));
    }
    {
        fake_fleet fleet(options.seed, text, { "a", "b", "c" }, 9);
        fleet.faults.logUnavailable = true;
        fleet.run(seconds(3));
        printValue("permits.usable_log_away", meanRunningShare(fleet, TEAM_LIMIT, { 0, 3, 6 }, seconds(1)));
        printValue("permits.violations_log_away", static_cast<double>(fleet.violations().size()));
    }
    {
        fake_fleet fleet(options.seed, text, { "a", "b", "c" }, 9);
        fleet.faults.logUnavailable = true;
        fleet.faults.cutDataCenters = { "a" };
        fleet.run(seconds(3));
        double heldPermits = 0;
        for (const int host : { 0, 3, 6 }) {
            heldPermits += fleet.referenceState().permitAllocations().heldBy(teamResource("large"), fleet.host(host).node->session().id());
        }
        // All requests arrive at one host of the data centre that is cut off.
        printValue("permits.usable_of_held_cut_off", meanRunningShare(fleet, TEAM_LIMIT, { 0 }, seconds(1)) * TEAM_LIMIT / heldPermits);
    }
    // With a static split, each of the nine entry hosts has a ninth of the limit, and the requests reach three of them.
    printValue("permits.baseline_static_split", 3.0 / 9);
}

void measureAtMostOnce(const options &options)
{
    const std::string text = makeSimulationConfigurationText({ { "large", 3, 60 }, { "small", 1, 20 } }, 8, 10);
    const int seeds = options.quick ? 1 : 3;
    double sentRequests = 0;
    double ran = 0;
    double violations = 0;
    for (int i = 0; i < seeds; ++i) {
        fake_fleet fleet(options.seed + static_cast<std::uint64_t>(i), text, { "a", "b", "c" }, 9);
        fleet.faults.logUnavailable = true;
        const caller_counts before = fleet.callerCounts();
        // Ten hosts with eight slots each run 80 requests at once. Half of that load is 40 concurrent requests of 100 ms, which
        // is 20 new requests each 50 ms.
        runInSlices(fleet, seconds(60), [&] {
            for (int request = 0; request < 20; ++request) {
                const std::string tag = fleet.makeTag(false);
                const std::string key = request % 2 == 0 ? fmt::format("{}-{}", fleet.wallNow(), tag) : std::string();
                const std::string team = request % 4 == 0 ? "key-small" : "key-large";
                fleet.sendRequest(static_cast<int>(fleet.random(9)), "post", team, tag, 100, key, milliseconds(2000));
            }
        });
        fleet.faults = {};
        fleet.run(seconds(3));
        sentRequests += static_cast<double>(fleet.callerCounts().sent - before.sent);
        ran += static_cast<double>(fleet.callerCounts().ran - before.ran);
        violations += static_cast<double>(fleet.violations().size());
    }
    printValue("once.outage_60s.asked", sentRequests);
    printValue("once.outage_60s.ran_share", ran / sentRequests);
    // If claims waited for the log, no request with an idempotency key would run during the outage, which is half of
    // this load.
    printValue("once.outage_60s.baseline_claims_on_the_log", 0.5);
    printValue("once.violations", violations);
}

namespace {

struct share_errors
{
    double maxOver1s = 0;
    double maxOver10s = 0;
};

// Largest relative error of a team's share of the run time, over windows of one and of ten seconds. All teams have a
// backlog of requests.
share_errors largestShareErrors(const std::vector<std::map<std::string, double>> &slices, const std::map<std::string, double> &ideal)
{
    share_errors errors;
    const auto largestErrorInWindow = [&](std::size_t begin, std::size_t sliceCount) {
        std::map<std::string, double> sum;
        double total = 0;
        for (std::size_t i = begin; i < begin + sliceCount; ++i) {
            for (const auto &[team, value] : slices[i]) {
                sum[team] += value;
                total += value;
            }
        }
        double largest = 0;
        for (const auto &[team, idealShare] : ideal) {
            largest = std::max(largest, std::abs(sum[team] / total - idealShare) / idealShare);
        }
        return largest;
    };
    constexpr std::size_t SLICES_PER_SECOND = 20;
    for (std::size_t begin = 0; begin + SLICES_PER_SECOND <= slices.size(); begin += SLICES_PER_SECOND) {
        errors.maxOver1s = std::max(errors.maxOver1s, largestErrorInWindow(begin, SLICES_PER_SECOND));
    }
    for (std::size_t begin = 0; begin + 10 * SLICES_PER_SECOND <= slices.size(); begin += 10 * SLICES_PER_SECOND) {
        errors.maxOver10s = std::max(errors.maxOver10s, largestErrorInWindow(begin, 10 * SLICES_PER_SECOND));
    }
    return errors;
}

} // namespace

// Six teams send five times the load that the pool can run, and each entry host receives a different part of it.
void measureShare(const options &options)
{
    const std::vector<team_spec> teams{ { "t1", 40, 200 }, { "t2", 30, 200 }, { "t3", 20, 200 },
                                        { "t4", 6, 200 },  { "t5", 6, 200 },  { "t6", 4, 200 } };
    const std::map<std::string, int> runMsByTeam{ { "t1", 20 }, { "t2", 40 }, { "t3", 80 }, { "t4", 20 }, { "t5", 60 }, { "t6", 30 } };
    double totalShares = 0;
    for (const team_spec &team : teams) {
        totalShares += team.share;
    }
    std::map<std::string, double> ideal;
    for (const team_spec &team : teams) {
        ideal[team.name] = team.share / totalShares;
    }
    fake_fleet fleet(options.seed, makeSimulationConfigurationText(teams, 8, 10), { "a", "b", "c" }, 9);
    std::vector<std::map<std::string, double>> slices;
    std::map<std::string, std::uint64_t> previousRunUs;
    std::map<std::string, double> demandMsByTeam;
    double totalDemandMs = 0;
    const auto addSample = [&] {
        std::map<std::string, std::uint64_t> currentRunUs;
        for (std::size_t host = 0; host < fleet.size(); ++host) {
            for (const run_time_usage &usage : fleet.host(static_cast<int>(host)).node->requestDispatcher().runTimeUsage()) {
                currentRunUs[usage.team] += usage.runUs;
            }
        }
        std::map<std::string, double> slice;
        for (const auto &[team, value] : currentRunUs) {
            slice[team] = static_cast<double>(value - previousRunUs[team]);
        }
        previousRunUs = currentRunUs;
        slices.push_back(std::move(slice));
    };
    const milliseconds testDuration = options.quick ? seconds(14) : seconds(34);
    runInSlices(fleet, testDuration, [&] {
        addSample();
        // The 80 slots can run 4000 ms of work in each slice. The load is five times that, one sixth of it from each team.
        int teamIndex = 0;
        for (const team_spec &team : teams) {
            const int requests = 5 * 4000 / 6 / runMsByTeam.at(team.name);
            for (int i = 0; i < requests; ++i) {
                // Half of a team's requests arrive at one entry host, as if its callers were near that host.
                const int host = fleet.random(2) == 0 ? teamIndex : static_cast<int>(fleet.random(9));
                fleet.sendRequest(host, "post", std::string("key-") + team.name, fleet.makeTag(false), runMsByTeam.at(team.name), {},
                                  milliseconds(3000));
            }
            demandMsByTeam[team.name] += requests * runMsByTeam.at(team.name);
            totalDemandMs += requests * runMsByTeam.at(team.name);
            ++teamIndex;
        }
    });
    // The first four seconds are left out because the queues fill up.
    slices.erase(slices.begin(), slices.begin() + 4 * 20);
    const share_errors errors = largestShareErrors(slices, ideal);
    printValue("share.largest_error_over_10s", errors.maxOver10s);
    printValue("share.largest_error_over_1s", errors.maxOver1s);
    double firstComeError = 0;
    for (const team_spec &team : teams) {
        firstComeError
            = std::max(firstComeError, std::abs(demandMsByTeam[team.name] / totalDemandMs - ideal[team.name]) / ideal[team.name]);
    }
    printValue("share.baseline_first_come_first_served", firstComeError);
    printValue("share.violations", static_cast<double>(fleet.violations().size()));
    std::map<std::string, double> sum;
    double total = 0;
    for (const auto &slice : slices) {
        for (const auto &[team, value] : slice) {
            sum[team] += value;
            total += value;
        }
    }
    for (const auto &[team, value] : sum) {
        fmt::print("share.part.{}={:.4f} ideal={:.4f}\n", team, value / total, ideal[team]);
    }
    printValue("share.slots_used", total / static_cast<double>(slices.size()) / 50000 / 80);
}

// Measures the load that retries add while a third of a pool's upstreams fail each request.
void measureRetry(const options &options)
{
    fake_fleet fleet(options.seed, makeSimulationConfigurationText({ { "large", 3, 60 } }, 8, 9), { "a", "b", "c" }, 9);
    for (const char *host : { "q0", "q1", "q2" }) {
        fleet.upstreamFaults[host] = upstream_fault::fail;
    }
    const std::uint64_t startedBefore = fleet.startedCount();
    const caller_counts before = fleet.callerCounts();
    runInSlices(fleet, seconds(10), [&] {
        for (int i = 0; i < 10; ++i) {
            fleet.sendRequest(static_cast<int>(fleet.random(9)), "check", "key-large", fleet.makeTag(true), 20, {}, milliseconds(1000));
        }
    });
    fleet.run(seconds(2));
    const auto sentRequests = static_cast<double>(fleet.callerCounts().sent - before.sent);
    printValue("retry.extra_load", static_cast<double>(fleet.startedCount() - startedBefore) / sentRequests - 1);
    // Without a retry budget, each failed request is tried up to three times: a third fails, and a third of those fails again.
    printValue("retry.baseline_without_budget", 1.0 / 3 + 1.0 / 9);
}

void measureWaves(const options &options)
{
    const std::string text = makeSimulationConfigurationText({ { "large", 3, 60 } }, 8, 10);
    fakeRebootTime() = options.quick ? seconds(10) : seconds(60);
    fake_fleet fleet(options.seed, text, { "a", "b", "c" }, 9);
    wire::record record;
    record.mutable_wave()->set_name("all");
    record.mutable_wave()->set_kind(wire::WAVE_KIND_MAINTENANCE);
    std::size_t hostCount = 0;
    for (const auto &[name, status] : fleet.referenceState().hosts()) {
        record.mutable_wave()->add_hosts(name);
        ++hostCount;
    }
    const log_offset recordsBefore = fleet.recordCount();
    fleet.propose(1, std::move(record));
    milliseconds elapsed{ 0 };
    constexpr milliseconds STEP{ 50 };
    while (elapsed < seconds(900)) {
        for (int i = 0; i < 10; ++i) {
            fleet.sendRequest(static_cast<int>(fleet.random(9)), "post", "key-large", fleet.makeTag(false), 100, {});
        }
        fleet.run(STEP);
        elapsed += STEP;
        const auto wave = fleet.referenceState().waves().find("all");
        if (wave != fleet.referenceState().waves().end() && wave->second.state == wave_state::finished) {
            break;
        }
    }
    // At most two of ten hosts may be unavailable at once, so a wave needs at least five rounds. A round takes the drain of
    // a 100 ms request and a reboot, which takes fakeRebootTime().
    const auto roundMs = static_cast<double>((fakeRebootTime() + milliseconds(100)).count());
    printValue("waves.hosts", static_cast<double>(hostCount));
    printValue("waves.taken_ms", static_cast<double>(elapsed.count()));
    printValue("waves.lower_bound_ms", 5 * roundMs);
    printValue("waves.taken_over_lower_bound", static_cast<double>(elapsed.count()) / (5 * roundMs));
    // The baseline maintains one rack after the other. Ten hosts in racks of four are three racks in each of the five pools,
    // and each rack takes two rounds of two hosts.
    printValue("waves.baseline_one_rack_at_a_time", 5 * 6 * roundMs / (5 * roundMs));
    printValue("waves.drains_a_host", static_cast<double>(fleet.drainCount()) / static_cast<double>(hostCount));
    printValue("waves.violations", static_cast<double>(fleet.violations().size()));
    printValue("waves.not_run", static_cast<double>(fleet.callerCounts().notRun));
    printValue("waves.records", static_cast<double>(fleet.recordCount() - recordsBefore));
}

} // namespace measure

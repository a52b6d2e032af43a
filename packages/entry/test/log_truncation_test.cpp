// Tests of entry hosts that miss records which the log no longer retains.
#include "fake_fleet.h"

#include <jujubespool/core/hashing.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

enum class gap_cause { restart, pause };

struct truncation_case
{
    const char *name;
    gap_cause cause;
};

const truncation_case CASES[] = {
    { "the process starts after the truncation", gap_cause::restart },
    { "the process is paused during the truncation", gap_cause::pause },
};

// The host with the lowest session identifier publishes the snapshots. The identifiers are random, so the host that misses the records
// has the lowest one with some of these seeds only.
constexpr std::uint64_t SEED_COUNT = 12;

std::string fleetText()
{
    return "data_centers: [east]\n"
           "claim_retention_ms: 60000\n"
           "pools:\n"
           "  - name: p\n"
           "    hosts:\n"
           "      - { name: p0, data_center: east, rack: r0, address: \"p0:1\", slots: 3 }\n"
           "services:\n"
           "  - { name: post, pool: p, max_unavailable_percent: 100, max_run_ms: 400 }\n"
           "teams:\n"
           "  - { name: big, share: 1, limit: 2, keys: ["
        + hashApiKey("key-big") + "] }\n";
}

} // namespace

ParameterizedTestParameters(logTruncation, aHostThatMissesRecordsIsReadyAfterTheNextSnapshot)
{
    return rowsOf(CASES);
}

ParameterizedTest(std::size_t *row, logTruncation, aHostThatMissesRecordsIsReadyAfterTheNextSnapshot)
{
    const truncation_case &testCase = CASES[*row];
    for (std::uint64_t seed = 0; seed < SEED_COUNT; ++seed) {
        fake_fleet fleet(seed, fleetText(), { "east" }, 2);
        if (testCase.cause == gap_cause::restart) {
            fleet.crash(1);
        } else {
            fleet.pause(1);
        }
        // Changes of the configuration make sure that records are missing.
        fleet.publish(0, fleetText() + "# changed\n");
        fleet.run(milliseconds(1000));
        fleet.truncateLogBefore(fleet.recordCount());
        fleet.start(1);
        fleet.resume(1);
        fleet.run(fleet.host(0).settings.logRetention);
        cr_assert(fleet.host(1).node && fleet.host(1).node->isReady(), "%s, seed %zu: expected the host to be ready", testCase.name,
                  static_cast<std::size_t>(seed));
    }
}

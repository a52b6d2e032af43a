// Runs the measurements that are selected on the command line.
#include "measurements.h"

#include <cstdlib>
#include <ctime>
#include <docopt/docopt.h>
#include <map>
#include <sstream>
#include <sys/resource.h>

namespace measure {

std::string makeConfigurationText(const fleet_size &size)
{
    std::string text = "data_centers: [";
    for (int i = 0; i < size.dataCenters; ++i) {
        text += fmt::format("{}dc{}", i == 0 ? "" : ", ", i);
    }
    text += "]\npools:\n";
    for (int pool = 0, host = 0; pool < size.pools; ++pool) {
        text += fmt::format("  - name: p{}\n    hosts:\n", pool);
        const int end = static_cast<int>(static_cast<long>(size.hosts) * (pool + 1) / size.pools);
        for (; host < end; ++host) {
            const int dataCenter = host % size.dataCenters;
            const int rack = host / size.dataCenters / 20;
            text += fmt::format("      - {{ name: h{:05}, data_center: dc{}, rack: r{}, address: \"10.0.{}.{}:80\", slots: {} }}\n", host,
                                dataCenter, rack, host / 250, host % 250, size.slots);
        }
    }
    text += "services:\n";
    for (int pool = 0; pool < size.pools; ++pool) {
        text += fmt::format("  - {{ name: s{0}, pool: p{0}, max_unavailable_percent: 20, max_run_ms: 1000 }}\n", pool);
    }
    text += "teams:\n";
    for (int team = 0; team < size.teams; ++team) {
        text += fmt::format("  - {{ name: t{}, share: {}, limit: {} }}\n", team, team % 7 + 1, 10 + team % 90);
    }
    return text;
}

double processCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double peakMemoryMiB()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) / 1024;
}

} // namespace measure

namespace {

const char USAGE[] = R"(measure - runs the measurements that docs/MEASURES.md describes.

Usage:
  measure [--seed=N] [--only=LIST] [--quick]

Options:
  --seed=N     Seed of all random number generators [default: 1].
  --only=LIST  Comma-separated list of measurements: permits, once, share, retry, waves, placement, replay, detectors, capacity, scale.
  --quick      Runs shorter simulations with fewer seeds.
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace measure;
    auto arguments = docopt::docopt(USAGE, { argv + 1, argv + argc });
    const options selectedOptions{ static_cast<std::uint64_t>(arguments["--seed"].asLong()), arguments["--quick"].asBool() };
    const std::map<std::string, void (*)(const options &)> measurements{ { "permits", measurePermits },     { "once", measureAtMostOnce },
                                                                         { "share", measureShare },         { "retry", measureRetry },
                                                                         { "waves", measureWaves },         { "replay", measureReplay },
                                                                         { "detectors", measureDetectors }, { "capacity", measureCapacity },
                                                                         { "scale", measureScale } };
    std::string selectedNames = "permits,once,share,retry,waves,replay,detectors,capacity,scale";
    if (arguments["--only"]) {
        selectedNames = arguments["--only"].asString();
    }
    std::istringstream stream(selectedNames);
    for (std::string name; std::getline(stream, name, ',');) {
        const auto measurement = measurements.find(name);
        if (measurement == measurements.end()) {
            fmt::print(stderr, "measure: unknown measurement '{}'\n", name);
            return EXIT_FAILURE;
        }
        measurement->second(selectedOptions);
    }
    return EXIT_SUCCESS;
}

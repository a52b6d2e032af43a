// The measurements that docs/MEASURES.md describes. Each prints key=value lines, and its baseline in the same run.
//
//     measurePermits({ .seed = 7, .quick = true });
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <jujubespool/core/configuration.h>
#include <string>

namespace measure {

struct options
{
    std::uint64_t seed = 1;
    // Runs shorter simulations with fewer seeds.
    bool quick = false;
};

void measurePermits(const options &options);
void measureAtMostOnce(const options &options);
void measureShare(const options &options);
void measureRetry(const options &options);
void measureWaves(const options &options);
void measurePlacement(const options &options);
void measureReplay(const options &options);
void measureDetectors(const options &options);
void measureCapacity(const options &options);
void measureScale(const options &options);

struct fleet_size
{
    int hosts = 0;
    int pools = 0;
    int teams = 0;
    int dataCenters = 0;
    // Slots of each host.
    int slots = 8;
};
// Returns a configuration text for a fleet of the given size. Hosts are distributed over the pools, the data centres
// and racks of 20 hosts.
std::string makeConfigurationText(const fleet_size &size);

// The fleet size that is expected in two years, which the design must support.
constexpr fleet_size DESIGN_FLEET_SIZE{ 7400, 147, 460, 13, 8 };

// Returns the CPU time that this process has used so far, in seconds.
double processCpuSeconds();
// Returns the peak resident memory of this process so far, in MiB.
double peakMemoryMiB();

// Prints a line NAME=VALUE with six significant digits.
inline void printValue(const std::string &name, double value)
{
    fmt::print("{}={:.6g}\n", name, value);
}

} // namespace measure

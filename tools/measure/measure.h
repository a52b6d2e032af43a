// The measures of docs/MEASURES.md: each prints key=value lines, with its baseline in the same run.
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <jujubespool/core/configuration.h>
#include <string>

namespace measure {

struct options
{
    std::uint64_t seed = 1;
    // Shorter runs with fewer seeds.
    bool quick = false;
};

void measurePermits(const options &options);
void measureOnce(const options &options);
void measureShare(const options &options);
void measureRetry(const options &options);
void measureWaves(const options &options);
void measurePlacement(const options &options);
void measureReplay(const options &options);
void measureDetectors(const options &options);
void measureCapacity(const options &options);

// Text of a fleet of the given size. Hosts are spread over pools, data centres and racks of 20.
struct fleet_size
{
    int hosts = 0;
    int pools = 0;
    int teams = 0;
    int dataCenters = 0;
    int slots = 8;
};
std::string fleetText(const fleet_size &size);

// The fleet that the design is for.
constexpr fleet_size TWO_YEAR_SIZE{ 7400, 147, 460, 13, 8 };

// Processor time of this thread, in seconds.
double processorSeconds();
// Largest resident memory of this process so far, in MiB.
double peakMemoryMiB();

inline void print(const std::string &name, double value)
{
    fmt::print("{}={:.6g}\n", name, value);
}

} // namespace measure

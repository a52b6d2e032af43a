// Counts the memory allocations of a test, as a measure of work that is the same on each run.
#pragma once

#include <cstdint>

namespace jujubespool {

// Allocations are counted from now on, or no longer.
void countAllocations(bool counted);
// Number of counted allocations of this process.
std::uint64_t countedAllocations();

} // namespace jujubespool

// Time as the decisions of jujubespool see it.
//
// No module of this package reads a clock. Each function that decides takes the present time:
//
//     permits.usable("team/cantons", now);
//
// `instant` counts from an arbitrary start and never goes back; wall time appears only where a
// record or a caller's key carries it, and is then a count of milliseconds since the epoch.
#pragma once

#include <chrono>
#include <cstdint>

namespace jujubespool {

using duration = std::chrono::microseconds;

// Names the clock of an instant. It has no now(), so that no decision can read the time behind its caller's back.
struct decision_clock;

using instant = std::chrono::time_point<decision_clock, duration>;
using wall_ms = std::uint64_t;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace jujubespool

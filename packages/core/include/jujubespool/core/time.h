// Time types.
//
// No module of this package reads a clock. Each function whose result depends on the time takes the
// current time as a parameter, so that tests can control it:
//
//     permits.usable("team/cantons", now);
//
// An `instant` is monotonic and counts from an arbitrary start. Wall-clock time is used only where a
// record or the key of a caller contains it, as milliseconds since the Unix epoch (`wall_ms`).
#pragma once

#include <chrono>
#include <cstdint>

namespace jujubespool {

using duration = std::chrono::microseconds;

// Clock type of `instant`. It has no now(), so that code cannot read the time without a parameter.
struct monotonic_clock_tag;

using instant = std::chrono::time_point<monotonic_clock_tag, duration>;
// Milliseconds since the Unix epoch.
using wall_ms = std::uint64_t;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace jujubespool

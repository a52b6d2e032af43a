// The idempotency keys that callers send.
//
// A key carries the time at which it was issued, because a key whose claim may have been forgotten
// must be refused rather than run. Two forms are understood:
//
//     018f3c5e-7d1a-7c3e-9b1f-2a4d6c8e0f12     a version 7 UUID
//     1718000000000-anything                   milliseconds since the epoch, "-", any text
#pragma once

#include <jujubespool/core/time.h>
#include <optional>
#include <string_view>

namespace jujubespool {

constexpr std::size_t MAX_IDEMPOTENCY_KEY_BYTES = 128;
// Largest difference expected between the wall clocks of two hosts or of a host and a caller.
constexpr milliseconds MAX_CLOCK_SKEW{ 2000 };

// Wall time at which the key was issued, or nothing when it cannot be told.
std::optional<wall_ms> issueTimeOf(std::string_view key);

} // namespace jujubespool

// Parses the idempotency keys that callers send.
//
// A key carries the time at which it was issued, because a key that is older than the retention of claims
// must be refused: its claim may have been deleted. Two forms are accepted:
//
//     018f3c5e-7d1a-7c3e-9b1f-2a4d6c8e0f12     a version 7 UUID
//     1718000000000-anything                   milliseconds since the epoch, "-", any printable text
//
//     const std::optional<wall_ms> issued = issueTimeOf(key);
#pragma once

#include <jujubespool/core/time.h>
#include <optional>
#include <string_view>

namespace jujubespool {

constexpr std::size_t MAX_IDEMPOTENCY_KEY_BYTES = 128;
// Largest difference expected between the wall clocks of two hosts or of a host and a caller.
constexpr milliseconds MAX_CLOCK_SKEW{ 2000 };

// Returns the wall time at which the key was issued, or nothing when the key is too long or has neither form.
std::optional<wall_ms> issueTimeOf(std::string_view key);

} // namespace jujubespool

// Hashes of API keys, idempotency keys and requests.
//
//     hashApiKey("s3cret");                      // SHA-256, for the API key of a team
//     hashParts({ service, team, path, body });  // 128-bit XXH3, for comparing requests
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jujubespool {

// Returns the SHA-256 of an API key in lower-case hexadecimal.
std::string hashApiKey(std::string_view key);

// Returns the 128-bit XXH3 hash of the parts as 16 bytes.
// The boundaries between the parts are hashed too: { "ab", "c" } and { "a", "bc" } have different hashes.
std::string hashParts(std::initializer_list<std::string_view> parts);

// Compares two texts in a time that does not depend on where they differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Number of ranges into which the idempotency keys are divided.
constexpr std::uint32_t CLAIM_RANGE_COUNT = 64;

// Returns the range of an idempotency key, 0 to CLAIM_RANGE_COUNT - 1, from the key's hashParts() value.
std::uint32_t claimRangeOf(std::string_view idempotencyKeyHash);

} // namespace jujubespool

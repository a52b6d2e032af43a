// Hashes of keys and requests.
//
//     hashApiKey("s3cret");                       // SHA-256, for a team's key
//     hashParts(service, team, path, body);  // XXH3 128 bit, for comparing requests
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jujubespool {

// Lower-case hexadecimal SHA-256.
std::string hashApiKey(std::string_view key);

// XXH3 128-bit hash over parts; the boundaries between the parts count.
std::string hashParts(std::initializer_list<std::string_view> parts);

// Compares without a time that depends on where the texts differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Number of ranges into which idempotency keys are divided.
constexpr std::uint32_t CLAIM_RANGE_COUNT = 64;

// The range of a hash that hashParts() returned.
std::uint32_t claimRangeOf(std::string_view keyHash);

} // namespace jujubespool

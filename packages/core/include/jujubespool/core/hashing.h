// Hashes of keys and requests.
//
//     keyHashOf("s3cret");                       // SHA-256, for a team's key
//     requestHashOf(service, team, path, body);  // XXH3 128 bit, for comparing requests
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jujubespool {

// Lower-case hexadecimal SHA-256.
std::string keyHashOf(std::string_view key);

// XXH3 128-bit hash over parts; the boundaries between the parts count.
std::string requestHashOf(std::initializer_list<std::string_view> parts);

// Compares without a time that depends on where the texts differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Number of ranges into which idempotency keys are divided.
constexpr std::uint32_t CLAIM_RANGES = 64;

// The range of a hash that requestHashOf() returned.
std::uint32_t claimRangeOf(std::string_view keyHash);

} // namespace jujubespool

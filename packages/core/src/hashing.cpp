#include <jujubespool/core/hashing.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace jujubespool {

std::string hashApiKey(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    constexpr char DIGITS[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += DIGITS[byte >> 4];
        text += DIGITS[byte & 0xf];
    }
    return text;
}

std::string hashParts(std::initializer_list<std::string_view> parts)
{
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    for (const std::string_view part : parts) {
        const std::uint64_t size = part.size();
        XXH3_128bits_update(state, &size, sizeof size);
        XXH3_128bits_update(state, part.data(), part.size());
    }
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
    XXH3_freeState(state);
    return { reinterpret_cast<const char *>(canonical.digest), sizeof canonical.digest };
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint32_t claimRangeOf(std::string_view idempotencyKeyHash)
{
    return static_cast<unsigned char>(idempotencyKeyHash.at(0)) % CLAIM_RANGE_COUNT;
}

} // namespace jujubespool

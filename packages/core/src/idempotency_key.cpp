#include <jujubespool/core/idempotency_key.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string>

namespace jujubespool {

namespace {

constexpr std::size_t UUID_SIZE = 36;
constexpr std::size_t UUID_VERSION_POSITION = 14;
constexpr std::size_t UUID_TIME_DIGITS = 12;
constexpr std::size_t EPOCH_MS_DIGITS = 13;

std::optional<wall_ms> parseNumber(std::string_view digits, int base)
{
    wall_ms value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, base);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return value;
}

bool isUuid(std::string_view key)
{
    if (key.size() != UUID_SIZE) {
        return false;
    }
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? key[i] != '-' : std::isxdigit(static_cast<unsigned char>(key[i])) == 0) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<wall_ms> issueTimeOf(std::string_view key)
{
    const auto printable = [](char c) {
        return c > ' ' && c <= '~';
    };
    if (key.size() > MAX_IDEMPOTENCY_KEY_BYTES || !std::all_of(key.begin(), key.end(), printable)) {
        return std::nullopt;
    }
    if (isUuid(key)) {
        if (key[UUID_VERSION_POSITION] != '7') {
            return std::nullopt;
        }
        std::string digits(key.substr(0, UUID_TIME_DIGITS + 1));
        digits.erase(8, 1);
        return parseNumber(digits, 16);
    }
    if (key.find('-') != EPOCH_MS_DIGITS || key.size() <= EPOCH_MS_DIGITS + 1) {
        return std::nullopt;
    }
    return parseNumber(key.substr(0, EPOCH_MS_DIGITS), 10);
}

} // namespace jujubespool

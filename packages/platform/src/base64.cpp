#include <jujubespool/platform/base64.h>

#include <openssl/evp.h>

namespace jujubespool {

namespace {

constexpr std::size_t GROUP_BYTES = 3;
constexpr std::size_t GROUP_DIGITS = 4;

} // namespace

std::string encodeBase64(const std::string &bytes)
{
    std::string text((bytes.size() + GROUP_BYTES - 1) / GROUP_BYTES * GROUP_DIGITS + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    if (text.size() % GROUP_DIGITS != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / GROUP_DIGITS * GROUP_BYTES + 1, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < text.size() && padding < 2 && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace jujubespool

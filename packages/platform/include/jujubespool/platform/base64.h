// Base64 as the platform's JSON carries record bytes.
//
//     decodeBase64(encodeBase64(bytes)) == bytes
#pragma once

#include <optional>
#include <string>

namespace jujubespool {

std::string encodeBase64(const std::string &bytes);
std::optional<std::string> decodeBase64(const std::string &text);

} // namespace jujubespool

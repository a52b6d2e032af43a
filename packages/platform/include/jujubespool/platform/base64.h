// Encodes and decodes Base64, which carries the bytes of records in the platform's JSON.
//
//     decodeBase64(encodeBase64(bytes)) == bytes
#pragma once

#include <optional>
#include <string>

namespace jujubespool {

std::string encodeBase64(const std::string &bytes);
// Returns nothing if the text is not valid Base64.
std::optional<std::string> decodeBase64(const std::string &text);

} // namespace jujubespool

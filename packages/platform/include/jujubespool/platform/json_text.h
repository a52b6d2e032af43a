// Parses JSON that another program has written.
//
//     const json body = parseJson(text);
//     if (!body.is_object()) { ... }
//
// Copying and printing a value recurse once for each level of nesting, so a text that nests without bound could end the process. No
// interface of the system needs more than a few levels.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace jujubespool {

constexpr std::size_t MAX_JSON_NESTING = 64;

// Whether arrays and objects nest deeper than the given number of levels. The text need not be valid.
bool nestsDeeperThan(std::string_view text, std::size_t levels);

// Returns a discarded value, which is neither an object nor an array, if the text is not JSON or nests deeper than MAX_JSON_NESTING.
nlohmann::json parseJson(std::string_view text);

} // namespace jujubespool

#include <jujubespool/platform/json_text.h>

namespace jujubespool {

bool nestsDeeperThan(std::string_view text, std::size_t levels)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            // The character after a backslash never ends the string.
            i += character == '\\' ? 1 : 0;
            inString = character != '"';
            continue;
        }
        inString = character == '"';
        if (character == '[' || character == '{') {
            if (++depth > levels) {
                return true;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

nlohmann::json parseJson(std::string_view text)
{
    if (nestsDeeperThan(text, MAX_JSON_NESTING)) {
        return { nlohmann::json::value_t::discarded };
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace jujubespool

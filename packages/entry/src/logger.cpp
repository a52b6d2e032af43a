#include <jujubespool/entry/logger.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace jujubespool {

namespace {

log_level threshold = log_level::info;

std::string quoted(const std::string &value)
{
    const auto plain = [](char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127;
    };
    if (!value.empty() && std::all_of(value.begin(), value.end(), plain)) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

void setLogLevel(log_level level)
{
    threshold = level;
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < threshold) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto ms = now.time_since_epoch().count() % 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, nameOf(level), event);
    for (const log_field &field : fields) {
        line += fmt::format(" {}={}", field.key, quoted(field.value));
    }
    fmt::print(stderr, "{}\n", line);
}

void logFailure(log_level level, std::string_view event, const failure &reason)
{
    logEvent(level, event, { { "step", std::string(nameOf(reason.step)) }, { "peer", reason.peer }, { "reason", reason.reason } });
}

} // namespace jujubespool

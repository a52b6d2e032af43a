// Writes structured logs: for each event, one line of key=value pairs on standard output.
//
//     logEvent(log_level::info, "listening", { { "address", address } });
//
// Values with spaces, quotes or control characters are quoted. API keys must never be logged.
#pragma once

#include <initializer_list>
#include <jujubespool/core/failure.h>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespool {

enum class log_level { debug, info, warning, error };

template <> struct enum_names<log_level>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "debug", "info", "warning", "error" };
};

struct log_field
{
    std::string_view key;
    std::string value;
};

// Sets the minimum level. Events below it are dropped. The default is info.
void setLogLevel(log_level level);

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});
void logEvent(log_level level, std::string_view event, const std::vector<log_field> &fields);

// Buffers all later lines in memory, so that logging never blocks, until flushLog() writes them. Lines that would exceed the maximum
// size of the buffer are dropped, and flushLog() logs their number.
void enableLogBuffering();

// Writes buffered lines as long as standard output accepts them without blocking.
void flushLog();

// Logs the step, the peer and the reason of a failure.
void logFailure(log_level level, std::string_view event, const failure &reason);

} // namespace jujubespool

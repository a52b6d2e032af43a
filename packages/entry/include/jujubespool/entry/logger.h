// Structured logs: one line of key=value pairs on standard output for each event.
//
//     logEvent(log_level::info, "listening", { { "address", address } });
//
// Values with spaces, quotes or control characters are quoted. Keys of teams never appear in logs.
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

// Events below the level are dropped.
void setLogLevel(log_level level);

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});
void logEvent(log_level level, std::string_view event, const std::vector<log_field> &fields);

// From now on lines are collected up to a bound, beyond which they are dropped, until flushLog() hands them over.
void enableLogBuffering();

// Writes collected lines as far as that does not block.
void flushLog();

// Logs a failure with its step, peer and reason.
void logFailure(log_level level, std::string_view event, const failure &reason);

} // namespace jujubespool

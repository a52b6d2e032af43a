#include <jujubespool/entry/logger.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace jujubespool {

namespace {

// Maximum size of the buffered lines while the reader of standard output is slow.
constexpr std::size_t MAX_BUFFERED_BYTES = 262144;
// A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t MAX_WRITE_BYTES = 4096;

log_level minimumLevel = log_level::info;
bool buffering = false;
std::string buffered;
std::uint64_t droppedLines = 0;

std::string quoteIfNeeded(const std::string &value)
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
    minimumLevel = level;
}

void enableLogBuffering()
{
    buffering = true;
}

void flushLog()
{
    while (!buffered.empty()) {
        pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = write(STDOUT_FILENO, buffered.data(), std::min(buffered.size(), MAX_WRITE_BYTES));
        if (written <= 0) {
            return;
        }
        buffered.erase(0, static_cast<std::size_t>(written));
    }
    if (droppedLines > 0) {
        const std::uint64_t lines = std::exchange(droppedLines, 0);
        logEvent(log_level::warning, "log-lines-dropped", { { "lines", std::to_string(lines) } });
    }
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    logEvent(level, event, std::vector<log_field>(fields));
}

void logEvent(log_level level, std::string_view event, const std::vector<log_field> &fields)
{
    if (level < minimumLevel) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto ms = now.time_since_epoch().count() % 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, nameOf(level), event);
    for (const log_field &field : fields) {
        line += fmt::format(" {}={}", field.key, quoteIfNeeded(field.value));
    }
    line += '\n';
    if (!buffering) {
        fmt::print("{}", line);
        std::fflush(stdout);
    } else if (buffered.size() + line.size() > MAX_BUFFERED_BYTES) {
        ++droppedLines;
    } else {
        buffered += line;
    }
}

void logFailure(log_level level, std::string_view event, const failure &reason)
{
    logEvent(level, event, { { "step", std::string(nameOf(reason.step)) }, { "peer", reason.peer }, { "reason", reason.reason } });
}

} // namespace jujubespool

#include <jujubespool/entry/crash_handler.h>

#include <array>
#include <csignal>
#include <execinfo.h>
#include <fmt/format.h>
#include <jujubespool/entry/logger.h>
#include <unistd.h>

namespace jujubespool {

namespace {

constexpr int MAX_FRAMES = 24;
constexpr std::size_t MAX_LINE_BYTES = 1024;

void onCrashSignal(int signal)
{
    flushLog();
    std::array<void *, MAX_FRAMES> frames{};
    const int count = backtrace(frames.data(), MAX_FRAMES);
    std::array<char, MAX_LINE_BYTES> line{};
    auto end = fmt::format_to_n(line.data(), MAX_LINE_BYTES, "level=error event=crash signal={} frames=", signal).out;
    for (int i = 0; i < count; ++i) {
        end = fmt::format_to_n(end, line.data() + MAX_LINE_BYTES - end, "{}{}", i == 0 ? "" : ",", frames[static_cast<std::size_t>(i)]).out;
    }
    end = fmt::format_to_n(end, line.data() + MAX_LINE_BYTES - end, "\n").out;
    const ssize_t written = write(STDOUT_FILENO, line.data(), static_cast<std::size_t>(end - line.data()));
    static_cast<void>(written);
    // SA_RESETHAND has restored the default action, which ends the process.
    raise(signal);
}

} // namespace

void installCrashHandler()
{
    // The first call of backtrace() loads a shared library, which is not safe in a signal handler.
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1);
    for (const int signal : { SIGSEGV, SIGBUS, SIGABRT }) {
        struct sigaction action
        {
        };
        action.sa_handler = onCrashSignal;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
        sigaction(signal, &action, nullptr);
    }
}

} // namespace jujubespool

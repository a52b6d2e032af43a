#include <jujubespool/entry/crash_log.h>

#include <array>
#include <csignal>
#include <execinfo.h>
#include <jujubespool/entry/logger.h>
#include <unistd.h>

namespace jujubespool {

namespace {

constexpr int MAX_FRAMES = 40;

void onCrash(int signal)
{
    flushLog();
    std::array<void *, MAX_FRAMES> frames{};
    const int count = backtrace(frames.data(), MAX_FRAMES);
    backtrace_symbols_fd(frames.data(), count, STDOUT_FILENO);
    // The default action was restored when the signal was delivered.
    raise(signal);
}

} // namespace

void logCrashes()
{
    // The first call loads what it needs, which a handler must not do.
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1);
    for (const int signal : { SIGSEGV, SIGBUS, SIGABRT }) {
        struct sigaction action{};
        action.sa_handler = onCrash;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
        sigaction(signal, &action, nullptr);
    }
}

} // namespace jujubespool

// Logs a stack trace when the process crashes.
//
//     installCrashHandler();
//
// The log line contains code addresses. `addr2line -e jujubespoold` maps them to source lines.
#pragma once

namespace jujubespool {

// Installs signal handlers for SIGSEGV, SIGBUS and SIGABRT, which log the event "crash" and then end the process.
void installCrashHandler();

} // namespace jujubespool

// Logs where the process was when it failed, before it ends.
//
//     installCrashHandler();
//
// The line names code addresses; `addr2line -e jujubespoold` turns them into places in the sources.
#pragma once

namespace jujubespool {

void installCrashHandler();

} // namespace jujubespool

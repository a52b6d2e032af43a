// Logs where the process was when it failed, before it ends.
//
//     logCrashes();
//
// The line names code addresses; `addr2line -e jujubespoold` turns them into places in the sources.
#pragma once

namespace jujubespool {

void logCrashes();

} // namespace jujubespool

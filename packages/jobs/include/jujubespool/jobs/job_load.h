// The CPU that a job currently uses and the CPU that it waits for.
//
//     const job_load load = loadOf(current);
//
// Best-effort tasks do not count, because they use only CPU that other tasks leave unused.
#pragma once

#include <jujubespool/jobs/job.h>

namespace jujubespool {

// CPU in thousandths of a core.
struct job_load
{
    // CPU of the assigned tasks.
    std::int64_t usedMillis = 0;
    // CPU of the waiting tasks whose step is ready.
    std::int64_t waitingMillis = 0;
};

job_load loadOf(const job &current);

} // namespace jujubespool

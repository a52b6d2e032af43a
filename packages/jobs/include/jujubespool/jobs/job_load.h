// What a job uses and waits for at the moment.
//
//     const job_load load = loadOf(item);
//
// Tasks that fill count with nothing, since they take only what others leave.
#pragma once

#include <jujubespool/jobs/job.h>

namespace jujubespool {

// Processors in thousandths.
struct job_load
{
    std::int64_t usedMillis = 0;
    // Of tasks whose turn has come.
    std::int64_t waitingMillis = 0;
};

job_load loadOf(const job &item);

} // namespace jujubespool

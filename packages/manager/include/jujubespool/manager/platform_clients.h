// The platform as a manager process uses it; main() provides the clients of platform/.
#pragma once

#include <jujubespool/jobs/caller_codec.h>
#include <jujubespool/jobs/job_manager.h>

namespace jujubespool {

struct platform_clients
{
    ledger_store &ledger;
    feed_store &feeds;
    worker_gateway &workers;
    host_gateway &hosts;
    policy_gateway &advice;
    wave_status_publisher &status;
    const caller_codec &codec;
};

} // namespace jujubespool

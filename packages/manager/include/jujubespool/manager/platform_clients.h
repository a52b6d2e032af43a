// The interfaces through which a manager process uses the platform. The adapter in platform/ implements them.
//
//     const platform_clients clients{ store, store, workers, hosts, policy, store, codec };
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
    policy_gateway &policy;
    wave_status_publisher &waveStatus;
    const caller_codec &codec;
};

} // namespace jujubespool

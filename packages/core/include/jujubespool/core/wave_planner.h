// Plans maintenance waves and roll-outs within the availability budgets.
//
//     const wave_plan plan = planWave(state, hosts, durations);   // before the wave starts
//     for (const std::string &host : hostsToDrain(state, wave)) {
//         proposeDrain(host);
//     }
//
// From each pool, as many hosts leave service at the same time as its budget allows after unplanned
// failures, rack by rack. Pools do not wait for each other. As soon as a host returns, the next host of
// its pool can be drained.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <string>
#include <vector>

namespace jujubespool {

struct wave_step_durations
{
    // Expected time from the start of the drain until the last request has finished.
    milliseconds drain{ 2000 };
    // Expected time of the reboot and of the health check after it.
    milliseconds reboot{ 60000 };
};

// Hosts that are out of service at the same time.
struct wave_round
{
    std::vector<std::string> hosts;
};

struct wave_plan
{
    std::vector<wave_round> rounds;
    // Hosts that are in no round, because the budget of their pool allows no host to leave service.
    std::vector<std::string> undrainableHosts;
    milliseconds predictedDuration{ 0 };
    // Smallest number of rounds that the budgets allow; the pool that needs the most rounds determines it.
    std::size_t minRounds = 0;
};

wave_plan planWave(const fleet_state &state, const std::vector<std::string> &hosts, const wave_step_durations &durations);

// Returns the hosts of the wave that may be drained now, in the order in which to drain them.
std::vector<std::string> hostsToDrain(const fleet_state &state, const wave_status &wave);

// Returns why the wave makes no progress, or std::nullopt when it does.
std::optional<std::string> waveBlockedReason(const fleet_state &state, const wave_status &wave, bool logAvailable);

// Spare capacity that keeps a pool within its budget when its largest rack fails during a wave.
struct spare_capacity_plan
{
    std::string pool;
    // Number of hosts in the pool.
    std::uint32_t hosts = 0;
    // Number of hosts in the rack that has the most hosts of the pool.
    std::uint32_t worstRack = 0;
    // Number of hosts that may be out of service at the same time.
    std::uint32_t allowed = 0;
    // Number of hosts to keep in the spare pool for this pool.
    std::uint32_t reserve = 0;
};

// Returns the plan of each pool. The spare pool needs only the largest reserve, because racks are assumed to
// fail one at a time.
std::vector<spare_capacity_plan> planSpareCapacity(const fleet_state &state);

} // namespace jujubespool

// Plans maintenance waves and roll-outs under the availability budgets.
//
//     const wave_plan plan = planWave(state, hosts, times);   // before anything moves
//     for (const std::string &host : hostsToDrain(state, wave)) { propose a drain of the host }
//
// Every pool takes out as many hosts as its budget leaves after its unplanned failures, rack by rack, and
// pools do not wait for each other. A returned host makes room for the next one at once.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <string>
#include <vector>

namespace jujubespool {

struct wave_step_durations
{
    // Expected time from the drain until the last request has finished.
    milliseconds drain{ 2000 };
    // Expected time of the reboot and the health gate.
    milliseconds reboot{ 60000 };
};

struct wave_round
{
    std::vector<std::string> hosts;
};

struct wave_plan
{
    std::vector<wave_round> rounds;
    // Hosts that no round can hold, because their pool's budget permits none to leave.
    std::vector<std::string> undrainableHosts;
    milliseconds predictedDuration{ 0 };
    // Rounds that the budgets enforce on the pool that needs the most.
    std::size_t minRounds = 0;
};

wave_plan planWave(const fleet_state &state, const std::vector<std::string> &hosts, const wave_step_durations &times);

// Hosts of the wave that may be drained now, in the order in which they should be.
std::vector<std::string> hostsToDrain(const fleet_state &state, const wave_status &wave);

// Why the wave does not go on, or nothing when it does.
std::optional<std::string> waveBlockedReason(const fleet_state &state, const wave_status &wave, bool logAvailable);

// Hosts that must stand ready in a pool so that its budget holds when its worst rack fails during a wave.
struct spare_capacity_plan
{
    std::string pool;
    std::uint32_t hosts = 0;
    std::uint32_t worstRack = 0;
    std::uint32_t allowed = 0;
    // Hosts to hold in the spare pool for this one.
    std::uint32_t reserve = 0;
};

// The reserve of each pool. The spare pool needs the largest of them, since one rack fails at a time.
std::vector<spare_capacity_plan> planSpareCapacity(const fleet_state &state);

} // namespace jujubespool

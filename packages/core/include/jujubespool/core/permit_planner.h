// Decides which permits an entry host takes, hands over and gives back on the log.
//
//     const permit_plan plan = planPermits(state, self, permits, false, now);
//     propose(plan.take);
//
// Every host computes the same target for every session: an even part of each limit, the remainder
// by rendezvous hashing. A host takes what is unassigned up to its own target and gives what it
// holds above it, so that the plans of several hosts agree without talking to each other.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <jujubespool/core/permit_tracker.h>
#include <vector>

namespace jujubespool {

struct permit_plan
{
    wire::permit_take take;
    std::vector<wire::permit_give> gives;

    bool empty() const
    {
        return take.entries_size() == 0 && gives.empty();
    }
};

// With leaving, hands over everything that is not in use.
permit_plan planPermits(const fleet_state &state, session_id self, const permit_tracker &permits, bool leaving, instant now);

// Part of an account's limit that belongs to the session when all of the eligible sessions share it.
std::uint32_t permitTarget(const std::string &resource, std::uint32_t limit, const std::vector<session_id> &eligible, session_id session);

} // namespace jujubespool

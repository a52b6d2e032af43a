// Plans which permits an entry host takes, transfers to other sessions and releases through the log.
//
//     const permit_plan plan = planPermits(state, self, permits, false, now);
//     propose(plan.take);
//
// Every host computes the same target for every session: an equal part of each limit, with the remainder
// assigned by rendezvous hashing. A host takes unassigned permits up to its own target and transfers what it
// holds above it, so the plans of the hosts agree without communication between them.
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

// Plans for the session `self`. When `leaving` is set, the session's targets are 0, so it transfers or releases all permits
// that are not in use.
permit_plan planPermits(const fleet_state &state, session_id self, const permit_tracker &permits, bool leaving, instant now);

// Returns the session's part of a resource's limit when all eligible sessions share it. `eligible` is not empty.
std::uint32_t permitTarget(const std::string &resource, std::uint32_t limit, const std::vector<session_id> &eligible, session_id session);

} // namespace jujubespool

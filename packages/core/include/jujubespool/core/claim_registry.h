// Decides which entry host may run the request of an idempotency key.
//
// The keys are divided into ranges. On the ledger each range is held by one session, its owner, which
// alone decides on its keys, with the log or without it:
//
//     const claim_decision decision = registry.decide(claim, state, permits, wall, now);
//     if (decision.verdict == claim_verdict::first) { ... decision.runner dispatches the request ... }
//
// Claims go to the log afterwards, so that later owners know them. When an owner dies, claims that
// had not reached the log are lost with it; the record that frees its ranges therefore carries a
// fence, and keys issued up to the fence whose claim is not known are answered `unknown` and never run.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <jujubespool/core/permit_tracker.h>
#include <unordered_map>

namespace jujubespool {

struct claim_decision
{
    wire::claim_verdict verdict = wire::CLAIM_VERDICT_UNSPECIFIED;
    session_id runner = NO_SESSION;
};

class claim_registry
{
public:
    explicit claim_registry(session_id self);

    // Decides on a claim, which names the asking session as its runner.
    claim_decision decide(const wire::claim &wanted, const fleet_state &state, const permit_tracker &permits, wall_ms wall, instant now);

    // Whether this host may decide on the key now.
    bool owns(const std::string &keyHash, const fleet_state &state, const permit_tracker &permits, instant now) const;

    // Claims that wait for the log, at most limit of them. They count as proposed from then on.
    wire::claim_batch takeUnlogged(std::size_t limit);

    // A batch of claims was read back from the log.
    void onLogged(const wire::claim_batch &batch);

    std::size_t unlogged() const
    {
        return m_queue.size();
    }

    // Whether every claim of this host is on the log.
    bool allClaimsLogged() const
    {
        return m_local.empty();
    }

private:
    session_id m_self;
    std::unordered_map<std::string, wire::claim> m_local;
    std::vector<std::string> m_queue;
};

// Session that owns the key's range, or NO_SESSION.
session_id claimOwnerOf(const std::string &keyHash, const fleet_state &state);

} // namespace jujubespool

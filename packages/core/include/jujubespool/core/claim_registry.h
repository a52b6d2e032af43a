// Decides which entry host may run the request of an idempotency key.
//
// The keys are divided into ranges. The permit allocations assign each range to one session, its owner, which
// alone decides on the claims of its keys, also while the log is not available:
//
//     const claim_decision decision = registry.decide(claim, state, permits, wall, now);
//     if (decision.verdict == wire::CLAIM_VERDICT_FIRST) { ... decision.runner dispatches the request ... }
//
// Granted claims are appended to the log afterwards, so that later owners read them. When an owner crashes, the
// claims that were not yet on the log are lost. The record that frees its ranges therefore carries a
// fence, and a key that was issued up to the fence and has no claim on the log gets the verdict `unknown` and never runs.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <jujubespool/core/permit_tracker.h>
#include <unordered_map>

namespace jujubespool {

struct claim_decision
{
    wire::claim_verdict verdict = wire::CLAIM_VERDICT_UNSPECIFIED;
    // Session that runs the request of the key; NO_SESSION when the verdict names none.
    session_id runner = NO_SESSION;
};

class claim_registry
{
public:
    explicit claim_registry(session_id self);

    // Decides on a claim, which names the session that sends it as the runner.
    claim_decision decide(const wire::claim &claim, const fleet_state &state, const permit_tracker &permits, wall_ms wall, instant now);

    // Whether this host may decide on claims of the key now.
    bool owns(const std::string &keyHash, const fleet_state &state, const permit_tracker &permits, instant now) const;

    // Removes and returns at most limit granted claims that were not yet proposed to the log.
    wire::claim_batch takeUnlogged(std::size_t limit);

    // Handles a batch of claims that was read back from the log.
    void onLogged(const wire::claim_batch &batch);

    // Number of granted claims that were not yet proposed to the log.
    std::size_t unlogged() const
    {
        return m_unlogged.size();
    }

    // Whether every claim that this host granted was read back from the log.
    bool allClaimsLogged() const
    {
        return m_pending.empty();
    }

private:
    session_id m_self;
    // Granted claims that were not yet read back from the log, by key hash.
    std::unordered_map<std::string, wire::claim> m_pending;
    // Key hashes of the granted claims that were not yet proposed to the log.
    std::vector<std::string> m_unlogged;
};

// Returns the session that owns the key's range, or NO_SESSION.
session_id claimOwnerOf(const std::string &keyHash, const fleet_state &state);

} // namespace jujubespool

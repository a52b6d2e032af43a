#include <jujubespool/core/claim_registry.h>

#include <algorithm>
#include <jujubespool/core/hashing.h>
#include <jujubespool/core/idempotency_key.h>

namespace jujubespool {

namespace {

claim_decision decideRepeat(const wire::claim &granted, const wire::claim &claim)
{
    if (granted.fingerprint() != claim.fingerprint()) {
        return { wire::CLAIM_VERDICT_MISMATCH, NO_SESSION };
    }
    if (granted.runner() == claim.runner() && granted.nonce() == claim.nonce()) {
        return { wire::CLAIM_VERDICT_FIRST, granted.runner() };
    }
    return { wire::CLAIM_VERDICT_REPEATED, granted.runner() };
}

bool isTooOld(const wire::claim &claim, const fleet_state &state, wall_ms wall)
{
    const auto retention = static_cast<wall_ms>(state.config().claimRetention.count());
    const auto skew = static_cast<wall_ms>(MAX_CLOCK_SKEW.count());
    return claim.issued_ms() + retention < wall || claim.issued_ms() > wall + skew;
}

} // namespace

claim_registry::claim_registry(session_id self)
    : m_self(self)
{
}

bool claim_registry::owns(const std::string &keyHash, const fleet_state &state, const permit_tracker &permits, instant now) const
{
    const std::string range = rangeResource(claimRangeOf(keyHash));
    return state.isLive(m_self) && permits.usable(range, state.permitAllocations(), now) > 0;
}

claim_decision claim_registry::decide(const wire::claim &claim, const fleet_state &state, const permit_tracker &permits, wall_ms wall,
                                      instant now)
{
    if (!owns(claim.key_hash(), state, permits, now)) {
        return { wire::CLAIM_VERDICT_NOT_OWNER, NO_SESSION };
    }
    const auto pending = m_pending.find(claim.key_hash());
    if (pending != m_pending.end()) {
        return decideRepeat(pending->second, claim);
    }
    if (const wire::claim *logged = state.findClaim(claim.key_hash())) {
        return decideRepeat(*logged, claim);
    }
    if (isTooOld(claim, state, wall)) {
        return { wire::CLAIM_VERDICT_TOO_OLD, NO_SESSION };
    }
    if (claim.issued_ms() <= state.claimRangeFence(claimRangeOf(claim.key_hash()))) {
        return { wire::CLAIM_VERDICT_UNKNOWN, NO_SESSION };
    }
    m_pending.emplace(claim.key_hash(), claim);
    m_unlogged.push_back(claim.key_hash());
    return { wire::CLAIM_VERDICT_FIRST, claim.runner() };
}

wire::claim_batch claim_registry::takeUnlogged(std::size_t limit)
{
    wire::claim_batch batch;
    const std::size_t count = std::min(limit, m_unlogged.size());
    for (std::size_t i = 0; i < count; ++i) {
        *batch.add_claims() = m_pending.at(m_unlogged[i]);
    }
    m_unlogged.erase(m_unlogged.begin(), m_unlogged.begin() + static_cast<std::ptrdiff_t>(count));
    return batch;
}

void claim_registry::onLogged(const wire::claim_batch &batch)
{
    for (const wire::claim &claim : batch.claims()) {
        m_pending.erase(claim.key_hash());
    }
}

session_id claimOwnerOf(const std::string &keyHash, const fleet_state &state)
{
    const resource_allocation *allocation = state.permitAllocations().find(rangeResource(claimRangeOf(keyHash)));
    return allocation == nullptr || allocation->holdings.empty() ? NO_SESSION : allocation->holdings.front().session;
}

} // namespace jujubespool

#include <jujubespool/core/claim_registry.h>

#include <algorithm>
#include <jujubespool/core/hashing.h>
#include <jujubespool/core/idempotency_key.h>

namespace jujubespool {

namespace {

claim_decision repeated(const wire::claim &first, const wire::claim &wanted)
{
    if (first.fingerprint() != wanted.fingerprint()) {
        return { wire::CLAIM_VERDICT_MISMATCH, NO_SESSION };
    }
    if (first.runner() == wanted.runner() && first.nonce() == wanted.nonce()) {
        return { wire::CLAIM_VERDICT_FIRST, first.runner() };
    }
    return { wire::CLAIM_VERDICT_REPEATED, first.runner() };
}

bool isTooOld(const wire::claim &wanted, const fleet_state &state, wall_ms wall)
{
    const auto retention = static_cast<wall_ms>(state.config().claimRetention.count());
    const auto skew = static_cast<wall_ms>(MAX_CLOCK_SKEW.count());
    return wanted.issued_ms() + retention < wall || wanted.issued_ms() > wall + skew;
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

claim_decision claim_registry::decide(const wire::claim &wanted, const fleet_state &state, const permit_tracker &permits, wall_ms wall,
                                      instant now)
{
    if (!owns(wanted.key_hash(), state, permits, now)) {
        return { wire::CLAIM_VERDICT_NOT_OWNER, NO_SESSION };
    }
    const auto local = m_local.find(wanted.key_hash());
    if (local != m_local.end()) {
        return repeated(local->second, wanted);
    }
    if (const wire::claim *logged = state.findClaim(wanted.key_hash())) {
        return repeated(*logged, wanted);
    }
    if (isTooOld(wanted, state, wall)) {
        return { wire::CLAIM_VERDICT_TOO_OLD, NO_SESSION };
    }
    if (wanted.issued_ms() <= state.claimRangeFence(claimRangeOf(wanted.key_hash()))) {
        return { wire::CLAIM_VERDICT_UNKNOWN, NO_SESSION };
    }
    m_local.emplace(wanted.key_hash(), wanted);
    m_queue.push_back(wanted.key_hash());
    return { wire::CLAIM_VERDICT_FIRST, wanted.runner() };
}

wire::claim_batch claim_registry::takeUnlogged(std::size_t limit)
{
    wire::claim_batch batch;
    const std::size_t count = std::min(limit, m_queue.size());
    for (std::size_t i = 0; i < count; ++i) {
        *batch.add_claims() = m_local.at(m_queue[i]);
    }
    m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count));
    return batch;
}

void claim_registry::onLogged(const wire::claim_batch &batch)
{
    for (const wire::claim &claim : batch.claims()) {
        m_local.erase(claim.key_hash());
    }
}

session_id claimOwnerOf(const std::string &keyHash, const fleet_state &state)
{
    const resource_allocation *account = state.permitAllocations().find(rangeResource(claimRangeOf(keyHash)));
    return account == nullptr || account->holdings.empty() ? NO_SESSION : account->holdings.front().session;
}

} // namespace jujubespool

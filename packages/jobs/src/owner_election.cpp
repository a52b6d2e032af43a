#include <jujubespool/jobs/owner_election.h>

namespace jujubespool {

namespace {

// A process that has lost its ownership leaves the next claims to others for this long.
constexpr milliseconds LOSER_PAUSE{ 1500 };

} // namespace

void owner_election::recordHeartbeat(std::uint64_t epoch, milliseconds storeSilent, instant now)
{
    if (epoch < m_epoch) {
        return;
    }
    m_epoch = epoch;
    m_lastBeat = now;
    m_storeSilent = storeSilent;
    m_free = false;
    m_handover = false;
    if (storeSilent < OWNER_STORE_TIMEOUT) {
        m_ledgerEnd.reset();
    }
}

void owner_election::recordPeer(std::uint64_t id, bool suspects, instant now)
{
    m_peers[id] = { suspects, now };
}

void owner_election::recordLedgerRead(std::uint64_t end, bool ownerResigned, bool ownerKnown, instant now)
{
    if (!m_ledgerEnd || *m_ledgerEnd != end) {
        m_ledgerEndSince = now;
    }
    m_ledgerEnd = end;
    m_ledgerAnsweredAt = now;
    m_free = ownerResigned || !ownerKnown;
    m_neverOwned = !ownerKnown;
}

void owner_election::recordHandoverRequest(instant)
{
    m_handover = true;
}

void owner_election::recordOwnershipLost(instant now)
{
    m_ledgerEnd.reset();
    m_handover = false;
    m_free = false;
    m_notBefore = now + LOSER_PAUSE;
}

bool owner_election::receivesHeartbeats(instant now) const
{
    return m_lastBeat && now - *m_lastBeat < OWNER_HEARTBEAT_TIMEOUT;
}

bool owner_election::suspectsOwner(instant now) const
{
    return !receivesHeartbeats(now) || m_storeSilent >= OWNER_STORE_TIMEOUT;
}

duration owner_election::patience() const
{
    const duration ranked = RANK_DELAY * m_rank.value_or(0);
    return m_neverOwned ? ranked + FIRST_CLAIM_DELAY : ranked;
}

bool owner_election::majoritySuspects(instant now) const
{
    int heard = 1;
    int suspecting = 1;
    for (const auto &[id, entry] : m_peers) {
        if (now - entry.heardAt < PEER_TIMEOUT) {
            ++heard;
            suspecting += entry.suspects ? 1 : 0;
        }
    }
    return heard > 2 && suspecting * 2 > static_cast<int>(m_peers.size()) + 1;
}

election_action owner_election::next(instant now)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
    }
    if (m_handover && now >= m_notBefore) {
        return election_action::claim;
    }
    if (!suspectsOwner(now) || now < m_notBefore || (!m_rank && now - m_startedAt < UNRANKED_CLAIM_DELAY)) {
        return election_action::none;
    }
    if (m_ledgerEnd) {
        const duration quiet = m_ledgerAnsweredAt - m_ledgerEndSince;
        if (m_free && now - m_ledgerEndSince >= patience()) {
            return election_action::claim;
        }
        const milliseconds least = receivesHeartbeats(now) ? LEDGER_IDLE_TIMEOUT_REPORTED : LEDGER_IDLE_TIMEOUT;
        if (quiet >= least + patience()) {
            return election_action::claim;
        }
        const bool longSilent = !m_lastBeat || now - *m_lastBeat >= MAJORITY_SUSPICION_TIMEOUT + patience();
        if (longSilent && now - m_startedAt >= MAJORITY_SUSPICION_TIMEOUT && majoritySuspects(now)) {
            return election_action::claim;
        }
    }
    if (now - m_ledgerReadAt >= LEDGER_READ_INTERVAL) {
        m_ledgerReadAt = now;
        return election_action::read_ledger;
    }
    return election_action::none;
}

} // namespace jujubespool

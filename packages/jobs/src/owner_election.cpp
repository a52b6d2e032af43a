#include <jujubespool/jobs/owner_election.h>

namespace jujubespool {

namespace {

// A process that has lost its ownership leaves claims to others for this long.
constexpr milliseconds CLAIM_PAUSE_AFTER_LOSS{ 1500 };
// Longer than the interval between two reads and their duration.
constexpr milliseconds LEDGER_ANSWER_VALIDITY{ 400 };

} // namespace

void owner_election::recordHeartbeat(std::uint64_t epoch, milliseconds storeUnresponsive, instant now)
{
    if (epoch < m_epoch) {
        return;
    }
    m_epoch = epoch;
    m_lastHeartbeat = now;
    m_ownerStoreUnresponsive = storeUnresponsive;
    m_unowned = false;
    m_handoverRequested = false;
    if (storeUnresponsive < OWNER_STORE_TIMEOUT) {
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
    m_unowned = ownerResigned || !ownerKnown;
    m_neverOwned = !ownerKnown;
}

void owner_election::recordHandoverRequest(instant)
{
    m_handoverRequested = true;
}

void owner_election::recordOwnershipLost(instant now)
{
    m_ledgerEnd.reset();
    m_handoverRequested = false;
    m_unowned = false;
    m_notBefore = now + CLAIM_PAUSE_AFTER_LOSS;
}

bool owner_election::receivesHeartbeats(instant now) const
{
    return m_lastHeartbeat && now - *m_lastHeartbeat < OWNER_HEARTBEAT_TIMEOUT;
}

bool owner_election::suspectsOwner(instant now) const
{
    return !receivesHeartbeats(now) || m_ownerStoreUnresponsive >= OWNER_STORE_TIMEOUT;
}

duration owner_election::claimDelay() const
{
    const duration ranked = RANK_DELAY * m_rank.value_or(0);
    return m_neverOwned ? ranked + FIRST_CLAIM_DELAY : ranked;
}

bool owner_election::majoritySuspects(instant now) const
{
    int responsive = 1;
    int suspecting = 1;
    for (const auto &[id, entry] : m_peers) {
        if (now - entry.lastMessageAt < PEER_TIMEOUT) {
            ++responsive;
            suspecting += entry.suspects ? 1 : 0;
        }
    }
    return responsive > 2 && suspecting * 2 > static_cast<int>(m_peers.size()) + 1;
}

bool owner_election::mayClaim(instant now) const
{
    if (!m_ledgerEnd) {
        return false;
    }
    if (m_unowned && now - m_ledgerEndSince >= claimDelay()) {
        return true;
    }
    const duration unchangedFor = m_ledgerAnsweredAt - m_ledgerEndSince;
    const milliseconds minUnchanged = receivesHeartbeats(now) ? LEDGER_IDLE_TIMEOUT_REPORTED : LEDGER_IDLE_TIMEOUT;
    if (unchangedFor >= minUnchanged + claimDelay()) {
        return true;
    }
    const bool heartbeatsMissing = !m_lastHeartbeat || now - *m_lastHeartbeat >= MAJORITY_SUSPICION_TIMEOUT + claimDelay();
    return heartbeatsMissing && now - m_startedAt >= MAJORITY_SUSPICION_TIMEOUT && majoritySuspects(now);
}

bool owner_election::expectsToClaim(instant now) const
{
    const bool storeAnswers = m_ledgerEnd && now - m_ledgerAnsweredAt < LEDGER_ANSWER_VALIDITY;
    return m_rank == 0 && now >= m_notBefore && suspectsOwner(now) && storeAnswers && m_ledgerAnsweredAt > m_ledgerEndSince;
}

election_action owner_election::next(instant now)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
    }
    if (m_handoverRequested && now >= m_notBefore) {
        return election_action::claim;
    }
    if (now < m_notBefore || (!m_rank && now - m_startedAt < UNRANKED_CLAIM_DELAY)) {
        return election_action::none;
    }
    if (suspectsOwner(now) && mayClaim(now)) {
        return election_action::claim;
    }
    const bool candidate = m_rank.value_or(0) < MAX_CANDIDATES;
    const bool heartbeatLate = !m_lastHeartbeat || now - *m_lastHeartbeat >= LEDGER_READ_AFTER;
    if (!suspectsOwner(now) && !(candidate && heartbeatLate)) {
        return election_action::none;
    }
    if (now - m_ledgerReadAt >= (candidate ? LEDGER_READ_INTERVAL : BACKUP_LEDGER_READ_INTERVAL)) {
        m_ledgerReadAt = now;
        return election_action::read_ledger;
    }
    return election_action::none;
}

} // namespace jujubespool

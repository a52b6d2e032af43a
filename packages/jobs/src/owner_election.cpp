#include <jujubespool/jobs/owner_election.h>

namespace jujubespool {

namespace {

// A process that has lost its ownership leaves the next claims to others for this long.
constexpr milliseconds LOSER_PAUSE{ 1500 };

} // namespace

void owner_election::noteBeat(std::uint64_t epoch, milliseconds storeSilent, instant now)
{
    if (epoch < m_epoch) {
        return;
    }
    m_epoch = epoch;
    m_lastBeat = now;
    m_storeSilent = storeSilent;
    m_free = false;
    m_handover = false;
    if (storeSilent < STORE_SUSPICION) {
        m_ledgerEnd.reset();
    }
}

void owner_election::notePeer(std::uint64_t id, bool suspects, instant now)
{
    m_peers[id] = { suspects, now };
}

void owner_election::noteLedger(std::uint64_t end, bool ownerResigned, bool ownerKnown, instant now)
{
    if (!m_ledgerEnd || *m_ledgerEnd != end) {
        m_ledgerEndSince = now;
    }
    m_ledgerEnd = end;
    m_ledgerAnsweredAt = now;
    m_free = ownerResigned || !ownerKnown;
    m_neverOwned = !ownerKnown;
}

void owner_election::noteHandover(instant)
{
    m_handover = true;
}

void owner_election::noteLost(instant now)
{
    m_ledgerEnd.reset();
    m_handover = false;
    m_free = false;
    m_notBefore = now + LOSER_PAUSE;
}

bool owner_election::hearsOwner(instant now) const
{
    return m_lastBeat && now - *m_lastBeat < OWNER_SUSPICION;
}

bool owner_election::suspects(instant now) const
{
    return !hearsOwner(now) || m_storeSilent >= STORE_SUSPICION;
}

duration owner_election::patience() const
{
    const duration ranked = RANK_DELAY * m_rank.value_or(0);
    return m_neverOwned ? ranked + FIRST_START_WAIT : ranked;
}

bool owner_election::majoritySuspects(instant now) const
{
    int heard = 1;
    int suspecting = 1;
    for (const auto &[id, entry] : m_peers) {
        if (now - entry.heardAt < PEER_SILENCE) {
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
    if (!suspects(now) || now < m_notBefore || (!m_rank && now - m_startedAt < UNRANKED_PATIENCE)) {
        return election_action::none;
    }
    if (m_ledgerEnd) {
        const duration quiet = m_ledgerAnsweredAt - m_ledgerEndSince;
        if (m_free && now - m_ledgerEndSince >= patience()) {
            return election_action::claim;
        }
        const milliseconds least = hearsOwner(now) ? LEDGER_QUIET_TOLD : LEDGER_QUIET;
        if (quiet >= least + patience()) {
            return election_action::claim;
        }
        const bool longSilent = !m_lastBeat || now - *m_lastBeat >= MAJORITY_SUSPICION + patience();
        if (longSilent && now - m_startedAt >= MAJORITY_SUSPICION && majoritySuspects(now)) {
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

// Decides when a process tries to become the owner of the jobs.
//
//     owner_election election;
//     election.setRank(rank);
//     election.recordHeartbeat(epoch, storeSilent, now);
//     if (election.next(now) == election_action::claim) { ... }
//
// The ledger decides who owns: a claim is an append at the ledger's end with a higher epoch, which fences the
// former owner. So a wrong suspicion does no harm but a change of owner. A process claims when it does not
// hear the owner and either the ledger stands still, or most processes that it hears do not hear the owner.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <map>
#include <optional>

namespace jujubespool {

enum class election_action { none, read_ledger, claim };

template <> struct enum_names<election_action>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "none", "read-ledger", "claim" };
};

// The owner's silence after which it is suspected.
constexpr milliseconds OWNER_HEARTBEAT_TIMEOUT{ 450 };
// The owner's own silence of the store after which it is not trusted to record anything.
constexpr milliseconds OWNER_STORE_TIMEOUT{ 700 };
// The ledger has to stand still for this long; a working owner writes more often.
constexpr milliseconds LEDGER_IDLE_TIMEOUT{ 600 };
// The same when the owner itself says that the store does not answer it.
constexpr milliseconds LEDGER_IDLE_TIMEOUT_REPORTED{ 300 };
constexpr milliseconds OWNER_RENEWAL_INTERVAL{ 400 };
constexpr milliseconds LEDGER_READ_INTERVAL{ 250 };
// Each rank waits this much longer, so that claims rarely race.
constexpr milliseconds RANK_DELAY{ 120 };
// Silence of the owner after which most processes may replace it although it still writes.
constexpr milliseconds MAJORITY_SUSPICION_TIMEOUT{ 1200 };
constexpr milliseconds PEER_TIMEOUT{ 1500 };
// A process that does not know the others yet leaves the claim to them for this long.
constexpr milliseconds UNRANKED_CLAIM_DELAY{ 2000 };
// With an empty ledger, so long for the processes that start at the same time to find each other.
constexpr milliseconds FIRST_CLAIM_DELAY{ 500 };

class owner_election
{
public:
    // Smaller ranks claim earlier. Nothing while the other processes are not known.
    void setRank(std::optional<int> rank)
    {
        m_rank = rank;
    }
    void recordHeartbeat(std::uint64_t epoch, milliseconds storeSilent, instant now);
    void recordPeer(std::uint64_t peer, bool suspects, instant now);
    // The ledger was read to its end.
    void recordLedgerRead(std::uint64_t end, bool ownerResigned, bool ownerKnown, instant now);
    // The owner has asked this process to follow it.
    void recordHandoverRequest(instant now);
    // This process has lost a claim or its ownership.
    void recordOwnershipLost(instant now);
    bool suspectsOwner(instant now) const;
    bool receivesHeartbeats(instant now) const;
    std::uint64_t epoch() const
    {
        return m_epoch;
    }
    election_action next(instant now);

private:
    bool majoritySuspects(instant now) const;
    duration patience() const;

    std::optional<int> m_rank;
    std::uint64_t m_epoch = 0;
    std::optional<instant> m_lastBeat;
    milliseconds m_storeSilent{ 0 };
    struct peer
    {
        bool suspects = false;
        instant heardAt;
    };
    std::map<std::uint64_t, peer> m_peers;
    std::optional<std::uint64_t> m_ledgerEnd;
    instant m_ledgerEndSince;
    instant m_ledgerAnsweredAt;
    instant m_ledgerReadAt;
    bool m_free = false;
    bool m_neverOwned = false;
    bool m_handover = false;
    instant m_startedAt;
    bool m_started = false;
    instant m_notBefore;
};

} // namespace jujubespool

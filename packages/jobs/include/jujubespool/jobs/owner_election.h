// Decides when a process tries to become the owner of the jobs.
//
//     owner_election election;
//     election.setRank(rank);
//     election.recordHeartbeat(epoch, storeUnresponsive, now);
//     if (election.next(now) == election_action::claim) { ... }
//
// The ledger determines the owner: a claim is an append at the end of the ledger with a higher epoch, which fences
// the former owner. A false suspicion therefore only causes a change of owner. A process claims when it receives
// no heartbeats from the owner and either the ledger does not grow, or most of the peers that it receives messages
// from do not receive the owner's heartbeats either.
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

// An owner is suspected when no heartbeat arrives for this long.
constexpr milliseconds OWNER_HEARTBEAT_TIMEOUT{ 450 };
// An owner is also suspected when it reports that the store has not answered it for this long.
constexpr milliseconds OWNER_STORE_TIMEOUT{ 700 };
// The ledger has to stay unchanged for this long before a claim; a working owner writes more often.
constexpr milliseconds LEDGER_IDLE_TIMEOUT{ 600 };
// The same when the owner itself reports that the store does not answer it.
constexpr milliseconds LEDGER_IDLE_TIMEOUT_REPORTED{ 300 };
constexpr milliseconds OWNER_RENEWAL_INTERVAL{ 400 };
constexpr milliseconds LEDGER_READ_INTERVAL{ 150 };
// A candidate starts to read the ledger when no heartbeat has arrived for this long, so that it knows for how long the ledger has been
// unchanged by the time that it suspects the owner.
constexpr milliseconds LEDGER_READ_AFTER{ 250 };
// Each rank delays its claim by this much more, so that claims rarely collide.
constexpr milliseconds RANK_DELAY{ 120 };
// Without heartbeats for this long, an owner may be replaced by a majority even though it still writes to the ledger.
constexpr milliseconds MAJORITY_SUSPICION_TIMEOUT{ 1200 };
constexpr milliseconds PEER_TIMEOUT{ 1500 };
// A process that has no list of its peers yet leaves the claim to them for this long.
constexpr milliseconds UNRANKED_CLAIM_DELAY{ 2000 };
// Number of processes that compete for the ownership. The others claim only after all of these have failed to.
constexpr int MAX_CANDIDATES = 16;
// Interval at which a process that is not a candidate reads the ledger; many of them may do so at the same time.
constexpr milliseconds BACKUP_LEDGER_READ_INTERVAL{ 1000 };
// Additional delay when the ledger has never had an owner, in which processes that start at the same time find each
// other.
constexpr milliseconds FIRST_CLAIM_DELAY{ 500 };

class owner_election
{
public:
    // Processes with smaller ranks claim earlier. No value while the peers are not known.
    void setRank(std::optional<int> rank)
    {
        m_rank = rank;
    }
    // Records a heartbeat of the owner, with the time for which the store has not answered it.
    void recordHeartbeat(std::uint64_t epoch, milliseconds storeUnresponsive, instant now);
    void recordPeer(std::uint64_t peer, bool suspects, instant now);
    // Records the result of reading the ledger to its end.
    void recordLedgerRead(std::uint64_t end, bool ownerResigned, bool ownerKnown, instant now);
    // The owner has asked this process to take over.
    void recordHandoverRequest(instant now);
    // This process has lost a claim or its ownership.
    void recordOwnershipLost(instant now);
    bool suspectsOwner(instant now) const;
    bool receivesHeartbeats(instant now) const;
    std::uint64_t epoch() const
    {
        return m_epoch;
    }
    // Whether this process will probably claim soon: it is the first in rank, and the ledger of the suspected owner has not grown since an
    // earlier read.
    bool expectsToClaim(instant now) const;
    // Returns what the process should do now. Call at short, regular intervals.
    election_action next(instant now);

private:
    bool majoritySuspects(instant now) const;
    // Whether the state of the ledger and the heartbeats permit a claim.
    bool mayClaim(instant now) const;
    duration claimDelay() const;

    std::optional<int> m_rank;
    std::uint64_t m_epoch = 0;
    std::optional<instant> m_lastHeartbeat;
    milliseconds m_ownerStoreUnresponsive{ 0 };
    struct peer
    {
        bool suspects = false;
        instant lastMessageAt;
    };
    std::map<std::uint64_t, peer> m_peers;
    std::optional<std::uint64_t> m_ledgerEnd;
    instant m_ledgerEndSince;
    instant m_ledgerAnsweredAt;
    instant m_ledgerReadAt;
    bool m_unowned = false;
    bool m_neverOwned = false;
    bool m_handoverRequested = false;
    instant m_startedAt;
    bool m_started = false;
    instant m_notBefore;
};

} // namespace jujubespool

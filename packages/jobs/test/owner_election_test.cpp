#include <criterion/criterion.h>
#include <jujubespool/jobs/owner_election.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds STEP{ 25 };

// An election in one process, with a ledger that answers or not.
class process
{
public:
    // Advances the time until the process claims. Returns the elapsed time, or nothing if it did not claim.
    std::optional<milliseconds> claimsWithin(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            if (sendsHeartbeats) {
                election.recordHeartbeat(1, storeUnresponsive ? milliseconds(*storeUnresponsive + passed) : milliseconds(0), m_now);
            }
            const election_action action = election.next(m_now);
            if (action == election_action::claim) {
                return passed;
            }
            if (action == election_action::read_ledger && ledgerAnswers) {
                election.recordLedgerRead(ledgerGrows ? ++m_end : m_end, false, ownerKnown, m_now);
            }
        }
        return std::nullopt;
    }

    instant now() const
    {
        return m_now;
    }

    owner_election election;
    bool sendsHeartbeats = false;
    std::optional<milliseconds> storeUnresponsive;
    bool ledgerAnswers = true;
    bool ledgerGrows = false;
    bool ownerKnown = true;

private:
    instant m_now{ seconds(100) };
    std::uint64_t m_end = 7;
};

} // namespace

// Guards against all processes claiming at once when they start together: the last claim wins, and it might come from
// the host with the least capacity.
Test(owner_election, delaysTheFirstClaimWhileItHasNoListOfPeers)
{
    process unranked;
    unranked.ownerKnown = false;
    cr_assert_not(unranked.claimsWithin(milliseconds(1900)).has_value());
    cr_assert(unranked.claimsWithin(seconds(2)).has_value());
}

Test(owner_election, delaysTheClaimAtTheFirstStartSoThatPeersCanAppear)
{
    process first;
    first.ownerKnown = false;
    first.election.setRank(0);
    const auto claimed = first.claimsWithin(seconds(3));
    cr_assert(claimed && *claimed >= milliseconds(500) && *claimed <= milliseconds(900), "%ld",
              claimed ? static_cast<long>(claimed->count()) : -1L);
}

// Guards against a standstill when only the owner is cut off from the store: waiting for certainty would stop all
// starts during a peak.
Test(owner_election, replacesAnOwnerThatReportsAnUnresponsiveStore)
{
    process other;
    other.election.setRank(1);
    other.sendsHeartbeats = true;
    other.storeUnresponsive = milliseconds(0);
    const auto claimed = other.claimsWithin(seconds(5));
    cr_assert(claimed && *claimed <= milliseconds(1600), "%ld", claimed ? static_cast<long>(claimed->count()) : -1L);
}

// All callers wait until the owner is replaced.
Test(owner_election, claimsSoonAfterTheLastHeartbeat)
{
    process first;
    first.election.setRank(0);
    first.sendsHeartbeats = true;
    cr_assert_not(first.claimsWithin(seconds(3)).has_value());
    first.sendsHeartbeats = false;
    const auto claimed = first.claimsWithin(seconds(3));
    cr_assert(claimed && *claimed <= milliseconds(900), "%ld", claimed ? static_cast<long>(claimed->count()) : -1L);
}

// Reading the whole store is worthwhile only for a process that can claim within a moment.
Test(owner_election, expectsToClaimOnlyWhileTheStoreAnswersAndTheLedgerIsIdle)
{
    process first;
    first.election.setRank(0);
    first.sendsHeartbeats = true;
    first.claimsWithin(seconds(1));
    cr_assert_not(first.election.expectsToClaim(first.now()));
    first.sendsHeartbeats = false;
    cr_assert_not(first.claimsWithin(milliseconds(600)).has_value());
    cr_assert(first.election.expectsToClaim(first.now()));
    first.ledgerAnswers = false;
    first.claimsWithin(milliseconds(500));
    cr_assert_not(first.election.expectsToClaim(first.now()));
    process second;
    second.election.setRank(1);
    second.claimsWithin(milliseconds(600));
    cr_assert_not(second.election.expectsToClaim(second.now()));
}

struct no_claim_row
{
    const char *name;
    void (*prepare)(process &candidate);
};

Test(owner_election, doesNotClaimWhileTheOwnerWorksOrTheStoreIsUnavailable)
{
    const no_claim_row rows[] = {
        { "the owner sends heartbeats",
          [](process &candidate) {
              candidate.sendsHeartbeats = true;
          } },
        { "the store is unavailable to all processes",
          [](process &candidate) {
              candidate.sendsHeartbeats = true;
              candidate.storeUnresponsive = milliseconds(0);
              candidate.ledgerAnswers = false;
          } },
        { "the owner still writes to the ledger",
          [](process &candidate) {
              candidate.ledgerGrows = true;
          } },
    };
    for (const no_claim_row &row : rows) {
        process candidate;
        candidate.election.setRank(0);
        row.prepare(candidate);
        cr_assert_not(candidate.claimsWithin(seconds(10)).has_value(), "%s", row.name);
    }
}

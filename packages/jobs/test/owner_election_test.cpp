#include <criterion/criterion.h>
#include <jujubespool/jobs/owner_election.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds STEP{ 25 };

// One process's election, with a ledger that it can read or not.
class process
{
public:
    // Lets the time pass until the process claims. Returns the time, or nothing when it did not claim.
    std::optional<milliseconds> claimsWithin(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            if (beats) {
                election.recordHeartbeat(1, storeSilent ? milliseconds(*storeSilent + passed) : milliseconds(0), m_now);
            }
            const election_action action = election.next(m_now);
            if (action == election_action::claim) {
                return passed;
            }
            if (action == election_action::read_ledger && ledgerAnswers) {
                election.recordLedgerRead(ledgerMoves ? ++m_end : m_end, false, ownerKnown, m_now);
            }
        }
        return std::nullopt;
    }

    owner_election election;
    bool beats = false;
    std::optional<milliseconds> storeSilent;
    bool ledgerAnswers = true;
    bool ledgerMoves = false;
    bool ownerKnown = true;

private:
    instant m_now{ seconds(100) };
    std::uint64_t m_end = 7;
};

} // namespace

// Processes that start together would all claim, and the last one to do so might be the weakest host.
Test(owner_election, leavesTheFirstClaimToOthersWhileItDoesNotKnowThem)
{
    process unranked;
    unranked.ownerKnown = false;
    cr_assert_not(unranked.claimsWithin(milliseconds(1900)).has_value());
    cr_assert(unranked.claimsWithin(seconds(2)).has_value());
}

Test(owner_election, givesOthersTimeToAppearAtTheVeryFirstStart)
{
    process first;
    first.ownerKnown = false;
    first.election.setRank(0);
    const auto claimed = first.claimsWithin(seconds(3));
    cr_assert(claimed && *claimed >= milliseconds(500) && *claimed <= milliseconds(900), "%ld",
              claimed ? static_cast<long>(claimed->count()) : -1L);
}

// The owner alone is turned away by the store. Waiting for certainty would stop all starts in the middle of a peak.
Test(owner_election, replacesAnOwnerThatSaysThatTheStoreDoesNotAnswerIt)
{
    process other;
    other.election.setRank(1);
    other.beats = true;
    other.storeSilent = milliseconds(0);
    const auto claimed = other.claimsWithin(seconds(5));
    cr_assert(claimed && *claimed <= milliseconds(1600), "%ld", claimed ? static_cast<long>(claimed->count()) : -1L);
}

struct patient_row
{
    const char *name;
    void (*prepare)(process &item);
};

Test(owner_election, doesNotClaimWithoutCause)
{
    const patient_row rows[] = {
        { "the owner is heard",
          [](process &item) {
              item.beats = true;
          } },
        { "the store is away for all",
          [](process &item) {
              item.beats = true;
              item.storeSilent = milliseconds(0);
              item.ledgerAnswers = false;
          } },
        { "the owner still writes",
          [](process &item) {
              item.ledgerMoves = true;
          } },
    };
    for (const patient_row &row : rows) {
        process item;
        item.election.setRank(0);
        row.prepare(item);
        cr_assert_not(item.claimsWithin(seconds(10)).has_value(), "%s", row.name);
    }
}

#include "fake_platform.h"
#include "recording_transport.h"
#include <criterion/criterion.h>
#include <jujubespool/jobs/owner_election.h>
#include <jujubespool/manager/peer_tracker.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr instant START{ seconds(100) };

// The peer tracker of process 1, among processes on hosts of different capacity.
struct tracker_fixture
{
    void add(std::uint64_t incarnation, std::uint32_t cpuPercent, std::uint32_t linkMbps)
    {
        wire::member_image image;
        image.set_incarnation(incarnation);
        image.set_cpu_share_percent(cpuPercent);
        image.set_link_mbps(linkMbps);
        peers.updateMember("node-" + std::to_string(incarnation), image, START);
    }

    // Voters as the ledger holds them: the candidates of this process.
    ownership_voters recordedVoters() const
    {
        ownership_voters voters;
        voters.restore({}, true);
        cr_assert(voters.change(peers.candidates(), 1, true).has_value());
        voters.onRecorded();
        return voters;
    }
    bool confirmed(std::uint64_t epoch, instant now) const
    {
        return recordedVoters().confirm([&](const voter &asked) { return peers.confirms(asked, epoch, now); });
    }
    bool formerExcluded(std::uint64_t epoch) const
    {
        return recordedVoters().excludeFormer([&](const voter &asked) { return peers.knows(asked, epoch); });
    }

    recording_transport transport;
    counting_log log;
    peer_tracker peers{ transport, 1, log };
};

} // namespace

Test(peer_tracker, hasNoRankBeforeItIsListedAsMember)
{
    tracker_fixture fixture;
    fixture.add(2, 50, 200);
    cr_assert_not(fixture.peers.rank(START).has_value());
    fixture.add(1, 12, 10);
    cr_assert_eq(fixture.peers.rank(START).value(), 1);
}

// Guards against LOST of review/2: the owner was replaced by its own former start, and no call could be passed on to it any more.
Test(peer_tracker, registrationOfAFormerStartNeverReplacesALaterOne)
{
    tracker_fixture fixture;
    wire::member_image image;
    image.set_incarnation(22);
    image.set_started_ms(2000);
    fixture.peers.updateMember("node-2", image, START);
    image.set_incarnation(21);
    image.set_started_ms(1000);
    fixture.peers.updateMember("node-2", image, START);
    cr_assert(fixture.peers.send(22, wire::peer_message(), START));
    cr_assert_not(fixture.peers.isMember(21));
    image.set_incarnation(23);
    image.set_started_ms(3000);
    fixture.peers.updateMember("node-2", image, START);
    cr_assert(fixture.peers.isMember(23));
    cr_assert_not(fixture.peers.isMember(22));
}

Test(peer_tracker, ranksHostsByCpuThenNetwork)
{
    tracker_fixture fixture;
    fixture.add(1, 50, 10);
    fixture.add(2, 50, 200);
    fixture.add(3, 12, 1000);
    cr_assert_eq(fixture.peers.rank(START).value(), 1);
}

// Members from before a restart stay listed although their processes have ended.
Test(peer_tracker, ignoresMembersThatNeverSentAMessageAfterTheTimeout)
{
    tracker_fixture fixture;
    fixture.add(1, 12, 10);
    fixture.add(2, 50, 200);
    cr_assert_eq(fixture.peers.rank(START + seconds(1)).value(), 1);
    cr_assert_eq(fixture.peers.rank(START + seconds(2)).value(), 0);
}

// The owner that has just ended is usually the most suitable one, and it counts as alive for a while.
Test(peer_tracker, doesNotCountASuspectedOwnerInTheOrderOfClaims)
{
    tracker_fixture fixture;
    fixture.add(1, 50, 200);
    fixture.add(2, 50, 500);
    fixture.peers.recordMessage(2, START);
    cr_assert_eq(fixture.peers.rank(START + milliseconds(500)).value(), 1);
    cr_assert_eq(fixture.peers.rank(START + milliseconds(500), 2).value(), 0);
}

Test(peer_tracker, comparesHostsByCpuAndNetworkCapacity)
{
    tracker_fixture fixture;
    fixture.add(1, 12, 10);
    fixture.add(2, 50, 200);
    fixture.add(3, 13, 10);
    fixture.add(4, 12, 200);
    fixture.add(5, 8, 200);
    cr_assert(fixture.peers.hasMuchMoreCapacity(2, 1));
    cr_assert(fixture.peers.hasMuchMoreCapacity(4, 1));
    cr_assert_not(fixture.peers.hasMuchMoreCapacity(3, 1));
    cr_assert_not(fixture.peers.hasMuchMoreCapacity(1, 2));
    cr_assert_not(fixture.peers.hasMuchMoreCapacity(5, 1));
    cr_assert_not(fixture.peers.hasMuchMoreCapacity(2, 99));
}

// Strong hosts 101 to 110, and weak hosts 1 to 30 of which host 1 runs this process.
struct large_fleet : tracker_fixture
{
    large_fleet()
    {
        for (std::uint64_t weak = 1; weak <= 30; ++weak) {
            add(weak, 12, 20);
        }
        for (std::uint64_t strong = 101; strong <= 110; ++strong) {
            add(strong, 50, 200);
        }
    }
};

Test(peer_tracker, choosesTheHostsWithTheMostCapacityAsCandidates)
{
    large_fleet fleet;
    for (std::uint64_t strong = 101; strong <= 110; ++strong) {
        cr_assert(fleet.peers.isCandidate(strong));
    }
    int weakCandidates = 0;
    for (std::uint64_t weak = 1; weak <= 30; ++weak) {
        weakCandidates += fleet.peers.isCandidate(weak) ? 1 : 0;
    }
    cr_assert_eq(weakCandidates, MAX_CANDIDATES - 10);
}

Test(peer_tracker, replacesACandidateThatIsRemoved)
{
    large_fleet fleet;
    cr_assert_not(fleet.peers.isCandidate(24));
    fleet.peers.removeMember("node-101");
    cr_assert(fleet.peers.isCandidate(24));
}

Test(peer_tracker, sendsToCandidatesOnlyAndOpensNoOtherConnection)
{
    large_fleet fleet;
    cr_assert(fleet.transport.connected.empty());
    fleet.peers.sendToCandidates({}, START);
    cr_assert_eq(fleet.transport.sent.size(), static_cast<std::size_t>(MAX_CANDIDATES));
    cr_assert_eq(fleet.transport.connected.size(), static_cast<std::size_t>(MAX_CANDIDATES));
}

Test(peer_tracker, sendsToAllProcessesInTwoParts)
{
    large_fleet fleet;
    fleet.peers.sendToCandidates({}, START);
    fleet.peers.sendToOthers({}, START);
    std::set<std::uint64_t> receivers;
    for (const auto &[receiver, message] : fleet.transport.sent) {
        receivers.insert(receiver);
    }
    cr_assert_eq(receivers.size(), 39U);
    cr_assert_eq(fleet.transport.sent.size(), 39U);
}

Test(peer_tracker, closesConnectionsThatAreNoLongerUsed)
{
    large_fleet fleet;
    fleet.peers.connectAll(START);
    cr_assert_eq(fleet.transport.connected.size(), 39U);
    fleet.peers.send(101, {}, START + seconds(9));
    fleet.peers.closeUnusedConnections(START + seconds(10));
    cr_assert_eq(fleet.transport.connected.size(), 1U);
    cr_assert(fleet.peers.send(102, {}, START + seconds(11)));
}

// Otherwise all of them would claim at the same time, since no messages of each other arrive.
Test(peer_tracker, ranksOtherProcessesAfterAllCandidatesAndInOneOrder)
{
    large_fleet fleet;
    const int rank = fleet.peers.rank(START + seconds(5)).value();
    cr_assert_eq(rank, 39);
    fleet.peers.recordMessage(101, START + seconds(5));
    cr_assert_eq(fleet.peers.rank(START + seconds(5)).value(), rank);
}

// A process that restarts gets the same address, and its calls and orders are numbered from 1 again. A late answer to the
// former process must not be taken for an answer to a new call.
Test(peer_tracker, recognizesMessagesToAFormerProcessAtTheSameAddress)
{
    tracker_fixture former;
    former.add(1, 50, 200);
    former.add(2, 50, 200);
    former.peers.send(2, {}, START);
    recording_transport transport;
    const peer_tracker sameProcess(transport, 2, former.log);
    const peer_tracker restartedProcess(transport, 3, former.log);
    const wire::peer_message &message = former.transport.sent.at(0).second;
    cr_assert(sameProcess.isForThisProcess(message));
    cr_assert_not(restartedProcess.isForThisProcess(message));
    cr_assert(restartedProcess.isForThisProcess({}));
}

// Nine candidates, of which this process is one. The others answer the owner's heartbeat of this time.
struct confirmation_row
{
    const char *name;
    int answering;
    milliseconds age;
    std::uint64_t epochOfOne;
    bool confirmed;
};

constexpr std::uint64_t OWN_EPOCH = 4;

const confirmation_row CONFIRMATIONS[] = {
    { "all answer", 8, milliseconds(300), OWN_EPOCH, true },
    { "a third does not answer", 5, milliseconds(300), OWN_EPOCH, true },
    { "more than a third does not answer", 4, milliseconds(300), OWN_EPOCH, false },
    { "one of the necessary ones knows a later owner", 5, milliseconds(300), OWN_EPOCH + 1, false },
    { "one of the necessary ones knows this owner not yet", 5, milliseconds(300), OWN_EPOCH - 1, false },
    { "all answers name a time that has not come", 8, milliseconds(-5000), OWN_EPOCH, false },
    { "all answers were sent long ago and have waited through a pause", 8, milliseconds(5000), OWN_EPOCH, false },
};

ParameterizedTestParameters(peer_tracker, confirmsAnOwnershipWithoutTheStore)
{
    return rowsOf(CONFIRMATIONS);
}

ParameterizedTest(std::size_t *row, peer_tracker, confirmsAnOwnershipWithoutTheStore)
{
    const confirmation_row &testCase = CONFIRMATIONS[*row];
    tracker_fixture fixture;
    for (std::uint64_t incarnation = 1; incarnation <= 9; ++incarnation) {
        fixture.add(incarnation, 50, 200);
    }
    const instant now = START + seconds(20);
    for (int i = 0; i < testCase.answering; ++i) {
        const auto peer = static_cast<std::uint64_t>(i + 2);
        fixture.peers.recordMessage(peer, now);
        fixture.peers.recordStatement(peer, { i == 0 ? testCase.epochOfOne : OWN_EPOCH, now - testCase.age, false });
    }
    cr_assert_eq(fixture.confirmed(OWN_EPOCH, now), testCase.confirmed, "%s", testCase.name);
}

// If half of the voters know the later owner, too few are left to confirm an earlier one.
Test(peer_tracker, knowsWhenNoEarlierOwnerCanBeConfirmed)
{
    tracker_fixture fixture;
    for (std::uint64_t incarnation = 1; incarnation <= 9; ++incarnation) {
        fixture.add(incarnation, 50, 200);
        fixture.peers.recordStatement(incarnation, { OWN_EPOCH - 1, START, false });
    }
    for (std::uint64_t peer = 2; peer <= 4; ++peer) {
        fixture.peers.recordStatement(peer, { OWN_EPOCH, START, false });
    }
    cr_assert_not(fixture.formerExcluded(OWN_EPOCH));
    fixture.peers.recordStatement(5, { OWN_EPOCH + 1, START, false });
    cr_assert(fixture.formerExcluded(OWN_EPOCH));
}

// An owner counts the very process that it has recorded. Whoever runs on the node later has forgotten which owner that one knew.
Test(peer_tracker, aLaterStartConfirmsNothingInPlaceOfAVoterAndShowsThatItHasEnded)
{
    tracker_fixture fixture;
    fixture.add(1, 50, 200);
    fixture.add(2, 50, 200);
    const voter former{ "node-2", 2 };
    wire::member_image image;
    image.set_incarnation(22);
    image.set_started_ms(2000);
    fixture.peers.updateMember("node-2", image, START);
    fixture.peers.recordStatement(22, { OWN_EPOCH, START, false });
    cr_assert_not(fixture.peers.confirms(former, OWN_EPOCH, START));
    cr_assert(fixture.peers.knows(former, OWN_EPOCH));
    cr_assert_not(fixture.peers.knows(former, OWN_EPOCH + 1));
    cr_assert_not(fixture.peers.knows({ "node-9", 9 }, OWN_EPOCH));
}

// An end that is carried out late, or that has met an answer, names a number which the process has left behind.
Test(peer_tracker, anEndRemovesNoRegistrationUnderALaterNumber)
{
    tracker_fixture fixture;
    wire::member_image image;
    image.set_incarnation(2);
    image.set_started_ms(1001);
    fixture.peers.updateMember("node-2", image, START);
    wire::member_image end = image;
    end.set_ended(true);
    end.set_started_ms(1000);
    fixture.peers.updateMember("node-2", end, START);
    cr_assert(fixture.peers.isMember(2));
    end.set_started_ms(1001);
    fixture.peers.updateMember("node-2", end, START);
    cr_assert_not(fixture.peers.isMember(2));
}

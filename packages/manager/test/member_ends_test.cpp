// Members that are gone leave the list and the counts of every reader; members that only seem to be gone come back by themselves.
#include "fake_platform.h"
#include "recording_transport.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/member_ends.h>
#include <jujubespool/manager/member_registration.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds TICK{ 500 };
constexpr milliseconds LATE{ 5500 };
// A member that stops is gone from all lists within this time.
constexpr milliseconds MAX_STOP_TIME{ 1000 };
// One that is lost without notice within this time: silence, question, two writes and their steps.
constexpr milliseconds MAX_LOSS_TIME{ MEMBER_SILENCE + MEMBER_ANSWER_TIME + milliseconds(3000) };
// A process that is listed as ended although it lives is listed again within this time after it reads that.
constexpr milliseconds MAX_RETURN_TIME{ 3000 };
constexpr std::uint64_t EPOCH = 3;

// One start of a process. What it hears is set by the test.
class process
{
public:
    process(fake_platform &platform, const std::string &node, std::uint64_t incarnation, milliseconds clockOffset = {})
        : peers(m_transport, incarnation, log)
        , ends(platform.clientsOf(node).feeds, peers, log)
        , m_registration(
              platform.clientsOf(node).feeds, platform, imageOf(node, incarnation),
              [&platform, clockOffset] { return platform.wall() + static_cast<wall_ms>(clockOffset.count()); }, log)
        , m_watcher(platform.clientsOf(node).feeds, platform, feed::members, { milliseconds(500), milliseconds(0) }, log)
    {
        const auto onEntry = [this, node](const ledger_entry &entry, instant now) {
            wire::member_image image;
            const bool readable = entry.value && image.ParseFromString(*entry.value);
            ends.onEntry(entry.key, readable ? std::optional(image) : std::nullopt, now);
            if (entry.key == node) {
                m_registration.onEntry(readable ? std::optional(image) : std::nullopt);
            }
            if (readable) {
                peers.updateMember(entry.key, image, now);
            } else if (!entry.value) {
                peers.removeMember(entry.key);
            }
        };
        m_watcher.start(onEntry, [this](instant now) { m_registration.onCaughtUp(now); });
    }

    void stop()
    {
        m_registration.end([](instant) {});
    }

    counting_log log;
    recording_transport m_transport;
    peer_tracker peers;
    member_ends ends;

private:
    static wire::member_image imageOf(const std::string &node, std::uint64_t incarnation)
    {
        wire::member_image image;
        image.set_node(node);
        image.set_incarnation(incarnation);
        return image;
    }

    member_registration m_registration;
    feed_watcher m_watcher;
};

// An owner, another reader, and the member that the test is about.
struct list_fixture
{
    list_fixture()
    {
        platform.advance(seconds(1));
        ownerSince = platform.now();
    }

    void advance(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += TICK) {
            platform.advance(TICK);
            for (const std::uint64_t heard : heardByOwner) {
                owner.peers.recordMessage(heard, platform.now());
            }
            owner.ends.tick(EPOCH, ownerSince, platform.now());
        }
    }

    // The member is lost without notice.
    void lose()
    {
        heardByOwner.erase(MEMBER);
        member.reset();
    }

    void setCut(bool cut)
    {
        platform.linksOf("entry-3").storeDown = cut;
        if (cut) {
            heardByOwner.erase(MEMBER);
        } else {
            heardByOwner.insert(MEMBER);
        }
    }

    bool isListed(std::uint64_t incarnation) const
    {
        return owner.peers.isMember(incarnation) && reader.peers.isMember(incarnation);
    }
    bool isGone(std::uint64_t incarnation) const
    {
        return !owner.peers.isMember(incarnation) && !reader.peers.isMember(incarnation);
    }
    std::size_t entries()
    {
        std::size_t count = 0;
        platform.clientsOf("entry-1").feeds.readLatest(feed::members, {},
                                                       [&count](const feed_page &page, instant) { count = page.entries.size(); });
        platform.advance(milliseconds(100));
        return count;
    }

    static constexpr std::uint64_t OWNER = 10;
    static constexpr std::uint64_t READER = 20;
    static constexpr std::uint64_t MEMBER = 30;
    fake_platform platform;
    process owner{ platform, "entry-1", OWNER };
    process reader{ platform, "entry-2", READER };
    std::unique_ptr<process> member = std::make_unique<process>(platform, "entry-3", MEMBER);
    std::set<std::uint64_t> heardByOwner{ READER, MEMBER };
    instant ownerSince;
};

// How a member ends, and when all have to know it at the latest.
struct loss_row
{
    const char *name;
    void (*happen)(list_fixture &fleet);
    milliseconds latest;
};

const loss_row LOSSES[] = {
    { "it stops",
      [](list_fixture &fleet) {
          fleet.member->stop();
          fleet.advance(TICK);
          fleet.lose();
      },
      MAX_STOP_TIME },
    { "it stops while the store does not answer it",
      [](list_fixture &fleet) {
          fleet.platform.linksOf("entry-3").storeDown = true;
          fleet.member->stop();
          fleet.advance(TICK);
          fleet.lose();
      },
      MAX_LOSS_TIME },
    { "its end is carried out late",
      [](list_fixture &fleet) {
          fleet.platform.linksOf("entry-3").lateWrites = LATE;
          fleet.member->stop();
          fleet.advance(TICK);
          fleet.lose();
      },
      LATE + MAX_STOP_TIME },
    { "it is lost without notice", [](list_fixture &fleet) { fleet.lose(); }, MAX_LOSS_TIME },
    { "the owner's writes are carried out late",
      [](list_fixture &fleet) {
          fleet.platform.linksOf("entry-1").lateWrites = LATE;
          fleet.lose();
      },
      MAX_LOSS_TIME + 2 * LATE },
};

// Why a member that lives seems to be gone, and for how long.
struct return_row
{
    const char *name;
    // The list does not reach it either.
    bool cutFromStore;
    milliseconds length;
    // The owner's writes are carried out late from the time at which the member is back.
    bool lateWrites;
    // Whether it has to be listed all the time.
    bool staysListed;
};

const return_row RETURNS[] = {
    { "cut off for half of the time", true, MEMBER_SILENCE / 2, false, true },
    { "cut off for half a minute", true, seconds(30), false, false },
    { "cut off for long", true, seconds(120), false, false },
    { "its messages are lost, the store reaches it", false, seconds(120), false, true },
    { "cut off until it has been asked, and the end is carried out late", true, MEMBER_SILENCE + milliseconds(2500), true, false },
};

} // namespace

ParameterizedTestParameters(member_ends, memberThatIsGoneLeavesAllListsInTime)
{
    return rowsOf(LOSSES);
}

// Guards against LOST of review/7: members that had left counted for good, so nobody could be excluded as a former owner.
ParameterizedTest(std::size_t *row, member_ends, memberThatIsGoneLeavesAllListsInTime)
{
    const loss_row &testCase = LOSSES[*row];
    list_fixture fleet;
    fleet.advance(seconds(3));
    cr_assert(fleet.isListed(list_fixture::MEMBER));
    testCase.happen(fleet);
    fleet.advance(testCase.latest);
    cr_assert(fleet.isGone(list_fixture::MEMBER), "%s", testCase.name);
    cr_assert_eq(fleet.owner.peers.candidates().size(), 2U, "%s", testCase.name);
    cr_assert(fleet.isListed(list_fixture::READER), "%s", testCase.name);
    fleet.advance(MEMBER_END_KEPT + milliseconds(3000) + LATE);
    cr_assert_eq(fleet.entries(), 2U, "%s: the list keeps an entry of the member", testCase.name);
    cr_assert(fleet.isGone(list_fixture::MEMBER), "%s", testCase.name);
}

ParameterizedTestParameters(member_ends, memberThatLivesIsListedAgainByItself)
{
    return rowsOf(RETURNS);
}

ParameterizedTest(std::size_t *row, member_ends, memberThatLivesIsListedAgainByItself)
{
    const return_row &testCase = RETURNS[*row];
    list_fixture fleet;
    fleet.advance(seconds(3));
    if (testCase.cutFromStore) {
        fleet.setCut(true);
    } else {
        fleet.heardByOwner.erase(list_fixture::MEMBER);
    }
    bool listed = true;
    for (milliseconds passed(0); passed < testCase.length; passed += TICK) {
        fleet.advance(TICK);
        listed = listed && fleet.isListed(list_fixture::MEMBER);
    }
    cr_assert_eq(listed, testCase.staysListed || testCase.lateWrites, "%s", testCase.name);
    fleet.platform.linksOf("entry-1").lateWrites = testCase.lateWrites ? LATE : milliseconds(0);
    fleet.setCut(false);
    fleet.advance(MAX_RETURN_TIME);
    cr_assert(fleet.isListed(list_fixture::MEMBER), "%s", testCase.name);
    // Whatever is carried out late meets an entry that the member has written since.
    fleet.advance(2 * LATE + MAX_RETURN_TIME);
    cr_assert(fleet.isListed(list_fixture::MEMBER), "%s", testCase.name);
    cr_assert(fleet.member->peers.isMember(list_fixture::MEMBER), "%s: it does not find itself", testCase.name);
}

// Offsets of the clock of the second start.
const milliseconds CLOCKS[] = { milliseconds(0), milliseconds(-2000), milliseconds(-60000), milliseconds(2000) };

ParameterizedTestParameters(member_ends, laterStartUnderTheNameIsNotEndedWithTheFormerOne)
{
    return rowsOf(CLOCKS);
}

ParameterizedTest(std::size_t *row, member_ends, laterStartUnderTheNameIsNotEndedWithTheFormerOne)
{
    list_fixture fleet;
    fleet.advance(seconds(3));
    fleet.platform.linksOf("entry-3").lateWrites = LATE;
    fleet.member->stop();
    fleet.advance(TICK);
    fleet.lose();
    fleet.platform.linksOf("entry-3").lateWrites = milliseconds(0);
    const std::uint64_t later = 31;
    fleet.member = std::make_unique<process>(fleet.platform, "entry-3", later, CLOCKS[*row]);
    fleet.heardByOwner.insert(later);
    fleet.advance(MAX_RETURN_TIME);
    cr_assert(fleet.isListed(later));
    for (milliseconds passed(0); passed < LATE + MAX_RETURN_TIME + MEMBER_END_KEPT; passed += TICK) {
        fleet.advance(TICK);
        cr_assert(fleet.isListed(later), "gone %ld ms later", static_cast<long>(passed.count()));
    }
    cr_assert_not(fleet.owner.peers.isMember(list_fixture::MEMBER));
}

// Guards against LOST of review/6: each machine that had ever been there cost the owner a socket, until there was none left.
Test(member_ends, listDoesNotGrowWithTheMachinesThatHaveEverBeenThere)
{
    list_fixture fleet;
    std::size_t most = 0;
    for (std::uint64_t number = 0; number < 200; ++number) {
        const std::string node = "replaced-" + std::to_string(number);
        {
            const process replaced(fleet.platform, node, 1000 + number);
            fleet.advance(TICK);
        }
        most = std::max(most, fleet.owner.peers.memberCount());
    }
    // Those of the time in which a loss is noticed, at one each half a second.
    cr_assert_leq(most, 3 + static_cast<std::size_t>(MAX_LOSS_TIME / TICK));
    fleet.advance(MAX_LOSS_TIME + MEMBER_END_KEPT + milliseconds(5000));
    cr_assert_eq(fleet.owner.peers.memberCount(), 3U);
    cr_assert_eq(fleet.entries(), 3U);
}

// Nobody is ended by an owner that has just begun and has not heard from anyone yet.
Test(member_ends, newOwnerWaitsForSignsOfLife)
{
    list_fixture fleet;
    fleet.advance(seconds(3));
    fleet.heardByOwner.clear();
    fleet.advance(seconds(60));
    fleet.ownerSince = fleet.platform.now();
    const int askedBefore = fleet.owner.log.events["member-asked"];
    fleet.advance(MEMBER_SILENCE - TICK);
    cr_assert_eq(fleet.owner.log.events["member-asked"], askedBefore);
    cr_assert(fleet.isListed(list_fixture::MEMBER));
    cr_assert_eq(fleet.owner.log.events["member-ended"], 0);
}

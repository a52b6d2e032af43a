#include "fake_platform.h"
#include "recording_transport.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/member_registration.h>
#include <jujubespool/manager/peer_tracker.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds LATE{ 5500 };
// Time in which a process is reachable again after its entry was replaced.
constexpr milliseconds MAX_REPAIR_TIME{ 2500 };

// One start of a process under a node name: it registers, and follows the list of members.
class started_process
{
public:
    started_process(fake_platform &platform, const std::string &node, std::uint64_t incarnation, milliseconds clockOffset = {})
        : m_peers(m_transport, incarnation, m_log)
        , m_registration(
              platform.clientsOf(node).feeds, platform, imageOf(node, incarnation),
              [&platform, clockOffset] { return platform.wall() + static_cast<wall_ms>(clockOffset.count()); }, m_log)
        , m_watcher(platform.clientsOf(node).feeds, platform, feed::members, { milliseconds(500), milliseconds(0) }, m_log)
    {
        const auto onEntry = [this, node](const ledger_entry &entry, instant now) {
            wire::member_image image;
            const bool readable = entry.value && image.ParseFromString(*entry.value);
            if (entry.key == node) {
                m_registration.onEntry(readable ? std::optional(image) : std::nullopt);
            }
            if (readable) {
                m_peers.updateMember(entry.key, image, now);
            } else if (!entry.value) {
                m_peers.removeMember(entry.key);
            }
        };
        m_watcher.start(onEntry, [this](instant now) { m_registration.onCaughtUp(now); });
    }

    bool reaches(std::uint64_t incarnation, instant now)
    {
        return m_peers.send(incarnation, wire::peer_message(), now);
    }
    bool isListed(std::uint64_t incarnation) const
    {
        return m_peers.isMember(incarnation);
    }
    int registrations()
    {
        return m_log.events["registered"];
    }

private:
    static wire::member_image imageOf(const std::string &node, std::uint64_t incarnation)
    {
        wire::member_image image;
        image.set_node(node);
        image.set_incarnation(incarnation);
        return image;
    }

    recording_transport m_transport;
    counting_log m_log;
    peer_tracker m_peers;
    member_registration m_registration;
    feed_watcher m_watcher;
};

struct restart_row
{
    const char *name;
    // When the store carries out the first start's registration; 0 for at once.
    milliseconds firstIsLate;
    // How far the clock of the host was ahead at the first start.
    milliseconds firstClockAhead;
    // The store stops answering for a while when the second start registers.
    bool secondIsUnanswered;
};

const restart_row RESTARTS[] = {
    { "in time", milliseconds(0), milliseconds(0), false },
    { "the first registration is late", LATE, milliseconds(0), false },
    { "the first registration is late, and the clock has gone back since", LATE, milliseconds(9000), false },
    { "the clock has gone back since the first start", milliseconds(0), milliseconds(9000), false },
    { "the first registration is late, and the second is not answered at first", LATE, milliseconds(0), true },
    { "all of it", LATE, milliseconds(9000), true },
};

} // namespace

ParameterizedTestParameters(member_registration, lateRegistrationOfAFormerStartCutsNobodyOff)
{
    return rowsOf(RESTARTS);
}

// Guards against LOST of review/2: a late registration of a former start replaced that of the present owner, and nobody reached it again.
ParameterizedTest(std::size_t *row, member_registration, lateRegistrationOfAFormerStartCutsNobodyOff)
{
    const restart_row &testCase = RESTARTS[*row];
    fake_platform platform;
    started_process observer(platform, "entry-2", 20);
    platform.advance(milliseconds(500));
    platform.linksOf("entry-1").lateWrites = testCase.firstIsLate;
    {
        const started_process first(platform, "entry-1", 10, testCase.firstClockAhead);
        platform.advance(milliseconds(300));
    }
    platform.linksOf("entry-1").lateWrites = milliseconds(0);
    platform.linksOf("entry-1").storeResponsesLost = testCase.secondIsUnanswered;
    started_process second(platform, "entry-1", 11);
    platform.advance(MAX_REPAIR_TIME);
    platform.linksOf("entry-1").storeResponsesLost = false;
    cr_assert(observer.reaches(11, platform.now()), "%s: not reached after its start", testCase.name);
    // The late registration is carried out in this time.
    for (milliseconds passed(0); passed < LATE + MAX_REPAIR_TIME; passed += milliseconds(100)) {
        platform.advance(milliseconds(100));
        cr_assert(observer.isListed(11), "%s: replaced %ld ms later", testCase.name, static_cast<long>(passed.count()));
    }
    cr_assert(observer.reaches(11, platform.now()), "%s", testCase.name);
    cr_assert_not(observer.isListed(10), "%s", testCase.name);
    started_process newcomer(platform, "entry-3", 30);
    platform.advance(milliseconds(500));
    cr_assert(newcomer.reaches(11, platform.now()), "%s: not reached by a process that starts later", testCase.name);
    cr_assert(second.reaches(30, platform.now()), "%s", testCase.name);
}

// What stands in place of the registration: nothing, or what cannot be read.
const std::optional<std::string> REPLACEMENTS[] = { std::nullopt, "\xff" };

ParameterizedTestParameters(member_registration, isWrittenAgainWhenItIsMissingOrUnreadable)
{
    return rowsOf(REPLACEMENTS);
}

ParameterizedTest(std::size_t *row, member_registration, isWrittenAgainWhenItIsMissingOrUnreadable)
{
    fake_platform platform;
    started_process process(platform, "entry-1", 11);
    platform.advance(milliseconds(1500));
    cr_assert_eq(process.registrations(), 1);
    platform.clientsOf("entry-1").feeds.put(feed::members, { "entry-1", REPLACEMENTS[*row] }, [](const ledger_append_result &, instant) {});
    platform.advance(MAX_REPAIR_TIME);
    cr_assert(process.isListed(11));
    platform.advance(seconds(20));
    cr_assert_eq(process.registrations(), 2);
}

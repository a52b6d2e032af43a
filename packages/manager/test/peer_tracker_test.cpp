#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/peer_tracker.h>

namespace {

using namespace jujubespool;

constexpr instant START{ seconds(100) };

// Discards all messages.
class null_transport : public peer_transport
{
public:
    void setReceiver(peer_receiver &) override
    {
    }
    void connect(std::uint64_t, const std::string &) override
    {
    }
    void disconnect(std::uint64_t) override
    {
    }
    bool send(std::uint64_t, const wire::peer_message &) override
    {
        return true;
    }
    std::uint64_t sentBytes() const override
    {
        return 0;
    }
};

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

    null_transport transport;
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

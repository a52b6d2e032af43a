#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/peer_tracker.h>

namespace {

using namespace jujubespool;

constexpr instant START{ seconds(100) };

class silent_transport : public peer_transport
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

// The directory of process 1 among processes on strong and weak hosts.
struct directory
{
    void add(std::uint64_t incarnation, std::uint32_t cpuPercent, std::uint32_t linkMbps)
    {
        wire::member_image image;
        image.set_incarnation(incarnation);
        image.set_cpu_share_percent(cpuPercent);
        image.set_link_mbps(linkMbps);
        peers.updateMember("node-" + std::to_string(incarnation), image, START);
    }

    silent_transport transport;
    counting_log log;
    peer_tracker peers{ transport, 1, log };
};

} // namespace

Test(peer_tracker, knowsNoRankBeforeItIsAMember)
{
    directory item;
    item.add(2, 50, 200);
    cr_assert_not(item.peers.rank(START).has_value());
    item.add(1, 12, 10);
    cr_assert_eq(item.peers.rank(START).value(), 1);
}

Test(peer_tracker, ranksHostsByProcessorThenNetwork)
{
    directory item;
    item.add(1, 50, 10);
    item.add(2, 50, 200);
    item.add(3, 12, 1000);
    cr_assert_eq(item.peers.rank(START).value(), 1);
}

// Members of an earlier start stay listed although they have ended.
Test(peer_tracker, doesNotWaitForMembersThatAreNeverHeard)
{
    directory item;
    item.add(1, 12, 10);
    item.add(2, 50, 200);
    cr_assert_eq(item.peers.rank(START + seconds(1)).value(), 1);
    cr_assert_eq(item.peers.rank(START + seconds(2)).value(), 0);
}

Test(peer_tracker, tellsHostsThatAreMuchStronger)
{
    directory item;
    item.add(1, 12, 10);
    item.add(2, 50, 200);
    item.add(3, 13, 10);
    item.add(4, 12, 200);
    item.add(5, 8, 200);
    cr_assert(item.peers.hasMuchMoreCapacity(2, 1));
    cr_assert(item.peers.hasMuchMoreCapacity(4, 1));
    cr_assert_not(item.peers.hasMuchMoreCapacity(3, 1));
    cr_assert_not(item.peers.hasMuchMoreCapacity(1, 2));
    cr_assert_not(item.peers.hasMuchMoreCapacity(5, 1));
    cr_assert_not(item.peers.hasMuchMoreCapacity(2, 99));
}

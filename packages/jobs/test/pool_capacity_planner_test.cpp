#include <criterion/criterion.h>
#include <jujubespool/jobs/pool_capacity_planner.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr std::int64_t HOST_MILLIS = 64000;
constexpr milliseconds STEP{ 150 };
constexpr milliseconds MOVE_TIME{ 1500 };

// A fleet whose pools ask for processors by turns. Work that does not fit waits.
class turning_fleet
{
public:
    turning_fleet(int poolCount, int hostsEach, int hostsOff)
    {
        m_pools.push_back({ "off", true, {}, 0, 0, 0, 0, 0, 0, 0 });
        addHosts(m_pools[0], hostsOff);
        for (int i = 0; i < poolCount; ++i) {
            m_pools.push_back({ "pool-" + std::to_string(i), false, {}, 0, 0, 0, 0, 0, 0, 0 });
            addHosts(m_pools.back(), hostsEach);
        }
    }

    // Lets the pools ask for these many hosts' processors for the time. Late work is what has waited.
    void play(const std::vector<int> &hostsAsked, milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            arrive();
            for (std::size_t i = 1; i < m_pools.size(); ++i) {
                load(m_pools[i], hostsAsked[i - 1] * HOST_MILLIS);
            }
            carryOut(m_sizer.decide(m_pools, m_now));
            for (std::size_t i = 1; i < m_pools.size(); ++i) {
                m_hostSteps += static_cast<int>(m_pools[i].hosts.size());
            }
        }
    }

    // From now on the pool is handed in work that keeps this many hosts busy.
    void offer(std::size_t pool, int hosts)
    {
        m_pools[pool].offeredMillis = hosts * HOST_MILLIS;
    }

    // The pool cannot empty hosts that are due without this many more.
    void lack(std::size_t pool, int hosts)
    {
        m_pools[pool].lackingMillis = hosts * HOST_MILLIS;
    }

    int hostsOf(std::size_t pool) const
    {
        return static_cast<int>(m_pools[pool].hosts.size());
    }
    std::int64_t servedMillis(std::size_t pool) const
    {
        return m_pools[pool].usedMillis;
    }
    int hostSteps() const
    {
        return m_hostSteps;
    }
    int moves() const
    {
        return m_moves;
    }

private:
    void addHosts(sizer_pool &pool, int count)
    {
        for (int i = 0; i < count; ++i) {
            pool.hosts.push_back({ "h" + std::to_string(m_nextHost++), HOST_MILLIS, pool.standby, true, 0 });
        }
    }

    void load(sizer_pool &pool, std::int64_t asked)
    {
        std::int64_t left = asked;
        for (sizer_host &host : pool.hosts) {
            const bool busy = left > 0 && m_released.count(host.name) == 0;
            host.runs = busy ? 1 : 0;
            host.free = !busy;
            left -= busy ? HOST_MILLIS : 0;
        }
        pool.usedMillis = asked - std::max<std::int64_t>(left, 0);
        pool.waitingMillis = std::max<std::int64_t>(left, 0);
    }

    void carryOut(const sizer_decision &decision)
    {
        m_released.clear();
        for (const std::string &host : decision.released) {
            m_released[host] = true;
        }
        for (const host_move &move : decision.moves) {
            ++m_moves;
            for (sizer_pool &pool : m_pools) {
                std::erase_if(pool.hosts, [&](const sizer_host &host) { return host.name == move.host; });
                if (pool.name == move.toPool) {
                    ++pool.arriving;
                    pool.arrivingCpuMillis += HOST_MILLIS;
                }
            }
            m_underWay.push_back({ m_now + MOVE_TIME, move });
        }
    }

    void arrive()
    {
        std::erase_if(m_underWay, [&](const auto &item) {
            if (item.first > m_now) {
                return false;
            }
            for (sizer_pool &pool : m_pools) {
                if (pool.name == item.second.toPool) {
                    --pool.arriving;
                    pool.arrivingCpuMillis -= HOST_MILLIS;
                    pool.hosts.push_back({ item.second.host, HOST_MILLIS, true, true, 0 });
                }
            }
            return true;
        });
    }

    pool_capacity_planner m_sizer{ MOVE_TIME };
    std::vector<sizer_pool> m_pools;
    std::vector<std::pair<instant, host_move>> m_underWay;
    std::map<std::string, bool> m_released;
    instant m_now{ seconds(100) };
    int m_nextHost = 0;
    int m_hostSteps = 0;
    int m_moves = 0;
};

} // namespace

Test(pool_capacity_planner, leavesAFleetAloneThatNobodyHasUsed)
{
    turning_fleet fleet(4, 9, 8);
    fleet.play({ 0, 0, 0, 0 }, seconds(10));
    cr_assert_eq(fleet.moves(), 0);
}

Test(pool_capacity_planner, bringsHostsToThePoolWhoseTurnItIs)
{
    turning_fleet fleet(4, 9, 8);
    fleet.play({ 2, 2, 2, 2 }, seconds(5));
    fleet.play({ 20, 2, 2, 2 }, seconds(3));
    cr_assert_eq(fleet.servedMillis(1), 20 * HOST_MILLIS);
}

Test(pool_capacity_planner, switchesIdleHostsOffAndKeepsThoseInUse)
{
    turning_fleet fleet(4, 9, 8);
    fleet.play({ 2, 2, 2, 2 }, seconds(12));
    for (std::size_t pool = 1; pool <= 4; ++pool) {
        cr_assert(fleet.hostsOf(pool) >= 2 && fleet.hostsOf(pool) <= 4, "%d", fleet.hostsOf(pool));
        cr_assert_eq(fleet.servedMillis(pool), 2 * HOST_MILLIS);
    }
}

// Two queues ask for more than the whole fleet, one after the other: the second one gets its part.
Test(pool_capacity_planner, dividesAFleetThatIsTooSmall)
{
    turning_fleet fleet(2, 10, 0);
    fleet.play({ 40, 1 }, seconds(6));
    cr_assert(fleet.hostsOf(1) >= 15);
    fleet.play({ 40, 40 }, seconds(10));
    cr_assert(fleet.hostsOf(2) >= 7, "%d", fleet.hostsOf(2));
    cr_assert(fleet.hostsOf(1) >= 7, "%d", fleet.hostsOf(1));
}

Test(pool_capacity_planner, movesLittleUnderASteadyLoad)
{
    turning_fleet fleet(4, 9, 8);
    fleet.play({ 5, 5, 5, 5 }, seconds(10));
    const int before = fleet.moves();
    fleet.play({ 5, 5, 5, 5 }, seconds(60));
    cr_assert_eq(fleet.moves(), before);
}

// The first jobs of a turn are few, but the rate at which they come tells how many hosts the turn needs.
Test(pool_capacity_planner, bringsHostsForWhatIsOfferedBeforeItWaits)
{
    turning_fleet fleet(4, 9, 30);
    fleet.play({ 2, 2, 2, 2 }, seconds(12));
    fleet.offer(1, 20);
    fleet.play({ 4, 2, 2, 2 }, milliseconds(1650));
    cr_assert_geq(fleet.hostsOf(1), 20, "%d", fleet.hostsOf(1));
}

// Switching a host off and on again is two moves; a free host of a pool that has too many needs one.
Test(pool_capacity_planner, takesFreeHostsOfOtherPoolsBeforeThoseThatAreOff)
{
    turning_fleet fleet(2, 20, 20);
    fleet.play({ 20, 1 }, seconds(5));
    fleet.play({ 1, 1 }, seconds(1));
    const int before = fleet.hostsOf(1);
    fleet.play({ 1, 20 }, milliseconds(150));
    cr_assert_lt(fleet.hostsOf(1), before);
}

// Lasting tasks that keep apart fill every host of their pool with little load; none can be emptied for its upkeep.
Test(pool_capacity_planner, bringsHostsThatEmptyOthersForTheirUpkeep)
{
    turning_fleet fleet(2, 6, 6);
    fleet.play({ 3, 1 }, seconds(8));
    const int before = fleet.hostsOf(1);
    fleet.lack(1, 2);
    fleet.play({ 3, 1 }, seconds(3));
    cr_assert_geq(fleet.hostsOf(1), before + 1);
    fleet.lack(1, 0);
    fleet.play({ 3, 1 }, seconds(5));
    cr_assert_eq(fleet.hostsOf(1), before);
}

// At the first sign of a pool's first turn the load still grows; hosts that are ordered later come late.
Test(pool_capacity_planner, expectsATurnThatHasJustBegunToGrow)
{
    turning_fleet fleet(4, 6, 30);
    fleet.play({ 2, 2, 2, 2 }, seconds(12));
    fleet.offer(1, 12);
    fleet.play({ 3, 2, 2, 2 }, milliseconds(1650));
    cr_assert_geq(fleet.hostsOf(1), 24, "%d", fleet.hostsOf(1));
}

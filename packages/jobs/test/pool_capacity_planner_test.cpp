#include <criterion/criterion.h>
#include <jujubespool/jobs/pool_capacity_planner.h>
#include <jujubespool/testing/table.h>
#include <utility>

namespace {

using namespace jujubespool;

constexpr std::int64_t HOST_CPU_MILLIS = 64000;
constexpr milliseconds STEP{ 150 };
constexpr milliseconds MOVE_TIME{ 1500 };

// A fleet whose pools have load in rotation. Work that does not fit waits.
class simulated_fleet
{
public:
    simulated_fleet(int poolCount, int hostsEach, int hostsOff)
    {
        m_pools.push_back({ "off", true, {}, 0, 0, 0, 0, 0, 0, 0, 0 });
        addHosts(m_pools[0], hostsOff);
        for (int i = 0; i < poolCount; ++i) {
            m_pools.push_back({ "pool-" + std::to_string(i), false, {}, 0, 0, 0, 0, 0, 0, 0, 0 });
            addHosts(m_pools.back(), hostsEach);
        }
    }

    // Loads each pool with work for this number of hosts for the given time.
    void run(const std::vector<int> &hostsNeeded, milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            arrive();
            for (std::size_t i = 1; i < m_pools.size(); ++i) {
                load(m_pools[i], hostsNeeded[i - 1] * HOST_CPU_MILLIS);
                if (m_late[i]) {
                    m_pools[i].lateUsedCpuMillis = m_pools[i].usedCpuMillis;
                    m_pools[i].lateCpuMillis = std::exchange(m_pools[i].waitingCpuMillis, 0);
                }
            }
            carryOut(m_planner.plan(m_pools, m_now));
            for (std::size_t i = 1; i < m_pools.size(); ++i) {
                m_hostSteps += static_cast<int>(m_pools[i].hosts.size());
            }
        }
    }

    // From now on, work that keeps this number of hosts busy is submitted to the pool.
    void offer(std::size_t pool, int hosts)
    {
        m_pools[pool].offeredCpuMillis = hosts * HOST_CPU_MILLIS;
    }

    // The pool needs this number of additional hosts to drain others for maintenance.
    void needForMaintenance(std::size_t pool, int hosts)
    {
        m_pools[pool].maintenanceCpuMillis = hosts * HOST_CPU_MILLIS;
    }

    int hostsOf(std::size_t pool) const
    {
        return static_cast<int>(m_pools[pool].hosts.size());
    }
    std::int64_t servedCpuMillis(std::size_t pool) const
    {
        return m_pools[pool].usedCpuMillis;
    }
    // All work of the pool is of jobs that cannot be on time any more.
    void setLate(std::size_t pool, bool late)
    {
        m_late[pool] = late;
    }
    // Lets time pass in which the planner is not called.
    void passUnplanned(duration time)
    {
        m_now += time;
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
    void addHosts(pool_snapshot &pool, int count)
    {
        for (int i = 0; i < count; ++i) {
            pool.hosts.push_back({ "h" + std::to_string(m_nextHost++), HOST_CPU_MILLIS, pool.standby, true, 0 });
        }
    }

    void load(pool_snapshot &pool, std::int64_t needed)
    {
        std::int64_t left = needed;
        for (planner_host &host : pool.hosts) {
            const bool busy = left > 0 && m_hostsToVacate.count(host.name) == 0;
            host.runs = busy ? 1 : 0;
            host.free = !busy;
            left -= busy ? HOST_CPU_MILLIS : 0;
        }
        pool.usedCpuMillis = needed - std::max<std::int64_t>(left, 0);
        pool.waitingCpuMillis = std::max<std::int64_t>(left, 0);
    }

    void carryOut(const capacity_plan &plan)
    {
        m_hostsToVacate.clear();
        for (const std::string &host : plan.hostsToVacate) {
            m_hostsToVacate[host] = true;
        }
        for (const host_move &move : plan.moves) {
            ++m_moves;
            for (pool_snapshot &pool : m_pools) {
                std::erase_if(pool.hosts, [&](const planner_host &host) { return host.name == move.host; });
                if (pool.name == move.toPool) {
                    ++pool.arriving;
                    pool.arrivingCpuMillis += HOST_CPU_MILLIS;
                }
            }
            m_movesInFlight.push_back({ m_now + MOVE_TIME, move });
        }
    }

    void arrive()
    {
        std::erase_if(m_movesInFlight, [&](const auto &scheduledMove) {
            if (scheduledMove.first > m_now) {
                return false;
            }
            for (pool_snapshot &pool : m_pools) {
                if (pool.name == scheduledMove.second.toPool) {
                    --pool.arriving;
                    pool.arrivingCpuMillis -= HOST_CPU_MILLIS;
                    pool.hosts.push_back({ scheduledMove.second.host, HOST_CPU_MILLIS, true, true, 0 });
                }
            }
            return true;
        });
    }

    pool_capacity_planner m_planner{ MOVE_TIME };
    std::vector<pool_snapshot> m_pools;
    std::vector<std::pair<instant, host_move>> m_movesInFlight;
    std::map<std::string, bool> m_hostsToVacate;
    std::map<std::size_t, bool> m_late;
    instant m_now{ seconds(100) };
    int m_nextHost = 0;
    int m_hostSteps = 0;
    int m_moves = 0;
};

} // namespace

Test(pool_capacity_planner, movesNothingInAFleetThatHasHadNoLoad)
{
    simulated_fleet fleet(4, 9, 8);
    fleet.run({ 0, 0, 0, 0 }, seconds(10));
    cr_assert_eq(fleet.moves(), 0);
}

Test(pool_capacity_planner, movesHostsToThePoolThatPeaks)
{
    simulated_fleet fleet(4, 9, 8);
    fleet.run({ 2, 2, 2, 2 }, seconds(5));
    fleet.run({ 20, 2, 2, 2 }, seconds(3));
    cr_assert_eq(fleet.servedCpuMillis(1), 20 * HOST_CPU_MILLIS);
}

Test(pool_capacity_planner, switchesIdleHostsOffAndKeepsHostsInUse)
{
    simulated_fleet fleet(4, 9, 8);
    fleet.run({ 2, 2, 2, 2 }, seconds(12));
    for (std::size_t pool = 1; pool <= 4; ++pool) {
        cr_assert(fleet.hostsOf(pool) >= 2 && fleet.hostsOf(pool) <= 4, "%d", fleet.hostsOf(pool));
        cr_assert_eq(fleet.servedCpuMillis(pool), 2 * HOST_CPU_MILLIS);
    }
}

// Two queues together need more than the whole fleet, one starting after the other: the second must get its share.
// The callers that were turned away in the gap come back within a second or two.
Test(pool_capacity_planner, keepsTheHostsOfTheTimeBeforeAGapInPlanning)
{
    simulated_fleet fleet(4, 9, 8);
    fleet.run({ 6, 2, 2, 2 }, seconds(5));
    fleet.run({ 0, 0, 0, 0 }, milliseconds(900));
    const int before = fleet.hostsOf(1);
    cr_assert_geq(before, 6);
    fleet.passUnplanned(seconds(8));
    fleet.run({ 0, 0, 0, 0 }, milliseconds(300));
    cr_assert_eq(fleet.hostsOf(1), before, "%d of %d hosts are left", fleet.hostsOf(1), before);
}

Test(pool_capacity_planner, dividesATooSmallFleetAmongThePools)
{
    simulated_fleet fleet(2, 10, 0);
    fleet.run({ 40, 1 }, seconds(6));
    cr_assert(fleet.hostsOf(1) >= 15);
    fleet.run({ 40, 40 }, seconds(10));
    cr_assert(fleet.hostsOf(2) >= 7, "%d", fleet.hostsOf(2));
    cr_assert(fleet.hostsOf(1) >= 7, "%d", fleet.hostsOf(1));
}

Test(pool_capacity_planner, movesNoHostsUnderASteadyLoad)
{
    simulated_fleet fleet(4, 9, 8);
    fleet.run({ 5, 5, 5, 5 }, seconds(10));
    const int before = fleet.moves();
    fleet.run({ 5, 5, 5, 5 }, seconds(60));
    cr_assert_eq(fleet.moves(), before);
}

// The first jobs of a peak are few, but their submission rate shows how many hosts the peak needs.
Test(pool_capacity_planner, movesHostsForOfferedLoadBeforeTasksWait)
{
    simulated_fleet fleet(4, 9, 30);
    fleet.run({ 2, 2, 2, 2 }, seconds(12));
    fleet.offer(1, 20);
    fleet.run({ 4, 2, 2, 2 }, milliseconds(1650));
    cr_assert_geq(fleet.hostsOf(1), 20, "%d", fleet.hostsOf(1));
}

// Switching a host off and on again takes two moves; moving an idle host of another pool takes one.
Test(pool_capacity_planner, takesIdleHostsOfOtherPoolsBeforeHostsThatAreOff)
{
    simulated_fleet fleet(2, 20, 20);
    fleet.run({ 20, 1 }, seconds(5));
    fleet.run({ 1, 1 }, seconds(1));
    const int before = fleet.hostsOf(1);
    fleet.run({ 1, 20 }, milliseconds(150));
    cr_assert_lt(fleet.hostsOf(1), before);
}

// Long-running tasks with anti-affinity occupy every host of their pool at little load, so none can be drained for
// maintenance.
Test(pool_capacity_planner, addsHostsToDrainOthersForMaintenance)
{
    simulated_fleet fleet(2, 6, 6);
    fleet.run({ 3, 1 }, seconds(8));
    const int before = fleet.hostsOf(1);
    fleet.needForMaintenance(1, 2);
    fleet.run({ 3, 1 }, seconds(3));
    cr_assert_geq(fleet.hostsOf(1), before + 1);
    fleet.needForMaintenance(1, 0);
    fleet.run({ 3, 1 }, seconds(5));
    cr_assert_eq(fleet.hostsOf(1), before);
}

// At the start of a pool's first peak the load is still growing; hosts that are ordered later arrive too late.
Test(pool_capacity_planner, provisionsForTheGrowthOfAPeakThatHasJustStarted)
{
    simulated_fleet fleet(4, 6, 30);
    fleet.run({ 2, 2, 2, 2 }, seconds(12));
    fleet.offer(1, 12);
    fleet.run({ 3, 2, 2, 2 }, milliseconds(1650));
    cr_assert_geq(fleet.hostsOf(1), 24, "%d", fleet.hostsOf(1));
}

// The queues peak in rotation, so the first peak of one will be about as high as those that others have had.
Test(pool_capacity_planner, provisionsForAFirstPeakLikeThoseOfOtherPools)
{
    simulated_fleet fleet(4, 6, 30);
    fleet.run({ 2, 2, 2, 2 }, seconds(6));
    fleet.offer(1, 24);
    fleet.run({ 24, 2, 2, 2 }, seconds(6));
    fleet.offer(1, 1);
    fleet.run({ 2, 2, 2, 2 }, seconds(4));
    fleet.offer(2, 7);
    fleet.run({ 2, 6, 2, 2 }, milliseconds(1650));
    cr_assert_geq(fleet.hostsOf(2), 20, "%d", fleet.hostsOf(2));
}

// After an overload a pool is full of late work. Another pool whose work can be on time must not wait until that is done.
Test(pool_capacity_planner, takesHostsFromLateWorkForWorkThatCanBeOnTime)
{
    simulated_fleet fleet(2, 18, 0);
    fleet.run({ 30, 2 }, seconds(6));
    fleet.setLate(1, true);
    fleet.run({ 60, 2 }, seconds(3));
    cr_assert_geq(fleet.hostsOf(1), 28, "%d", fleet.hostsOf(1));
    fleet.run({ 60, 20 }, milliseconds(4500));
    cr_assert_geq(fleet.servedCpuMillis(2), 18 * HOST_CPU_MILLIS, "%d hosts", static_cast<int>(fleet.servedCpuMillis(2) / HOST_CPU_MILLIS));
    cr_assert_geq(fleet.hostsOf(1), 10, "%d", fleet.hostsOf(1));
}

// Plans which hosts move between pools, and which are switched off.
//
//     pool_capacity_planner planner(hostLeadTime);
//     const capacity_plan plan = planner.plan(pools, now);
//
// Designed for loads whose queues peak in rotation: each queue needs several times its mean for some seconds, and
// little in between. A pool that needs more capacity gets hosts that are switched off or idle in other pools; hosts
// that have been idle for a while are switched off. Once a pool has had a peak, the first rise of the next one
// causes orders for the hosts that the whole peak needs. Once the peaks have come at regular intervals, the hosts are ordered ahead of
// the next one (peak_forecaster.h), and a pool whose peak is over releases its hosts immediately. When the fleet
// is too small for the total demand, each pool gets a proportional share, and pools that hold more than theirs
// vacate hosts as their tasks end. CPU amounts are in thousandths of a core.
//
// Steps that wait for something else than CPU (host_demand.h) get the hosts that hold their tasks first: those of their own pool are
// kept for them, then come hosts that other pools can spare. Steps that the hosts cannot hold get none.
#pragma once

#include <jujubespool/jobs/host_demand.h>
#include <jujubespool/jobs/peak_forecaster.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubespool {

struct planner_host
{
    std::string name;
    std::int64_t cpuMillis = 0;
    // Runs nothing and has no pending order.
    bool free = false;
    // Runs only tasks that end by themselves.
    bool canVacate = false;
    int runs = 0;
    resources capacity{};
    // The part of the capacity that no run uses.
    resources freeCapacity{};
    // Empty if there is none.
    std::string worker{};
    // Null if the host has no labels. They have to outlive the plan.
    const std::vector<std::string> *labels = nullptr;
};

// State of a pool at the time of planning.
struct pool_snapshot
{
    std::string name;
    // Hosts in this pool are switched off.
    bool standby = false;
    std::vector<planner_host> hosts;
    // Hosts that are moving to this pool.
    int arriving = 0;
    std::int64_t arrivingCpuMillis = 0;
    // CPU in use, and the part of it that runs tasks of jobs that cannot be on time any more.
    std::int64_t usedCpuMillis = 0;
    std::int64_t lateUsedCpuMillis = 0;
    // CPU that waiting tasks need: those of jobs that can be on time, and those of jobs that cannot.
    std::int64_t waitingCpuMillis = 0;
    std::int64_t lateCpuMillis = 0;
    // CPU that recently submitted work keeps busy, by its own estimate.
    std::int64_t offeredCpuMillis = 0;
    // CPU of the hosts that the pool needs in addition to its load, to drain other hosts for maintenance.
    std::int64_t maintenanceCpuMillis = 0;
    // Steps that wait for hosts, and the hosts that are moving to this pool; looked at only if there are such steps.
    std::vector<waiting_step> waitingSteps{};
    std::vector<planner_host> arrivingHosts{};
    // Hosts whose move to this pool the platform rejects.
    std::set<std::string> rejectedHosts{};
    // Hosts that are cordoned for a wave; they are not among the others.
    int cordoned = 0;
};

// True when the CPU that the pool's waiting tasks count for is free.
bool hasFreeCpuForWaitingTasks(const pool_snapshot &pool);

struct host_move
{
    std::string host;
    std::string toPool;

    bool operator==(const host_move &other) const = default;
};

struct capacity_plan
{
    std::vector<host_move> moves;
    // Hosts that should get no new work, so that they become free for other pools.
    std::vector<std::string> hostsToVacate;
};

class pool_capacity_planner
{
public:
    // The lead time is the time between the order for a host and its first task in the new pool.
    explicit pool_capacity_planner(milliseconds hostLeadTime);

    // Records load from before this planner was created, oldest first.
    void recordPastLoad(const std::string &pool, std::int64_t offeredCpuMillis, instant at);
    // Call regularly: the plan depends on the loads of earlier calls. After a gap between two calls no pool
    // shrinks at first: the callers that were turned away in the gap come back.
    capacity_plan plan(const std::vector<pool_snapshot> &pools, instant now);
    // CPU that the pool should have.
    std::int64_t targetCpuMillis(const std::string &pool) const;

private:
    struct pool_history
    {
        // Largest recent need; it decays slowly.
        double peakCpuMillis = 0;
        // Need below which the pool does not shrink; it decays quickly.
        double recentNeedCpuMillis = 0;
        std::int64_t targetCpuMillis = 0;
        std::map<std::string, instant> freeSince;
    };
    // Capacity and moved hosts while a plan is being made.
    struct allocation
    {
        std::map<std::string, std::int64_t> capacity;
        std::map<std::string, bool> moved;
        // Hosts that stay in their pool for a step that waits there.
        std::set<std::string> kept;
    };
    // A host that a waiting step may use, and the pool that it is in; null for a host that is moving to the step's pool.
    struct candidate_host
    {
        const pool_snapshot *pool = nullptr;
        const planner_host *host = nullptr;
    };
    void updateTarget(const pool_snapshot &pool, duration elapsed, instant now);
    // Estimate of the first peak of a pool, rarely too high; 0 if no other pool has had a peak.
    double smallestPeakOfOthers(const std::string &pool) const;
    void raiseTargetForNextPeak(instant now);
    void scaleTargetsToCapacity(const std::vector<pool_snapshot> &pools, const allocation &state);
    // Keeps, moves and vacates hosts for the steps of the pool that wait for hosts.
    void provideHostsForSteps(const pool_snapshot &pool, const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan);
    std::vector<candidate_host> candidatesFor(const pool_snapshot &receiver, const std::vector<pool_snapshot> &pools,
                                              const allocation &state);
    void fillDeficits(const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan);
    void switchOffIdleHosts(const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan, instant now);
    void chooseHostsToVacate(const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan);
    bool canSpare(const pool_snapshot &pool, const planner_host &host, const allocation &state);

    milliseconds m_hostLeadTime;
    peak_forecaster m_forecaster;
    std::map<std::string, pool_history> m_pools;
    instant m_lastPlanAt;
    instant m_shrinkNotBefore;
    bool m_hadLoad = false;
};

} // namespace jujubespool

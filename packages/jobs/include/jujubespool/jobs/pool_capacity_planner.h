// Decides which hosts move between pools, and which are switched off.
//
//     pool_capacity_planner sizer;
//     const sizer_decision decision = sizer.decide(pools, now);
//
// Answers loads that come by turns: each queue asks several times its mean for some seconds and little in between.
// A pool that needs more gets hosts that are switched off or that run nothing in other pools; hosts that have run
// nothing for a while are switched off. Once a pool has had a peak, the first rise of the next one brings hosts
// for the whole of it; once the peaks have come at even intervals, the hosts are ordered ahead of the next
// (peak_forecaster.h), and a pool whose turn is over gives its hosts back at once. When the fleet is too small for all, each pool gets its
// part, and pools that hold more than theirs release hosts as their tasks end.
#pragma once

#include <jujubespool/jobs/peak_forecaster.h>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

struct sizer_host
{
    std::string name;
    std::int64_t cpuMillis = 0;
    // Runs nothing and has no order on its way.
    bool free = false;
    // Runs only tasks that end soon.
    bool releasable = false;
    int runs = 0;
};

// A pool as the sizer sees it.
struct sizer_pool
{
    std::string name;
    // Its hosts are switched off.
    bool standby = false;
    std::vector<sizer_host> hosts;
    // Hosts that are on their way here.
    int arriving = 0;
    std::int64_t arrivingCpuMillis = 0;
    // Processors in use.
    std::int64_t usedMillis = 0;
    // Processors for which tasks wait whose jobs can be on time, and those of jobs that cannot.
    std::int64_t waitingMillis = 0;
    std::int64_t lateMillis = 0;
    // Processors that the work handed in of late keeps busy, by its own estimate.
    std::int64_t offeredMillis = 0;
    // Processors of the hosts that the pool needs beside its load, to empty others for their upkeep.
    std::int64_t lackingMillis = 0;
};

struct host_move
{
    std::string host;
    std::string toPool;

    bool operator==(const host_move &other) const = default;
};

struct sizer_decision
{
    std::vector<host_move> moves;
    // Hosts that take no new work, so that they become free for other pools.
    std::vector<std::string> released;
};

class pool_capacity_planner
{
public:
    // The lead is the time between the order for a host and its first task in the new pool.
    explicit pool_capacity_planner(milliseconds lead);

    // Work that was handed in before this sizer existed, oldest first.
    void noteFormerLoad(const std::string &pool, std::int64_t offeredMillis, instant at);
    sizer_decision decide(const std::vector<sizer_pool> &pools, instant now);
    // Processors that the pool should have.
    std::int64_t wantedMillis(const std::string &pool) const;

private:
    struct history
    {
        // Largest need of late, which falls slowly.
        double peakMillis = 0;
        // Need below which the pool does not shrink.
        double heldMillis = 0;
        std::int64_t wantedMillis = 0;
        std::map<std::string, instant> freeSince;
    };
    struct balance
    {
        std::map<std::string, std::int64_t> capacity;
        std::map<std::string, bool> given;
    };
    void updateNeed(const sizer_pool &pool, duration elapsed, instant now);
    void provideForNextTurn(instant now);
    void divideAmongAll(const std::vector<sizer_pool> &pools, const balance &now);
    void fillDeficits(const std::vector<sizer_pool> &pools, balance &now, sizer_decision &decision);
    void switchOff(const std::vector<sizer_pool> &pools, balance &state, sizer_decision &decision, instant now);
    void release(const std::vector<sizer_pool> &pools, balance &state, sizer_decision &decision);
    bool mayGive(const sizer_pool &pool, const sizer_host &host, balance &state);

    milliseconds m_lead;
    peak_forecaster m_forecast;
    std::map<std::string, history> m_pools;
    instant m_lastDecision;
    bool m_used = false;
};

} // namespace jujubespool

// Decides which hosts move between pools, and which are switched off.
//
//     pool_sizer sizer;
//     for (const host_move &move : sizer.decide(pools, now)) { ... }
//
// Answers loads that come by turns: each queue asks several times its mean for some seconds and little in between.
// A pool that needs more gets hosts that are switched off or that run nothing in other pools; hosts that have run
// nothing for a while are switched off. Once a pool has had a peak, the first rise of the next one brings hosts
// for the whole of it.
#pragma once

#include <jujubespool/core/time.h>
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
    // Processors in use, and those for which tasks wait.
    std::int64_t usedMillis = 0;
    std::int64_t waitingMillis = 0;
};

struct host_move
{
    std::string host;
    std::string toPool;

    bool operator==(const host_move &other) const = default;
};

class pool_sizer
{
public:
    std::vector<host_move> decide(const std::vector<sizer_pool> &pools, instant now);
    // Processors that the pool should have.
    std::int64_t wantedMillis(const std::string &pool) const;

private:
    struct history
    {
        // Largest need of late, which falls slowly.
        double peakMillis = 0;
        // Need over which the pool does not shrink.
        double heldMillis = 0;
        std::int64_t wantedMillis = 0;
        bool rising = false;
        std::map<std::string, instant> freeSince;
    };
    void updateNeed(const sizer_pool &pool, duration elapsed, instant now);
    static std::int64_t capacityOf(const sizer_pool &pool);

    std::map<std::string, history> m_pools;
    instant m_lastDecision;
    bool m_used = false;
};

} // namespace jujubespool

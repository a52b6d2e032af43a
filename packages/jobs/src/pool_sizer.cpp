#include <jujubespool/jobs/pool_sizer.h>

#include <algorithm>
#include <cmath>

namespace jujubespool {

namespace {

// Room beyond the need: tasks do not fill hosts without gaps, and a rise is seen late.
constexpr double HEADROOM = 1.25;
// A peak is forgotten by half in this time.
constexpr double PEAK_HALF_LIFE_S = 30;
// What the pool needed lately still counts, falling by half in this time.
constexpr double HELD_HALF_LIFE_S = 1.5;
// Part of the last peak at which a rise counts as the next one, and the part of it that is then provided.
constexpr double RISE_SHARE = 0.3;
constexpr double PROVIDED_SHARE = 0.8;
// A host that has been free for so long may be switched off: two moves cost about as much as it does meanwhile.
constexpr milliseconds FREE_BEFORE_OFF{ 1500 };

double halved(double value, duration elapsed, double halfLifeS)
{
    return value * std::exp2(-static_cast<double>(elapsed.count()) / 1e6 / halfLifeS);
}

} // namespace

std::int64_t pool_sizer::capacityOf(const sizer_pool &pool)
{
    std::int64_t capacity = pool.arrivingCpuMillis;
    for (const sizer_host &host : pool.hosts) {
        capacity += host.cpuMillis;
    }
    return capacity;
}

std::int64_t pool_sizer::wantedMillis(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.wantedMillis;
}

void pool_sizer::updateNeed(const sizer_pool &pool, duration elapsed, instant now)
{
    history &past = m_pools[pool.name];
    const auto need = static_cast<double>(pool.usedMillis + pool.waitingMillis);
    past.rising = need > past.heldMillis;
    past.peakMillis = std::max(need, halved(past.peakMillis, elapsed, PEAK_HALF_LIFE_S));
    past.heldMillis = std::max(need, halved(past.heldMillis, elapsed, HELD_HALF_LIFE_S));
    double wanted = past.heldMillis * HEADROOM;
    if (past.rising && need > past.peakMillis * RISE_SHARE) {
        wanted = std::max(wanted, past.peakMillis * PROVIDED_SHARE * HEADROOM);
    }
    past.wantedMillis = static_cast<std::int64_t>(wanted);
    m_used = m_used || need > 0;
    std::map<std::string, instant> freeSince;
    for (const sizer_host &host : pool.hosts) {
        if (host.free) {
            const auto before = past.freeSince.find(host.name);
            freeSince[host.name] = before == past.freeSince.end() ? now : before->second;
        }
    }
    past.freeSince = std::move(freeSince);
}

std::vector<host_move> pool_sizer::decide(const std::vector<sizer_pool> &pools, instant now)
{
    const duration elapsed = m_lastDecision == instant() ? duration(0) : now - m_lastDecision;
    m_lastDecision = now;
    std::map<std::string, std::int64_t> capacity;
    const sizer_pool *standby = nullptr;
    for (const sizer_pool &pool : pools) {
        updateNeed(pool, elapsed, now);
        capacity[pool.name] = capacityOf(pool);
        standby = pool.standby ? &pool : standby;
    }
    std::vector<host_move> moves;
    if (!m_used) {
        return moves;
    }
    // What may be given away: hosts that are off first, then free hosts of pools that have more than they want.
    std::vector<std::pair<const sizer_pool *, const sizer_host *>> givers;
    for (const bool off : { true, false }) {
        for (const sizer_pool &pool : pools) {
            for (const sizer_host &host : pool.hosts) {
                if (pool.standby == off && host.free) {
                    givers.emplace_back(&pool, &host);
                }
            }
        }
    }
    const auto spare = [&](const sizer_pool &pool, const sizer_host &host) {
        return pool.standby || capacity[pool.name] - host.cpuMillis >= m_pools[pool.name].wantedMillis;
    };
    std::map<std::string, bool> given;
    for (const sizer_pool &pool : pools) {
        for (const auto &[giver, host] : givers) {
            if (pool.standby || capacity[pool.name] >= m_pools[pool.name].wantedMillis) {
                break;
            }
            if (giver != &pool && !given[host->name] && spare(*giver, *host)) {
                given[host->name] = true;
                capacity[giver->name] -= host->cpuMillis;
                capacity[pool.name] += host->cpuMillis;
                moves.push_back({ host->name, pool.name });
            }
        }
    }
    for (const auto &[giver, host] : givers) {
        const bool longFree = !giver->standby && now - m_pools[giver->name].freeSince[host->name] >= FREE_BEFORE_OFF;
        if (standby != nullptr && longFree && !given[host->name] && spare(*giver, *host)) {
            capacity[giver->name] -= host->cpuMillis;
            moves.push_back({ host->name, standby->name });
        }
    }
    return moves;
}

} // namespace jujubespool

#include <jujubespool/jobs/pool_capacity_planner.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jujubespool {

namespace {

// Room beyond the need: tasks do not fill hosts without gaps, and a rise is seen late.
constexpr double HEADROOM = 1.2;
// Late work still counts by this part, so that it is done in the end.
constexpr double LATE_SHARE = 0.3;
// A peak is forgotten by half in this time.
constexpr double PEAK_HALF_LIFE_S = 30;
// What the pool needed lately still counts, falling by half in this time.
constexpr double HELD_HALF_LIFE_S = 1.5;
// The same for a pool whose turn is over.
constexpr double HELD_AFTER_TURN_S = 0.3;
// Part of the last peak at which a rise counts as the next one, and the part of it that is then provided.
constexpr double RISE_SHARE = 0.3;
constexpr double PROVIDED_SHARE = 0.8;
// What is offered in the first moments of a turn grows by this before the hosts for it are there.
constexpr double RISE_GROWTH = 2;
// A host that has been free for so long is switched off: two moves cost about as much as it does meanwhile.
constexpr milliseconds FREE_BEFORE_OFF{ 1500 };
constexpr milliseconds FREE_BEFORE_OFF_AFTER_TURN{ 300 };
// A turn that is expected is waited for this long after its time.
constexpr milliseconds TURN_WAIT{ 800 };
// A pool releases hosts only to pools that have less than this part of its own supply.
constexpr double RELEASE_RATIO = 0.7;

double halved(double value, duration elapsed, double halfLifeS)
{
    return value * std::exp2(-static_cast<double>(elapsed.count()) / 1e6 / halfLifeS);
}

std::int64_t capacityOf(const sizer_pool &pool)
{
    std::int64_t capacity = pool.arrivingCpuMillis;
    for (const sizer_host &host : pool.hosts) {
        capacity += host.cpuMillis;
    }
    return capacity;
}

std::int64_t freeMillisOf(const sizer_pool &pool)
{
    std::int64_t free = pool.arrivingCpuMillis;
    for (const sizer_host &host : pool.hosts) {
        free += host.free ? host.cpuMillis : 0;
    }
    return free;
}

} // namespace

pool_capacity_planner::pool_capacity_planner(milliseconds lead)
    : m_lead(lead)
{
}

void pool_capacity_planner::noteFormerLoad(const std::string &pool, std::int64_t offeredMillis, instant at)
{
    m_forecast.note(pool, offeredMillis, at);
    double &peak = m_pools[pool].peakMillis;
    peak = std::max(peak, static_cast<double>(offeredMillis));
}

std::int64_t pool_capacity_planner::wantedMillis(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.wantedMillis;
}

void pool_capacity_planner::updateNeed(const sizer_pool &pool, duration elapsed, instant now)
{
    history &past = m_pools[pool.name];
    if (!pool.standby) {
        m_forecast.note(pool.name, pool.offeredMillis, now);
    }
    const double backlog = static_cast<double>(pool.usedMillis + pool.waitingMillis) + LATE_SHARE * static_cast<double>(pool.lateMillis);
    const double growth = m_forecast.isRising(pool.name, now) ? RISE_GROWTH : 1;
    const double need = std::max(backlog, growth * static_cast<double>(pool.offeredMillis));
    const bool rising = need > past.heldMillis;
    past.peakMillis = std::max(need, halved(past.peakMillis, elapsed, PEAK_HALF_LIFE_S));
    past.heldMillis = std::max(need, halved(past.heldMillis, elapsed, m_forecast.isOver(pool.name) ? HELD_AFTER_TURN_S : HELD_HALF_LIFE_S));
    double wanted = past.heldMillis * HEADROOM;
    if (rising && need > past.peakMillis * RISE_SHARE) {
        wanted = std::max(wanted, past.peakMillis * PROVIDED_SHARE * HEADROOM);
    }
    past.wantedMillis = static_cast<std::int64_t>(wanted);
    if (pool.lackingMillis > 0) {
        // What there is may be full of lasting tasks, so that only further hosts help.
        past.wantedMillis = std::max(past.wantedMillis, capacityOf(pool) - freeMillisOf(pool) + pool.lackingMillis);
    }
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

void pool_capacity_planner::provideForNextTurn(instant now)
{
    const std::optional<expected_peak> turn = m_forecast.next(now);
    if (!turn || now < turn->at - m_lead || now > turn->at + TURN_WAIT) {
        return;
    }
    double peak = m_pools[turn->pool].peakMillis;
    if (!m_forecast.hadTurn(turn->pool)) {
        // Its first turn: the smallest of the others' peaks is a guess that is seldom too high.
        peak = 0;
        for (const auto &[name, past] : m_pools) {
            if (m_forecast.hadTurn(name)) {
                peak = peak > 0 ? std::min(peak, past.peakMillis) : past.peakMillis;
            }
        }
    }
    std::int64_t &wanted = m_pools[turn->pool].wantedMillis;
    wanted = std::max(wanted, static_cast<std::int64_t>(peak * PROVIDED_SHARE * HEADROOM));
}

void pool_capacity_planner::divideAmongAll(const std::vector<sizer_pool> &pools, const balance &now)
{
    double wanted = 0;
    double capacity = 0;
    for (const sizer_pool &pool : pools) {
        wanted += static_cast<double>(m_pools[pool.name].wantedMillis);
        capacity += static_cast<double>(now.capacity.at(pool.name));
    }
    if (wanted <= capacity || wanted <= 0) {
        return;
    }
    for (const sizer_pool &pool : pools) {
        std::int64_t &part = m_pools[pool.name].wantedMillis;
        part = static_cast<std::int64_t>(static_cast<double>(part) * capacity / wanted);
    }
}

bool pool_capacity_planner::mayGive(const sizer_pool &pool, const sizer_host &host, balance &state)
{
    return pool.standby || state.capacity[pool.name] - host.cpuMillis >= m_pools[pool.name].wantedMillis;
}

void pool_capacity_planner::fillDeficits(const std::vector<sizer_pool> &pools, balance &state, sizer_decision &decision)
{
    // Free hosts of pools that have more than they want go first, which saves switching them off; then those that are off.
    std::vector<std::pair<const sizer_pool *, const sizer_host *>> givers;
    for (const bool off : { false, true }) {
        for (const sizer_pool &pool : pools) {
            for (const sizer_host &host : pool.hosts) {
                if (pool.standby == off && host.free) {
                    givers.emplace_back(&pool, &host);
                }
            }
        }
    }
    std::vector<const sizer_pool *> takers;
    for (const sizer_pool &pool : pools) {
        if (!pool.standby) {
            takers.push_back(&pool);
        }
    }
    const auto supply = [&](const sizer_pool *pool) {
        const std::int64_t wanted = std::max<std::int64_t>(m_pools[pool->name].wantedMillis, 1);
        return wanted == 1 ? 1.0 : static_cast<double>(state.capacity[pool->name]) / static_cast<double>(wanted);
    };
    for (const auto &[giver, host] : givers) {
        const auto poorest = std::min_element(takers.begin(), takers.end(),
                                              [&](const auto *left, const auto *right) { return supply(left) < supply(right); });
        if (poorest == takers.end() || supply(*poorest) >= 1) {
            return;
        }
        if (*poorest != giver && mayGive(*giver, *host, state)) {
            state.given[host->name] = true;
            state.capacity[giver->name] -= host->cpuMillis;
            state.capacity[(*poorest)->name] += host->cpuMillis;
            decision.moves.push_back({ host->name, (*poorest)->name });
        }
    }
}

void pool_capacity_planner::switchOff(const std::vector<sizer_pool> &pools, balance &state, sizer_decision &decision, instant now)
{
    const auto standby = std::find_if(pools.begin(), pools.end(), [](const sizer_pool &pool) { return pool.standby; });
    if (standby == pools.end()) {
        return;
    }
    for (const sizer_pool &pool : pools) {
        for (const sizer_host &host : pool.hosts) {
            const bool idle = !pool.standby && host.free && !state.given[host.name];
            const milliseconds least = m_forecast.isOver(pool.name) ? FREE_BEFORE_OFF_AFTER_TURN : FREE_BEFORE_OFF;
            if (idle && now - m_pools[pool.name].freeSince[host.name] >= least && mayGive(pool, host, state)) {
                state.capacity[pool.name] -= host.cpuMillis;
                decision.moves.push_back({ host.name, standby->name });
            }
        }
    }
}

void pool_capacity_planner::release(const std::vector<sizer_pool> &pools, balance &state, sizer_decision &decision)
{
    double poorest = 1;
    std::int64_t missing = 0;
    for (const sizer_pool &pool : pools) {
        const std::int64_t wanted = m_pools[pool.name].wantedMillis;
        if (!pool.standby && wanted > state.capacity[pool.name]) {
            poorest = std::min(poorest, static_cast<double>(state.capacity[pool.name]) / static_cast<double>(wanted));
            missing += wanted - state.capacity[pool.name];
        }
    }
    if (poorest >= RELEASE_RATIO) {
        return;
    }
    for (const sizer_pool &pool : pools) {
        std::vector<const sizer_host *> hosts;
        for (const sizer_host &host : pool.hosts) {
            if (!pool.standby && host.releasable && !host.free && !state.given[host.name]) {
                hosts.push_back(&host);
            }
        }
        std::sort(hosts.begin(), hosts.end(), [](const sizer_host *left, const sizer_host *right) {
            return std::tie(left->runs, left->name) < std::tie(right->runs, right->name);
        });
        for (const sizer_host *host : hosts) {
            if (missing <= 0 || !mayGive(pool, *host, state)) {
                break;
            }
            state.capacity[pool.name] -= host->cpuMillis;
            missing -= host->cpuMillis;
            decision.released.push_back(host->name);
        }
    }
}

sizer_decision pool_capacity_planner::decide(const std::vector<sizer_pool> &pools, instant now)
{
    const duration elapsed = m_lastDecision == instant() ? duration(0) : now - m_lastDecision;
    m_lastDecision = now;
    balance state;
    for (const sizer_pool &pool : pools) {
        updateNeed(pool, elapsed, now);
        state.capacity[pool.name] = capacityOf(pool);
    }
    provideForNextTurn(now);
    sizer_decision decision;
    if (m_used) {
        divideAmongAll(pools, state);
        fillDeficits(pools, state, decision);
        switchOff(pools, state, decision, now);
        release(pools, state, decision);
    }
    return decision;
}

} // namespace jujubespool

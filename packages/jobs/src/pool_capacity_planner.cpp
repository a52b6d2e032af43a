#include <jujubespool/jobs/pool_capacity_planner.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jujubespool {

namespace {

// Capacity beyond the need: tasks do not fill hosts without gaps, and a rise is detected late.
constexpr double HEADROOM_FACTOR = 1.2;
// Work of jobs that cannot be on time counts with this weight, so that it is completed eventually.
constexpr double LATE_WORK_RATIO = 0.3;
// Half-life of the recorded peak.
constexpr double PEAK_HALF_LIFE_S = 30;
// Half-life of the recent need, below which a pool does not shrink.
constexpr double NEED_HALF_LIFE_S = 1.5;
// The same for a pool whose peak is over.
constexpr double NEED_HALF_LIFE_AFTER_PEAK_S = 0.3;
// A rise above the first share of the last peak counts as the next peak; the second share of it is then provisioned.
constexpr double RISE_RATIO = 0.3;
constexpr double PROVISIONED_PEAK_RATIO = 0.8;
// The load at the start of a peak grows by this factor before the hosts for it have arrived.
constexpr double RISE_GROWTH_FACTOR = 2;
// An idle host is switched off after this time: two moves cost about as much as the host does in the meantime.
constexpr milliseconds IDLE_TIME_BEFORE_OFF{ 1500 };
constexpr milliseconds IDLE_TIME_BEFORE_OFF_AFTER_PEAK{ 300 };
// How long an overdue peak is still expected.
constexpr milliseconds LATE_PEAK_TOLERANCE{ 800 };
// A longer time between two plans is a gap, for example an outage of the store, in which callers were turned away.
constexpr milliseconds MAX_PLAN_INTERVAL{ 1000 };
// Time in which the callers that were turned away meanwhile come back; no pool shrinks before.
constexpr milliseconds CALLERS_RETURN_TIME{ 1500 };
// Pools vacate hosts only when another pool has less than this share of its target.
constexpr double VACATE_SUPPLY_RATIO = 0.7;

double decayed(double value, duration elapsed, double halfLifeS)
{
    return value * std::exp2(-static_cast<double>(elapsed.count()) / 1e6 / halfLifeS);
}

std::int64_t capacityOf(const pool_snapshot &pool)
{
    std::int64_t capacity = pool.arrivingCpuMillis;
    for (const planner_host &host : pool.hosts) {
        capacity += host.cpuMillis;
    }
    return capacity;
}

std::int64_t freeCpuMillisOf(const pool_snapshot &pool)
{
    std::int64_t free = pool.arrivingCpuMillis;
    for (const planner_host &host : pool.hosts) {
        free += host.free ? host.cpuMillis : 0;
    }
    return free;
}

} // namespace

bool hasFreeCpuForWaitingTasks(const pool_snapshot &pool)
{
    const double waiting = static_cast<double>(pool.waitingCpuMillis) + LATE_WORK_RATIO * static_cast<double>(pool.lateCpuMillis);
    return waiting <= static_cast<double>(capacityOf(pool) - pool.usedCpuMillis);
}

pool_capacity_planner::pool_capacity_planner(milliseconds hostLeadTime)
    : m_hostLeadTime(hostLeadTime)
{
}

void pool_capacity_planner::recordPastLoad(const std::string &pool, std::int64_t offeredCpuMillis, instant at)
{
    m_forecaster.recordLoad(pool, offeredCpuMillis, at);
    double &peak = m_pools[pool].peakCpuMillis;
    peak = std::max(peak, static_cast<double>(offeredCpuMillis));
}

std::int64_t pool_capacity_planner::targetCpuMillis(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.targetCpuMillis;
}

void pool_capacity_planner::updateTarget(const pool_snapshot &pool, duration elapsed, instant now)
{
    pool_history &history = m_pools[pool.name];
    if (!pool.standby) {
        m_forecaster.recordLoad(pool.name, pool.offeredCpuMillis, now);
    }
    // Late work fills all hosts that it gets, so it counts alike whether it runs or waits. Otherwise its pool would keep them while
    // work that can still be on time waits in another one.
    const std::int64_t onTime = pool.usedCpuMillis - pool.lateUsedCpuMillis + pool.waitingCpuMillis;
    const std::int64_t late = pool.lateUsedCpuMillis + pool.lateCpuMillis;
    const double backlog = static_cast<double>(onTime) + LATE_WORK_RATIO * static_cast<double>(late);
    const double growth = m_forecaster.isRising(pool.name, now) ? RISE_GROWTH_FACTOR : 1;
    const double need = std::max(backlog, growth * static_cast<double>(pool.offeredCpuMillis));
    const bool rising = need > history.recentNeedCpuMillis;
    history.peakCpuMillis = std::max(need, decayed(history.peakCpuMillis, elapsed, PEAK_HALF_LIFE_S));
    history.recentNeedCpuMillis = std::max(
        need,
        decayed(history.recentNeedCpuMillis, elapsed, m_forecaster.isPeakOver(pool.name) ? NEED_HALF_LIFE_AFTER_PEAK_S : NEED_HALF_LIFE_S));
    double target = history.recentNeedCpuMillis * HEADROOM_FACTOR;
    if (rising && need > history.peakCpuMillis * RISE_RATIO) {
        target = std::max(target, history.peakCpuMillis * PROVISIONED_PEAK_RATIO * HEADROOM_FACTOR);
    }
    if (m_forecaster.isFirstPeak(pool.name) && m_forecaster.isRising(pool.name, now)) {
        target = std::max(target, smallestPeakOfOthers(pool.name) * PROVISIONED_PEAK_RATIO * HEADROOM_FACTOR);
    }
    history.targetCpuMillis = static_cast<std::int64_t>(target);
    if (pool.maintenanceCpuMillis > 0) {
        // The present hosts may be full of long-running tasks, so only additional hosts help.
        history.targetCpuMillis = std::max(history.targetCpuMillis, capacityOf(pool) - freeCpuMillisOf(pool) + pool.maintenanceCpuMillis);
    }
    m_hadLoad = m_hadLoad || need > 0;
    std::map<std::string, instant> freeSince;
    for (const planner_host &host : pool.hosts) {
        if (host.free) {
            const auto before = history.freeSince.find(host.name);
            freeSince[host.name] = before == history.freeSince.end() ? now : before->second;
        }
    }
    history.freeSince = std::move(freeSince);
}

double pool_capacity_planner::smallestPeakOfOthers(const std::string &pool) const
{
    double smallest = 0;
    for (const auto &[name, history] : m_pools) {
        if (name != pool && m_forecaster.hadPeak(name)) {
            smallest = smallest > 0 ? std::min(smallest, history.peakCpuMillis) : history.peakCpuMillis;
        }
    }
    return smallest;
}

void pool_capacity_planner::raiseTargetForNextPeak(instant now)
{
    const std::optional<expected_peak> peak = m_forecaster.nextPeak(now);
    if (!peak || now < peak->at - m_hostLeadTime || now > peak->at + LATE_PEAK_TOLERANCE) {
        return;
    }
    double provisioned = m_pools[peak->pool].peakCpuMillis;
    if (!m_forecaster.hadPeak(peak->pool)) {
        provisioned = smallestPeakOfOthers(peak->pool);
    }
    std::int64_t &target = m_pools[peak->pool].targetCpuMillis;
    target = std::max(target, static_cast<std::int64_t>(provisioned * PROVISIONED_PEAK_RATIO * HEADROOM_FACTOR));
}

void pool_capacity_planner::scaleTargetsToCapacity(const std::vector<pool_snapshot> &pools, const allocation &state)
{
    double totalTarget = 0;
    double capacity = 0;
    for (const pool_snapshot &pool : pools) {
        totalTarget += static_cast<double>(m_pools[pool.name].targetCpuMillis);
        capacity += static_cast<double>(state.capacity.at(pool.name));
    }
    if (totalTarget <= capacity || totalTarget <= 0) {
        return;
    }
    for (const pool_snapshot &pool : pools) {
        std::int64_t &target = m_pools[pool.name].targetCpuMillis;
        target = static_cast<std::int64_t>(static_cast<double>(target) * capacity / totalTarget);
    }
}

bool pool_capacity_planner::canSpare(const pool_snapshot &pool, const planner_host &host, const allocation &state)
{
    if (state.moved.count(host.name) > 0 || state.kept.count(host.name) > 0) {
        return false;
    }
    return pool.standby || state.capacity.at(pool.name) - host.cpuMillis >= m_pools[pool.name].targetCpuMillis;
}

std::vector<pool_capacity_planner::candidate_host>
pool_capacity_planner::candidatesFor(const pool_snapshot &receiver, const std::vector<pool_snapshot> &pools, const allocation &state)
{
    std::vector<candidate_host> candidates;
    for (const planner_host &host : receiver.hosts) {
        if (state.moved.count(host.name) == 0) {
            candidates.push_back({ &receiver, &host });
        }
    }
    for (const planner_host &host : receiver.arrivingHosts) {
        candidates.push_back({ nullptr, &host });
    }
    // Idle hosts, then hosts that are switched off, then hosts that have to be vacated.
    allocation rest = state;
    const auto addFrom = [&](bool fromStandby, bool idle) {
        for (const pool_snapshot &pool : pools) {
            for (const planner_host &host : pool.hosts) {
                const bool available = host.free == idle && (idle || host.canVacate) && receiver.rejectedHosts.count(host.name) == 0;
                if (pool.standby == fromStandby && pool.name != receiver.name && available && canSpare(pool, host, rest)) {
                    rest.capacity[pool.name] -= host.cpuMillis;
                    candidates.push_back({ &pool, &host });
                }
            }
        }
    };
    addFrom(false, true);
    addFrom(true, true);
    addFrom(false, false);
    return candidates;
}

void pool_capacity_planner::provideHostsForSteps(const pool_snapshot &pool, const std::vector<pool_snapshot> &pools, allocation &state,
                                                 capacity_plan &plan)
{
    const std::vector<candidate_host> candidates = candidatesFor(pool, pools, state);
    std::vector<host_space> spaces;
    spaces.reserve(candidates.size());
    for (const candidate_host &candidate : candidates) {
        const bool stays = candidate.pool == nullptr || candidate.pool == &pool;
        const planner_host &host = *candidate.host;
        spaces.push_back({ host.name, host.worker, stays ? host.freeCapacity : host.capacity, host.labels });
    }
    step_fitter fitter(std::move(spaces));
    for (const waiting_step &step : pool.waitingSteps) {
        for (const std::size_t used : fitter.fit(step).spaces) {
            const auto &[from, host] = candidates[used];
            if (from == &pool) {
                state.kept.insert(host->name);
            } else if (from != nullptr && state.moved.emplace(host->name, true).second) {
                state.capacity[from->name] -= host->cpuMillis;
                if (host->free) {
                    state.capacity[pool.name] += host->cpuMillis;
                    plan.moves.push_back({ host->name, pool.name });
                } else {
                    plan.hostsToVacate.push_back(host->name);
                }
            }
        }
    }
}

void pool_capacity_planner::fillDeficits(const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan)
{
    // Idle hosts of pools above their target go first, which saves switching them off; then hosts that are switched
    // off.
    std::vector<std::pair<const pool_snapshot *, const planner_host *>> donors;
    for (const bool fromStandby : { false, true }) {
        for (const pool_snapshot &pool : pools) {
            for (const planner_host &host : pool.hosts) {
                if (pool.standby == fromStandby && host.free) {
                    donors.emplace_back(&pool, &host);
                }
            }
        }
    }
    std::vector<const pool_snapshot *> receivers;
    for (const pool_snapshot &pool : pools) {
        if (!pool.standby) {
            receivers.push_back(&pool);
        }
    }
    const auto supply = [&](const pool_snapshot *pool) {
        const std::int64_t target = std::max<std::int64_t>(m_pools[pool->name].targetCpuMillis, 1);
        return target == 1 ? 1.0 : static_cast<double>(state.capacity[pool->name]) / static_cast<double>(target);
    };
    for (const auto &[donor, host] : donors) {
        const auto neediest = std::min_element(receivers.begin(), receivers.end(),
                                               [&](const auto *left, const auto *right) { return supply(left) < supply(right); });
        if (neediest == receivers.end() || supply(*neediest) >= 1) {
            return;
        }
        if (*neediest != donor && canSpare(*donor, *host, state)) {
            state.moved[host->name] = true;
            state.capacity[donor->name] -= host->cpuMillis;
            state.capacity[(*neediest)->name] += host->cpuMillis;
            plan.moves.push_back({ host->name, (*neediest)->name });
        }
    }
}

void pool_capacity_planner::switchOffIdleHosts(const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan, instant now)
{
    const auto standby = std::find_if(pools.begin(), pools.end(), [](const pool_snapshot &pool) { return pool.standby; });
    if (standby == pools.end()) {
        return;
    }
    for (const pool_snapshot &pool : pools) {
        for (const planner_host &host : pool.hosts) {
            const bool idle = !pool.standby && host.free;
            const milliseconds minIdleTime = m_forecaster.isPeakOver(pool.name) ? IDLE_TIME_BEFORE_OFF_AFTER_PEAK : IDLE_TIME_BEFORE_OFF;
            if (idle && now - m_pools[pool.name].freeSince[host.name] >= minIdleTime && canSpare(pool, host, state)) {
                state.capacity[pool.name] -= host.cpuMillis;
                plan.moves.push_back({ host.name, standby->name });
            }
        }
    }
}

void pool_capacity_planner::chooseHostsToVacate(const std::vector<pool_snapshot> &pools, allocation &state, capacity_plan &plan)
{
    double lowestSupply = 1;
    std::int64_t missing = 0;
    for (const pool_snapshot &pool : pools) {
        const std::int64_t target = m_pools[pool.name].targetCpuMillis;
        if (!pool.standby && target > state.capacity[pool.name]) {
            lowestSupply = std::min(lowestSupply, static_cast<double>(state.capacity[pool.name]) / static_cast<double>(target));
            missing += target - state.capacity[pool.name];
        }
    }
    if (lowestSupply >= VACATE_SUPPLY_RATIO) {
        return;
    }
    for (const pool_snapshot &pool : pools) {
        std::vector<const planner_host *> hosts;
        for (const planner_host &host : pool.hosts) {
            if (!pool.standby && host.canVacate && !host.free && state.moved.count(host.name) == 0 && state.kept.count(host.name) == 0) {
                hosts.push_back(&host);
            }
        }
        std::sort(hosts.begin(), hosts.end(), [](const planner_host *left, const planner_host *right) {
            return std::tie(left->runs, left->name) < std::tie(right->runs, right->name);
        });
        for (const planner_host *host : hosts) {
            if (missing <= 0 || !canSpare(pool, *host, state)) {
                break;
            }
            state.capacity[pool.name] -= host->cpuMillis;
            missing -= host->cpuMillis;
            plan.hostsToVacate.push_back(host->name);
        }
    }
}

capacity_plan pool_capacity_planner::plan(const std::vector<pool_snapshot> &pools, instant now)
{
    duration elapsed = m_lastPlanAt == instant() ? duration(0) : now - m_lastPlanAt;
    m_lastPlanAt = now;
    if (elapsed > MAX_PLAN_INTERVAL) {
        m_shrinkNotBefore = now + CALLERS_RETURN_TIME;
    }
    const bool mayShrink = now >= m_shrinkNotBefore;
    if (!mayShrink) {
        elapsed = duration(0);
    }
    allocation state;
    for (const pool_snapshot &pool : pools) {
        updateTarget(pool, elapsed, now);
        state.capacity[pool.name] = capacityOf(pool);
    }
    raiseTargetForNextPeak(now);
    capacity_plan plan;
    if (m_hadLoad) {
        scaleTargetsToCapacity(pools, state);
    }
    for (const pool_snapshot &pool : pools) {
        if (!pool.standby && !pool.waitingSteps.empty()) {
            m_hadLoad = true;
            provideHostsForSteps(pool, pools, state, plan);
        }
    }
    if (m_hadLoad) {
        fillDeficits(pools, state, plan);
        if (mayShrink) {
            switchOffIdleHosts(pools, state, plan, now);
        }
        chooseHostsToVacate(pools, state, plan);
    }
    return plan;
}

} // namespace jujubespool

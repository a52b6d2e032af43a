#include <jujubespool/core/wave_planner.h>

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <unordered_map>

namespace jujubespool {

namespace {

using rack_index = std::unordered_map<std::string, std::string>;

rack_index rackOfEachHost(const fleet_state &state)
{
    rack_index racks;
    for (const host_spec &host : state.config().hosts) {
        racks[host.name] = host.dataCenter + "/" + host.rack;
    }
    return racks;
}

// Sorts hosts by rack, the rack with the most hosts first, so that few racks are affected at the same time.
void orderByRack(std::vector<std::string> &hosts, const rack_index &racks)
{
    std::unordered_map<std::string, std::size_t> size;
    const auto rackOf = [&racks](const std::string &host) {
        const auto found = racks.find(host);
        return found == racks.end() ? std::string() : found->second;
    };
    for (const std::string &host : hosts) {
        ++size[rackOf(host)];
    }
    std::sort(hosts.begin(), hosts.end(), [&](const std::string &left, const std::string &right) {
        const std::string leftRack = rackOf(left);
        const std::string rightRack = rackOf(right);
        if (leftRack != rightRack) {
            const std::size_t leftSize = size[leftRack];
            const std::size_t rightSize = size[rightRack];
            return leftSize != rightSize ? leftSize > rightSize : leftRack < rightRack;
        }
        return left < right;
    });
}

std::map<std::string, std::deque<std::string>> groupByPool(const fleet_state &state, const std::vector<std::string> &hosts)
{
    std::map<std::string, std::deque<std::string>> pools;
    for (const std::string &host : hosts) {
        const auto status = state.hosts().find(host);
        if (status != state.hosts().end()) {
            pools[status->second.pool].push_back(host);
        }
    }
    return pools;
}

// Returns the number of further hosts of the pool that the budget allows to leave service.
std::uint32_t remainingBudget(const fleet_state &state, const std::string &pool)
{
    const std::uint32_t allowed = state.allowedUnavailable(pool);
    return allowed - std::min(allowed, state.unavailable(pool));
}

} // namespace

wave_plan planWave(const fleet_state &state, const std::vector<std::string> &hosts, const wave_step_durations &durations)
{
    wave_plan plan;
    std::vector<std::string> ordered = hosts;
    orderByRack(ordered, rackOfEachHost(state));
    std::map<std::string, std::deque<std::string>> pending = groupByPool(state, ordered);
    for (auto pool = pending.begin(); pool != pending.end();) {
        const std::uint32_t budget = remainingBudget(state, pool->first);
        if (budget == 0) {
            plan.undrainableHosts.insert(plan.undrainableHosts.end(), pool->second.begin(), pool->second.end());
            pool = pending.erase(pool);
            continue;
        }
        plan.minRounds = std::max(plan.minRounds, (pool->second.size() + budget - 1) / budget);
        ++pool;
    }
    while (!pending.empty()) {
        wave_round &round = plan.rounds.emplace_back();
        for (auto pool = pending.begin(); pool != pending.end();) {
            const std::size_t count = std::min<std::size_t>(remainingBudget(state, pool->first), pool->second.size());
            for (std::size_t i = 0; i < count; ++i) {
                round.hosts.push_back(pool->second.front());
                pool->second.pop_front();
            }
            pool = pool->second.empty() ? pending.erase(pool) : std::next(pool);
        }
    }
    plan.predictedDuration = (durations.drain + durations.reboot) * static_cast<milliseconds::rep>(plan.rounds.size());
    return plan;
}

std::vector<std::string> hostsToDrain(const fleet_state &state, const wave_status &wave)
{
    if (wave.state != wave_state::running) {
        return {};
    }
    std::vector<std::string> candidates;
    for (const std::string &host : wave.start.hosts()) {
        const auto status = state.hosts().find(host);
        const bool active = status != state.hosts().end() && status->second.state == host_state::active;
        if (active && !wave.isHostResolved(host)) {
            candidates.push_back(host);
        }
    }
    orderByRack(candidates, rackOfEachHost(state));
    std::vector<std::string> drains;
    for (const auto &[pool, hosts] : groupByPool(state, candidates)) {
        const std::size_t count = std::min<std::size_t>(remainingBudget(state, pool), hosts.size());
        drains.insert(drains.end(), hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count));
    }
    return drains;
}

std::optional<std::string> waveBlockedReason(const fleet_state &state, const wave_status &wave, bool logAvailable)
{
    if (wave.state != wave_state::running) {
        return fmt::format("{}: {}", nameOf(wave.state), wave.reason);
    }
    if (!logAvailable) {
        return "the log is unavailable";
    }
    if (!hostsToDrain(state, wave).empty()) {
        return std::nullopt;
    }
    for (const std::string &host : wave.start.hosts()) {
        const auto status = state.hosts().find(host);
        if (status == state.hosts().end() || wave.isHostResolved(host)) {
            continue;
        }
        if (status->second.state == host_state::active) {
            return state.budgetViolation(host);
        }
        return fmt::format("host {} is {}", host, nameOf(status->second.state));
    }
    return std::nullopt;
}

std::vector<spare_capacity_plan> planSpareCapacity(const fleet_state &state)
{
    const rack_index racks = rackOfEachHost(state);
    std::map<std::string, std::map<std::string, std::uint32_t>> hostsPerRack;
    for (const auto &[name, status] : state.hosts()) {
        const auto rack = racks.find(name);
        if (rack != racks.end()) {
            ++hostsPerRack[status.pool][rack->second];
        }
    }
    std::vector<spare_capacity_plan> plans;
    for (const pool_spec &pool : state.config().pools) {
        if (pool.spare) {
            continue;
        }
        spare_capacity_plan plan;
        plan.pool = pool.name;
        plan.hosts = state.poolSize(pool.name);
        plan.allowed = state.allowedUnavailable(pool.name);
        for (const auto &[rack, count] : hostsPerRack[pool.name]) {
            plan.worstRack = std::max(plan.worstRack, count);
        }
        // A wave keeps at least one host out of service. It drains no more hosts once the rack has failed, so only
        // this host adds to those of the rack.
        const std::uint32_t waveHosts = std::min<std::uint32_t>(1, plan.allowed);
        const std::uint32_t out = plan.worstRack + waveHosts;
        plan.reserve = out - std::min(out, plan.allowed);
        plans.push_back(plan);
    }
    return plans;
}

} // namespace jujubespool

#include <jujubespool/jobs/pool_rebalancer.h>

#include <algorithm>
#include <jujubespool/jobs/job_load.h>

namespace jujubespool {

namespace {

constexpr milliseconds DECISION_INTERVAL{ 150 };
constexpr milliseconds LOG_INTERVAL{ 1000 };
// Part of the platform's rate of host orders that moves may use; upkeeps use the rest.
constexpr double MOVES_SHARE = 0.8;
// Work handed in during this time tells how much is offered.
constexpr milliseconds OFFER_WINDOW{ 1000 };
// How far back a new owner looks at what was handed in.
constexpr milliseconds HISTORY{ 60000 };
// Time that a moved host needs to be listed and looked at.
constexpr milliseconds JOINING_TIME{ 1100 };
constexpr std::int64_t MILLIS_PER_CORE = 1000;

// Processors that the job keeps busy for the length of the offer window, if it was handed in within it.
std::int64_t offeredMillisOf(const job &item, wall_ms wall)
{
    if (item.isRecurring() || item.isLongRunning() || item.acceptedAt() + static_cast<wall_ms>(OFFER_WINDOW.count()) < wall) {
        return 0;
    }
    double coreMillis = 0;
    for (const step_spec &step : item.request().steps) {
        coreMillis += step.bestEffort
            ? 0
            : static_cast<double>(step.count * step.taskResources.cpuMillis) * static_cast<double>(step.estimated.count());
    }
    return static_cast<std::int64_t>(coreMillis / static_cast<double>(OFFER_WINDOW.count()));
}

// The part of the amount that a team's limit leaves after what was taken before.
std::int64_t takeFrom(std::int64_t limit, std::int64_t amount, std::int64_t &taken)
{
    const std::int64_t part = std::clamp<std::int64_t>(amount, 0, std::max<std::int64_t>(0, limit - taken));
    taken += part;
    return part;
}

} // namespace

std::map<std::string, waiting_load> waitingByPool(const fleet_model &model, wall_ms wall)
{
    std::map<std::string, waiting_load> waiting;
    std::map<std::string, std::int64_t> waitingOfTeam;
    std::map<std::string, std::int64_t> offeredOfTeam;
    for (const std::string &id : model.activeJobs()) {
        const job &item = model.jobs().at(id);
        const queue_config *queue = model.queueOf(item);
        if (queue == nullptr) {
            continue;
        }
        std::int64_t waitingMillis = loadOf(item).waitingMillis;
        std::int64_t offeredMillis = offeredMillisOf(item, wall);
        const auto team = model.config().teams.find(item.request().team);
        if (team != model.config().teams.end() && team->second.limit.cpuMillis > 0) {
            const std::int64_t left = team->second.limit.cpuMillis - model.usage().of(team->first).cpuMillis;
            waitingMillis = takeFrom(std::max<std::int64_t>(left, 0), waitingMillis, waitingOfTeam[team->first]);
            offeredMillis = takeFrom(team->second.limit.cpuMillis, offeredMillis, offeredOfTeam[team->first]);
        }
        waiting_load &load = waiting[queue->pool];
        (rankOf(item, *queue, wall).late ? load.lateMillis : load.onTimeMillis) += waitingMillis;
        load.offeredMillis += offeredMillis;
    }
    return waiting;
}

pool_rebalancer::pool_rebalancer(fleet_model &model, host_controller &roster, const host_maintenance_controller &upkeep, event_log &log)
    : m_model(model)
    , m_roster(roster)
    , m_upkeep(upkeep)
    , m_log(log)
    , m_sizer(model.bounds().moveTime + JOINING_TIME)
{
}

void pool_rebalancer::restoreLoadHistory(instant now, wall_ms wall)
{
    // What each pool was offered at each past decision; the newest comes first.
    const auto decisions = static_cast<std::size_t>(HISTORY / DECISION_INTERVAL);
    const auto counted = static_cast<std::size_t>(OFFER_WINDOW / DECISION_INTERVAL);
    std::map<std::string, std::vector<std::int64_t>> offered;
    for (const auto &[name, config] : m_model.config().pools) {
        if (!config.standby) {
            offered[name].resize(decisions);
        }
    }
    for (const auto &[id, item] : m_model.jobs()) {
        const queue_config *queue = m_model.queueOf(item);
        const auto pool = queue == nullptr ? offered.end() : offered.find(queue->pool);
        const milliseconds age(wall - std::min(wall, item.acceptedAt()));
        const auto first = static_cast<std::size_t>(age / DECISION_INTERVAL);
        if (pool == offered.end() || first >= decisions) {
            continue;
        }
        for (std::size_t i = first + 1 - std::min(first + 1, counted); i <= first; ++i) {
            pool->second[i] += offeredMillisOf(item, item.acceptedAt());
        }
    }
    for (std::size_t i = decisions; i-- > 0;) {
        for (const auto &[name, loads] : offered) {
            m_sizer.noteFormerLoad(name, loads[i], now - DECISION_INTERVAL * static_cast<int>(i));
        }
    }
}

void pool_rebalancer::addLoad(std::map<std::string, sizer_pool> &pools, wall_ms wall) const
{
    for (const auto &[pool, load] : waitingByPool(m_model, wall)) {
        const auto found = pools.find(pool);
        if (found != pools.end()) {
            found->second.waitingMillis = load.onTimeMillis;
            found->second.lateMillis = load.lateMillis;
            found->second.offeredMillis = load.offeredMillis;
        }
    }
    for (const auto &[id, target] : m_model.workers().all()) {
        const auto found = pools.find(target.report.pool);
        if (found != pools.end()) {
            found->second.usedMillis += target.used.cpuMillis;
        }
    }
}

void pool_rebalancer::addHosts(std::map<std::string, sizer_pool> &pools, instant now) const
{
    for (const auto &[name, host] : m_roster.hosts()) {
        const auto found = pools.find(host.pool);
        if (found == pools.end() || host.state == host_condition::down || m_roster.busy(name)) {
            continue;
        }
        const worker *target = m_roster.workerOn(host);
        const bool draining = target != nullptr && (target->report.state == worker_state::draining || !target->listed);
        const bool unused = target == nullptr ? found->second.standby : target->runs.empty();
        const bool free = m_roster.orderable(host, now) && unused;
        // A worker that is silent or fails is no supply.
        const bool leaving = target != nullptr && (target->cordoned || now < target->avoidUntil);
        const bool lasting = target != nullptr
            && std::any_of(target->runs.begin(), target->runs.end(), [](const auto &item) { return item.second.longRunning; });
        if (!draining && !leaving) {
            const int runs = target == nullptr ? 0 : static_cast<int>(target->runs.size());
            found->second.hosts.push_back({ name, host.capacity.cpuMillis, free, m_roster.orderable(host, now) && !lasting, runs });
        }
    }
    for (auto &[name, pool] : pools) {
        pool.arriving = m_roster.arriving(name);
        if (!pool.hosts.empty()) {
            pool.lackingMillis = m_upkeep.hostsLacking(name) * pool.hosts.front().cpuMillis;
            pool.arrivingCpuMillis = pool.arriving * pool.hosts.front().cpuMillis;
        }
    }
}

std::vector<sizer_pool> pool_rebalancer::view(instant now, wall_ms wall) const
{
    std::map<std::string, sizer_pool> pools;
    for (const auto &[name, config] : m_model.config().pools) {
        pools[name].name = name;
        pools[name].standby = config.standby;
    }
    addHosts(pools, now);
    addLoad(pools, wall);
    std::vector<sizer_pool> list;
    list.reserve(pools.size());
    for (auto &[name, pool] : pools) {
        list.push_back(std::move(pool));
    }
    return list;
}

void pool_rebalancer::logPools(const std::vector<sizer_pool> &pools, instant now)
{
    if (now - m_loggedAt < LOG_INTERVAL) {
        return;
    }
    m_loggedAt = now;
    for (const sizer_pool &pool : pools) {
        const auto free = std::count_if(pool.hosts.begin(), pool.hosts.end(), [](const sizer_host &host) { return host.free; });
        m_log.write("pool",
                    { { "pool", pool.name },
                      { "hosts", std::to_string(pool.hosts.size()) },
                      { "free", std::to_string(free) },
                      { "arriving", std::to_string(pool.arriving) },
                      { "used_cores", std::to_string(pool.usedMillis / MILLIS_PER_CORE) },
                      { "waiting_cores", std::to_string(pool.waitingMillis / MILLIS_PER_CORE) },
                      { "offered_cores", std::to_string(pool.offeredMillis / MILLIS_PER_CORE) },
                      { "late_cores", std::to_string(pool.lateMillis / MILLIS_PER_CORE) },
                      { "wanted_cores", std::to_string(m_sizer.wantedMillis(pool.name) / MILLIS_PER_CORE) } });
    }
}

void pool_rebalancer::release(const std::vector<std::string> &hosts)
{
    for (auto &[id, target] : m_model.workers().all()) {
        target.leavingPool = false;
    }
    for (const std::string &name : hosts) {
        const host_entry *host = m_roster.find(name);
        worker *target = host == nullptr ? nullptr : m_roster.workerOn(*host);
        if (target != nullptr) {
            target->leavingPool = true;
        }
    }
}

void pool_rebalancer::tick(instant now, wall_ms wall)
{
    if (!m_model.configured() || !m_roster.listed() || now < m_notBefore || !m_roster.mayOrder(now)) {
        return;
    }
    m_notBefore = now + DECISION_INTERVAL;
    const double interval = static_cast<double>(DECISION_INTERVAL.count()) / 1e3;
    const int most = std::max(1, static_cast<int>(m_model.bounds().hostOrdersPerSecond * MOVES_SHARE * interval));
    int ordered = 0;
    const std::vector<sizer_pool> pools = view(now, wall);
    logPools(pools, now);
    const sizer_decision decision = m_sizer.decide(pools, now);
    release(decision.released);
    for (const host_move &move : decision.moves) {
        if (ordered < most && !m_roster.moveRefused(move.host, move.toPool)) {
            ++ordered;
            m_roster.move(move.host, move.toPool, now);
        }
    }
}

} // namespace jujubespool

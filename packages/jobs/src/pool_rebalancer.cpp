#include <jujubespool/jobs/pool_rebalancer.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds PLANNING_INTERVAL{ 150 };
constexpr milliseconds LOG_INTERVAL{ 1000 };
// Share of the platform's rate of host orders that moves may use; the rest is left for maintenance orders.
constexpr double MOVE_RATE_SHARE = 0.8;
// The offered load is that of the jobs accepted within this time.
constexpr milliseconds OFFER_WINDOW{ 1000 };
// Length of the load history that a new owner reconstructs from the restored jobs.
constexpr milliseconds LOAD_HISTORY{ 60000 };
// Time that a moved host needs to be listed and polled.
constexpr milliseconds WORKER_JOIN_TIME{ 1100 };
constexpr std::int64_t CPU_MILLIS_PER_CORE = 1000;

// Returns the CPU that the job keeps busy for the length of the offer window, if it was accepted within it.
std::int64_t offeredCpuMillisOf(const job &submittedJob, wall_ms wall)
{
    if (submittedJob.isRecurring() || submittedJob.isLongRunning()
        || submittedJob.acceptedAt() + static_cast<wall_ms>(OFFER_WINDOW.count()) < wall) {
        return 0;
    }
    double cpuMillisTimesMs = 0;
    for (const step_spec &step : submittedJob.request().steps) {
        cpuMillisTimesMs += step.bestEffort
            ? 0
            : static_cast<double>(step.count * step.taskResources.cpuMillis) * static_cast<double>(step.estimated.count());
    }
    return static_cast<std::int64_t>(cpuMillisTimesMs / static_cast<double>(OFFER_WINDOW.count()));
}

// Returns the part of the amount that fits within a team's limit, given what has been taken from it before.
std::int64_t takeWithinLimit(std::int64_t limit, std::int64_t amount, std::int64_t &taken)
{
    const std::int64_t part = std::clamp<std::int64_t>(amount, 0, std::max<std::int64_t>(0, limit - taken));
    taken += part;
    return part;
}

} // namespace

std::map<std::string, pool_demand> demandByPool(const fleet_model &model, wall_ms wall)
{
    std::map<std::string, pool_demand> demand;
    std::map<std::string, std::int64_t> waitingByTeam;
    std::map<std::string, std::int64_t> offeredByTeam;
    model.countJobsExamined(model.activeJobs().size());
    for (const auto &[id, entry] : model.activeJobs()) {
        const job &activeJob = *entry;
        const queue_config *queue = model.queueOf(activeJob);
        if (queue == nullptr) {
            continue;
        }
        std::int64_t waitingCpuMillis = activeJob.demand().waitingMillis;
        std::int64_t offeredCpuMillis = offeredCpuMillisOf(activeJob, wall);
        const auto team = model.config().teams.find(activeJob.request().team);
        if (team != model.config().teams.end() && team->second.limit.cpuMillis > 0) {
            const std::int64_t left = team->second.limit.cpuMillis - model.usage().of(team->first).cpuMillis;
            waitingCpuMillis = takeWithinLimit(std::max<std::int64_t>(left, 0), waitingCpuMillis, waitingByTeam[team->first]);
            offeredCpuMillis = takeWithinLimit(team->second.limit.cpuMillis, offeredCpuMillis, offeredByTeam[team->first]);
        }
        pool_demand &load = demand[queue->pool];
        if (rankOf(activeJob, *queue, wall).late) {
            load.lateCpuMillis += waitingCpuMillis;
            load.lateUsedCpuMillis += activeJob.demand().usedMillis;
        } else {
            load.onTimeCpuMillis += waitingCpuMillis;
        }
        load.offeredCpuMillis += offeredCpuMillis;
    }
    return demand;
}

pool_rebalancer::pool_rebalancer(fleet_model &model, host_controller &hosts, const host_maintenance_controller &maintenance, event_log &log)
    : m_model(model)
    , m_hosts(hosts)
    , m_maintenance(maintenance)
    , m_log(log)
    , m_planner(model.bounds().moveTime + WORKER_JOIN_TIME)
{
}

void pool_rebalancer::restoreLoadHistory(instant now, wall_ms wall)
{
    // Load offered to each pool at each past planning step, newest first.
    const auto steps = static_cast<std::size_t>(LOAD_HISTORY / PLANNING_INTERVAL);
    const auto windowSteps = static_cast<std::size_t>(OFFER_WINDOW / PLANNING_INTERVAL);
    std::map<std::string, std::vector<std::int64_t>> offered;
    for (const auto &[name, config] : m_model.config().pools) {
        if (!config.standby) {
            offered[name].resize(steps);
        }
    }
    for (const auto &[id, submittedJob] : m_model.jobs()) {
        const queue_config *queue = m_model.queueOf(submittedJob);
        const auto pool = queue == nullptr ? offered.end() : offered.find(queue->pool);
        const milliseconds age(wall - std::min(wall, submittedJob.acceptedAt()));
        const auto newestStep = static_cast<std::size_t>(age / PLANNING_INTERVAL);
        if (pool == offered.end() || newestStep >= steps) {
            continue;
        }
        for (std::size_t i = newestStep + 1 - std::min(newestStep + 1, windowSteps); i <= newestStep; ++i) {
            pool->second[i] += offeredCpuMillisOf(submittedJob, submittedJob.acceptedAt());
        }
    }
    for (std::size_t i = steps; i-- > 0;) {
        for (const auto &[name, loads] : offered) {
            m_planner.recordPastLoad(name, loads[i], now - PLANNING_INTERVAL * static_cast<int>(i));
        }
    }
}

void pool_rebalancer::addLoad(std::map<std::string, pool_snapshot> &pools, wall_ms wall) const
{
    m_model.countWorkersExamined(m_model.workers().all().size());
    for (const auto &[id, target] : m_model.workers().all()) {
        const auto found = pools.find(target.report.pool);
        if (found != pools.end() && !target.evacuated) {
            found->second.usedCpuMillis += target.used.cpuMillis;
        }
    }
    for (const auto &[pool, load] : demandByPool(m_model, wall)) {
        const auto found = pools.find(pool);
        if (found != pools.end()) {
            found->second.waitingCpuMillis = load.onTimeCpuMillis;
            found->second.lateCpuMillis = load.lateCpuMillis;
            found->second.offeredCpuMillis = load.offeredCpuMillis;
            // Tasks of a queue that has changed its pool still run on workers of the former one.
            found->second.lateUsedCpuMillis = std::min(load.lateUsedCpuMillis, found->second.usedCpuMillis);
        }
    }
}

void pool_rebalancer::addHosts(std::map<std::string, pool_snapshot> &pools, instant now) const
{
    m_model.countWorkersExamined(m_hosts.hosts().size());
    for (const auto &[name, host] : m_hosts.hosts()) {
        const auto found = pools.find(host.pool);
        if (found == pools.end() || host.state == host_condition::down || m_hosts.hasPendingOrder(name)) {
            continue;
        }
        const worker *target = m_hosts.workerOn(host);
        const bool draining = target != nullptr && (target->report.state == worker_state::draining || !target->listed);
        const bool unused = target == nullptr ? found->second.standby : target->runs.empty();
        const bool isFree = m_hosts.acceptsOrders(host, now) && unused;
        // A worker that is cordoned, does not answer or is avoided provides no capacity, and neither does an evacuated host.
        const bool unusable = target != nullptr && (target->isCordoned(now) || !target->mayGetTasks(now));
        const bool evacuated = m_model.workers().isEvacuated(host.dataCenter);
        found->second.cordoned += target != nullptr && target->isCordoned(now) ? 1 : 0;
        const bool hasLongRunning = target != nullptr
            && std::any_of(target->runs.begin(), target->runs.end(), [](const auto &entry) { return entry.second.longRunning; });
        if (!draining && !unusable && !evacuated) {
            const int runs = target == nullptr ? 0 : static_cast<int>(target->runs.size());
            const bool canVacate = m_hosts.acceptsOrders(host, now) && !hasLongRunning;
            const resources freeCapacity = target == nullptr ? host.capacity : target->freeCapacity();
            found->second.hosts.push_back(
                { name, host.capacity.cpuMillis, isFree, canVacate, runs, host.capacity, freeCapacity, host.worker, &host.labels });
        }
    }
    for (auto &[name, pool] : pools) {
        pool.arriving = m_hosts.pendingMovesTo(name);
        if (!pool.hosts.empty()) {
            pool.maintenanceCpuMillis = m_maintenance.additionalHostsNeeded(name) * pool.hosts.front().cpuMillis;
            pool.arrivingCpuMillis = pool.arriving * pool.hosts.front().cpuMillis;
        }
    }
}

void pool_rebalancer::addArrivingHosts(pool_snapshot &pool) const
{
    for (const auto &[name, host] : m_hosts.hosts()) {
        if (m_hosts.pendingPoolOf(name) == pool.name) {
            pool.arrivingHosts.push_back(
                { name, host.capacity.cpuMillis, false, false, 0, host.capacity, host.capacity, {}, &host.labels });
        }
        if (m_hosts.isMoveRejected(name, pool.name)) {
            pool.rejectedHosts.insert(name);
        }
    }
}

void pool_rebalancer::addWaitingSteps(std::map<std::string, pool_snapshot> &pools, instant now)
{
    std::set<std::string> poolsWithFreeCpu;
    for (const auto &[name, pool] : pools) {
        if (hasFreeCpuForWaitingTasks(pool)) {
            poolsWithFreeCpu.insert(name);
        }
    }
    std::set<task_key> logged;
    for (pool_step &found : m_waitingSteps.find(m_model, poolsWithFreeCpu, now)) {
        const auto pool = pools.find(found.pool);
        if (pool == pools.end()) {
            continue;
        }
        const task_key &first = found.step.first;
        if (m_loggedSteps.count(first) == 0) {
            m_log.write("step-needs-hosts",
                        { { "pool", found.pool }, { "task", first.text() }, { "tasks", std::to_string(found.step.tasks) } });
        }
        logged.insert(first);
        pool->second.waitingSteps.push_back(std::move(found.step));
    }
    m_loggedSteps = std::move(logged);
    for (auto &[name, pool] : pools) {
        if (!pool.waitingSteps.empty()) {
            addArrivingHosts(pool);
        }
    }
}

std::vector<pool_snapshot> pool_rebalancer::snapshotPools(instant now, wall_ms wall)
{
    std::map<std::string, pool_snapshot> pools;
    for (const auto &[name, config] : m_model.config().pools) {
        pools[name].name = name;
        pools[name].standby = config.standby;
    }
    addHosts(pools, now);
    addLoad(pools, wall);
    addWaitingSteps(pools, now);
    std::vector<pool_snapshot> list;
    list.reserve(pools.size());
    for (auto &[name, pool] : pools) {
        list.push_back(std::move(pool));
    }
    return list;
}

void pool_rebalancer::logPoolStates(const std::vector<pool_snapshot> &pools, instant now)
{
    if (now - m_loggedAt < LOG_INTERVAL) {
        return;
    }
    m_loggedAt = now;
    for (const pool_snapshot &pool : pools) {
        const auto free = std::count_if(pool.hosts.begin(), pool.hosts.end(), [](const planner_host &host) { return host.free; });
        m_log.write("pool",
                    { { "pool", pool.name },
                      { "hosts", std::to_string(pool.hosts.size()) },
                      { "free", std::to_string(free) },
                      { "arriving", std::to_string(pool.arriving) },
                      { "cordoned", std::to_string(pool.cordoned) },
                      { "used_cores", std::to_string(pool.usedCpuMillis / CPU_MILLIS_PER_CORE) },
                      { "late_used_cores", std::to_string(pool.lateUsedCpuMillis / CPU_MILLIS_PER_CORE) },
                      { "waiting_cores", std::to_string(pool.waitingCpuMillis / CPU_MILLIS_PER_CORE) },
                      { "offered_cores", std::to_string(pool.offeredCpuMillis / CPU_MILLIS_PER_CORE) },
                      { "late_cores", std::to_string(pool.lateCpuMillis / CPU_MILLIS_PER_CORE) },
                      { "wanted_cores", std::to_string(m_planner.targetCpuMillis(pool.name) / CPU_MILLIS_PER_CORE) } });
    }
}

void pool_rebalancer::markLeavingWorkers(const std::vector<std::string> &hosts)
{
    m_model.countWorkersExamined(m_model.workers().all().size());
    for (auto &[id, target] : m_model.workers().all()) {
        target.leavingPool = false;
    }
    for (const std::string &name : hosts) {
        const host_entry *host = m_hosts.find(name);
        worker *target = host == nullptr ? nullptr : m_hosts.workerOn(*host);
        if (target != nullptr) {
            target->leavingPool = true;
        }
    }
}

void pool_rebalancer::tick(instant now, wall_ms wall)
{
    if (!m_model.configured() || !m_hosts.listed() || now < m_notBefore || !m_hosts.isOwnershipConfirmed(now)) {
        return;
    }
    m_notBefore = now + PLANNING_INTERVAL;
    const double interval = static_cast<double>(PLANNING_INTERVAL.count()) / 1e3;
    const int maxMoves = std::max(1, static_cast<int>(m_model.bounds().hostOrdersPerSecond * MOVE_RATE_SHARE * interval));
    int movesOrdered = 0;
    const std::vector<pool_snapshot> pools = snapshotPools(now, wall);
    logPoolStates(pools, now);
    const capacity_plan plan = m_planner.plan(pools, now);
    markLeavingWorkers(plan.hostsToVacate);
    for (const host_move &move : plan.moves) {
        if (movesOrdered < maxMoves && !m_hosts.isMoveRejected(move.host, move.toPool)) {
            ++movesOrdered;
            m_hosts.move(move.host, move.toPool, now);
        }
    }
}

} // namespace jujubespool

#include <jujubespool/jobs/pool_mover.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds DECISION_INTERVAL{ 150 };
constexpr milliseconds LOG_INTERVAL{ 1000 };
// Moves ordered in one decision, so that the platform's rate of orders is not exceeded.
constexpr std::size_t MAX_MOVES_AT_ONCE = 8;
constexpr std::int64_t MILLIS_PER_CORE = 1000;

} // namespace

std::map<std::string, waiting_load> waitingByPool(const fleet_model &model, wall_ms wall)
{
    std::map<std::string, waiting_load> waiting;
    std::map<std::string, std::int64_t> byTeam;
    for (const std::string &id : model.live()) {
        const job &item = model.jobs().at(id);
        const queue_config *queue = model.queueOf(item);
        if (queue == nullptr) {
            continue;
        }
        std::int64_t millis = 0;
        for (const auto &[number, occurrence] : item.occurrences()) {
            for (std::size_t step = 0; !occurrence.ended && step < occurrence.steps.size(); ++step) {
                const step_spec &spec = item.step(static_cast<int>(step));
                if (spec.fills || occurrence.open[step] == 0 || !item.stepReady(occurrence, static_cast<int>(step))) {
                    continue;
                }
                const auto &tasks = occurrence.steps[step];
                millis += spec.each.cpuMillis * std::count_if(tasks.begin(), tasks.end(), [](const task_progress &task) {
                              return task.phase == task_phase::waiting;
                          });
            }
        }
        const auto team = model.config().teams.find(item.request().team);
        if (team != model.config().teams.end() && team->second.limit.cpuMillis > 0) {
            const std::int64_t left = team->second.limit.cpuMillis - model.usage().of(team->first).cpuMillis - byTeam[team->first];
            millis = std::clamp<std::int64_t>(millis, 0, std::max<std::int64_t>(0, left));
            byTeam[team->first] += millis;
        }
        waiting_load &load = waiting[queue->pool];
        (rankOf(item, *queue, wall).late ? load.lateMillis : load.onTimeMillis) += millis;
    }
    return waiting;
}

pool_mover::pool_mover(fleet_model &model, host_roster &roster, decision_log &log)
    : m_model(model)
    , m_roster(roster)
    , m_log(log)
{
}

void pool_mover::addLoad(std::map<std::string, sizer_pool> &pools, wall_ms wall) const
{
    for (const auto &[pool, load] : waitingByPool(m_model, wall)) {
        const auto found = pools.find(pool);
        if (found != pools.end()) {
            found->second.waitingMillis = load.onTimeMillis;
            found->second.lateMillis = load.lateMillis;
        }
    }
    for (const auto &[id, target] : m_model.workers().all()) {
        const auto found = pools.find(target.report.pool);
        if (found != pools.end()) {
            found->second.usedMillis += target.used.cpuMillis;
        }
    }
}

void pool_mover::addHosts(std::map<std::string, sizer_pool> &pools, instant now) const
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
        const bool leaving = target != nullptr && target->cordoned;
        const bool lasting = target != nullptr
            && std::any_of(target->runs.begin(), target->runs.end(), [](const auto &item) { return item.second.lasting; });
        if (!draining && !leaving) {
            const int runs = target == nullptr ? 0 : static_cast<int>(target->runs.size());
            found->second.hosts.push_back({ name, host.capacity.cpuMillis, free, m_roster.orderable(host, now) && !lasting, runs });
        }
    }
    for (auto &[name, pool] : pools) {
        pool.arriving = m_roster.arriving(name);
        if (!pool.hosts.empty()) {
            pool.arrivingCpuMillis = pool.arriving * pool.hosts.front().cpuMillis;
        }
    }
}

std::vector<sizer_pool> pool_mover::view(instant now, wall_ms wall) const
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

void pool_mover::logPools(const std::vector<sizer_pool> &pools, instant now)
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
                      { "late_cores", std::to_string(pool.lateMillis / MILLIS_PER_CORE) },
                      { "wanted_cores", std::to_string(m_sizer.wantedMillis(pool.name) / MILLIS_PER_CORE) } });
    }
}

void pool_mover::release(const std::vector<std::string> &hosts)
{
    for (auto &[id, target] : m_model.workers().all()) {
        target.released = false;
    }
    for (const std::string &name : hosts) {
        const host_entry *host = m_roster.find(name);
        worker *target = host == nullptr ? nullptr : m_roster.workerOn(*host);
        if (target != nullptr) {
            target->released = true;
        }
    }
}

void pool_mover::tick(instant now, wall_ms wall)
{
    if (!m_model.configured() || !m_roster.listed() || now < m_notBefore || !m_roster.mayOrder(now)) {
        return;
    }
    m_notBefore = now + DECISION_INTERVAL;
    std::size_t ordered = 0;
    const std::vector<sizer_pool> pools = view(now, wall);
    logPools(pools, now);
    const sizer_decision decision = m_sizer.decide(pools, now);
    release(decision.released);
    for (const host_move &move : decision.moves) {
        if (ordered < MAX_MOVES_AT_ONCE && !m_roster.moveRefused(move.host, move.toPool)) {
            ++ordered;
            m_roster.move(move.host, move.toPool, now);
        }
    }
}

} // namespace jujubespool

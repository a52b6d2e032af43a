#include <jujubespool/core/dispatcher.h>

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubespool {

namespace {

constexpr std::size_t MAX_WAITING_PER_TEAM = 10000;
constexpr std::size_t MAX_ATTEMPTS = 3;
constexpr milliseconds INITIAL_ESTIMATE{ 5 };
// Waiting requests for which one request for a loan asks at most.
constexpr std::uint32_t MAX_WANTED = 256;

} // namespace

dispatcher::dispatcher(permit_tracker &permits, std::uint64_t seed)
    : m_permits(permits)
    , m_seed(seed)
{
}

dispatcher::pool_lane &dispatcher::laneOf(const std::string &pool)
{
    const auto found = m_lanes.find(pool);
    if (found != m_lanes.end()) {
        return found->second;
    }
    return m_lanes.try_emplace(pool, m_seed + m_lanes.size()).first->second;
}

void dispatcher::refreshWorkers(const std::string &pool, pool_lane &lane, const fleet_state &state)
{
    if (lane.workersAsOf == state.hostsChangedOffset() && !lane.workers.empty()) {
        return;
    }
    lane.workersAsOf = state.hostsChangedOffset();
    lane.workers.clear();
    lane.resources.clear();
    lane.slots = 0;
    for (const auto &[name, status] : state.hosts()) {
        if (status.pool == pool && status.state == host_state::active && !status.removed) {
            const resource_allocation *account = state.permitAllocations().find(workerResource(name));
            lane.workers.push_back(name);
            lane.resources.push_back(workerResource(name));
            lane.slots += account == nullptr ? 0 : account->limit;
        }
    }
    lane.selector.setWorkers(lane.workers);
}

std::uint32_t dispatcher::shareOf(const std::string &team, const fleet_state &state) const
{
    const team_spec *spec = state.config().findTeam(team);
    return spec == nullptr ? 1 : spec->share;
}

duration dispatcher::estimateOf(const request_spec &request) const
{
    const auto found = m_estimates.find({ request.service, request.team });
    return found == m_estimates.end() ? duration(INITIAL_ESTIMATE) : found->second.mean();
}

bool dispatcher::isLate(const request_spec &request, instant now) const
{
    const auto found = m_estimates.find({ request.service, request.team });
    return now + (found == m_estimates.end() ? duration(0) : found->second.upperEstimate()) > request.deadline;
}

void dispatcher::notePace(pool_lane &lane, const std::string &team, instant now)
{
    dispatch_pace &pace = lane.paces[team];
    if (lane.queue.waiting(team) > 0 && pace.last != instant()) {
        pace.interval.addSample(now - pace.last);
    }
    pace.last = now;
}

// Whether the requests ahead leave no chance of an answer before the deadline.
bool dispatcher::tooLate(const request_spec &request, const pool_lane &lane, instant now) const
{
    const auto ahead = static_cast<double>(lane.queue.waiting(request.team));
    const auto pace = lane.paces.find(request.team);
    const double interval = pace != lane.paces.end() && pace->second.interval.known()
        ? static_cast<double>(pace->second.interval.mean().count())
        : static_cast<double>(estimateOf(request).count()) / std::max(1U, lane.slots);
    return isLate(request, now + duration(static_cast<duration::rep>(ahead * interval)));
}

bool dispatcher::admit(const request_spec &request, const fleet_state &state, instant now, failure &reason)
{
    const service_spec *service = state.config().findService(request.service);
    if (service == nullptr) {
        reason = { failure_step::admit, {}, fmt::format("unknown service {}", request.service) };
        return false;
    }
    pool_lane &lane = laneOf(service->pool);
    refreshWorkers(service->pool, lane, state);
    if (lane.queue.waiting(request.team) >= MAX_WAITING_PER_TEAM) {
        reason = { failure_step::queue, {}, fmt::format("{} requests of team {} wait already", MAX_WAITING_PER_TEAM, request.team) };
        return false;
    }
    if (tooLate(request, lane, now)) {
        reason = { failure_step::queue, {}, "the requests ahead leave no time before the deadline" };
        return false;
    }
    request_record record;
    record.spec = request;
    record.pool = service->pool;
    lane.queue.push({ request.id, request.team, request.priority }, shareOf(request.team, state));
    lane.retries.onRequest();
    m_deadlines.emplace(request.deadline, request.id);
    m_waiting.emplace(request.id, std::move(record));
    return true;
}

bool dispatcher::teamHasCapacity(const std::string &team, const fleet_state &state, instant now) const
{
    return team == ANONYMOUS_TEAM || m_permits.usable(teamResource(team), state.permitAllocations(), now) > 0;
}

std::vector<std::string> dispatcher::freeWorkers(const pool_lane &lane, const fleet_state &state, instant now) const
{
    std::vector<std::string> open;
    for (std::size_t i = 0; i < lane.workers.size(); ++i) {
        const bool leaves = !m_leaving.empty() && m_leaving.count(lane.workers[i]) > 0;
        if (!leaves && m_permits.usable(lane.resources[i], state.permitAllocations(), now) > 0) {
            open.push_back(lane.workers[i]);
        }
    }
    return open;
}

std::vector<dispatched_attempt> dispatcher::schedule(const fleet_state &state, instant now)
{
    std::vector<dispatched_attempt> starts;
    for (auto &[pool, lane] : m_lanes) {
        if (lane.queue.size() > 0) {
            schedulePool(pool, lane, state, now, starts);
        }
    }
    return starts;
}

void dispatcher::schedulePool(const std::string &pool, pool_lane &lane, const fleet_state &state, instant now,
                              std::vector<dispatched_attempt> &starts)
{
    refreshWorkers(pool, lane, state);
    std::vector<std::string> open = freeWorkers(lane, state, now);
    const auto eligible = [&](const std::string &team) {
        return teamHasCapacity(team, state, now);
    };
    while (!open.empty() && lane.queue.size() > 0) {
        const auto next = lane.queue.pop(eligible, duration(0));
        if (!next) {
            return;
        }
        const auto found = m_waiting.find(next->id);
        if (isLate(found->second.spec, now)) {
            refuseLate(found->second, "too little time is left before the deadline");
            continue;
        }
        const auto worker = lane.selector.pick(open, found->second.tried, now);
        if (!worker) {
            lane.queue.requeue(*next, shareOf(next->team, state), duration(0));
            return;
        }
        request_record request = std::move(found->second);
        m_waiting.erase(found);
        m_deadlines.erase({ request.spec.deadline, request.spec.id });
        notePace(lane, request.spec.team, now);
        starts.push_back(start(request, *worker, lane, state, now));
        m_running[request.spec.id] = std::move(request);
        if (m_permits.usable(workerResource(*worker), state.permitAllocations(), now) == 0) {
            std::erase(open, *worker);
        }
    }
}

dispatched_attempt dispatcher::start(request_record &request, const std::string &worker, pool_lane &lane, const fleet_state &state,
                                     instant now)
{
    if (request.spec.team != ANONYMOUS_TEAM) {
        m_permits.acquire(teamResource(request.spec.team), state.permitAllocations(), now);
    }
    m_permits.acquire(workerResource(worker), state.permitAllocations(), now);
    lane.selector.onStart(worker);
    request.worker = worker;
    request.tried.push_back(worker);
    request.startedAt = now;
    request.estimate = estimateOf(request.spec);
    lane.queue.charge(request.spec.team, shareOf(request.spec.team, state), request.estimate);
    const host_spec *host = state.config().findHost(worker);
    const service_spec *service = state.config().findService(request.spec.service);
    const instant longest = now + (service == nullptr ? state.config().longestRun() : service->maxRun);
    return { request.spec.id, worker, host == nullptr ? std::string() : host->address, std::min(request.spec.deadline, longest) };
}

void dispatcher::releasePermits(const request_record &request)
{
    if (request.spec.team != ANONYMOUS_TEAM) {
        m_permits.release(teamResource(request.spec.team));
    }
    m_permits.release(workerResource(request.worker));
}

void dispatcher::chargeMeasured(const request_record &request, pool_lane &lane, duration measured, const fleet_state &state)
{
    lane.queue.charge(request.spec.team, shareOf(request.spec.team, state), measured - request.estimate);
    m_charged[{ request.spec.service, request.spec.team }] += static_cast<std::uint64_t>(measured.count());
}

result_action dispatcher::onResult(request_id id, attempt_result result, const fleet_state &state, instant now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return result_action::unknown;
    }
    request_record request = std::move(found->second);
    m_running.erase(found);
    const bool ranBefore = request.mayHaveRun;
    request.mayHaveRun = ranBefore || result != attempt_result::connect_failed;
    pool_lane &lane = laneOf(request.pool);
    const duration measured = now - request.startedAt;
    const std::string source = request.spec.service + "/" + request.spec.team;
    lane.selector.onResult(request.worker, source, result, measured, now);
    chargeMeasured(request, lane, measured, state);
    if (result == attempt_result::closed_early || result == attempt_result::timed_out) {
        // The upstream may still work on it, so the permits stay in use as long as it can.
        m_orphaned.emplace(request.startedAt + state.config().longestRun(), orphaned_attempt{ request.spec.team, request.worker });
        return retryOr(result_action::unknown, std::move(request), lane, state, now);
    }
    releasePermits(request);
    if (result == attempt_result::connect_failed) {
        return retryOr(ranBefore ? result_action::unknown : result_action::not_run, std::move(request), lane, state, now);
    }
    if (result == attempt_result::answered) {
        m_estimates[{ request.spec.service, request.spec.team }].addSample(measured);
        return result_action::reply;
    }
    return retryOr(result_action::reply, std::move(request), lane, state, now);
}

result_action dispatcher::retryOr(result_action otherwise, request_record request, pool_lane &lane, const fleet_state &state, instant now)
{
    // A connection that was never made ran nothing, so trying elsewhere is safe for any request.
    const bool safe = otherwise == result_action::not_run || request.spec.repeatable;
    const bool blamed = lane.selector.isWorkloadFailing(request.spec.service + "/" + request.spec.team);
    if (!safe || blamed || request.tried.size() >= MAX_ATTEMPTS || now >= request.spec.deadline || !lane.retries.tryRetry()) {
        return otherwise;
    }
    lane.queue.requeue({ request.spec.id, request.spec.team, request.spec.priority }, shareOf(request.spec.team, state), duration(0));
    m_deadlines.emplace(request.spec.deadline, request.spec.id);
    m_waiting[request.spec.id] = std::move(request);
    return result_action::retry;
}

bool dispatcher::cancel(request_id id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return false;
    }
    laneOf(found->second.pool).queue.cancel(id);
    m_deadlines.erase({ found->second.spec.deadline, id });
    m_waiting.erase(found);
    return true;
}

std::vector<expired_request> dispatcher::expire(instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const request_id id = m_deadlines.begin()->second;
        const request_record &request = m_waiting.at(id);
        laneOf(request.pool).queue.cancel(id);
        refuseLate(request, "the deadline passed while the request waited");
    }
    return std::exchange(m_refused, {});
}

// Drops a request that is in no queue any more.
void dispatcher::refuseLate(const request_record &request, const std::string &why)
{
    const request_id id = request.spec.id;
    const std::string peer = request.tried.empty() ? std::string() : request.tried.back();
    const outcome told = request.mayHaveRun ? outcome::unknown : outcome::not_run;
    m_refused.push_back({ id, told, { failure_step::queue, peer, why } });
    m_deadlines.erase({ request.spec.deadline, id });
    m_waiting.erase(id);
}

void dispatcher::releaseOrphaned(instant now)
{
    while (!m_orphaned.empty() && m_orphaned.begin()->first <= now) {
        const orphaned_attempt &work = m_orphaned.begin()->second;
        if (work.team != ANONYMOUS_TEAM) {
            m_permits.release(teamResource(work.team));
        }
        m_permits.release(workerResource(work.worker));
        m_orphaned.erase(m_orphaned.begin());
    }
}

void dispatcher::adjustWeights(duration elapsed)
{
    for (auto &[pool, lane] : m_lanes) {
        lane.queue.adjustWeights(elapsed);
    }
}

void dispatcher::chargeRemote(const run_time_usage &charged, const fleet_state &state)
{
    const service_spec *service = state.config().findService(charged.service);
    if (service != nullptr) {
        laneOf(service->pool).queue.chargeRemote(charged.team, shareOf(charged.team, state), duration(charged.runUs));
    }
}

std::vector<run_time_usage> dispatcher::runTimeUsage() const
{
    std::vector<run_time_usage> times;
    for (const auto &[key, runUs] : m_charged) {
        times.push_back({ key.first, key.second, runUs });
    }
    return times;
}

std::vector<permit_demand> dispatcher::permitDemand(const fleet_state &state, instant now) const
{
    std::vector<permit_demand> wanted;
    std::map<std::string, std::uint32_t> teams;
    for (const auto &[pool, lane] : m_lanes) {
        if (lane.queue.size() == 0) {
            continue;
        }
        std::uint32_t startable = 0;
        for (const auto &[team, count] : lane.queue.waitingTeams()) {
            if (teamHasCapacity(team, state, now)) {
                startable += static_cast<std::uint32_t>(count);
            } else {
                teams[team] += static_cast<std::uint32_t>(count);
            }
        }
        if (startable > 0 && freeWorkers(lane, state, now).empty()) {
            wanted.push_back({ {},
                               pool,
                               std::min(startable, MAX_WANTED),
                               lane.queue.headVirtualTime().value_or(0),
                               shareOf(lane.queue.headTeam(), state) });
        }
    }
    for (const auto &[team, count] : teams) {
        wanted.push_back({ team, {}, std::min(count, MAX_WANTED), 0, 1 });
    }
    return wanted;
}

bool dispatcher::hasDemandFor(const std::string &resource, const fleet_state &state) const
{
    const std::string name = resource.substr(resource.find('/') + 1);
    if (resource == teamResource(name)) {
        return std::any_of(m_lanes.begin(), m_lanes.end(), [&](const auto &lane) { return lane.second.queue.waiting(name) > 0; });
    }
    const auto host = state.hosts().find(name);
    if (host == state.hosts().end() || host->second.state != host_state::active) {
        return false;
    }
    const auto lane = m_lanes.find(host->second.pool);
    return lane != m_lanes.end() && lane->second.queue.size() > 0;
}

std::optional<double> dispatcher::headVirtualTime(const std::string &pool) const
{
    const auto lane = m_lanes.find(pool);
    return lane == m_lanes.end() ? std::nullopt : lane->second.queue.headVirtualTime();
}

const std::vector<std::string> &dispatcher::workersOf(const std::string &pool, const fleet_state &state)
{
    pool_lane &lane = laneOf(pool);
    refreshWorkers(pool, lane, state);
    return lane.workers;
}

std::size_t dispatcher::waiting() const
{
    return m_waiting.size();
}

std::vector<std::string> dispatcher::ejectedWorkers() const
{
    std::vector<std::string> names;
    for (const auto &[pool, lane] : m_lanes) {
        const auto ejected = lane.selector.ejected();
        names.insert(names.end(), ejected.begin(), ejected.end());
    }
    return names;
}

} // namespace jujubespool

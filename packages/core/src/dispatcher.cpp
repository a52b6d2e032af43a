#include <jujubespool/core/dispatcher.h>

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubespool {

namespace {

constexpr std::size_t MAX_WAITING_PER_TEAM = 10000;
// Attempts of one request, including the first.
constexpr std::size_t MAX_ATTEMPTS = 3;
// Used until a run time was measured.
constexpr milliseconds INITIAL_RUN_TIME_ESTIMATE{ 5 };
// Largest number of permits that one request for a loan asks for.
constexpr std::uint32_t MAX_DEMAND_PER_LOAN_REQUEST = 256;

} // namespace

dispatcher::dispatcher(permit_tracker &permits, std::uint64_t seed)
    : m_permits(permits)
    , m_seed(seed)
{
}

dispatcher::pool_context &dispatcher::contextOf(const std::string &pool)
{
    const auto found = m_pools.find(pool);
    if (found != m_pools.end()) {
        return found->second;
    }
    return m_pools.try_emplace(pool, m_seed + m_pools.size()).first->second;
}

void dispatcher::refreshWorkers(const std::string &pool, pool_context &context, const fleet_state &state)
{
    if (context.workersUpdatedAt == state.hostsChangedOffset() && !context.workers.empty()) {
        return;
    }
    context.workersUpdatedAt = state.hostsChangedOffset();
    context.workers.clear();
    context.resources.clear();
    context.slots = 0;
    for (const auto &[name, status] : state.hosts()) {
        if (status.pool == pool && status.state == host_state::active && !status.removed) {
            const resource_allocation *allocation = state.permitAllocations().find(workerResource(name));
            context.workers.push_back(name);
            context.resources.push_back(workerResource(name));
            context.slots += allocation == nullptr ? 0 : allocation->limit;
        }
    }
    context.selector.setWorkers(context.workers);
}

std::uint32_t dispatcher::shareOf(const std::string &team, const fleet_state &state) const
{
    const team_spec *spec = state.config().findTeam(team);
    return spec == nullptr ? 1 : spec->share;
}

duration dispatcher::estimateOf(const request_spec &request) const
{
    const auto found = m_runTimeEstimates.find({ request.service, request.team });
    return found == m_runTimeEstimates.end() ? duration(INITIAL_RUN_TIME_ESTIMATE) : found->second.mean();
}

bool dispatcher::missesDeadline(const request_spec &request, instant now) const
{
    const auto found = m_runTimeEstimates.find({ request.service, request.team });
    return now + (found == m_runTimeEstimates.end() ? duration(0) : found->second.upperEstimate()) > request.deadline;
}

void dispatcher::recordDispatch(pool_context &context, const std::string &team, instant now)
{
    dispatch_rate &rate = context.rates[team];
    if (context.queue.waiting(team) > 0 && rate.lastDispatch != instant()) {
        rate.interval.addSample(now - rate.lastDispatch);
    }
    rate.lastDispatch = now;
}

// Whether the request would probably miss its deadline after waiting for the requests of its team that are ahead of it.
bool dispatcher::missesDeadlineInQueue(const request_spec &request, const pool_context &context, instant now) const
{
    const auto ahead = static_cast<double>(context.queue.waiting(request.team));
    const auto rate = context.rates.find(request.team);
    const double interval = rate != context.rates.end() && rate->second.interval.known()
        ? static_cast<double>(rate->second.interval.mean().count())
        : static_cast<double>(estimateOf(request).count()) / std::max(1U, context.slots);
    return missesDeadline(request, now + duration(static_cast<duration::rep>(ahead * interval)));
}

bool dispatcher::admit(const request_spec &request, const fleet_state &state, instant now, failure &reason)
{
    const service_spec *service = state.config().findService(request.service);
    if (service == nullptr) {
        reason = { failure_step::admit, {}, fmt::format("unknown service {}", request.service) };
        return false;
    }
    pool_context &context = contextOf(service->pool);
    refreshWorkers(service->pool, context, state);
    if (context.queue.waiting(request.team) >= MAX_WAITING_PER_TEAM) {
        reason = { failure_step::queue, {}, fmt::format("{} requests of team {} wait already", MAX_WAITING_PER_TEAM, request.team) };
        return false;
    }
    if (missesDeadlineInQueue(request, context, now)) {
        reason = { failure_step::queue, {}, "the requests ahead leave no time before the deadline" };
        return false;
    }
    request_record record;
    record.spec = request;
    record.pool = service->pool;
    context.queue.push({ request.id, request.team, request.priority }, shareOf(request.team, state));
    context.retries.onRequest();
    m_deadlines.emplace(request.deadline, request.id);
    m_waiting.emplace(request.id, std::move(record));
    return true;
}

bool dispatcher::teamHasCapacity(const std::string &team, const fleet_state &state, instant now) const
{
    return team == ANONYMOUS_TEAM || m_permits.usable(teamResource(team), state.permitAllocations(), now) > 0;
}

std::vector<std::string> dispatcher::freeWorkers(const pool_context &context, const fleet_state &state, instant now) const
{
    std::vector<std::string> candidates;
    for (std::size_t i = 0; i < context.workers.size(); ++i) {
        const bool leaves = !m_leaving.empty() && m_leaving.count(context.workers[i]) > 0;
        if (!leaves && m_permits.usable(context.resources[i], state.permitAllocations(), now) > 0) {
            candidates.push_back(context.workers[i]);
        }
    }
    return candidates;
}

std::vector<dispatched_attempt> dispatcher::schedule(const fleet_state &state, instant now)
{
    std::vector<dispatched_attempt> starts;
    for (auto &[pool, context] : m_pools) {
        if (context.queue.size() > 0) {
            schedulePool(pool, context, state, now, starts);
        }
    }
    return starts;
}

void dispatcher::schedulePool(const std::string &pool, pool_context &context, const fleet_state &state, instant now,
                              std::vector<dispatched_attempt> &starts)
{
    refreshWorkers(pool, context, state);
    std::vector<std::string> candidates = freeWorkers(context, state, now);
    const auto eligible = [&](const std::string &team) {
        return teamHasCapacity(team, state, now);
    };
    while (!candidates.empty() && context.queue.size() > 0) {
        const auto next = context.queue.pop(eligible, duration(0));
        if (!next) {
            return;
        }
        const auto found = m_waiting.find(next->id);
        if (missesDeadline(found->second.spec, now)) {
            expireRequest(found->second, "too little time is left before the deadline");
            continue;
        }
        const auto worker = context.selector.pick(candidates, found->second.tried, now);
        if (!worker) {
            context.queue.requeue(*next, shareOf(next->team, state), duration(0));
            return;
        }
        request_record request = std::move(found->second);
        m_waiting.erase(found);
        m_deadlines.erase({ request.spec.deadline, request.spec.id });
        recordDispatch(context, request.spec.team, now);
        starts.push_back(start(request, *worker, context, state, now));
        m_running[request.spec.id] = std::move(request);
        if (m_permits.usable(workerResource(*worker), state.permitAllocations(), now) == 0) {
            std::erase(candidates, *worker);
        }
    }
}

dispatched_attempt dispatcher::start(request_record &request, const std::string &worker, pool_context &context, const fleet_state &state,
                                     instant now)
{
    if (request.spec.team != ANONYMOUS_TEAM) {
        m_permits.acquire(teamResource(request.spec.team), state.permitAllocations(), now);
    }
    m_permits.acquire(workerResource(worker), state.permitAllocations(), now);
    context.selector.onStart(worker);
    request.worker = worker;
    request.tried.push_back(worker);
    request.startedAt = now;
    request.estimate = estimateOf(request.spec);
    context.queue.charge(request.spec.team, shareOf(request.spec.team, state), request.estimate);
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

void dispatcher::chargeMeasured(const request_record &request, pool_context &context, duration measured, const fleet_state &state)
{
    context.queue.charge(request.spec.team, shareOf(request.spec.team, state), measured - request.estimate);
    m_runTimeUsage[{ request.spec.service, request.spec.team }] += static_cast<std::uint64_t>(measured.count());
}

result_action dispatcher::onResult(request_id id, attempt_result result, const fleet_state &state, instant now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return result_action::unknown;
    }
    request_record request = std::move(found->second);
    m_running.erase(found);
    const bool mayHaveRunBefore = request.mayHaveRun;
    request.mayHaveRun = mayHaveRunBefore || result != attempt_result::connect_failed;
    pool_context &context = contextOf(request.pool);
    const duration measured = now - request.startedAt;
    const std::string workload = request.spec.service + "/" + request.spec.team;
    context.selector.onResult(request.worker, workload, result, measured, now);
    chargeMeasured(request, context, measured, state);
    if (result == attempt_result::closed_early || result == attempt_result::timed_out) {
        // The upstream may still run the request, so the permits stay in use for the longest run time.
        m_orphaned.emplace(request.startedAt + state.config().longestRun(), orphaned_attempt{ request.spec.team, request.worker });
        return retryOr(result_action::unknown, std::move(request), context, state, now);
    }
    releasePermits(request);
    if (result == attempt_result::connect_failed) {
        return retryOr(mayHaveRunBefore ? result_action::unknown : result_action::not_run, std::move(request), context, state, now);
    }
    if (result == attempt_result::answered) {
        m_runTimeEstimates[{ request.spec.service, request.spec.team }].addSample(measured);
        return result_action::reply;
    }
    return retryOr(result_action::reply, std::move(request), context, state, now);
}

result_action dispatcher::retryOr(result_action otherwise, request_record request, pool_context &context, const fleet_state &state,
                                  instant now)
{
    // The request did not run when the connection was not established, so any request may be retried.
    const bool safe = otherwise == result_action::not_run || request.spec.repeatable;
    const bool workloadFailing = context.selector.isWorkloadFailing(request.spec.service + "/" + request.spec.team);
    if (!safe || workloadFailing || request.tried.size() >= MAX_ATTEMPTS || now >= request.spec.deadline || !context.retries.tryRetry()) {
        return otherwise;
    }
    context.queue.requeue({ request.spec.id, request.spec.team, request.spec.priority }, shareOf(request.spec.team, state), duration(0));
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
    contextOf(found->second.pool).queue.cancel(id);
    m_deadlines.erase({ found->second.spec.deadline, id });
    m_waiting.erase(found);
    return true;
}

std::vector<expired_request> dispatcher::expire(instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const request_id id = m_deadlines.begin()->second;
        const request_record &request = m_waiting.at(id);
        contextOf(request.pool).queue.cancel(id);
        expireRequest(request, "the deadline passed while the request waited");
    }
    return std::exchange(m_expired, {});
}

// Removes a request that is no longer in a queue.
void dispatcher::expireRequest(const request_record &request, const std::string &message)
{
    const request_id id = request.spec.id;
    const std::string peer = request.tried.empty() ? std::string() : request.tried.back();
    const outcome requestOutcome = request.mayHaveRun ? outcome::unknown : outcome::not_run;
    m_expired.push_back({ id, requestOutcome, { failure_step::queue, peer, message } });
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
    for (auto &[pool, context] : m_pools) {
        context.queue.adjustWeights(elapsed);
    }
}

void dispatcher::chargeRemote(const run_time_usage &usage, const fleet_state &state)
{
    const service_spec *service = state.config().findService(usage.service);
    if (service != nullptr) {
        contextOf(service->pool).queue.chargeRemote(usage.team, shareOf(usage.team, state), duration(usage.runUs));
    }
}

std::vector<run_time_usage> dispatcher::runTimeUsage() const
{
    std::vector<run_time_usage> times;
    for (const auto &[key, runUs] : m_runTimeUsage) {
        times.push_back({ key.first, key.second, runUs });
    }
    return times;
}

std::vector<permit_demand> dispatcher::permitDemand(const fleet_state &state, instant now) const
{
    std::vector<permit_demand> demand;
    std::map<std::string, std::uint32_t> teams;
    for (const auto &[pool, context] : m_pools) {
        if (context.queue.size() == 0) {
            continue;
        }
        std::uint32_t startable = 0;
        for (const auto &[team, count] : context.queue.waitingTeams()) {
            if (teamHasCapacity(team, state, now)) {
                startable += static_cast<std::uint32_t>(count);
            } else {
                teams[team] += static_cast<std::uint32_t>(count);
            }
        }
        if (startable > 0 && freeWorkers(context, state, now).empty()) {
            demand.push_back({ {},
                               pool,
                               std::min(startable, MAX_DEMAND_PER_LOAN_REQUEST),
                               context.queue.headVirtualTime().value_or(0),
                               shareOf(context.queue.headTeam(), state) });
        }
    }
    for (const auto &[team, count] : teams) {
        demand.push_back({ team, {}, std::min(count, MAX_DEMAND_PER_LOAN_REQUEST), 0, 1 });
    }
    return demand;
}

bool dispatcher::hasDemandFor(const std::string &resource, const fleet_state &state) const
{
    const std::string name = resource.substr(resource.find('/') + 1);
    if (resource == teamResource(name)) {
        return std::any_of(m_pools.begin(), m_pools.end(), [&](const auto &context) { return context.second.queue.waiting(name) > 0; });
    }
    const auto host = state.hosts().find(name);
    if (host == state.hosts().end() || host->second.state != host_state::active) {
        return false;
    }
    const auto context = m_pools.find(host->second.pool);
    return context != m_pools.end() && context->second.queue.size() > 0;
}

std::optional<double> dispatcher::headVirtualTime(const std::string &pool) const
{
    const auto context = m_pools.find(pool);
    return context == m_pools.end() ? std::nullopt : context->second.queue.headVirtualTime();
}

const std::vector<std::string> &dispatcher::workersOf(const std::string &pool, const fleet_state &state)
{
    pool_context &context = contextOf(pool);
    refreshWorkers(pool, context, state);
    return context.workers;
}

std::size_t dispatcher::waiting() const
{
    return m_waiting.size();
}

std::vector<std::string> dispatcher::ejectedWorkers() const
{
    std::vector<std::string> names;
    for (const auto &[pool, context] : m_pools) {
        const auto ejected = context.selector.ejected();
        names.insert(names.end(), ejected.begin(), ejected.end());
    }
    return names;
}

} // namespace jujubespool

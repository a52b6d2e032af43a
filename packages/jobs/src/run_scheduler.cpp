#include <jujubespool/jobs/run_scheduler.h>

#include <algorithm>
#include <jujubespool/jobs/placement.h>
#include <jujubespool/jobs/team_shares.h>
#include <tuple>
#include <unordered_map>

namespace jujubespool {

namespace {

// Maximum number of workers in one request to the policy service.
constexpr std::size_t MAX_WORKERS_PER_REQUEST = 30;
// Maximum number of requests to the policy service that may be pending at the same time.
constexpr std::size_t MAX_PENDING_REQUESTS = 8;

std::string stepText(const task_key &key)
{
    return key.stepText();
}

// Places the waiting tasks of the jobs that are passed to schedule(), in that order.
class scheduling_pass
{
public:
    scheduling_pass(fleet_model &model, const policy_ticket_cache &tickets, instant now, schedule_result &result)
        : m_model(model)
        , m_tickets(tickets)
        , m_now(now)
        , m_result(result)
    {
        for (auto &[id, target] : model.workers().all()) {
            if (acceptsNewTasks(target, now)) {
                pool_workers &pool = m_pools[target.report.pool];
                pool.workers.push_back(&target);
                if (pool.dataCenters.count(target.report.dataCenter) == 0) {
                    pool.dataCenters.insert(target.report.dataCenter);
                }
            }
        }
    }

    void schedule(job &current, const queue_config &queue)
    {
        for (auto &[number, occurrence] : current.occurrences()) {
            for (int step = 0; !occurrence.ended && step < static_cast<int>(occurrence.steps.size()); ++step) {
                if (occurrence.unfinishedTasks[static_cast<std::size_t>(step)] > 0 && current.stepReady(occurrence, step)) {
                    scheduleStep(current, queue, { current.request().id, number, step, 0 });
                }
            }
        }
    }

private:
    // The workers of a pool that accept new tasks, and the sizes of tasks that did not fit on any of them in this pass.
    struct pool_workers
    {
        std::vector<worker *> workers;
        std::set<std::string> dataCenters;
        std::vector<resources> rejected;

        // All steps of a job get the same data centre unless a data centre is lost. The jobs are spread evenly.
        std::string preferredDataCenterOf(const std::string &job) const
        {
            if (dataCenters.empty()) {
                return {};
            }
            const auto index = static_cast<std::ptrdiff_t>(std::hash<std::string>()(job) % dataCenters.size());
            return *std::next(dataCenters.begin(), index);
        }

        // Free capacity only shrinks during a pass, so a task does not fit if it needs at least as much as an earlier task that did
        // not fit.
        bool isKnownNotToFit(const step_spec &step) const
        {
            return !step.bestEffort && std::any_of(rejected.begin(), rejected.end(), [&](const resources &failed) {
                return failed.fitsIn(step.taskResources);
            });
        }
    };

    void scheduleStep(job &current, const queue_config &queue, const task_key &first)
    {
        const step_spec &step = current.step(first.step);
        if (!step.gang && !queue.policy && m_pools[queue.pool].isKnownNotToFit(step)) {
            return;
        }
        std::vector<task_key> waiting;
        for (task_key key = first; key.index < step.count; ++key.index) {
            if (current.task(key)->phase == task_phase::waiting) {
                waiting.push_back(key);
            }
        }
        if (waiting.empty()) {
            return;
        }
        if (queue.policy && !requestTicketsIfNeeded(queue, waiting.front(), step)) {
            return;
        }
        if (step.gang) {
            placeGang(current, queue, waiting);
            return;
        }
        for (const task_key &key : waiting) {
            if (!placeTask(current, queue, key, 0, {})) {
                break;
            }
        }
    }

    // Returns false when no task of the step can be placed before the policy service has responded.
    bool requestTicketsIfNeeded(const queue_config &queue, const task_key &key, const step_spec &step)
    {
        const std::string text = stepText(key);
        ticket_request ticketRequest{ text, {}, queue.policy->validity };
        bool hasTicket = false;
        for (const auto &[id, target] : m_model.workers().all()) {
            if (target.report.pool != queue.pool || !acceptsNewTasks(target, m_now) || !fitsWhenEmpty(target, step)) {
                continue;
            }
            if (m_tickets.ticketFor(text, target, m_now) != nullptr) {
                hasTicket = true;
            } else if (!m_tickets.isDenied(text, id) && ticketRequest.workers.size() < MAX_WORKERS_PER_REQUEST) {
                ticketRequest.workers.push_back(id);
            }
        }
        const bool canRequest = m_tickets.requestsInFlight() + m_result.ticketRequests.size() < MAX_PENDING_REQUESTS;
        if (!hasTicket && !ticketRequest.workers.empty() && !m_tickets.isRequestPending(text) && canRequest) {
            m_result.ticketRequests.push_back(std::move(ticketRequest));
        }
        return hasTicket;
    }

    placement_request requestFor(const job &current, const queue_config &queue, const task_key &key) const
    {
        const step_spec &step = current.step(key.step);
        placement_request request{ key, &step, queue.pool, {}, {}, {}, {} };
        const auto &tasks = current.occurrences().at(key.occurrence).steps[static_cast<std::size_t>(key.step)];
        const task_progress &task = tasks[static_cast<std::size_t>(key.index)];
        if (task.failures > 0 || step.longRunning) {
            request.avoidedWorker = task.worker;
        }
        if (queue.policy) {
            request.isPermitted = [this, text = stepText(key)](const worker &target) {
                return m_tickets.ticketFor(text, target, m_now) != nullptr;
            };
        }
        return request;
    }

    bool placeTask(job &current, const queue_config &queue, const task_key &key, int run, const std::string &rack)
    {
        const step_spec &step = current.step(key.step);
        const auto team = m_model.config().teams.find(current.request().team);
        if (team != m_model.config().teams.end() && !m_model.usage().allows(team->second, fleet_model::resourcesOf(step))) {
            return false;
        }
        placement_request request = requestFor(current, queue, key);
        request.rack = rack;
        pool_workers &pool = m_pools[queue.pool];
        request.preferredDataCenter = pool.preferredDataCenterOf(key.job);
        const bool hasNoFurtherConditions
            = step.maxPerWorker == 0 && step.requiredLabel.empty() && rack.empty() && !queue.policy && !step.bestEffort;
        if (pool.isKnownNotToFit(step)) {
            return false;
        }
        worker *target = chooseWorker(pool.workers, request, m_now);
        if (target == nullptr) {
            if (hasNoFurtherConditions) {
                pool.rejected.push_back(step.taskResources);
            }
            return false;
        }
        std::string ticket;
        if (queue.policy) {
            ticket = *m_tickets.ticketFor(stepText(key), *target, m_now);
        }
        const int runNumber = m_model.place(key, *target, m_now, run);
        m_result.placements.push_back({ key, runNumber, target->report.id, ticket });
        return true;
    }

    // Places either all tasks, with the same run number, or none.
    void placeGang(job &current, const queue_config &queue, const std::vector<task_key> &waiting)
    {
        const step_spec &step = current.step(waiting.front().step);
        if (static_cast<int>(waiting.size()) < step.count) {
            return;
        }
        int run = 0;
        for (const task_key &key : waiting) {
            run = std::max(run, current.task(key)->run + 1);
        }
        for (const std::string &rack : racksForGang(step, queue)) {
            const std::size_t before = m_result.placements.size();
            const bool allPlaced = std::all_of(waiting.begin(), waiting.end(),
                                               [&](const task_key &key) { return placeTask(current, queue, key, run, rack); });
            if (allPlaced) {
                return;
            }
            while (m_result.placements.size() > before) {
                undoPlacement(current, m_result.placements.back().task);
                m_result.placements.pop_back();
            }
        }
    }

    void undoPlacement(job &current, const task_key &key)
    {
        const int run = current.task(key)->run;
        m_model.release(key);
        current.task(key)->run = run - 1;
    }

    // Racks to try in turn for a gang that should run on one rack. The last entry is empty and means any rack.
    std::vector<std::string> racksForGang(const step_spec &step, const queue_config &queue) const
    {
        std::vector<std::string> racks;
        if (step.sameRack) {
            std::set<std::string> addedRacks;
            for (const auto &[id, target] : m_model.workers().all()) {
                if (target.report.pool == queue.pool && addedRacks.insert(target.rack()).second) {
                    racks.push_back(target.rack());
                }
            }
        }
        racks.emplace_back();
        return racks;
    }

    fleet_model &m_model;
    const policy_ticket_cache &m_tickets;
    instant m_now;
    schedule_result &m_result;
    std::unordered_map<std::string, pool_workers> m_pools;
};

} // namespace

bool job_rank::operator<(const job_rank &other) const
{
    return std::tie(priority, exceedsShare, late, coreSecondsLeft, id)
        < std::tie(other.priority, other.exceedsShare, other.late, other.coreSecondsLeft, other.id);
}

job_rank rankOf(const job &current, const queue_config &queue, wall_ms wall)
{
    job_rank rank{ queue.priority, false, false, 0, current.request().id };
    if (current.isLongRunning()) {
        return rank;
    }
    const job_demand &demand = current.demand();
    rank.coreSecondsLeft = demand.coreSecondsLeft;
    const milliseconds total = current.criticalPathLength();
    const double objectiveMs = queue.deadlineFactor * static_cast<double>(total.count()) + static_cast<double>(queue.targetLatency.count());
    const double ageMs = static_cast<double>(wall) - static_cast<double>(current.acceptedAt());
    rank.late = !current.isRecurring() && ageMs + static_cast<double>(demand.remainingPath.count()) > objectiveMs;
    return rank;
}

namespace {

struct ranked_job
{
    job_rank rank;
    job *current = nullptr;
    const queue_config *queue = nullptr;
};

// Tracks the CPU that is allocated to each team in each pool and finds the jobs whose team already has its fair share.
class share_tracker
{
public:
    explicit share_tracker(const fleet_model &model)
    {
        std::unordered_map<std::string, std::int64_t> capacity;
        for (const auto &[id, target] : model.workers().all()) {
            capacity[target.report.pool] += target.listed ? target.report.capacity.cpuMillis : 0;
        }
        std::unordered_map<std::string, std::unordered_map<std::string, std::int64_t>> demand;
        for (const auto &[id, entry] : model.activeJobs()) {
            const queue_config *queue = model.queueOf(*entry);
            if (queue != nullptr) {
                const job_demand &jobDemand = entry->demand();
                demand[queue->pool][entry->request().team] += jobDemand.usedMillis + jobDemand.waitingMillis;
                m_allocatedMillis[queue->pool][entry->request().team] += jobDemand.usedMillis;
            }
        }
        for (const auto &[pool, teams] : demand) {
            std::vector<team_demand> demands;
            for (const auto &[team, millis] : teams) {
                const auto config = model.config().teams.find(team);
                const double weight = config == model.config().teams.end() ? 1 : std::max(config->second.weight, MIN_WEIGHT);
                demands.push_back({ team, weight, millis });
            }
            m_shares[pool] = fairShares(capacity[pool], demands);
        }
    }

    // True when the team already has its share of the pool without the job's waiting tasks. Must be called for the jobs in
    // scheduling order.
    bool exceedsShare(const ranked_job &ranked)
    {
        const std::string &team = ranked.current->request().team;
        std::int64_t &allocatedMillis = m_allocatedMillis[ranked.queue->pool][team];
        const std::int64_t waitingMillis = ranked.current->demand().waitingMillis;
        const bool exceeds = waitingMillis > 0 && static_cast<double>(allocatedMillis) >= m_shares[ranked.queue->pool][team];
        allocatedMillis += waitingMillis;
        return exceeds;
    }

private:
    static constexpr double MIN_WEIGHT = 0.001;

    std::unordered_map<std::string, std::map<std::string, double>> m_shares;
    std::unordered_map<std::string, std::unordered_map<std::string, std::int64_t>> m_allocatedMillis;
};

} // namespace

schedule_result run_scheduler::decide(fleet_model &model, const policy_ticket_cache &tickets, instant now, wall_ms wall) const
{
    schedule_result result;
    std::vector<ranked_job> order;
    for (const auto &[id, current] : model.activeJobs()) {
        const queue_config *queue = current->demand().hasWaitingTasks ? model.queueOf(*current) : nullptr;
        if (queue != nullptr) {
            order.push_back({ rankOf(*current, *queue, wall), current, queue });
        }
    }
    if (order.empty()) {
        return result;
    }
    const auto byRank = [](const ranked_job &left, const ranked_job &right) {
        return left.rank < right.rank;
    };
    std::sort(order.begin(), order.end(), byRank);
    share_tracker shares(model);
    for (ranked_job &ranked : order) {
        ranked.rank.exceedsShare = shares.exceedsShare(ranked);
    }
    std::sort(order.begin(), order.end(), byRank);
    scheduling_pass pass(model, tickets, now, result);
    for (const ranked_job &ranked : order) {
        pass.schedule(*ranked.current, *ranked.queue);
    }
    return result;
}

} // namespace jujubespool

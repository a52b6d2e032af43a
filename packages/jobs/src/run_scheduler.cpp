#include <jujubespool/jobs/run_scheduler.h>

#include <algorithm>
#include <jujubespool/jobs/expected_grants.h>
#include <jujubespool/jobs/free_capacity_index.h>
#include <jujubespool/jobs/gang_placement.h>
#include <jujubespool/jobs/team_shares.h>
#include <tuple>
#include <unordered_map>

namespace jujubespool {

namespace {

// Maximum number of workers in one request to the policy service, which takes time for each of them. More than the usual number are
// named only if tasks that have to start together need more workers.
constexpr std::size_t USUAL_WORKERS_PER_REQUEST = 30;
constexpr std::size_t MAX_WORKERS_PER_REQUEST = 100;
// Workers are named in addition as long as they cost this part of what each request costs.
constexpr int PART_OF_DECISION_FOR_SPARE_WORKERS = 4;

milliseconds costOf(const policy_config &policy, std::size_t workers)
{
    return policy.decision + policy.perWorker * static_cast<std::int64_t>(workers);
}

// Places the waiting tasks of the jobs that are passed to schedule(), in that order.
class scheduling_pass
{
public:
    scheduling_pass(fleet_model &model, const policy_ticket_cache &tickets, instant now, schedule_result &result)
        : m_model(model)
        , m_tickets(tickets)
        , m_pacer(tickets.pacer())
        , m_now(now)
        , m_result(result)
    {
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

    // Must be called after the last call of schedule().
    void finish()
    {
        std::optional<ticket_request> &spare = m_repeatedRequest ? m_repeatedRequest : m_laterRequest;
        if (spare && m_result.ticketRequests.empty()) {
            send(std::move(*spare));
        }
        for (const auto &[name, pool] : m_pools) {
            m_result.stepsToRequest += pool.hasRoomForFirst ? pool.stepsToRequest : 0;
        }
        if (m_waitsForTickets) {
            m_result.nextTicketRequestAt = m_pacer.nextChange(m_now);
        }
    }

private:
    // Tasks of this size that did not fit at the same time: one task, or all tasks of a gang.
    struct rejected_size
    {
        resources need;
        int count = 1;
    };

    static int countNeededAtOnce(const step_spec &step)
    {
        return step.gang ? step.count : 1;
    }

    // True when nothing but the free capacity of the pool's workers decides whether a task of the step can be placed.
    static bool needsOnlyCapacity(const step_spec &step, const queue_config &queue)
    {
        return step.maxPerWorker == 0 && step.requiredLabel.empty() && !queue.policy && !step.bestEffort;
    }

    // The workers of a pool that accept new tasks, and the sizes of tasks and gangs that did not fit on them in this pass.
    struct pool_workers
    {
        std::vector<worker *> workers;
        free_capacity_index index;
        std::vector<std::string> dataCenters;
        std::vector<rejected_size> rejected;
        // Such workers are open to some steps only, so a task that may not use them says nothing about the others.
        bool hasLeavingWorkers = false;
        // CPU that the steps with a pending request to the policy service can use.
        std::int64_t reservedCpuMillis = 0;
        // Steps that wait until a request may be sent for them. Without room for the first one, room is what they wait for.
        std::size_t stepsToRequest = 0;
        bool hasRoomForFirst = false;

        void reserveCpu(std::int64_t cpuMillis)
        {
            reservedCpuMillis += cpuMillis;
        }
        void countStepToRequest(std::int64_t taskCpuMillis)
        {
            if (stepsToRequest++ > 0) {
                return;
            }
            std::int64_t free = 0;
            for (const worker *target : workers) {
                free += target->freeCapacity().cpuMillis;
            }
            hasRoomForFirst = free - reservedCpuMillis >= taskCpuMillis;
        }

        bool canHoldOnStayingWorker(const step_spec &step) const
        {
            return std::any_of(workers.begin(), workers.end(),
                               [&step](const worker *target) { return canHoldBesideLongRunningTasks(*target, step); });
        }

        // All steps of a job get the same data centre unless a data centre is lost. The jobs are spread evenly.
        std::string preferredDataCenterOf(const std::string &job) const
        {
            if (dataCenters.empty()) {
                return {};
            }
            return dataCenters[std::hash<std::string>()(job) % dataCenters.size()];
        }

        // Free capacity only shrinks during a pass, so a task or a gang does not fit if it needs at least as much as an earlier one
        // that did not fit.
        bool isKnownNotToFit(const step_spec &step) const
        {
            return !step.bestEffort && std::any_of(rejected.begin(), rejected.end(), [&](const rejected_size &failed) {
                return failed.need.fitsIn(step.taskResources) && failed.count <= countNeededAtOnce(step);
            });
        }
    };

    // Looks at the pool's workers when the first of its jobs is placed.
    pool_workers &poolNamed(const std::string &name)
    {
        const auto [found, isNew] = m_pools.try_emplace(name);
        pool_workers &pool = found->second;
        if (isNew) {
            const std::vector<worker *> &all = m_model.workers().inPool(name);
            m_model.countWorkersExamined(all.size());
            for (worker *target : all) {
                if (acceptsNewTasks(*target, m_now)) {
                    pool.workers.push_back(target);
                    pool.hasLeavingWorkers = pool.hasLeavingWorkers || target->leavingPool;
                }
            }
            pool.index = free_capacity_index(pool.workers);
            pool.dataCenters = pool.index.dataCenters();
        }
        return pool;
    }

    void scheduleStep(job &current, const queue_config &queue, const task_key &first)
    {
        const step_spec &step = current.step(first.step);
        if (!queue.policy && poolNamed(queue.pool).isKnownNotToFit(step)) {
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
        const std::size_t before = m_result.placements.size();
        if (step.gang) {
            placeGang(current, queue, waiting);
        } else {
            for (const task_key &key : waiting) {
                if (!teamMayRun(current, step, 1) || !placeTask(current, queue, key, 0, {})) {
                    break;
                }
            }
        }
        waiting.erase(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(m_result.placements.size() - before));
        if (queue.policy && !waiting.empty()) {
            requestTicketsFor(current, queue, waiting);
        }
    }

    void send(ticket_request request)
    {
        m_pacer.onSent(request.cost, m_now);
        m_result.ticketRequests.push_back(std::move(request));
    }

    // Requests tickets for tasks that could not be placed with the tickets that are present. Workers that could run them now are asked
    // first. If there are none and the policy service has nothing else to do, workers are asked that could run them later. If a response
    // is overdue and no other step needs one, the request is repeated, as it may be lost.
    void requestTicketsFor(const job &current, const queue_config &queue, const std::vector<task_key> &waiting)
    {
        const step_spec &step = current.step(waiting.front().step);
        const std::string text = waiting.front().stepText();
        const std::size_t tasksAtOnce = step.gang ? static_cast<std::size_t>(step.count) : 1;
        if (waiting.size() < tasksAtOnce || !teamMayRun(current, step, static_cast<int>(tasksAtOnce))
            || !m_tickets.mayRequest(text, m_now)) {
            return;
        }
        m_waitsForTickets = true;
        const bool pending = m_tickets.isRequestPending(text);
        pool_workers &pool = poolNamed(queue.pool);
        const std::int64_t taskCpuMillis = fleet_model::resourcesOf(step).cpuMillis;
        if (pending) {
            pool.reserveCpu(taskCpuMillis * static_cast<std::int64_t>(waiting.size()));
        }
        if (!m_pacer.maySend(m_now)) {
            if (!pending) {
                pool.countStepToRequest(taskCpuMillis);
            }
            return;
        }
        if (pending && (m_repeatedRequest || !m_pacer.mayRepeat(m_now))) {
            return;
        }
        ticket_request tickets{ text, workersToAsk(current, queue, waiting, tasksAtOnce), queue.policy->validity, queue.name };
        if (!tickets.workers.empty()) {
            tickets.cost = costOf(*queue.policy, tickets.workers.size());
            if (pending) {
                m_repeatedRequest = std::move(tickets);
            } else {
                send(std::move(tickets));
                pool.reserveCpu(taskCpuMillis * static_cast<std::int64_t>(waiting.size()));
            }
        } else if (m_tickets.pacer().isIdle() && !pending && !m_laterRequest) {
            tickets.workers = workersToAskForLater(queue, text, step);
            tickets.cost = costOf(*queue.policy, tickets.workers.size());
            m_laterRequest = tickets.workers.empty() ? std::nullopt : std::optional(std::move(tickets));
        }
    }

    // Workers without a valid ticket that could run tasks of the step now: those that the policy service has permitted before, then the
    // preferred ones. Not more than are likely to suffice, as the service takes time for each. Empty if the tasks that have to start
    // together would not fit even with a ticket for each worker.
    std::vector<std::string> workersToAsk(const job &current, const queue_config &queue, const std::vector<task_key> &waiting,
                                          std::size_t tasksAtOnce)
    {
        const std::string text = waiting.front().stepText();
        const pool_workers &pool = poolNamed(queue.pool);
        placement_request request = requestFor(current, queue, waiting.front());
        request.isPermitted = nullptr;
        request.preferredDataCenter = pool.preferredDataCenterOf(waiting.front().job);
        std::vector<worker *> unasked;
        std::int64_t slotsWithTicket = 0;
        std::int64_t slotsUnasked = 0;
        m_model.countWorkersExamined(pool.workers.size());
        for (worker *target : eligibleWorkers(pool.workers, request, m_now)) {
            if (m_tickets.ticketFor(text, *target, m_now) != nullptr) {
                slotsWithTicket += countFreeSlots(*target, request);
            } else if (!m_tickets.isDenied(text, *target)) {
                slotsUnasked += countFreeSlots(*target, request);
                unasked.push_back(target);
            }
        }
        if (slotsWithTicket + slotsUnasked < static_cast<std::int64_t>(tasksAtOnce)) {
            return {};
        }
        if (request.step->sameRack) {
            putLargestRackFirst(unasked, request);
        } else {
            std::stable_partition(unasked.begin(), unasked.end(),
                                  [&](const worker *target) { return m_tickets.wasGranted(text, *target); });
        }
        return likelyToSuffice(unasked, queue, request, { static_cast<std::int64_t>(waiting.size()), slotsWithTicket, tasksAtOnce });
    }

    struct wanted_tickets
    {
        std::int64_t tasks = 0;
        std::int64_t slotsWithTicket = 0;
        std::size_t tasksAtOnce = 1;
    };

    // The first of the workers, as many as are likely to get tickets for all tasks.
    std::vector<std::string> likelyToSuffice(const std::vector<worker *> &unasked, const queue_config &queue,
                                             const placement_request &request, const wanted_tickets &wanted) const
    {
        const std::string text = request.task.stepText();
        const double grantRatio = m_tickets.grantRatio(queue.name, text);
        const milliseconds spareCost = queue.policy->decision / PART_OF_DECISION_FOR_SPARE_WORKERS;
        std::vector<std::string> workers;
        expected_grants grants;
        grants.add(1, wanted.slotsWithTicket);
        std::int64_t slots = wanted.slotsWithTicket;
        for (const worker *target : unasked) {
            const std::size_t limit
                = slots < static_cast<std::int64_t>(wanted.tasksAtOnce) ? MAX_WORKERS_PER_REQUEST : USUAL_WORKERS_PER_REQUEST;
            const bool costsLittle = queue.policy->perWorker * static_cast<std::int64_t>(workers.size() + 1) <= spareCost;
            // Tickets on several racks do not add up for tasks that should run on one.
            const bool suffices = !request.step->sameRack && grants.suffice(wanted.tasks);
            if (workers.size() >= limit || (!costsLittle && suffices)) {
                break;
            }
            workers.push_back(target->report.id);
            const std::int64_t free = countFreeSlots(*target, request);
            slots += free;
            grants.add(m_tickets.wasGranted(text, *target) ? 1 : grantRatio, free);
        }
        return workers;
    }

    // Keeps the order within each rack.
    static void putLargestRackFirst(std::vector<worker *> &workers, const placement_request &request)
    {
        std::map<std::string, std::int64_t> slots;
        for (const worker *target : workers) {
            slots[target->rack()] += countFreeSlots(*target, request);
        }
        std::stable_sort(workers.begin(), workers.end(), [&](const worker *left, const worker *right) {
            return std::make_pair(-slots.at(left->rack()), left->rack()) < std::make_pair(-slots.at(right->rack()), right->rack());
        });
    }

    // Workers that could run the step if less ran there; empty if there is a ticket for one of them already.
    std::vector<std::string> workersToAskForLater(const queue_config &queue, const std::string &text, const step_spec &step)
    {
        std::vector<std::string> workers;
        for (const worker *target : poolNamed(queue.pool).workers) {
            if (!fitsWhenEmpty(*target, step)) {
                continue;
            }
            if (m_tickets.ticketFor(text, *target, m_now) != nullptr) {
                return {};
            }
            if (!m_tickets.isDenied(text, *target) && workers.size() < USUAL_WORKERS_PER_REQUEST) {
                workers.push_back(target->report.id);
            }
        }
        return workers;
    }

    placement_request requestFor(const job &current, const queue_config &queue, const task_key &key)
    {
        const step_spec &step = current.step(key.step);
        placement_request request{ key, &step, queue.pool, {}, {}, {}, {}, nullptr, false };
        const auto &tasks = current.occurrences().at(key.occurrence).steps[static_cast<std::size_t>(key.step)];
        const task_progress &task = tasks[static_cast<std::size_t>(key.index)];
        request.failedOn = &task.failedOn;
        const pool_workers &pool = poolNamed(queue.pool);
        if (pool.hasLeavingWorkers) {
            request.mayUseLeavingWorkers = mayUseLeavingWorkers(step, tasks, pool.canHoldOnStayingWorker(step));
        }
        if (task.failures > 0 || step.longRunning) {
            request.avoidedWorker = task.worker;
        }
        request.interference = &m_model.interference();
        if (queue.policy) {
            request.isPermitted = [this, text = key.stepText()](const worker &target) {
                return m_tickets.ticketFor(text, target, m_now) != nullptr;
            };
        }
        return request;
    }

    // True when the team's maximum allows this many more tasks of the step.
    bool teamMayRun(const job &current, const step_spec &step, int count) const
    {
        const auto team = m_model.config().teams.find(current.request().team);
        const resources one = fleet_model::resourcesOf(step);
        const resources all{ one.cpuMillis * count, one.memoryMb * count, one.gpus * count };
        return team == m_model.config().teams.end() || m_model.usage().allows(team->second, all);
    }

    bool placeTask(job &current, const queue_config &queue, const task_key &key, int run, const std::string &rack)
    {
        const step_spec &step = current.step(key.step);
        placement_request request = requestFor(current, queue, key);
        request.rack = rack;
        pool_workers &pool = poolNamed(queue.pool);
        request.preferredDataCenter = pool.preferredDataCenterOf(key.job);
        if (pool.isKnownNotToFit(step)) {
            return false;
        }
        worker *target = pool.index.choose(request, m_now);
        m_model.countWorkersExamined(pool.index.takeExamined());
        if (target == nullptr) {
            if (needsOnlyCapacity(step, queue) && (request.mayUseLeavingWorkers || !pool.hasLeavingWorkers)) {
                pool.rejected.push_back({ step.taskResources, 1 });
            }
            return false;
        }
        std::string ticket;
        std::optional<instant> ticketValidUntil;
        if (queue.policy) {
            ticket = *m_tickets.ticketFor(key.stepText(), *target, m_now);
            ticketValidUntil = m_tickets.validUntil(key.stepText(), *target);
        }
        const std::int64_t freeCpuMillis = target->freeCapacity().cpuMillis;
        const int runNumber = m_model.place(key, *target, m_now, run);
        pool.index.onPlaced(*target, freeCpuMillis);
        m_result.placements.push_back({ key, runNumber, target->report.id, ticket, ticketValidUntil });
        return true;
    }

    // Places either all tasks, with the same run number, or none.
    void placeGang(job &current, const queue_config &queue, const std::vector<task_key> &waiting)
    {
        const step_spec &step = current.step(waiting.front().step);
        if (static_cast<int>(waiting.size()) < step.count || !teamMayRun(current, step, step.count)) {
            return;
        }
        pool_workers &pool = poolNamed(queue.pool);
        m_model.countWorkersExamined(pool.workers.size());
        const std::optional<std::string> rack = rackForGang(pool.workers, requestFor(current, queue, waiting.front()), m_now);
        if (!rack) {
            if (needsOnlyCapacity(step, queue)) {
                pool.rejected.push_back({ step.taskResources, step.count });
            }
            return;
        }
        current.alignGang(waiting.front());
        int run = 0;
        for (const task_key &key : waiting) {
            run = std::max(run, current.task(key)->run + 1);
        }
        // Each task finds a worker, because all of them fit.
        for (const task_key &key : waiting) {
            placeTask(current, queue, key, run, *rack);
        }
    }

    fleet_model &m_model;
    const policy_ticket_cache &m_tickets;
    // As it will be once the requests of this pass are sent.
    policy_request_pacer m_pacer;
    instant m_now;
    schedule_result &m_result;
    bool m_waitsForTickets = false;
    // A request for tickets that nothing could be placed with yet.
    std::optional<ticket_request> m_laterRequest;
    // A request whose response is overdue, once more.
    std::optional<ticket_request> m_repeatedRequest;
    std::unordered_map<std::string, pool_workers> m_pools;
};

} // namespace

bool job_rank::operator<(const job_rank &other) const
{
    return std::tie(priority, exceedsShare, late, coreSecondsLeft, acceptedAt, number)
        < std::tie(other.priority, other.exceedsShare, other.late, other.coreSecondsLeft, other.acceptedAt, other.number);
}

job_rank rankOf(const job &current, const queue_config &queue, wall_ms wall)
{
    job_rank rank{ queue.priority, false, false, 0, current.acceptedAt(), current.request().id.number() };
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
    const job_load *load = nullptr;
};

// Tracks the CPU that is allocated to each team in each pool and finds the jobs whose team already has its fair share.
class share_tracker
{
public:
    share_tracker(const fleet_model &model, const demand_index &demands)
    {
        for (const auto &[name, pool] : demands.pools()) {
            if (!pool.waitingJobs.empty()) {
                addTeams(model, name, pool);
            }
        }
    }

    // True when the team already has its share of the pool without the job's waiting tasks. Must be called for the jobs in
    // scheduling order.
    bool exceedsShare(const ranked_job &ranked)
    {
        team_share &team = m_teams.at(ranked.load->team);
        const std::int64_t waitingMillis = ranked.load->waitingMillis;
        const bool exceeds = waitingMillis > 0 && static_cast<double>(team.allocatedMillis) >= team.share;
        team.allocatedMillis += waitingMillis;
        return exceeds;
    }

private:
    static constexpr double MIN_WEIGHT = 0.001;

    struct team_share
    {
        double share = 0;
        std::int64_t allocatedMillis = 0;
    };

    void addTeams(const fleet_model &model, const std::string &poolName, const pool_load &pool)
    {
        std::vector<weighted_demand> weighted;
        weighted.reserve(pool.teams.size());
        for (const auto &[team, load] : pool.teams) {
            const auto config = model.config().teams.find(team);
            const double weight = config == model.config().teams.end() ? 1 : std::max(config->second.weight, MIN_WEIGHT);
            weighted.push_back({ weight, load.usedMillis + load.waitingMillis });
        }
        const std::vector<double> shares = fairShares(model.workers().listedCpuMillis(poolName), weighted);
        std::size_t next = 0;
        for (const auto &[team, load] : pool.teams) {
            m_teams[&load] = { shares[next++], load.usedMillis };
        }
    }

    std::unordered_map<const team_load *, team_share> m_teams;
};

} // namespace

schedule_result run_scheduler::decide(fleet_model &model, const policy_ticket_cache &tickets, instant now, wall_ms wall) const
{
    schedule_result result;
    const demand_index &demands = model.demands();
    std::vector<ranked_job> order;
    std::size_t waitingJobs = 0;
    for (const auto &[name, pool] : demands.pools()) {
        waitingJobs += pool.waitingJobs.size();
    }
    order.reserve(waitingJobs);
    for (const auto &[name, pool] : demands.pools()) {
        for (job *waiting : pool.waitingJobs) {
            const job_load &load = demands.loadOf(*waiting);
            order.push_back({ rankOf(*waiting, *load.queue, wall), waiting, &load });
        }
    }
    model.countJobsExamined(order.size());
    if (order.empty()) {
        model.countSchedulingPass(0);
        return result;
    }
    const auto byRank = [](const ranked_job &left, const ranked_job &right) {
        return left.rank < right.rank;
    };
    std::sort(order.begin(), order.end(), byRank);
    share_tracker shares(model, demands);
    for (ranked_job &ranked : order) {
        ranked.rank.exceedsShare = shares.exceedsShare(ranked);
    }
    std::sort(order.begin(), order.end(), byRank);
    scheduling_pass pass(model, tickets, now, result);
    for (const ranked_job &ranked : order) {
        pass.schedule(*ranked.current, *ranked.load->queue);
    }
    pass.finish();
    model.countSchedulingPass(result.placements.size());
    return result;
}

} // namespace jujubespool

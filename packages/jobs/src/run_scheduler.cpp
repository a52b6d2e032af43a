#include <jujubespool/jobs/run_scheduler.h>

#include <algorithm>
#include <fmt/format.h>
#include <jujubespool/jobs/job_load.h>
#include <jujubespool/jobs/placement.h>
#include <jujubespool/jobs/team_shares.h>
#include <tuple>

namespace jujubespool {

namespace {

// Workers that one question to the policy service names at most.
constexpr std::size_t WORKERS_ASKED = 30;
// Questions that may wait at the policy service at once.
constexpr std::size_t MAX_QUESTIONS = 8;
constexpr std::int64_t MILLIS_PER_CORE = 1000;

std::string stepText(const task_key &key)
{
    return fmt::format("{}.{}.{}", key.job, key.occurrence, key.step);
}

// One pass over the waiting tasks.
class pass
{
public:
    pass(fleet_model &model, const policy_ticket_cache &advice, instant now, schedule_result &result)
        : m_model(model)
        , m_advice(advice)
        , m_now(now)
        , m_result(result)
    {
        for (auto &[id, target] : model.workers().all()) {
            if (acceptsNewTasks(target, now)) {
                pool_room &room = m_room[target.report.pool];
                room.workers.push_back(&target);
                room.dataCenters.insert(target.report.dataCenter);
            }
        }
    }

    void schedule(job &item, const queue_config &queue)
    {
        for (auto &[number, occurrence] : item.occurrences()) {
            for (int step = 0; !occurrence.ended && step < static_cast<int>(occurrence.steps.size()); ++step) {
                if (occurrence.open[static_cast<std::size_t>(step)] > 0 && item.stepReady(occurrence, step)) {
                    scheduleStep(item, queue, { item.request().id, number, step, 0 });
                }
            }
        }
    }

private:
    // The workers of a pool that take work, and what has not fitted on any of them in this pass.
    struct pool_room
    {
        std::vector<worker *> workers;
        std::set<std::string> dataCenters;
        std::vector<resources> tooLarge;

        // The same for all steps of a job as long as no data centre is lost; jobs are spread evenly.
        std::string homeOf(const std::string &job) const
        {
            if (dataCenters.empty()) {
                return {};
            }
            const auto index = static_cast<std::ptrdiff_t>(std::hash<std::string>()(job) % dataCenters.size());
            return *std::next(dataCenters.begin(), index);
        }

        // Room only shrinks during a pass, so that what needs as much as an earlier task does not fit either.
        bool knownFull(const step_spec &step) const
        {
            return !step.bestEffort && std::any_of(tooLarge.begin(), tooLarge.end(), [&](const resources &failed) {
                return failed.fitsIn(step.taskResources);
            });
        }
    };

    void scheduleStep(job &item, const queue_config &queue, const task_key &first)
    {
        const step_spec &step = item.step(first.step);
        std::vector<task_key> waiting;
        for (task_key key = first; key.index < step.count; ++key.index) {
            if (item.task(key)->phase == task_phase::waiting) {
                waiting.push_back(key);
            }
        }
        if (waiting.empty()) {
            return;
        }
        if (queue.policy && !askWhereNeeded(queue, waiting.front(), step)) {
            return;
        }
        if (step.gang) {
            placeGang(item, queue, waiting);
            return;
        }
        for (const task_key &key : waiting) {
            if (!placeOne(item, queue, key, 0, {})) {
                break;
            }
        }
    }

    // Returns false when nothing can be placed before the policy service has answered.
    bool askWhereNeeded(const queue_config &queue, const task_key &key, const step_spec &step)
    {
        const std::string text = stepText(key);
        ticket_request question{ text, {}, queue.policy->validity };
        bool ticketed = false;
        for (const auto &[id, target] : m_model.workers().all()) {
            if (target.report.pool != queue.pool || !acceptsNewTasks(target, m_now) || !fitsWhenEmpty(target, step)) {
                continue;
            }
            if (m_advice.ticketFor(text, target, m_now) != nullptr) {
                ticketed = true;
            } else if (!m_advice.isDenied(text, id) && question.workers.size() < WORKERS_ASKED) {
                question.workers.push_back(id);
            }
        }
        const bool mayAsk = m_advice.requestsInFlight() + m_result.questions.size() < MAX_QUESTIONS;
        if (!ticketed && !question.workers.empty() && !m_advice.isRequestPending(text) && mayAsk) {
            m_result.questions.push_back(std::move(question));
        }
        return ticketed;
    }

    placement_request requestFor(const job &item, const queue_config &queue, const task_key &key) const
    {
        const step_spec &step = item.step(key.step);
        placement_request request{ key, &step, queue.pool, {}, {}, {}, {} };
        const auto &tasks = item.occurrences().at(key.occurrence).steps[static_cast<std::size_t>(key.step)];
        const task_progress &task = tasks[static_cast<std::size_t>(key.index)];
        if (task.failures > 0 || step.longRunning) {
            request.avoid = task.worker;
        }
        if (queue.policy) {
            request.permitted = [this, text = stepText(key)](const worker &target) {
                return m_advice.ticketFor(text, target, m_now) != nullptr;
            };
        }
        return request;
    }

    bool placeOne(job &item, const queue_config &queue, const task_key &key, int run, const std::string &rack)
    {
        const step_spec &step = item.step(key.step);
        const auto team = m_model.config().teams.find(item.request().team);
        if (team != m_model.config().teams.end() && !m_model.usage().allows(team->second, fleet_model::resourcesOf(step))) {
            return false;
        }
        placement_request request = requestFor(item, queue, key);
        request.rack = rack;
        pool_room &room = m_room[queue.pool];
        request.homeDataCenter = room.homeOf(key.job);
        const bool plain = step.maxPerWorker == 0 && step.requiredLabel.empty() && rack.empty() && !queue.policy && !step.bestEffort;
        if (room.knownFull(step)) {
            return false;
        }
        worker *target = chooseWorker(room.workers, request, m_now);
        if (target == nullptr) {
            if (plain) {
                room.tooLarge.push_back(step.taskResources);
            }
            return false;
        }
        std::string ticket;
        if (queue.policy) {
            ticket = *m_advice.ticketFor(stepText(key), *target, m_now);
        }
        const int placedRun = m_model.place(key, *target, m_now, run);
        m_result.placements.push_back({ key, placedRun, target->report.id, ticket });
        return true;
    }

    // Places all tasks as one run, or none.
    void placeGang(job &item, const queue_config &queue, const std::vector<task_key> &waiting)
    {
        const step_spec &step = item.step(waiting.front().step);
        if (static_cast<int>(waiting.size()) < step.count) {
            return;
        }
        int run = 0;
        for (const task_key &key : waiting) {
            run = std::max(run, item.task(key)->run + 1);
        }
        for (const std::string &rack : gangRacks(step, queue)) {
            const std::size_t before = m_result.placements.size();
            const bool all
                = std::all_of(waiting.begin(), waiting.end(), [&](const task_key &key) { return placeOne(item, queue, key, run, rack); });
            if (all) {
                return;
            }
            while (m_result.placements.size() > before) {
                undo(item, m_result.placements.back().task);
                m_result.placements.pop_back();
            }
        }
    }

    void undo(job &item, const task_key &key)
    {
        const int run = item.task(key)->run;
        m_model.release(key);
        item.task(key)->run = run - 1;
    }

    // Racks to try for a gang that should stay on one, the unrestricted choice last.
    std::vector<std::string> gangRacks(const step_spec &step, const queue_config &queue) const
    {
        std::vector<std::string> racks;
        if (step.sameRack) {
            std::set<std::string> seen;
            for (const auto &[id, target] : m_model.workers().all()) {
                if (target.report.pool == queue.pool && seen.insert(target.rack()).second) {
                    racks.push_back(target.rack());
                }
            }
        }
        racks.emplace_back();
        return racks;
    }

    fleet_model &m_model;
    const policy_ticket_cache &m_advice;
    instant m_now;
    schedule_result &m_result;
    std::map<std::string, pool_room> m_room;
};

} // namespace

bool job_rank::operator<(const job_rank &other) const
{
    return std::tie(priority, exceedsShare, late, coreSecondsLeft, id)
        < std::tie(other.priority, other.exceedsShare, other.late, other.coreSecondsLeft, other.id);
}

job_rank rankOf(const job &item, const queue_config &queue, wall_ms wall)
{
    job_rank rank{ queue.priority, false, false, 0, item.request().id };
    const std::vector<step_spec> &steps = item.request().steps;
    if (item.isLongRunning()) {
        return rank;
    }
    milliseconds left{ 0 };
    const milliseconds whole = item.criticalPathLength();
    for (const auto &[number, occurrence] : item.occurrences()) {
        for (std::size_t step = 0; !occurrence.ended && step < steps.size(); ++step) {
            const int open = occurrence.open[step];
            const double cores = static_cast<double>(steps[step].taskResources.cpuMillis) / MILLIS_PER_CORE;
            rank.coreSecondsLeft += open * cores * static_cast<double>(steps[step].estimated.count()) / 1e3;
            if (open > 0) {
                left = std::max(left, item.criticalPathFrom(step));
            }
        }
    }
    const double objectiveMs = queue.deadlineFactor * static_cast<double>(whole.count()) + static_cast<double>(queue.targetLatency.count());
    const double ageMs = static_cast<double>(wall) - static_cast<double>(item.acceptedAt());
    rank.late = !item.isRecurring() && ageMs + static_cast<double>(left.count()) > objectiveMs;
    return rank;
}

namespace {

struct ranked_job
{
    job_rank rank;
    job *item = nullptr;
    const queue_config *queue = nullptr;
    job_load load;
};

// Marks jobs whose team has its share of the pool without them.
class share_marker
{
public:
    share_marker(const fleet_model &model, const std::vector<ranked_job> &jobs)
    {
        std::map<std::string, std::int64_t> capacity;
        for (const auto &[id, target] : model.workers().all()) {
            capacity[target.report.pool] += target.listed ? target.report.capacity.cpuMillis : 0;
        }
        std::map<std::string, std::map<std::string, std::int64_t>> demand;
        for (const ranked_job &job : jobs) {
            const std::string &team = job.item->request().team;
            demand[job.queue->pool][team] += job.load.usedMillis + job.load.waitingMillis;
            m_given[job.queue->pool][team] += job.load.usedMillis;
        }
        for (const auto &[pool, teams] : demand) {
            std::vector<team_demand> demands;
            for (const auto &[team, millis] : teams) {
                const auto config = model.config().teams.find(team);
                const double weight = config == model.config().teams.end() ? 1 : std::max(config->second.weight, LEAST_WEIGHT);
                demands.push_back({ team, weight, millis });
            }
            m_shares[pool] = fairShares(capacity[pool], demands);
        }
    }

    // To be called in the order in which the jobs are taken.
    bool isBeyond(const ranked_job &job)
    {
        const std::string &team = job.item->request().team;
        std::int64_t &given = m_given[job.queue->pool][team];
        const bool beyond = job.load.waitingMillis > 0 && static_cast<double>(given) >= m_shares[job.queue->pool][team];
        given += job.load.waitingMillis;
        return beyond;
    }

private:
    static constexpr double LEAST_WEIGHT = 0.001;

    std::map<std::string, std::map<std::string, double>> m_shares;
    std::map<std::string, std::map<std::string, std::int64_t>> m_given;
};

} // namespace

schedule_result run_scheduler::decide(fleet_model &model, const policy_ticket_cache &advice, instant now, wall_ms wall) const
{
    schedule_result result;
    std::vector<ranked_job> order;
    for (const std::string &id : model.activeJobs()) {
        job *item = model.find(id);
        const queue_config *queue = model.queueOf(*item);
        if (queue != nullptr) {
            order.push_back({ rankOf(*item, *queue, wall), item, queue, loadOf(*item) });
        }
    }
    const auto byRank = [](const ranked_job &left, const ranked_job &right) {
        return left.rank < right.rank;
    };
    std::sort(order.begin(), order.end(), byRank);
    share_marker shares(model, order);
    for (ranked_job &job : order) {
        job.rank.exceedsShare = shares.isBeyond(job);
    }
    std::sort(order.begin(), order.end(), byRank);
    pass scheduling(model, advice, now, result);
    for (const ranked_job &job : order) {
        scheduling.schedule(*job.item, *job.queue);
    }
    return result;
}

} // namespace jujubespool

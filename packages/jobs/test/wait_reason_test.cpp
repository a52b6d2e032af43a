#include <criterion/criterion.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <jujubespool/jobs/wait_reason.h>
#include <jujubespool/testing/table.h>
#include <random>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };
constexpr wall_ms WALL = 1800000000000;
constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
const std::string JOB = "00000000000000a1";
const std::string OTHER_JOB = "00000000000000a2";
const std::string TEAM = "team";
const task_key FIRST_TASK{ JOB, 0, 0, 0 };

step_spec stepOf(int count, const resources &need = { 1000, 1000, 0 })
{
    step_spec step;
    step.count = count;
    step.taskResources = need;
    step.estimated = milliseconds(800);
    return step;
}

step_spec gangOf(int count, const resources &need)
{
    step_spec step = stepOf(count, need);
    step.gang = true;
    return step;
}

// Two empty workers that accept tasks, and a queue whose tasks run on them.
struct small_fleet
{
    small_fleet()
    {
        config.queues.push_back({});
        config.queues[0].name = "q";
        config.queues[0].pool = "pool";
        config.pools["pool"] = { "pool", true, false, {} };
        configure();
        addWorker("w1");
        addWorker("w2");
    }

    void configure()
    {
        model.setConfig(std::make_shared<fleet_config>(config));
    }

    // Lets the policy service decide on the tasks of the queue.
    void answerTickets(const ticket_request &request, const ticket_response &response)
    {
        tickets.recordResponse(tickets.recordRequest(request, model.workers(), NOW), response, NOW);
    }

    void requireTickets()
    {
        config.queues[0].policy = policy_config{ milliseconds(10), milliseconds(1), seconds(10) };
        configure();
    }

    worker &addWorker(const std::string &id, const resources &capacity = WORKER_CAPACITY)
    {
        model.workers().update({ id, id + ":1", "pool", "a", worker_state::ready, capacity, { "kind", "rack-" + id }, 1, {} }, NOW);
        worker &added = workerNamed(id);
        added.polled = true;
        added.clockKnown = true;
        return added;
    }

    worker &workerNamed(const std::string &id)
    {
        return *model.workers().find(id);
    }

    void submit(const std::vector<step_spec> &steps, const std::string &id = JOB)
    {
        job_request request;
        request.id = id;
        request.queue = "q";
        request.team = TEAM;
        request.steps = steps;
        model.add(job::accept(request, WALL));
    }

    // Assigns the first task of the job and returns its run.
    placed_run &submitAndPlace()
    {
        submit({ stepOf(1) });
        model.place(FIRST_TASK, workerNamed("w1"), NOW);
        return workerNamed("w1").runs.at(FIRST_TASK);
    }

    void changeWorkers(const std::function<void(worker &)> &change)
    {
        for (auto &[id, target] : model.workers().all()) {
            change(target);
        }
    }

    std::optional<wait_reason> reason() const
    {
        return waitReasonOf(model, tickets, key, condition);
    }

    fleet_config config;
    fleet_model model{ manager_bounds() };
    policy_ticket_cache tickets;
    owner_condition condition{ NOW };
    // The task whose reason is asked for.
    task_key key = FIRST_TASK;
};

struct reason_row
{
    wait_reason expected;
    void (*arrange)(small_fleet &fleet);
};

const reason_row REASONS[] = {
    { wait_reason::queue_unknown,
      [](small_fleet &fleet) {
          job_request request;
          request.id = JOB;
          request.queue = "removed";
          request.steps = { stepOf(1) };
          fleet.model.add(job::accept(request, WALL));
      } },
    { wait_reason::dependency_not_done,
      [](small_fleet &fleet) {
          step_spec later = stepOf(1);
          later.dependencies = { 0 };
          fleet.submit({ stepOf(1), later });
          fleet.key.step = 1;
      } },
    { wait_reason::store_does_not_answer,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.condition.storeUnresponsiveFor = seconds(1);
          fleet.condition.ownershipConfirmed = false;
      } },
    { wait_reason::store_does_not_answer,
      [](small_fleet &fleet) {
          fleet.submitAndPlace();
          fleet.condition.storeUnresponsiveFor = seconds(1);
      } },
    { wait_reason::ownership_not_confirmed,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.condition.ownershipConfirmed = false;
      } },
    { wait_reason::gang_incomplete,
      [](small_fleet &fleet) {
          fleet.submit({ gangOf(2, { 1000, 1000, 0 }) });
          fleet.model.place({ JOB, 0, 0, 1 }, fleet.workerNamed("w1"), NOW);
      } },
    { wait_reason::no_worker_in_pool,
      [](small_fleet &fleet) {
          fleet.config.queues[0].pool = "empty";
          fleet.configure();
          fleet.submit({ stepOf(1) });
      } },
    { wait_reason::required_label,
      [](small_fleet &fleet) {
          step_spec step = stepOf(1);
          step.requiredLabel = "gpu-kind";
          fleet.submit({ step });
      } },
    { wait_reason::task_too_large,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1, { 1000, 1000, 1 }) });
      } },
    { wait_reason::workers_not_listed,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.model.workers().markUnlisted("w1");
          fleet.workerNamed("w2").report.state = worker_state::draining;
      } },
    { wait_reason::workers_not_polled,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.workerNamed("w1").polled = false;
          fleet.workerNamed("w2").clockKnown = false;
      } },
    { wait_reason::workers_evacuated,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.changeWorkers([](worker &target) { target.evacuated = true; });
      } },
    { wait_reason::workers_cordoned,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.changeWorkers([](worker &target) { target.cordoned = true; });
      } },
    { wait_reason::workers_silent,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.changeWorkers([](worker &target) { target.unansweredPolls = 1; });
      } },
    { wait_reason::workers_avoided,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.changeWorkers([](worker &target) { target.avoidUntil = NOW + seconds(1); });
      } },
    { wait_reason::workers_failing_runs,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.changeWorkers([](worker &target) {
              target.failedTasks = { { OTHER_JOB, 0, 0, 0 }, { JOB, 0, 0, 0 } };
              target.nextTrialAt = NOW + seconds(1);
          });
      } },
    // The cause of most workers is named.
    { wait_reason::workers_cordoned,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.addWorker("w3");
          fleet.changeWorkers([](worker &target) { target.cordoned = true; });
          fleet.workerNamed("w1").listed = false;
      } },
    // A worker on which the task would not fit is not counted.
    { wait_reason::workers_cordoned,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1, WORKER_CAPACITY) });
          fleet.addWorker("small", { 1000, 1000, 0 });
          fleet.workerNamed("w1").cordoned = true;
          fleet.workerNamed("w2").cordoned = true;
      } },
    { wait_reason::team_limit,
      [](small_fleet &fleet) {
          fleet.config.teams[TEAM] = { TEAM, 1, { 1500, 0, 0 } };
          fleet.configure();
          fleet.submit({ stepOf(2) });
          fleet.model.place({ JOB, 0, 0, 1 }, fleet.workerNamed("w1"), NOW);
      } },
    { wait_reason::team_limit,
      [](small_fleet &fleet) {
          fleet.config.teams[TEAM] = { TEAM, 1, { 1500, 0, 0 } };
          fleet.configure();
          fleet.submit({ gangOf(2, { 1000, 1000, 0 }) });
      } },
    { wait_reason::max_per_worker,
      [](small_fleet &fleet) {
          step_spec step = stepOf(3);
          step.maxPerWorker = 1;
          fleet.submit({ step });
          fleet.model.place({ JOB, 0, 0, 1 }, fleet.workerNamed("w1"), NOW);
          fleet.model.place({ JOB, 0, 0, 2 }, fleet.workerNamed("w2"), NOW);
      } },
    { wait_reason::no_free_capacity,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(2, WORKER_CAPACITY) }, OTHER_JOB);
          fleet.model.place({ OTHER_JOB, 0, 0, 0 }, fleet.workerNamed("w1"), NOW);
          fleet.model.place({ OTHER_JOB, 0, 0, 1 }, fleet.workerNamed("w2"), NOW);
          fleet.submit({ stepOf(1) });
      } },
    { wait_reason::ticket_not_requested,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1) });
      } },
    { wait_reason::ticket_pending,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1) });
          fleet.tickets.recordRequest({ FIRST_TASK.stepText(), { "w1", "w2" }, seconds(10) }, fleet.model.workers(), NOW);
      } },
    // A request for another step is pending, and the service needs time for it.
    { wait_reason::ticket_queued,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1) });
          ticket_request other{ task_key{ OTHER_JOB, 0, 0, 0 }.stepText(), { "w1", "w2" }, seconds(10) };
          other.cost = seconds(1);
          fleet.tickets.recordRequest(other, fleet.model.workers(), NOW);
      } },
    { wait_reason::ticket_late,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1) });
          fleet.tickets.recordRequest({ FIRST_TASK.stepText(), { "w1", "w2" }, seconds(10) }, fleet.model.workers(), NOW - seconds(2));
      } },
    // The service has refused the last request.
    { wait_reason::ticket_late,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1) });
          ticket_response refusal;
          refusal.outcome = ticket_outcome::refused;
          fleet.answerTickets({ FIRST_TASK.stepText(), { "w1", "w2" }, seconds(10) }, refusal);
      } },
    { wait_reason::ticket_denied,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1) });
          const ticket_request request{ FIRST_TASK.stepText(), { "w1", "w2" }, seconds(10) };
          ticket_response response;
          response.tickets.emplace();
          fleet.answerTickets(request, response);
      } },
    // A ticket for a worker without room does not help.
    { wait_reason::ticket_not_requested,
      [](small_fleet &fleet) {
          fleet.requireTickets();
          fleet.submit({ stepOf(1, WORKER_CAPACITY) }, OTHER_JOB);
          fleet.model.place({ OTHER_JOB, 0, 0, 0 }, fleet.workerNamed("w1"), NOW);
          fleet.submit({ stepOf(1) });
          const ticket_request request{ FIRST_TASK.stepText(), { "w1" }, seconds(10) };
          const ticket_response response{ std::map<std::string, std::string>{ { "w1", "ticket" } }, seconds(10), {} };
          fleet.answerTickets(request, response);
      } },
    { wait_reason::gang_does_not_fit,
      [](small_fleet &fleet) {
          fleet.submit({ gangOf(3, { 5000, 1000, 0 }) });
      } },
    { wait_reason::could_run,
      [](small_fleet &fleet) {
          fleet.submit({ gangOf(2, { 5000, 1000, 0 }) });
      } },
    { wait_reason::could_run,
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
      } },
    { wait_reason::start_not_answered,
      [](small_fleet &fleet) {
          fleet.submitAndPlace();
      } },
    { wait_reason::start_in_doubt,
      [](small_fleet &fleet) {
          fleet.submitAndPlace().inDoubt = true;
      } },
    { wait_reason::being_stopped,
      [](small_fleet &fleet) {
          placed_run &run = fleet.submitAndPlace();
          run.inDoubt = true;
          run.stopping = true;
      } },
    { wait_reason::worker_unresponsive,
      [](small_fleet &fleet) {
          fleet.submitAndPlace().confirmed = true;
          fleet.workerNamed("w1").unansweredPolls = 1;
      } },
    { wait_reason::worker_unresponsive,
      [](small_fleet &fleet) {
          fleet.submitAndPlace().confirmed = true;
          fleet.model.workers().markUnlisted("w1");
      } },
    { wait_reason::placement_missing,
      [](small_fleet &fleet) {
          fleet.submitAndPlace();
          fleet.workerNamed("w1").remove(FIRST_TASK);
      } },
};

struct running_row
{
    const char *name;
    void (*arrange)(small_fleet &fleet);
};

const running_row NOT_WAITING[] = {
    { "unknown job",
      [](small_fleet &) {
      } },
    { "no such task",
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(0) });
      } },
    { "confirmed run",
      [](small_fleet &fleet) {
          fleet.submitAndPlace().confirmed = true;
      } },
    { "done",
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(2) });
          fleet.model.find(JOB)->markDone(FIRST_TASK);
      } },
    { "cancelled job",
      [](small_fleet &fleet) {
          fleet.submit({ stepOf(1) });
          fleet.model.endJob(*fleet.model.find(JOB), job_state::cancelled, WALL);
      } },
};

int pick(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

step_spec randomStep(std::mt19937_64 &random)
{
    step_spec step = stepOf(pick(random, 1, 4), { pick(random, 1, 9) * 500, pick(random, 1, 9) * 1000, pick(random, 0, 19) == 0 ? 1 : 0 });
    step.gang = pick(random, 0, 2) == 0;
    step.sameRack = step.gang && pick(random, 0, 1) == 0;
    step.bestEffort = pick(random, 0, 4) == 0;
    step.maxPerWorker = pick(random, 0, 2);
    step.requiredLabel = pick(random, 0, 4) == 0 ? "rack-w" + std::to_string(pick(random, 1, 5)) : "";
    return step;
}

void changeAtRandom(worker &target, std::mt19937_64 &random)
{
    target.listed = pick(random, 0, 9) > 0;
    target.cordoned = pick(random, 0, 9) == 0;
    target.avoidUntil = pick(random, 0, 9) == 0 ? NOW + seconds(1) : instant();
    placed_run other;
    other.need = { pick(random, 0, 6) * 1000, pick(random, 0, 6) * 2000, 0 };
    target.place({ OTHER_JOB, 0, 0, static_cast<int>(target.runs.size()) }, other);
}

void grantAtRandom(small_fleet &fleet, std::mt19937_64 &random)
{
    fleet.requireTickets();
    ticket_request request{ FIRST_TASK.stepText(), {}, seconds(10) };
    ticket_response response{ std::map<std::string, std::string>(), seconds(10), {} };
    for (const auto &[id, target] : fleet.model.workers().all()) {
        const int answer = pick(random, 0, 2);
        if (answer > 0) {
            request.workers.push_back(id);
        }
        if (answer == 2) {
            response.tickets->emplace(id, "ticket");
        }
    }
    fleet.answerTickets(request, response);
}

} // namespace

ParameterizedTestParameters(wait_reason, namesWhatKeepsTheTaskFromRunning)
{
    return rowsOf(REASONS);
}

ParameterizedTest(std::size_t *row, wait_reason, namesWhatKeepsTheTaskFromRunning)
{
    small_fleet fleet;
    REASONS[*row].arrange(fleet);
    const std::optional<wait_reason> reason = fleet.reason();
    cr_assert(reason.has_value(), "row %zu", *row);
    cr_assert_eq(*reason, REASONS[*row].expected, "row %zu: %s", *row, std::string(nameOf(*reason)).c_str());
}

ParameterizedTestParameters(wait_reason, isEmptyForATaskThatRunsOrHasEnded)
{
    return rowsOf(NOT_WAITING);
}

ParameterizedTest(std::size_t *row, wait_reason, isEmptyForATaskThatRunsOrHasEnded)
{
    small_fleet fleet;
    NOT_WAITING[*row].arrange(fleet);
    const std::optional<wait_reason> reason = fleet.reason();
    cr_assert_not(reason.has_value(), "%s", NOT_WAITING[*row].name);
}

Test(wait_reason, tableHasARowForEachReason)
{
    std::set<wait_reason> covered;
    for (const reason_row &row : REASONS) {
        covered.insert(row.expected);
    }
    cr_assert_eq(covered.size(), enum_names<wait_reason>::NAMES.size());
}

// The reason has to follow the scheduler's decision: a task that could run is placed by the next pass, and no other one is.
Test(wait_reason, saysThatATaskCouldRunExactlyIfTheSchedulerPlacesIt)
{
    constexpr int FLEETS = 3000;
    std::mt19937_64 random(20261204);
    int placedFleets = 0;
    for (int number = 0; number < FLEETS; ++number) {
        small_fleet fleet;
        fleet.addWorker("w3");
        fleet.addWorker("w4", { 4000, 8000, 1 });
        fleet.changeWorkers([&random](worker &target) { changeAtRandom(target, random); });
        if (pick(random, 0, 2) == 0) {
            grantAtRandom(fleet, random);
        }
        if (pick(random, 0, 2) == 0) {
            fleet.config.teams[TEAM] = { TEAM, 1, { pick(random, 1, 12) * 1000, 0, 0 } };
            fleet.configure();
        }
        fleet.submit({ randomStep(random) });
        const std::optional<wait_reason> reason = fleet.reason();
        const schedule_result result = run_scheduler().decide(fleet.model, fleet.tickets, NOW, WALL);
        cr_assert(reason.has_value());
        cr_assert_eq(*reason == wait_reason::could_run, !result.placements.empty(), "fleet %d: %s, %zu placed", number,
                     std::string(nameOf(*reason)).c_str(), result.placements.size());
        placedFleets += result.placements.empty() ? 0 : 1;
    }
    cr_assert_geq(placedFleets, FLEETS / 5, "%d", placedFleets);
    cr_assert_leq(placedFleets, FLEETS * 4 / 5, "%d", placedFleets);
}

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <set>

namespace {

using namespace jujubespool;

constexpr wall_ms WALL = 1800000000000;
constexpr milliseconds VALIDITY{ 5000 };
constexpr resources CAPACITY{ 2000, 4000, 0 };
constexpr resources TASK{ 1000, 1000, 0 };
const std::string RACK_OF_HALF = "r1";

// A pool with a placement policy, and a policy service that answers each
// request before the next pass.
class policy_fixture
{
public:
    explicit policy_fixture(int workers)
    {
        config.queues.push_back({});
        config.queues[0].name = "q";
        config.queues[0].pool = "pool";
        config.queues[0].policy = policy_config{ milliseconds(20), milliseconds(1), VALIDITY };
        config.pools["pool"] = { "pool", true, false, {} };
        model.setConfig(std::make_shared<fleet_config>(config));
        for (int i = 0; i < workers; ++i) {
            report(i, 1);
        }
    }

    static std::string idOf(int number)
    {
        return fmt::format("w{:03}", number);
    }

    void report(int number, std::uint64_t startTimeMs)
    {
        const std::string id = idOf(number);
        model.workers().update({ id,
                                 id + ":1",
                                 "pool",
                                 "a",
                                 worker_state::ready,
                                 CAPACITY,
                                 { "kind", number % 2 == 0 ? RACK_OF_HALF : "r2" },
                                 startTimeMs,
                                 {} },
                               now);
        model.workers().find(id)->polled = true;
        model.workers().find(id)->clockKnown = true;
    }

    // Lets a run of another job use the whole worker.
    void fill(int number)
    {
        placed_run run;
        run.need = CAPACITY;
        model.workers().find(idOf(number))->place({ "other", 0, 0, number }, run);
    }

    job &submit(const step_spec &step)
    {
        job_request request;
        request.id = fmt::format("{:016x}", ++jobs);
        request.queue = "q";
        request.team = "team";
        request.steps.push_back(step);
        return model.add(job::accept(request, WALL));
    }

    std::vector<ticket_request> pass()
    {
        tickets.releaseLostRequests(now);
        const schedule_result result = scheduler.decide(model, tickets, now, WALL);
        for (const placement &placed : result.placements) {
            placements.push_back(placed);
        }
        for (const ticket_request &request : result.ticketRequests) {
            numbers[request.step] = tickets.recordRequest(request, model.workers(), now);
            ++requests;
            for (const std::string &id : request.workers) {
                ++timesAsked[id];
            }
        }
        return result.ticketRequests;
    }

    void answer(const ticket_request &request)
    {
        ticket_response response;
        response.tickets.emplace();
        response.validity = VALIDITY;
        for (const std::string &id : request.workers) {
            if (allowed.empty() || allowed.count(id) > 0) {
                response.tickets->emplace(id, "ticket of " + id);
            }
        }
        respond(request, response);
    }

    void respond(const ticket_request &request, const ticket_response &response)
    {
        tickets.recordResponse(numbers.at(request.step), response, now);
    }

    // Passes and answers, as many as any of the tests should need and some more.
    void settle()
    {
        constexpr int PASSES = 12;
        for (int i = 0; i < PASSES; ++i) {
            for (const ticket_request &request : pass()) {
                answer(request);
            }
            now += milliseconds(10);
        }
    }

    fleet_config config;
    fleet_model model{ manager_bounds() };
    run_scheduler scheduler;
    policy_ticket_cache tickets;
    instant now{ seconds(100) };
    int jobs = 0;
    int requests = 0;
    // By step: the number of its last request.
    std::map<std::string, std::uint64_t> numbers;
    // The workers to which the policy gives tickets; all if empty.
    std::set<std::string> allowed;
    std::map<std::string, int> timesAsked;
    std::vector<placement> placements;
};

step_spec stepOf(int tasks)
{
    step_spec step;
    step.count = tasks;
    step.taskResources = TASK;
    step.estimated = milliseconds(500);
    return step;
}

} // namespace

Test(policy_tickets, denialEndsWithTheIncarnationOfTheWorker)
{
    policy_fixture fixture(1);
    fixture.allowed = { "none" };
    fixture.submit(stepOf(1));
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 0U);
    fixture.report(0, 2);
    fixture.allowed.clear();
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 1U, "%zu tasks placed on the new incarnation", fixture.placements.size());
}

Test(policy_tickets, answerHoldsForTheIncarnationThatWasListedWhenItWasRequested)
{
    policy_fixture fixture(1);
    fixture.submit(stepOf(1));
    const std::vector<ticket_request> sent = fixture.pass();
    cr_assert_eq(sent.size(), 1U);
    fixture.report(0, 2);
    fixture.answer(sent[0]);
    fixture.pass();
    cr_assert_eq(fixture.placements.size(), 0U, "placed with the ticket of the former incarnation");
    fixture.respond(sent[0], {});
    fixture.now += seconds(2);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 1U);
}

Test(policy_tickets, workersThatWereDeniedAreNotAskedAgain)
{
    policy_fixture fixture(70);
    fixture.allowed = { "none" };
    fixture.submit(stepOf(3));
    fixture.settle();
    cr_assert_eq(fixture.timesAsked.size(), 70U, "%zu", fixture.timesAsked.size());
    for (const auto &[id, times] : fixture.timesAsked) {
        cr_assert_eq(times, 1, "%s: %d", id.c_str(), times);
    }
}

Test(policy_tickets, serviceWithoutAnAnswerIsAskedLessAndLessOften)
{
    policy_fixture fixture(3);
    fixture.submit(stepOf(1));
    constexpr int PASSES = 1000;
    for (int i = 0; i < PASSES; ++i) {
        for (const ticket_request &request : fixture.pass()) {
            fixture.respond(request, {});
        }
        fixture.now += milliseconds(10);
    }
    cr_assert_leq(fixture.requests, 12, "%d requests in 10 s", fixture.requests);
    cr_assert_geq(fixture.requests, 6, "%d requests in 10 s", fixture.requests);
    fixture.now += seconds(2);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 1U);
}

Test(policy_tickets, ticketWithoutAValidityOfItsOwnHasThatOfTheQueue)
{
    policy_fixture fixture(1);
    fixture.submit(stepOf(1));
    const std::vector<ticket_request> sent = fixture.pass();
    ticket_response response;
    response.tickets.emplace()["w000"] = "ticket";
    fixture.respond(sent.at(0), response);
    fixture.now += VALIDITY - milliseconds(300);
    cr_assert_not_null(fixture.tickets.ticketFor(sent[0].step, *fixture.model.workers().find("w000"), fixture.now));
    fixture.now += milliseconds(300);
    cr_assert_null(fixture.tickets.ticketFor(sent[0].step, *fixture.model.workers().find("w000"), fixture.now));
}

Test(policy_tickets, answersAreDroppedWithTheirStepAndWithTheIncarnationOfTheirWorker)
{
    policy_fixture fixture(2);
    fixture.allowed = { "w000" };
    fixture.submit(stepOf(1));
    fixture.submit(stepOf(1));
    fixture.settle();
    cr_assert_eq(fixture.tickets.stepCount(), 2U);
    const std::string kept = fmt::format("{:016x}.0.0", 2);
    fixture.tickets.prune([&](const std::string &step) { return step == kept; }, fixture.model.workers());
    cr_assert_eq(fixture.tickets.stepCount(), 1U);
    cr_assert_not_null(fixture.tickets.ticketFor(kept, *fixture.model.workers().find("w000"), fixture.now));
    const worker former = *fixture.model.workers().find("w000");
    fixture.report(0, 2);
    fixture.tickets.prune([](const std::string &) { return true; }, fixture.model.workers());
    cr_assert_null(fixture.tickets.ticketFor(kept, former, fixture.now));
}

Test(policy_tickets, workersWithCapacityAreAskedWhenTheFirstOnesAreFull)
{
    policy_fixture fixture(42);
    for (int i = 0; i < 30; ++i) {
        fixture.fill(i);
    }
    fixture.submit(stepOf(4));
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 4U, "%zu of 4 tasks placed", fixture.placements.size());
    cr_assert_eq(fixture.requests, 1, "%d requests", fixture.requests);
}

Test(policy_tickets, furtherWorkersAreAskedWhenTheWorkerWithATicketIsFull)
{
    policy_fixture fixture(40);
    fixture.allowed = { "w003", "w035" };
    fixture.submit(stepOf(4));
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 4U, "%zu of 4 tasks placed", fixture.placements.size());
}

Test(policy_tickets, furtherWorkersAreAskedWhenTheWorkerWithATicketHasItsMaximumOfTasks)
{
    policy_fixture fixture(40);
    fixture.allowed = { "w003", "w035" };
    step_spec step = stepOf(2);
    step.maxPerWorker = 1;
    fixture.submit(step);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 2U, "%zu of 2 tasks placed", fixture.placements.size());
}

Test(policy_tickets, gangGetsTicketsForAllItsWorkers)
{
    policy_fixture fixture(70);
    step_spec step = stepOf(65);
    step.gang = true;
    step.maxPerWorker = 1;
    fixture.submit(step);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 65U, "%zu of 65 tasks placed", fixture.placements.size());
    cr_assert_eq(fixture.requests, 1, "%d requests", fixture.requests);
}

Test(policy_tickets, gangOnOneRackGetsTicketsForTheRackWithTheMostCapacity)
{
    policy_fixture fixture(60);
    fixture.fill(1);
    step_spec step = stepOf(40);
    step.gang = true;
    step.sameRack = true;
    fixture.submit(step);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 40U, "%zu of 40 tasks placed", fixture.placements.size());
    for (const placement &placed : fixture.placements) {
        cr_assert_str_eq(fixture.model.workers().find(placed.worker)->rack().c_str(), RACK_OF_HALF.c_str());
    }
}

Test(policy_tickets, gangThatCannotBePlacedRequestsNoTickets)
{
    policy_fixture fixture(10);
    fixture.fill(0);
    fixture.allowed = { "w000" };
    step_spec step = stepOf(20);
    step.gang = true;
    fixture.submit(step);
    fixture.settle();
    fixture.now += VALIDITY;
    fixture.settle();
    // Only the request for later, which the policy service had time for.
    cr_assert_leq(fixture.requests, 2, "%d requests", fixture.requests);
}

Test(policy_tickets, teamAtItsMaximumRequestsNoTickets)
{
    policy_fixture fixture(10);
    fixture.config.teams["team"] = { "team", 1, { 500, 0, 0 } };
    fixture.model.setConfig(std::make_shared<fleet_config>(fixture.config));
    fixture.submit(stepOf(2));
    fixture.settle();
    cr_assert_eq(fixture.requests, 0, "%d requests", fixture.requests);
}

Test(policy_tickets, fullWorkersAreAskedOnlyWhenNoStepCanStart)
{
    policy_fixture fixture(40);
    for (int i = 0; i < 40; ++i) {
        fixture.fill(i);
    }
    fixture.submit(stepOf(1));
    fixture.submit(stepOf(1));
    const std::vector<ticket_request> sent = fixture.pass();
    cr_assert_eq(sent.size(), 1U, "%zu", sent.size());
    fixture.model.workers().find("w039")->remove({ "other", 0, 0, 39 });
    const std::vector<ticket_request> next = fixture.pass();
    cr_assert_eq(next.size(), 1U, "%zu", next.size());
    cr_assert(next[0].workers == std::vector<std::string>{ "w039" });
}

Test(policy_tickets, ticketsThatRanOutAreRequestedAgain)
{
    policy_fixture fixture(1);
    fixture.fill(0);
    fixture.submit(stepOf(1));
    fixture.settle();
    fixture.now += VALIDITY;
    fixture.model.workers().find("w000")->remove({ "other", 0, 0, 0 });
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 1U);
}

Test(policy_tickets, answerThatComesAfterItsRequestCountsAsLostIsUsed)
{
    policy_fixture fixture(1);
    fixture.config.queues[0].policy = policy_config{ milliseconds(100), milliseconds(0), VALIDITY };
    fixture.model.setConfig(std::make_shared<fleet_config>(fixture.config));
    fixture.submit(stepOf(1));
    fixture.submit(stepOf(1));
    const std::vector<ticket_request> sent = fixture.pass();
    cr_assert_eq(sent.size(), 2U, "%zu requests", sent.size());
    const ticket_request &first = sent[0];
    fixture.now += milliseconds(200);
    fixture.answer(sent[1]);
    fixture.now += seconds(1);
    fixture.tickets.releaseLostRequests(fixture.now);
    cr_assert_not(fixture.tickets.isRequestPending(first.step), "the first request has been overtaken");
    fixture.answer(first);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 2U, "%zu of 2 tasks placed", fixture.placements.size());
    cr_assert_eq(fixture.requests, 2, "%d requests", fixture.requests);
}

Test(policy_tickets, refusalPausesTheRequestsOfAllSteps)
{
    policy_fixture fixture(2);
    constexpr int STEPS = 50;
    for (int i = 0; i < STEPS; ++i) {
        fixture.submit(stepOf(1));
    }
    ticket_response refusal;
    refusal.outcome = ticket_outcome::refused;
    constexpr int PASSES = 1000;
    for (int i = 0; i < PASSES; ++i) {
        for (const ticket_request &request : fixture.pass()) {
            fixture.respond(request, refusal);
        }
        fixture.now += milliseconds(10);
    }
    // The first pass sends what the service could handle within the time ahead, 5 requests. Then there are 4 within 1.5 s and 6 later.
    cr_assert_leq(fixture.requests, 15, "%d requests in 10 s", fixture.requests);
    fixture.now += seconds(2);
    fixture.settle();
    cr_assert_geq(fixture.placements.size(), 2U);
}

Test(policy_tickets, workersThatWerePermittedAreTheFirstToBeAskedAgain)
{
    policy_fixture fixture(40);
    fixture.allowed = { "w020", "w021" };
    fixture.config.queues[0].policy = policy_config{ milliseconds(100), milliseconds(10), VALIDITY };
    fixture.model.setConfig(std::make_shared<fleet_config>(fixture.config));
    fixture.submit(stepOf(1));
    // The task starts on a permitted worker and has to start once more after the ticket has run out.
    std::vector<std::string> asked;
    while (fixture.placements.empty()) {
        for (const ticket_request &request : fixture.pass()) {
            asked = request.workers;
            fixture.answer(request);
        }
        fixture.now += seconds(1);
    }
    cr_assert(std::find(asked.begin(), asked.end(), "w020") != asked.end());
    const task_key placed = fixture.placements[0].task;
    fixture.model.release(placed);
    fixture.now += VALIDITY;
    const std::vector<ticket_request> again = fixture.pass();
    cr_assert_eq(again.size(), 1U, "%zu", again.size());
    cr_assert_eq(fixture.allowed.count(again[0].workers[0]), 1U, "%s is asked first", again[0].workers[0].c_str());
    cr_assert_leq(again[0].workers.size(), 2U, "%zu workers are asked", again[0].workers.size());
}

// Guards against a step that asks for a few workers at a time again and again, as the policy permits nearly all to the other steps.
Test(policy_tickets, stepThatIsDeniedAsksForMoreWorkersEachTime)
{
    policy_fixture fixture(60);
    fixture.config.queues[0].policy = policy_config{ milliseconds(20), milliseconds(5), VALIDITY };
    fixture.model.setConfig(std::make_shared<fleet_config>(fixture.config));
    constexpr int PERMITTED_STEPS = 20;
    for (int i = 0; i < PERMITTED_STEPS; ++i) {
        fixture.submit(stepOf(1));
    }
    fixture.settle();
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), static_cast<std::size_t>(PERMITTED_STEPS));
    fixture.requests = 0;
    fixture.allowed = { "w058" };
    fixture.submit(stepOf(1));
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), PERMITTED_STEPS + 1U, "%zu", fixture.placements.size());
    cr_assert_leq(fixture.requests, 5, "%d requests", fixture.requests);
}

// Guards against a gang that is spread over racks, and slow, because only a few workers of each rack were asked.
Test(policy_tickets, gangOnOneRackAsksTheWholeRackFirst)
{
    policy_fixture fixture(80);
    fixture.config.queues[0].policy = policy_config{ milliseconds(20), milliseconds(5), VALIDITY };
    fixture.model.setConfig(std::make_shared<fleet_config>(fixture.config));
    // One rack has room for the gang, on its 1st, 2nd and 16th worker.
    fixture.allowed = { "w000", "w002", "w030", "w001" };
    step_spec step = stepOf(3);
    step.gang = true;
    step.sameRack = true;
    step.maxPerWorker = 1;
    fixture.submit(step);
    fixture.settle();
    cr_assert_eq(fixture.placements.size(), 3U, "%zu of 3 tasks placed", fixture.placements.size());
    for (const placement &placed : fixture.placements) {
        cr_assert_str_eq(fixture.model.workers().find(placed.worker)->rack().c_str(), RACK_OF_HALF.c_str(), "%s", placed.worker.c_str());
    }
}

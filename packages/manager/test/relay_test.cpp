#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/order_relay.h>
#include <jujubespool/manager/relay_executor.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr std::uint64_t OWNER = 1;
constexpr std::uint64_t HELPER = 2;
constexpr std::uint64_t EPOCH = 7;
const std::string JOB = "00000000000000a1";
const worker_address WORKER{ { "w1", 5 }, "10.0.0.1:80", "a" };

// Keeps the orders that it receives until the test answers them.
class recording_workers : public worker_gateway
{
public:
    void start(const start_order &order, order_callback done) override
    {
        starts.emplace_back(order, std::move(done));
    }
    void stop(const stop_order &order, order_callback done) override
    {
        stops.emplace_back(order, std::move(done));
    }
    void setSpeedLimit(const speed_limit_order &, order_callback) override
    {
        ++speedLimits;
    }
    void poll(const poll_order &order, std::function<void(const poll_result &, instant now)> done) override
    {
        polls.emplace_back(order, std::move(done));
    }

    std::vector<std::pair<start_order, order_callback>> starts;
    std::vector<std::pair<stop_order, order_callback>> stops;
    std::vector<std::pair<poll_order, std::function<void(const poll_result &, instant now)>>> polls;
    int speedLimits = 0;
};

// An owner and one helper. The clock and the timers are those of a platform without workers.
struct relay_fixture
{
    relay_fixture()
    {
        relay.begin(EPOCH);
        relay.setHelpers({ { HELPER, "a" } });
        advance(milliseconds(100));
    }

    // Advances the time in steps of one tick.
    void advance(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(25)) {
            clock.advance(milliseconds(25));
            relay.tick(clock.now());
            if (!helperPaused) {
                executor.tick(clock.now());
                deliver();
            }
        }
    }

    void deliver()
    {
        for (const wire::peer_message &message : std::exchange(toHelper, {})) {
            executor.onOrders(OWNER, message.orders(), clock.now());
        }
    }

    void sendStart(int run = 1)
    {
        start_order order;
        order.worker = WORKER;
        order.task = { JOB, 0, 0, 0 };
        order.run = run;
        order.spec = "s";
        order.untilMs = 9000;
        order.fencingToken = EPOCH;
        relay.start(order, [this](const order_result &result, instant) { outcomes.push_back(result.status); });
    }

    fake_platform clock;
    counting_log log;
    recording_workers direct;
    recording_workers helperWorkers;
    bool ownershipConfirmed = true;
    bool helperReachable = true;
    bool helperPaused = false;
    bool resultsLost = false;
    std::vector<wire::peer_message> toHelper;
    std::vector<order_status> outcomes;
    relay_executor executor{ helperWorkers, clock, log, [this](std::uint64_t, const wire::peer_message &message, instant now) {
                                if (!resultsLost) {
                                    relay.onResults(message.results(), now);
                                }
                            } };
    order_relay relay{ direct, clock, log,
                       [this](std::uint64_t, wire::peer_message message, instant) {
                           if (helperReachable) {
                               toHelper.push_back(std::move(message));
                           }
                           return helperReachable;
                       },
                       [this](instant) {
                           return ownershipConfirmed;
                       } };
};

} // namespace

Test(order_relay, sendsOrdersThroughTheHelperAndReportsTheResult)
{
    relay_fixture fixture;
    fixture.sendStart();
    fixture.advance(milliseconds(50));
    cr_assert(fixture.direct.starts.empty());
    cr_assert_eq(fixture.helperWorkers.starts.size(), 1U);
    const start_order &order = fixture.helperWorkers.starts[0].first;
    cr_assert(order.task == (task_key{ JOB, 0, 0, 0 }));
    cr_assert_eq(order.run, 1);
    cr_assert_eq(order.untilMs, 9000);
    cr_assert_eq(order.fencingToken, EPOCH);
    cr_assert(order.worker.incarnation.id == WORKER.incarnation.id && order.worker.address == WORKER.address);
    fixture.helperWorkers.starts[0].second({ order_status::no_room, 123, {} }, fixture.clock.now());
    fixture.advance(milliseconds(50));
    cr_assert_eq(fixture.outcomes.size(), 1U);
    cr_assert(fixture.outcomes[0] == order_status::no_room);
}

// The owner learns of a restart from the answer to a start, also if a helper sent it.
Test(order_relay, returnsWhichIncarnationAnsweredAStart)
{
    order_result answer;
    answer.status = order_status::other_incarnation;
    answer.startTimeMs = 1800000000001;
    const std::optional<order_result> returned = orderResultOf(toMessage(7, answer));
    cr_assert(returned);
    cr_assert_eq(returned->status, order_status::other_incarnation);
    cr_assert_eq(returned->startTimeMs, answer.startTimeMs);
}

Test(order_relay, returnsRunsAndEndsOfPolls)
{
    relay_fixture fixture;
    poll_order order;
    order.worker = WORKER;
    order.acknowledgedEnds = 4;
    order.untilMs = 8000;
    order.wait = milliseconds(800);
    poll_result received;
    fixture.relay.poll(order, [&](const poll_result &result, instant) { received = result; });
    fixture.advance(milliseconds(50));
    const poll_order &sent = fixture.helperWorkers.polls.at(0).first;
    cr_assert_eq(sent.acknowledgedEnds, 4U);
    cr_assert_eq(sent.untilMs.value(), 8000);
    cr_assert(sent.wait == milliseconds(800) && sent.responseAllowance == order.responseAllowance);
    poll_result result;
    result.status = order_status::accepted;
    result.clockMs = 77;
    result.startTimeMs = 5;
    result.running.push_back({ { JOB, 0, 1, 2 }, 3, "saved", 100, 41 });
    result.finished.push_back({ 9, { JOB, 0, 1, 3 }, 1, run_outcome::done, "end" });
    fixture.helperWorkers.polls[0].second(result, fixture.clock.now());
    fixture.advance(milliseconds(50));
    cr_assert(received.status == order_status::accepted);
    cr_assert(received.clockMs == 77 && received.startTimeMs == 5);
    cr_assert(received.running.size() == 1 && received.running[0].task == (task_key{ JOB, 0, 1, 2 }));
    cr_assert(received.running[0].checkpoint == "saved" && received.running[0].reportedMetric == 41);
    cr_assert(received.finished.size() == 1 && received.finished[0].number == 9 && received.finished[0].checkpoint == "end");
}

// How a helper can fail, and whether it may have carried out the order.
struct helper_fault_row
{
    const char *name;
    void (*inject)(relay_fixture &fixture);
    bool mayHaveRun;
};

const helper_fault_row HELPER_FAULTS[] = {
    { "no connection", [](relay_fixture &fixture) { fixture.helperReachable = false; }, false },
    { "paused", [](relay_fixture &fixture) { fixture.helperPaused = true; }, true },
    { "results lost", [](relay_fixture &fixture) { fixture.resultsLost = true; }, true },
    { "knows a later owner", [](relay_fixture &fixture) { fixture.executor.recordEpoch(EPOCH + 1); }, false },
};

ParameterizedTestParameters(order_relay, reportsAStartAsRefusedOnlyIfNoHelperCanHaveCarriedItOut)
{
    return rowsOf(HELPER_FAULTS);
}

// The owner's own attempt may be refused because a cut has reached it meanwhile, while the helper's attempt runs behind the cut.
ParameterizedTest(std::size_t *row, order_relay, reportsAStartAsRefusedOnlyIfNoHelperCanHaveCarriedItOut)
{
    const helper_fault_row &testCase = HELPER_FAULTS[*row];
    relay_fixture fixture;
    testCase.inject(fixture);
    fixture.sendStart();
    fixture.advance(milliseconds(3000));
    for (auto &[order, done] : fixture.direct.starts) {
        cr_assert_not(order.repeated, "%s", testCase.name);
        done({ order_status::refused, {}, {} }, fixture.clock.now());
    }
    cr_assert_eq(fixture.outcomes.size(), 1U, "%s", testCase.name);
    cr_assert(fixture.outcomes[0] == (testCase.mayHaveRun ? order_status::unknown : order_status::refused), "%s", testCase.name);
}

// A poll may take long, so that its own deadline would show much later that the helper is lost.
Test(order_relay, endsTheWaitForAllOrdersOfAHelperOnceOneIsOverdue)
{
    relay_fixture fixture;
    fixture.helperPaused = true;
    poll_order poll;
    poll.worker = WORKER;
    poll.wait = milliseconds(2000);
    int answers = 0;
    fixture.relay.poll(poll, [&](const poll_result &, instant) { ++answers; });
    fixture.sendStart();
    fixture.advance(milliseconds(800));
    cr_assert(fixture.outcomes == std::vector<order_status>{ order_status::unknown });
    cr_assert_eq(fixture.direct.polls.size(), 1U);
    fixture.direct.polls[0].second({}, fixture.clock.now());
    fixture.advance(milliseconds(3000));
    cr_assert_eq(fixture.direct.polls.size(), 1U);
    cr_assert_eq(answers, 1);
}

Test(order_relay, reportsAnOrderOnceThatWaitsForItsBatchWhenTheHelperIsFoundLost)
{
    relay_fixture fixture;
    fixture.helperPaused = true;
    fixture.sendStart(1);
    fixture.advance(milliseconds(25));
    fixture.sendStart(2);
    fixture.helperReachable = false;
    fixture.relay.tick(fixture.clock.now() + seconds(1));
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.outcomes.size(), 2U);
    cr_assert(fixture.direct.starts.empty());
    cr_assert_eq(fixture.toHelper.size(), 1U);
}

// An owner that was paused finds its own orders overdue when it resumes, and another owner may have taken over meanwhile.
Test(order_relay, sendsNoOverdueStartOrPollAfterItsOwnPause)
{
    relay_fixture fixture;
    fixture.helperPaused = true;
    fixture.sendStart();
    int withheldPolls = 0;
    poll_order poll;
    poll.worker = WORKER;
    fixture.relay.poll(poll, [&](const poll_result &result, instant) { withheldPolls += result.status == order_status::withheld ? 1 : 0; });
    int stops = 0;
    fixture.relay.stop({ WORKER, { JOB, 0, 0, 1 }, 1, EPOCH }, [&](const order_result &, instant) { ++stops; });
    fixture.advance(milliseconds(25));
    fixture.ownershipConfirmed = false;
    fixture.relay.tick(fixture.clock.now() + seconds(5));
    cr_assert(fixture.direct.starts.empty() && fixture.direct.polls.empty());
    cr_assert_eq(fixture.direct.stops.size(), 1U);
    cr_assert(fixture.outcomes == std::vector<order_status>{ order_status::unknown });
    cr_assert_eq(withheldPolls, 1);
}

Test(order_relay, sendsNoBatchAfterItsOwnPause)
{
    relay_fixture fixture;
    fixture.sendStart();
    fixture.ownershipConfirmed = false;
    fixture.advance(milliseconds(50));
    cr_assert(fixture.helperWorkers.starts.empty() && fixture.direct.starts.empty());
    cr_assert(fixture.outcomes == std::vector<order_status>{ order_status::withheld });
}

Test(order_relay, avoidsAHelperThatReturnedNoResult)
{
    relay_fixture fixture;
    fixture.resultsLost = true;
    fixture.sendStart(1);
    fixture.advance(milliseconds(800));
    fixture.relay.setHelpers({ { HELPER, "a" } });
    fixture.sendStart(2);
    cr_assert_eq(fixture.direct.starts.size(), 1U);
    fixture.advance(milliseconds(2100));
    fixture.relay.setHelpers({ { HELPER, "a" } });
    fixture.sendStart(3);
    cr_assert_eq(fixture.direct.starts.size(), 1U);
}

Test(order_relay, ignoresAResultThatArrivesAfterTheWaitHasEnded)
{
    relay_fixture fixture;
    fixture.sendStart();
    fixture.advance(milliseconds(800));
    cr_assert_eq(fixture.outcomes.size(), 1U);
    fixture.helperWorkers.starts.at(0).second({ order_status::refused, {}, {} }, fixture.clock.now());
    fixture.advance(milliseconds(50));
    cr_assert_eq(fixture.outcomes.size(), 1U);
}

Test(order_relay, sendsRepeatedStartsDirectly)
{
    relay_fixture fixture;
    start_order order;
    order.worker = WORKER;
    order.repeated = true;
    fixture.relay.start(order, [](const order_result &, instant) {});
    cr_assert_eq(fixture.direct.starts.size(), 1U);
}

// The owner has given the order up by the time that the helper resumes, so the helper must not carry it out.
Test(relay_executor, declinesOrdersThatItFindsAfterAPause)
{
    relay_fixture fixture;
    fixture.helperPaused = true;
    fixture.sendStart();
    fixture.advance(milliseconds(2000));
    fixture.helperPaused = false;
    fixture.advance(milliseconds(500));
    cr_assert(fixture.helperWorkers.starts.empty());
    cr_assert_eq(fixture.log.events["orders-declined"], 1);
}

Test(relay_executor, declinesOrdersThatItFindsBeforeItsFirstTickAfterAPause)
{
    relay_fixture fixture;
    fixture.helperPaused = true;
    fixture.sendStart();
    fixture.advance(milliseconds(2000));
    fixture.deliver();
    cr_assert(fixture.helperWorkers.starts.empty());
}

Test(relay_executor, declinesMalformedOrders)
{
    relay_fixture fixture;
    wire::relayed_orders orders;
    orders.set_epoch(EPOCH);
    orders.add_orders()->mutable_start()->set_task("no task");
    orders.add_orders()->mutable_stop()->set_task("");
    orders.add_orders()->set_number(3);
    fixture.executor.onOrders(OWNER, orders, fixture.clock.now());
    cr_assert_eq(fixture.log.events["order-unreadable"], 3);
}

Test(order_relay, treatsAMalformedResultAsUnknown)
{
    relay_fixture fixture;
    fixture.sendStart();
    fixture.advance(milliseconds(25));
    wire::relayed_results results;
    wire::relayed_result &result = *results.add_results();
    result.set_number(fixture.toHelper.empty() ? 1 : fixture.toHelper[0].orders().orders(0).number());
    result.set_status(99);
    fixture.relay.onResults(results, fixture.clock.now());
    cr_assert(fixture.outcomes.size() == 1 && fixture.outcomes[0] == order_status::unknown);
}

Test(relay_helper, prefersTheDataCentreAndKeepsTheWorkersOfOtherHelpers)
{
    const std::vector<relay_helper> all{ { 11, "a" }, { 12, "a" }, { 13, "a" }, { 21, "b" } };
    const std::vector<relay_helper> withoutOne{ { 11, "a" }, { 13, "a" }, { 21, "b" } };
    std::map<std::uint64_t, int> counts;
    for (int i = 0; i < 300; ++i) {
        const worker_address target{ { "w" + std::to_string(i), 1 }, "", "a" };
        const std::uint64_t chosen = chooseHelper(target, all);
        ++counts[chosen];
        cr_assert(chosen == 12 || chooseHelper(target, withoutOne) == chosen);
    }
    cr_assert_eq(counts.size(), 3U);
    for (const auto &[helper, count] : counts) {
        cr_assert(count > 60, "%d", count);
    }
    cr_assert_eq(chooseHelper({ "w", 1, "", "c" }, {}), 0U);
    cr_assert_neq(chooseHelper({ "w", 1, "", "c" }, all), 0U);
}

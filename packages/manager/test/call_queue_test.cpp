#include <criterion/criterion.h>
#include <jujubespool/manager/call_queue.h>
#include <jujubespool/testing/table.h>
#include <utility>
#include <vector>

namespace {

using namespace jujubespool;

constexpr instant START{ seconds(100) };
// Time that the handler takes for each call.
constexpr milliseconds HANDLING_TIME{ 1 };

struct queue_fixture
{
    void add(const std::string &method, const std::string &path)
    {
        queue.add(
            { method, "h", path, {}, {} }, [](const http_reply &) {}, now);
    }
    // Runs what was deferred before, as one pass of an event loop.
    void runPass()
    {
        for (const auto &call : std::exchange(deferred, {})) {
            call();
        }
    }

    instant now = START;
    std::vector<std::function<void()>> deferred;
    std::vector<std::string> served;
    std::vector<std::string> refused;
    call_queue queue{ [this](std::function<void()> call) { deferred.push_back(std::move(call)); }, [this] { return now; },
                      [this](const http_call &call, instant, const http_reply_callback &) {
                          served.push_back(call.method + call.path);
                          now += HANDLING_TIME;
                      },
                      [this](const http_call &call, instant, const http_reply_callback &) {
                          refused.push_back(call.method + call.path);
                      } };
};

struct refusal_row
{
    const char *name;
    milliseconds waited;
    const char *method;
    const char *path;
    bool refused;
};

// What happens to a call while a new job "/q/1" has waited for this long.
const refusal_row REFUSALS[] = {
    { "a new job, no long wait", milliseconds(150), "POST", "/q/2", false },
    { "a new job, a long wait", milliseconds(151), "POST", "/q/2", true },
    { "the state of a job, a long wait", milliseconds(151), "GET", "/q/2", false },
    { "a cancellation, a long wait", milliseconds(151), "DELETE", "/q/2", false },
    { "the job that waits, again", milliseconds(151), "POST", "/q/1", false },
};

} // namespace

ParameterizedTestParameters(call_queue, refusesNewJobsAtOnceThatWouldWaitTooLong)
{
    return rowsOf(REFUSALS);
}

ParameterizedTest(std::size_t *row, call_queue, refusesNewJobsAtOnceThatWouldWaitTooLong)
{
    const refusal_row &testCase = REFUSALS[*row];
    queue_fixture fixture;
    fixture.add("POST", "/q/1");
    fixture.now += testCase.waited;
    fixture.add(testCase.method, testCase.path);
    cr_assert_eq(fixture.refused.size(), testCase.refused ? 1U : 0U, "%s", testCase.name);
    cr_assert_eq(fixture.queue.size(), testCase.refused ? 1U : 2U, "%s", testCase.name);
}

Test(call_queue, servesForAShortTimeInEachPass)
{
    queue_fixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.add("POST", "/q/" + std::to_string(i));
    }
    cr_assert(fixture.served.empty());
    fixture.runPass();
    cr_assert_eq(fixture.served.size(), 2U, "%zu", fixture.served.size());
    while (!fixture.deferred.empty()) {
        fixture.runPass();
    }
    cr_assert_eq(fixture.served.size(), 10U);
    cr_assert_eq(fixture.served.back(), "POST/q/9");
}

// A long pass shows that the results of accepted work need the time.
Test(call_queue, servesNoNewJobAfterALongPassUnlessNoneWasServedForLong)
{
    queue_fixture fixture;
    fixture.add("POST", "/q/0");
    fixture.runPass();
    fixture.add("POST", "/q/1");
    fixture.add("GET", "/q/0");
    fixture.now += milliseconds(41);
    fixture.runPass();
    cr_assert_eq(fixture.served.size(), 2U, "%zu", fixture.served.size());
    cr_assert_eq(fixture.served.back(), "GET/q/0");
    fixture.now += milliseconds(250);
    fixture.runPass();
    cr_assert_eq(fixture.served.back(), "POST/q/1");
}

Test(call_queue, servesExistingJobsFirstAndKeepsNoNewJobOut)
{
    queue_fixture fixture;
    fixture.add("POST", "/q/1");
    for (int i = 0; i < 20; ++i) {
        fixture.add("GET", "/q/0");
    }
    while (!fixture.deferred.empty()) {
        fixture.runPass();
    }
    cr_assert_eq(fixture.served.size(), 21U);
    cr_assert_eq(fixture.served[0], "GET/q/0");
    cr_assert_eq(fixture.served[8], "POST/q/1");
}

Test(call_queue, forgetsItsCallsWhenTheOwnershipEnds)
{
    queue_fixture fixture;
    fixture.add("POST", "/q/1");
    fixture.add("GET", "/q/1");
    fixture.queue.clear();
    fixture.runPass();
    cr_assert(fixture.served.empty());
    cr_assert(fixture.refused.empty());
}

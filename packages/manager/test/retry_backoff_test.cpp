// Plays callers that are refused while the store does not answer and that try a few times only.
#include <criterion/criterion.h>
#include <jujubespool/manager/retry_backoff.h>
#include <jujubespool/testing/table.h>
#include <string>

namespace {

using namespace jujubespool;

constexpr instant START{ seconds(1000) };
constexpr int TRIES = 5;
// Time after its first try within which a job of the usual length has to be accepted to be on time.
constexpr milliseconds ON_TIME{ 2000 };

struct caller_outcome
{
    bool accepted = false;
    duration acceptedAfter;
};

// A caller that comes first at this time, when the store has been away since START, and returns when it is told to.
caller_outcome play(retry_backoff &backoff, const std::string &call, instant first, milliseconds outage)
{
    instant now = first;
    for (int attempt = 0; attempt < TRIES; ++attempt) {
        if (now >= START + outage) {
            return { true, now - first };
        }
        now += seconds(backoff.retryAfterS(call, now));
    }
    return {};
}

struct outage_row
{
    milliseconds outage;
    // Lowest number of the callers that have to be accepted, and to be accepted on time, of 10 a second that came during the outage.
    int accepted;
    int onTime;
};

const outage_row OUTAGES[] = {
    { milliseconds(1500), 15, 15 },
    { milliseconds(4000), 40, 20 },
    { milliseconds(7000), 70, 20 },
    { milliseconds(9000), 70, 20 },
};

} // namespace

ParameterizedTestParameters(retry_backoff, bringsCallersBackAfterTheOutage)
{
    return rowsOf(OUTAGES);
}

ParameterizedTest(std::size_t *row, retry_backoff, bringsCallersBackAfterTheOutage)
{
    const outage_row &testCase = OUTAGES[*row];
    retry_backoff backoff;
    int accepted = 0;
    int onTime = 0;
    for (milliseconds arrival(0); arrival < testCase.outage; arrival += milliseconds(100)) {
        const caller_outcome outcome = play(backoff, "POST /q/" + std::to_string(arrival.count()), START + arrival, testCase.outage);
        accepted += outcome.accepted ? 1 : 0;
        onTime += outcome.accepted && outcome.acceptedAfter <= ON_TIME ? 1 : 0;
    }
    cr_assert_geq(accepted, testCase.accepted, "outage of %d ms: %d accepted", static_cast<int>(testCase.outage.count()), accepted);
    cr_assert_geq(onTime, testCase.onTime, "outage of %d ms: %d on time", static_cast<int>(testCase.outage.count()), onTime);
}

Test(retry_backoff, startsAnewForACallThatWasNotRefusedForLong)
{
    retry_backoff backoff;
    for (int i = 0; i < 6; ++i) {
        backoff.retryAfterS("POST /q/1", START + seconds(i));
    }
    cr_assert_eq(backoff.retryAfterS("POST /q/1", START + seconds(6)), 3U);
    cr_assert_eq(backoff.retryAfterS("POST /q/1", START + seconds(30)), 1U);
}

Test(retry_backoff, remembersABoundedNumberOfCalls)
{
    retry_backoff backoff;
    for (int i = 0; i < 50000; ++i) {
        cr_assert_eq(backoff.retryAfterS("POST /q/" + std::to_string(i), START), 1U);
    }
    cr_assert_leq(backoff.rememberedCalls(), 20000U);
    backoff.retryAfterS("POST /q/new", START + seconds(60));
    cr_assert_eq(backoff.rememberedCalls(), 1U);
}

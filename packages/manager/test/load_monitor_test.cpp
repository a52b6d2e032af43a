#include <criterion/criterion.h>
#include <jujubespool/manager/load_monitor.h>
#include <jujubespool/testing/table.h>
#include <string>

namespace {

using namespace jujubespool;

constexpr milliseconds TICK{ 25 };

struct load_case
{
    const char *name;
    // How late one tick of the second is.
    milliseconds late;
    // Time in callbacks in the second.
    milliseconds busy;
    const char *event;
    milliseconds wait;
    const char *expected;
};

constexpr load_case LOAD_CASES[]{
    { "idle", milliseconds(0), milliseconds(20), "pass_wait", milliseconds(5), "" },
    { "just below all bounds", milliseconds(100), milliseconds(800), "pass_wait", milliseconds(250), "" },
    { "the loop is late", milliseconds(130), milliseconds(20), "pass_wait", milliseconds(5), "loop_lag" },
    { "no processor time is left", milliseconds(0), milliseconds(850), "pass_wait", milliseconds(5), "busy_share" },
    { "jobs wait to be accepted", milliseconds(0), milliseconds(20), "accept_wait", milliseconds(300), "accept_wait" },
    { "jobs wait for a pass", milliseconds(0), milliseconds(20), "pass_wait", milliseconds(300), "pass_wait" },
    { "starts wait for their record", milliseconds(0), milliseconds(20), "record_wait", milliseconds(300), "record_wait" },
    { "late and busy", milliseconds(130), milliseconds(900), "pass_wait", milliseconds(300), "loop_lag,busy_share,pass_wait" },
};

// Plays one second after a first tick.
void playSecond(load_monitor &load, instant start, const load_case &row)
{
    load.tick(start, duration(0), nullptr);
    instant now = start;
    bool late = false;
    while (now - start < seconds(1)) {
        now += TICK + (late ? milliseconds(0) : row.late);
        late = true;
        load.tick(now, now - start < seconds(1) ? duration(0) : duration(row.busy), nullptr);
    }
}

} // namespace

ParameterizedTestParameters(load_monitor, namesTheBoundsThatAreNotKept)
{
    return rowsOf(LOAD_CASES);
}

ParameterizedTest(std::size_t *row, load_monitor, namesTheBoundsThatAreNotKept)
{
    const load_case &testCase = LOAD_CASES[*row];
    metrics_registry metrics;
    event_logger log(metrics);
    load_monitor load(log, metrics, TICK);
    log.observe(testCase.event, "", testCase.wait);
    playSecond(load, instant(seconds(10)), testCase);
    const std::string text = metrics.prometheusText();
    const std::string counted = std::string("jujubespool_load_bounds_passed_total{kind=\"") + testCase.expected + "\"} 1\n";
    if (*testCase.expected == '\0') {
        cr_assert_eq(text.find("load_bounds_passed_total"), std::string::npos, "%s: %s", testCase.name, text.c_str());
    } else {
        cr_assert_neq(text.find(counted), std::string::npos, "%s: %s", testCase.name, text.c_str());
    }
}

Test(load_monitor, showsTheBusyShareOfTheLastSecond)
{
    metrics_registry metrics;
    event_logger log(metrics);
    load_monitor load(log, metrics, TICK);
    load.tick(instant(seconds(10)), milliseconds(700), nullptr);
    load.tick(instant(seconds(11)), milliseconds(800), nullptr);
    load.tick(instant(seconds(13)), milliseconds(1300), nullptr);
    const std::string text = metrics.prometheusText();
    cr_assert_neq(text.find("jujubespool_busy_share 0.25\n"), std::string::npos, "%s", text.c_str());
    cr_assert_eq(load.lag(), milliseconds(1975));
}

// Tests of the settings, the supervisor and the metrics.
#include <jujubespool/entry/entry_settings.h>
#include <jujubespool/entry/metrics_registry.h>
#include <jujubespool/entry/supervisor.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

const std::string SETTINGS = "host: e1\n"
                             "data_center: a\n"
                             "caller_address: 127.0.0.1:0\n"
                             "admin_address: 127.0.0.1:0\n"
                             "peer_address: 127.0.0.1:0\n"
                             "platform_address: 127.0.0.1:7000\n";

struct invalid_setting
{
    const char *from;
    const char *to;
    const char *expected;
    int line;
};

const invalid_setting INVALID_SETTINGS[] = {
    { "host: e1\n", "", "'host' is missing", 1 },
    { "platform_address: 127.0.0.1:7000", "platform_address: nowhere", "must be an address as ip:port", 6 },
    { "data_center: a", "data_center: a\nmax_body_bytes: -1", "'max_body_bytes' must be a whole number", 3 },
    { "data_center: a", "data_center: a\ncolour: red", "unknown setting 'colour'", 3 },
    { "data_center: a", "data_center: a\npeers: [x]", "a peer must be an address", 3 },
    { "data_center: a", "data_center: a\nallow_faults: perhaps", "must be true or false", 3 },
    { "host: e1", "host: [e1", "end of sequence flow not found", 2 },
};

class fake_component : public component
{
public:
    std::string name() const override
    {
        return "fake";
    }
    bool start(failure &reason) override
    {
        ++starts;
        reason = { failure_step::control, {}, "start failed" };
        return starts > failures;
    }
    bool healthy(instant) const override
    {
        return isHealthy;
    }
    void stop() override
    {
        ++stops;
    }

    int failures = 0;
    int starts = 0;
    int stops = 0;
    bool isHealthy = true;
};

} // namespace

ParameterizedTestParameters(settings, rejectsInvalidSettingsWithLineNumber)
{
    return rowsOf(INVALID_SETTINGS);
}

ParameterizedTest(std::size_t *row, settings, rejectsInvalidSettingsWithLineNumber)
{
    const invalid_setting &testCase = INVALID_SETTINGS[*row];
    std::string text = SETTINGS;
    const std::string from = testCase.from;
    text.replace(text.find(from), from.size(), testCase.to);
    std::vector<config_problem> problems;
    cr_assert_not(parseSettings(text, problems).has_value(), "expected a problem with '%s'", testCase.expected);
    cr_assert(problems.front().message.find(testCase.expected) != std::string::npos, "expected '%s', got '%s'", testCase.expected,
              problems.front().message.c_str());
    cr_assert_eq(problems.front().line, testCase.line, "expected line %d, got %d", testCase.line, problems.front().line);
}

Test(settings, acceptsCompleteSettings)
{
    std::vector<config_problem> problems;
    const auto settings = parseSettings(SETTINGS, problems);
    cr_assert(settings.has_value());
    cr_assert_str_eq(settings->host.c_str(), "e1");
}

Test(supervisor, restartsFailedComponentWithBackoff)
{
    fake_component child;
    supervisor root("root", [](const std::string &, const failure &) {});
    root.add(child);
    failure reason;
    cr_assert(root.start(reason));
    const instant start = instant(seconds(100));
    child.isHealthy = false;
    root.check(start);
    cr_assert_eq(child.stops, 1);
    cr_assert_eq(child.starts, 1, "expected a delay before the restart");
    child.failures = 2;
    root.check(start + INITIAL_RESTART_DELAY);
    cr_assert_eq(child.starts, 2);
    root.check(start + INITIAL_RESTART_DELAY + milliseconds(1));
    cr_assert_eq(child.starts, 2, "expected a longer delay after the second failure");
    child.isHealthy = true;
    root.check(start + seconds(5));
    cr_assert_eq(child.starts, 3);
    cr_assert(root.healthy(start + seconds(5)));
}

Test(supervisor, stopsStartedComponentsIfOneFailsToStart)
{
    fake_component first;
    fake_component second;
    second.failures = 1;
    supervisor root("root", [](const std::string &, const failure &) {});
    root.add(first);
    root.add(second);
    failure reason;
    cr_assert_not(root.start(reason));
    cr_assert_eq(first.stops, 1);
    cr_assert_eq(second.stops, 0);
}

Test(metrics_registry, bucketsAreCumulative)
{
    metrics_registry metrics;
    metrics.observeLatency("t", request_class::urgent, milliseconds(1));
    metrics.observeLatency("t", request_class::urgent, milliseconds(30));
    metrics.observeLatency("t", request_class::urgent, seconds(20));
    const std::string text = metrics.prometheusText();
    cr_assert(text.find("team=\"t\",class=\"urgent\",le=\"0.05\"} 2") != std::string::npos, "got %s", text.c_str());
    cr_assert(text.find("le=\"+Inf\"} 3") != std::string::npos, "got %s", text.c_str());
}

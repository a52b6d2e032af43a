// Tests of parsing and validating configuration texts.
#include <jujubespool/core/configuration.h>
#include <jujubespool/testing/table.h>
#include <string>

namespace {

using namespace jujubespool;

const std::string HEAD = "data_centers: [a, b]\n";
const std::string POOLS = "pools:\n"
                          "  - name: p\n"
                          "    hosts:\n"
                          "      - { name: h1, data_center: a, rack: r1, address: \"127.0.0.1:1\" }\n"
                          "      - { name: h2, data_center: b, rack: r1, address: \"127.0.0.1:2\" }\n";
const std::string SERVICES = "services:\n"
                             "  - { name: s, pool: p, max_unavailable_percent: 50, max_run_ms: 100 }\n";
const std::string TEAMS = "teams:\n"
                          "  - { name: t, share: 1, limit: 4 }\n";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t position = text.find(from);
    cr_assert_neq(position, std::string::npos, "expected the text to contain '%s'", from.c_str());
    return text.replace(position, from.size(), to);
}

// A valid text is made invalid by replacing `from` with `to`; `expected` is a part of the reported problem.
struct invalid_text
{
    const char *from;
    const char *to;
    const char *expected;
};

const invalid_text INVALID_TEXTS[] = {
    { "name: s, pool: p", "name: [s, pool: p", "illegal flow end" },
    { "pool: p, max", "pool: q, max", "unknown pool 'q'" },
    { "max_run_ms: 100", "max_run_ms: 100, depends_on: [x]", "unknown dependency 'x'" },
    { "max_run_ms: 100", "max_run_ms: 100, depends_on: [s]", "depends on itself" },
    { "name: h2, data_center: b", "name: h2, data_center: c", "unknown data centre 'c'" },
    { "  - { name: t,", "  - { name: t, colour: red,", "unknown key 'colour'" },
    { "share: 1", "share: 0", "'share' must be a whole number from 1" },
    { "share: 1", "share: -3", "'share' must be a whole number from 1" },
    { "limit: 4", "limit: 0", "'limit' must be a whole number from 1" },
    { "limit: 4", "limit: 99999999999", "'limit' must be a whole number from 1" },
    { "share: 1, ", "", "'share' is missing" },
    { "max_unavailable_percent: 50", "max_unavailable_percent: 49", "never permits one host" },
    { "name: h2", "name: h1", "is in two pools" },
    { "limit: 4", "limit: 4, keys: [abc]", "SHA-256" },
    { "max_run_ms: 100", "max_run_ms: 100, class: slow", "'class' has an unknown value" },
    { "max_run_ms: 100", "max_run_ms: 100, repeatable: perhaps", "must be true or false" },
    { "data_centers: [a, b]", "data_centers: [a, a, b]", "is given twice" },
    { "teams:\n", "teams: 7\nother:\n", "must be a list" },
    { "name: t,", "name: \"t t\",", "contains a character other than" },
    { "address: \"127.0.0.1:1\"", "slots: 4000", "'slots' must be a whole number from 1 to 1024" },
};

} // namespace

Test(configuration, acceptsAValidText)
{
    std::vector<config_problem> problems;
    const auto parsed = parseConfiguration(HEAD + POOLS + SERVICES + TEAMS, problems);
    cr_assert(parsed.has_value(), "expected a configuration, got: %s", problems.empty() ? "" : problems.front().message.c_str());
    cr_assert_eq(parsed->hosts.size(), 2U);
    cr_assert_eq(parsed->findHost("h1")->slots, 8U);
}

ParameterizedTestParameters(configuration, rejectsAnInvalidText)
{
    return rowsOf(INVALID_TEXTS);
}

ParameterizedTest(std::size_t *row, configuration, rejectsAnInvalidText)
{
    const invalid_text *testCase = &INVALID_TEXTS[*row];
    std::vector<config_problem> problems;
    const auto parsed = parseConfiguration(replaced(HEAD + POOLS + SERVICES + TEAMS, testCase->from, testCase->to), problems);
    cr_assert(!parsed.has_value(), "expected a problem with '%s', but the text was accepted", testCase->expected);
    bool reported = false;
    std::string all;
    for (const config_problem &problem : problems) {
        reported = reported || problem.message.find(testCase->expected) != std::string::npos;
        all += problem.message + "; ";
        cr_assert_gt(problem.line, 0, "expected a line number with '%s'", problem.message.c_str());
    }
    cr_assert(reported, "expected a problem with '%s', got: %s", testCase->expected, all.c_str());
}

Test(configuration, textDiffContainsOnlyChangedLines)
{
    const std::string difference = formatTextDiff("a\nb\nc\n", "a\nd\nc\n");
    cr_assert_str_eq(difference.c_str(), "- b\n+ d\n");
}

#include <jujubespool/jobs/expected_grants.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

struct grants_case
{
    const char *name;
    double probability;
    std::int64_t tasksOfWorker;
    std::int64_t tasks;
    int expectedWorkers;
};

constexpr grants_case GRANTS[] = {
    { "all workers are permitted", 1, 1, 4, 4 },        { "each worker can take several tasks", 1, 3, 4, 2 },
    { "one worker of two is permitted", 0.5, 1, 1, 6 }, { "one worker of two is permitted and can take both tasks", 0.5, 2, 2, 6 },
    { "nearly all are permitted", 0.95, 1, 1, 2 },      { "no tasks", 0.5, 1, 0, 0 },
};

} // namespace

ParameterizedTestParameters(expected_grants, needsFewerWorkersTheMoreArePermitted)
{
    return rowsOf(GRANTS);
}

ParameterizedTest(std::size_t *row, expected_grants, needsFewerWorkersTheMoreArePermitted)
{
    const grants_case &played = GRANTS[*row];
    expected_grants grants;
    int workers = 0;
    while (!grants.suffice(played.tasks)) {
        grants.add(played.probability, played.tasksOfWorker);
        ++workers;
    }
    cr_expect_eq(workers, played.expectedWorkers, "%s: %d workers", played.name, workers);
}

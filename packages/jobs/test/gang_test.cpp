#include <algorithm>
#include <criterion/criterion.h>
#include <jujubespool/jobs/placement.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <jujubespool/testing/table.h>
#include <random>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };
constexpr wall_ms WALL = 1800000000000;
constexpr int MEMBERS = 3;
const std::string JOB = "00000000000000a1";

worker_report reportOf(int number, std::uint64_t startTimeMs = 1)
{
    const std::string id = "w" + std::to_string(number);
    return { id, id + ":1", "pool", "a", worker_state::ready, { 4000, 8000, 0 }, {}, startTimeMs, {} };
}

// How the runs of the other members leave their workers after one member's end has been noted.
enum class departure { listed_done, listed_broken, listed_failed, lost };

// A gang of one task a worker, and a step that depends on it if the test asks for one.
class gang_fixture
{
public:
    explicit gang_fixture(bool hasSecondStep = false, int maxAttempts = 3)
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        config->queues[0].maxAttempts = maxAttempts;
        model.setConfig(config);
        for (int i = 0; i < MEMBERS; ++i) {
            addWorker(reportOf(i));
        }
        job_request request;
        request.id = JOB;
        request.queue = "q";
        request.team = "team";
        step_spec gang;
        gang.count = MEMBERS;
        gang.taskResources = { 3000, 1000, 0 };
        gang.gang = true;
        request.steps.push_back(gang);
        if (hasSecondStep) {
            step_spec last;
            last.count = 1;
            last.taskResources = { 4000, 1000, 0 };
            last.dependencies = { 0 };
            request.steps.push_back(last);
        }
        model.add(job::accept(request, WALL));
    }

    void addWorker(const worker_report &report)
    {
        model.workers().update(report, NOW);
        worker &target = *model.workers().find(report.id);
        target.polled = true;
        target.clockKnown = true;
    }
    task_key member(int index) const
    {
        return { JOB, 0, 0, index };
    }
    job &entry()
    {
        return *model.find(JOB);
    }
    task_progress &task(int index)
    {
        return *entry().task(member(index));
    }
    std::size_t schedule()
    {
        return run_scheduler().decide(model, tickets, NOW, WALL).placements.size();
    }
    bool end(int index, run_outcome outcome, const std::string &checkpoint = {})
    {
        const task_progress &ended = task(index);
        return model.applyEnd({ ++m_endNumber, member(index), ended.run, outcome, checkpoint }, ended.worker, WALL);
    }
    void leave(int index, departure how)
    {
        if (how == departure::lost) {
            model.release(member(index));
        } else {
            end(index,
                how == departure::listed_done         ? run_outcome::done
                    : how == departure::listed_broken ? run_outcome::broken
                                                      : run_outcome::failed);
        }
    }
    // The job as a new owner reads it from the ledger, with the placements that it holds.
    void takeOver()
    {
        const wire::job_image image = entry().toImage();
        const auto config = std::make_shared<fleet_config>(model.config());
        model = fleet_model(manager_bounds());
        model.setConfig(config);
        for (int i = 0; i < MEMBERS; ++i) {
            addWorker(reportOf(i));
        }
        model.add(job::fromImage(image).value());
        for (int i = 0; i < MEMBERS; ++i) {
            if (task(i).phase == task_phase::assigned) {
                model.restorePlacement(member(i), NOW, NOW);
            }
        }
    }
    // The resources that the workers are counted to use.
    resources usedOnWorkers() const
    {
        resources used;
        for (const auto &[id, target] : model.workers().all()) {
            used += target.used;
        }
        return used;
    }

    fleet_model model{ manager_bounds() };
    policy_ticket_cache tickets;

private:
    std::uint64_t m_endNumber = 0;
};

struct one_end_row
{
    const char *name;
    departure others;
    bool takenOverBetween;
};

const one_end_row ONE_END[] = {
    { "the others end done", departure::listed_done, false },
    { "the others are broken", departure::listed_broken, false },
    { "the others fail", departure::listed_failed, false },
    { "the others are lost", departure::lost, false },
    { "the others end done after a take-over", departure::listed_done, true },
    { "the others are lost after a take-over", departure::lost, true },
};

struct attempts_row
{
    const char *name;
    // The members that fail in each run; the others are broken.
    std::vector<std::vector<int>> failingMembers;
    int maxAttempts;
    job_state expected;
};

const attempts_row ATTEMPTS[] = {
    { "the same member fails each time", { { 0 }, { 0 } }, 2, job_state::failed },
    { "another member fails each time", { { 0 }, { 1 }, { 2 } }, 3, job_state::failed },
    { "several members fail in one run", { { 0, 1, 2 } }, 2, job_state::running },
    { "several members fail in one run and one in the next", { { 0, 1, 2 }, { 1 } }, 3, job_state::running },
    { "different members fail in each run", { { 0, 1 }, { 2 }, { 1 } }, 3, job_state::failed },
};

// Workers that hold one task each, two on a rack except on "r0" with four, and jobs of one step, in the order of their identifiers.
class crowded_fixture
{
public:
    static constexpr std::int64_t TASK_CPU_MILLIS = 3000;

    explicit crowded_fixture(int workers, std::int64_t teamLimit = 0)
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        config->teams["team"].name = "team";
        config->teams["team"].limit = { teamLimit, 0, 0 };
        model.setConfig(config);
        for (int i = 0; i < workers; ++i) {
            worker_report report = reportOf(i);
            report.labels = { "kind", "r" + std::to_string(i < workers - 4 ? 1 + i / 2 : 0) };
            model.workers().update(report, NOW);
            worker &target = *model.workers().find(report.id);
            target.polled = true;
            target.clockKnown = true;
        }
    }

    static step_spec tasks(int count)
    {
        step_spec step;
        step.count = count;
        step.taskResources = { TASK_CPU_MILLIS, 1000, 0 };
        return step;
    }
    static step_spec gangOf(int count)
    {
        step_spec step = tasks(count);
        step.gang = true;
        return step;
    }
    void submit(const std::string &id, const step_spec &step)
    {
        job_request request;
        request.id = id;
        request.queue = "q";
        request.team = "team";
        request.steps.push_back(step);
        model.add(job::accept(request, WALL));
    }
    void schedule()
    {
        lastPlacements = run_scheduler().decide(model, tickets, NOW, WALL).placements.size();
    }
    int countAssigned(const std::string &id)
    {
        const auto &members = model.find(id)->occurrences().at(0).steps[0];
        return static_cast<int>(
            std::count_if(members.begin(), members.end(), [](const task_progress &task) { return task.phase == task_phase::assigned; }));
    }

    void endOneRunOn(const std::string &id)
    {
        const auto &runs = model.workers().find(id)->runs;
        if (!runs.empty()) {
            const finished_run finished{ 1, runs.begin()->first, runs.begin()->second.run, run_outcome::done, {} };
            model.applyEnd(finished, id, WALL);
        }
    }
    // Number of waiting tasks, except those of gangs, for which a worker has room.
    int countTasksThatFit()
    {
        int count = 0;
        for (const auto &[id, waiting] : model.activeJobs()) {
            const step_spec &step = waiting->step(0);
            const placement_request request{ { id, 0, 0, 0 }, &step, "pool", {}, {}, {}, {} };
            const bool fits = std::any_of(model.workers().all().begin(), model.workers().all().end(),
                                          [&](const auto &entry) { return isEligible(entry.second, request, NOW); });
            count += fits && !step.gang ? step.count - countAssigned(id) : 0;
        }
        return count;
    }

    fleet_model model{ manager_bounds() };
    std::size_t lastPlacements = 0;

private:
    policy_ticket_cache tickets;
};

const std::uint64_t SEEDS[] = { 1, 2, 3, 4, 5, 6, 7, 8 };

} // namespace

ParameterizedTestParameters(gang, isDoneOnceOneMemberHasEndedDoneWhateverBecomesOfTheOthers)
{
    return rowsOf(ONE_END);
}

ParameterizedTest(std::size_t *row, gang, isDoneOnceOneMemberHasEndedDoneWhateverBecomesOfTheOthers)
{
    const one_end_row &testCase = ONE_END[*row];
    gang_fixture fixture(true, 1);
    cr_assert_eq(fixture.schedule(), MEMBERS);
    fixture.end(1, run_outcome::done);
    if (testCase.takenOverBetween) {
        fixture.takeOver();
    }
    cr_assert_eq(fixture.schedule(), 1, "%s: the next step starts on the worker whose run has ended", testCase.name);
    cr_assert_eq(fixture.usedOnWorkers().cpuMillis, 2 * 3000 + 4000, "%s: the other runs still use their workers", testCase.name);
    fixture.leave(0, testCase.others);
    fixture.leave(2, testCase.others);
    for (int i = 0; i < MEMBERS; ++i) {
        cr_assert_eq(fixture.task(i).phase, task_phase::done, "%s: member %d", testCase.name, i);
    }
    cr_assert_eq(fixture.schedule(), 0, "%s", testCase.name);
    cr_assert_eq(fixture.usedOnWorkers().cpuMillis, 4000, "%s", testCase.name);
    cr_assert_eq(fixture.model.usage().of("team").cpuMillis, 4000, "%s", testCase.name);
    cr_assert_eq(fixture.entry().state(), job_state::running, "%s", testCase.name);
    cr_assert_eq(fixture.entry().occurrences().at(0).unfinishedTasks, std::vector<int>({ 0, 1 }), "%s", testCase.name);
}

Test(gang, isDoneWhenAMemberEndsDoneAfterTheOthersWereLost)
{
    gang_fixture fixture;
    fixture.schedule();
    fixture.leave(0, departure::lost);
    fixture.leave(1, departure::lost);
    cr_assert_eq(fixture.schedule(), 0);
    fixture.end(2, run_outcome::done);
    cr_assert_eq(fixture.entry().state(), job_state::completed);
    cr_assert(fixture.usedOnWorkers() == resources());
    cr_assert(fixture.model.usage().of("team") == resources());
}

Test(gang, completesItsJobAtTheFirstEndAndKeepsTheOtherRunsPlaced)
{
    gang_fixture fixture;
    fixture.schedule();
    fixture.end(0, run_outcome::done);
    cr_assert_eq(fixture.entry().state(), job_state::completed);
    cr_assert_eq(fixture.model.takeEnded().size(), 1);
    fixture.takeOver();
    cr_assert_eq(fixture.entry().state(), job_state::completed);
    cr_assert_eq(fixture.usedOnWorkers().cpuMillis, 2 * 3000);
    fixture.end(1, run_outcome::done);
    fixture.leave(2, departure::lost);
    cr_assert_not(fixture.entry().hasAssigned());
    cr_assert_eq(fixture.model.takeEnded().size(), 0);
    cr_assert(fixture.usedOnWorkers() == resources());
    cr_assert(fixture.model.usage().of("team") == resources());
}

// Earlier versions wrote the members that were lost as waiting.
Test(gang, isDoneInAnImageThatHoldsWaitingMembersBesideOneThatIsDone)
{
    gang_fixture fixture(true);
    wire::job_image image = fixture.entry().toImage();
    image.set_state(static_cast<std::uint32_t>(job_state::running));
    image.mutable_occurrences(0)->mutable_tasks(1)->set_phase(static_cast<std::uint32_t>(task_phase::done));
    fixture.model.add(job::fromImage(image).value());
    cr_assert_eq(fixture.schedule(), 1, "the next step starts");
    cr_assert_eq(fixture.task(0).phase, task_phase::done);
}

Test(gang, startsAgainAsAWholeWhenNoMemberHasEndedDone)
{
    gang_fixture fixture;
    fixture.schedule();
    fixture.leave(0, departure::lost);
    fixture.leave(1, departure::listed_broken);
    cr_assert_eq(fixture.schedule(), 0);
    fixture.leave(2, departure::listed_broken);
    cr_assert_eq(fixture.schedule(), MEMBERS);
    for (int i = 0; i < MEMBERS; ++i) {
        cr_assert_eq(fixture.task(i).run, 2, "member %d", i);
    }
}

ParameterizedTestParameters(gang, countsEachRunInWhichAnyMemberFailsAsOneAttempt)
{
    return rowsOf(ATTEMPTS);
}

ParameterizedTest(std::size_t *row, gang, countsEachRunInWhichAnyMemberFailsAsOneAttempt)
{
    const attempts_row &testCase = ATTEMPTS[*row];
    gang_fixture fixture(false, testCase.maxAttempts);
    for (const std::vector<int> &failing : testCase.failingMembers) {
        cr_assert_eq(fixture.schedule(), MEMBERS, "%s", testCase.name);
        for (int i = 0; i < MEMBERS; ++i) {
            fixture.leave(i, std::count(failing.begin(), failing.end(), i) > 0 ? departure::listed_failed : departure::listed_broken);
        }
        if (!fixture.entry().ended()) {
            fixture.takeOver();
        }
    }
    cr_assert_eq(fixture.entry().state(), testCase.expected, "%s", testCase.name);
}

Test(gang, startsAllMembersFromTheCheckpointThatAnyMemberBroughtLast)
{
    gang_fixture fixture;
    fixture.schedule();
    fixture.end(0, run_outcome::broken, "checkpoint-1");
    fixture.end(2, run_outcome::broken, "checkpoint-2");
    fixture.leave(1, departure::lost);
    cr_assert_eq(fixture.schedule(), MEMBERS);
    for (int i = 0; i < MEMBERS; ++i) {
        cr_assert_str_eq(fixture.task(i).checkpoint.c_str(), "checkpoint-2", "member %d", i);
        cr_assert_eq(fixture.task(i).run, 2, "member %d", i);
    }
}

// Earlier versions wrote the progress of each member by itself.
Test(gang, startsAllMembersAlikeWhenTheImageHoldsDifferentProgress)
{
    gang_fixture fixture;
    wire::job_image image = fixture.entry().toImage();
    image.mutable_occurrences(0)->mutable_tasks(1)->set_checkpoint("checkpoint-1");
    image.mutable_occurrences(0)->mutable_tasks(1)->set_run(7);
    image.mutable_occurrences(0)->mutable_tasks(2)->set_run(4);
    fixture.model.add(job::fromImage(image).value());
    cr_assert_eq(fixture.schedule(), MEMBERS);
    for (int i = 0; i < MEMBERS; ++i) {
        cr_assert_str_eq(fixture.task(i).checkpoint.c_str(), "checkpoint-1", "member %d", i);
        cr_assert_eq(fixture.task(i).run, 8, "member %d", i);
    }
}

Test(gang, thatDoesNotFitTakesNothingFromTheJobsAfterIt)
{
    crowded_fixture fixture(6);
    fixture.submit("00000000000000a1", crowded_fixture::gangOf(7));
    fixture.submit("00000000000000b1", crowded_fixture::tasks(2));
    fixture.schedule();
    cr_assert_eq(fixture.countAssigned("00000000000000a1"), 0);
    cr_assert_eq(fixture.countAssigned("00000000000000b1"), 2);
}

Test(gang, thatDoesNotFitIsNeitherShownAsRunningNorWritten)
{
    crowded_fixture fixture(6);
    fixture.submit("00000000000000a1", crowded_fixture::gangOf(7));
    fixture.model.takeChanged();
    fixture.schedule();
    cr_assert_eq(fixture.model.takeChanged().size(), 0);
    cr_assert_eq(fixture.model.find("00000000000000a1")->state(), job_state::queued);
    cr_assert_eq(fixture.model.find("00000000000000a1")->hasStarted(), false);
}

Test(gang, thatDoesNotFitShutsOutOnlyGangsThatNeedAsMuch)
{
    crowded_fixture fixture(6);
    fixture.submit("00000000000000a1", crowded_fixture::gangOf(7));
    fixture.submit("00000000000000b1", crowded_fixture::gangOf(8));
    fixture.submit("00000000000000c1", crowded_fixture::gangOf(6));
    fixture.schedule();
    cr_assert_eq(fixture.countAssigned("00000000000000b1"), 0);
    cr_assert_eq(fixture.countAssigned("00000000000000c1"), 6);
}

Test(gang, startsOnlyIfItsTeamMayRunAllMembers)
{
    crowded_fixture fixture(6, 5 * crowded_fixture::TASK_CPU_MILLIS);
    fixture.submit("00000000000000a1", crowded_fixture::gangOf(6));
    fixture.submit("00000000000000b1", crowded_fixture::tasks(5));
    fixture.schedule();
    cr_assert_eq(fixture.countAssigned("00000000000000a1"), 0);
    cr_assert_eq(fixture.countAssigned("00000000000000b1"), 5);
}

Test(gang, runsOnOneRackIfOneHoldsAllItsMembers)
{
    crowded_fixture fixture(7);
    step_spec step = crowded_fixture::gangOf(4);
    step.sameRack = true;
    fixture.submit("00000000000000a1", step);
    fixture.schedule();
    for (const auto &[id, target] : fixture.model.workers().all()) {
        cr_assert_eq(target.runs.size(), target.rack() == "r0" ? 1 : 0, "%s", id.c_str());
    }
}

Test(gang, runsOnOneRackAlthoughAFullWorkerComesBeforeThatRack)
{
    crowded_fixture fixture(9);
    placed_run whole;
    whole.need = { 4000, 8000, 0 };
    fixture.model.workers().find("w4")->place({ "other", 0, 0, 0 }, whole);
    step_spec step = crowded_fixture::gangOf(4);
    step.sameRack = true;
    fixture.submit("00000000000000a1", step);
    fixture.schedule();
    for (const auto &[id, target] : fixture.model.workers().all()) {
        cr_assert_eq(target.runs.size(), target.rack() == "r0" || id == "w4" ? 1 : 0, "%s", id.c_str());
    }
}

Test(gang, isNotPlacedInPartOnWorkersThatGetOneTaskAtATime)
{
    crowded_fixture fixture(2);
    for (auto &[id, target] : fixture.model.workers().all()) {
        target.failedTasks = { { "other", 0, 0, 0 }, { "another", 0, 0, 0 } };
    }
    step_spec step = crowded_fixture::gangOf(4);
    step.taskResources = { 1000, 1000, 0 };
    fixture.submit("00000000000000a1", step);
    fixture.schedule();
    cr_assert_eq(fixture.countAssigned("00000000000000a1"), 0);
}

ParameterizedTestParameters(gang, isPlacedAsAWholeOrNotAtAll)
{
    return rowsOf(SEEDS);
}

// Random gangs and tasks on random workers. Nothing that fits at the end of a pass may have been left waiting.
ParameterizedTest(std::size_t *row, gang, isPlacedAsAWholeOrNotAtAll)
{
    constexpr int ROUNDS = 40;
    std::mt19937_64 random(SEEDS[*row]);
    for (int round = 0; round < ROUNDS; ++round) {
        crowded_fixture fixture(2 + static_cast<int>(random() % 10));
        std::vector<std::string> gangs;
        for (int number = 0; number < 12; ++number) {
            const int count = 1 + static_cast<int>(random() % 9);
            const bool isGang = random() % 2 == 0;
            step_spec step = isGang ? crowded_fixture::gangOf(count) : crowded_fixture::tasks(count);
            step.taskResources.cpuMillis = 500 * (1 + static_cast<std::int64_t>(random() % 8));
            step.taskResources.memoryMb = 500 * static_cast<std::int64_t>(random() % 10);
            step.sameRack = random() % 2 == 0;
            step.maxPerWorker = static_cast<int>(random() % 4);
            step.bestEffort = random() % 5 == 0;
            const std::string id = "00000000000000" + std::to_string(10 + number);
            fixture.submit(id, step);
            if (isGang) {
                gangs.push_back(id);
            }
        }
        fixture.schedule();
        for (const std::string &id : gangs) {
            const int assigned = fixture.countAssigned(id);
            const int count = fixture.model.find(id)->step(0).count;
            cr_assert(assigned == 0 || assigned == count, "seed %lu round %d job %s: %d of %d", SEEDS[*row], round, id.c_str(), assigned,
                      count);
        }
        cr_assert_eq(fixture.countTasksThatFit(), 0, "seed %lu round %d", SEEDS[*row], round);
        fixture.schedule();
        cr_assert_eq(fixture.lastPlacements, 0, "seed %lu round %d", SEEDS[*row], round);
        for (const auto &[id, target] : fixture.model.workers().all()) {
            cr_assert(target.used.fitsIn(target.report.capacity), "seed %lu round %d", SEEDS[*row], round);
        }
    }
}

// The gang comes first in the order, but each worker that becomes free is taken by a later task before enough of them are free.
Test(gang, startsInTheEndAlthoughSmallerTasksKeepComing)
{
    constexpr int WORKERS = 6;
    constexpr int ROUNDS = 200;
    crowded_fixture fixture(WORKERS);
    int next = 0;
    for (; next < WORKERS; ++next) {
        fixture.submit("00000000000000" + std::to_string(100 + next), crowded_fixture::tasks(1));
    }
    fixture.schedule();
    fixture.submit("0000000000000001", crowded_fixture::gangOf(4));
    for (int round = 0; round < ROUNDS && fixture.countAssigned("0000000000000001") == 0; ++round, ++next) {
        fixture.endOneRunOn("w" + std::to_string(round % WORKERS));
        fixture.submit("00000000000000" + std::to_string(100 + next), crowded_fixture::tasks(1));
        fixture.schedule();
    }
    cr_assert_eq(fixture.countAssigned("0000000000000001"), 4);
}

// Guards against a crash of the owner, and of each that takes over: the last member of a gang ends as failed after its gang is done, in an
// occurrence that is forgotten with that end.
Test(gang, lateFailureInAnOccurrenceThatHasEndedIsCountedWithoutACrash)
{
    gang_fixture fixture;
    job_request request = fixture.entry().request();
    request.id = "00000000000000b2";
    request.repeatCount = 3;
    request.firstRun = WALL;
    request.interval = milliseconds(1);
    fixture.model.add(job::accept(request, WALL)).addDueOccurrences(WALL + 1, manager_bounds().maxRecordBytes);
    job &recurring = *fixture.model.find(request.id);
    std::uint64_t endNumber = 0;
    for (int index = 0; index < MEMBERS; ++index) {
        const task_key key{ request.id, 0, 0, index };
        fixture.model.place(key, *fixture.model.workers().find(reportOf(index).id), NOW, 1);
    }
    for (int index = 0; index < MEMBERS; ++index) {
        const task_key key{ request.id, 0, 0, index };
        const run_outcome outcome = index == 0 ? run_outcome::done : run_outcome::failed;
        worker &target = *fixture.model.workers().find(reportOf(index).id);
        cr_assert(fixture.model.applyEnd({ ++endNumber, key, 1, outcome, {} }, target.report.id, WALL));
        if (outcome == run_outcome::failed) {
            fixture.model.recordFailure(key, target, NOW);
        }
    }
    cr_assert_eq(recurring.occurrences().size(), 1U);
}

#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
const std::string FIRST_JOB = "00000000000000a1";

// A fleet with one pool, and processes that may own its jobs.
struct fleet_fixture
{
    fleet_fixture()
    {
        platform.setConfig(configWithOneQueue());
        platform.addWorker("w1", "pool", WORKER_CAPACITY);
        platform.addWorker("worker-2", "pool", WORKER_CAPACITY);
    }

    owner_session &create(const std::string &process, std::uint64_t incarnation)
    {
        manager_settings settings;
        settings.node = process;
        sessions[process] = std::make_unique<owner_session>(platform.clientsOf(process), platform, log, settings,
                                                            process_identity{ process, incarnation }, [this] { return platform.wall(); });
        sessions[process]->setTakeOverCheck([this] { return takeOverIsKnown; });
        scheduleTicks(process);
        return *sessions[process];
    }

    owner_session::event_callback recorderOf(const std::string &process)
    {
        return [this, process](session_event event, instant) {
            events[process].push_back(event);
        };
    }

    owner_session &begin(const std::string &process, std::uint64_t incarnation, std::optional<std::uint64_t> ownerEpochSeen = {})
    {
        owner_session &session = create(process, incarnation);
        session.begin(recorderOf(process), ownerEpochSeen);
        return session;
    }

    owner_session &prepare(const std::string &process, std::uint64_t incarnation)
    {
        owner_session &session = create(process, incarnation);
        session.prepare(recorderOf(process));
        return session;
    }

    void scheduleTicks(const std::string &process)
    {
        platform.after(milliseconds(25), [this, process](instant now) {
            if (suspended.count(process) == 0) {
                sessions.at(process)->tick(now);
            }
            scheduleTicks(process);
        });
    }

    // Sends the call and returns the status of the response, or 0 if there is none within 100 ms.
    int call(const std::string &process, const std::string &method, const std::string &path, const std::string &body = {})
    {
        const auto status = std::make_shared<int>(0);
        sessions.at(process)->handle({ method, "h", path, {}, body }, platform.now(),
                                     [status](const http_reply &reply) { *status = reply.status; });
        platform.advance(milliseconds(100));
        return *status;
    }

    // The worker that runs tasks; a job of few tasks runs on one.
    std::string busyWorker()
    {
        return platform.workerNamed("w1").running.empty() ? "worker-2" : "w1";
    }

    void loseWorker(const std::string &id)
    {
        platform.workerNamed(id).alive = false;
        platform.workerNamed(id).running.clear();
        platform.clearRunningOn(id);
    }

    fake_platform platform;
    counting_log log;
    std::map<std::string, std::unique_ptr<owner_session>> sessions;
    std::map<std::string, std::vector<session_event>> events;
    std::set<std::string> suspended;
    // Whether most candidates know of a take-over as soon as it has happened.
    bool takeOverIsKnown = true;
};

struct fault_row
{
    const char *name;
    void (*inject)(fleet_fixture &fleet);
};

// Faults that are injected into the owner or its workers 100 ms after a job with 30 tasks was submitted.
const fault_row FAULTS[] = {
    { "no fault",
      [](fleet_fixture &) {
      } },
    { "the store's responses are lost for two seconds",
      [](fleet_fixture &fleet) {
          fleet.platform.linksOf("entry-1").storeResponsesLost = true;
          fleet.platform.after(seconds(2), [&fleet](instant) { fleet.platform.linksOf("entry-1").storeResponsesLost = false; });
      } },
    { "the store is unavailable for three seconds",
      [](fleet_fixture &fleet) {
          fleet.platform.linksOf("entry-1").storeDown = true;
          fleet.platform.after(seconds(3), [&fleet](instant) { fleet.platform.linksOf("entry-1").storeDown = false; });
      } },
    { "another process takes over",
      [](fleet_fixture &fleet) {
          fleet.begin("entry-2", 22);
      } },
    { "the owner is suspended for five seconds and another process takes over",
      [](fleet_fixture &fleet) {
          fleet.suspended.insert("entry-1");
          fleet.begin("entry-2", 22);
          fleet.platform.after(seconds(5), [&fleet](instant) { fleet.suspended.clear(); });
      } },
    { "a worker restarts",
      [](fleet_fixture &fleet) {
          fleet.platform.after(milliseconds(100), [&fleet](instant) { fleet.platform.restartWorker("w1"); });
      } },
    { "start orders are executed three seconds late without a response",
      [](fleet_fixture &fleet) {
          fleet.platform.linksOf("entry-1").startDelay = seconds(3);
          fleet.platform.after(seconds(1), [&fleet](instant) { fleet.platform.linksOf("entry-1").startDelay = milliseconds(0); });
      } },
    { "a worker is unreachable for eight seconds",
      [](fleet_fixture &fleet) {
          fleet.platform.linksOf("entry-1").unreachableWorkers.insert("w1");
          fleet.platform.after(seconds(8), [&fleet](instant) { fleet.platform.linksOf("entry-1").unreachableWorkers.clear(); });
      } },
};

} // namespace

Test(ownership, acceptsAndRunsAllTasksOfAJob)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "12"), 200);
    fleet.platform.advance(seconds(2));
    cr_assert_eq(fleet.platform.doneRuns(), 12);
    cr_assert(fleet.platform.violations().empty());
}

// The store answers a repeated (epoch, sequence number) with the first result, whichever process sends it. Two claims with
// the same numbers would therefore both succeed.
Test(ownership, onlyOneOfTwoConcurrentClaimsSucceeds)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.begin("entry-2", 22);
    fleet.platform.advance(seconds(1));
    const int owners = (fleet.sessions.at("entry-1")->active() ? 1 : 0) + (fleet.sessions.at("entry-2")->active() ? 1 : 0);
    cr_assert_eq(owners, 1);
}

// After all processes were restarted, several begin to claim within milliseconds of each other. Each further change of owner would
// poll all workers again and send the callers to yet another process.
Test(ownership, processThatBeganBeforeAnotherOneClaimedLeavesTheOwnershipToIt)
{
    for (milliseconds lead(0); lead <= milliseconds(20); lead += milliseconds(1)) {
        fleet_fixture fleet;
        fleet.begin("entry-1", 11);
        fleet.platform.advance(lead);
        fleet.begin("entry-2", 22);
        // The first read of the second process reaches the store after 2 ms and shows it an earlier claim.
        fleet.platform.advance(milliseconds(2));
        const bool alreadyClaimed = fleet.platform.linksOf("entry-1").appends > 0;
        fleet.platform.advance(seconds(1));
        const bool firstOwns = fleet.sessions.at("entry-1")->active();
        const bool secondOwns = fleet.sessions.at("entry-2")->active();
        cr_assert_eq(firstOwns, !alreadyClaimed, "lead %ld ms", static_cast<long>(lead.count()));
        cr_assert_eq(secondOwns, alreadyClaimed, "lead %ld ms", static_cast<long>(lead.count()));
    }
}

// The decision to claim was based on a ledger without an owner, however late the claim itself begins.
Test(ownership, processThatDecidedToClaimBeforeAnotherOneClaimedLeavesTheOwnershipToIt)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    fleet.begin("entry-2", 22, 0);
    fleet.platform.advance(seconds(1));
    cr_assert(fleet.sessions.at("entry-1")->active());
    cr_assert_not(fleet.sessions.at("entry-2")->active());
    cr_assert(fleet.events["entry-2"] == std::vector<session_event>{ session_event::claim_failed });
    fleet.begin("entry-3", 33, 1);
    fleet.platform.advance(seconds(1));
    cr_assert(fleet.sessions.at("entry-3")->active());
}

// A process that expects to replace the owner reads the store before it may claim.
Test(ownership, preparedProcessClaimsOnlyWhenAllowedAndKnowsWhatWasRecordedMeanwhile)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    owner_session &prepared = fleet.prepare("entry-2", 22);
    fleet.platform.advance(seconds(1));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    fleet.platform.advance(seconds(1));
    cr_assert(fleet.sessions.at("entry-1")->active());
    cr_assert(fleet.events["entry-2"].empty());
    prepared.allowClaim(1);
    fleet.platform.advance(milliseconds(20));
    cr_assert(prepared.active());
    cr_assert_eq(fleet.call("entry-2", "GET", QUEUE_PATH + FIRST_JOB), 200);
    fleet.platform.advance(seconds(2));
    cr_assert_eq(fleet.platform.doneRuns(), 4);
    cr_assert(fleet.platform.violations().empty());
}

// Another process may claim while this one is prepared.
Test(ownership, preparedProcessLeavesTheOwnershipToAnotherOneThatClaimed)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    owner_session &prepared = fleet.prepare("entry-2", 22);
    fleet.platform.advance(milliseconds(500));
    fleet.begin("entry-3", 33, 1);
    fleet.platform.advance(milliseconds(500));
    prepared.allowClaim(1);
    fleet.platform.advance(milliseconds(500));
    cr_assert_not(prepared.active());
    cr_assert(fleet.sessions.at("entry-3")->active());
}

namespace {

constexpr int RESTART_JOB_TASKS = 4;

// An idle worker has restarted under its id when a job of four tasks comes.
struct idle_restart_row
{
    const char *name;
    // When the worker's new report is published, after its restart.
    milliseconds listedAfter;
    milliseconds runTime;
    // The former incarnation has run tasks, so that its ends are numbered like those of the new one.
    bool usedBefore;
    // The owner is replaced this long after the job was accepted; 0 for never.
    milliseconds ownerReplacedAfter;
    // The owner cannot reach the worker from 300 ms after the job was accepted, for this long.
    milliseconds cutOffFor;
};

// Plays the row and reports what is wrong.
void playIdleRestart(const idle_restart_row &testCase)
{
    fleet_fixture fleet;
    fake_platform &platform = fleet.platform;
    platform.stopTime = milliseconds(300);
    platform.unlistWorker("worker-2");
    platform.addWorker("w3", "pool", WORKER_CAPACITY);
    platform.runTime = [&](const task_key &key) {
        return key.job == FIRST_JOB ? milliseconds(200) : testCase.runTime;
    };
    fleet.begin("entry-1", 11);
    platform.advance(seconds(1));
    if (testCase.usedBefore) {
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "16"), 200);
        platform.advance(seconds(3));
    }
    const int doneBefore = platform.doneRuns();
    for (const char *id : { "w1", "w3" }) {
        platform.restartWorker(id, testCase.listedAfter);
    }
    platform.advance(milliseconds(50));
    const std::string job = "00000000000000a2";
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + job, std::to_string(RESTART_JOB_TASKS)), 200, "%s", testCase.name);
    // From now on a task could run elsewhere.
    platform.listWorker("worker-2");
    std::string owner = "entry-1";
    if (testCase.ownerReplacedAfter.count() > 0) {
        platform.advance(testCase.ownerReplacedAfter);
        fleet.suspended.insert("entry-1");
        fleet.begin("entry-2", 22);
        owner = "entry-2";
    }
    if (testCase.cutOffFor.count() > 0) {
        platform.advance(milliseconds(200));
        platform.linksOf(owner).unreachableWorkers = { "w1", "w3" };
        platform.after(testCase.cutOffFor, [&platform, owner](instant) { platform.linksOf(owner).unreachableWorkers.clear(); });
    }
    platform.advance(seconds(30));
    const std::vector<std::string> &violations = platform.violations();
    cr_assert(violations.empty(), "%s: %s", testCase.name, violations.empty() ? "" : violations[0].c_str());
    cr_assert_eq(platform.doneRuns() - doneBefore, RESTART_JOB_TASKS, "%s: %d", testCase.name, platform.doneRuns() - doneBefore);
}

const idle_restart_row SEEN_RESTARTS[] = {
    { "a short task", milliseconds(250), milliseconds(1300), false, milliseconds(0), milliseconds(0) },
    { "a long task", milliseconds(250), milliseconds(5000), false, milliseconds(0), milliseconds(0) },
    { "a task that has ended when the report comes", milliseconds(250), milliseconds(60), false, milliseconds(0), milliseconds(0) },
    { "the report comes with the start", milliseconds(55), milliseconds(1300), false, milliseconds(0), milliseconds(0) },
    { "the owner is replaced after the starts", milliseconds(650), milliseconds(1300), false, milliseconds(20), milliseconds(0) },
};

const idle_restart_row UNSEEN_RESTARTS[] = {
    { "a long task", milliseconds(5000), milliseconds(5000), false, milliseconds(0), milliseconds(0) },
    { "a short task after others", milliseconds(5000), milliseconds(1300), true, milliseconds(0), milliseconds(0) },
    { "a very short task after others", milliseconds(5000), milliseconds(60), true, milliseconds(0), milliseconds(0) },
    { "the owner is replaced after the starts", milliseconds(5000), milliseconds(5000), true, milliseconds(100), milliseconds(0) },
    { "the worker can't be reached for a while", milliseconds(9000), milliseconds(5000), true, milliseconds(0), milliseconds(4500) },
};

} // namespace

ParameterizedTestParameters(ownership, taskRunsOnceOnAWorkerThatRestartedBeforeItsReportIsRead)
{
    return rowsOf(SEEN_RESTARTS);
}

// Guards against TWICE of review/3: the runs of a worker were taken for ended when the report of its restart came, though the restarted
// worker had accepted their starts.
ParameterizedTest(std::size_t *row, ownership, taskRunsOnceOnAWorkerThatRestartedBeforeItsReportIsRead)
{
    playIdleRestart(SEEN_RESTARTS[*row]);
}

ParameterizedTestParameters(ownership, taskRunsOnceOnAWorkerWhoseRestartOnlyItsAnswersShow)
{
    return rowsOf(UNSEEN_RESTARTS);
}

// Guards against TWICE of review/4: answers of the restarted worker were taken for silence, and its ends acknowledged by the numbers of the
// former incarnation.
ParameterizedTest(std::size_t *row, ownership, taskRunsOnceOnAWorkerWhoseRestartOnlyItsAnswersShow)
{
    playIdleRestart(UNSEEN_RESTARTS[*row]);
}

// Guards against TWICE: a worker restarts at any time while it runs tasks, and ends tasks of its own before the next poll, which
// acknowledged them by the numbers of the former incarnation.
Test(ownership, tasksRunOnceWheneverTheirWorkerRestartsUnseen)
{
    for (milliseconds at(0); at < milliseconds(1200); at += milliseconds(10)) {
        fleet_fixture fleet;
        fake_platform &platform = fleet.platform;
        platform.unlistWorker("worker-2");
        platform.runTime = [](const task_key &key) {
            return key.job == FIRST_JOB ? milliseconds(250) : milliseconds(20);
        };
        fleet.begin("entry-1", 11);
        platform.advance(seconds(1));
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "16"), 200);
        platform.advance(at);
        platform.restartWorker("w1", milliseconds(5000));
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + "00000000000000a2", "4"), 200);
        platform.advance(milliseconds(300));
        platform.listWorker("worker-2");
        platform.advance(seconds(12));
        const std::vector<std::string> &violations = platform.violations();
        cr_assert(violations.empty(), "restart after %ld ms: %s", static_cast<long>(at.count()), violations[0].c_str());
        const bool allDone = fleet.sessions.at("entry-1")->manager()->model().activeJobs().empty();
        cr_assert(allDone, "restart after %ld ms", static_cast<long>(at.count()));
    }
}

// Guards against TWICE: the former owner has started a task on a worker of whose restart it did not know, and its successor neither reaches
// the worker nor finds it listed.
Test(ownership, taskRunsOnceWhenOnlyTheFormerOwnerReachedItsRestartedWorker)
{
    fleet_fixture fleet;
    fake_platform &platform = fleet.platform;
    platform.unlistWorker("worker-2");
    platform.runTime = [](const task_key &) {
        return milliseconds(9000);
    };
    fleet.begin("entry-1", 11);
    platform.advance(seconds(1));
    platform.restartWorker("w1", milliseconds(20000));
    platform.advance(milliseconds(50));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "2"), 200);
    platform.unlistWorker("w1");
    platform.linksOf("entry-2").unreachableWorkers = { "w1" };
    fleet.suspended.insert("entry-1");
    fleet.begin("entry-2", 22);
    platform.listWorker("worker-2");
    platform.advance(seconds(40));
    const std::vector<std::string> &violations = platform.violations();
    cr_assert(violations.empty(), "%s", violations.empty() ? "" : violations[0].c_str());
    cr_assert(fleet.sessions.at("entry-2")->manager()->model().activeJobs().empty());
}

// Guards against TWICE of review/1: a worker lists 500 ends in an answer, and runs whose ends were further back were taken for gone.
Test(ownership, tasksWhoseEndsOneAnswerDoesNotListRunOnce)
{
    constexpr int TASKS = 1700;
    fleet_fixture fleet;
    fleet.platform.unlistWorker("w1");
    fleet.platform.unlistWorker("worker-2");
    fleet.platform.addWorker("w3", "pool", { TASKS * 1000, TASKS * 1000, 0 });
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(900);
    };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, std::to_string(TASKS)), 200);
    fleet.platform.advance(milliseconds(300));
    // The ends cannot be recorded, so they pile up on the worker.
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.after(seconds(3), [&fleet](instant) { fleet.platform.linksOf("entry-1").storeDown = false; });
    fleet.platform.advance(seconds(20));
    cr_assert(fleet.platform.violations().empty(), "%s", fleet.platform.violations().empty() ? "" : fleet.platform.violations()[0].c_str());
    cr_assert_eq(fleet.platform.doneRuns(), TASKS, "%d", fleet.platform.doneRuns());
    cr_assert_eq(fleet.call("entry-1", "GET", QUEUE_PATH + FIRST_JOB), 200);
}

// Guards against LOST: a job that a record of the store cannot hold stopped all recording, for the next owner as well.
Test(ownership, jobLargerThanARecordIsRefusedAndOthersGoOn)
{
    fleet_fixture fleet;
    fleet.platform.maxRecordBytes = manager_bounds().maxRecordBytes;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    job_request &large = fleet.platform.requests[FIRST_JOB];
    large.queue = "q";
    for (int i = 0; i < 13; ++i) {
        large.steps.emplace_back();
        large.steps.back().count = 10000;
    }
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "job:" + FIRST_JOB), 413);
    cr_assert_eq(fleet.call("entry-1", "GET", QUEUE_PATH + FIRST_JOB), 410);
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + "00000000000000a2", "12"), 200);
    fleet.platform.advance(seconds(3));
    cr_assert_eq(fleet.platform.doneRuns(), 12);
}

// The largest job that is accepted can still be recorded when all its tasks are assigned.
Test(ownership, largestAcceptedJobCompletes)
{
    fleet_fixture fleet;
    fleet.platform.maxRecordBytes = manager_bounds().maxRecordBytes;
    fleet.platform.addWorker("worker-with-a-rather-long-name-1", "pool", { 20000000, 20000000, 0 });
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    job_request request;
    request.steps.emplace_back();
    request.steps.back().count = 10000;
    const std::size_t most = manager_bounds().maxRecordBytes - 100;
    while (job::imageBytesAtMost(request) > most) {
        --request.steps.back().count;
    }
    const int count = request.steps.back().count;
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, std::to_string(count)), 200);
    fleet.platform.advance(seconds(20));
    cr_assert_eq(fleet.platform.doneRuns(), count, "%d of %d", fleet.platform.doneRuns(), count);
}

// Guards against MIXED of review/5: a job whose start a worker had refused counted as begun.
Test(ownership, jobWhoseStartsAreRefusedCountsAsPending)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    const job_manager &manager = *fleet.sessions.at("entry-1")->manager();
    for (const char *id : { "w1", "worker-2" }) {
        fleet.platform.workerNamed(id).refusesStarts = true;
    }
    for (const char *job : { "00000000000000a1", "00000000000000a2", "00000000000000a3" }) {
        fleet.platform.requests[job].queue = "q";
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + job, "2"), 200);
    }
    for (int i = 0; i < 50; ++i) {
        fleet.platform.advance(milliseconds(100));
        cr_assert_eq(manager.pendingJobCount("q"), 3, "%d pending", manager.pendingJobCount("q"));
    }
    for (const char *id : { "w1", "worker-2" }) {
        fleet.platform.workerNamed(id).refusesStarts = false;
    }
    fleet.platform.advance(seconds(3));
    cr_assert_eq(manager.pendingJobCount("q"), 0);
    cr_assert_eq(fleet.platform.doneRuns(), 6);
}

namespace {

struct unbegun_row
{
    const char *name;
    void (*prevent)(fleet_fixture &fleet);
    void (*allow)(fleet_fixture &fleet);
};

void forBothWorkers(fleet_fixture &fleet, void (*change)(fake_platform &platform, const std::string &worker))
{
    for (const char *id : { "w1", "worker-2" }) {
        change(fleet.platform, id);
    }
}

const unbegun_row UNBEGUN[] = {
    { "the workers have no room",
      [](fleet_fixture &fleet) {
          forBothWorkers(fleet, [](fake_platform &platform, const std::string &worker) { platform.workerNamed(worker).hasNoRoom = true; });
      },
      [](fleet_fixture &fleet) {
          forBothWorkers(fleet, [](fake_platform &platform, const std::string &worker) { platform.workerNamed(worker).hasNoRoom = false; });
      } },
    { "the workers do not answer",
      [](fleet_fixture &fleet) {
          fleet.platform.linksOf("entry-1").unreachableWorkers = { "w1", "worker-2" };
      },
      [](fleet_fixture &fleet) {
          fleet.platform.linksOf("entry-1").unreachableWorkers.clear();
      } },
    { "the workers have restarted, which no report shows yet",
      [](fleet_fixture &fleet) {
          forBothWorkers(fleet, [](fake_platform &platform, const std::string &worker) { platform.restartWorker(worker, seconds(60)); });
      },
      [](fleet_fixture &fleet) {
          forBothWorkers(fleet, [](fake_platform &platform, const std::string &worker) { platform.listWorker(worker); });
      } },
};

} // namespace

ParameterizedTestParameters(ownership, jobWhoseTasksDoNotBeginCountsAsPending)
{
    return rowsOf(UNBEGUN);
}

// Guards against MIXED of review/5 where starts fail otherwise than by a refusal.
ParameterizedTest(std::size_t *row, ownership, jobWhoseTasksDoNotBeginCountsAsPending)
{
    const unbegun_row &testCase = UNBEGUN[*row];
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    const job_manager &manager = *fleet.sessions.at("entry-1")->manager();
    testCase.prevent(fleet);
    for (const char *job : { "00000000000000a1", "00000000000000a2", "00000000000000a3" }) {
        job_request &request = fleet.platform.requests[job];
        request.queue = "q";
        request.steps.emplace_back();
        request.steps[0].count = 2;
        request.steps[0].estimated = milliseconds(200);
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + job, std::string("job:") + job), 200);
    }
    for (int i = 0; i < 50; ++i) {
        fleet.platform.advance(milliseconds(100));
        cr_assert_eq(manager.pendingJobCount("q"), 3, "%s: %d pending", testCase.name, manager.pendingJobCount("q"));
    }
    testCase.allow(fleet);
    fleet.platform.advance(seconds(8));
    cr_assert_eq(manager.pendingJobCount("q"), 0, "%s", testCase.name);
    cr_assert_eq(fleet.platform.doneRuns(), 6, "%s: %d", testCase.name, fleet.platform.doneRuns());
}

// A former owner that is partitioned from the store may still reach a worker that its successor cannot reach. The successor
// must not start that worker's tasks elsewhere while they still run.
Test(ownership, taskDoesNotRunTwiceWhenFormerOwnerAndWorkerArePartitioned)
{
    fleet_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return seconds(60);
    };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    cr_assert_eq(fleet.platform.runningTasks(), 4);
    const std::string busy = fleet.busyWorker();
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.linksOf("entry-2").unreachableWorkers.insert(busy);
    fleet.begin("entry-2", 22);
    fleet.platform.advance(seconds(30));
    cr_assert(fleet.platform.violations().empty(), "%s", fleet.platform.violations().empty() ? "" : fleet.platform.violations()[0].c_str());
    cr_assert_eq(fleet.platform.runningTasks(), 4);
}

// The same if the peers of the former owner confirm its ownership, because they do not know of the successor: it is on the smaller side of
// a partition.
Test(ownership, taskDoesNotRunTwiceWhilePeersConfirmTheFormerOwner)
{
    fleet_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return seconds(60);
    };
    fleet.takeOverIsKnown = false;
    fleet.begin("entry-1", 11).setPeerConfirmation([](instant) { return true; });
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    const std::string busy = fleet.busyWorker();
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.linksOf("entry-2").unreachableWorkers.insert(busy);
    fleet.begin("entry-2", 22);
    fleet.platform.advance(seconds(30));
    cr_assert(fleet.platform.violations().empty(), "%s", fleet.platform.violations().empty() ? "" : fleet.platform.violations()[0].c_str());
    cr_assert_eq(fleet.platform.runningTasks(), 4);
}

// The peers of the former owner hear of the successor after a while, and from then on do not confirm the former owner.
Test(ownership, tasksRestartSoonOnceMostPeersKnowOfTheTakeOver)
{
    fleet_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return seconds(600);
    };
    fleet.takeOverIsKnown = false;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    fleet.loseWorker(fleet.busyWorker());
    fleet.suspended.insert("entry-1");
    fleet.begin("entry-2", 22);
    fleet.platform.advance(seconds(6));
    cr_assert_eq(fleet.platform.runningTasks(), 0);
    fleet.takeOverIsKnown = true;
    fleet.platform.advance(seconds(5));
    cr_assert_eq(fleet.platform.runningTasks(), 4);
    cr_assert(fleet.platform.violations().empty());
}

ParameterizedTestParameters(ownership, completesEveryTaskExactlyOnceUnderFaults)
{
    return rowsOf(FAULTS);
}

ParameterizedTest(std::size_t *row, ownership, completesEveryTaskExactlyOnceUnderFaults)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "30"), 200);
    FAULTS[*row].inject(fleet);
    fleet.platform.advance(seconds(40));
    cr_assert(fleet.platform.violations().empty(), "%s: %s", FAULTS[*row].name,
              fleet.platform.violations().empty() ? "" : fleet.platform.violations()[0].c_str());
    const std::string owner = fleet.sessions.count("entry-2") > 0 ? "entry-2" : "entry-1";
    cr_assert(fleet.sessions.at(owner)->active(), "%s", FAULTS[*row].name);
    const job &done = fleet.sessions.at(owner)->manager()->model().jobs().at(FIRST_JOB);
    cr_assert_eq(done.state(), job_state::completed, "%s: %s", FAULTS[*row].name, std::string(nameOf(done.state())).c_str());
}

// The owner and a worker fail together, so the successor receives nothing from either. A long-running task must run again
// within seven seconds after that.
Test(ownership, restartsTasksOfAFailedWorkerSoonAfterTheOwnerFailedToo)
{
    fleet_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return seconds(600);
    };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    fleet.loseWorker(fleet.busyWorker());
    fleet.suspended.insert("entry-1");
    fleet.platform.advance(milliseconds(1300));
    fleet.begin("entry-2", 22);
    fleet.platform.advance(milliseconds(5700));
    cr_assert_eq(fleet.platform.runningTasks(), 4);
    cr_assert(fleet.platform.violations().empty());
}

// The platform fences orders for each host separately, so it would accept a former owner's first order for a host.
Test(ownership, ordersNoHostMovesWhilePartitionedFromTheStore)
{
    fleet_fixture fleet;
    fleet_config config = configWithOneQueue();
    config.version = 2;
    config.pools["pool"] = { "pool", true, false, {} };
    config.pools["off"] = { "off", true, true, {} };
    fleet.platform.setConfig(config);
    for (const char *worker : { "w1", "worker-2" }) {
        fleet.platform.hosts.push_back({ std::string("host-of-") + worker, "pool", host_condition::up, "a", {}, WORKER_CAPACITY, worker });
    }
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.advance(milliseconds(2100));
    const std::size_t before = fleet.platform.hostOrders.size();
    fleet.platform.advance(seconds(20));
    cr_assert_eq(fleet.platform.hostOrders.size(), before);
}

// A session that was discarded because of a higher epoch may still receive the result of its last append.
Test(ownership, deactivatedSessionSendsNoEvents)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    fleet.begin("entry-2", 22);
    fleet.platform.advance(milliseconds(100));
    fleet.sessions.at("entry-1")->deactivate();
    const std::size_t before = fleet.events["entry-1"].size();
    fleet.platform.advance(seconds(3));
    cr_assert(fleet.sessions.at("entry-2")->active());
    cr_assert_eq(fleet.events["entry-1"].size(), before);
}

// Under a high request rate an append is always in flight. Tasks must still be placed between two appends.
Test(ownership, placesTasksWhileJobsAreSubmittedContinuously)
{
    fleet_fixture fleet;
    fleet.platform.workerNamed("w1").report.capacity = { 1000000, 1000000, 0 };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    constexpr int JOBS = 400;
    for (int i = 0; i < JOBS; ++i) {
        const std::string id = "00000000000" + std::to_string(10000 + i);
        fleet.sessions.at("entry-1")->handle({ "POST", "h", QUEUE_PATH + id, {}, "1" }, fleet.platform.now(), [](const http_reply &) {});
        fleet.platform.advance(milliseconds(2));
    }
    const int starts = fleet.platform.workerNamed("w1").starts + fleet.platform.workerNamed("worker-2").starts;
    cr_assert(starts > JOBS * 9 / 10, "%d of %d", starts, JOBS);
}

// Ended runs whose records are pending must not prevent lease renewals for the other runs of the worker.
Test(ownership, renewsLeasesWhileEndedRunsCannotBeRecorded)
{
    fleet_fixture fleet;
    fleet.platform.runTime = [](const task_key &key) {
        return key.index == 0 ? milliseconds(300) : milliseconds(7000);
    };
    fleet.begin("entry-1", 11).setPeerConfirmation([](instant) { return true; });
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.advance(milliseconds(5500));
    fleet.platform.linksOf("entry-1").storeDown = false;
    fleet.platform.advance(seconds(4));
    const int starts = fleet.platform.workerNamed("w1").starts + fleet.platform.workerNamed("worker-2").starts;
    cr_assert_eq(starts, 4, "%d", starts);
    cr_assert_eq(fleet.platform.doneRuns(), 4);
}

// A job whose tasks always fail does so on every worker. Its failures must not make the scheduler avoid these workers for
// other jobs.
Test(ownership, jobThatAlwaysFailsDoesNotMakeWorkersAvoided)
{
    fleet_fixture fleet;
    const std::string alwaysFailing = "00000000000000b0";
    fleet.platform.alwaysFails = [&](const task_key &key) {
        return key.job == alwaysFailing;
    };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + alwaysFailing, "16"), 200);
    fleet.platform.advance(milliseconds(900));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "16"), 200);
    fleet.platform.advance(milliseconds(700));
    cr_assert_eq(fleet.platform.doneRuns(), 16, "%d", fleet.platform.doneRuns());
}

// The runs that fail on one of them run on the other one next.
Test(ownership, jobsSucceedAlthoughTwoOfTheirWorkersFailAllRuns)
{
    fleet_fixture fleet;
    for (const char *id : { "worker-03", "worker-004", "worker-0005", "worker-00006" }) {
        fleet.platform.addWorker(id, "pool", WORKER_CAPACITY);
    }
    fleet.platform.workerNamed("w1").failsAllRuns = true;
    fleet.platform.workerNamed("worker-2").failsAllRuns = true;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    constexpr int JOBS = 24;
    for (int i = 0; i < JOBS; ++i) {
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + "00000000000" + std::to_string(10000 + i), "6"), 200);
    }
    fleet.platform.advance(seconds(4));
    int completed = 0;
    for (const auto &[id, entry] : fleet.sessions.at("entry-1")->manager()->model().jobs()) {
        completed += entry.state() == job_state::completed ? 1 : 0;
    }
    cr_assert_eq(completed, JOBS, "%d of %d", completed, JOBS);
}

// Jobs that cannot succeed fail wherever they run, so they say nothing about the workers.
Test(ownership, taskRunsSoonAlthoughSeveralJobsFailOnAllWorkersOfItsPool)
{
    fleet_fixture fleet;
    fleet.platform.alwaysFails = [&](const task_key &key) {
        return key.job != FIRST_JOB;
    };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    for (const char *id : { "00000000000000b0", "00000000000000b1", "00000000000000b2", "00000000000000b3" }) {
        cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + id, "8"), 200);
    }
    fleet.platform.advance(milliseconds(900));
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    fleet.platform.advance(milliseconds(2500));
    cr_assert_eq(fleet.platform.doneRuns(), 4, "%d", fleet.platform.doneRuns());
}

// One team submits many times more than the others. Its burst of short jobs must not delay a job of another team.
Test(ownership, burstOfOneTeamDoesNotDelayOtherTeams)
{
    fleet_fixture fleet;
    fleet_config config = configWithOneQueue();
    config.version = 2;
    config.queues[0].allowsAnonymous = false;
    config.teams["hot"] = { "hot", 1, {} };
    config.teams["calm"] = { "calm", 1, {} };
    config.keys = { { "hot-key", "hot" }, { "calm-key", "calm" } };
    fleet.platform.setConfig(config);
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(400);
    };
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    const auto submit = [&](const std::string &id, const char *key, const char *tasks) {
        fleet.sessions.at("entry-1")->handle({ "POST", "h", QUEUE_PATH + id, key, tasks }, fleet.platform.now(), [](const http_reply &) {});
    };
    constexpr int BURST_JOBS = 60;
    for (int i = 0; i < BURST_JOBS; ++i) {
        submit("00000000000" + std::to_string(10000 + i), "hot-key", "2");
    }
    fleet.platform.advance(milliseconds(200));
    submit(FIRST_JOB, "calm-key", "8");
    fleet.platform.advance(milliseconds(1300));
    std::optional<job_state> state;
    fleet.sessions.at("entry-1")->handle({ "GET", "h", QUEUE_PATH + FIRST_JOB, "calm-key", {} }, fleet.platform.now(),
                                         [&](const http_reply &reply) { state = valueOf<job_state>(reply.body); });
    fleet.platform.advance(milliseconds(50));
    cr_assert(state == job_state::completed);
}

// Missing responses to start orders may be caused by the network. A worker that responds to polls must get new tasks soon
// afterwards.
Test(ownership, unansweredStartsDoNotExcludeAWorkerForLong)
{
    fleet_fixture fleet;
    fleet.platform.unlistWorker("worker-2");
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    fleet.platform.linksOf("entry-1").startDelay = seconds(3);
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "2"), 200);
    fleet.platform.advance(milliseconds(900));
    fleet.platform.linksOf("entry-1").startDelay = milliseconds(0);
    fleet.platform.advance(milliseconds(400));
    const int before = fleet.platform.doneRuns();
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + "00000000000000a2", "4"), 200);
    fleet.platform.advance(milliseconds(800));
    cr_assert_geq(fleet.platform.doneRuns() - before, 4, "%d", fleet.platform.doneRuns() - before);
}

// A former owner that has not yet detected its replacement must not report a job as missing that its successor accepted.
Test(ownership, formerOwnerDoesNotReportJobsOfItsSuccessorAsMissing)
{
    fleet_fixture fleet;
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.advance(milliseconds(1100));
    fleet.begin("entry-2", 22);
    fleet.platform.advance(milliseconds(200));
    cr_assert_eq(fleet.call("entry-2", "POST", QUEUE_PATH + FIRST_JOB, "1"), 200);
    cr_assert_eq(fleet.call("entry-2", "GET", QUEUE_PATH + FIRST_JOB), 200);
    cr_assert_eq(fleet.call("entry-1", "GET", QUEUE_PATH + FIRST_JOB), 503);
}

// An entry that cannot be read must not keep every process from owning the jobs, one after the other.
Test(ownership, isClaimedDespiteUnreadableEntriesInTheLedger)
{
    const std::string unreadable = "\xff\xff\xff";
    fleet_fixture fleet;
    for (const char *key : { "wave/x", "wave/", "wave/99999999999999999999999", "job/a", "host/h", "owner/current", "other", "" }) {
        fleet.platform.clientsOf("operator").feeds.put(feed::ledger, { key, unreadable }, [](const ledger_append_result &, instant) {});
    }
    fleet.platform.advance(milliseconds(100));
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert(fleet.sessions.at("entry-1")->active());
    cr_assert_eq(fleet.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "2"), 200);
}

// An earlier version may have noted the end of one member and then lost the others.
Test(ownership, completesAJobWhoseGangHasOneMemberThatIsDone)
{
    job_request request;
    request.id = FIRST_JOB;
    request.queue = configWithOneQueue().queues[0].name;
    step_spec step;
    step.count = 2;
    step.taskResources = { 1000, 1000, 0 };
    step.gang = true;
    request.steps.push_back(step);
    wire::job_image image = job::accept(request, 0).toImage();
    image.set_state(static_cast<std::uint32_t>(job_state::running));
    image.mutable_occurrences(0)->mutable_tasks(0)->set_phase(static_cast<std::uint32_t>(task_phase::done));
    fleet_fixture fleet;
    const auto ignore = [](const ledger_append_result &, instant) {
    };
    fleet.platform.clientsOf("operator").feeds.put(feed::ledger, { "job/" + FIRST_JOB, image.SerializeAsString() }, ignore);
    fleet.platform.advance(milliseconds(100));
    fleet.begin("entry-1", 11);
    fleet.platform.advance(milliseconds(500));
    cr_assert(fleet.sessions.at("entry-1")->active());
    cr_assert_eq(fleet.log.events["job-changed"], 1, "the job has ended");
    cr_assert_eq(fleet.log.events["start"], 0, "nothing was started");
}

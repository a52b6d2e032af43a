#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_SIZE{ 8000, 16000, 0 };
const std::string FIRST_JOB = "00000000000000a1";
const std::string QUEUE_PATH = "/q/";

fleet_config configWithOneQueue()
{
    fleet_config config;
    config.version = 1;
    queue_config queue;
    queue.name = "q";
    queue.host = "h";
    queue.pathPrefix = QUEUE_PATH;
    queue.pool = "pool";
    queue.maxAttempts = 3;
    queue.allowsAnonymous = true;
    config.queues.push_back(queue);
    return config;
}

// A fleet with one pool and processes that may own its jobs.
struct fleet
{
    fleet()
    {
        platform.setConfig(configWithOneQueue());
        platform.addWorker("w1", "pool", WORKER_SIZE);
        platform.addWorker("worker-2", "pool", WORKER_SIZE);
    }

    owner_session &begin(const std::string &process, std::uint64_t incarnation)
    {
        manager_settings settings;
        settings.node = process;
        sessions[process] = std::make_unique<owner_session>(platform.clientsOf(process), platform, log, settings,
                                                            process_identity{ process, incarnation }, [this] { return platform.wall(); });
        sessions[process]->begin([this, process](session_event event, instant) { events[process].push_back(event); });
        tickForever(process);
        return *sessions[process];
    }

    void tickForever(const std::string &process)
    {
        platform.after(milliseconds(25), [this, process](instant now) {
            if (frozen.count(process) == 0) {
                sessions.at(process)->tick(now);
            }
            tickForever(process);
        });
    }

    // Sends the call and returns the status of the answer, 0 for none within the time.
    int call(const std::string &process, const std::string &method, const std::string &path, const std::string &body = {})
    {
        const auto status = std::make_shared<int>(0);
        sessions.at(process)->handle({ method, "h", path, {}, body }, platform.now(),
                                     [status](const http_reply &reply) { *status = reply.status; });
        platform.advance(milliseconds(100));
        return *status;
    }

    fake_platform platform;
    counting_log log;
    std::map<std::string, std::unique_ptr<owner_session>> sessions;
    std::map<std::string, std::vector<session_event>> events;
    std::set<std::string> frozen;
};

struct harm_row
{
    const char *name;
    void (*harm)(fleet &item);
};

// What may happen to the owner or its workers 40 ms after a job of 30 tasks was accepted.
const harm_row HARMS[] = {
    { "nothing",
      [](fleet &) {
      } },
    { "answers of the store are lost for a while",
      [](fleet &item) {
          item.platform.linksOf("entry-1").storeAnswersLost = true;
          item.platform.after(seconds(2), [&item](instant) { item.platform.linksOf("entry-1").storeAnswersLost = false; });
      } },
    { "the store is away for a while",
      [](fleet &item) {
          item.platform.linksOf("entry-1").storeDown = true;
          item.platform.after(seconds(3), [&item](instant) { item.platform.linksOf("entry-1").storeDown = false; });
      } },
    { "another process takes over",
      [](fleet &item) {
          item.begin("entry-2", 22);
      } },
    { "the owner freezes and another process takes over",
      [](fleet &item) {
          item.frozen.insert("entry-1");
          item.begin("entry-2", 22);
          item.platform.after(seconds(5), [&item](instant) { item.frozen.clear(); });
      } },
    { "a worker starts another life",
      [](fleet &item) {
          item.platform.after(milliseconds(100), [&item](instant) { item.platform.restartWorker("w1"); });
      } },
    { "starts are carried out three seconds late and not answered",
      [](fleet &item) {
          item.platform.linksOf("entry-1").startsLate = seconds(3);
          item.platform.after(seconds(1), [&item](instant) { item.platform.linksOf("entry-1").startsLate = milliseconds(0); });
      } },
    { "a worker cannot be reached for a while",
      [](fleet &item) {
          item.platform.linksOf("entry-1").unreachableWorkers.insert("w1");
          item.platform.after(seconds(8), [&item](instant) { item.platform.linksOf("entry-1").unreachableWorkers.clear(); });
      } },
};

} // namespace

Test(ownership, aJobIsAcceptedRunAndShownAsCompleted)
{
    fleet item;
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "12"), 200);
    item.platform.advance(seconds(2));
    cr_assert_eq(item.platform.doneRuns(), 12);
    cr_assert(item.platform.violations().empty());
}

// The store answers a repeat of (epoch, number) with the first answer, whoever sends it.
Test(ownership, ofTwoProcessesThatClaimAtOnceOneOwns)
{
    fleet item;
    item.begin("entry-1", 11);
    item.begin("entry-2", 22);
    item.platform.advance(seconds(1));
    const int owners = (item.sessions.at("entry-1")->active() ? 1 : 0) + (item.sessions.at("entry-2")->active() ? 1 : 0);
    cr_assert_eq(owners, 1);
}

// A former owner that is cut off from the store goes on reaching workers that its successor does not reach.
Test(ownership, aTaskDoesNotRunTwiceWhenTheFormerOwnerIsCutOffWithItsWorker)
{
    fleet item;
    item.platform.runTime = [](const task_key &) {
        return seconds(60);
    };
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    cr_assert_eq(item.platform.runningTasks(), 4);
    const std::string busy = item.platform.workerNamed("w1").running.empty() ? "worker-2" : "w1";
    item.platform.linksOf("entry-1").storeDown = true;
    item.platform.linksOf("entry-2").unreachableWorkers.insert(busy);
    item.begin("entry-2", 22);
    item.platform.advance(seconds(30));
    cr_assert(item.platform.violations().empty(), "%s", item.platform.violations().empty() ? "" : item.platform.violations()[0].c_str());
    cr_assert_eq(item.platform.runningTasks(), 4);
}

ParameterizedTestParameters(ownership, everyTaskEndsOnceWhatever)
{
    return rowsOf(HARMS);
}

ParameterizedTest(std::size_t *row, ownership, everyTaskEndsOnceWhatever)
{
    fleet item;
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "30"), 200);
    HARMS[*row].harm(item);
    item.platform.advance(seconds(40));
    cr_assert(item.platform.violations().empty(), "%s: %s", HARMS[*row].name,
              item.platform.violations().empty() ? "" : item.platform.violations()[0].c_str());
    const std::string owner = item.sessions.count("entry-2") > 0 ? "entry-2" : "entry-1";
    cr_assert(item.sessions.at(owner)->active(), "%s", HARMS[*row].name);
    const job &done = item.sessions.at(owner)->manager()->model().jobs().at(FIRST_JOB);
    cr_assert_eq(done.state(), job_state::completed, "%s: %s", HARMS[*row].name, std::string(nameOf(done.state())).c_str());
}

// The worker and the owner are lost together, so that the successor hears of neither. Calm for seven seconds, a task
// that lasts has to run again.
Test(ownership, aTaskOfALostWorkerRunsAgainSoonAfterItsOwnerWasLostToo)
{
    fleet item;
    item.platform.runTime = [](const task_key &) {
        return seconds(600);
    };
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    const std::string busy = item.platform.workerNamed("w1").running.empty() ? "worker-2" : "w1";
    item.platform.workerNamed(busy).alive = false;
    item.platform.workerNamed(busy).running.clear();
    item.platform.clearRunningOn(busy);
    item.frozen.insert("entry-1");
    item.platform.advance(milliseconds(1300));
    item.begin("entry-2", 22);
    item.platform.advance(milliseconds(5700));
    cr_assert_eq(item.platform.runningTasks(), 4);
    cr_assert(item.platform.violations().empty());
}

// The platform fences orders for each host by itself, so that a former owner's first order for a host passes.
Test(ownership, anOwnerThatIsCutOffFromTheStoreOrdersNoMoves)
{
    fleet item;
    fleet_config config = configWithOneQueue();
    config.version = 2;
    config.pools["pool"] = { "pool", true, false, {} };
    config.pools["off"] = { "off", true, true, {} };
    item.platform.setConfig(config);
    for (const char *worker : { "w1", "worker-2" }) {
        item.platform.hosts.push_back({ std::string("host-of-") + worker, "pool", host_condition::up, "a", {}, WORKER_SIZE, worker });
    }
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    item.platform.linksOf("entry-1").storeDown = true;
    item.platform.advance(milliseconds(2100));
    const std::size_t before = item.platform.hostOrders.size();
    item.platform.advance(seconds(20));
    cr_assert_eq(item.platform.hostOrders.size(), before);
}

// A session that was dropped for a higher epoch may still get the answer of its last append.
Test(ownership, aRetiredSessionTellsNothingMore)
{
    fleet item;
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    item.begin("entry-2", 22);
    item.platform.advance(milliseconds(100));
    item.sessions.at("entry-1")->deactivate();
    const std::size_t before = item.events["entry-1"].size();
    item.platform.advance(seconds(3));
    cr_assert(item.sessions.at("entry-2")->active());
    cr_assert_eq(item.events["entry-1"].size(), before);
}

// Under a dense load some append is always on its way. Tasks have to be placed between two appends all the same.
Test(ownership, placesTasksWhileJobsKeepComing)
{
    fleet item;
    item.platform.workerNamed("w1").report.capacity = { 1000000, 1000000, 0 };
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    constexpr int JOBS = 400;
    for (int i = 0; i < JOBS; ++i) {
        const std::string id = "00000000000" + std::to_string(10000 + i);
        item.sessions.at("entry-1")->handle({ "POST", "h", QUEUE_PATH + id, {}, "1" }, item.platform.now(), [](const http_reply &) {});
        item.platform.advance(milliseconds(2));
    }
    const int starts = item.platform.workerNamed("w1").starts + item.platform.workerNamed("worker-2").starts;
    cr_assert(starts > JOBS * 9 / 10, "%d of %d", starts, JOBS);
}

// Ends that wait for their record must not cost the other runs of the worker their leases.
Test(ownership, renewsLeasesWhileEndsCannotBeRecorded)
{
    fleet item;
    item.platform.runTime = [](const task_key &key) {
        return key.index == 0 ? milliseconds(300) : milliseconds(7000);
    };
    item.begin("entry-1", 11).setPeerConfirmation([](instant) { return true; });
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "4"), 200);
    item.platform.linksOf("entry-1").storeDown = true;
    item.platform.advance(milliseconds(5500));
    item.platform.linksOf("entry-1").storeDown = false;
    item.platform.advance(seconds(4));
    const int starts = item.platform.workerNamed("w1").starts + item.platform.workerNamed("worker-2").starts;
    cr_assert_eq(starts, 4, "%d", starts);
    cr_assert_eq(item.platform.doneRuns(), 4);
}

// A job that cannot be done fails everywhere. What it leaves behind must not keep other jobs from the workers.
Test(ownership, aHopelessJobDoesNotMakeWorkersAvoided)
{
    fleet item;
    const std::string hopeless = "00000000000000b0";
    item.platform.hopeless = [&](const task_key &key) {
        return key.job == hopeless;
    };
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + hopeless, "16"), 200);
    item.platform.advance(milliseconds(900));
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "16"), 200);
    item.platform.advance(milliseconds(700));
    cr_assert_eq(item.platform.doneRuns(), 16, "%d", item.platform.doneRuns());
}

// One team hands in many times more than the others. Its flood of short jobs must not keep a job of another team waiting.
Test(ownership, aFloodOfOneTeamDoesNotDelayTheOthers)
{
    fleet item;
    fleet_config config = configWithOneQueue();
    config.version = 2;
    config.queues[0].allowsAnonymous = false;
    config.teams["hot"] = { "hot", 1, {} };
    config.teams["calm"] = { "calm", 1, {} };
    config.keys = { { "hot-key", "hot" }, { "calm-key", "calm" } };
    item.platform.setConfig(config);
    item.platform.runTime = [](const task_key &) {
        return milliseconds(400);
    };
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    const auto submit = [&](const std::string &id, const char *key, const char *tasks) {
        item.sessions.at("entry-1")->handle({ "POST", "h", QUEUE_PATH + id, key, tasks }, item.platform.now(), [](const http_reply &) {});
    };
    constexpr int FLOOD = 60;
    for (int i = 0; i < FLOOD; ++i) {
        submit("00000000000" + std::to_string(10000 + i), "hot-key", "2");
    }
    item.platform.advance(milliseconds(200));
    submit(FIRST_JOB, "calm-key", "8");
    item.platform.advance(milliseconds(1300));
    std::optional<job_state> state;
    item.sessions.at("entry-1")->handle({ "GET", "h", QUEUE_PATH + FIRST_JOB, "calm-key", {} }, item.platform.now(),
                                        [&](const http_reply &reply) { state = valueOf<job_state>(reply.body); });
    item.platform.advance(milliseconds(50));
    cr_assert(state == job_state::completed);
}

// Orders that are not answered may be the network's fault. A worker that answers looks takes new work soon afterwards.
Test(ownership, unansweredStartsDoNotKeepAWorkerAvoidedForLong)
{
    fleet item;
    item.platform.unlistWorker("worker-2");
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    item.platform.linksOf("entry-1").startsLate = seconds(3);
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + FIRST_JOB, "2"), 200);
    item.platform.advance(milliseconds(900));
    item.platform.linksOf("entry-1").startsLate = milliseconds(0);
    item.platform.advance(milliseconds(400));
    const int before = item.platform.doneRuns();
    cr_assert_eq(item.call("entry-1", "POST", QUEUE_PATH + "00000000000000a2", "4"), 200);
    item.platform.advance(milliseconds(800));
    cr_assert_geq(item.platform.doneRuns() - before, 4, "%d", item.platform.doneRuns() - before);
}

// A former owner that does not know yet that it was replaced must not deny what its successor has accepted.
Test(ownership, aFormerOwnerDoesNotDenyJobsOfItsSuccessor)
{
    fleet item;
    item.begin("entry-1", 11);
    item.platform.advance(milliseconds(500));
    item.platform.linksOf("entry-1").storeDown = true;
    item.platform.advance(milliseconds(1100));
    item.begin("entry-2", 22);
    item.platform.advance(milliseconds(200));
    cr_assert_eq(item.call("entry-2", "POST", QUEUE_PATH + FIRST_JOB, "1"), 200);
    cr_assert_eq(item.call("entry-2", "GET", QUEUE_PATH + FIRST_JOB), 200);
    cr_assert_eq(item.call("entry-1", "GET", QUEUE_PATH + FIRST_JOB), 503);
}

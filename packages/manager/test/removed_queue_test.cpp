#include "fake_platform.h"
#include <criterion/criterion.h>

namespace {

using namespace jujubespool;

const std::string JOB = "00000000000000a1";
const std::string OTHER_PATH = "/other/";
const std::string QUEUE_KEY = "queue/q";

// A fleet with one worker for four tasks, the queue "q" of QUEUE_PATH and the queue "other", which stays configured.
struct removed_queue_fixture
{
    removed_queue_fixture()
    {
        config = configWithOneQueue();
        queue_config other = config.queues[0];
        other.name = "other";
        other.pathPrefix = OTHER_PATH;
        config.queues.push_back(other);
        platform.setConfig(config);
        platform.addWorker("w1", "pool", { 4000, 16000, 0 });
    }

    // Lets the process take over from the last one, which ends without handing over.
    void own(const std::string &process, std::uint64_t incarnation)
    {
        manager_settings settings;
        settings.node = process;
        sessions.push_back(std::make_unique<owner_session>(platform.clientsOf(process), platform, log, settings,
                                                           process_identity{ process, incarnation }, [this] { return platform.wall(); }));
        owner = sessions.size() - 1;
        sessions.back()->setTakeOverCheck([] { return true; });
        sessions.back()->begin([](session_event, instant) {}, {});
        scheduleTicks(owner);
        platform.advance(milliseconds(500));
        cr_assert(sessions.back()->active());
    }

    void scheduleTicks(std::size_t session)
    {
        platform.after(milliseconds(25), [this, session](instant now) {
            if (session == owner) {
                sessions[session]->tick(now);
                scheduleTicks(session);
            }
        });
    }

    http_reply call(const std::string &method, const std::string &path, const std::string &body = {})
    {
        const auto answer = std::make_shared<http_reply>();
        sessions[owner]->handle({ method, "h", path, {}, body }, platform.now(), [answer](const http_reply &reply) { *answer = reply; });
        platform.advance(milliseconds(100));
        return *answer;
    }

    void submit(const std::string &id, const std::string &tasks)
    {
        cr_assert_eq(call("POST", QUEUE_PATH + id, tasks).status, 200);
    }

    void setConfig(const std::function<void(fleet_config &config)> &change)
    {
        ++config.version;
        change(config);
        platform.setConfig(config);
        platform.advance(milliseconds(900));
    }

    void removeQueue()
    {
        setConfig([](fleet_config &changed) { changed.queues.erase(changed.queues.begin()); });
    }

    std::vector<ledger_entry> ledgerRecords(const std::string &key)
    {
        std::vector<ledger_entry> found;
        platform.clientsOf("reader").feeds.read(feed::ledger, 0, milliseconds(0), [&](const feed_page &page, instant) {
            for (const ledger_entry &entry : page.entries) {
                if (entry.key == key) {
                    found.push_back(entry);
                }
            }
        });
        platform.advance(milliseconds(10));
        return found;
    }

    void putInLedger(const ledger_entry &entry)
    {
        platform.clientsOf("reader").feeds.put(feed::ledger, entry, [](const ledger_append_result &, instant) {});
        platform.advance(milliseconds(10));
    }

    fake_platform platform;
    counting_log log;
    fleet_config config;
    std::vector<std::unique_ptr<owner_session>> sessions;
    std::size_t owner = 0;
};

} // namespace

Test(removed_queue, acceptedJobIsFinishedByTheNextOwner)
{
    removed_queue_fixture fleet;
    fleet.own("entry-1", 11);
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(1500);
    };
    fleet.submit(JOB, "12");
    fleet.removeQueue();
    fleet.own("entry-2", 22);
    fleet.platform.advance(seconds(20));
    cr_assert_eq(fleet.platform.doneRuns(), 12, "%d of 12 tasks done", fleet.platform.doneRuns());
    cr_assert_str_eq(fleet.call("GET", OTHER_PATH + JOB).body.c_str(), "completed");
    cr_assert(fleet.platform.violations().empty());
}

Test(removed_queue, acceptedJobIsFinishedAfterTwoChangesOfOwner)
{
    removed_queue_fixture fleet;
    fleet.own("entry-1", 11);
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(2500);
    };
    fleet.submit(JOB, "12");
    fleet.removeQueue();
    fleet.own("entry-2", 22);
    fleet.own("entry-3", 33);
    fleet.platform.advance(seconds(30));
    cr_assert_eq(fleet.platform.doneRuns(), 12, "%d of 12 tasks done", fleet.platform.doneRuns());
}

// The number of attempts is part of what a job needs of its queue.
Test(removed_queue, jobFailsAfterTheAttemptsOfItsQueueUnderTheNextOwner)
{
    removed_queue_fixture fleet;
    fleet.setConfig([](fleet_config &changed) { changed.queues[0].maxAttempts = 5; });
    fleet.platform.alwaysFails = [](const task_key &) {
        return true;
    };
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(2000);
    };
    fleet.own("entry-1", 11);
    fleet.submit(JOB, "1");
    fleet.removeQueue();
    fleet.own("entry-2", 22);
    fleet.platform.advance(seconds(40));
    cr_assert_str_eq(fleet.call("GET", OTHER_PATH + JOB).body.c_str(), "failed");
    cr_assert_eq(fleet.platform.workerNamed("w1").starts, 5, "%d starts", fleet.platform.workerNamed("w1").starts);
}

Test(removed_queue, queueIsDurableWhenTheFirstJobIsAccepted)
{
    removed_queue_fixture fleet;
    fleet.own("entry-1", 11);
    cr_assert_eq(fleet.ledgerRecords(QUEUE_KEY).size(), 0U, "written for a queue without jobs");
    fleet.submit(JOB, "1");
    cr_assert_eq(fleet.ledgerRecords(QUEUE_KEY).size(), 1U);
    cr_assert_eq(fleet.ledgerRecords("queue/other").size(), 0U, "written for a queue without jobs");
}

Test(removed_queue, queueIsWrittenOnceForManyJobsAndOwners)
{
    removed_queue_fixture fleet;
    fleet.own("entry-1", 11);
    for (int i = 0; i < 20; ++i) {
        fleet.submit("00000000000000" + std::to_string(10 + i), "1");
        fleet.platform.advance(milliseconds(600));
    }
    fleet.setConfig([](fleet_config &changed) { changed.queues[1].priority = 3; });
    fleet.own("entry-2", 22);
    fleet.submit(JOB, "1");
    cr_assert_eq(fleet.ledgerRecords(QUEUE_KEY).size(), 1U, "%zu records", fleet.ledgerRecords(QUEUE_KEY).size());
}

Test(removed_queue, queueIsWrittenAgainOnlyWhenItChangesWhileItHasJobs)
{
    removed_queue_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(5000);
    };
    fleet.own("entry-1", 11);
    fleet.submit(JOB, "1");
    fleet.setConfig([](fleet_config &changed) { changed.queues[0].priority = 2; });
    cr_assert_eq(fleet.ledgerRecords(QUEUE_KEY).size(), 2U);
    fleet.platform.advance(seconds(8));
    fleet.setConfig([](fleet_config &changed) { changed.queues[0].priority = 1; });
    cr_assert_eq(fleet.ledgerRecords(QUEUE_KEY).size(), 2U, "written for a queue without jobs");
}

Test(removed_queue, entryIsRemovedWhenNoJobNeedsIt)
{
    removed_queue_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(4000);
    };
    fleet.own("entry-1", 11);
    fleet.submit(JOB, "1");
    fleet.removeQueue();
    cr_assert_eq(fleet.ledgerRecords(QUEUE_KEY).size(), 1U);
    fleet.own("entry-2", 22);
    fleet.platform.advance(seconds(8));
    const std::vector<ledger_entry> records = fleet.ledgerRecords(QUEUE_KEY);
    cr_assert_eq(records.size(), 2U, "%zu records", records.size());
    cr_assert_not(records.back().value.has_value());
}

// A ledger that was written by an earlier version has no such entries.
Test(removed_queue, ledgerWithoutTheEntryIsTakenOverAndGetsIt)
{
    removed_queue_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(3000);
    };
    fleet.own("entry-1", 11);
    fleet.submit(JOB, "8");
    fleet.putInLedger({ QUEUE_KEY, std::nullopt });
    fleet.own("entry-2", 22);
    cr_assert(fleet.ledgerRecords(QUEUE_KEY).back().value.has_value());
    fleet.removeQueue();
    fleet.own("entry-3", 33);
    fleet.platform.advance(seconds(20));
    cr_assert_eq(fleet.platform.doneRuns(), 8, "%d of 8 tasks done", fleet.platform.doneRuns());
}

Test(removed_queue, unreadableEntryIsReplaced)
{
    removed_queue_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(3000);
    };
    fleet.own("entry-1", 11);
    fleet.submit(JOB, "1");
    fleet.putInLedger({ QUEUE_KEY, "\xff\xff\xff" });
    fleet.putInLedger({ "queue/", "" });
    fleet.own("entry-2", 22);
    cr_assert_eq(fleet.log.events["ledger-entry-unreadable"], 2, "%d", fleet.log.events["ledger-entry-unreadable"]);
    cr_assert_neq(fleet.ledgerRecords(QUEUE_KEY).back().value.value(), "\xff\xff\xff");
}

Test(removed_queue, jobOfAQueueThatIsKnownNowhereIsLogged)
{
    removed_queue_fixture fleet;
    fleet.platform.runTime = [](const task_key &) {
        return milliseconds(3000);
    };
    fleet.own("entry-1", 11);
    fleet.submit(JOB, "8");
    fleet.removeQueue();
    fleet.putInLedger({ QUEUE_KEY, std::nullopt });
    fleet.own("entry-2", 22);
    cr_assert_eq(fleet.log.events["queue-unknown"], 1, "%d", fleet.log.events["queue-unknown"]);
}

// A team whose configuration was removed has no limit; its accepted jobs still run under the next owner.
Test(removed_queue, jobOfARemovedTeamIsFinishedByTheNextOwner)
{
    removed_queue_fixture fleet;
    fleet.setConfig([](fleet_config &changed) {
        changed.teams["team"] = { "team", 1, { 2000, 0, 0 } };
        changed.keys = { { "key", "team" } };
    });
    fleet.own("entry-1", 11);
    const auto status = std::make_shared<int>(0);
    fleet.sessions[0]->handle({ "POST", "h", QUEUE_PATH + JOB, "key", "12" }, fleet.platform.now(),
                              [status](const http_reply &reply) { *status = reply.status; });
    fleet.platform.advance(milliseconds(100));
    cr_assert_eq(*status, 200);
    fleet.setConfig([](fleet_config &changed) {
        changed.teams.clear();
        changed.keys.clear();
    });
    fleet.own("entry-2", 22);
    fleet.platform.advance(seconds(20));
    cr_assert_eq(fleet.platform.doneRuns(), 12, "%d of 12 tasks done", fleet.platform.doneRuns());
}

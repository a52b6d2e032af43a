// Plays an outage of the store and counts what callers get when the store answers again.
#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/order_relay.h>
#include <jujubespool/manager/relay_executor.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
constexpr std::uint64_t OWNER = 11;
constexpr std::uint64_t HELPER = 22;
const std::string OWNER_NODE = "entry-1";
const std::string EARLIER_JOB = "00000000000000a1";
const std::string LATER_JOB = "00000000000000a2";

// An owner that sends its orders through one helper. No other process confirms its ownership.
struct relaying_owner
{
    explicit relaying_owner(const std::vector<std::string> &workers, bool withHosts = false)
    {
        fleet_config config = configWithOneQueue();
        config.pools["pool"] = { "pool", true, false, {} };
        config.pools["off"] = { "off", true, true, {} };
        platform.setConfig(config);
        for (const std::string &worker : workers) {
            platform.addWorker(worker, "pool", WORKER_CAPACITY);
            if (withHosts) {
                platform.hosts.push_back({ "host-of-" + worker, "pool", host_condition::up, "a", {}, WORKER_CAPACITY, worker });
            }
        }
        const platform_clients direct = platform.clientsOf(OWNER_NODE);
        const platform_clients relayed{ direct.ledger, direct.feeds, relay, direct.hosts, direct.policy, direct.waveStatus, direct.codec };
        manager_settings settings;
        settings.node = OWNER_NODE;
        session = std::make_unique<owner_session>(relayed, platform, log, settings, process_identity{ OWNER_NODE, OWNER },
                                                  [this] { return platform.wall(); });
        session->begin([this](session_event event, instant) {
            if (event == session_event::claimed) {
                relay.begin(session->epoch());
                relay.setHelpers({ { HELPER, "a" } });
            }
        });
        tick();
        platform.advance(milliseconds(500));
    }

    void tick()
    {
        relay.tick(platform.now());
        executor.tick(platform.now());
        session->tick(platform.now());
        platform.after(milliseconds(25), [this](instant) { tick(); });
    }

    void submit(const std::string &id, const std::string &tasks)
    {
        session->handle({ "POST", "h", QUEUE_PATH + id, {}, tasks }, platform.now(), [](const http_reply &) {});
    }

    // Submits a job of this many tasks each 400 ms.
    void submitContinuously(const std::string &tasks, milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(400)) {
            submit("00000000000" + std::to_string(m_nextJob++), tasks);
            platform.advance(milliseconds(400));
        }
    }

    void playOutage(milliseconds length)
    {
        platform.linksOf(OWNER_NODE).storeDown = true;
        platform.advance(length);
        platform.linksOf(OWNER_NODE).storeDown = false;
    }

    fake_platform platform;
    counting_log log;
    relay_executor executor{ platform.clientsOf("entry-2").workers, platform, log,
                             [this](std::uint64_t, const wire::peer_message &message, instant now) {
                                 relay.onResults(message.results(), now);
                             } };
    order_relay relay{ platform.clientsOf(OWNER_NODE).workers, platform, log,
                       [this](std::uint64_t, const wire::peer_message &message, instant now) {
                           executor.onOrders(OWNER, message.orders(), now);
                           return true;
                       },
                       [this](instant now) {
                           return session->isOwnershipConfirmed(now);
                       } };
    std::unique_ptr<owner_session> session;

private:
    int m_nextJob = 10000;
};

struct outage_row
{
    const char *name;
    milliseconds length;
};

const outage_row OUTAGES[] = {
    { "shorter than the time for which the ownership is certain", milliseconds(1500) },
    { "shorter than the leases of the runs", milliseconds(4500) },
    { "longer than the leases of the runs", milliseconds(9000) },
};

} // namespace

ParameterizedTestParameters(store_outage, workersTakeNewTasksAsSoonAsTheStoreAnswers)
{
    return rowsOf(OUTAGES);
}

// While its ownership is not confirmed the owner polls no worker. The workers have not failed to answer, so they must be used at once
// when the store is back.
ParameterizedTest(std::size_t *row, store_outage, workersTakeNewTasksAsSoonAsTheStoreAnswers)
{
    const outage_row &testCase = OUTAGES[*row];
    relaying_owner owner({ "w1", "worker-2" });
    owner.platform.runTime = [](const task_key &key) {
        return key.job == EARLIER_JOB ? seconds(600) : milliseconds(200);
    };
    owner.submit(EARLIER_JOB, "6");
    owner.platform.advance(milliseconds(500));
    cr_assert_eq(owner.platform.runningTasks(), 6);
    owner.playOutage(testCase.length);
    // The owner repeats its append within this time.
    owner.platform.advance(milliseconds(700));
    owner.submit(LATER_JOB, "8");
    owner.platform.advance(milliseconds(700));
    cr_assert_eq(owner.platform.doneRuns(), 8, "%s: %d of 8 tasks done", testCase.name, owner.platform.doneRuns());
    cr_assert_eq(owner.log.events["worker-silent"], 0, "%s", testCase.name);
    cr_assert(owner.platform.violations().empty());
}

// During an outage nothing new starts, so the hosts of a busy pool become idle. The callers that were refused come back right after it.
Test(store_outage, movesNoHostOutOfAPoolWhoseCallersAreTurnedAway)
{
    relaying_owner owner({ "w1", "worker-2", "worker-03", "worker-004" }, true);
    owner.session->setPeerConfirmation([](instant) { return true; });
    owner.platform.runTime = [](const task_key &) {
        return milliseconds(400);
    };
    owner.submitContinuously("28", seconds(4));
    const std::size_t before = owner.platform.hostOrders.size();
    owner.playOutage(seconds(7));
    owner.platform.advance(milliseconds(500));
    cr_assert_eq(owner.platform.hostOrders.size(), before, "%zu hosts were moved", owner.platform.hostOrders.size() - before);
    const int done = owner.platform.doneRuns();
    owner.submitContinuously("28", milliseconds(2000));
    cr_assert_geq(owner.platform.doneRuns() - done, 4 * 28, "%d", owner.platform.doneRuns() - done);
}

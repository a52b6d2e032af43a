// Evacuations of a data centre, under load and under failures: no task starts there after a bound, nothing accepted is lost, and the data
// centre is used again at once when the evacuation is taken back.
#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
const std::string EVACUATED = "a";
const std::string OTHER = "b";
// Time from the acknowledgement of an evacuation until no start arrives there any more, and the time by which an unstable store may
// extend it.
constexpr milliseconds BOUND{ 5000 };
constexpr milliseconds MAX_STRETCH{ 6000 };
constexpr milliseconds JOB_INTERVAL{ 100 };
constexpr int TASKS_PER_JOB = 4;
constexpr milliseconds EVACUATION_TIME{ 20000 };

// Two data centres with three workers each, and a process that owns the jobs. A job comes at each interval.
class two_data_centers
{
public:
    two_data_centers()
    {
        m_platform.setConfig(configWithOneQueue());
        for (const std::string &center : { EVACUATED, OTHER }) {
            for (const char *number : { "1", "2", "3" }) {
                m_platform.addWorker(center + number, "pool", WORKER_CAPACITY).report.dataCenter = center;
            }
        }
        begin("entry-1", 11);
        m_owner = "entry-1";
        advance(seconds(1));
    }

    owner_session &create(const std::string &process, std::uint64_t incarnation)
    {
        manager_settings settings;
        settings.node = process;
        auto &session = m_sessions[process];
        session = std::make_unique<owner_session>(m_platform.clientsOf(process), m_platform.timersOf(process), m_log, settings,
                                                  process_identity{ process, incarnation }, [this] { return m_platform.wall(); });
        session->setTakeOverCheck([] { return true; });
        return *session;
    }
    // Claims until it succeeds: a claim fails if the present owner has just written a record.
    void begin(const std::string &process, std::uint64_t incarnation)
    {
        create(process, incarnation).begin([this, process, incarnation](session_event event, instant) {
            if (event == session_event::claim_failed) {
                m_platform.after(milliseconds(1), [this, process, incarnation](instant) { begin(process, incarnation); });
            }
        });
    }
    void prepare(const std::string &process, std::uint64_t incarnation)
    {
        create(process, incarnation).prepare([](session_event, instant) {});
    }
    void letClaim(const std::string &process)
    {
        m_sessions.at(process)->allowClaim(1);
    }
    // Jobs go to this process from now on.
    void useOwner(const std::string &process)
    {
        m_owner = process;
    }
    void evacuate(bool wanted)
    {
        m_platform.publishEvacuation(EVACUATED, wanted);
    }
    void advance(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(25)) {
            m_platform.advance(milliseconds(25));
            for (const auto &[process, session] : m_sessions) {
                if (!m_platform.linksOf(process).paused) {
                    session->tick(m_platform.now());
                }
            }
        }
    }
    void advanceUnderLoad(milliseconds time, int jobsAtOnce = 1)
    {
        for (milliseconds passed(0); passed < time; passed += JOB_INTERVAL) {
            for (int i = 0; i < jobsAtOnce; ++i) {
                submit();
            }
            advance(JOB_INTERVAL);
        }
    }
    // Lists the hosts of all workers, and as many in a pool that is switched off.
    void addSpareHosts()
    {
        fleet_config config = configWithOneQueue();
        config.version = 2;
        config.pools["pool"] = { "pool", true, false, {} };
        config.pools["spare"] = { "spare", true, true, {} };
        m_platform.moveTime = milliseconds(1500);
        for (const std::string &center : { EVACUATED, OTHER }) {
            for (const char *number : { "1", "2", "3" }) {
                const std::string worker = center + number;
                m_platform.hosts.push_back(
                    { "host-" + worker, "pool", host_condition::up, center, { "kind", "r1" }, WORKER_CAPACITY, worker });
                m_platform.hosts.push_back(
                    { "host-" + worker + "-spare", "spare", host_condition::up, center, { "kind", "r1" }, WORKER_CAPACITY, "" });
            }
        }
        m_platform.setConfig(config);
    }
    // Number of tasks that workers of the data centre have started so far.
    int startsIn(const std::string &center) const
    {
        int starts = 0;
        for (const auto &[id, target] : m_platform.workers()) {
            starts += target.report.dataCenter == center ? target.starts : 0;
        }
        return starts;
    }
    // Whether all tasks of the jobs that were acknowledged are done.
    bool isAllDone()
    {
        return std::all_of(m_accepted.begin(), m_accepted.end(), [this](const std::string &id) {
            for (int task = 0; task < TASKS_PER_JOB; ++task) {
                if (m_platform.doneEnds({ id, 0, 0, task }) == 0) {
                    return false;
                }
            }
            return true;
        });
    }
    std::size_t acceptedJobs() const
    {
        return m_accepted.size();
    }
    const counting_log &log() const
    {
        return m_log;
    }
    fake_platform &platform()
    {
        return m_platform;
    }

private:
    void submit()
    {
        const owner_session &owner = *m_sessions.at(m_owner);
        if (!owner.active() || m_platform.linksOf(m_owner).paused) {
            return;
        }
        const std::string id = "000000000000" + std::to_string(1000 + m_nextJob++);
        m_sessions.at(m_owner)->handle({ "POST", "h", QUEUE_PATH + id, {}, std::to_string(TASKS_PER_JOB) }, m_platform.now(),
                                       [this, id](const http_reply &reply) {
                                           if (reply.status == 200) {
                                               m_accepted.push_back(id);
                                           }
                                       });
    }

    fake_platform m_platform;
    counting_log m_log;
    std::map<std::string, std::unique_ptr<owner_session>> m_sessions;
    std::string m_owner;
    int m_nextJob = 0;
    std::vector<std::string> m_accepted;
};

struct failure_case
{
    const char *name;
    // Called when the evacuation has been published.
    void (*inject)(two_data_centers &fleet);
    // Bound of the last start in the data centre.
    milliseconds bound;
};

void replaceOwner(two_data_centers &fleet, milliseconds after)
{
    fleet.platform().after(after, [&fleet](instant) {
        fleet.begin("entry-2", 22);
        fleet.useOwner("entry-2");
    });
}

const failure_case FAILURES[] = {
    { "no failure", [](two_data_centers &) {}, BOUND },
    { "the owner is replaced at once", [](two_data_centers &fleet) { replaceOwner(fleet, milliseconds(0)); }, BOUND },
    { "the owner is replaced later", [](two_data_centers &fleet) { replaceOwner(fleet, seconds(7)); }, BOUND },
    { "a process that had read the store before the evacuation becomes the owner",
      [](two_data_centers &fleet) {
          fleet.platform().after(seconds(7), [&fleet](instant) {
              fleet.letClaim("entry-3");
              fleet.useOwner("entry-3");
          });
      },
      BOUND },
    { "the owner is paused for six seconds",
      [](two_data_centers &fleet) {
          fleet.platform().linksOf("entry-1").paused = true;
          fleet.platform().after(seconds(6), [&fleet](instant) {
              fleet.platform().linksOf("entry-1").paused = false;
              fleet.platform().resume("entry-1");
          });
      },
      // It has to have run for a while after the pause.
      seconds(6) + BOUND },
    { "the store forgets its history at once", [](two_data_centers &fleet) { fleet.platform().forgetHistory(); }, BOUND },
    { "the store forgets its history later, and the owner is replaced",
      [](two_data_centers &fleet) {
          fleet.platform().after(seconds(6), [&fleet](instant) { fleet.platform().forgetHistory(); });
          replaceOwner(fleet, seconds(8));
      },
      BOUND },
    { "the owner cannot reach the store for four seconds",
      [](two_data_centers &fleet) {
          fleet.platform().linksOf("entry-1").storeDown = true;
          fleet.platform().after(seconds(4), [&fleet](instant) { fleet.platform().linksOf("entry-1").storeDown = false; });
      },
      BOUND + MAX_STRETCH },
    { "workers do not answer starts, which are repeated",
      [](two_data_centers &fleet) {
          fleet.platform().linksOf("entry-1").startResponsesLost = true;
          fleet.platform().after(seconds(6), [&fleet](instant) { fleet.platform().linksOf("entry-1").startResponsesLost = false; });
      },
      BOUND },
    { "workers of the data centre restart",
      [](two_data_centers &fleet) {
          fleet.platform().after(seconds(6), [&fleet](instant) {
              fleet.platform().restartWorker("a1");
              fleet.platform().restartWorker("a2", seconds(1));
          });
      },
      BOUND },
};

} // namespace

ParameterizedTestParameters(evacuation, noTaskStartsInTheDataCenterAfterTheBoundWhateverFails)
{
    return rowsOf(FAILURES);
}

ParameterizedTest(std::size_t *number, evacuation, noTaskStartsInTheDataCenterAfterTheBoundWhateverFails)
{
    const failure_case &row = FAILURES[*number];
    two_data_centers fleet;
    fleet.prepare("entry-3", 33);
    fleet.advanceUnderLoad(seconds(2));
    cr_assert_gt(fleet.startsIn(EVACUATED), 0, "%s", row.name);
    fleet.evacuate(true);
    row.inject(fleet);
    fleet.advanceUnderLoad(row.bound);
    const int startsAtBound = fleet.startsIn(EVACUATED);
    const int startsElsewhere = fleet.startsIn(OTHER);
    fleet.advanceUnderLoad(EVACUATION_TIME - row.bound);
    cr_assert_eq(fleet.startsIn(EVACUATED), startsAtBound, "%s: %d", row.name, fleet.startsIn(EVACUATED) - startsAtBound);
    cr_assert_gt(fleet.startsIn(OTHER), startsElsewhere, "%s", row.name);
    fleet.evacuate(false);
    fleet.advanceUnderLoad(seconds(2));
    cr_assert_gt(fleet.startsIn(EVACUATED), startsAtBound, "%s", row.name);
    fleet.advance(seconds(20));
    cr_assert(fleet.isAllDone(), "%s", row.name);
    cr_assert(fleet.platform().violations().empty(), "%s: %s", row.name, fleet.platform().violations().front().c_str());
}

// A data centre that holds all workers of the pool leaves accepted work waiting, which loses nothing.
Test(evacuation, workWaitsWhenNoOtherDataCenterHasWorkersAndRunsOnceItIsTakenBack)
{
    two_data_centers fleet;
    fleet.evacuate(true);
    fleet.platform().publishEvacuation(OTHER, true);
    fleet.advance(seconds(2));
    fleet.advanceUnderLoad(seconds(2));
    cr_assert_eq(fleet.startsIn(EVACUATED) + fleet.startsIn(OTHER), 0);
    cr_assert_gt(fleet.acceptedJobs(), 0);
    fleet.evacuate(false);
    fleet.advance(seconds(10));
    cr_assert(fleet.isAllDone());
    cr_assert_eq(fleet.startsIn(OTHER), 0);
}

// The spare hosts of the other data centre replace the capacity that is lost. Those of the evacuated one stay where they are.
Test(evacuation, spareHostsOfOtherDataCentersReplaceTheCapacity)
{
    two_data_centers fleet;
    fleet.addSpareHosts();
    fleet.advanceUnderLoad(seconds(3));
    fleet.platform().hostOrders.clear();
    fleet.evacuate(true);
    fleet.advance(seconds(1));
    // The load needs more than the hosts that are left.
    for (int i = 0; i < 50; ++i) {
        fleet.advanceUnderLoad(milliseconds(100), 5);
    }
    int orders = 0;
    for (const auto &[holder, host] : fleet.platform().hostOrders) {
        cr_assert_neq(host.rfind("host-" + EVACUATED, 0), 0, "%s", host.c_str());
        ++orders;
    }
    cr_assert_gt(orders, 0);
    fleet.advance(seconds(20));
    cr_assert(fleet.isAllDone());
    cr_assert(fleet.platform().violations().empty());
}

Test(evacuation, dataCenterWithoutKnownWorkersIsLoggedAndChangesNothing)
{
    two_data_centers fleet;
    fleet.platform().publishEvacuation("nowhere", true);
    fleet.advanceUnderLoad(seconds(2));
    cr_assert_eq(fleet.log().events.at("evacuation"), 1);
    fleet.advance(seconds(5));
    cr_assert(fleet.isAllDone());
}

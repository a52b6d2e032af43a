// Plays a queue with a placement policy through bursts and faults of the policy service. What the service can handle in a second has to be
// used, all of it, and the backlog has to go at the spare rate.
#include "policy_service_model.h"
#include <cmath>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds VALIDITY{ 3000 };
constexpr int TASKS_PER_JOB = 4;
constexpr resources WORKER_CAPACITY{ 8000, 32000, 0 };
constexpr milliseconds STEP{ 25 };
// The times of a play: the traffic is usual, then a burst, then usual again.
constexpr milliseconds BURST_AT{ 5000 };
constexpr milliseconds BURST_TIME{ 4000 };
// Time for everything but the policy service: the record, the start and the run of a task, and noticing that a response is lost.
constexpr milliseconds OTHER_TIME{ 5000 };
// The request that is handled when a job is handed in, the job's own, and these two once more if a response is lost.
constexpr double REQUESTS_AT_THE_END = 4;
// Runs of a former owner are settled within this time.
constexpr milliseconds TAKE_OVER_TIME{ 14000 };
// The product may name this many workers in a request for a few tasks at most.
constexpr int MAX_WORKERS_NAMED = 30;
const std::string NODE = "entry-1";

struct load_case
{
    const char *name;
    policy_service_traits service;
    int workers = 12;
    // Part of what the service can answer, of a hundred, that the usual traffic uses.
    int loadPercent = 65;
    int burstPercent = 260;
    // The service is silent for this long from the begin of the burst; what is sent meanwhile waits or is lost.
    milliseconds silence{ 0 };
    bool unreachable = false;
    // Requests of another process that are in the line at the begin.
    int abandoned = 0;
    bool takeOver = false;

    milliseconds requestCost() const
    {
        return service.times.decision + service.times.perWorker * std::min(workers, MAX_WORKERS_NAMED);
    }
    double requestSeconds() const
    {
        return static_cast<double>(requestCost().count()) * service.slownessPercent / 100 / 1000;
    }
    double capacityPerSecond() const
    {
        return (100 - service.lostPercent) / 100.0 / requestSeconds();
    }
    double jobsPerSecond() const
    {
        return capacityPerSecond() * loadPercent / 100;
    }
    // Time from when a job can be served until it has ended, also if a response is lost.
    milliseconds settleTime() const
    {
        return OTHER_TIME + milliseconds(std::llround(REQUESTS_AT_THE_END * requestSeconds() * 1000));
    }
    // Time until the backlog is gone, after the trouble: of jobs, and of requests in the line that a former owner has left.
    milliseconds drainTime(std::size_t leftRequests) const
    {
        const double burstRate = jobsPerSecond() * burstPercent / 100;
        const double burstSeconds = static_cast<double>(BURST_TIME.count()) / 1000;
        double backlog = std::max(0.0, burstRate - capacityPerSecond()) * burstSeconds;
        backlog += capacityPerSecond() * static_cast<double>(silence.count()) / 1000 + abandoned + static_cast<double>(leftRequests);
        const double spare = capacityPerSecond() - jobsPerSecond();
        return milliseconds(std::llround(backlog / spare * 1000)) + settleTime() + (takeOver ? TAKE_OVER_TIME : milliseconds(0));
    }
};

class load_play
{
public:
    load_play(const load_case &played, unsigned seed)
        : m_case(played)
        , m_service(m_platform, played.service, seed)
    {
        fleet_config config = configWithOneQueue();
        config.queues[0].policy = played.service.times;
        config.queues[0].targetLatency = milliseconds(600);
        config.pools["pool"] = { "pool", true, false, {} };
        m_platform.setConfig(config);
        for (int i = 0; i < played.workers; ++i) {
            m_platform.addWorker(fmt::format("w{:03}", i), "pool", WORKER_CAPACITY);
        }
        m_platform.acceptsTicket = [this](const start_order &order) {
            return !order.ticket.empty() && std::stoull(order.ticket) >= m_platform.wall();
        };
        if (played.abandoned > 0) {
            m_service.addAbandonedRequests(played.abandoned, played.requestCost());
        }
        beginSession();
        scheduleTicks();
        m_platform.advance(seconds(1));
    }

    void play()
    {
        submitFor(BURST_AT, 100);
        beginTrouble();
        submitFor(BURST_TIME, m_case.burstPercent);
        if (m_case.silence > BURST_TIME) {
            submitFor(m_case.silence - BURST_TIME, 100);
        }
        endTrouble();
        submitFor(m_case.drainTime(m_leftRequests), 100);
    }

    // Gives the last jobs of the usual traffic time to end.
    void settle()
    {
        m_platform.advance(m_case.settleTime());
    }

    int waitingTasks() const
    {
        return m_accepted * TASKS_PER_JOB - m_platform.doneRuns();
    }
    // Tasks that were handed in within this time with the usual traffic, and a few.
    int usualTasks(milliseconds time) const
    {
        return static_cast<int>(std::ceil(m_case.jobsPerSecond() * static_cast<double>(time.count()) / 1000 + 1)) * TASKS_PER_JOB;
    }
    const policy_service_model &service() const
    {
        return m_service;
    }
    // Jobs that were refused, by the number of seconds after which their callers were told to return.
    const std::map<unsigned, int> &refused() const
    {
        return m_refused;
    }
    // Hands jobs in at this rate, of a hundred parts of the usual one.
    void submitFor(milliseconds time, int percent)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_due += m_case.jobsPerSecond() * percent / 100 * static_cast<double>(STEP.count()) / 1000;
            for (; m_due >= 1; m_due -= 1) {
                submit();
            }
            m_platform.advance(STEP);
        }
    }
    int accepted() const
    {
        return m_accepted;
    }
    // A refused job is not handed in again.
    void submit()
    {
        const std::string id = fmt::format("{:016x}", ++m_submitted);
        m_session->handle({ "POST", "h", QUEUE_PATH + id, {}, std::to_string(TASKS_PER_JOB) }, m_platform.now(),
                          [this](const http_reply &reply) {
                              if (reply.status == 200) {
                                  ++m_accepted;
                              } else {
                                  ++m_refused[reply.retryAfterS];
                              }
                          });
    }

private:
    void beginSession()
    {
        const platform_clients direct = m_platform.clientsOf(NODE);
        const platform_clients clients{ direct.ledger, direct.feeds,      direct.workers, direct.hosts,
                                        m_service,     direct.waveStatus, direct.codec };
        manager_settings settings;
        settings.node = NODE;
        m_session = std::make_unique<owner_session>(clients, m_platform, m_log, settings, process_identity{ NODE, ++m_incarnation },
                                                    [this] { return m_platform.wall(); });
        m_session->setPeerConfirmation([](instant) { return true; });
        m_session->begin([](session_event, instant) {}, {});
    }

    void scheduleTicks()
    {
        m_platform.after(STEP, [this](instant now) {
            m_session->tick(now);
            scheduleTicks();
        });
    }

    void beginTrouble()
    {
        m_service.setSilent(m_case.silence.count() > 0 && !m_case.unreachable);
        m_service.unreachable = m_case.unreachable;
    }

    void endTrouble()
    {
        m_service.setSilent(false);
        m_service.unreachable = false;
        if (m_case.takeOver) {
            m_leftRequests = m_service.waiting();
            m_session.reset();
            beginSession();
            m_platform.advance(seconds(1));
        }
    }

    load_case m_case;
    fake_platform m_platform;
    counting_log m_log;
    policy_service_model m_service;
    std::unique_ptr<owner_session> m_session;
    std::uint64_t m_incarnation = 10;
    std::size_t m_leftRequests = 0;
    double m_due = 0;
    int m_submitted = 0;
    int m_accepted = 0;
    std::map<unsigned, int> m_refused;
};

constexpr policy_config SLOW{ milliseconds(150), milliseconds(15), VALIDITY };
constexpr policy_config LONG_DECISION{ milliseconds(300), milliseconds(10), VALIDITY };
constexpr policy_config QUICK{ milliseconds(20), milliseconds(1), VALIDITY };
// Naming fewer workers makes no request of such a service cheaper.
constexpr policy_config FIXED{ milliseconds(330), milliseconds(0), VALIDITY };

constexpr load_case LOAD_CASES[] = {
    { "the case of the review", { SLOW } },
    { "a service that skips requests whose senders have left", { SLOW, true } },
    { "a long decision", { LONG_DECISION } },
    { "many workers", { SLOW }, 30 },
    { "a quick service", { QUICK } },
    { "a service that needs the same for any number of workers", { FIXED } },
    { "the same, with hardly any spare rate", { FIXED }, 12, 85, 150 },
    { "the same, responses are lost", { FIXED, false, 10 } },
    { "the same, slower than it says", { FIXED, false, 0, 300 } },
    { "the same, silent for 6 s", { FIXED }, 12, 65, 100, seconds(6) },
    { "the same, a process has left its requests", { FIXED }, 12, 65, 100, {}, false, 32 },
    { "usual traffic alone", { SLOW }, 12, 65, 100 },
    { "nearly all of what the service can answer", { SLOW }, 12, 85, 150 },
    { "responses are lost", { SLOW, false, 10 } },
    { "many responses of a quick service are lost", { QUICK, false, 30 } },
    { "the service is slower than it says", { SLOW, false, 0, 300 } },
    { "a quick service is much slower than it says", { QUICK, false, 0, 1000 } },
    { "the policy permits one worker of two", { SLOW, false, 0, 100, 50 }, 12, 40 },
    { "the service is silent for 6 s", { SLOW }, 12, 65, 100, seconds(6) },
    { "the service is not reached for 6 s", { SLOW }, 12, 65, 100, seconds(6), true },
    { "the service is not reached for 20 s", { QUICK }, 12, 50, 100, seconds(20), true },
    { "the line is full of requests of a process that has left", { SLOW }, 12, 65, 100, {}, false, 32 },
    { "the same with a service that skips those", { SLOW, true }, 12, 65, 100, {}, false, 32 },
    { "a new owner on the same machine", { SLOW }, 12, 65, 260, {}, false, 0, true },
};

load_case randomCase(unsigned seed)
{
    std::minstd_rand random(seed * 7919 + 1);
    const auto between = [&random](int least, int most) {
        return least + static_cast<int>(random() % static_cast<unsigned>(most - least + 1));
    };
    const auto sometimes = [&](int least, int most) {
        return between(0, 2) == 0 ? between(least, most) : 0;
    };
    load_case drawn{ "random", {} };
    drawn.service.times = { milliseconds(between(20, 400)), milliseconds(sometimes(1, 15)), VALIDITY };
    drawn.service.skipsLeft = between(0, 1) == 0;
    drawn.service.lostPercent = sometimes(5, 30);
    drawn.service.slownessPercent = 100 + sometimes(50, 400);
    drawn.workers = between(5, 40);
    drawn.loadPercent = between(30, 80);
    drawn.burstPercent = between(100, 300);
    drawn.silence = milliseconds(sometimes(1000, 8000));
    drawn.unreachable = between(0, 1) == 0 && drawn.silence.count() > 0;
    drawn.abandoned = sometimes(1, 32);
    drawn.takeOver = between(0, 4) == 0;
    return drawn;
}

std::string describe(const load_case &played)
{
    return fmt::format("decision {} ms, {} ms a worker, skips {}, lost {}, slowness {}, {} workers, load {}, burst {}, silent {} ms, "
                       "unreachable {}, abandoned {}, take-over {}",
                       played.service.times.decision.count(), played.service.times.perWorker.count(), played.service.skipsLeft,
                       played.service.lostPercent, played.service.slownessPercent, played.workers, played.loadPercent, played.burstPercent,
                       played.silence.count(), played.unreachable, played.abandoned, played.takeOver);
}

} // namespace

// Guards against jobs that never start after a burst, as each request waits behind requests that were given up (review/11).
ParameterizedTestParameters(policy_load, usualStateReturnsAtTheSpareRate)
{
    return rowsOf(LOAD_CASES);
}
ParameterizedTest(std::size_t *row, policy_load, usualStateReturnsAtTheSpareRate)
{
    const load_case &played = LOAD_CASES[*row];
    load_play fleet(played, 1);
    fleet.play();
    const int waiting = fleet.waitingTasks();
    const int usual = fleet.usualTasks(played.settleTime());
    cr_expect_leq(waiting, usual, "%s: %d of %d tasks wait after the trouble, %d are usual", played.name, waiting,
                  fleet.accepted() * TASKS_PER_JOB, usual);
    fleet.settle();
    cr_expect_eq(fleet.waitingTasks(), 0, "%s: %d tasks are left", played.name, fleet.waitingTasks());
}

// Guards against a service that is busy with answers that nobody takes.
ParameterizedTestParameters(policy_load, whatTheServiceHandlesIsUsed)
{
    return rowsOf(LOAD_CASES);
}
ParameterizedTest(std::size_t *row, policy_load, whatTheServiceHandlesIsUsed)
{
    const load_case &played = LOAD_CASES[*row];
    load_play fleet(played, 2);
    fleet.play();
    const int handled = fleet.service().handled();
    const int useful = fleet.service().useful();
    const double least = (100 - played.service.lostPercent) / 100.0 * (played.unreachable || played.takeOver ? 0.8 : 0.9);
    cr_expect_geq(useful, least * handled, "%s: %d of %d answers were used", played.name, useful, handled);
    cr_expect_gt(useful, 0, "%s", played.name);
}

// JUJUBESPOOL_SEEDS plays more of them by hand.
Test(policy_load, usualStateReturnsAfterRandomTroubles)
{
    const char *wanted = std::getenv("JUJUBESPOOL_SEEDS");
    const unsigned seeds = wanted != nullptr && *wanted != '\0' ? static_cast<unsigned>(std::stoul(wanted)) : 40;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const load_case played = randomCase(seed);
        load_play fleet(played, seed);
        fleet.play();
        const int waiting = fleet.waitingTasks();
        const int usual = fleet.usualTasks(played.settleTime());
        cr_expect_leq(waiting, usual, "seed %u: %d of %d tasks wait, %d are usual: %s", seed, waiting, fleet.accepted() * TASKS_PER_JOB,
                      usual, describe(played).c_str());
        fleet.settle();
        cr_expect_eq(fleet.waitingTasks(), 0, "seed %u: %d tasks are left: %s", seed, fleet.waitingTasks(), describe(played).c_str());
    }
}

// Guards against jobs that are accepted although the policy service can't decide on them for a long time.
Test(policy_load, whatCannotStartInTimeIsRefusedAtOnce)
{
    constexpr seconds OVERLOAD_TIME{ 60 };
    load_case played{ "twice what the service can answer", { FIXED } };
    played.loadPercent = 100;
    load_play fleet(played, 1);
    fleet.submitFor(OVERLOAD_TIME, 200);
    const double answerable = played.capacityPerSecond() * static_cast<double>(OVERLOAD_TIME.count());
    cr_expect_geq(fleet.accepted(), 0.95 * answerable, "%d of %.0f jobs accepted that the service could answer", fleet.accepted(),
                  answerable);
    int refused = 0;
    for (const auto &[retryAfterS, jobs] : fleet.refused()) {
        cr_expect_geq(retryAfterS, 1U);
        refused += jobs;
    }
    cr_expect_gt(refused, 0);
    fleet.submitFor(MAX_TICKET_WAIT, 0);
    fleet.settle();
    cr_expect_eq(fleet.waitingTasks(), 0, "%d tasks are left", fleet.waitingTasks());
}

// Guards against callers that are refused at the same time and all return at the same time.
Test(policy_load, callersReturnAtTheRateOfTheService)
{
    load_case played{ "a burst at one moment", { FIXED } };
    load_play fleet(played, 1);
    constexpr int JOBS = 150;
    for (int i = 0; i < JOBS; ++i) {
        fleet.submit();
    }
    fleet.submitFor(seconds(1), 0);
    cr_expect_lt(fleet.accepted(), JOBS);
    for (const auto &[retryAfterS, jobs] : fleet.refused()) {
        cr_expect_leq(jobs, played.capacityPerSecond() + 1, "%d callers return after %u s", jobs, retryAfterS);
    }
}

// Guards against refusals because of tickets while the jobs wait for room.
Test(policy_load, jobsThatWaitForRoomAreAccepted)
{
    load_case played{ "a full pool", { QUICK }, 2 };
    load_play fleet(played, 1);
    fleet.submitFor(seconds(60), 100);
    cr_expect(fleet.refused().empty(), "%zu", fleet.refused().size());
    cr_expect_gt(fleet.waitingTasks(), 100, "%d tasks wait for room", fleet.waitingTasks());
}

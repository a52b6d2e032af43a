// Waves of maintenance on small fleets: what they close to work is open again in time, and they are carried out.
#include "fake_platform.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources HOST_CAPACITY{ 32000, 65536, 0 };
constexpr int POOL_HOSTS = 4;
constexpr int SPARE_HOSTS = 2;
constexpr seconds DEADLINE{ 26 };
// The time for which an accepted job may have nothing running while there is capacity for it twice over.
constexpr milliseconds MAX_WAIT{ 3000 };
constexpr milliseconds TICK{ 25 };
constexpr seconds SUBMISSION_INTERVAL{ 2 };
// Jobs are submitted until this long after the deadline, and then have the time to start.
constexpr seconds SUBMISSIONS_AFTER_DEADLINE{ 12 };
constexpr milliseconds TAKE_OVER_TIME{ 200 };
constexpr milliseconds LONG_FILLING_TIME{ 600000 };
// Ends before an order without an answer is given up.
constexpr milliseconds SHORT_FILLING_TIME{ 3500 };
const std::string FILLING_JOB = "00000000000000a1";

// What occupies a part of each host of the pool.
enum class filling { lasting, ordinary, underestimated, short_lived };

struct wave_case
{
    const char *name;
    filling kind;
    int maxUnavailable;
    int fillingJobs;
    int waveMaximum;
    // The jobs that are submitted during the wave are gangs of two.
    bool gangs;
    // A second wave names the same hosts after the deadline of the first.
    bool secondWave;
    // Hosts of the pool whose maintenance has to have begun at the end.
    int minMaintained;
};

// The tasks of the ordinary jobs outlast the wave, so their hosts cannot be maintained without interrupting them.
const wave_case CASES[] = {
    { "a lasting task on each host, one may be away", filling::lasting, 1, 1, 4, false, false, POOL_HOSTS },
    { "the same for two jobs", filling::lasting, 1, 2, 4, false, false, POOL_HOSTS },
    { "the same for two waves", filling::lasting, 1, 1, 4, false, true, POOL_HOSTS },
    { "a lasting task without a limit on each host", filling::lasting, 0, 1, 4, false, false, POOL_HOSTS },
    { "tasks that take long by their own estimate", filling::ordinary, 0, 1, 4, false, false, 0 },
    { "tasks that take far longer than their estimate", filling::underestimated, 0, 1, 4, false, false, 0 },
    { "gangs wait, lasting tasks", filling::lasting, 1, 1, 4, true, false, POOL_HOSTS },
    { "gangs wait, underestimated tasks", filling::underestimated, 0, 1, 4, true, false, 0 },
    { "one host at a time", filling::lasting, 1, 1, 1, false, false, POOL_HOSTS },
    { "more at a time than there are", filling::lasting, 1, 1, 9, false, false, POOL_HOSTS },
};

struct late_order_case
{
    const char *name;
    filling kind;
    int waveMaximum;
    // The orders after so many others, this many, get no answer and are carried out late.
    int promptOrders;
    int lateOrders;
    milliseconds delay;
    // Another process takes over this long after the wave was published; empty if none does.
    std::optional<milliseconds> takeOverAfter;
};

// The hosts of the other pool are empty and stand last in the wave, so the first order is for one of them.
const late_order_case LATE_ORDERS[] = {
    { "the first order is 9 s late", filling::short_lived, 1, 0, 1, seconds(9), std::nullopt },
    { "the second order is 9 s late", filling::short_lived, 1, 1, 1, seconds(9), std::nullopt },
    { "the first order is 5 s late", filling::short_lived, 1, 0, 1, seconds(5), std::nullopt },
    { "the first order is 12 s late", filling::short_lived, 1, 0, 1, seconds(12), std::nullopt },
    { "the first order never comes", filling::short_lived, 1, 0, 1, seconds(600), std::nullopt },
    { "the repeated order is late as well", filling::short_lived, 1, 0, 2, seconds(9), std::nullopt },
    { "two at a time, the first order is late", filling::short_lived, 2, 0, 1, seconds(9), std::nullopt },
    { "two at a time, both orders are late", filling::short_lived, 2, 0, 2, seconds(9), std::nullopt },
    { "beside lasting tasks, the first order is late", filling::lasting, 1, 0, 1, seconds(9), std::nullopt },
    { "beside lasting tasks, the third order is late", filling::lasting, 1, 2, 1, seconds(9), std::nullopt },
    { "a process takes over at once", filling::short_lived, 1, 0, 1, seconds(9), seconds(1) },
    { "a process takes over once the order is given up", filling::short_lived, 1, 0, 1, seconds(9), seconds(5) },
    { "a process takes over, two at a time", filling::short_lived, 2, 0, 2, seconds(9), seconds(3) },
};

std::string poolHost(int number)
{
    return "m-" + std::to_string(number);
}

class wave_play
{
public:
    explicit wave_play(const wave_case &played)
        : m_case(played)
    {
        platform.maintenanceTime = seconds(2);
        platform.moveTime = milliseconds(1500);
        platform.stopTime = milliseconds(200);
        platform.checksAvailability = true;
        platform.runTime = [this](const task_key &key) {
            const milliseconds fillingTime = m_case.kind == filling::short_lived ? SHORT_FILLING_TIME : LONG_FILLING_TIME;
            return isFilling(key.job) ? fillingTime : milliseconds(500);
        };
        fleet_config config = configWithOneQueue();
        config.pools["pool"] = { "pool", true, false, {} };
        config.pools["spare"] = { "spare", true, false, {} };
        platform.setConfig(config);
        for (int i = 0; i < POOL_HOSTS + SPARE_HOSTS; ++i) {
            addHost(i < POOL_HOSTS ? poolHost(i) : "s-" + std::to_string(i), i < POOL_HOSTS);
        }
        own("entry-1", 11);
        advance(seconds(2));
        for (int i = 0; i < m_case.fillingJobs; ++i) {
            submit(fillingJob(i), fillingStep());
        }
        advance(seconds(1));
        for (int i = 0; i < m_case.fillingJobs; ++i) {
            cr_assert_eq(runningTasksOf(fillingJob(i)), POOL_HOSTS, "%s: the fleet is not filled", m_case.name);
        }
    }

    void own(const std::string &node, std::uint64_t incarnation)
    {
        manager_settings settings;
        settings.node = node;
        session = std::make_unique<owner_session>(platform.clientsOf(node), platform, log, settings, process_identity{ node, incarnation },
                                                  [this] { return platform.wall(); });
        session->begin([](session_event, instant) {});
    }

    void publishWave(std::uint64_t number)
    {
        host_maintenance_wave wave;
        wave.number = number;
        for (const host_entry &host : platform.hosts) {
            wave.hosts.push_back(host.name);
        }
        wave.deadline = DEADLINE;
        wave.maximum = m_case.waveMaximum;
        platform.publishWave(wave);
    }

    // Submits a short job at intervals for this time.
    void playWithJobs(milliseconds length)
    {
        for (milliseconds passed(0); passed < length; passed += TICK) {
            if (passed % SUBMISSION_INTERVAL == milliseconds(0)) {
                const std::string id = fmt::format("{:016x}", 0xb000 + m_submitted++);
                m_waitingSince[id] = platform.now();
                submit(id, shortStep());
            }
            advance(TICK);
            noteStarts();
        }
    }

    void advance(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += TICK) {
            platform.advance(TICK);
            session->tick(platform.now());
        }
    }

    // The longest time that a job has waited for its first start so far.
    milliseconds longestWait() const
    {
        milliseconds longest = m_longestWait;
        for (const auto &[id, since] : m_waitingSince) {
            longest = std::max(longest, duration_cast<milliseconds>(platform.now() - since));
        }
        return longest;
    }

    int maintainedPoolHosts(std::uint64_t wave)
    {
        int maintained = 0;
        for (int i = 0; i < POOL_HOSTS; ++i) {
            maintained += static_cast<int>(platform.maintained(wave).count(poolHost(i)));
        }
        return maintained;
    }

    int runningTasksOf(const std::string &id) const
    {
        int running = 0;
        for (const auto &[worker, target] : platform.workers()) {
            running += static_cast<int>(std::count_if(target.running.begin(), target.running.end(),
                                                      [&id](const auto &entry) { return entry.first.job.text() == id; }));
        }
        return running;
    }

    static std::string fillingJob(int number)
    {
        return FILLING_JOB.substr(0, FILLING_JOB.size() - 1) + std::to_string(number + 1);
    }

    fake_platform platform;
    counting_log log;
    std::unique_ptr<owner_session> session;

private:
    bool isFilling(const job_id &id) const
    {
        return id.text().compare(0, FILLING_JOB.size() - 1, FILLING_JOB, 0, FILLING_JOB.size() - 1) == 0;
    }

    void addHost(const std::string &name, bool inPool)
    {
        const std::string worker = "w-" + name;
        const std::string pool = inPool ? "pool" : "spare";
        const std::vector<std::string> labels{ inPool ? "a" : "b", inPool ? "r-0" : "r-1" };
        platform.addWorker(worker, pool, HOST_CAPACITY).report.labels = labels;
        platform.hosts.push_back({ name, pool, host_condition::up, "a", labels, HOST_CAPACITY, worker });
    }

    step_spec fillingStep() const
    {
        step_spec step = shortStep();
        step.gang = false;
        step.count = POOL_HOSTS;
        step.maxPerWorker = 1;
        step.longRunning = m_case.kind == filling::lasting;
        step.maxUnavailable = m_case.maxUnavailable;
        step.estimated = m_case.kind == filling::ordinary ? seconds(600) : seconds(1);
        return step;
    }

    step_spec shortStep() const
    {
        step_spec step;
        step.count = m_case.gangs ? 2 : 1;
        step.gang = m_case.gangs;
        step.taskResources = { 4000, 2000, 0 };
        step.estimated = milliseconds(500);
        step.requiredLabel = "a";
        return step;
    }

    void submit(const std::string &id, const step_spec &step)
    {
        job_request request;
        request.id = id;
        request.queue = "q";
        request.spec = "spec of " + id;
        request.steps = { step };
        platform.requests[id] = request;
        session->handle({ "POST", "h", QUEUE_PATH + id, {}, "job:" + id }, platform.now(), [](const http_reply &) {});
    }

    void noteStarts()
    {
        std::erase_if(m_waitingSince, [this](const auto &entry) {
            const bool started = runningTasksOf(entry.first) > 0 || platform.doneEnds(task_key{ entry.first, 0, 0, 0 }) > 0;
            if (started) {
                m_longestWait = std::max(m_longestWait, duration_cast<milliseconds>(platform.now() - entry.second));
            }
            return started;
        });
    }

    const wave_case &m_case;
    int m_submitted = 0;
    std::map<std::string, instant> m_waitingSince;
    milliseconds m_longestWait{ 0 };
};

} // namespace

ParameterizedTestParameters(wave, closesNoHostForLongerThanAnAcceptedJobMayWait)
{
    return rowsOf(CASES);
}

// Guards against LOST: a wave closed hosts that could not be emptied, and nothing opened them again, so that an accepted job never started.
ParameterizedTest(std::size_t *row, wave, closesNoHostForLongerThanAnAcceptedJobMayWait)
{
    const wave_case &played = CASES[*row];
    wave_play play(played);
    play.publishWave(1);
    play.playWithJobs(DEADLINE);
    if (played.secondWave) {
        play.publishWave(2);
        play.playWithJobs(DEADLINE);
    }
    play.playWithJobs(SUBMISSIONS_AFTER_DEADLINE);
    play.playWithJobs(MAX_WAIT);
    cr_expect_leq(play.longestWait().count(), MAX_WAIT.count(), "%s: a job has waited for %lld ms", played.name,
                  static_cast<long long>(play.longestWait().count()));
    cr_expect_geq(play.maintainedPoolHosts(1), played.minMaintained, "%s: %d hosts of the first wave are maintained", played.name,
                  play.maintainedPoolHosts(1));
    for (const std::string &violation : play.platform.violations()) {
        cr_expect(false, "%s: %s", played.name, violation.c_str());
    }
}

ParameterizedTestParameters(wave, keepsItsLimitWhenOrdersAreCarriedOutLate)
{
    return rowsOf(LATE_ORDERS);
}

// Guards against LIMIT (review/9): an order without an answer was given up after 4 s, and was carried out beside the next one.
ParameterizedTest(std::size_t *row, wave, keepsItsLimitWhenOrdersAreCarriedOutLate)
{
    const late_order_case &late = LATE_ORDERS[*row];
    const wave_case played{ late.name, late.kind, 1, 1, late.waveMaximum, false, false, POOL_HOSTS };
    wave_play play(played);
    play.platform.promptMaintenanceOrders = late.promptOrders;
    play.platform.lateMaintenanceOrders = late.lateOrders;
    play.platform.maintenanceOrderDelay = late.delay;
    play.publishWave(1);
    if (late.takeOverAfter) {
        play.playWithJobs(*late.takeOverAfter);
        play.own("entry-2", 22);
        play.advance(TAKE_OVER_TIME);
    }
    play.playWithJobs(DEADLINE + SUBMISSIONS_AFTER_DEADLINE);
    cr_expect_geq(play.maintainedPoolHosts(1), played.minMaintained, "%s: %d hosts are maintained", played.name,
                  play.maintainedPoolHosts(1));
    for (const std::string &violation : play.platform.violations()) {
        cr_expect(false, "%s: %s", played.name, violation.c_str());
    }
}

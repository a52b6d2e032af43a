// Lets accepted tasks wait and checks what the owner reports about them.
#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/jobs/wait_reporter.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
constexpr std::size_t WAITING_JOBS = 40;
const std::string FILLING_JOB = "00000000000000a1";
const std::string WAITING_JOB = "00000000000000a2";

struct wait_line
{
    instant at;
    std::map<std::string, std::string> fields;

    std::string job() const
    {
        return task_key::parse(fields.at("task"))->job;
    }
};

// Keeps the lines about waiting tasks and the counter of them.
class wait_log : public counting_log
{
public:
    explicit wait_log(const fake_platform &clock)
        : m_clock(clock)
    {
    }

    void write(std::string_view event, std::initializer_list<field> fields) override
    {
        counting_log::write(event, fields);
        if (event != "task-waiting") {
            return;
        }
        wait_line line{ m_clock.now(), {} };
        for (const field &entry : fields) {
            line.fields[std::string(entry.key)] = entry.value;
        }
        lines.push_back(line);
    }
    void count(std::string_view counter, std::string_view label) override
    {
        if (counter == "task_waits_total") {
            ++counts[std::string(label)];
        }
    }

    std::vector<wait_line> lines;
    std::map<std::string, std::size_t> counts;

private:
    const fake_platform &m_clock;
};

// One worker for eight tasks. Tasks run for ten minutes.
struct full_fleet
{
    full_fleet()
    {
        platform.runTime = [](const task_key &) {
            return seconds(600);
        };
        setTargetLatency(milliseconds(0));
        platform.addWorker("w1", "pool", WORKER_CAPACITY);
        own("entry-1", 11);
    }

    void setTargetLatency(milliseconds target)
    {
        fleet_config config = configWithOneQueue();
        config.queues[0].targetLatency = target;
        config.pools["pool"] = { "pool", true, false, {} };
        platform.setConfig(config);
    }

    void own(const std::string &node, std::uint64_t incarnation)
    {
        manager_settings settings;
        settings.node = node;
        session = std::make_unique<owner_session>(platform.clientsOf(node), platform, log, settings, process_identity{ node, incarnation },
                                                  [this] { return platform.wall(); });
        session->begin([](session_event, instant) {});
    }

    void submit(const std::string &id, const std::string &tasks)
    {
        session->handle({ "POST", "h", QUEUE_PATH + id, {}, tasks }, platform.now(), [](const http_reply &) {});
        advance(milliseconds(50));
    }

    void advance(milliseconds time)
    {
        constexpr milliseconds TICK{ 25 };
        for (milliseconds passed(0); passed < time; passed += TICK) {
            platform.advance(TICK);
            session->tick(platform.now());
        }
    }

    // Number of lines about the job.
    std::size_t linesOf(const std::string &job) const
    {
        return static_cast<std::size_t>(
            std::count_if(log.lines.begin(), log.lines.end(), [&](const wait_line &line) { return line.job() == job; }));
    }

    fake_platform platform;
    wait_log log{ platform };
    std::unique_ptr<owner_session> session;
};

std::string waitingJob(std::size_t number)
{
    // Later jobs have smaller ids, so that the order of the ids is not the order of the waiting times.
    return "00000000000" + std::to_string(19999 - number);
}

} // namespace

Test(waiting_tasks, acceptedTaskThatDoesNotRunIsReportedWithItsReason)
{
    full_fleet fleet;
    fleet.advance(seconds(1));
    fleet.submit(FILLING_JOB, "8");
    fleet.submit(WAITING_JOB, "3");
    fleet.advance(MIN_REPORTED_WAIT - milliseconds(200));
    cr_assert_eq(fleet.log.lines.size(), 0);
    fleet.advance(milliseconds(1500));
    cr_assert_eq(fleet.log.lines.size(), 1, "%zu", fleet.log.lines.size());
    const wait_line &line = fleet.log.lines.front();
    cr_assert_eq(line.fields.at("task"), WAITING_JOB + ".0.0.0");
    cr_assert_eq(line.fields.at("queue"), "q");
    cr_assert_eq(line.fields.at("pool"), "pool");
    cr_assert_eq(line.fields.at("reason"), "no-free-capacity");
    const int waitedMs = std::stoi(line.fields.at("waited_ms"));
    cr_assert(waitedMs >= 2000 && waitedMs <= 3200, "%d", waitedMs);
    cr_assert_eq(fleet.log.counts["pool/no-free-capacity"], 1);
}

Test(waiting_tasks, taskIsNotReportedBeforeItsQueuesTargetLatency)
{
    full_fleet fleet;
    fleet.setTargetLatency(seconds(8));
    fleet.advance(seconds(1));
    fleet.submit(FILLING_JOB, "8");
    fleet.submit(WAITING_JOB, "1");
    fleet.advance(milliseconds(7800));
    cr_assert_eq(fleet.log.lines.size(), 0);
    fleet.advance(milliseconds(1500));
    cr_assert_eq(fleet.log.lines.size(), 1);
}

// The log and the owner's processor must not be filled by an overload, in which most jobs wait.
Test(waiting_tasks, reportsAreBoundedAndBeginWithTheOldestJob)
{
    full_fleet fleet;
    fleet.advance(seconds(1));
    fleet.submit(FILLING_JOB, "8");
    for (std::size_t number = 0; number < WAITING_JOBS; ++number) {
        fleet.submit(waitingJob(number), "2");
    }
    fleet.advance(seconds(30));
    std::map<std::string, instant> lastLine;
    std::size_t order = 0;
    for (std::size_t i = 0; i < fleet.log.lines.size(); ++i) {
        const wait_line &line = fleet.log.lines[i];
        if (i >= MAX_WAIT_LINES_PER_SELECTION) {
            cr_assert_geq((line.at - fleet.log.lines[i - MAX_WAIT_LINES_PER_SELECTION].at).count(),
                          duration(WAIT_SELECTION_INTERVAL).count());
        }
        if (lastLine.count(line.job()) == 0) {
            cr_assert_eq(line.job(), waitingJob(order), "%zu: %s", order, line.job().c_str());
            ++order;
        } else {
            cr_assert_geq((line.at - lastLine[line.job()]).count(), duration(FIRST_REPORT_INTERVAL).count());
        }
        lastLine[line.job()] = line.at;
    }
    cr_assert_eq(order, WAITING_JOBS, "%zu", order);
    cr_assert_gt(fleet.log.lines.size(), WAITING_JOBS);
    cr_assert_eq(fleet.log.counts["pool/no-free-capacity"], fleet.log.lines.size());
}

Test(waiting_tasks, jobIsReportedLessAndLessOftenAndNoLongerOnceItsTasksRun)
{
    full_fleet fleet;
    fleet.advance(seconds(1));
    fleet.submit(FILLING_JOB, "8");
    fleet.submit(WAITING_JOB, "1");
    fleet.advance(seconds(60));
    // After about 2, 12 and 32 s.
    cr_assert_eq(fleet.linesOf(WAITING_JOB), 3, "%zu", fleet.linesOf(WAITING_JOB));
    fleet.platform.addWorker("worker-2", "pool", WORKER_CAPACITY);
    fleet.advance(seconds(120));
    cr_assert_eq(fleet.linesOf(WAITING_JOB), 3, "%zu", fleet.linesOf(WAITING_JOB));
    cr_assert_eq(fleet.platform.runningTasks(), 9);
}

Test(waiting_tasks, runWhoseStartHasNoAnswerIsReported)
{
    full_fleet fleet;
    fleet.advance(seconds(1));
    fleet.platform.linksOf("entry-1").unreachableWorkers.insert("w1");
    fleet.submit(WAITING_JOB, "1");
    fleet.advance(milliseconds(3300));
    cr_assert_eq(fleet.linesOf(WAITING_JOB), 1, "%zu", fleet.linesOf(WAITING_JOB));
    cr_assert_eq(fleet.log.lines.front().fields.at("reason"), "being-stopped", "%s", fleet.log.lines.front().fields.at("reason").c_str());
}

Test(waiting_tasks, outageOfTheStoreIsNamedAsTheReason)
{
    full_fleet fleet;
    fleet.advance(seconds(1));
    fleet.submit(FILLING_JOB, "8");
    fleet.submit(WAITING_JOB, "1");
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.advance(milliseconds(3300));
    cr_assert_eq(fleet.linesOf(WAITING_JOB), 1);
    cr_assert_eq(fleet.log.lines.front().fields.at("reason"), "store-does-not-answer");
}

// The waiting time is not recorded; a new owner must not count it from its own beginning.
Test(waiting_tasks, newOwnerCountsTheWaitingTimeFromTheAcceptance)
{
    full_fleet fleet;
    fleet.advance(seconds(1));
    fleet.submit(FILLING_JOB, "8");
    fleet.submit(WAITING_JOB, "1");
    fleet.advance(seconds(5));
    fleet.log.lines.clear();
    fleet.own("entry-2", 22);
    fleet.advance(seconds(3));
    cr_assert_geq(fleet.linesOf(WAITING_JOB), 1);
    const int waitedMs = std::stoi(fleet.log.lines.front().fields.at("waited_ms"));
    cr_assert_geq(waitedMs, 5000, "%d", waitedMs);
}

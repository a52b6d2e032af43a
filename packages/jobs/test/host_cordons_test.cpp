#include <criterion/criterion.h>
#include <fmt/format.h>
#include <jujubespool/jobs/host_cordons.h>
#include <jujubespool/jobs/placement.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr wall_ms WALL = 1800000000000;
constexpr milliseconds STEP{ 100 };
constexpr resources CAPACITY{ 8000, 16000, 2 };
// The longest time for which accepted work may wait although there is capacity for it.
constexpr milliseconds MAX_WAIT{ 3000 };

struct silent_log : event_log
{
    void write(std::string_view, std::initializer_list<field>) override
    {
    }
    void count(std::string_view counter, std::string_view label) override
    {
        ++counts[std::string(counter) + "/" + std::string(label)];
    }
    void observe(std::string_view, const std::string &, duration) override
    {
    }

    std::map<std::string, int> counts;
};

// A pool with two workers. "closed" has the label "special" and a GPU more than "open", and gets a cordon.
class two_workers
{
public:
    two_workers()
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        config->pools["pool"] = { "pool", true, false, {} };
        m_model.setConfig(config);
        addWorker("closed", { "kind", "r1", "special" }, CAPACITY.gpus);
        addWorker("open", { "kind", "r1" }, CAPACITY.gpus - 1);
    }

    // Renews the cordon, if it may be, in each step for this time.
    void hold(milliseconds time)
    {
        play(time, true);
    }
    void leave(milliseconds time)
    {
        play(time, false);
    }
    bool isOpen()
    {
        return acceptsNewTasks(target("closed"), m_now);
    }
    bool mayBegin() const
    {
        return cordons.mayBegin("host", m_now);
    }
    void addJob(const step_spec &step)
    {
        job_request request;
        request.id = fmt::format("{:016x}", ++m_jobs);
        request.queue = "q";
        request.steps = { step };
        m_model.add(job::accept(request, WALL)).addDueOccurrences(WALL, manager_bounds().maxRecordBytes);
    }
    // Uses this CPU on a worker.
    void load(const std::string &id, std::int64_t cpuMillis)
    {
        step_spec step;
        step.count = 1;
        step.taskResources = { cpuMillis, 100, 0 };
        addJob(step);
        m_model.place({ fmt::format("{:016x}", m_jobs), 0, 0, 0 }, target(id), m_now);
    }
    worker &target(const std::string &id)
    {
        return *m_model.workers().find(id);
    }

private:
    void addWorker(const std::string &id, const std::vector<std::string> &labels, int gpus)
    {
        const resources capacity{ CAPACITY.cpuMillis, CAPACITY.memoryMb, gpus };
        m_model.workers().update({ id, id + ":1", "pool", "a", worker_state::ready, capacity, labels, 1, {} }, m_now);
        target(id).polled = true;
        target(id).clockKnown = true;
    }
    void play(milliseconds time, bool held)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            if (held && cordons.mayBegin("host", m_now)) {
                cordons.hold("host", target("closed"), 1, m_now);
            }
            cordons.endStep(m_now);
        }
    }

    instant m_now{ seconds(1000) };
    std::uint64_t m_jobs = 0;
    fleet_model m_model{ manager_bounds() };

public:
    silent_log log;
    host_cordons cordons{ m_model, log };
};

struct waiting_case
{
    const char *name;
    std::int64_t cpuMillis;
    int gpus;
    const char *label;
    int gangTasks;
    // CPU in use on the open worker and on the closed one.
    std::int64_t usedOpen;
    std::int64_t usedClosed;
    bool opens;
};

const waiting_case WAITING[] = {
    { "the open worker has room", 4000, 0, "", 0, 1000, 1000, false },
    { "the open worker is full, and the pool is half free", 4000, 0, "", 0, 5000, 1000, true },
    { "the open worker is full, as is the pool", 4000, 0, "", 0, 8000, 1000, false },
    { "only the closed worker has the label", 1000, 0, "special", 0, 0, 1000, true },
    { "only the closed worker has the label, in a full pool", 1000, 0, "special", 0, 8000, 1000, true },
    { "only the closed worker has the GPUs", 1000, CAPACITY.gpus, "", 0, 0, 1000, true },
    { "a gang needs both workers", 6000, 0, "", 2, 0, 1000, true },
    { "no worker has room", 7500, 0, "", 0, 1000, 1000, false },
    { "no worker has the label", 1000, 0, "other", 0, 0, 1000, false },
};

} // namespace

// Guards against LOST: a cordon outlived the wave that needed it.
Test(host_cordons, lapseWithoutRenewal)
{
    two_workers fleet;
    cr_assert(fleet.isOpen());
    fleet.hold(seconds(2));
    cr_assert_not(fleet.isOpen());
    fleet.leave(2 * STEP);
    cr_assert(fleet.isOpen());
    cr_assert(fleet.mayBegin());
    cr_assert_eq(fleet.log.counts["host_cordons_ended_total/not-renewed"], 1);
}

// The owner may stop looking at waves without a word, as it does while the store is silent.
Test(host_cordons, lapseWhenNoStepFollows)
{
    two_workers fleet;
    fleet.hold(STEP);
    const worker &closed = fleet.target("closed");
    cr_assert(closed.isCordoned(closed.cordonedUntil - milliseconds(1)));
    cr_assert_not(closed.isCordoned(closed.cordonedUntil));
}

Test(host_cordons, areGivenUpAfterTheirLongestTimeAndPauseForLongerEachTime)
{
    two_workers fleet;
    for (const milliseconds pause : { seconds(4), seconds(8), seconds(16), seconds(32), seconds(32) }) {
        fleet.hold(MAX_CORDON_TIME);
        cr_assert_not(fleet.isOpen());
        fleet.hold(2 * STEP);
        cr_assert(fleet.isOpen());
        fleet.hold(pause - 3 * STEP);
        cr_assert(fleet.isOpen(), "closed again before %lld ms have passed", static_cast<long long>(pause.count()));
        fleet.leave(3 * STEP);
        cr_assert(fleet.mayBegin(), "not closed after %lld ms", static_cast<long long>(pause.count()));
    }
    cr_assert_eq(fleet.log.counts["host_cordons_ended_total/timed-out"], 5);
    fleet.hold(MAX_CORDON_TIME + 2 * STEP);
    cr_assert_not(fleet.mayBegin());
    fleet.cordons.forgetPause("host");
    cr_assert(fleet.mayBegin());
}

ParameterizedTestParameters(host_cordons, endForAcceptedWorkThatOnlyClosedWorkersHaveRoomFor)
{
    return rowsOf(WAITING);
}

// Guards against LOST: the last workers of a pool, a label or a GPU kind were closed while accepted work waited for them.
ParameterizedTest(std::size_t *row, host_cordons, endForAcceptedWorkThatOnlyClosedWorkersHaveRoomFor)
{
    const waiting_case &played = WAITING[*row];
    two_workers fleet;
    fleet.load("open", played.usedOpen);
    fleet.load("closed", played.usedClosed);
    step_spec step;
    step.count = std::max(1, played.gangTasks);
    step.gang = played.gangTasks > 0;
    step.taskResources = { played.cpuMillis, 100, played.gpus };
    step.requiredLabel = played.label;
    fleet.addJob(step);
    fleet.hold(MAX_WAIT);
    cr_expect_eq(fleet.log.counts["host_cordons_ended_total/work-waits"], played.opens ? 1 : 0, "%s", played.name);
    cr_expect_eq(fleet.isOpen(), played.opens, "%s", played.name);
}

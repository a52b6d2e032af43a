#include <criterion/criterion.h>
#include <jujubespool/jobs/pool_rebalancer.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <random>

namespace {

using namespace jujubespool;

constexpr wall_ms WALL = 1800000000000;
constexpr instant START{ seconds(100) };
constexpr milliseconds STEP{ 150 };
constexpr milliseconds MOVE_TIME{ 1500 };
constexpr resources PLAIN_HOST{ 64000, 128000, 0 };
constexpr resources GPU_HOST{ 64000, 128000, 8 };
// A step whose tasks wait for hosts gets them within this time: the time until it counts as waiting, and a move.
constexpr milliseconds MAX_TIME_TO_HOSTS{ 5000 };
constexpr milliseconds MAX_TIME_TO_GIVE_BACK{ 6000 };

// Hosts in pools, whose moves take their time, and jobs that the scheduler places on them. Nothing fails.
class simulated_platform : public worker_gateway,
                           public timer_service,
                           public run_listener,
                           public event_log,
                           public host_gateway,
                           public wave_status_publisher
{
public:
    simulated_platform()
    {
        m_config->pools["off"] = { "off", true, true, {} };
        addPool("other");
        addPool("pool");
        m_model.setConfig(m_config);
        m_hosts.setOrderRecorder([this](const host_order_record &, const std::function<void(instant now)> &recorded) { recorded(m_now); });
    }

    void limitTeam(const resources &limit)
    {
        m_config->teams["team"] = { "team", 1, limit };
    }
    void addHosts(const std::string &pool, int count, const resources &capacity, const std::string &kind)
    {
        for (int i = 0; i < count; ++i) {
            host_entry host;
            host.name = "h" + std::to_string(100 + m_listed.size());
            host.pool = pool;
            host.labels = { kind, "rack" };
            host.capacity = capacity;
            m_listed[host.name] = host;
            bringUp(m_listed[host.name]);
        }
    }
    // The platform rejects the moves of the host.
    void rejectMovesOf(const std::string &host)
    {
        m_unmovable.insert(host);
    }
    // Submits a job of one step to the queue of the pool and returns the job's identifier.
    std::string submit(const std::string &pool, const step_spec &step, milliseconds age = milliseconds(0))
    {
        job_request request;
        request.id = std::to_string(1000000000000000 + m_submitted++);
        request.queue = pool;
        request.team = "team";
        request.steps.push_back(step);
        m_model.add(job::accept(request, wallNow() - static_cast<wall_ms>(age.count())));
        return request.id;
    }
    void cancel(const std::string &id)
    {
        job &entry = *m_model.find(id);
        for (int index = 0; index < entry.step(0).count; ++index) {
            m_model.release({ id, 0, 0, index });
        }
        m_model.endJob(entry, job_state::cancelled, wallNow());
    }
    void run(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            finishMoves();
            endTasks();
            m_hosts.refresh(m_now);
            m_scheduler.decide(m_model, m_tickets, m_now, wallNow());
            m_rebalancer.tick(m_now, wallNow());
            m_scheduler.decide(m_model, m_tickets, m_now, wallNow());
        }
    }
    // Returns false when the job's tasks do not all run, or are done, within the time.
    bool runUntilPlaced(const std::string &id, milliseconds time)
    {
        for (milliseconds passed(0); passed < time && countWaiting(id) > 0; passed += STEP) {
            run(STEP);
        }
        return countWaiting(id) == 0;
    }
    int countWaiting(const std::string &id)
    {
        int waiting = 0;
        for (const task_progress &task : m_model.find(id)->occurrences().at(0).steps[0]) {
            waiting += task.phase == task_phase::waiting ? 1 : 0;
        }
        return waiting;
    }
    int hostsOf(const std::string &pool) const
    {
        return static_cast<int>(
            std::count_if(m_listed.begin(), m_listed.end(), [&pool](const auto &entry) { return entry.second.pool == pool; }));
    }
    int moves() const
    {
        return m_moves;
    }
    int interruptedRuns() const
    {
        return m_interruptedRuns;
    }
    int hostRequests() const
    {
        return m_hostRequests;
    }
    std::size_t activeJobs() const
    {
        return m_model.activeJobs().size();
    }

    void list(std::function<void(const host_list &, instant now)> done) override
    {
        host_list answer;
        answer.hosts.emplace();
        for (const auto &[name, host] : m_listed) {
            answer.hosts->push_back(host);
        }
        done(answer, m_now);
    }
    void move(const host_order &order, const std::string &pool, host_gateway::order_callback done) override
    {
        if (m_unmovable.count(order.host) > 0) {
            done({ host_order_status::invalid, {} }, m_now);
            return;
        }
        ++m_moves;
        host_entry &host = m_listed[order.host];
        takeDown(host);
        host.pool = pool;
        host.state = host_condition::moving;
        m_movesUntil[host.name] = m_now + MOVE_TIME;
        done({ host_order_status::done, {} }, m_now);
    }
    void startMaintenance(const host_order &, std::uint64_t, host_gateway::order_callback) override
    {
    }
    void publishWaveStatus(std::uint64_t, bool, std::function<void(bool written, instant now)>) override
    {
    }
    void start(const start_order &, worker_gateway::order_callback) override
    {
    }
    void stop(const stop_order &, worker_gateway::order_callback) override
    {
    }
    void setSpeedLimit(const speed_limit_order &, worker_gateway::order_callback) override
    {
    }
    void poll(const poll_order &, std::function<void(const poll_result &, instant now)>) override
    {
    }
    void after(milliseconds, std::function<void(instant now)>) override
    {
    }
    void onProgress(instant) override
    {
    }
    void whenDurable(std::function<void(instant now)>, instant) override
    {
    }
    void onFenced(instant) override
    {
    }
    void onBadTicket(const task_key &, const std::string &) override
    {
    }
    wall_ms wallNow() const override
    {
        return WALL + static_cast<wall_ms>((m_now - START).count() / 1000);
    }
    bool isOwnershipConfirmed(instant) const override
    {
        return true;
    }
    bool formerLeasesExpired(instant) const override
    {
        return true;
    }
    void write(std::string_view event, std::initializer_list<field>) override
    {
        m_hostRequests += event == "step-needs-hosts" ? 1 : 0;
    }
    void count(std::string_view, std::string_view) override
    {
    }
    void observe(std::string_view, const std::string &, duration) override
    {
    }

private:
    void addPool(const std::string &name)
    {
        m_config->pools[name] = { name, true, false, {} };
        queue_config queue;
        queue.name = name;
        queue.pool = name;
        queue.deadlineFactor = 3;
        m_config->queues.push_back(queue);
    }
    void bringUp(host_entry &host)
    {
        host.state = host_condition::up;
        host.worker.clear();
        if (host.pool == "off") {
            return;
        }
        host.worker = "w" + std::to_string(m_nextWorker++);
        m_model.workers().update(
            { host.worker, host.worker + ":1", host.pool, "a", worker_state::ready, host.capacity, host.labels, 1, {} }, m_now);
        worker &target = *m_model.workers().find(host.worker);
        target.polled = true;
        target.clockKnown = true;
    }
    void takeDown(const host_entry &host)
    {
        const worker *target = m_model.workers().find(host.worker);
        if (target != nullptr) {
            m_interruptedRuns += static_cast<int>(target->runs.size());
            m_model.workers().markUnlisted(host.worker);
            m_model.workers().pruneUnlisted(m_now);
        }
    }
    void finishMoves()
    {
        std::erase_if(m_movesUntil, [this](const auto &entry) {
            if (entry.second > m_now) {
                return false;
            }
            bringUp(m_listed[entry.first]);
            return true;
        });
    }
    void endTasks()
    {
        std::vector<std::pair<std::string, finished_run>> ended;
        for (const auto &[id, target] : m_model.workers().all()) {
            for (const auto &[key, placed] : target.runs) {
                const step_spec &step = m_model.find(key.job)->step(key.step);
                if (!step.longRunning && m_now >= placed.placedAt + step.estimated) {
                    ended.push_back({ id, { ++m_lastEnd, key, placed.run, run_outcome::done, {} } });
                }
            }
        }
        for (const auto &[id, finished] : ended) {
            m_model.applyEnd(finished, id, wallNow());
        }
    }

    instant m_now = START;
    std::shared_ptr<fleet_config> m_config = std::make_shared<fleet_config>();
    std::map<std::string, host_entry> m_listed;
    std::map<std::string, instant> m_movesUntil;
    std::set<std::string> m_unmovable;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_submitted = 0;
    int m_nextWorker = 1000;
    int m_moves = 0;
    int m_interruptedRuns = 0;
    int m_hostRequests = 0;
    fleet_model m_model{ manager_bounds() };
    run_scheduler m_scheduler;
    policy_ticket_cache m_tickets;
    run_supervisor m_runs{ m_model, *this, *this, *this, 1, *this };
    host_controller m_hosts{ m_model, *this, *this, "holder", 1 };
    host_maintenance_controller m_maintenance{ m_model, m_runs, m_hosts, *this, *this };
    pool_rebalancer m_rebalancer{ m_model, m_hosts, m_maintenance, *this };
};

step_spec stepOf(int count, const resources &need, milliseconds estimated)
{
    step_spec step;
    step.count = count;
    step.taskResources = need;
    step.estimated = estimated;
    step.longRunning = estimated == milliseconds(0);
    return step;
}

constexpr milliseconds LASTS{ 0 };

step_spec labelled(step_spec step, const std::string &label)
{
    step.requiredLabel = label;
    return step;
}

step_spec oneAWorker(step_spec step)
{
    step.maxPerWorker = 1;
    return step;
}

step_spec gangOf(step_spec step)
{
    step.gang = true;
    return step;
}

step_spec bestEffort(step_spec step)
{
    step.bestEffort = true;
    return step;
}

struct shape
{
    const char *name;
    // Hosts of the pool, and the step that occupies them; no tasks for an empty pool.
    int hosts;
    step_spec present;
    step_spec waiting;
    milliseconds age;
    // Number of hosts that the tasks of both steps need.
    int hostsNeeded;
};

const std::vector<shape> SHAPES{
    { "memory", 1, stepOf(1, { 1000, 100000, 0 }, LASTS), stepOf(1, { 1000, 64000, 0 }, LASTS), {}, 2 },
    { "memoryOfATaskThatEnds", 1, stepOf(1, { 1000, 100000, 0 }, LASTS), stepOf(1, { 1000, 64000, 0 }, seconds(4)), {}, 2 },
    { "gpus", 1, stepOf(1, { 1000, 1000, 0 }, LASTS), stepOf(2, { 1000, 1000, 8 }, LASTS), {}, 3 },
    { "label", 1, stepOf(1, { 1000, 1000, 0 }, LASTS), labelled(stepOf(1, { 1000, 1000, 0 }, seconds(4)), "large"), {}, 2 },
    { "oneAWorker", 2, stepOf(1, { 1000, 1000, 0 }, LASTS), oneAWorker(stepOf(5, { 1000, 1000, 0 }, LASTS)), {}, 5 },
    { "gang", 2, stepOf(1, { 1000, 1000, 0 }, LASTS), gangOf(oneAWorker(stepOf(5, { 1000, 1000, 0 }, seconds(4)))), {}, 5 },
    { "gangThatIsLate", 1, stepOf(1, { 1000, 1000, 0 }, LASTS), gangOf(stepOf(4, { 40000, 1000, 0 }, seconds(4))), seconds(60), 4 },
    { "largeTaskBesideLastingTasks", 3, oneAWorker(stepOf(3, { 38000, 1000, 0 }, LASTS)), stepOf(1, { 32000, 1000, 0 }, LASTS), {}, 4 },
    { "bestEffort", 0, {}, bestEffort(stepOf(2, { 1000, 1000, 0 }, seconds(4))), {}, 1 },
    { "bestEffortThatLasts", 0, {}, bestEffort(stepOf(2, { 1000, 1000, 0 }, LASTS)), {}, 1 },
    { "bestEffortOneAWorker", 1, stepOf(1, { 1000, 1000, 0 }, LASTS), bestEffort(oneAWorker(stepOf(3, { 1000, 1000, 0 }, LASTS))), {}, 3 },
};

void addFleet(simulated_platform &platform, int hostsOfPool)
{
    platform.addHosts("pool", hostsOfPool, PLAIN_HOST, "plain");
    platform.addHosts("other", 2, PLAIN_HOST, "plain");
    platform.addHosts("off", 8, PLAIN_HOST, "plain");
    platform.addHosts("off", 3, GPU_HOST, "large");
}

// Steps that no number of hosts of the fleet can hold.
const std::vector<std::pair<const char *, step_spec>> IMPOSSIBLE{
    { "labelOfNoHost", labelled(stepOf(1, { 1000, 1000, 0 }, LASTS), "none") },
    { "moreMemoryThanAHost", stepOf(1, { 1000, 256000, 0 }, LASTS) },
    { "moreGpusThanAHost", stepOf(1, { 1000, 1000, 16 }, seconds(4)) },
    { "gangOfMoreHostsThanThereAre", gangOf(oneAWorker(stepOf(40, { 100, 1000, 0 }, milliseconds(200)))) },
};

} // namespace

Test(host_demand, aStepThatWaitsForHostsGetsThemKeepsThemAndGivesThemBack)
{
    for (const shape &row : SHAPES) {
        simulated_platform platform;
        addFleet(platform, row.hosts);
        if (row.present.count > 0) {
            platform.submit("pool", row.present);
        }
        platform.run(seconds(10));
        const int before = platform.hostsOf("pool");
        const std::string id = platform.submit("pool", row.waiting, row.age);
        cr_expect(platform.runUntilPlaced(id, MAX_TIME_TO_HOSTS), "%s: %d tasks wait, %d hosts", row.name, platform.countWaiting(id),
                  platform.hostsOf("pool"));
        const int whileRunning = platform.hostsOf("pool");
        cr_expect_leq(whileRunning, row.hostsNeeded, "%s: %d hosts for %d", row.name, whileRunning, row.hostsNeeded);
        platform.run(row.waiting.longRunning ? seconds(20) : seconds(3));
        cr_expect_eq(platform.countWaiting(id), 0, "%s: %d tasks wait later", row.name, platform.countWaiting(id));
        cr_expect_leq(platform.hostsOf("pool"), whileRunning, "%s: %d hosts later", row.name, platform.hostsOf("pool"));
        if (row.waiting.longRunning) {
            platform.cancel(id);
        }
        platform.run(MAX_TIME_TO_GIVE_BACK);
        cr_expect_leq(platform.hostsOf("pool"), std::max(before, 1), "%s: %d of %d hosts kept", row.name, platform.hostsOf("pool"),
                      whileRunning);
        cr_expect_eq(platform.interruptedRuns(), 0, "%s: %d runs interrupted", row.name, platform.interruptedRuns());
    }
}

Test(host_demand, aBusyHostOfAnotherPoolIsVacatedWhenNoIdleOneHoldsTheStep)
{
    simulated_platform platform;
    platform.addHosts("pool", 1, PLAIN_HOST, "plain");
    platform.addHosts("other", 2, PLAIN_HOST, "large");
    platform.submit("pool", stepOf(1, { 1000, 1000, 0 }, LASTS));
    const std::string waiting = platform.submit("pool", labelled(stepOf(1, { 1000, 1000, 0 }, LASTS), "large"));
    for (int i = 0; i < 200 && platform.countWaiting(waiting) > 0; ++i) {
        platform.submit("other", oneAWorker(stepOf(2, { 1000, 1000, 0 }, milliseconds(600))));
        platform.run(STEP);
    }
    cr_assert_eq(platform.countWaiting(waiting), 0);
    cr_assert_eq(platform.hostsOf("other"), 1);
    cr_assert_eq(platform.interruptedRuns(), 0);
}

Test(host_demand, anotherHostIsTakenWhenThePlatformRejectsAMove)
{
    simulated_platform platform;
    platform.addHosts("pool", 1, PLAIN_HOST, "plain");
    platform.addHosts("off", 2, GPU_HOST, "large");
    platform.rejectMovesOf("h101");
    platform.submit("pool", stepOf(1, { 1000, 1000, 0 }, LASTS));
    const std::string waiting = platform.submit("pool", stepOf(1, { 1000, 1000, 1 }, LASTS));
    cr_assert(platform.runUntilPlaced(waiting, MAX_TIME_TO_HOSTS));
}

// The hosts of a gang become free one after the other; without the first ones it would never be placed.
Test(host_demand, idleHostsAreKeptForAGangUntilItsLastHostIsThere)
{
    simulated_platform platform;
    platform.addHosts("pool", 3, PLAIN_HOST, "plain");
    platform.addHosts("other", 1, PLAIN_HOST, "plain");
    platform.submit("pool", oneAWorker(stepOf(2, { 1000, 1000, 0 }, milliseconds(500))));
    platform.run(STEP);
    platform.submit("pool", stepOf(1, { 1000, 100000, 0 }, seconds(12)));
    platform.submit("other", stepOf(1, { 1000, 1000, 0 }, seconds(6)));
    platform.run(STEP);
    const std::string gang = platform.submit("pool", gangOf(oneAWorker(stepOf(4, { 1000, 100000, 0 }, seconds(1)))));
    cr_assert(platform.runUntilPlaced(gang, seconds(20)), "%d hosts", platform.hostsOf("pool"));
}

// The other pool needs more CPU than it has, and the step's pool has a host too many.
Test(host_demand, aHostIsNotVacatedForAnotherPoolWhileAStepWaitsForItsFreeCapacity)
{
    const std::int64_t cpu = PLAIN_HOST.cpuMillis;
    pool_snapshot pool{ "pool", false, {}, 0, 0, 1000, 0, 0, 0, 0, 0 };
    pool.hosts.push_back({ "h1", cpu, false, true, 1, PLAIN_HOST, PLAIN_HOST, "w1", nullptr });
    pool.hosts.push_back({ "h2", cpu, false, true, 2, PLAIN_HOST, PLAIN_HOST, "w2", nullptr });
    const pool_snapshot other{ "other", false, {}, 0, 0, 0, 0, 2 * cpu, 0, 0, 0 };
    pool_capacity_planner withoutStep(MOVE_TIME);
    cr_assert(withoutStep.plan({ pool, other }, START).hostsToVacate == std::vector<std::string>{ "h1" });
    pool.waitingSteps.push_back({ {}, { 1000, 1000, 0 }, {}, 1, 0, false, {} });
    pool_capacity_planner withStep(MOVE_TIME);
    cr_assert(withStep.plan({ pool, other }, START).hostsToVacate == std::vector<std::string>{ "h2" });
}

struct fit_row
{
    const char *name;
    waiting_step step;
    int tasksPlaced;
    std::vector<std::size_t> spaces;
};

// A space without memory, one with a label in which a task of the step runs, and a large one.
Test(host_demand, aStepIsFittedIntoTheFirstSpacesThatHoldItsTasks)
{
    const std::vector<std::string> labels{ "large" };
    const std::vector<host_space> spaces{ { "h1", "w1", { 8000, 0, 0 }, nullptr },
                                          { "h2", "w2", { 8000, 8000, 0 }, &labels },
                                          { "h3", "w3", { 64000, 64000, 8 }, nullptr } };
    const resources small{ 1000, 1000, 0 };
    const std::vector<fit_row> rows{
        { "packed", { {}, small, {}, 9, 0, false, {} }, 9, { 1, 2 } },
        { "label", { {}, small, "large", 9, 0, false, {} }, 8, { 1 } },
        { "gangWithoutRoom", { {}, small, "large", 9, 0, true, {} }, 0, {} },
        { "gangWithRoom", { {}, small, "large", 8, 0, true, {} }, 8, { 1 } },
        { "oneAHost", { {}, small, {}, 3, 1, false, { { "w2", 1 } } }, 1, { 2 } },
        { "gpus", { {}, { 0, 0, 4 }, {}, 3, 0, false, {} }, 2, { 2 } },
        { "noNeedButCpu", { {}, { 8000, 0, 0 }, {}, 2, 0, false, {} }, 2, { 0, 1 } },
    };
    for (const fit_row &row : rows) {
        std::vector<host_space> left = spaces;
        const step_fit fit = fitStep(row.step, left);
        cr_expect_eq(fit.tasksPlaced, row.tasksPlaced, "%s: %d", row.name, fit.tasksPlaced);
        cr_expect(fit.spaces == row.spaces, "%s: %zu spaces", row.name, fit.spaces.size());
        std::int64_t taken = 0;
        for (std::size_t i = 0; i < left.size(); ++i) {
            taken += spaces[i].free.cpuMillis - left[i].free.cpuMillis;
        }
        cr_expect_eq(taken, fit.tasksPlaced * row.step.need.cpuMillis, "%s", row.name);
    }
}

// Random steps in turn, into the same random spaces.
Test(host_demand, stepsThatAreNotTriedWouldNotHaveFitted)
{
    std::mt19937_64 random(1);
    const std::vector<std::string> labels{ "large" };
    for (int round = 0; round < 300; ++round) {
        std::vector<host_space> spaces;
        for (int i = 0; i < 6; ++i) {
            const auto size = static_cast<std::int64_t>(random() % 8);
            const std::string number = std::to_string(i);
            spaces.push_back({ "h" + number, "w" + number, { size, 8 - size, 0 }, random() % 2 == 0 ? &labels : nullptr });
        }
        step_fitter fitter(spaces);
        for (int i = 0; i < 30; ++i) {
            waiting_step step{
                {}, { static_cast<std::int64_t>(random() % 4), 1 + static_cast<std::int64_t>(random() % 4), 0 }, {}, 0, 0, false, {}
            };
            step.requiredLabel = random() % 2 == 0 ? "large" : "";
            step.tasks = 1 + static_cast<int>(random() % 4);
            step.maxPerHost = static_cast<int>(random() % 3);
            step.gang = random() % 2 == 0;
            if (step.maxPerHost > 0 && random() % 2 == 0) {
                step.running["w" + std::to_string(random() % 6)] = 1;
            }
            const step_fit expected = fitStep(step, spaces);
            cr_assert_eq(fitter.fit(step).tasksPlaced, expected.tasksPlaced, "round %d step %d", round, i);
        }
    }
}

Test(host_demand, aStepThatNoHostsCanHoldMovesNone)
{
    for (const auto &[name, step] : IMPOSSIBLE) {
        simulated_platform platform;
        addFleet(platform, 1);
        platform.submit("pool", stepOf(1, { 1000, 1000, 0 }, LASTS));
        platform.submit("other", oneAWorker(stepOf(2, { 1000, 1000, 0 }, LASTS)));
        platform.run(seconds(10));
        const int before = platform.moves();
        platform.submit("pool", step);
        platform.run(seconds(10));
        cr_expect_eq(platform.moves(), before, "%s: %d moves", name, platform.moves() - before);
    }
}

Test(host_demand, aTeamAtItsLimitMovesNone)
{
    simulated_platform platform;
    platform.limitTeam({ 0, 1500, 0 });
    addFleet(platform, 1);
    platform.submit("pool", stepOf(1, { 1000, 1000, 0 }, LASTS));
    platform.run(seconds(10));
    const int before = platform.moves();
    platform.submit("pool", labelled(stepOf(1, { 1000, 1000, 0 }, LASTS), "large"));
    platform.run(seconds(10));
    cr_assert_eq(platform.moves(), before, "%d moves", platform.moves() - before);
}

// Queues that peak in turn, with more work than the fleet can do at the height of each peak.
Test(host_demand, ordinaryLoadAsksForNoHostsBeyondItsProcessorTime)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::mt19937_64 random(seed);
        simulated_platform platform;
        platform.addHosts("pool", 3, PLAIN_HOST, "plain");
        platform.addHosts("other", 3, PLAIN_HOST, "plain");
        platform.addHosts("off", 6, PLAIN_HOST, "plain");
        platform.submit("pool", stepOf(4, { 2000, 4000, 0 }, LASTS));
        for (int i = 0; i < 200; ++i) {
            const bool peak = i / 20 % 2 == 0;
            const std::string pool = i / 40 % 2 == 0 ? "pool" : "other";
            for (std::uint64_t submitted = random() % (peak ? 12 : 2); submitted > 0; --submitted) {
                const auto cores = static_cast<std::int64_t>(1 + random() % 16);
                const milliseconds time(200 + random() % 1500);
                platform.submit(pool, stepOf(1 + static_cast<int>(random() % 12), { cores * 1000, cores * 1500, 0 }, time));
            }
            platform.run(STEP);
        }
        platform.run(seconds(60));
        cr_expect_eq(platform.activeJobs(), 1U, "seed %lu: %zu jobs", seed, platform.activeJobs());
        cr_expect_gt(platform.moves(), 10, "seed %lu: %d moves", seed, platform.moves());
        cr_expect_eq(platform.hostRequests(), 0, "seed %lu: %d requests", seed, platform.hostRequests());
    }
}

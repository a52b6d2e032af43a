// An in-memory platform for tests: a store, workers and hosts on one manually advanced clock.
//
//     fake_platform platform;
//     platform.addWorker("w1", "pool", { 8000, 16000, 0 });
//     owner_session session(platform.clientsOf("entry-1"), platform, log, settings, identity, wall);
//     platform.advance(seconds(5));
//     platform.violations();       // empty if every invariant held
//
// Each process has its own clients, so that a test can partition one process from the store or from workers.
#pragma once

#include <deque>
#include <jujubespool/manager/owner_session.h>
#include <queue>

namespace jujubespool {

class fake_platform;

// Faults in the connections of one process.
struct fake_links
{
    bool storeDown = false;
    // Appends are executed, but their responses are lost.
    bool storeResponsesLost = false;
    std::set<std::string> unreachableWorkers;
    // Workers execute start orders after this delay and do not respond to them.
    milliseconds startDelay{ 0 };
    // The store carries writes out this long after they arrived, if their condition still holds, and does not answer them.
    milliseconds lateWrites{ 0 };
    // Number of appends executed by the store.
    int appends = 0;
    // Additional time that each call to the store takes.
    milliseconds storeDelay{ 0 };
    // Workers execute these orders, but their responses are lost.
    bool startResponsesLost = false;
    bool stopResponsesLost = false;
    // The process receives neither responses nor timer events; it gets them late, once it runs again.
    bool paused = false;
};

struct fake_run
{
    int run = 0;
    instant endsAt;
    run_outcome plannedEnd = run_outcome::done;
    resources need;
    // When the task began to work, and the work that its checkpoint contained; only for requested jobs.
    std::optional<instant> workingSince = std::nullopt;
    milliseconds savedWork{ 0 };
    bool stopping = false;
};

struct fake_worker
{
    worker_report report;
    bool alive = true;
    // Start of this incarnation, from which its clock counts.
    instant startedAt;
    std::uint64_t fencingToken = 0;
    instant leaseExpiresAt;
    std::map<task_key, fake_run> running;
    std::vector<finished_run> finished;
    std::uint64_t lastEndNumber = 0;
    std::map<task_key, int> highestEndedRun;
    int starts = 0;
    bool failsAllRuns = false;
    // When the ends happened, by their numbers, and when the lease has lapsed last.
    std::map<std::uint64_t, instant> endedAt;
    instant lapsedAt;
    // The worker refuses all start orders: with an answer 503, or because of its room.
    bool refusesStarts = false;
    bool hasNoRoom = false;
};

// The members of one run of a gang that are present on workers.
struct fake_gang
{
    std::map<int, std::string> workerOfMember;
    bool working = false;
};

class fake_platform : public timer_service
{
public:
    fake_platform();
    ~fake_platform() override;

    instant now() const
    {
        return m_now;
    }
    wall_ms wall() const;
    void after(milliseconds delay, std::function<void(instant now)> call) override;
    // Advances the clock and runs the events that become due.
    void advance(milliseconds time);

    fake_worker &addWorker(const std::string &id, const std::string &pool, const resources &capacity);
    fake_worker &workerNamed(const std::string &id)
    {
        return m_workers.at(id);
    }
    // Restarts the worker under the same ID with a later start time. Its report is published after the given time.
    void restartWorker(const std::string &id, milliseconds listedAfter = milliseconds(0));
    // Publishes an entry of another writer, which cannot be read as a report.
    void publishOddEntry(const std::string &key);
    // Records that nothing runs on the worker any more, after a crash.
    void clearRunningOn(const std::string &id);
    void unlistWorker(const std::string &id);
    // Publishes the worker's present report.
    void listWorker(const std::string &id);
    void setConfig(const fleet_config &config);
    // Duration of each run of a task; 200 ms by default.
    std::function<milliseconds(const task_key &)> runTime;
    // Whether each run of a task fails on any worker; none does by default.
    std::function<bool(const task_key &)> alwaysFails;
    // The answer of the policy service for these workers; none by default.
    std::function<ticket_response(const std::vector<std::string> &workers)> policyAnswer;
    // Whether the worker accepts the ticket of the order; any by default.
    std::function<bool(const start_order &order)> acceptsTicket;

    // Jobs that a process accepts with the body "job:ID". Their runs follow their steps: capacity, labels, tickets, gangs, checkpoints
    // and the time of a stop.
    std::map<std::string, job_request> requests;
    // Whether this run of a task of a requested job fails.
    std::function<bool(const task_key &, int run)> failsRun;
    // Whether the policy allows the step on the worker.
    std::function<bool(const std::string &step, const std::string &worker)> policyAllows;
    milliseconds stopTime{ 0 };
    milliseconds gangWait{ 3000 };
    // Time until a moved host has a new worker; without it, a move keeps the worker.
    milliseconds moveTime{ 0 };
    // Time until a host whose maintenance was ordered has a new worker; without it, an order is answered and has no effect.
    milliseconds maintenanceTime{ 0 };
    // Publishes a maintenance wave, or another version of it.
    void publishWave(const host_maintenance_wave &wave);
    // Publishes that the data centre is evacuated, or takes that back.
    void publishEvacuation(const std::string &dataCenter, bool evacuate);
    // The store has only the newest entry of each key left, and no record that it held before.
    void forgetHistory();
    // Hosts of the wave whose maintenance has begun.
    const std::set<std::string> &maintained(std::uint64_t wave)
    {
        return m_maintained[wave];
    }
    // Stops and maintenance orders have to leave as many tasks of a step that lasts at work as the step demands. Only for plays in which
    // nobody cancels such a job and no worker fails.
    bool checksAvailability = false;
    // The answers to orders for hosts are lost, and whether the host service answers at all.
    bool hostAnswersLost = false;
    bool hostServiceDown = false;
    // Of the maintenance orders, this many, after so many others, get no answer and are carried out this much later.
    int lateMaintenanceOrders = 0;
    int promptMaintenanceOrders = 0;
    milliseconds maintenanceOrderDelay{ 0 };
    // The store refuses appends with a larger record; 0 for no limit.
    std::size_t maxRecordBytes = 0;
    // Everything that runs on the worker is gone, and it answers nothing.
    void crashWorker(const std::string &id);
    const std::map<std::string, fake_worker> &workers() const
    {
        return m_workers;
    }
    // Number of ends `done`, or of recorded ends `failed`, of a task.
    int doneEnds(const task_key &key) const;
    int recordedFailures(const task_key &key) const;
    int failedEnds(const task_key &key) const;

    platform_clients clientsOf(const std::string &process);
    // Timers of one process, which are delayed while it is paused.
    timer_service &timersOf(const std::string &process);
    // Delivers to a process that was paused what it has not received.
    void resume(const std::string &process);
    fake_links &linksOf(const std::string &process);
    // The hosts listed by the host service, and the move orders it received, as pairs of process and host.
    std::vector<host_entry> hosts;
    std::vector<std::pair<std::string, std::string>> hostOrders;
    // Violations of an invariant, one line each.
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    int doneRuns() const
    {
        return m_doneRuns;
    }
    std::size_t runningTasks() const;

private:
    friend struct fake_process;
    struct event_entry
    {
        instant at;
        std::uint64_t number = 0;
        std::function<void(instant now)> call;
        bool operator<(const event_entry &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    struct stored_record
    {
        std::string key;
        std::optional<std::string> value;
    };
    ledger_append_result append(const ledger_append &call);
    feed_page newest(feed which) const;
    feed_page read(feed which, std::uint64_t from) const;
    order_result startOn(fake_worker &target, const start_order &order);
    void endRun(fake_worker &target, task_key key, run_outcome outcome);
    void extendLease(fake_worker &target, instant until);
    // Ends up to this number are recorded. An end `done` whose worker's lease has lapsed since may be disregarded.
    void recordEnds(fake_worker &target, std::uint64_t number);
    void stopRun(fake_worker &target, const task_key &key);
    void expireLeases();
    void finishDueRuns();
    // fake_platform_jobs.cpp: how workers play the tasks of requested jobs.
    const step_spec *requestedStep(const task_key &key) const;
    resources needOf(const task_key &key) const;
    std::optional<order_result> refusalOf(const fake_worker &target, const start_order &order) const;
    bool hasTicket(const fake_worker &target, const start_order &order) const;
    void checkStart(const fake_worker &target, const start_order &order);
    void checkTeamLimit(const task_key &key);
    void beginRun(fake_worker &target, const start_order &order);
    void work(fake_worker &target, const task_key &key, fake_run &run);
    void joinGang(const start_order &order);
    void leaveGang(const task_key &key, int run, run_outcome outcome);
    milliseconds workDone(const fake_run &run) const;
    std::string checkpointOf(const task_key &key, const fake_run &run);
    task_key checkpointOwner(const task_key &key) const;
    ticket_response ticketsFor(const std::string &step, const std::vector<std::string> &workers);
    host_order_status moveHost(const std::string &name, const std::string &pool);
    host_order_status maintainHost(const std::string &name, std::uint64_t wave);
    host_entry *findHost(const std::string &name);
    // Gives the host, which was away, a worker of its pool.
    void addWorkerOn(const std::string &host);
    void checkMaintenance(const host_entry &host, std::uint64_t wave);
    // Checks that the run may be ended by an order although it lasts.
    void checkAvailability(const task_key &key);

    instant m_now;
    std::uint64_t m_nextEventNumber = 0;
    std::priority_queue<event_entry> m_events;
    std::map<feed, std::vector<stored_record>> m_feeds;
    // By feed: offset of the first record that the store still has.
    std::map<feed, std::uint64_t> m_firstKept;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::deque<std::pair<std::pair<std::uint64_t, std::uint64_t>, ledger_append_result>> m_lastAppends;
    std::int64_t clockOf(const fake_worker &target) const;

    std::map<std::string, fake_worker> m_workers;
    std::map<std::string, worker_report> m_publishedReports;
    std::map<task_key, std::set<std::string>> m_runningOn;
    std::set<task_key> m_acknowledgedTasks;
    std::map<std::pair<task_key, int>, fake_gang> m_gangs;
    std::map<task_key, std::set<std::string>> m_checkpoints;
    std::map<task_key, int> m_doneEnds;
    std::map<task_key, int> m_recordedFailures;
    std::map<task_key, int> m_failedEnds;
    std::map<std::string, instant> m_ticketsIssuedAt;
    std::map<std::string, queue_config> m_knownQueues;
    int m_movedWorkers = 0;
    std::map<std::uint64_t, host_maintenance_wave> m_waves;
    std::map<std::uint64_t, std::set<std::string>> m_maintained;
    std::vector<std::string> m_violations;
    int m_doneRuns = 0;
    std::shared_ptr<const fleet_config> m_config;
    std::map<std::string, std::unique_ptr<struct fake_process>> m_processes;
};

const std::string QUEUE_PATH = "/q/";

// A configuration with the queue QUEUE_PATH of the host name "h", whose tasks run in the pool "pool".
fleet_config configWithOneQueue();

// Counts the logged events by name.
class counting_log : public event_log
{
public:
    void write(std::string_view event, std::initializer_list<field>) override
    {
        ++events[std::string(event)];
    }
    void count(std::string_view, std::string_view) override
    {
    }
    void observe(std::string_view, const std::string &, duration) override
    {
    }

    std::map<std::string, int> events;
};

} // namespace jujubespool

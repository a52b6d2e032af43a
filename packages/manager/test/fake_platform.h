// A platform in memory for tests: a store, workers and hosts on one hand-driven clock.
//
//     fake_platform platform;
//     platform.addWorker("w1", "pool", { 8000, 16000, 0 });
//     owner_session session(platform.clientsOf("entry-1"), platform, log, settings, identity, wall);
//     platform.advance(seconds(5));
//     platform.violations();       // empty when every promise was kept
//
// Each process has clients of its own, so that a test can cut one process off from the store or from workers.
#pragma once

#include <deque>
#include <jujubespool/manager/owner_session.h>
#include <queue>

namespace jujubespool {

class fake_platform;

// What a process can reach, and what happens to its calls.
struct fake_links
{
    bool storeDown = false;
    // Appends are done, but their answers are lost.
    bool storeAnswersLost = false;
    std::set<std::string> unreachableWorkers;
    // Starts at workers are carried out this much later and not answered.
    milliseconds startsLate{ 0 };
    // Answers of the store so far.
    int appends = 0;
};

struct fake_run
{
    int run = 0;
    instant endsAt;
    run_outcome how = run_outcome::done;
    resources need;
};

struct fake_worker
{
    worker_report report;
    bool alive = true;
    std::uint64_t fence = 0;
    instant until;
    std::map<task_key, fake_run> running;
    std::vector<finished_run> finished;
    std::uint64_t ends = 0;
    std::map<task_key, int> highestOver;
    int starts = 0;
    bool failsAll = false;
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
    void advance(milliseconds time);

    fake_worker &addWorker(const std::string &id, const std::string &pool, const resources &capacity);
    fake_worker &workerNamed(const std::string &id)
    {
        return m_workers.at(id);
    }
    // The worker starts another life under its id.
    void restartWorker(const std::string &id);
    // The worker has crashed: nothing of it runs any more.
    void clearRunningOn(const std::string &id);
    void unlistWorker(const std::string &id);
    void setConfig(const fleet_config &config);
    // How long a task's run takes; by default 200 ms.
    std::function<milliseconds(const task_key &)> runTime;
    // Whether a task's runs fail wherever they are; by default none does.
    std::function<bool(const task_key &)> hopeless;

    platform_clients clientsOf(const std::string &process);
    fake_links &linksOf(const std::string &process);
    // What the host service lists, and the orders that it was given: process and host.
    std::vector<host_entry> hosts;
    std::vector<std::pair<std::string, std::string>> hostOrders;
    // Broken promises, one line each.
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
        std::uint64_t order = 0;
        std::function<void(instant now)> call;
        bool operator<(const event_entry &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct kept_record
    {
        std::string key;
        std::optional<std::string> value;
    };
    ledger_append_result append(const ledger_append &call);
    feed_page newest(feed which) const;
    feed_page read(feed which, std::uint64_t from) const;
    order_result startOn(fake_worker &target, const start_order &order);
    void endRun(fake_worker &target, task_key key, run_outcome how);
    void lapse();
    void finishDue();

    instant m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<event_entry> m_events;
    std::map<feed, std::vector<kept_record>> m_feeds;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::deque<std::pair<std::pair<std::uint64_t, std::uint64_t>, ledger_append_result>> m_lastAppends;
    std::map<std::string, fake_worker> m_workers;
    std::map<task_key, std::set<std::string>> m_runningOn;
    std::set<task_key> m_doneNoted;
    std::vector<std::string> m_violations;
    int m_doneRuns = 0;
    std::shared_ptr<const fleet_config> m_config;
    std::map<std::string, std::unique_ptr<struct fake_process>> m_processes;
};

// Counts what is logged.
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

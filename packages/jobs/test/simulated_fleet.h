// A job manager with a fleet that answers after fixed times on a simulated clock, for tests and measurements of what its decisions cost.
//
//     simulated_fleet fleet(1100, seed, log);
//     fleet.play(seconds(1));                      // without load
//     fleet.playLoad(seconds(2), 5);               // five starts a second and worker
//     fleet.platform().starts;
//
// Five queues have a pool each. One of them is at its peak and gets most of the jobs. The manager may have a virtual processor, on which
// each call takes time and what comes meanwhile waits.
#pragma once

#include <deque>
#include <jujubespool/jobs/job_manager.h>
#include <queue>
#include <random>
#include <unordered_map>

namespace jujubespool {

// A store, workers and hosts. Workers start what they are told to start.
class simulated_platform : public timer_service,
                           public ledger_store,
                           public worker_gateway,
                           public host_gateway,
                           public policy_gateway,
                           public wave_status_publisher
{
public:
    void after(milliseconds delay, std::function<void(instant now)> call) override;
    // Advances the clock and runs the events that become due.
    void advanceTo(instant until);
    instant now() const
    {
        return m_now;
    }

    void append(const ledger_append &call, std::function<void(const ledger_append_result &, instant now)> done) override;
    void start(const start_order &order, worker_gateway::order_callback done) override;
    void stop(const stop_order &order, worker_gateway::order_callback done) override;
    void setSpeedLimit(const speed_limit_order &order, worker_gateway::order_callback done) override;
    void poll(const poll_order &order, std::function<void(const poll_result &, instant now)> done) override;
    void list(std::function<void(const host_list &, instant now)> done) override;
    void move(const host_order &order, const std::string &pool, host_gateway::order_callback done) override;
    void startMaintenance(const host_order &order, std::uint64_t wave, host_gateway::order_callback done) override;
    void requestTickets(const std::string &step, const std::vector<std::string> &workers, milliseconds timeout,
                        std::function<void(const ticket_response &, instant now)> done) override;
    void publishWaveStatus(std::uint64_t wave, bool completed, std::function<void(bool written, instant now)> done) override;

    std::vector<host_entry> hosts;
    long starts = 0;
    long polls = 0;
    long ends = 0;
    long appends = 0;
    std::uint64_t ledgerBytes = 0;
    // Calls the manager, or lets the call wait until its processor is free.
    void enter(std::function<void(instant now)> call);
    // Time that a call into the manager has taken on its virtual processor, asked after each call. Without it, calls take no time.
    std::function<duration()> costOfCall;
    duration processorTimeUsed{ 0 };
    // Called with true when the platform calls the manager, and with false when it has returned or calls the platform.
    std::function<void(bool inside)> onBoundary = [](bool) {
    };

private:
    struct event
    {
        instant at;
        std::uint64_t number = 0;
        std::function<void(instant now)> call;
        bool operator<(const event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    struct simulated_worker
    {
        std::map<task_key, int> running;
        std::vector<finished_run> ends;
        std::uint64_t lastEnd = 0;
        std::uint64_t pollNumber = 0;
        std::uint64_t startTimeMs = 0;
        std::function<void(const poll_result &, instant now)> answer;
    };
    void schedule(duration delay, std::function<void(instant now)> call);
    void serveInbox();
    // Answers the manager's call after the delay.
    template <typename Callback, typename Result> void answerAfter(milliseconds delay, Callback done, Result result);
    void endRun(const std::string &id, const task_key &task, instant now);
    void answerPoll(simulated_worker &target, instant now);

    instant m_now{ seconds(100) };
    std::deque<std::function<void(instant now)>> m_inbox;
    bool m_processorBusy = false;
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<event> m_events;
    std::unordered_map<std::string, simulated_worker> m_workers;
};

class simulated_fleet
{
public:
    simulated_fleet(int workers, std::uint64_t seed, event_log &log);

    // Ticks the manager for this time, without new jobs.
    void play(milliseconds length);
    // The same with new jobs, which together have this many starts a second and worker.
    void playLoad(milliseconds length, double startsPerWorker);

    simulated_platform &platform()
    {
        return m_platform;
    }
    job_manager &manager()
    {
        return m_manager;
    }
    const job_manager &manager() const
    {
        return m_manager;
    }

    // Lets the clock run until then.
    void tickUntil(instant until);
    // A job of the queue, or of one that is drawn.
    job_request makeJob(const std::string &queue = {});
    wall_ms wallAt(instant now) const;

private:
    int m_workerCount;
    std::mt19937_64 m_random;
    simulated_platform m_platform;
    instant m_start;
    instant m_nextTick;
    std::uint64_t m_nextJob = 0;
    bool m_tickWaits = false;
    job_manager m_manager;
};

} // namespace jujubespool

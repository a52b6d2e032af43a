// Workers and hosts of the jobs stand-in: runs under leases, fences, ends, moves and upkeeps.
//
//     worker_fleet fleet(base, server, store);
//     fleet.add("pool-a", 4);
//     fleet.violations();       // empty when every promise was kept
//
// A task's spec says how it goes: "ms=200" for its run time, "fail=2" for runs that fail before one succeeds, and
// "lasts=1" for a task that runs until it is stopped. The fleet notes what no process may do: two runs of a task at
// once, and a start after the task's end was taken note of.
#pragma once

#include "log_store.h"
#include <memory>
#include <set>

namespace standin {

struct task_run
{
    int run = 0;
    std::string spec;
    std::uint64_t endsAt = 0;
    bool fails = false;
};

struct ended_run
{
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    // The lease lapsed before the end was taken note of, so that the task may start again.
    bool lapsedSince = false;
};

struct stand_in_worker
{
    std::string id;
    std::string host;
    std::string address;
    std::string pool;
    // Unix milliseconds of this life's start; 0 while none runs.
    std::uint64_t born = 0;
    std::uint64_t fence = 0;
    // On the worker's clock.
    std::uint64_t leaseUntil = 0;
    std::uint64_t endsNumbered = 0;
    std::uint64_t beats = 0;
    std::map<std::string, task_run> running;
    std::vector<ended_run> ended;
    std::map<std::string, int> highestOver;
    std::unique_ptr<http_server> server;
};

struct stand_in_host
{
    std::string name;
    std::string pool;
    std::string state = "up";
    std::size_t worker = 0;
    std::uint64_t fence = 0;
};

class worker_fleet
{
public:
    worker_fleet(event_base *base, http_server &server, log_store &store);

    void add(const std::string &pool, int count);
    // Returns false when the path is none of the host service's.
    bool handleHosts(const request &item);
    // Ends the worker's life; another one begins after the time.
    void crash(std::size_t worker, std::uint64_t downMs);
    // Starts are done this much later and not answered; 0 for at once.
    void setLateStarts(std::uint64_t lateMs)
    {
        m_lateStartsMs = lateMs;
    }
    std::size_t size() const
    {
        return m_workers.size();
    }
    // What happened so far, for the checks of a soak.
    nlohmann::json report() const;

private:
    void onWorkerCall(std::size_t index, const request &item);
    nlohmann::json hold(stand_in_worker &target, const nlohmann::json &body);
    std::pair<int, nlohmann::json> start(stand_in_worker &target, const nlohmann::json &body);
    void stop(stand_in_worker &target, const nlohmann::json &body);
    void answerHold(std::size_t index, const request &item, const nlohmann::json &body, std::uint64_t until);
    void endRun(stand_in_worker &target, const std::string &task, const std::string &how);
    void beginLife(std::size_t index, std::uint64_t afterMs, const std::string &hostState);
    void beat(std::size_t index);
    void tick();
    std::pair<int, nlohmann::json> orderHost(const request &item, const nlohmann::json &body);
    std::uint64_t clockOf(const stand_in_worker &target) const;

    event_base *m_base;
    http_server &m_server;
    log_store &m_store;
    std::vector<std::unique_ptr<stand_in_worker>> m_workers;
    std::map<std::string, stand_in_host> m_hosts;
    std::map<std::string, std::set<std::string>> m_runningOn;
    std::set<std::string> m_done;
    std::set<std::string> m_doneNoted;
    std::map<std::string, int> m_failedRuns;
    std::map<std::string, int> m_starts;
    std::vector<std::string> m_violations;
    std::uint64_t m_lateStartsMs = 0;
};

// Unix milliseconds.
std::uint64_t wallNow();

} // namespace standin

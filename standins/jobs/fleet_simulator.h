// Simulates the workers and hosts of the jobs stand-in: task runs under leases, fencing tokens, reports of ended runs,
// moves of hosts between pools, and host maintenance.
//
//     fleet_simulator fleet(base, server, store);
//     fleet.addHosts("pool-a", 4);
//     fleet.report().at("violations");       // empty if no guarantee was violated
//
// A task's spec controls its simulation: "ms=200" sets the run time, "fail=2" the number of runs that fail before one
// succeeds, and "lasts=1" makes the task run until it is stopped. The simulator records violations of the guarantees:
// two runs of a task at the same time, and a start after the completion of the task was acknowledged.
//
// A worker that crashes closes its connections. It comes back under a new id, or under the one that it had: then it has a later start time
// and knows nothing of before, and its former entry stays in the store until the next one, or until it expires.
#pragma once

#include "log_store.h"
#include <fstream>
#include <memory>
#include <set>

namespace standin {

struct task_run
{
    int runNumber = 0;
    std::string spec;
    // In Unix milliseconds.
    std::uint64_t endTimeMs = 0;
    bool fails = false;
};

struct ended_run
{
    // Position among the ended runs of the incarnation, from 1; polls acknowledge ends up to an index.
    std::uint64_t index = 0;
    std::string task;
    int runNumber = 0;
    std::string outcome;
    // The lease expired before the end was acknowledged, so the task may be started again.
    bool leaseExpired = false;
};

struct simulated_worker
{
    std::string id;
    std::string host;
    std::string address;
    std::string pool;
    std::string zone;
    // Start time of the current incarnation in Unix milliseconds; 0 while the worker is down.
    std::uint64_t startTimeMs = 0;
    // Requests with a lower token are rejected.
    std::uint64_t fencingToken = 0;
    // In milliseconds on the worker's clock, which starts at 0 with each incarnation.
    std::uint64_t leaseExpiryMs = 0;
    std::uint64_t lastEndIndex = 0;
    std::uint64_t heartbeatCount = 0;
    // Unix time of the last heartbeat that reached the store, and whether the store holds an entry.
    std::uint64_t listedAtMs = 0;
    bool listed = false;
    std::map<std::string, task_run> activeRuns;
    std::vector<ended_run> unacknowledgedRuns;
    // Highest number of a run that has ended or must not start, by task.
    std::map<std::string, int> highestEndedRun;
    std::unique_ptr<http_server> server;
};

struct simulated_host
{
    std::string name;
    std::string pool;
    std::string state = "up";
    std::size_t workerIndex = 0;
    std::uint64_t fencingToken = 0;
};

class fleet_simulator
{
public:
    fleet_simulator(event_base *base, http_server &server, log_store &store);

    // The hosts are spread over the zones "a", "b" and so on.
    void addHosts(const std::string &pool, int count, int zones);
    // Writes each start, end, acknowledged completion and crash as a JSON object a line.
    void logEventsTo(const std::string &path)
    {
        m_events.open(path, std::ios::app);
    }
    // Workers of the zone do not reach the store; empty for none.
    void cutZone(const std::string &zone)
    {
        m_cutZone = zone;
    }
    // Workers carry out starts and send no response.
    void loseStartResponses(bool lose)
    {
        m_losesStartResponses = lose;
    }
    // Returns false, without sending a response, if the path does not belong to the host service.
    bool handleHostRequest(const http_request &request);
    // Ends the worker's incarnation; a new one starts after downMs, under the same id if it is kept.
    void crashWorker(std::size_t workerIndex, std::uint64_t downMs, bool keepsId);
    // Executes starts after this delay and sends no response to them; 0 executes and answers them at once.
    void setStartDelay(std::uint64_t delayMs)
    {
        m_startDelayMs = delayMs;
    }
    std::size_t size() const
    {
        return m_workers.size();
    }
    // Returns violations, number of starts, completed tasks and running tasks so far, as a soak test checks them.
    nlohmann::json report() const;

private:
    void onWorkerRequest(std::size_t index, const http_request &request);
    // Removes the acknowledged ends of runs, and returns the running and the ended tasks.
    nlohmann::json processPoll(simulated_worker &worker, const nlohmann::json &body);
    std::pair<int, nlohmann::json> startRun(simulated_worker &worker, const nlohmann::json &body);
    void stopRun(simulated_worker &worker, const nlohmann::json &body);
    // Sends the response as soon as a run has ended, at untilMs (Unix milliseconds) at the latest.
    void replyToPoll(std::size_t index, const http_request &request, const nlohmann::json &body, std::uint64_t untilMs);
    // Outcome: done, failed, stopped or lapsed (the lease expired).
    void endRun(simulated_worker &worker, const std::string &task, const std::string &outcome);
    // Ends the current incarnation, and starts a new one after the delay. The host has the given state in the meantime.
    void restartWorker(std::size_t index, std::uint64_t afterMs, const std::string &hostState, bool keepsId);
    // Opens the worker's server, at the address that it had before.
    void openServer(std::size_t index);
    // Removes the entries of workers from which the store has heard nothing for long.
    void expireEntries();
    void logEvent(const simulated_worker &worker, const std::string &event, const std::string &task, int runNumber,
                  const std::string &outcome);
    void sendHeartbeat(std::size_t index);
    // Ends the runs whose run time is over or whose lease has expired, and schedules the next check.
    void checkRuns();
    std::pair<int, nlohmann::json> executeHostOrder(const http_request &request, const nlohmann::json &body);
    // Milliseconds since the start of the current incarnation; 0 while the worker is down.
    std::uint64_t workerClockMs(const simulated_worker &worker) const;

    event_base *m_base;
    http_server &m_server;
    log_store &m_store;
    std::vector<std::unique_ptr<simulated_worker>> m_workers;
    std::map<std::string, simulated_host> m_hosts;
    // Ids of the workers that run a task, by task.
    std::map<std::string, std::set<std::string>> m_workersRunning;
    std::set<std::string> m_completedTasks;
    // Completed tasks whose completion was acknowledged before the lease expired; they must not start again.
    std::set<std::string> m_acknowledgedTasks;
    std::map<std::string, int> m_failedRunCounts;
    std::map<std::string, int> m_startCounts;
    std::vector<std::string> m_violations;
    std::uint64_t m_startDelayMs = 0;
    bool m_losesStartResponses = false;
    std::string m_cutZone;
    std::ofstream m_events;
};

// Returns the current time in Unix milliseconds.
std::uint64_t wallNowMs();

} // namespace standin

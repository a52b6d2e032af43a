// Selects the worker for a request and ejects workers whose requests fail.
//
//     const auto worker = selector.pick(candidates, avoid, now);
//     selector.onStart(*worker);
//     selector.onResult(*worker, workload, attempt_result::answered, latency, now);
//
// The selector picks two random candidates and takes the one with the lower product of requests in flight and latency.
// A worker that fails FAILURES_TO_EJECT requests in a row is ejected and returns after successful
// probes, which are single requests. A workload is the work of one team on one service. When a workload fails on several
// workers in a row, its failures count against the workload and not against the workers.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujubespool {

// How one attempt at an upstream ended.
enum class attempt_result { answered, error_status, connect_failed, closed_early, timed_out };

template <> struct enum_names<attempt_result>
{
    static constexpr std::array<std::string_view, 5> NAMES{ "answered", "error-status", "connect-failed", "closed-early", "silent" };
};

// Failures in a row, apart from timeouts, that eject a worker.
constexpr int FAILURES_TO_EJECT = 5;
// Timeouts in a row that eject a worker. The network may have caused a timeout, so more of them are needed.
constexpr int TIMEOUTS_TO_EJECT = 8;
// Part of a pool's workers that may be ejected at the same time, in percent; always at least one worker.
constexpr std::size_t MAX_EJECTED_PERCENT = 30;
// An ejection lasts twice as long as the previous one, within these bounds.
constexpr milliseconds MIN_EJECTION_TIME{ 1000 };
constexpr milliseconds MAX_EJECTION_TIME{ 30000 };
// Successful probes in a row that end the probing of a worker.
constexpr int PROBES_TO_RECOVER = 2;
// Number of different workers on which a workload must fail in a row to be treated as failing itself.
constexpr std::size_t FAILED_WORKERS_PER_FAILING_WORKLOAD = 3;

class worker_selector
{
public:
    explicit worker_selector(std::uint64_t seed);

    // Replaces the set of the pool's workers. Workers that stay keep their statistics.
    void setWorkers(const std::vector<std::string> &workers);

    // Picks one of the candidates. Workers in `avoid` are picked only when no other candidate is available. Empty when none is.
    std::optional<std::string> pick(const std::vector<std::string> &candidates, const std::vector<std::string> &avoid, instant now);

    // Handles that a request starts on the worker.
    void onStart(const std::string &worker);
    // Handles the end of a request on the worker.
    void onResult(const std::string &worker, const std::string &workload, attempt_result result, duration latency, instant now);

    // Whether the worker is ejected and not yet due for a probe.
    bool isEjected(const std::string &worker, instant now) const;
    // Whether the workload has failed on FAILED_WORKERS_PER_FAILING_WORKLOAD workers since its last success.
    bool isWorkloadFailing(const std::string &workload) const;
    std::uint32_t inFlight(const std::string &worker) const;
    // Workers that are ejected or probed.
    std::vector<std::string> ejected() const;

private:
    enum class worker_health { healthy, ejected, probing };
    struct worker_record
    {
        std::uint32_t inFlight = 0;
        double latencyUs = 0;
        // Failures and timeouts since the last success.
        int failures = 0;
        int timeouts = 0;
        worker_health state = worker_health::healthy;
        int ejections = 0;
        int probesPassed = 0;
        bool probeRunning = false;
        instant ejectedUntil;
    };
    struct workload_record
    {
        // Different workers on which the workload has failed since its last success.
        std::vector<std::string> failedOn;
    };

    // Whether a request may start on the worker. Switches an ejected worker that is due to probing.
    bool available(worker_record &worker, instant now);
    // Product of requests in flight, including the next one, and latency.
    double cost(const worker_record &worker) const;
    void recordSuccess(worker_record &worker, duration latency);
    void recordFailure(worker_record &worker, attempt_result result, instant now);
    void eject(worker_record &worker, instant now);
    bool mayEject() const;
    // Returns whether the workload is failing itself.
    bool recordWorkloadFailure(const std::string &workload, const std::string &worker);

    std::map<std::string, worker_record> m_workers;
    std::map<std::string, workload_record> m_workloads;
    std::mt19937_64 m_random;
};

} // namespace jujubespool

// Chooses the worker for a request and judges workers by what becomes of their requests.
//
//     const auto worker = selector.pick(candidates, now);
//     selector.onStart(*worker);
//     selector.onResult(*worker, source, attempt_result::answered, latency, now);
//
// Of two random candidates the one with the lower product of requests in flight and latency is
// taken. A worker that fails FAILURES_TO_EJECT requests in a row is ejected and returns through
// single probes. Failures of a source, a team's work on one service, that fails on several workers
// in a row are held against the source and not against the workers.
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

constexpr int FAILURES_TO_EJECT = 5;
// Connections that go silent may be the network's fault, so more of them are needed.
constexpr int TIMEOUTS_TO_EJECT = 8;
// Share of a pool's workers that may be ejected at once, in percent; at least one may be.
constexpr std::size_t MAX_EJECTED_PERCENT = 30;
constexpr milliseconds MIN_EJECTION_TIME{ 1000 };
constexpr milliseconds MAX_EJECTION_TIME{ 30000 };
constexpr int PROBES_TO_RECOVER = 2;
// A source that failed on this many different workers in a row is held responsible itself.
constexpr std::size_t FAILED_WORKERS_PER_FAILING_WORKLOAD = 3;

class worker_selector
{
public:
    explicit worker_selector(std::uint64_t seed);

    // Names the pool's workers; what is known of those that stay is kept.
    void setWorkers(const std::vector<std::string> &workers);

    // Picks one of the candidates, avoiding those in avoid when another is left.
    std::optional<std::string> pick(const std::vector<std::string> &candidates, const std::vector<std::string> &avoid, instant now);

    void onStart(const std::string &worker);
    void onResult(const std::string &worker, const std::string &source, attempt_result result, duration latency, instant now);

    bool isEjected(const std::string &worker, instant now) const;
    // Whether the source's work fails wherever it runs.
    bool isWorkloadFailing(const std::string &source) const;
    std::uint32_t inFlight(const std::string &worker) const;
    std::vector<std::string> ejected() const;

private:
    enum class health { healthy, ejected, probing };
    struct worker_record
    {
        std::uint32_t inFlight = 0;
        double latencyUs = 0;
        int failures = 0;
        int silent = 0;
        health state = health::healthy;
        int ejections = 0;
        int probesPassed = 0;
        bool probeRunning = false;
        instant until;
    };
    struct source_record
    {
        std::vector<std::string> failedOn;
    };

    bool available(worker_record &worker, instant now);
    double cost(const worker_record &worker) const;
    void noteSuccess(worker_record &worker, duration latency);
    void noteFailure(worker_record &worker, attempt_result result, instant now);
    void eject(worker_record &worker, instant now);
    bool mayEject() const;
    bool blameSource(const std::string &source, const std::string &worker);

    std::map<std::string, worker_record> m_workers;
    std::map<std::string, source_record> m_sources;
    std::mt19937_64 m_random;
};

} // namespace jujubespool

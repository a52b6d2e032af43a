// Measures the failure detectors on generated heartbeat traces: wrong suspicions, detection time and CPU cost.
#include "measurements.h"

#include <jujubespool/core/failure_detector.h>
#include <memory>
#include <random>
#include <vector>

namespace measure {

namespace {

using namespace jujubespool;

constexpr milliseconds HEARTBEAT_INTERVAL{ 100 };
constexpr int HEARTBEAT_COUNT = 20000;
constexpr milliseconds CHECK_INTERVAL{ 5 };

struct heartbeat_arrival
{
    std::uint64_t counter = 0;
    instant at;
};

enum class trace_kind { quiet, bursty, paused };

template <typename T> using labelled = std::pair<const char *, T>;

// Generates the arrivals of heartbeats with small delays. A bursty trace has bursts of 30 heartbeats in which delays are 60
// times as long and 30% of the heartbeats are lost. In a paused trace the sender stops at random for up to 300 ms.
std::vector<heartbeat_arrival> makeTrace(trace_kind kind, std::mt19937_64 &random)
{
    std::vector<heartbeat_arrival> trace;
    std::lognormal_distribution<double> delay(0.0, 0.5);
    std::uniform_real_distribution<double> chance(0, 1);
    duration pauseTotal{ 0 };
    int burstHeartbeatsLeft = 0;
    instant lastArrival;
    for (int i = 1; i <= HEARTBEAT_COUNT; ++i) {
        double delayMs = delay(random);
        if (kind == trace_kind::bursty && burstHeartbeatsLeft == 0 && chance(random) < 0.005) {
            burstHeartbeatsLeft = 30;
        }
        if (burstHeartbeatsLeft > 0) {
            --burstHeartbeatsLeft;
            delayMs = delayMs * 60;
            if (chance(random) < 0.3) {
                continue;
            }
        }
        if (kind == trace_kind::paused && chance(random) < 0.002) {
            pauseTotal += milliseconds(static_cast<int>(300 * chance(random)));
        }
        const instant sent = instant(seconds(10)) + HEARTBEAT_INTERVAL * i + pauseTotal;
        lastArrival = std::max(lastArrival, sent + microseconds(static_cast<int>(delayMs * 1000)));
        trace.push_back({ static_cast<std::uint64_t>(i), lastArrival });
    }
    return trace;
}

struct detector_result
{
    // Changes from not suspected to suspected while the sender runs.
    int mistakes = 0;
    double mistakenMs = 0;
    double detectionMs = 0;
    double costNsPerHeartbeat = 0;
};

detector_result evaluateDetector(failure_detector &detector, const std::vector<heartbeat_arrival> &trace)
{
    detector_result result;
    bool suspected = false;
    const double cpuSecondsBefore = processCpuSeconds();
    for (std::size_t i = 0; i + 1 < trace.size(); ++i) {
        detector.onHeartbeat(trace[i].counter, trace[i].at);
        for (instant now = trace[i].at; now < trace[i + 1].at; now += CHECK_INTERVAL) {
            const bool suspects = detector.suspects(now);
            result.mistakes += suspects && !suspected ? 1 : 0;
            result.mistakenMs += suspects ? static_cast<double>(CHECK_INTERVAL.count()) : 0;
            suspected = suspects;
        }
    }
    result.costNsPerHeartbeat = (processCpuSeconds() - cpuSecondsBefore) / static_cast<double>(trace.size()) * 1e9;
    // Simulates a crash of the sender immediately after its last heartbeat.
    const instant crashedAt = trace.back().at;
    detector.onHeartbeat(trace.back().counter, crashedAt);
    instant now = crashedAt;
    while (!detector.suspects(now)) {
        now += milliseconds(1);
    }
    result.detectionMs = static_cast<double>(duration_cast<milliseconds>(now - crashedAt).count());
    return result;
}

} // namespace

void measureDetectors(const options &options)
{
    const labelled<trace_kind> kinds[]
        = { { "quiet", trace_kind::quiet }, { "bursty", trace_kind::bursty }, { "paused", trace_kind::paused } };
    for (const auto &[traceName, kind] : kinds) {
        std::mt19937_64 random(options.seed);
        const std::vector<heartbeat_arrival> trace = makeTrace(kind, random);
        for (const int marginMs : { 150, 400 }) {
            std::vector<labelled<std::unique_ptr<failure_detector>>> detectors;
            detectors.emplace_back("fixed",
                                   std::make_unique<fixed_timeout_detector>(HEARTBEAT_INTERVAL + milliseconds(marginMs), trace.front().at));
            detectors.emplace_back("chen_n1", std::make_unique<chen_detector>(HEARTBEAT_INTERVAL, 1, milliseconds(marginMs)));
            detectors.emplace_back("two_window",
                                   std::make_unique<two_window_detector>(HEARTBEAT_INTERVAL, 1, 1000, milliseconds(marginMs)));
            for (const auto &[name, detector] : detectors) {
                const detector_result result = evaluateDetector(*detector, trace);
                const std::string prefix = fmt::format("detector.{}.{}.margin_{}ms", traceName, name, marginMs);
                printValue(prefix + ".mistakes", result.mistakes);
                printValue(prefix + ".mistaken_ms", result.mistakenMs);
                printValue(prefix + ".detection_ms", result.detectionMs);
                printValue(prefix + ".cost_ns_per_heartbeat", result.costNsPerHeartbeat);
            }
        }
    }
}

} // namespace measure

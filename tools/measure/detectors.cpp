// The failure detectors on made delay traces: mistakes, detection time and cost.
#include "measure.h"

#include <jujubespool/core/failure_detector.h>
#include <memory>
#include <random>
#include <vector>

namespace measure {

namespace {

using namespace jujubespool;

constexpr milliseconds INTERVAL{ 100 };
constexpr int HEARTBEATS = 20000;
constexpr milliseconds STEP{ 5 };

struct heartbeat_arrival
{
    std::uint64_t counter = 0;
    instant at;
};

enum class trace_kind { quiet, bursty, paused };

template <typename T> using named = std::pair<const char *, T>;

// Heartbeats with small delays; bursty adds spells of loss and long delays, paused stops the sender now and then.
std::vector<heartbeat_arrival> makeTrace(trace_kind kind, std::mt19937_64 &random)
{
    std::vector<heartbeat_arrival> trace;
    std::lognormal_distribution<double> delay(0.0, 0.5);
    std::uniform_real_distribution<double> chance(0, 1);
    duration offset{ 0 };
    int spell = 0;
    instant last;
    for (int i = 1; i <= HEARTBEATS; ++i) {
        double delayMs = delay(random);
        if (kind == trace_kind::bursty && spell == 0 && chance(random) < 0.005) {
            spell = 30;
        }
        if (spell > 0) {
            --spell;
            delayMs = delayMs * 60;
            if (chance(random) < 0.3) {
                continue;
            }
        }
        if (kind == trace_kind::paused && chance(random) < 0.002) {
            offset += milliseconds(static_cast<int>(300 * chance(random)));
        }
        const instant sent = instant(seconds(10)) + INTERVAL * i + offset;
        last = std::max(last, sent + microseconds(static_cast<int>(delayMs * 1000)));
        trace.push_back({ static_cast<std::uint64_t>(i), last });
    }
    return trace;
}

struct verdict
{
    int mistakes = 0;
    double mistakenMs = 0;
    double detectionMs = 0;
    double costNs = 0;
};

verdict judge(failure_detector &detector, const std::vector<heartbeat_arrival> &trace)
{
    verdict result;
    bool suspected = false;
    const double before = processorSeconds();
    for (std::size_t i = 0; i + 1 < trace.size(); ++i) {
        detector.onHeartbeat(trace[i].counter, trace[i].at);
        for (instant now = trace[i].at; now < trace[i + 1].at; now += STEP) {
            const bool suspects = detector.suspects(now);
            result.mistakes += suspects && !suspected ? 1 : 0;
            result.mistakenMs += suspects ? static_cast<double>(STEP.count()) : 0;
            suspected = suspects;
        }
    }
    result.costNs = (processorSeconds() - before) / static_cast<double>(trace.size()) * 1e9;
    // The sender crashes right after its last heartbeat.
    const instant crash = trace.back().at;
    detector.onHeartbeat(trace.back().counter, crash);
    instant now = crash;
    while (!detector.suspects(now)) {
        now += milliseconds(1);
    }
    result.detectionMs = static_cast<double>(duration_cast<milliseconds>(now - crash).count());
    return result;
}

} // namespace

void measureDetectors(const options &options)
{
    const named<trace_kind> kinds[]
        = { { "quiet", trace_kind::quiet }, { "bursty", trace_kind::bursty }, { "paused", trace_kind::paused } };
    for (const auto &[traceName, kind] : kinds) {
        std::mt19937_64 random(options.seed);
        const std::vector<heartbeat_arrival> trace = makeTrace(kind, random);
        for (const int marginMs : { 150, 400 }) {
            std::vector<named<std::unique_ptr<failure_detector>>> detectors;
            detectors.emplace_back("fixed", std::make_unique<fixed_timeout_detector>(INTERVAL + milliseconds(marginMs), trace.front().at));
            detectors.emplace_back("chen_n1", std::make_unique<chen_detector>(INTERVAL, 1, milliseconds(marginMs)));
            detectors.emplace_back("two_window", std::make_unique<two_window_detector>(INTERVAL, 1, 1000, milliseconds(marginMs)));
            for (const auto &[name, detector] : detectors) {
                const verdict result = judge(*detector, trace);
                const std::string prefix = fmt::format("detector.{}.{}.margin_{}ms", traceName, name, marginMs);
                print(prefix + ".mistakes", result.mistakes);
                print(prefix + ".mistaken_ms", result.mistakenMs);
                print(prefix + ".detection_ms", result.detectionMs);
                print(prefix + ".cost_ns_per_heartbeat", result.costNs);
            }
        }
    }
}

} // namespace measure

// Predicts the next load peak when pools peak one after the other.
//
//     peak_forecaster forecaster;
//     forecaster.recordLoad("pool-a", offeredCpuMillis, now);      // for each pool, at each planning step
//     const std::optional<expected_peak> peak = forecaster.nextPeak(now);
//
// Designed for loads that rotate among the pools at regular intervals. Moving a host takes seconds, so hosts that are
// ordered when a peak starts arrive too late for its first jobs. Makes no prediction while the peaks are irregular.
#pragma once

#include <deque>
#include <jujubespool/core/time.h>
#include <map>
#include <optional>
#include <string>

namespace jujubespool {

struct expected_peak
{
    std::string pool;
    instant at;
};

class peak_forecaster
{
public:
    // Records how much CPU, in thousandths of a core, the submitted work keeps busy.
    void recordLoad(const std::string &pool, std::int64_t offeredCpuMillis, instant now);
    // Returns the next peak that is not overdue, if the last peaks were regular.
    std::optional<expected_peak> nextPeak(instant now) const;
    bool hadPeak(const std::string &pool) const;
    // The pool has had one peak, the present or last one.
    bool isFirstPeak(const std::string &pool) const;
    // The pool's peak has started so recently that its load is still growing.
    bool isRising(const std::string &pool, instant now) const;
    // The pool's load has fallen far below its peak.
    bool isPeakOver(const std::string &pool) const;

private:
    struct pool_load
    {
        std::int64_t offeredCpuMillis = 0;
        double peakCpuMillis = 0;
        instant recordedAt;
        bool inPeak = false;
        std::optional<instant> lowSince;
    };
    struct peak_start
    {
        std::string pool;
        instant at;
    };

    double highestPeak() const;
    void recordPeakStart(const std::string &pool, instant now);
    std::optional<duration> regularInterval() const;
    std::optional<std::string> successorOf(const std::string &pool) const;

    std::map<std::string, pool_load> m_loads;
    // Oldest first.
    std::deque<peak_start> m_peaks;
};

} // namespace jujubespool

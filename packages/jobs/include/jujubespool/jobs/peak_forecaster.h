// Foresees whose turn is next when queues have their peaks one after the other.
//
//     peak_forecaster forecast;
//     forecast.note("pool-a", offeredMillis, now);      // for each pool, at each decision
//     const std::optional<expected_peak> next = forecast.next(now);
//
// Answers loads that go round the pools at even intervals: a host needs seconds to change its pool, so that hosts
// that are ordered when the peak begins come late for its first jobs. Tells nothing while the peaks are irregular.
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
    // Tells how many processors, in thousandths, the work that is handed in keeps busy.
    void note(const std::string &pool, std::int64_t offeredMillis, instant now);
    // The next peak that has not begun by now, if the last ones were regular.
    std::optional<expected_peak> next(instant now) const;
    bool hadTurn(const std::string &pool) const;
    // The pool's turn has begun a moment ago, so that what is handed in still grows.
    bool isRising(const std::string &pool, instant now) const;
    // The work that is handed in for the pool has fallen far below its peak.
    bool isOver(const std::string &pool) const;

private:
    struct pool_load
    {
        std::int64_t offeredMillis = 0;
        double peakMillis = 0;
        instant notedAt;
        bool inTurn = false;
        std::optional<instant> lowSince;
    };
    struct begun_turn
    {
        std::string pool;
        instant at;
    };

    double highestPeak() const;
    void noteBegun(const std::string &pool, instant now);
    std::optional<duration> regularGap() const;
    std::optional<std::string> successorOf(const std::string &pool) const;

    std::map<std::string, pool_load> m_loads;
    // The newest comes last.
    std::deque<begun_turn> m_turns;
};

} // namespace jujubespool

// Writes events as log lines and counts them in the metrics.
//
//     event_logger log(processMetrics);
//     log.write("start", { { "task", key.text() } });
//
// The log rate is limited: lines beyond the maximum per second are dropped, and the number of dropped lines is logged. A few lines of each
// event are written all the same, so that a flood of one event hides no change of the ownership.
#pragma once

#include <jujubespool/entry/metrics_registry.h>
#include <jujubespool/jobs/gateways.h>
#include <map>

namespace jujubespool {

class event_logger : public event_log
{
public:
    explicit event_logger(metrics_registry &processMetrics);

    void write(std::string_view event, std::initializer_list<field> fields) override;
    void count(std::string_view counter, std::string_view label) override;
    void observe(std::string_view event, const std::string &team, duration time) override;
    // Longest duration that was observed of the event since the last call; 0 if there was none.
    duration takeLongest(std::string_view event);
    // Starts a new interval of the rate limit after each second, and flushes buffered lines without blocking.
    void tick(instant now);

private:
    // Whether a line of this event may be written although the maximum is reached.
    bool takeReserved(std::string_view event);

    metrics_registry &m_metrics;
    std::map<std::string, duration, std::less<>> m_longest;
    instant m_secondStart;
    int m_linesThisSecond = 0;
    // Number of lines beyond the maximum in this second, by event.
    std::map<std::string, int> m_reservedUsed;
    std::uint64_t m_dropped = 0;
};

} // namespace jujubespool

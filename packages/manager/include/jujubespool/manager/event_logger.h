// Writes decisions as log lines and counts them.
//
//     event_logger log(metrics);
//     log.write("start", { { "task", key.text() } });
//
// The volume is bounded: beyond a number of lines a second, lines are dropped and their number is logged.
#pragma once

#include <jujubespool/entry/metrics_registry.h>
#include <jujubespool/jobs/gateways.h>

namespace jujubespool {

class event_logger : public event_log
{
public:
    explicit event_logger(metrics_registry &metrics);

    void write(std::string_view event, std::initializer_list<field> fields) override;
    void count(std::string_view counter, std::string_view label) override;
    void observe(std::string_view event, const std::string &team, duration time) override;
    // Starts a new second of the bound and hands buffered lines over, as far as that does not block.
    void tick(instant now);

private:
    metrics_registry &m_metrics;
    instant m_secondStart;
    int m_linesThisSecond = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace jujubespool

// Collects the counters, gauges and histograms of one process and formats them as Prometheus text.
//
//     metrics.increment("requests_total", "outcome", "ran");
//     metrics.observeLatency(team, request_class::urgent, latency);
//     reply(metrics.prometheusText());
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <jujubespool/core/configuration.h>
#include <jujubespool/core/time.h>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace jujubespool {

class metrics_registry
{
public:
    // Increments the counter that has the name and the label, for example outcome="ran".
    void increment(const std::string &name, const std::string &label, const std::string &value, std::uint64_t by = 1);
    void setGauge(const std::string &name, double value);
    // Adds a request latency to the histogram of the team and priority class.
    void observeLatency(const std::string &team, request_class priority, duration latency);
    // Adds a duration to the histogram of the event and team.
    void observeDuration(const std::string &event, const std::string &team, duration time);

    // Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max>>;
    struct counter_key
    {
        std::string name;
        std::string label;
        std::string value;

        bool operator<(const counter_key &other) const
        {
            return std::tie(name, label, value) < std::tie(other.name, other.label, other.value);
        }
    };
    struct histogram
    {
        histogram();
        accumulator total;
        // One accumulator for each upper bound. Each counts only the values of its own bucket; prometheusText() makes them cumulative.
        std::vector<accumulator> buckets;
    };
    struct histogram_key
    {
        std::string name;
        std::string labels;

        bool operator<(const histogram_key &other) const
        {
            return std::tie(name, labels) < std::tie(other.name, other.labels);
        }
    };
    void addSample(const histogram_key &key, duration time);

    std::map<counter_key, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<histogram_key, histogram> m_histograms;
};

} // namespace jujubespool

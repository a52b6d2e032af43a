#include <jujubespool/entry/metrics_registry.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace jujubespool {

namespace {

namespace acc = boost::accumulators;

// Upper bounds of the histogram buckets, in seconds.
constexpr std::array<double, 14> BUCKET_BOUNDS_S{ 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

} // namespace

metrics_registry::histogram::histogram()
    : buckets(BUCKET_BOUNDS_S.size())
{
}

void metrics_registry::increment(const std::string &name, const std::string &label, const std::string &value, std::uint64_t by)
{
    m_counters[{ name, label, value }] += by;
}

void metrics_registry::setGauge(const std::string &name, double value)
{
    m_gauges[name] = value;
}

void metrics_registry::observeLatency(const std::string &team, request_class priority, duration latency)
{
    addSample({ "latency", fmt::format("team=\"{}\",class=\"{}\"", team, nameOf(priority)) }, latency);
}

void metrics_registry::observeDuration(const std::string &event, const std::string &team, duration time)
{
    addSample({ event, fmt::format("team=\"{}\"", team) }, time);
}

void metrics_registry::addSample(const histogram_key &key, duration time)
{
    histogram &target = m_histograms[key];
    const double timeSeconds = static_cast<double>(time.count()) / 1e6;
    target.total(timeSeconds);
    const auto bucket = std::lower_bound(BUCKET_BOUNDS_S.begin(), BUCKET_BOUNDS_S.end(), timeSeconds);
    if (bucket != BUCKET_BOUNDS_S.end()) {
        target.buckets[static_cast<std::size_t>(bucket - BUCKET_BOUNDS_S.begin())](timeSeconds);
    }
}

std::string metrics_registry::prometheusText() const
{
    std::string text;
    std::string lastName;
    for (const auto &[key, value] : m_counters) {
        if (key.name != lastName) {
            text += fmt::format("# TYPE jujubespool_{} counter\n", key.name);
            lastName = key.name;
        }
        text += fmt::format("jujubespool_{}{{{}=\"{}\"}} {}\n", key.name, key.label, key.value, value);
    }
    for (const auto &[name, value] : m_gauges) {
        text += fmt::format("# TYPE jujubespool_{0} gauge\njujubespool_{0} {1}\n", name, value);
    }
    lastName.clear();
    for (const auto &[key, samples] : m_histograms) {
        if (key.name != lastName) {
            text += fmt::format("# TYPE jujubespool_{}_seconds histogram\n", key.name);
            lastName = key.name;
        }
        std::size_t cumulative = 0;
        for (std::size_t i = 0; i < BUCKET_BOUNDS_S.size(); ++i) {
            cumulative += acc::count(samples.buckets[i]);
            text += fmt::format("jujubespool_{}_seconds_bucket{{{},le=\"{}\"}} {}\n", key.name, key.labels, BUCKET_BOUNDS_S[i], cumulative);
        }
        text += fmt::format("jujubespool_{}_seconds_bucket{{{},le=\"+Inf\"}} {}\n", key.name, key.labels, acc::count(samples.total));
        text += fmt::format("jujubespool_{}_seconds_sum{{{}}} {}\n", key.name, key.labels, acc::sum(samples.total));
        text += fmt::format("jujubespool_{}_seconds_count{{{}}} {}\n", key.name, key.labels, acc::count(samples.total));
    }
    return text;
}

} // namespace jujubespool

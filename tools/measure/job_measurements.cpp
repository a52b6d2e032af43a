// Measures the processor time that the owner's decisions take at several fleet sizes: a job manager decides for simulated
// workers, whose answers cost next to nothing.
#include "measurements.h"

#include "simulated_fleet.h"

namespace measure {

namespace {

using namespace jujubespool;

// Starts per second and worker while a queue is at its peak.
constexpr double STARTS_PER_WORKER = 5;

class silent_log : public event_log
{
public:
    void write(std::string_view, std::initializer_list<field>) override
    {
    }
    void count(std::string_view, std::string_view) override
    {
    }
    void observe(std::string_view event, const std::string &, duration time) override
    {
        if (event == "first_start") {
            firstStarts.push_back(static_cast<double>(time.count()) / 1e3);
        }
    }
    std::vector<double> firstStarts;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void measureOwner(int workers, seconds length, std::uint64_t seed)
{
    silent_log log;
    simulated_fleet fleet(workers, seed, log);
    fleet.play(seconds(1));
    double cpuSeconds = processCpuSeconds();
    fleet.play(seconds(1));
    const double idleSeconds = processCpuSeconds() - cpuSeconds;
    const simulated_platform &platform = fleet.platform();
    const long pollsBefore = platform.polls;
    cpuSeconds = processCpuSeconds();
    fleet.playLoad(length, STARTS_PER_WORKER);
    const double loadSeconds = processCpuSeconds() - cpuSeconds;
    const std::string prefix = fmt::format("scale.workers_{}", workers);
    const auto starts = static_cast<double>(platform.starts);
    printValue(prefix + ".idle_core_share", idleSeconds);
    printValue(prefix + ".load_core_share", loadSeconds / static_cast<double>(length.count()));
    printValue(prefix + ".starts_per_s", starts / static_cast<double>(length.count()));
    printValue(prefix + ".us_per_start", loadSeconds / starts * 1e6);
    printValue(prefix + ".polls_per_start", static_cast<double>(platform.polls - pollsBefore) / starts);
    printValue(prefix + ".ledger_bytes_per_start", static_cast<double>(platform.ledgerBytes) / starts);
    printValue(prefix + ".first_start_p50_ms", percentile(log.firstStarts, 0.5));
    printValue(prefix + ".first_start_p95_ms", percentile(log.firstStarts, 0.95));
}

} // namespace

void measureScale(const options &options)
{
    for (const int workers : options.quick ? std::vector<int>{ 50, 350 } : std::vector<int>{ 50, 350, 1100, 7400 }) {
        measureOwner(workers, seconds(options.quick ? 2 : 4), options.seed);
    }
}

} // namespace measure

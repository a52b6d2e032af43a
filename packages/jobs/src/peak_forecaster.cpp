#include <jujubespool/jobs/peak_forecaster.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace jujubespool {

namespace {

// Half-life of the recorded peak.
constexpr double PEAK_HALF_LIFE_S = 30;
// A peak starts above the first share of the highest peak of all pools, and is over below the second share of the
// pool's own.
constexpr double PEAK_START_RATIO = 0.25;
constexpr double PEAK_END_RATIO = 0.2;
// A pool leaves its peak after its load was low for this long.
constexpr milliseconds LOW_TIME_BEFORE_PEAK_END{ 600 };
constexpr std::size_t MAX_PEAKS_KEPT = 12;
constexpr milliseconds RISE_DURATION{ 1500 };
// Number of intervals between peaks that have to agree, and how far they may deviate from their median.
constexpr std::size_t MIN_AGREEING_INTERVALS = 2;
constexpr double INTERVAL_TOLERANCE_RATIO = 0.25;
// A peak that has not started within this share of an interval after its expected time is treated as hidden by a
// failure.
constexpr double MISSED_AFTER_RATIO = 0.4;
// After more missed peaks than this, the load is treated as ended.
constexpr int MAX_MISSED_IN_A_ROW = 1;

} // namespace

void peak_forecaster::recordLoad(const std::string &pool, std::int64_t offeredCpuMillis, instant now)
{
    pool_load &load = m_loads[pool];
    const double elapsedS = load.recordedAt == instant() ? 0 : static_cast<double>((now - load.recordedAt).count()) / 1e6;
    load.recordedAt = now;
    load.offeredCpuMillis = offeredCpuMillis;
    load.peakCpuMillis = std::max(static_cast<double>(offeredCpuMillis), load.peakCpuMillis * std::exp2(-elapsedS / PEAK_HALF_LIFE_S));
    if (isPeakOver(pool)) {
        load.lowSince = load.lowSince.value_or(now);
        load.inPeak = load.inPeak && now - *load.lowSince < LOW_TIME_BEFORE_PEAK_END;
    } else {
        load.lowSince.reset();
    }
    if (!load.inPeak && offeredCpuMillis > 0 && static_cast<double>(offeredCpuMillis) >= highestPeak() * PEAK_START_RATIO) {
        load.inPeak = true;
        recordPeakStart(pool, now);
    }
}

void peak_forecaster::recordPeakStart(const std::string &pool, instant now)
{
    m_peaks.push_back({ pool, now });
    if (m_peaks.size() > MAX_PEAKS_KEPT) {
        m_peaks.pop_front();
    }
}

bool peak_forecaster::hadPeak(const std::string &pool) const
{
    return std::any_of(m_peaks.begin(), m_peaks.end(), [&pool](const peak_start &peak) { return peak.pool == pool; });
}

bool peak_forecaster::isFirstPeak(const std::string &pool) const
{
    return std::count_if(m_peaks.begin(), m_peaks.end(), [&pool](const peak_start &peak) { return peak.pool == pool; }) == 1;
}

bool peak_forecaster::isRising(const std::string &pool, instant now) const
{
    return !m_peaks.empty() && m_peaks.back().pool == pool && now - m_peaks.back().at < RISE_DURATION;
}

bool peak_forecaster::isPeakOver(const std::string &pool) const
{
    const auto found = m_loads.find(pool);
    return found != m_loads.end() && static_cast<double>(found->second.offeredCpuMillis) < found->second.peakCpuMillis * PEAK_END_RATIO;
}

double peak_forecaster::highestPeak() const
{
    double highest = 0;
    for (const auto &[pool, load] : m_loads) {
        highest = std::max(highest, load.peakCpuMillis);
    }
    return highest;
}

std::optional<duration> peak_forecaster::regularInterval() const
{
    std::vector<duration> intervals;
    for (std::size_t i = 1; i < m_peaks.size(); ++i) {
        intervals.push_back(m_peaks[i].at - m_peaks[i - 1].at);
    }
    if (intervals.size() < MIN_AGREEING_INTERVALS) {
        return std::nullopt;
    }
    std::sort(intervals.begin(), intervals.end());
    const duration median = intervals[intervals.size() / 2];
    const auto agrees = [&](duration interval) {
        return std::abs(static_cast<double>((interval - median).count())) <= INTERVAL_TOLERANCE_RATIO * static_cast<double>(median.count());
    };
    const auto agreeing = static_cast<std::size_t>(std::count_if(intervals.begin(), intervals.end(), agrees));
    return agreeing >= MIN_AGREEING_INTERVALS && agreeing * 2 > intervals.size() ? std::optional(median) : std::nullopt;
}

std::optional<std::string> peak_forecaster::successorOf(const std::string &pool) const
{
    for (std::size_t i = m_peaks.size(); i-- > 1;) {
        if (m_peaks[i - 1].pool == pool) {
            return m_peaks[i].pool;
        }
    }
    // During the first rotation only the last pool can be predicted.
    std::set<std::string> remaining;
    for (const auto &[name, load] : m_loads) {
        remaining.insert(name);
    }
    for (const peak_start &peak : m_peaks) {
        remaining.erase(peak.pool);
    }
    return remaining.size() == 1                ? std::optional(*remaining.begin())
        : m_peaks.empty() || !remaining.empty() ? std::nullopt
                                                : std::optional(m_peaks.front().pool);
}

std::optional<expected_peak> peak_forecaster::nextPeak(instant now) const
{
    const std::optional<duration> interval = regularInterval();
    if (!interval) {
        return std::nullopt;
    }
    expected_peak peak{ m_peaks.back().pool, m_peaks.back().at };
    const duration missedAfter(static_cast<std::int64_t>(static_cast<double>(interval->count()) * MISSED_AFTER_RATIO));
    for (int i = 0; i <= MAX_MISSED_IN_A_ROW; ++i) {
        const std::optional<std::string> successor = successorOf(peak.pool);
        if (!successor) {
            return std::nullopt;
        }
        peak = { *successor, peak.at + *interval };
        if (now < peak.at + missedAfter) {
            return peak;
        }
    }
    return std::nullopt;
}

} // namespace jujubespool

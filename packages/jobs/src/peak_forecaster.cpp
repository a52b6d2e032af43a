#include <jujubespool/jobs/peak_forecaster.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace jujubespool {

namespace {

// A peak is forgotten by half in this time.
constexpr double PEAK_HALF_LIFE_S = 30;
// Part of the highest peak of all pools above which a pool's turn has begun, and of its own below which it is over.
constexpr double BEGIN_SHARE = 0.25;
constexpr double OVER_SHARE = 0.2;
// A turn has ended when the load was low for this long.
constexpr milliseconds LOW_BEFORE_END{ 600 };
constexpr std::size_t TURNS_KEPT = 12;
constexpr milliseconds RISE_TIME{ 1500 };
// Gaps between turns that have to agree, and how far they may differ from their median.
constexpr std::size_t GAPS_AGREEING = 2;
constexpr double GAP_TOLERANCE = 0.25;
// A turn that does not begin within this part of a gap after its time is taken for hidden by a failure.
constexpr double HIDDEN_AFTER = 0.4;
// After more hidden turns than this the load is taken to have ended.
constexpr int HIDDEN_IN_A_ROW = 1;

} // namespace

void peak_forecaster::note(const std::string &pool, std::int64_t offeredMillis, instant now)
{
    pool_load &load = m_loads[pool];
    const double elapsedS = load.notedAt == instant() ? 0 : static_cast<double>((now - load.notedAt).count()) / 1e6;
    load.notedAt = now;
    load.offeredMillis = offeredMillis;
    load.peakMillis = std::max(static_cast<double>(offeredMillis), load.peakMillis * std::exp2(-elapsedS / PEAK_HALF_LIFE_S));
    if (isOver(pool)) {
        load.lowSince = load.lowSince.value_or(now);
        load.inTurn = load.inTurn && now - *load.lowSince < LOW_BEFORE_END;
    } else {
        load.lowSince.reset();
    }
    if (!load.inTurn && offeredMillis > 0 && static_cast<double>(offeredMillis) >= highestPeak() * BEGIN_SHARE) {
        load.inTurn = true;
        noteBegun(pool, now);
    }
}

void peak_forecaster::noteBegun(const std::string &pool, instant now)
{
    m_turns.push_back({ pool, now });
    if (m_turns.size() > TURNS_KEPT) {
        m_turns.pop_front();
    }
}

bool peak_forecaster::hadTurn(const std::string &pool) const
{
    return std::any_of(m_turns.begin(), m_turns.end(), [&pool](const begun_turn &turn) { return turn.pool == pool; });
}

bool peak_forecaster::isRising(const std::string &pool, instant now) const
{
    return !m_turns.empty() && m_turns.back().pool == pool && now - m_turns.back().at < RISE_TIME;
}

bool peak_forecaster::isOver(const std::string &pool) const
{
    const auto found = m_loads.find(pool);
    return found != m_loads.end() && static_cast<double>(found->second.offeredMillis) < found->second.peakMillis * OVER_SHARE;
}

double peak_forecaster::highestPeak() const
{
    double highest = 0;
    for (const auto &[pool, load] : m_loads) {
        highest = std::max(highest, load.peakMillis);
    }
    return highest;
}

std::optional<duration> peak_forecaster::regularGap() const
{
    std::vector<duration> gaps;
    for (std::size_t i = 1; i < m_turns.size(); ++i) {
        gaps.push_back(m_turns[i].at - m_turns[i - 1].at);
    }
    if (gaps.size() < GAPS_AGREEING) {
        return std::nullopt;
    }
    std::sort(gaps.begin(), gaps.end());
    const duration median = gaps[gaps.size() / 2];
    const auto agrees = [&](duration gap) {
        return std::abs(static_cast<double>((gap - median).count())) <= GAP_TOLERANCE * static_cast<double>(median.count());
    };
    const auto agreeing = static_cast<std::size_t>(std::count_if(gaps.begin(), gaps.end(), agrees));
    return agreeing >= GAPS_AGREEING && agreeing * 2 > gaps.size() ? std::optional(median) : std::nullopt;
}

std::optional<std::string> peak_forecaster::successorOf(const std::string &pool) const
{
    for (std::size_t i = m_turns.size(); i-- > 1;) {
        if (m_turns[i - 1].pool == pool) {
            return m_turns[i].pool;
        }
    }
    // In the first round only the last pool can be told.
    std::set<std::string> left;
    for (const auto &[name, load] : m_loads) {
        left.insert(name);
    }
    for (const begun_turn &turn : m_turns) {
        left.erase(turn.pool);
    }
    return left.size() == 1                ? std::optional(*left.begin())
        : m_turns.empty() || !left.empty() ? std::nullopt
                                           : std::optional(m_turns.front().pool);
}

std::optional<expected_peak> peak_forecaster::next(instant now) const
{
    const std::optional<duration> gap = regularGap();
    if (!gap) {
        return std::nullopt;
    }
    expected_peak turn{ m_turns.back().pool, m_turns.back().at };
    const duration hidden(static_cast<std::int64_t>(static_cast<double>(gap->count()) * HIDDEN_AFTER));
    for (int i = 0; i <= HIDDEN_IN_A_ROW; ++i) {
        const std::optional<std::string> successor = successorOf(turn.pool);
        if (!successor) {
            return std::nullopt;
        }
        turn = { *successor, turn.at + *gap };
        if (now < turn.at + hidden) {
            return turn;
        }
    }
    return std::nullopt;
}

} // namespace jujubespool

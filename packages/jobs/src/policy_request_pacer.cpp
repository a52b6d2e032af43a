#include <jujubespool/jobs/policy_request_pacer.h>

#include <algorithm>
#include <cmath>

namespace jujubespool {

namespace {

// The next request is sent this long before the service is expected to be idle, so that it never waits for one.
constexpr milliseconds LOOKAHEAD{ 100 };
// A response is overdue this long after the expected time.
constexpr milliseconds MAX_TRANSIT_TIME{ 250 };
// A response that was overtaken by a later one can still come within this time, or within the cost of two requests.
constexpr milliseconds REORDER_TIME{ 500 };
constexpr milliseconds MIN_PROBE_INTERVAL{ 100 };
// Maximum number of requests without a response while the service responds.
constexpr std::size_t MAX_PENDING_REQUESTS = 8;
// Longest time between two repetitions of a request, or the time of this many requests if that is longer.
constexpr milliseconds MAX_REPEAT_INTERVAL{ 8000 };
constexpr int MIN_COSTS_PER_REPETITION = 4;
// Weight of the last value in a moving average.
constexpr double SMOOTHING = 0.3;
constexpr double MAX_SLOWDOWN = 100;

// Doubles an interval within its bounds. One request must not follow the other faster than the service could handle them.
duration doubled(duration interval, duration cost)
{
    const duration shortest = std::max<duration>(MIN_PROBE_INTERVAL, cost);
    const duration longest = std::max<duration>(MAX_PROBE_INTERVAL, 2 * cost);
    return std::clamp(2 * interval, shortest, longest);
}

} // namespace

duration policy_request_pacer::expectedTime(milliseconds cost) const
{
    return duration(std::llround(static_cast<double>(duration(cost).count()) * m_slowdown));
}

instant policy_request_pacer::headStartedAt() const
{
    return std::max(m_line.front().sentAt, m_lastProgress);
}

instant policy_request_pacer::expectedEnd() const
{
    instant end = headStartedAt();
    for (const pending_request &pending : m_line) {
        end = std::max(end, pending.sentAt) + expectedTime(pending.cost);
    }
    return end;
}

instant policy_request_pacer::stalledAt() const
{
    return headStartedAt() + expectedTime(m_line.front().cost) + MAX_TRANSIT_TIME;
}

bool policy_request_pacer::isStalled(instant now) const
{
    return !m_line.empty() && now >= stalledAt();
}

bool policy_request_pacer::maySend(instant now) const
{
    if (now < m_pausedUntil) {
        return false;
    }
    if (m_line.empty()) {
        return true;
    }
    if (isStalled(now)) {
        return now >= m_nextProbeAt;
    }
    // After a refusal, one request shows whether the service takes them again.
    const std::size_t most = m_pause.count() > 0 ? 1 : MAX_PENDING_REQUESTS;
    return m_line.size() < most && expectedEnd() <= now + LOOKAHEAD;
}

bool policy_request_pacer::mayRepeat(instant now) const
{
    return isStalled(now) && maySend(now) && now >= m_nextRepeatAt;
}

// The time without a response doubles from one repetition to the next.
void policy_request_pacer::onRepeated(instant now)
{
    const duration silence = m_line.empty() ? duration(0) : now - headStartedAt();
    m_nextRepeatAt = now + std::min(silence, std::max<duration>(MAX_REPEAT_INTERVAL, MIN_COSTS_PER_REPETITION * meanCost()));
}

std::optional<instant> policy_request_pacer::nextChange(instant now) const
{
    std::vector<instant> changes{ m_pausedUntil };
    if (!m_line.empty()) {
        changes.insert(changes.end(), { expectedEnd() - LOOKAHEAD, stalledAt(), m_nextProbeAt, m_nextRepeatAt });
    }
    for (const overtaken_request &overtaken : m_overtaken) {
        changes.push_back(overtaken.lostAt);
    }
    std::erase_if(changes, [now](instant change) { return change <= now; });
    const auto first = std::min_element(changes.begin(), changes.end());
    return first == changes.end() ? std::nullopt : std::optional(*first);
}

std::uint64_t policy_request_pacer::onSent(milliseconds cost, instant now)
{
    if (isStalled(now)) {
        m_probeInterval = doubled(m_probeInterval, expectedTime(cost));
        m_nextProbeAt = now + m_probeInterval;
    }
    const auto costMs = static_cast<double>(cost.count());
    m_meanCostMs = m_lastNumber == 0 ? costMs : m_meanCostMs + SMOOTHING * (costMs - m_meanCostMs);
    m_line.push_back({ ++m_lastNumber, cost, now });
    return m_lastNumber;
}

void policy_request_pacer::onResponse(std::uint64_t number, ticket_outcome outcome, instant now)
{
    std::erase_if(m_overtaken, [number](const overtaken_request &overtaken) { return overtaken.number == number; });
    const auto found
        = std::find_if(m_line.begin(), m_line.end(), [number](const pending_request &pending) { return pending.number == number; });
    if (found == m_line.end()) {
        return;
    }
    if (outcome == ticket_outcome::answered || outcome == ticket_outcome::unusable) {
        onAnswered(static_cast<std::size_t>(found - m_line.begin()), now);
        return;
    }
    const milliseconds cost = found->cost;
    m_line.erase(found);
    pause(cost, now);
}

void policy_request_pacer::onAnswered(std::size_t position, instant now)
{
    if (position == 0) {
        learnSpeed(m_line.front(), now);
    }
    for (; position > 0; --position) {
        const pending_request &earlier = m_line.front();
        m_overtaken.push_back({ earlier.number, now + std::max<duration>(REORDER_TIME, 2 * expectedTime(earlier.cost)) });
        m_line.pop_front();
    }
    m_line.pop_front();
    m_lastProgress = now;
    m_probeInterval = duration(0);
    m_nextProbeAt = now;
    m_nextRepeatAt = now;
    m_pause = duration(0);
}

// No answer comes faster than the service is, so a fast one counts at once. A slow one may have waited for a service that was silent for a
// while, or before the first answer for requests of a process that has left, so the assumed time is at most doubled.
void policy_request_pacer::learnSpeed(const pending_request &answered, instant now)
{
    if (m_lastProgress == instant()) {
        return;
    }
    const auto needed = static_cast<double>((now - headStartedAt()).count());
    const auto told = static_cast<double>(duration(std::max(answered.cost, milliseconds(1))).count());
    m_slowdown = std::clamp(needed / told, 1.0, std::min(2 * m_slowdown, MAX_SLOWDOWN));
}

void policy_request_pacer::pause(milliseconds cost, instant now)
{
    // Requests that were sent at the same time fail for the same reason.
    if (now < m_pausedUntil) {
        return;
    }
    m_pause = doubled(m_pause, expectedTime(cost));
    m_pausedUntil = now + m_pause;
}

std::vector<std::uint64_t> policy_request_pacer::takeLost(instant now)
{
    std::vector<std::uint64_t> lost;
    std::erase_if(m_overtaken, [&](const overtaken_request &overtaken) {
        if (overtaken.lostAt <= now) {
            lost.push_back(overtaken.number);
        }
        return overtaken.lostAt <= now;
    });
    return lost;
}

duration policy_request_pacer::meanCost() const
{
    return duration(std::llround(m_meanCostMs * 1000 * m_slowdown));
}

duration policy_request_pacer::expectedBacklog(instant now) const
{
    return m_line.empty() ? duration(0) : std::max(duration(0), expectedEnd() - now);
}

} // namespace jujubespool

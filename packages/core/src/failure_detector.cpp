#include <jujubespool/core/failure_detector.h>

namespace jujubespool {

fixed_timeout_detector::fixed_timeout_detector(duration timeout, instant start)
    : m_timeout(timeout)
    , m_suspectAfter(start + timeout)
{
}

void fixed_timeout_detector::onHeartbeat(std::uint64_t counter, instant now)
{
    if (counter > m_newestCounter) {
        m_newestCounter = counter;
        m_suspectAfter = now + m_timeout;
    }
}

bool fixed_timeout_detector::suspects(instant now) const
{
    return now > m_suspectAfter;
}

chen_detector::chen_detector(duration interval, std::size_t window, duration margin)
    : m_interval(interval)
    , m_window(window)
    , m_margin(margin)
{
}

void chen_detector::onHeartbeat(std::uint64_t counter, instant now)
{
    if (!m_arrivals.empty() && counter <= m_arrivals.back().counter) {
        return;
    }
    m_arrivals.push_back({ counter, now });
    if (m_arrivals.size() > m_window) {
        m_arrivals.pop_front();
    }
}

instant chen_detector::expectedArrival() const
{
    if (m_arrivals.empty()) {
        return instant::max();
    }
    // The sum is relative to the first arrival of the window, so that it stays small.
    const arrival &first = m_arrivals.front();
    duration sum{ 0 };
    for (const arrival &heartbeat : m_arrivals) {
        sum += (heartbeat.at - first.at) - m_interval * static_cast<duration::rep>(heartbeat.counter - first.counter);
    }
    const duration mean = sum / static_cast<duration::rep>(m_arrivals.size());
    const auto ahead = static_cast<duration::rep>(m_arrivals.back().counter - first.counter + 1);
    return first.at + mean + m_interval * ahead;
}

bool chen_detector::suspects(instant now) const
{
    const instant expected = expectedArrival();
    return expected != instant::max() && now > expected + m_margin;
}

two_window_detector::two_window_detector(duration interval, std::size_t shortWindow, std::size_t longWindow, duration margin)
    : m_short(interval, shortWindow, margin)
    , m_long(interval, longWindow, margin)
{
}

void two_window_detector::onHeartbeat(std::uint64_t counter, instant now)
{
    m_short.onHeartbeat(counter, now);
    m_long.onHeartbeat(counter, now);
}

bool two_window_detector::suspects(instant now) const
{
    return m_short.suspects(now) && m_long.suspects(now);
}

} // namespace jujubespool

// Judges from heartbeats whether a peer is suspected of having crashed.
//
//     detector->onHeartbeat(counter, now);
//     if (detector->suspects(now)) { ... prefer another peer ... }
//
// A suspicion may be wrong. It steers routing and forwarding only and never frees what a session holds.
#pragma once

#include <cstdint>
#include <deque>
#include <jujubespool/core/time.h>
#include <memory>

namespace jujubespool {

class failure_detector
{
public:
    virtual ~failure_detector() = default;
    // Takes the heartbeat with this number; numbers count up from the peer's start.
    virtual void onHeartbeat(std::uint64_t counter, instant now) = 0;
    virtual bool suspects(instant now) const = 0;
};

// Suspects a peer whose last heartbeat is older than a fixed time.
class fixed_timeout_detector : public failure_detector
{
public:
    // A peer that is never heard of is suspected after the timeout from the start.
    fixed_timeout_detector(duration timeout, instant start);
    void onHeartbeat(std::uint64_t counter, instant now) override;
    bool suspects(instant now) const override;

private:
    duration m_timeout;
    std::uint64_t m_newest = 0;
    instant m_freshUntil;
};

// Chen's estimator: expects the next heartbeat after the mean of the last `window` arrivals, plus a margin.
class chen_detector : public failure_detector
{
public:
    chen_detector(duration interval, std::size_t window, duration margin);
    void onHeartbeat(std::uint64_t counter, instant now) override;
    bool suspects(instant now) const override;
    // Expected arrival of the heartbeat after the newest one, without the margin.
    instant expectedArrival() const;

private:
    struct arrival
    {
        std::uint64_t counter = 0;
        instant at;
    };
    duration m_interval;
    std::size_t m_window;
    duration m_margin;
    std::deque<arrival> m_arrivals;
};

// Two windows, a short and a long one; the later of their two expectations counts (2W-FD).
class two_window_detector : public failure_detector
{
public:
    two_window_detector(duration interval, std::size_t shortWindow, std::size_t longWindow, duration margin);
    void onHeartbeat(std::uint64_t counter, instant now) override;
    bool suspects(instant now) const override;

private:
    chen_detector m_short;
    chen_detector m_long;
};

} // namespace jujubespool

// Detects from heartbeats whether a peer may have crashed.
//
//     detector->onHeartbeat(counter, now);
//     if (detector->suspects(now)) { ... prefer another peer ... }
//
// A suspicion may be wrong. It only influences routing and forwarding and never frees permits of a session.
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
    // Handles the heartbeat with this number. A peer numbers its heartbeats upwards from its start.
    virtual void onHeartbeat(std::uint64_t counter, instant now) = 0;
    virtual bool suspects(instant now) const = 0;
};

// Suspects a peer whose last heartbeat is older than a fixed time.
class fixed_timeout_detector : public failure_detector
{
public:
    // A peer that never sends a heartbeat is suspected once the timeout has passed since `start`.
    fixed_timeout_detector(duration timeout, instant start);
    void onHeartbeat(std::uint64_t counter, instant now) override;
    bool suspects(instant now) const override;

private:
    duration m_timeout;
    std::uint64_t m_newestCounter = 0;
    instant m_suspectAfter;
};

// Chen's estimator: computes the expected arrival of the next heartbeat from the mean of the last `window` arrivals and
// suspects the peer when a margin beyond it has passed. Never suspects a peer before its first heartbeat.
class chen_detector : public failure_detector
{
public:
    chen_detector(duration interval, std::size_t window, duration margin);
    void onHeartbeat(std::uint64_t counter, instant now) override;
    bool suspects(instant now) const override;
    // Expected arrival of the heartbeat after the newest one, without the margin; instant::max() before the first heartbeat.
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

// Uses a short and a long window and suspects the peer after the later of their two expected arrivals (2W-FD).
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

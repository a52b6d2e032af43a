// Interface for clocks, timers and random numbers, which the components of an entry host use.
//
//     clock.repeat(milliseconds(100), [] { ... });
//     const instant now = clock.now();
//
// event_loop implements it for processes. Tests implement it with simulated time that several hosts share.
#pragma once

#include <functional>
#include <jujubespool/core/time.h>

namespace jujubespool {

class time_source
{
public:
    virtual ~time_source() = default;
    // Monotonic time.
    virtual instant now() const = 0;
    // Milliseconds since the Unix epoch.
    virtual wall_ms wallNow() const = 0;
    // A random number that is not 0 and that no other process is expected to draw.
    virtual std::uint64_t randomNumber() = 0;
    // Calls the function repeatedly, once per interval.
    virtual void repeat(milliseconds interval, std::function<void()> callback) = 0;
    // Calls the function once, after the delay.
    virtual void after(milliseconds delay, std::function<void()> callback) = 0;
};

} // namespace jujubespool

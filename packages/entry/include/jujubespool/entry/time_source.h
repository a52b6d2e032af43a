// Clocks and timers, as the parts of an entry host see them.
//
//     clock.repeat(milliseconds(100), [] { ... });
//     const instant now = clock.now();
//
// event_loop is the real one; tests drive many hosts through one schedule by another.
#pragma once

#include <functional>
#include <jujubespool/core/time.h>

namespace jujubespool {

class time_source
{
public:
    virtual ~time_source() = default;
    virtual instant now() const = 0;
    virtual wall_ms wallNow() const = 0;
    // A number that no other process draws.
    virtual std::uint64_t randomNumber() = 0;
    // Calls the function at each interval.
    virtual void repeat(milliseconds interval, std::function<void()> call) = 0;
    // Calls the function once, after the delay.
    virtual void after(milliseconds delay, std::function<void()> call) = 0;
};

} // namespace jujubespool

// Runs callbacks after a delay and passes them the current time.
//
//     timers.after(milliseconds(200), [](instant now) { retry(now); });
//
// The manager's components use it for retries. Tests provide an implementation with simulated time.
#pragma once

#include <functional>
#include <jujubespool/core/time.h>

namespace jujubespool {

class timer_service
{
public:
    virtual ~timer_service() = default;
    virtual void after(milliseconds delay, std::function<void(instant now)> call) = 0;
};

} // namespace jujubespool

// Timers for code that decides: calls back with the present time.
//
//     clock.after(milliseconds(200), [](instant now) { retry(now); });
//
// The manager's parts hold one to repeat what had no answer. Tests drive it by hand.
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

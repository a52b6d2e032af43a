// Decides when a process that is being stopped may end.
//
//     stop_sequence stop(now);
//     switch (stop.next(listener.openCalls(), handedOver, now)) { ... }       // in each pass of the event loop
//
// The process goes on until the load balancer sends it no more callers, all requests have been answered and the answers written.
#pragma once

#include <cstddef>
#include <jujubespool/core/time.h>
#include <optional>

namespace jujubespool {

enum class stop_action {
    wait,
    // Requests are still open although the time is nearly over: each has to be answered now.
    answer_open_calls,
    end
};

class stop_sequence
{
public:
    explicit stop_sequence(instant now);

    stop_action next(std::size_t openCalls, bool handedOver, instant now);

private:
    instant m_startedAt;
    // Since when no request has been open.
    std::optional<instant> m_answeredSince;
};

} // namespace jujubespool

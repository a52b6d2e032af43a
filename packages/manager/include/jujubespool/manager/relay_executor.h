// Sends orders to workers on behalf of the owner, and returns the results.
//
//     relay_executor executor(workers, timers, log, send);
//     executor.onOrders(owner, orders, now);      // the results are passed to `send`
//
// An order that arrives late may be one that the owner has given up. Therefore a process that was paused declines the
// orders that it finds when it resumes, and orders of a former owner are declined once a higher epoch is known.
#pragma once

#include <algorithm>
#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/timer_service.h>
#include <jujubespool/manager/pause_detector.h>
#include <jujubespool/manager/relay_messages.h>
#include <map>

namespace jujubespool {

class relay_executor
{
public:
    using send_function = std::function<void(std::uint64_t to, wire::peer_message message, instant now)>;
    relay_executor(worker_gateway &workers, timer_service &timers, event_log &log, send_function send);

    // Call at regular intervals.
    void tick(instant now)
    {
        m_pauses.tick(now);
    }
    // Orders of owners with lower epochs are declined from now on.
    void recordEpoch(std::uint64_t epoch)
    {
        m_epoch = std::max(m_epoch, epoch);
    }
    void onOrders(std::uint64_t from, const wire::relayed_orders &orders, instant now);

private:
    // Returns false if the order is malformed.
    bool execute(std::uint64_t from, const wire::relayed_order &order, std::uint64_t epoch);
    void queueResult(std::uint64_t to, wire::relayed_result result);
    void flush(instant now);

    worker_gateway &m_workers;
    timer_service &m_timers;
    event_log &m_log;
    send_function m_send;
    pause_detector m_pauses;
    std::uint64_t m_epoch = 0;
    std::map<std::uint64_t, wire::peer_message> m_results;
    lifetime m_lifetime;
};

} // namespace jujubespool

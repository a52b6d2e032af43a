// Sends the owner's orders to workers through helpers, so that the owner does not pay for one call per order.
//
//     order_relay relay(directWorkers, timers, log, send, mayAct);
//     relay.begin(epoch);
//     relay.setHelpers(helpers);           // without helpers, each order is sent directly
//     relay.start(order, done);
//     relay.onResults(results);
//     relay.tick(now);
//
// A helper can be lost or paused with an order in hand. A stop or poll without a result is then sent once more, directly, as
// both are idempotent. A start without a result is reported as unknown: the helper may have carried it out, so that not even
// a worker's refusal of a second attempt would prove that nothing runs. An order that a helper carries out late looks to the
// worker like one that the network delayed: the fencing token, the run number and the lease bound what it can do. Before it
// sends an order later than it was given, the relay asks whether this process may still act as the owner: it may have been
// paused.
#pragma once

#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/timer_service.h>
#include <jujubespool/manager/relay_helper.h>
#include <jujubespool/manager/relay_messages.h>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>

namespace jujubespool {

class order_relay : public worker_gateway
{
public:
    using poll_callback = std::function<void(const poll_result &, instant now)>;
    // Returns false if the message could not be sent.
    using send_function = std::function<bool(std::uint64_t to, wire::peer_message message, instant now)>;
    // Whether this process may act as the owner.
    using permission_check = std::function<bool(instant now)>;
    order_relay(worker_gateway &direct, timer_service &timers, event_log &log, send_function send, permission_check mayAct);

    // Begins a term of ownership. The results of orders of earlier terms are ignored.
    void begin(std::uint64_t epoch);
    void setHelpers(std::vector<relay_helper> helpers);
    void start(const start_order &order, order_callback done) override;
    void stop(const stop_order &order, order_callback done) override;
    void setSpeedLimit(const speed_limit_order &order, order_callback done) override;
    void poll(const poll_order &order, poll_callback done) override;
    void onResults(const wire::relayed_results &results, instant now);
    // Ends the wait for results that are overdue. Call at regular intervals.
    void tick(instant now);

private:
    struct relayed_start
    {
        start_order order;
        order_callback done;
    };
    struct relayed_stop
    {
        stop_order order;
        order_callback done;
    };
    struct relayed_poll
    {
        poll_order order;
        poll_callback done;
    };
    using pending_order = std::variant<relayed_start, relayed_stop, relayed_poll>;
    struct pending
    {
        std::uint64_t helper = 0;
        instant deadline;
        pending_order order;
    };

    void relay(const worker_address &target, milliseconds resultTime, pending_order order);
    void flush(instant now);
    pending take(std::uint64_t number);
    // Ends the wait for all orders that the helper has: one that is overdue shows that the helper may be lost.
    void takeBack(std::uint64_t helper, instant now);
    void sendDirectly(pending_order order);
    // The same if this process may still act; otherwise reports the order as withheld. Stop orders are always sent. Only for orders that
    // no helper can have carried out, and for polls.
    void sendLate(pending_order order, instant now);
    static void report(const pending_order &order, order_status status, instant now);
    void complete(const wire::relayed_result &message, instant now);

    worker_gateway &m_direct;
    timer_service &m_timers;
    event_log &m_log;
    send_function m_send;
    permission_check m_mayAct;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextNumber = 1;
    instant m_tickedAt;
    std::vector<relay_helper> m_helpers;
    // Helpers that did not return a result in time get no orders before this time.
    std::map<std::uint64_t, instant> m_avoidUntil;
    std::map<std::uint64_t, wire::relayed_orders> m_batches;
    std::unordered_map<std::uint64_t, pending> m_pending;
    std::set<std::pair<instant, std::uint64_t>> m_deadlines;
    instant m_withheldLoggedAt;
    int m_withheldSinceLogged = 0;
    lifetime m_lifetime;
};

} // namespace jujubespool

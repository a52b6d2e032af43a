#include <jujubespool/manager/relay_executor.h>

namespace jujubespool {

namespace {

// Results that arrive within this time share a message, which saves the owner wake-ups.
constexpr milliseconds RESULT_BATCH_DELAY{ 4 };

} // namespace

relay_executor::relay_executor(worker_gateway &workers, timer_service &timers, event_log &log, send_function send)
    : m_workers(workers)
    , m_timers(timers)
    , m_log(log)
    , m_send(std::move(send))
{
}

void relay_executor::onOrders(std::uint64_t from, const wire::relayed_orders &orders, instant now)
{
    const bool paused = m_pauses.wasPaused(now);
    const bool superseded = orders.epoch() < m_epoch;
    recordEpoch(orders.epoch());
    if (paused || superseded) {
        m_log.write("orders-declined",
                    { { "orders", std::to_string(orders.orders_size()) },
                      { "epoch", std::to_string(orders.epoch()) },
                      { "epoch_known", std::to_string(m_epoch) },
                      { "reason", paused ? "paused" : "superseded" } });
    }
    for (const wire::relayed_order &order : orders.orders()) {
        if (paused || superseded || !execute(from, order, orders.epoch())) {
            wire::relayed_result declined;
            declined.set_number(order.number());
            declined.set_declined(true);
            queueResult(from, std::move(declined));
        }
    }
}

bool relay_executor::execute(std::uint64_t from, const wire::relayed_order &order, std::uint64_t epoch)
{
    const auto onResult = m_lifetime.guard(
        [this, from, number = order.number()](const auto &result, instant) { queueResult(from, toMessage(number, result)); });
    if (const std::optional<start_order> start = startOrderOf(order, epoch)) {
        m_workers.start(*start, onResult);
    } else if (const std::optional<stop_order> stop = stopOrderOf(order, epoch)) {
        m_workers.stop(*stop, onResult);
    } else if (const std::optional<poll_order> poll = pollOrderOf(order, epoch)) {
        m_workers.poll(*poll, onResult);
    } else {
        m_log.write("order-unreadable", { { "worker", order.worker() }, { "from", std::to_string(from) } });
        return false;
    }
    return true;
}

void relay_executor::queueResult(std::uint64_t to, wire::relayed_result result)
{
    if (m_results.empty()) {
        m_timers.after(RESULT_BATCH_DELAY, m_lifetime.guard([this](instant now) { flush(now); }));
    }
    *m_results[to].mutable_results()->add_results() = std::move(result);
}

void relay_executor::flush(instant now)
{
    for (auto &[to, message] : std::exchange(m_results, {})) {
        m_send(to, std::move(message), now);
    }
}

} // namespace jujubespool

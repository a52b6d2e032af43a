#include <jujubespool/manager/order_relay.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Time in which a worker answers a start or stop order, or the helper reports that it did not.
constexpr milliseconds ORDER_RESULT_TIME{ 400 };
// Additional time for the messages to and from the helper.
constexpr milliseconds RELAY_ALLOWANCE{ 300 };
constexpr milliseconds HELPER_AVOID_TIME{ 2000 };
constexpr milliseconds WITHHELD_LOG_INTERVAL{ 1000 };

template <typename... Functions> struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions> overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

order_relay::order_relay(worker_gateway &direct, timer_service &timers, event_log &log, send_function send, permission_check mayAct)
    : m_direct(direct)
    , m_timers(timers)
    , m_log(log)
    , m_send(std::move(send))
    , m_mayAct(std::move(mayAct))
{
}

void order_relay::begin(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_pending.clear();
    m_deadlines.clear();
    m_batches.clear();
    m_helpers.clear();
}

void order_relay::setHelpers(std::vector<relay_helper> helpers)
{
    helpers.erase(std::remove_if(helpers.begin(), helpers.end(),
                                 [this](const relay_helper &helper) {
                                     const auto avoided = m_avoidUntil.find(helper.incarnation);
                                     return avoided != m_avoidUntil.end() && m_tickedAt < avoided->second;
                                 }),
                  helpers.end());
    m_helpers = std::move(helpers);
}

void order_relay::start(const start_order &order, order_callback done)
{
    if (order.repeated) {
        // The first attempt had no response, so this one takes another path.
        m_direct.start(order, std::move(done));
    } else {
        relay(order.worker, ORDER_RESULT_TIME, relayed_start{ order, std::move(done) });
    }
}

void order_relay::stop(const stop_order &order, order_callback done)
{
    relay(order.worker, ORDER_RESULT_TIME, relayed_stop{ order, std::move(done) });
}

void order_relay::setSpeedLimit(const speed_limit_order &order, order_callback done)
{
    m_direct.setSpeedLimit(order, std::move(done));
}

void order_relay::poll(const poll_order &order, poll_callback done)
{
    relay(order.worker, order.wait + order.responseAllowance, relayed_poll{ order, std::move(done) });
}

void order_relay::relay(const worker_address &target, milliseconds resultTime, pending_order order)
{
    const std::uint64_t helper = chooseHelper(target, m_helpers);
    if (helper == 0) {
        sendDirectly(std::move(order));
        return;
    }
    const std::uint64_t number = m_nextNumber++;
    if (m_batches.empty()) {
        m_timers.after(milliseconds(0), m_lifetime.guard([this](instant now) { flush(now); }));
    }
    *m_batches[helper].add_orders() = std::visit([number](const auto &entry) { return toMessage(number, entry.order); }, order);
    const instant deadline = m_tickedAt + resultTime + RELAY_ALLOWANCE;
    m_deadlines.insert({ deadline, number });
    m_pending.emplace(number, pending{ helper, deadline, std::move(order) });
}

void order_relay::flush(instant now)
{
    for (auto &[helper, orders] : std::exchange(m_batches, {})) {
        std::vector<std::uint64_t> numbers;
        for (const wire::relayed_order &order : orders.orders()) {
            numbers.push_back(order.number());
        }
        wire::peer_message message;
        *message.mutable_orders() = std::move(orders);
        message.mutable_orders()->set_epoch(m_epoch);
        if (m_mayAct(now) && m_send(helper, std::move(message), now)) {
            continue;
        }
        for (const std::uint64_t number : numbers) {
            sendLate(take(number).order, now);
        }
    }
}

order_relay::pending order_relay::take(std::uint64_t number)
{
    pending entry = std::move(m_pending.at(number));
    m_deadlines.erase({ entry.deadline, number });
    m_pending.erase(number);
    return entry;
}

void order_relay::sendDirectly(pending_order order)
{
    std::visit(overloaded{ [&](relayed_start &entry) { m_direct.start(entry.order, std::move(entry.done)); },
                           [&](relayed_stop &entry) { m_direct.stop(entry.order, std::move(entry.done)); },
                           [&](relayed_poll &entry) {
                               m_direct.poll(entry.order, std::move(entry.done));
                           } },
               order);
}

void order_relay::sendLate(pending_order order, instant now)
{
    if (m_mayAct(now) || std::holds_alternative<relayed_stop>(order)) {
        sendDirectly(std::move(order));
        return;
    }
    ++m_withheldSinceLogged;
    if (now - m_withheldLoggedAt >= WITHHELD_LOG_INTERVAL) {
        m_log.write("orders-withheld",
                    { { "orders", std::to_string(m_withheldSinceLogged) }, { "reason", "the ownership is not confirmed" } });
        m_withheldLoggedAt = now;
        m_withheldSinceLogged = 0;
    }
    report(order, order_status::withheld, now);
}

void order_relay::report(const pending_order &order, order_status status, instant now)
{
    std::visit(overloaded{ [&](const relayed_poll &entry) {
                              poll_result result;
                              result.status = status;
                              entry.done(result, now);
                          },
                           [&](const auto &entry) {
                               entry.done({ status, {}, {} }, now);
                           } },
               order);
}

void order_relay::onResults(const wire::relayed_results &results, instant now)
{
    for (const wire::relayed_result &message : results.results()) {
        if (m_pending.count(message.number()) > 0) {
            complete(message, now);
        }
    }
}

void order_relay::complete(const wire::relayed_result &message, instant now)
{
    pending entry = take(message.number());
    if (message.declined()) {
        sendLate(std::move(entry.order), now);
        return;
    }
    const auto report = [&](const auto &result, const auto &done) {
        if (!result) {
            m_log.write("relayed-result-unreadable", { { "helper", std::to_string(entry.helper) } });
        }
        done(result.value_or(typename std::decay_t<decltype(result)>::value_type{}), now);
    };
    std::visit(overloaded{ [&](const relayed_poll &poll) { report(pollResultOf(message), poll.done); },
                           [&](const auto &order) {
                               report(orderResultOf(message), order.done);
                           } },
               entry.order);
}

void order_relay::tick(instant now)
{
    m_tickedAt = now;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const std::uint64_t helper = m_pending.at(m_deadlines.begin()->second).helper;
        m_avoidUntil[helper] = now + HELPER_AVOID_TIME;
        std::erase_if(m_helpers, [helper](const relay_helper &entry) { return entry.incarnation == helper; });
        takeBack(helper, now);
    }
}

void order_relay::takeBack(std::uint64_t helper, instant now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, entry] : m_pending) {
        if (entry.helper == helper) {
            numbers.push_back(number);
        }
    }
    // Orders of this pass of the event loop are not on their way yet.
    m_batches.erase(helper);
    m_log.write("relayed-orders-overdue", { { "helper", std::to_string(helper) }, { "orders", std::to_string(numbers.size()) } });
    for (const std::uint64_t number : numbers) {
        pending entry = take(number);
        if (std::holds_alternative<relayed_start>(entry.order)) {
            report(entry.order, order_status::unknown, now);
        } else {
            sendLate(std::move(entry.order), now);
        }
    }
}

} // namespace jujubespool

#include <jujubespool/jobs/host_controller.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds LIST_INTERVAL{ 1000 };
constexpr milliseconds LIST_INTERVAL_WITH_ORDERS{ 300 };
constexpr milliseconds LIST_RETRY_DELAY{ 500 };
// Minimum interval per host, which bounds the share of the time that reading the list takes in a large fleet.
constexpr microseconds LIST_INTERVAL_PER_HOST{ 500 };
// An order without an answer may still be carried out late. It counts as failed when the list shows no effect for
// this long.
constexpr milliseconds UNANSWERED_ORDER_TIMEOUT{ 4000 };
// The load may have changed entirely by the time that a store which was unavailable has recorded an order.
constexpr milliseconds MAX_RECORDING_TIME{ 1500 };

// Whether the platform answers an earlier, late order for the same maintenance in the same way, so that it has no effect.
bool isFinal(host_order_status status)
{
    return status == host_order_status::done || status == host_order_status::wrong_wave || status == host_order_status::invalid;
}

} // namespace

host_controller::host_controller(fleet_model &model, host_gateway &gateway, event_log &log, const std::string &holder,
                                 std::uint64_t fencingToken)
    : m_model(model)
    , m_gateway(gateway)
    , m_log(log)
    , m_holder(holder)
    , m_token(fencingToken)
{
}

void host_controller::refresh(instant now)
{
    openAfterLostOrders(now);
    if (m_listInFlight || now < m_nextListAt) {
        return;
    }
    m_listInFlight = true;
    m_gateway.list(m_lifetime.guard([this, now](const host_list &list, instant then) { onList(list, now, then); }));
}

void host_controller::onList(const host_list &list, instant askedAt, instant now)
{
    m_listInFlight = false;
    if (!list.hosts) {
        m_log.write("hosts-unlisted", { { "peer", list.reason.peer }, { "reason", list.reason.reason } });
        m_nextListAt = now + LIST_RETRY_DELAY;
        return;
    }
    m_listed = true;
    m_hosts.clear();
    for (const host_entry &host : *list.hosts) {
        m_hosts[host.name] = host;
    }
    resolveOrders(askedAt, now);
    std::erase_if(m_maintenanceInDoubt, [this](const std::string &name) {
        const host_entry *host = find(name);
        return host == nullptr || host->state == host_condition::maintenance;
    });
    const duration minInterval = LIST_INTERVAL_PER_HOST * static_cast<int>(m_hosts.size());
    m_nextListAt = askedAt + std::max<duration>(m_pendingOrders.empty() ? LIST_INTERVAL : LIST_INTERVAL_WITH_ORDERS, minInterval);
}

void host_controller::resolveOrders(instant askedAt, instant now)
{
    for (auto entry = m_pendingOrders.begin(); entry != m_pendingOrders.end();) {
        const auto &[name, order] = *entry;
        const host_entry *host = find(name);
        const bool up = host != nullptr && host->state == host_condition::up;
        const milliseconds minDuration = order.isMaintenance() ? m_model.bounds().maintenanceTime : m_model.bounds().moveTime;
        bool resolved = false;
        if (!order.answered && order.isMaintenance() && host != nullptr && host->state == host_condition::maintenance) {
            // The answer was lost, but the maintenance has started.
            entry->second.answered = true;
            entry->second.orderedAt = now;
            order.done(host_order_status::done, now);
        } else if (order.answered) {
            resolved = host == nullptr || (up && askedAt > order.orderedAt + minDuration);
        } else {
            resolved = (host == nullptr || up) && askedAt > order.orderedAt + UNANSWERED_ORDER_TIMEOUT;
            if (resolved) {
                giveUp(name, order);
            }
        }
        if (resolved) {
            setCordoned(order.worker, false);
        }
        entry = resolved ? m_pendingOrders.erase(entry) : std::next(entry);
    }
}

void host_controller::giveUp(const std::string &host, const pending_order &order)
{
    if (order.isMaintenance() && find(host) != nullptr) {
        m_maintenanceInDoubt.insert(host);
        m_log.write("upkeep-in-doubt", { { "host", host } });
    }
}

void host_controller::forgetRefused(const pending_order &order, const std::string &host)
{
    if (order.isMaintenance() && m_maintenanceInDoubt.count(host) == 0) {
        m_recordOrder({ host, std::nullopt }, [](instant) {});
    }
}

const host_entry *host_controller::find(const std::string &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

worker *host_controller::workerOn(const host_entry &host) const
{
    return host.worker.empty() ? nullptr : m_model.workers().find(host.worker);
}

void host_controller::restoreOrder(const std::string &host, milliseconds age, instant now)
{
    // The former owner sent the order at most this long after it had put it on record.
    const milliseconds lease = m_model.bounds().hostLease + MAX_RECORDING_TIME;
    if (age < lease) {
        m_leasedUntil[host] = now + lease - age;
    }
}

bool host_controller::acceptsOrders(const host_entry &host, instant now) const
{
    const worker *target = workerOn(host);
    const auto leased = m_leasedUntil.find(host.name);
    const bool leaseOver = leased == m_leasedUntil.end() || now >= leased->second;
    return host.state == host_condition::up && leaseOver && !hasPendingOrder(host.name)
        && !(target != nullptr && target->report.state == worker_state::draining);
}

std::string host_controller::pendingPoolOf(const std::string &host) const
{
    const auto order = m_pendingOrders.find(host);
    return order == m_pendingOrders.end() ? std::string() : order->second.toPool;
}

int host_controller::pendingMovesTo(const std::string &pool) const
{
    return static_cast<int>(
        std::count_if(m_pendingOrders.begin(), m_pendingOrders.end(), [&pool](const auto &entry) { return entry.second.toPool == pool; }));
}

int host_controller::countInMaintenance(const std::vector<std::string> &hosts) const
{
    return static_cast<int>(std::count_if(hosts.begin(), hosts.end(), [this](const std::string &name) {
        const host_entry *host = find(name);
        return isMaintenancePending(name) || isMaintenanceInDoubt(name) || (host != nullptr && host->state == host_condition::maintenance);
    }));
}

int host_controller::countInDoubt(const std::vector<std::string> &hosts) const
{
    return static_cast<int>(
        std::count_if(hosts.begin(), hosts.end(), [this](const std::string &name) { return isMaintenanceInDoubt(name); }));
}

void host_controller::openAfterLostOrders(instant now)
{
    for (const auto &[host, order] : m_pendingOrders) {
        const instant lostAt = order.orderedAt + UNANSWERED_ORDER_TIMEOUT;
        worker *target = m_model.workers().find(order.worker);
        const bool hadNoEffect
            = now > lostAt && target != nullptr && target->cordoned && target->unansweredPolls == 0 && target->lastResponseAt > lostAt;
        if (hadNoEffect) {
            m_log.write("host-order-overdue", { { "host", host }, { "worker", order.worker }, { "to", order.toPool } });
            target->cordoned = false;
        }
    }
}

void host_controller::setCordoned(const std::string &workerId, bool cordoned)
{
    worker *target = m_model.workers().find(workerId);
    if (target != nullptr) {
        target->cordoned = cordoned;
    }
}

host_controller::order_id host_controller::beginOrder(const std::string &host, const std::string &toPool, maintenance_callback done,
                                                      instant now)
{
    const std::string &workerId = find(host)->worker;
    m_pendingOrders[host] = { ++m_lastOrder, workerId, toPool, now, false, std::move(done) };
    setCordoned(workerId, true);
    return { host, m_lastOrder };
}

void host_controller::move(const std::string &host, const std::string &pool, instant now)
{
    m_log.write("move-ordered", { { "host", host }, { "from", find(host)->pool }, { "to", pool } });
    const order_id id = beginOrder(host, pool, {}, now);
    m_nextListAt = std::min(m_nextListAt, now + m_model.bounds().moveTime);
    sendAfterRecording(
        id, std::nullopt,
        [this, id, pool] {
            m_gateway.move(
                { id.host, m_holder, m_token }, pool,
                m_lifetime.guard([this, id](const host_order_result &result, instant then) { onOrderResult(id, result, then); }));
        },
        now);
}

void host_controller::startMaintenance(const std::string &host, std::uint64_t wave, maintenance_callback done, instant now)
{
    m_log.write("upkeep-ordered", { { "wave", std::to_string(wave) }, { "host", host } });
    const order_id id = beginOrder(host, {}, std::move(done), now);
    sendAfterRecording(
        id, wave,
        [this, id, wave] {
            m_gateway.startMaintenance(
                { id.host, m_holder, m_token }, wave,
                m_lifetime.guard([this, id](const host_order_result &result, instant then) { onOrderResult(id, result, then); }));
        },
        now);
}

void host_controller::onPoolsConfigured(const std::map<std::string, pool_config> &pools)
{
    std::set<std::string> names;
    for (const auto &[name, pool] : pools) {
        names.insert(name);
    }
    if (names != m_poolNames) {
        m_poolNames = std::move(names);
        m_rejectedMoves.clear();
    }
}

void host_controller::sendAfterRecording(const order_id &id, std::optional<std::uint64_t> wave, std::function<void()> send, instant now)
{
    m_recordOrder({ id.host, wave }, m_lifetime.guard([this, id, send = std::move(send), decidedAt = now](instant recordedAt) {
        if (!isOwnershipConfirmed(recordedAt)) {
            cancelOrder(id, "the ownership is not confirmed", recordedAt);
        } else if (recordedAt - decidedAt > MAX_RECORDING_TIME) {
            cancelOrder(id, "recording the order took too long", recordedAt);
        } else {
            send();
        }
    }));
}

void host_controller::cancelOrder(const order_id &id, const std::string &reason, instant now)
{
    onOrderResult(id, { host_order_status::refused, { failure_step::control, id.host, reason } }, now);
}

void host_controller::onOrderResult(const order_id &id, const host_order_result &result, instant now)
{
    const std::string &host = id.host;
    m_log.count("host_orders_total", nameOf(result.status));
    if (result.status != host_order_status::done) {
        m_log.write("host-order-answered",
                    { { "host", host }, { "outcome", std::string(nameOf(result.status)) }, { "reason", result.reason.reason } });
    }
    if (result.status == host_order_status::fenced) {
        m_onFenced(now);
        return;
    }
    const auto found = m_pendingOrders.find(host);
    if (found == m_pendingOrders.end() || found->second.number != id.number) {
        // The order was given up; another one for the host may be pending since.
        return;
    }
    if (result.status == host_order_status::unknown) {
        return;
    }
    const maintenance_callback done = found->second.done;
    if (found->second.isMaintenance() && isFinal(result.status)) {
        m_maintenanceInDoubt.erase(host);
    }
    if (result.status == host_order_status::done) {
        found->second.answered = true;
        found->second.orderedAt = now;
    } else {
        if (result.status == host_order_status::invalid && !found->second.toPool.empty()) {
            m_rejectedMoves.insert({ host, found->second.toPool });
        }
        forgetRefused(found->second, host);
        setCordoned(found->second.worker, false);
        m_pendingOrders.erase(found);
    }
    if (done) {
        done(result.status, now);
    }
}

} // namespace jujubespool

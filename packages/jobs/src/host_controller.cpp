#include <jujubespool/jobs/host_controller.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds LIST_INTERVAL{ 1000 };
constexpr milliseconds LIST_INTERVAL_WITH_ORDERS{ 300 };
constexpr milliseconds LIST_RETRY_DELAY{ 500 };
// An order without an answer counts as carried out late until the list has been the same for this long.
constexpr milliseconds DOUBT_TIME{ 4000 };
// Clocks of two processes may differ by this much.
constexpr milliseconds CLOCK_MARGIN{ 500 };

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
    if (m_listing || now < m_listNotBefore) {
        return;
    }
    m_listing = true;
    m_gateway.list(m_lifetime.guard([this, now](const host_list &list, instant then) { onList(list, now, then); }));
}

void host_controller::onList(const host_list &list, instant askedAt, instant now)
{
    m_listing = false;
    if (!list.hosts) {
        m_log.write("hosts-unlisted", { { "peer", list.reason.peer }, { "reason", list.reason.reason } });
        m_listNotBefore = now + LIST_RETRY_DELAY;
        return;
    }
    m_listed = true;
    m_hosts.clear();
    for (const host_entry &host : *list.hosts) {
        m_hosts[host.name] = host;
    }
    settleOrders(askedAt, now);
    m_listNotBefore = askedAt + (m_ordered.empty() ? LIST_INTERVAL : LIST_INTERVAL_WITH_ORDERS);
}

void host_controller::settleOrders(instant askedAt, instant now)
{
    for (auto item = m_ordered.begin(); item != m_ordered.end();) {
        const auto &[name, order] = *item;
        const host_entry *host = find(name);
        const bool up = host != nullptr && host->state == host_condition::up;
        const bool upkeep = order.toPool.empty();
        const milliseconds least = upkeep ? m_model.bounds().maintenanceTime : m_model.bounds().moveTime;
        bool over = host == nullptr;
        if (!order.answered && upkeep && host != nullptr && host->state == host_condition::maintenance) {
            // The answer was lost, but the upkeep has begun.
            item->second.answered = true;
            item->second.orderedAt = now;
            order.done(host_order_status::done, now);
        } else if (order.answered) {
            over = over || (up && askedAt > order.orderedAt + least);
        } else {
            over = over || (up && askedAt > order.orderedAt + DOUBT_TIME);
        }
        if (over) {
            cordon(name, false);
        }
        item = over ? m_ordered.erase(item) : std::next(item);
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

void host_controller::restoreOrder(const std::string &host, wall_ms orderedAt, wall_ms wall, instant now)
{
    const milliseconds lease = m_model.bounds().hostLease + CLOCK_MARGIN;
    const milliseconds passed(wall - std::min(wall, orderedAt));
    if (passed < lease) {
        m_leasedUntil[host] = now + lease - passed;
    }
}

bool host_controller::orderable(const host_entry &host, instant now) const
{
    const worker *target = workerOn(host);
    const auto leased = m_leasedUntil.find(host.name);
    const bool left = leased == m_leasedUntil.end() || now >= leased->second;
    return host.state == host_condition::up && left && !busy(host.name)
        && !(target != nullptr && target->report.state == worker_state::draining);
}

int host_controller::arriving(const std::string &pool) const
{
    return static_cast<int>(
        std::count_if(m_ordered.begin(), m_ordered.end(), [&pool](const auto &item) { return item.second.toPool == pool; }));
}

int host_controller::inUpkeep(const std::vector<std::string> &hosts) const
{
    return static_cast<int>(std::count_if(hosts.begin(), hosts.end(), [this](const std::string &name) {
        const auto order = m_ordered.find(name);
        const host_entry *host = find(name);
        const bool ordered = order != m_ordered.end() && order->second.toPool.empty();
        return ordered || (host != nullptr && host->state == host_condition::maintenance);
    }));
}

void host_controller::cordon(const std::string &name, bool cordoned)
{
    const host_entry *host = find(name);
    worker *target = host == nullptr ? nullptr : workerOn(*host);
    if (target != nullptr) {
        target->cordoned = cordoned;
    }
}

void host_controller::move(const std::string &host, const std::string &pool, instant now)
{
    m_log.write("move-ordered", { { "host", host }, { "from", find(host)->pool }, { "to", pool } });
    m_ordered[host] = { pool, now, false, {} };
    cordon(host, true);
    m_listNotBefore = std::min(m_listNotBefore, now + m_model.bounds().moveTime);
    sendRecorded(host, [this, host, pool] {
        m_gateway.move({ host, m_holder, m_token }, pool,
                       m_lifetime.guard([this, host](const host_order_result &result, instant then) { onAnswer(host, result, then); }));
    });
}

void host_controller::upkeep(const std::string &host, std::uint64_t wave, upkeep_callback done, instant now)
{
    m_log.write("upkeep-ordered", { { "wave", std::to_string(wave) }, { "host", host } });
    m_ordered[host] = { {}, now, false, std::move(done) };
    cordon(host, true);
    sendRecorded(host, [this, host, wave] {
        m_gateway.startMaintenance(
            { host, m_holder, m_token }, wave,
            m_lifetime.guard([this, host](const host_order_result &result, instant then) { onAnswer(host, result, then); }));
    });
}

void host_controller::sendRecorded(const std::string &host, std::function<void()> send)
{
    m_record(host, m_lifetime.guard([this, host, send = std::move(send)](instant now) {
        if (mayOrder(now)) {
            send();
        } else {
            onAnswer(host, { host_order_status::refused, { failure_step::control, host, "the ownership is not sure" } }, now);
        }
    }));
}

void host_controller::onAnswer(const std::string &host, const host_order_result &result, instant now)
{
    m_log.count("host_orders_total", nameOf(result.status));
    if (result.status != host_order_status::done) {
        m_log.write("host-order-answered",
                    { { "host", host }, { "outcome", std::string(nameOf(result.status)) }, { "reason", result.reason.reason } });
    }
    const auto found = m_ordered.find(host);
    if (found == m_ordered.end()) {
        return;
    }
    if (result.status == host_order_status::fenced) {
        m_onFenced(now);
        return;
    }
    if (result.status == host_order_status::unknown) {
        return;
    }
    const upkeep_callback done = found->second.done;
    if (result.status == host_order_status::done) {
        found->second.answered = true;
        found->second.orderedAt = now;
    } else {
        if (result.status == host_order_status::invalid && !found->second.toPool.empty()) {
            m_refusedMoves.insert({ host, found->second.toPool });
        }
        cordon(host, false);
        m_ordered.erase(found);
    }
    if (done) {
        done(result.status, now);
    }
}

} // namespace jujubespool

// Tracks the hosts as the platform lists them, and sends move and maintenance orders for them.
//
//     host_controller hosts(model, gateway, log, holder, fencingToken);
//     hosts.refresh(now);
//     for (const auto &[name, host] : hosts.hosts()) { ... }
//
// A host with a pending or unanswered order receives no other order until the list shows the result.
#pragma once

#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/jobs/lifetime.h>

namespace jujubespool {

// What is put on record of an order before it is sent.
struct host_order_record
{
    std::string host;
    // The wave of a maintenance order; empty for a move.
    std::optional<std::uint64_t> wave;
};

class host_controller
{
public:
    host_controller(fleet_model &model, host_gateway &gateway, event_log &log, const std::string &holder, std::uint64_t fencingToken);

    // Requests the list of hosts when the next refresh is due.
    void refresh(instant now);
    bool listed() const
    {
        return m_listed;
    }
    const std::map<std::string, host_entry> &hosts() const
    {
        return m_hosts;
    }
    const host_entry *find(const std::string &host) const;
    // Returns the worker that runs on the host; null if there is none.
    worker *workerOn(const host_entry &host) const;
    // The host is up, has no pending order, its worker is not draining, and no former owner's lease covers it.
    bool acceptsOrders(const host_entry &host, instant now) const;
    bool hasPendingOrder(const std::string &host) const
    {
        return m_pendingOrders.count(host) > 0;
    }
    bool isMaintenancePending(const std::string &host) const
    {
        const auto order = m_pendingOrders.find(host);
        return order != m_pendingOrders.end() && order->second.isMaintenance();
    }
    // A maintenance order for the host got no answer and had no effect for long, but may still be carried out. The doubt ends when the host
    // is seen in maintenance, or when the order is repeated and answered: the platform does nothing for an order that it has carried out.
    bool isMaintenanceInDoubt(const std::string &host) const
    {
        return m_maintenanceInDoubt.count(host) > 0 && !isMaintenancePending(host);
    }
    // The platform has rejected this move, and will do so as long as the pools are the same.
    bool isMoveRejected(const std::string &host, const std::string &pool) const
    {
        return m_rejectedMoves.count({ host, pool }) > 0;
    }
    // Forgets the rejected moves if these are other pools than before: the platform may not have known a pool.
    void onPoolsConfigured(const std::map<std::string, pool_config> &pools);
    // Returns the pool to which the host has a pending move; empty if there is none.
    std::string pendingPoolOf(const std::string &host) const;
    // Number of hosts with a pending move to the pool.
    int pendingMovesTo(const std::string &pool) const;
    // Number of the given hosts that are, or may be, in maintenance, those in doubt among them.
    int countInMaintenance(const std::vector<std::string> &hosts) const;
    int countInDoubt(const std::vector<std::string> &hosts) const;

    void move(const std::string &host, const std::string &pool, instant now);
    // Receives the result of a maintenance order. It is called with `done` also when the list shows the maintenance
    // after the answer was lost.
    using maintenance_callback = std::function<void(host_order_status status, instant now)>;
    void startMaintenance(const std::string &host, std::uint64_t wave, maintenance_callback done, instant now);
    // Sets the function to call when another owner has sent an order with a higher fencing token.
    void onFenced(std::function<void(instant now)> callback)
    {
        m_onFenced = std::move(callback);
    }
    // Registers an order that a former owner put on record so long ago, or later: the host receives no orders until the host lease after it
    // has ended.
    void restoreOrder(const std::string &host, milliseconds age, instant now);
    // Registers that a former owner ordered the maintenance of the host, and that it is not known whether it has begun.
    void restoreMaintenanceInDoubt(const std::string &host)
    {
        m_maintenanceInDoubt.insert(host);
    }
    // Sets the check that is made before each order; it returns false when another process may own the jobs. The
    // platform fences orders for each host separately, so an order of a former owner would be accepted for a host to
    // which its successor has sent none.
    void setOwnershipCheck(std::function<bool(instant now)> check)
    {
        m_checkOwnership = std::move(check);
    }
    // Records durably that an order is about to be sent, then calls back.
    using order_recorder = std::function<void(const host_order_record &order, std::function<void(instant now)> recorded)>;
    void setOrderRecorder(order_recorder record)
    {
        m_recordOrder = std::move(record);
    }
    bool isOwnershipConfirmed(instant now) const
    {
        return m_checkOwnership(now);
    }

private:
    // Tells orders for one host apart.
    struct order_id
    {
        std::string host;
        std::uint64_t number = 0;
    };
    struct pending_order
    {
        std::uint64_t number = 0;
        // The worker that ran on the host at the time of the order; empty if there was none. It is closed to new tasks.
        std::string worker;
        // Empty for a maintenance order.
        std::string toPool;
        bool isMaintenance() const
        {
            return toPool.empty();
        }
        instant orderedAt;
        bool answered = false;
        maintenance_callback done;
    };
    void onList(const host_list &list, instant askedAt, instant now);
    void resolveOrders(instant askedAt, instant now);
    // Gives up waiting for the answer to an order. A listed host may still be maintained for it.
    void giveUp(const std::string &host, const pending_order &order);
    // Takes a maintenance order that had no effect off the record, so that no later owner has it in doubt.
    void forgetRefused(const pending_order &order, const std::string &host);
    void onOrderResult(const order_id &id, const host_order_result &result, instant now);
    // Opens the workers that still work long after an order for their hosts, which had no effect then. Needs no list of hosts.
    void openAfterLostOrders(instant now);
    void setCordoned(const std::string &workerId, bool cordoned);
    order_id beginOrder(const std::string &host, const std::string &toPool, maintenance_callback done, instant now);
    // Records the order and then sends it, unless the ownership can no longer be confirmed or the record took so long that the
    // decision is out of date.
    void sendAfterRecording(const order_id &id, std::optional<std::uint64_t> wave, std::function<void()> send, instant now);
    void cancelOrder(const order_id &id, const std::string &reason, instant now);

    fleet_model &m_model;
    host_gateway &m_gateway;
    event_log &m_log;
    std::string m_holder;
    std::uint64_t m_token;
    std::map<std::string, host_entry> m_hosts;
    std::map<std::string, pending_order> m_pendingOrders;
    std::uint64_t m_lastOrder = 0;
    // Hosts whose maintenance is in doubt.
    std::set<std::string> m_maintenanceInDoubt;
    // Pairs of host and pool for which the platform rejects the move.
    std::set<std::pair<std::string, std::string>> m_rejectedMoves;
    // The pools of the configuration.
    std::set<std::string> m_poolNames;
    bool m_listed = false;
    bool m_listInFlight = false;
    instant m_nextListAt;
    // Time until which a host ordered by a former owner receives no orders.
    std::map<std::string, instant> m_leasedUntil;
    order_recorder m_recordOrder;
    std::function<void(instant now)> m_onFenced;
    std::function<bool(instant now)> m_checkOwnership = [](instant) {
        return true;
    };
    lifetime m_lifetime;
};

} // namespace jujubespool

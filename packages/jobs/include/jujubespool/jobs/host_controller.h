// The hosts as the platform lists them, and the orders for them that are on their way.
//
//     host_controller roster(model, gateway, log, order);
//     roster.refresh(now);
//     for (const auto &[name, host] : roster.hosts()) { ... }
//
// A host with an order on its way, or with one that was not answered, is left alone until the list shows how
// the order ended.
#pragma once

#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/jobs/lifetime.h>

namespace jujubespool {

class host_controller
{
public:
    host_controller(fleet_model &model, host_gateway &gateway, event_log &log, const std::string &holder, std::uint64_t fencingToken);

    // Asks for the list when it is due.
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
    // The worker that runs on the host; null while none does.
    worker *workerOn(const host_entry &host) const;
    // In service, without an order on its way and not about to leave.
    bool orderable(const host_entry &host, instant now) const;
    bool busy(const std::string &host) const
    {
        return m_ordered.count(host) > 0;
    }
    // The platform has refused this move for good.
    bool moveRefused(const std::string &host, const std::string &pool) const
    {
        return m_refusedMoves.count({ host, pool }) > 0;
    }
    // Hosts whose move to the pool is on its way.
    int arriving(const std::string &pool) const;
    // Hosts of these whose upkeep is, or may be, under way.
    int inUpkeep(const std::vector<std::string> &hosts) const;

    void move(const std::string &host, const std::string &pool, instant now);
    // Tells how an upkeep order ended; `began` also when the list shows it after an answer was lost.
    using upkeep_callback = std::function<void(host_order_status end, instant now)>;
    void upkeep(const std::string &host, std::uint64_t wave, upkeep_callback done, instant now);
    // Called when another owner has ordered with a higher fencing token.
    void onFenced(std::function<void(instant now)> call)
    {
        m_onFenced = std::move(call);
    }
    // A former owner has ordered the host at that time: it is left alone for the length of the hosts' lease.
    void restoreOrder(const std::string &host, wall_ms orderedAt, wall_ms wall, instant now);
    // Asked before each order: false when another process may own the jobs by now. The platform fences orders for
    // each host by itself, so that a former owner's order would pass where its successor has given none.
    void setOwnershipCheck(std::function<bool(instant now)> owns)
    {
        m_owns = std::move(owns);
    }
    // Records that the host is about to be ordered, and calls back when that is durable.
    using order_recorder = std::function<void(const std::string &host, std::function<void(instant now)> recorded)>;
    void setOrderRecorder(order_recorder record)
    {
        m_record = std::move(record);
    }
    bool mayOrder(instant now) const
    {
        return m_owns(now);
    }

private:
    struct ordered_host
    {
        // Empty for an upkeep.
        std::string toPool;
        instant orderedAt;
        bool answered = false;
        upkeep_callback done;
    };
    void onList(const host_list &list, instant askedAt, instant now);
    void settleOrders(instant askedAt, instant now);
    void onAnswer(const std::string &host, const host_order_result &result, instant now);
    void cordon(const std::string &host, bool cordoned);
    // Records the order and then sends it, unless the ownership has become unsure meanwhile.
    void sendRecorded(const std::string &host, std::function<void()> send);

    fleet_model &m_model;
    host_gateway &m_gateway;
    event_log &m_log;
    std::string m_holder;
    std::uint64_t m_token;
    std::map<std::string, host_entry> m_hosts;
    std::map<std::string, ordered_host> m_ordered;
    // Hosts that the platform refuses to move to a pool.
    std::set<std::pair<std::string, std::string>> m_refusedMoves;
    bool m_listed = false;
    bool m_listing = false;
    instant m_listNotBefore;
    // Until when hosts are left alone that a former owner has ordered.
    std::map<std::string, instant> m_leasedUntil;
    order_recorder m_record;
    std::function<void(instant now)> m_onFenced;
    std::function<bool(instant now)> m_owns = [](instant) {
        return true;
    };
    lifetime m_lifetime;
};

} // namespace jujubespool

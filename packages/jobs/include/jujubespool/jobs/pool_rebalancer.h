// Carries out what the pool sizer decides: looks at the pools' load and orders moves of hosts.
//
//     pool_rebalancer mover(model, roster, upkeep);
//     mover.tick(now);
#pragma once

#include <jujubespool/jobs/host_maintenance_controller.h>
#include <jujubespool/jobs/pool_capacity_planner.h>

namespace jujubespool {

class pool_rebalancer
{
public:
    pool_rebalancer(fleet_model &model, host_controller &roster, const host_maintenance_controller &upkeep, event_log &log);

    // Learns from the restored jobs what was handed in of late, so that a new owner expects the same peaks.
    void restoreLoadHistory(instant now, wall_ms wall);
    void tick(instant now, wall_ms wall);
    const pool_capacity_planner &sizer() const
    {
        return m_sizer;
    }

private:
    std::vector<sizer_pool> view(instant now, wall_ms wall) const;
    void release(const std::vector<std::string> &hosts);
    void logPools(const std::vector<sizer_pool> &pools, instant now);
    void addLoad(std::map<std::string, sizer_pool> &pools, wall_ms wall) const;
    void addHosts(std::map<std::string, sizer_pool> &pools, instant now) const;

    fleet_model &m_model;
    host_controller &m_roster;
    const host_maintenance_controller &m_upkeep;
    event_log &m_log;
    pool_capacity_planner m_sizer;
    instant m_notBefore;
    instant m_loggedAt;
};

// Processors for which ready tasks of a pool wait, as far as their teams' limits allow them.
struct waiting_load
{
    std::int64_t onTimeMillis = 0;
    // Of jobs that cannot be on time any more.
    std::int64_t lateMillis = 0;
    // Processors that the work handed in of late keeps busy, by its own estimate.
    std::int64_t offeredMillis = 0;
};

std::map<std::string, waiting_load> waitingByPool(const fleet_model &model, wall_ms wall);

} // namespace jujubespool

// Carries out the plans of the pool capacity planner: collects the load of the pools and orders moves of hosts.
//
//     pool_rebalancer rebalancer(model, hosts, maintenance, log);
//     rebalancer.tick(now, wall);
#pragma once

#include <jujubespool/jobs/host_maintenance_controller.h>
#include <jujubespool/jobs/pool_capacity_planner.h>

namespace jujubespool {

class pool_rebalancer
{
public:
    pool_rebalancer(fleet_model &model, host_controller &hosts, const host_maintenance_controller &maintenance, event_log &log);

    // Replays the recent load from the restored jobs, so that a new owner expects the same peaks.
    void restoreLoadHistory(instant now, wall_ms wall);
    void tick(instant now, wall_ms wall);
    const pool_capacity_planner &planner() const
    {
        return m_planner;
    }

private:
    std::vector<pool_snapshot> snapshotPools(instant now, wall_ms wall);
    void markLeavingWorkers(const std::vector<std::string> &hosts);
    void logPoolStates(const std::vector<pool_snapshot> &pools, instant now);
    void addLoad(std::map<std::string, pool_snapshot> &pools, wall_ms wall) const;
    void addHosts(std::map<std::string, pool_snapshot> &pools, instant now) const;
    void addWaitingSteps(std::map<std::string, pool_snapshot> &pools, instant now);
    void addArrivingHosts(pool_snapshot &pool) const;

    fleet_model &m_model;
    host_controller &m_hosts;
    const host_maintenance_controller &m_maintenance;
    event_log &m_log;
    pool_capacity_planner m_planner;
    waiting_step_finder m_waitingSteps;
    // First tasks of the steps that wait for hosts and have been logged.
    std::set<task_key> m_loggedSteps;
    instant m_notBefore;
    instant m_loggedAt;
};

// Demand of a pool in thousandths of a CPU core, as far as the limits of the teams allow it.
struct pool_demand
{
    std::int64_t onTimeCpuMillis = 0;
    // Ready tasks, and running tasks, of jobs that can no longer be on time.
    std::int64_t lateCpuMillis = 0;
    std::int64_t lateUsedCpuMillis = 0;
    // CPU that recently submitted work keeps busy, by its own estimate.
    std::int64_t offeredCpuMillis = 0;
};

std::map<std::string, pool_demand> demandByPool(const fleet_model &model, wall_ms wall);

} // namespace jujubespool

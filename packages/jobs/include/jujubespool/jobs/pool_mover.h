// Carries out what the pool sizer decides: looks at the pools' load and orders moves of hosts.
//
//     pool_mover mover(model, roster, upkeep);
//     mover.tick(now);
#pragma once

#include <jujubespool/jobs/pool_sizer.h>
#include <jujubespool/jobs/upkeep_driver.h>

namespace jujubespool {

class pool_mover
{
public:
    pool_mover(fleet_model &model, host_roster &roster, decision_log &log);

    void tick(instant now);
    const pool_sizer &sizer() const
    {
        return m_sizer;
    }

private:
    std::vector<sizer_pool> view() const;
    void logPools(const std::vector<sizer_pool> &pools, instant now);
    void addLoad(std::map<std::string, sizer_pool> &pools) const;
    void addHosts(std::map<std::string, sizer_pool> &pools) const;

    fleet_model &m_model;
    host_roster &m_roster;
    decision_log &m_log;
    pool_sizer m_sizer;
    instant m_notBefore;
    instant m_loggedAt;
};

// Processors for which ready tasks of each pool wait, as far as their teams' limits allow them.
std::map<std::string, std::int64_t> waitingMillisByPool(const fleet_model &model);

} // namespace jujubespool

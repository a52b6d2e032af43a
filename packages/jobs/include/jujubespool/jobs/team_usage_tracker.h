// Tracks the resources of the running tasks of each team over the whole fleet and checks them against the team's limit.
//
//     team_usage_tracker usage;
//     if (usage.allows(team, need)) { usage.add(team.name, need); }
#pragma once

#include <jujubespool/jobs/fleet_config.h>

namespace jujubespool {

class team_usage_tracker
{
public:
    // True when the additional resources would not exceed the team's limit. A limit of 0 means no limit.
    bool allows(const team_config &team, const resources &additional) const;
    void add(const std::string &team, const resources &need);
    void remove(const std::string &team, const resources &need);
    resources of(const std::string &team) const;

private:
    std::map<std::string, resources> m_running;
};

} // namespace jujubespool

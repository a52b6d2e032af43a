// What each team has running over the whole fleet, against its limit.
//
//     team_usage_tracker usage;
//     if (usage.allows(team, need)) { usage.add(team.name, need); }
#pragma once

#include <jujubespool/jobs/fleet_config.h>

namespace jujubespool {

class team_usage_tracker
{
public:
    // True when the team stays within its limit with this much more.
    bool allows(const team_config &team, const resources &more) const;
    void add(const std::string &team, const resources &need);
    void remove(const std::string &team, const resources &need);
    resources of(const std::string &team) const;

private:
    std::map<std::string, resources> m_running;
};

} // namespace jujubespool

// Divides the capacity of a full pool among the teams by their weights.
//
//     const std::map<std::string, double> shares = fairShares(capacityMillis, { { "team-a", 1.0, demandMillis }, ... });
//
// Limits the effect of a team that submits many times its usual work: its demand beyond its share waits until the other teams
// are served, while it gets the capacity that the others leave unused at once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

// The demand of one of several competitors for the same capacity.
struct weighted_demand
{
    // Greater than 0.
    double weight = 1;
    // CPU that is used or waited for, in thousandths of a core.
    std::int64_t demandMillis = 0;
};

// Returns the weighted max-min fair shares in the order of the demands, in thousandths of a core. No share exceeds its demand.
std::vector<double> fairShares(std::int64_t capacityMillis, const std::vector<weighted_demand> &demands);

struct team_demand
{
    std::string team;
    // Greater than 0.
    double weight = 1;
    // CPU that the team uses or waits for, in thousandths of a core.
    std::int64_t demandMillis = 0;
};

// Returns the weighted max-min fair share of each team, in thousandths of a core. No share exceeds the team's demand.
std::map<std::string, double> fairShares(std::int64_t capacityMillis, const std::vector<team_demand> &demands);

} // namespace jujubespool

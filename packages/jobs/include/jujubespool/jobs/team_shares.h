// Divides a pool that is full among the teams by their weights.
//
//     const std::map<std::string, double> shares = fairShares(capacityMillis, { { "team-a", 1.0, demandMillis }, ... });
//
// Answers a team that sends many times its usual: what it asks beyond its share waits until the other teams are
// served, and what others leave is lent to it at once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

struct team_demand
{
    std::string team;
    // Greater than 0.
    double weight = 1;
    // Processors that the team uses or waits for, in thousandths.
    std::int64_t demandMillis = 0;
};

// Processors, in thousandths, that each team may have: weighted max-min, no more than it asks for.
std::map<std::string, double> fairShares(std::int64_t capacityMillis, const std::vector<team_demand> &demands);

} // namespace jujubespool

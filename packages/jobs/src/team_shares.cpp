#include <jujubespool/jobs/team_shares.h>

#include <algorithm>

namespace jujubespool {

std::map<std::string, double> fairShares(std::int64_t capacityMillis, const std::vector<team_demand> &demands)
{
    // Teams that ask for the least by weight are satisfied first; what they leave goes to the others.
    std::vector<team_demand> order = demands;
    std::sort(order.begin(), order.end(), [](const team_demand &left, const team_demand &right) {
        return static_cast<double>(left.demandMillis) * right.weight < static_cast<double>(right.demandMillis) * left.weight;
    });
    double weightLeft = 0;
    for (const team_demand &item : order) {
        weightLeft += item.weight;
    }
    double capacityLeft = static_cast<double>(capacityMillis);
    std::map<std::string, double> shares;
    for (const team_demand &item : order) {
        const double part = std::min(static_cast<double>(item.demandMillis), capacityLeft * item.weight / weightLeft);
        shares[item.team] = part;
        capacityLeft -= part;
        weightLeft -= item.weight;
    }
    return shares;
}

} // namespace jujubespool

#include <jujubespool/jobs/team_shares.h>

#include <algorithm>

namespace jujubespool {

std::map<std::string, double> fairShares(std::int64_t capacityMillis, const std::vector<team_demand> &demands)
{
    // Teams are processed in the order of their demand per weight. What the first ones leave unused is divided among the others.
    std::vector<team_demand> order = demands;
    std::sort(order.begin(), order.end(), [](const team_demand &left, const team_demand &right) {
        return static_cast<double>(left.demandMillis) * right.weight < static_cast<double>(right.demandMillis) * left.weight;
    });
    double weightLeft = 0;
    for (const team_demand &demand : order) {
        weightLeft += demand.weight;
    }
    double capacityLeft = static_cast<double>(capacityMillis);
    std::map<std::string, double> shares;
    for (const team_demand &demand : order) {
        const double share = std::min(static_cast<double>(demand.demandMillis), capacityLeft * demand.weight / weightLeft);
        shares[demand.team] = share;
        capacityLeft -= share;
        weightLeft -= demand.weight;
    }
    return shares;
}

} // namespace jujubespool

#include <jujubespool/jobs/team_shares.h>

#include <algorithm>
#include <numeric>

namespace jujubespool {

std::vector<double> fairShares(std::int64_t capacityMillis, const std::vector<weighted_demand> &demands)
{
    // Processed in the order of the demand per weight. What the first ones leave unused is divided among the others.
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&demands](std::size_t left, std::size_t right) {
        return static_cast<double>(demands[left].demandMillis) * demands[right].weight
            < static_cast<double>(demands[right].demandMillis) * demands[left].weight;
    });
    double weightLeft = 0;
    for (const weighted_demand &demand : demands) {
        weightLeft += demand.weight;
    }
    double capacityLeft = static_cast<double>(capacityMillis);
    std::vector<double> shares(demands.size());
    for (const std::size_t next : order) {
        const weighted_demand &demand = demands[next];
        shares[next] = std::min(static_cast<double>(demand.demandMillis), capacityLeft * demand.weight / weightLeft);
        capacityLeft -= shares[next];
        weightLeft -= demand.weight;
    }
    return shares;
}

std::map<std::string, double> fairShares(std::int64_t capacityMillis, const std::vector<team_demand> &demands)
{
    std::vector<weighted_demand> weighted;
    weighted.reserve(demands.size());
    for (const team_demand &demand : demands) {
        weighted.push_back({ demand.weight, demand.demandMillis });
    }
    const std::vector<double> values = fairShares(capacityMillis, weighted);
    std::map<std::string, double> shares;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        shares[demands[i].team] = values[i];
    }
    return shares;
}

} // namespace jujubespool

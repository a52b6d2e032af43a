#include <criterion/criterion.h>
#include <jujubespool/jobs/team_shares.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

struct share_row
{
    const char *name;
    std::int64_t capacity;
    // Weights, demands and expected shares of the teams a, b and c.
    double weight[3];
    std::int64_t demand[3];
    double share[3];
};

const share_row SHARES[] = {
    { "capacity for all", 100, { 1, 1, 1 }, { 10, 20, 30 }, { 10, 20, 30 } },
    { "equal weights", 90, { 1, 1, 1 }, { 100, 100, 100 }, { 30, 30, 30 } },
    { "by weight", 90, { 1, 2, 6 }, { 100, 100, 100 }, { 10, 20, 60 } },
    { "unused share goes to the others", 90, { 1, 1, 1 }, { 10, 100, 100 }, { 10, 40, 40 } },
    { "a team with ten times its usual demand", 60, { 1, 1, 1 }, { 20, 15, 400 }, { 20, 15, 25 } },
    { "no capacity", 0, { 1, 1, 1 }, { 10, 10, 10 }, { 0, 0, 0 } },
    { "no demand", 10, { 1, 1, 1 }, { 0, 0, 0 }, { 0, 0, 0 } },
};

} // namespace

Test(team_shares, dividesAFullPoolByWeightAndRedistributesUnusedShares)
{
    for (const share_row &row : SHARES) {
        const char *teams[] = { "a", "b", "c" };
        std::vector<team_demand> demands;
        for (int i = 0; i < 3; ++i) {
            demands.push_back({ teams[i], row.weight[i], row.demand[i] });
        }
        std::map<std::string, double> shares = fairShares(row.capacity, demands);
        for (int i = 0; i < 3; ++i) {
            cr_assert_float_eq(shares[teams[i]], row.share[i], 1e-6, "%s: team %s has %f", row.name, teams[i], shares[teams[i]]);
        }
    }
}

#include <jujubespool/manager/relay_helper.h>

#include <tuple>
#include <xxhash.h>

namespace jujubespool {

// Rendezvous hashing: when a helper is added or lost, only the workers of that helper change theirs.
std::uint64_t chooseHelper(const worker_address &target, const std::vector<relay_helper> &helpers)
{
    std::uint64_t chosen = 0;
    std::pair<bool, std::uint64_t> highest;
    for (const relay_helper &helper : helpers) {
        const std::uint64_t hash = XXH3_64bits_withSeed(target.incarnation.id.data(), target.incarnation.id.size(), helper.incarnation);
        const std::pair<bool, std::uint64_t> weight(helper.dataCenter == target.dataCenter, hash);
        if (chosen == 0 || weight > highest) {
            chosen = helper.incarnation;
            highest = weight;
        }
    }
    return chosen;
}

} // namespace jujubespool

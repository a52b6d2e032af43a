#include <jujubespool/jobs/fleet_config.h>

#include <algorithm>

namespace jujubespool {

const queue_config *fleet_config::queueFor(const std::string &host, const std::string &path) const
{
    const queue_config *best = nullptr;
    for (const queue_config &queue : queues) {
        const bool matches = queue.host == host && path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) == 0;
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const queue_config *fleet_config::queueNamed(const std::string &name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [&name](const queue_config &queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const team_config *fleet_config::teamOfKey(const std::string &key) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &teams.at(found->second);
}

} // namespace jujubespool

// What the operators have configured, as far as jobs need it.
//
//     const queue_config *queue = config.queueFor(host, path);
//     const team_config *team = config.teamOfKey(key);
//
// A configuration never changes; a newer version is another object.
#pragma once

#include <jujubespool/jobs/job.h>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

// How long a queue's policy service takes and how long its answers hold.
struct policy_config
{
    milliseconds decision{ 0 };
    milliseconds perWorker{ 0 };
    milliseconds validity{ 0 };
};

struct queue_config
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    // 0 comes first.
    int priority = 0;
    // Failed runs after which a task, and so its job, has failed.
    int maxAttempts = 1;
    // A job is on time within this many times its longest chain of work, and the target latency more.
    double deadlineFactor = 1;
    milliseconds targetLatency{ 0 };
    bool allowsAnonymous = false;
    std::optional<policy_config> policy;
};

struct pool_config
{
    std::string name;
    // The workers refuse what does not fit.
    bool enforcesCapacity = true;
    // Hosts of the pool are switched off.
    bool standby = false;
    std::string healthPath;
};

struct team_config
{
    std::string name;
    double weight = 1;
    // Most that runs at once over the fleet; 0 in a resource for no limit.
    resources limit;
};

struct fleet_config
{
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::map<std::string, pool_config> pools;
    std::map<std::string, team_config> teams;
    // Teams by their keys.
    std::map<std::string, std::string> keys;
    std::size_t maxBodyBytes = 262144;

    // The queue with the host name and the longest prefix of the path.
    const queue_config *queueFor(const std::string &host, const std::string &path) const;
    const queue_config *queueNamed(const std::string &name) const;
    const team_config *teamOfKey(const std::string &key) const;
};

} // namespace jujubespool

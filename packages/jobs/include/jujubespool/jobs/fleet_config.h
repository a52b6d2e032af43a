// The part of the operators' configuration that the jobs package uses.
//
//     const queue_config *queue = config.queueFor(host, path);
//     const team_config *team = config.teamOfKey(key);
//
// A configuration object is immutable; a newer version is a new object.
#pragma once

#include <jujubespool/jobs/job.h>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

// Response times of a queue's policy service, and how long its tickets are valid.
struct policy_config
{
    milliseconds decision{ 0 };
    milliseconds perWorker{ 0 };
    milliseconds validity{ 0 };

    bool operator==(const policy_config &other) const = default;
};

struct queue_config
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    // Priority 0 is scheduled first.
    int priority = 0;
    // Number of failed runs after which a task, and with it its job, fails.
    int maxAttempts = 1;
    // A job is on time if it ends within its critical path length multiplied by this factor, plus the target latency.
    double deadlineFactor = 1;
    milliseconds targetLatency{ 0 };
    bool allowsAnonymous = false;
    std::optional<policy_config> policy;

    bool operator==(const queue_config &other) const = default;
};

struct pool_config
{
    std::string name;
    // The workers reject tasks that do not fit into their capacity.
    bool enforcesCapacity = true;
    // Hosts in this pool are switched off.
    bool standby = false;
    std::string healthPath;
};

struct team_config
{
    std::string name;
    double weight = 1;
    // Maximum resources that the team may use at once over the whole fleet; 0 means no limit for that resource.
    resources limit;
};

struct fleet_config
{
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::map<std::string, pool_config> pools;
    std::map<std::string, team_config> teams;
    // Team names by API key.
    std::map<std::string, std::string> keys;
    std::size_t maxBodyBytes = 262144;

    // Returns the queue that has this host name and the longest matching path prefix; null if there is none.
    const queue_config *queueFor(const std::string &host, const std::string &path) const;
    const queue_config *queueNamed(const std::string &name) const;
    const team_config *teamOfKey(const std::string &key) const;
};

} // namespace jujubespool

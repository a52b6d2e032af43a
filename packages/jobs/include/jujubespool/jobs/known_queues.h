// Knows the queues that jobs refer to, including queues that were removed from the configuration, and decides which of them the
// ledger has to keep.
//
//     known_queues queues;
//     queues.setConfig(config);
//     queues.addJob("q");
//     for (ledger_entry &entry : queues.takeChanges()) { writer.put(std::move(entry)); }
//
// A job of a queue that was removed is completed with the queue's last known configuration, also by a later owner. The ledger
// therefore holds the configuration of each queue that has jobs. It is written with the first of them and when it changes, and
// removed once the queue is neither configured nor has jobs.
#pragma once

#include <jujubespool/jobs/fleet_config.h>
#include <jujubespool/jobs/gateways.h>
#include <map>
#include <vector>

namespace jujubespool {

// The stored form of a queue: a serialized google.protobuf.Struct. Contains what the jobs of the queue need, but not the address for
// callers.
std::string queueImage(const queue_config &queue);
// Empty if the image is not readable or does not name the queue and its pool. Missing fields get their default values.
std::optional<queue_config> queueFromImage(const std::string &image);

class known_queues
{
public:
    void setConfig(const fleet_config &config);
    // Takes over what the ledger holds. The current configuration has precedence.
    void restore(const queue_config &queue);
    // Returns the queue as configured now or, if it was removed, its last known configuration; null if it is not known.
    const queue_config *find(const std::string &name) const;

    // Count the jobs of the queue that have not ended.
    void addJob(const std::string &queue);
    void removeJob(const std::string &queue);

    // Returns the ledger entries that changed since the last call, and forgets removed queues without jobs.
    std::vector<ledger_entry> takeChanges();

private:
    struct known_queue
    {
        queue_config config;
        bool configured = false;
    };
    std::vector<ledger_entry> changedEntries();

    std::map<std::string, known_queue> m_queues;
    std::map<std::string, std::size_t> m_jobs;
    // What the ledger holds.
    std::map<std::string, queue_config> m_recorded;
    // A configuration has been read. Before, no queue counts as removed.
    bool m_configured = false;
    bool m_changed = false;
};

} // namespace jujubespool

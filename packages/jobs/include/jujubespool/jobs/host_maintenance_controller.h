// Takes the hosts of maintenance waves out of service without interrupting tasks that end by themselves.
//
//     host_maintenance_controller maintenance(model, runs, hosts, status, log);
//     maintenance.setWave(wave, wall);
//     maintenance.tick(now, wall);
//
// Idle hosts go first. Long-running tasks are evicted early from the other hosts, one after the other and within the
// number that their jobs allow to be unavailable. A host is then cordoned, its remaining runs end, and only then is
// its maintenance ordered. No more hosts are drained at once than the deadline requires, and at most the wave's
// maximum is in maintenance at once.
//
// A host is cordoned only if it can be emptied: what ends by itself ends soon by its estimate, and what lasts can run elsewhere or may be
// away for the length of the maintenance. Cordons end (host_cordons.h). As long as a pool has further workers with the same labels, waves
// leave one of them open.
#pragma once

#include <jujubespool/jobs/host_controller.h>
#include <jujubespool/jobs/host_cordons.h>
#include <jujubespool/jobs/run_supervisor.h>

namespace jujubespool {

// A request of the operators to maintain a set of hosts.
struct host_maintenance_wave
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    seconds deadline{ 0 };
    int maximum = 1;
};

// Publishes the status of waves where operators read it.
class wave_status_publisher
{
public:
    virtual ~wave_status_publisher() = default;
    virtual void publishWaveStatus(std::uint64_t wave, bool completed, std::function<void(bool written, instant now)> done) = 0;
};

// Times of day may differ by any amount, so they are believed for no longer than this: the time for which nobody may have owned the jobs
// since a wave was first read.
constexpr milliseconds MAX_UNOWNED_TIME{ 10000 };

// Returns how many hosts have to be out of service at once for the rest of the wave to end in time.
int hostsNeededAtOnce(int hostsRemaining, milliseconds timeLeft, milliseconds perHost, int maximum);
// Time since a wave was first read: at least what owners have counted on their steady clocks, and at most MAX_UNOWNED_TIME more, as the
// times of day of two hosts say.
milliseconds waveAge(milliseconds counted, wall_ms firstSeenAt, wall_ms wall);

class host_maintenance_controller
{
public:
    host_maintenance_controller(fleet_model &model, run_supervisor &runs, host_controller &hosts, wave_status_publisher &status,
                                event_log &log);

    void setWave(const host_maintenance_wave &wave, wall_ms wall);
    // Takes over the record of a former owner. `knownFor` is the time since the wave was first read, on the clock of the ledger.
    void restore(std::uint64_t wave, const wire::upkeep_image &image, milliseconds knownFor, instant now);
    // Takes over the record of a former owner's maintenance order. Its effect is in doubt unless the wave's record contains the host.
    void restoreOrder(const std::string &host, std::uint64_t wave);
    // Call it when all records have been restored. A former owner may have stopped long-running tasks that still count as running here. No
    // task is evicted until a poll has reported their ends.
    void onTakeOver(instant now);
    // Returns the waves whose record has changed since the last call.
    std::map<std::uint64_t, wire::upkeep_image> takeChanged(const ledger_clock &clock, instant now);
    // Returns true when workers have been opened to tasks again.
    bool tick(instant now, wall_ms wall);
    // The host belongs to a wave and its maintenance has not started.
    bool isDueForMaintenance(const std::string &host) const;
    // Number of additional hosts that the pool needs, to take over long-running tasks from hosts that are due for
    // maintenance.
    int additionalHostsNeeded(const std::string &pool) const;

private:
    struct wave_progress
    {
        host_maintenance_wave wave;
        bool received = false;
        wall_ms firstSeenAt = 0;
        // The same on this process's steady clock; empty until the wave is first examined.
        std::optional<instant> knownSince;
        std::set<std::string> started;
        // By host: since when it has not been listed.
        std::map<std::string, instant> unlistedSince{};
        bool completed = false;
        bool publishedRunning = false;
        bool publishedCompleted = false;
        bool publishInFlight = false;
    };
    // A host that runs something.
    struct loaded_host
    {
        const host_entry *host = nullptr;
        worker *target = nullptr;
        // Long-running tasks that fit on no other worker.
        std::vector<task_key> stranded{};
    };
    // The hosts of a wave whose maintenance has not started.
    struct wave_hosts
    {
        int count = 0;
        // Those that accept orders.
        std::vector<const host_entry *> idle;
        std::vector<loaded_host> loaded;
    };
    // A task that keeps a host from being emptied at present.
    struct drain_obstacle
    {
        task_key task;
        std::string_view reason;
    };
    // Marks the workers whose hosts a wave has still to maintain, and no others.
    void markDueWorkers();
    wave_hosts hostsLeft(wave_progress &progress, instant now);
    // The host is not listed and may be listed again.
    static bool isAway(wave_progress &progress, const std::string &host, instant now);
    // Time until the part of the deadline that is reserved for failures; 0 once it has begun.
    static milliseconds timeLeft(const wave_progress &progress, instant now, wall_ms wall);
    // The other argument says since when hosts have had long-running tasks that fit on no other worker, by host.
    void advanceWave(wave_progress &progress, const std::map<std::string, instant> &blockedBefore, instant now, wall_ms wall);
    void drainHosts(const wave_progress &progress, wave_hosts &left, int inMaintenance, instant now, milliseconds timeLeft);
    void startMaintenance(wave_progress &progress, const host_entry &host, instant now);
    // All runs of the worker have been told to stop.
    static bool isBeingEmptied(const worker &target);
    // Another worker that has the labels and GPUs of this one accepts tasks, or there is none that will be back after its maintenance.
    bool leavesOneOpen(const host_entry &host, const worker &target, instant now) const;
    std::optional<drain_obstacle> obstacleOf(const loaded_host &loaded, instant now, milliseconds timeLeft);
    // Says at most once in a few seconds what keeps the host from being emptied.
    void reportObstacle(std::uint64_t wave, const loaded_host &loaded, const drain_obstacle &found, instant now);
    // Evicts the long-running tasks that may be evicted now. Returns those that fit on no other worker.
    std::vector<task_key> evictLongRunningTasks(worker &target, instant now);
    // Stops the tasks that fit on no other worker, once nothing else runs on the host. They start again after its maintenance.
    bool stopStranded(const loaded_host &loaded, instant now, milliseconds timeLeft);
    // Why the task may not be away for the length of the maintenance.
    std::optional<drain_obstacle> stopObstacleOf(const loaded_host &loaded, const task_key &key, instant now, milliseconds timeLeft);
    // Another worker could take the task if the runs there that end had ended.
    bool couldMoveLater(const worker &from, const task_key &key, instant now) const;
    bool hasAlternativeWorker(const worker &from, const task_key &key, instant now) const;
    // Number of tasks of the step, among those that count, that are not at work.
    int countUnavailable(const task_key &key, const std::function<bool(const task_key &other)> &counts);
    bool canEvict(const task_key &key);
    void publishStatus(wave_progress &progress);

    fleet_model &m_model;
    run_supervisor &m_runs;
    host_controller &m_hosts;
    wave_status_publisher &m_status;
    event_log &m_log;
    std::map<std::uint64_t, wave_progress> m_waves;
    std::set<std::uint64_t> m_changed;
    // Hosts and waves of the former owners' maintenance orders, until all records have been restored.
    std::vector<std::pair<std::string, std::uint64_t>> m_restoredOrders;
    instant m_evictNotBefore;
    instant m_nextStepAt;
    // By pool: number of hosts with long-running tasks that fitted on no other worker at the last tick.
    std::map<std::string, int> m_blockedHosts;
    // Workers that are marked as due for maintenance.
    std::vector<std::string> m_dueWorkers;
    // By host: since when it has long-running tasks that fit on no other worker.
    std::map<std::string, instant> m_blockedSince;
    // By host: time before which no line says again what keeps it from being emptied.
    std::map<std::string, instant> m_nextReportAt;
    host_cordons m_cordons;
    lifetime m_lifetime;
};

} // namespace jujubespool

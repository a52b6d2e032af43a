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
#pragma once

#include <jujubespool/jobs/host_controller.h>
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

// Returns how many hosts have to be out of service at once for the rest of the wave to end in time.
int hostsNeededAtOnce(int hostsRemaining, milliseconds timeLeft, milliseconds perHost, int maximum);

class host_maintenance_controller
{
public:
    host_maintenance_controller(fleet_model &model, run_supervisor &runs, host_controller &hosts, wave_status_publisher &status,
                                event_log &log);

    void setWave(const host_maintenance_wave &wave, wall_ms wall);
    void restore(std::uint64_t wave, const wire::upkeep_image &image);
    // A former owner may have stopped long-running tasks that still count as running here. No task is evicted until a
    // poll has reported their ends.
    void onTakeOver(instant now);
    // Returns the waves whose record has changed since the last call.
    std::map<std::uint64_t, wire::upkeep_image> takeChanged();
    void tick(instant now, wall_ms wall);
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
        std::set<std::string> started;
        bool completed = false;
        bool publishedRunning = false;
        bool publishedCompleted = false;
        bool publishInFlight = false;
    };
    void advanceWave(wave_progress &progress, instant now, wall_ms wall);
    void startMaintenance(wave_progress &progress, const host_entry &host, instant now);
    // Evicts the long-running tasks that may be evicted now. Returns false when one of them fits on no other worker.
    bool evictLongRunningTasks(worker &target, instant now);
    // Says at most once in a few seconds which task keeps the host from being emptied.
    void reportBlocked(const worker &target, const task_key &key, instant now);
    bool hasAlternativeWorker(const worker &from, const task_key &key, instant now) const;
    bool canEvict(const task_key &key);
    void publishStatus(wave_progress &progress);

    fleet_model &m_model;
    run_supervisor &m_runs;
    host_controller &m_hosts;
    wave_status_publisher &m_status;
    event_log &m_log;
    std::map<std::uint64_t, wave_progress> m_waves;
    std::set<std::uint64_t> m_changed;
    instant m_evictNotBefore;
    instant m_nextStepAt;
    // By pool: number of hosts with long-running tasks that fitted on no other worker at the last tick.
    std::map<std::string, int> m_blockedHosts;
    // By worker: time before which no line says again that its host cannot be emptied.
    std::map<std::string, instant> m_nextBlockedReportAt;
    lifetime m_lifetime;
};

} // namespace jujubespool

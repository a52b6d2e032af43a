// Takes the hosts of upkeep waves out of service one by one, without cutting work.
//
//     host_maintenance_controller upkeep(model, runs, roster, status, log);
//     upkeep.setWave(wave, now, wall);
//     upkeep.tick(now, wall);
//
// Hosts that run nothing go first. Tasks that last leave the others early, one after the other within what their jobs
// may miss. Then a host gets no new work, what runs there ends, and only then is its upkeep ordered; no more hosts
// are emptied at once than the deadline needs.
// At most the wave's maximum are down at once.
#pragma once

#include <jujubespool/jobs/host_controller.h>
#include <jujubespool/jobs/run_supervisor.h>

namespace jujubespool {

// A request to have hosts maintained.
struct host_maintenance_wave
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    seconds deadline{ 0 };
    int maximum = 1;
};

// Where operators read the state of waves.
class wave_status_publisher
{
public:
    virtual ~wave_status_publisher() = default;
    virtual void publishWaveStatus(std::uint64_t wave, bool completed, std::function<void(bool written, instant now)> done) = 0;
};

// How many hosts have to be out of service at once for the rest of the wave to end in time.
int hostsNeededAtOnce(int hostsLeft, milliseconds timeLeft, milliseconds perHost, int maximum);

class host_maintenance_controller
{
public:
    host_maintenance_controller(fleet_model &model, run_supervisor &runs, host_controller &roster, wave_status_publisher &status,
                                event_log &log);

    void setWave(const host_maintenance_wave &wave, wall_ms wall);
    void restore(std::uint64_t wave, const wire::upkeep_image &image);
    // A former owner may have stopped tasks that still look at work. None is evicted before these ends have shown.
    void onTakeOver(instant now);
    // Waves whose record has changed since the last call.
    std::map<std::uint64_t, wire::upkeep_image> takeChanged();
    void tick(instant now, wall_ms wall);
    // The host is in a wave and its upkeep has not begun.
    bool isDue(const std::string &host) const;
    // Hosts that the pool lacks to take in lasting tasks of hosts that are due.
    int hostsLacking(const std::string &pool) const;

private:
    struct wave_progress
    {
        host_maintenance_wave wave;
        bool known = false;
        wall_ms knownAt = 0;
        std::set<std::string> begun;
        bool completed = false;
        bool shownRunning = false;
        bool shownCompleted = false;
        bool showing = false;
    };
    void drive(wave_progress &progress, instant now, wall_ms wall);
    void begin(wave_progress &progress, const host_entry &host, instant now);
    // Evicts what may go now. Returns false when a lasting task has no other place.
    bool moveLastingAway(worker &target, instant now);
    bool hasOtherPlace(const worker &from, const task_key &key, instant now) const;
    bool mayEvict(const task_key &key);
    void show(wave_progress &progress);

    fleet_model &m_model;
    run_supervisor &m_runs;
    host_controller &m_roster;
    wave_status_publisher &m_status;
    event_log &m_log;
    std::map<std::uint64_t, wave_progress> m_waves;
    std::set<std::uint64_t> m_changed;
    instant m_evictNotBefore;
    // Hosts by pool whose lasting tasks had no other place at the last tick.
    std::map<std::string, int> m_stuckHosts;
    lifetime m_lifetime;
};

} // namespace jujubespool

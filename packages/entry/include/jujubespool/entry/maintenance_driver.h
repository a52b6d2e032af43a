// Drives waves, notes failed and leaving hosts, frees what dead sessions held, and keeps snapshots.
//
//     maintenance_driver driver(clock, session, peers, work, platform, platform, settings);
//     driver.start();
//
// The live session with the lowest id acts; when it dies, the next one goes on from the log. Two that act
// at once do no harm, because every step is a record that only one of them gets accepted and every
// order to the platform carries a token that takes effect once.
#pragma once

#include <jujubespool/core/wave_planner.h>
#include <jujubespool/entry/peer_group.h>
#include <map>
#include <set>

namespace jujubespool {

class maintenance_driver
{
public:
    maintenance_driver(time_source &clock, log_session &session, peer_group &peers, dispatcher &work, host_directory &directory,
                       worker_controller &machines, const entry_settings &settings);

    void start();

    // Whether this host acts for the fleet now.
    bool drives(instant now) const;

private:
    struct machine_watch
    {
        bool ordered = false;
        bool busy = false;
        instant since;
    };

    void tick();
    void refreshList();
    void onList(const std::vector<listed_host> &hosts);
    void noteWorker(const listed_host &listed, std::set<std::string> &leaving);
    void endGoneSessions(const std::set<std::string> &gone);
    void reclaimEnded(instant now);
    void driveWaves(instant now);
    void driveHost(const std::string &name, const host_status &status, instant now);
    void rebootHost(const std::string &name, const host_status &status, machine_watch &watch);
    void inspectHost(const std::string &name, const std::string &wave, machine_watch &watch);
    void proposeStep(const std::string &host, const std::string &wave, wire::maintenance_step step);
    void proposeOnce(const std::string &subject, wire::record record);
    void keepSnapshots(instant now);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    dispatcher &m_work;
    host_directory &m_directory;
    worker_controller &m_machines;
    const entry_settings &m_settings;
    std::map<session_id, instant> m_endedSince;
    std::map<std::string, machine_watch> m_watches;
    // Subjects of proposals that were not read back yet.
    std::set<std::string> m_proposed;
    bool m_listing = false;
    bool m_snapshotPending = false;
    instant m_snapshotAt;
    log_offset m_knownSnapshot = 0;
};

} // namespace jujubespool

// Advances waves, records failed and leaving hosts, reclaims the permits and claim ranges of ended sessions, and publishes snapshots.
//
//     fleet_maintenance_controller maintenance(clock, session, peers, dispatcher, platform, platform, settings);
//     maintenance.start();
//
// The live session with the lowest id is the leader and acts for the fleet. When its heartbeats stop, the next one continues from
// the state on the log. Two leaders at the same time are safe: each step is a record that is accepted only once, and each command
// to the platform carries a token that makes it idempotent.
#pragma once

#include <jujubespool/core/wave_planner.h>
#include <jujubespool/entry/peer_group.h>
#include <map>
#include <set>

namespace jujubespool {

class fleet_maintenance_controller
{
public:
    fleet_maintenance_controller(time_source &clock, log_session &session, peer_group &peers, dispatcher &requests,
                                 host_directory &directory, worker_controller &workerController, const entry_settings &settings);

    void start();

    // Whether this host is the leader now. False while the log is unavailable or this host misses records of it.
    bool isLeader(instant now) const;

private:
    struct host_progress
    {
        bool rebootAccepted = false;
        // A reboot or inspect call to the platform has not returned yet.
        bool callPending = false;
        instant rebootingSince;
    };

    void tick();
    void refreshHostList();
    void onHostList(const std::vector<listed_host> &hosts);
    void updateHost(const listed_host &listed, std::set<std::string> &leaving);
    void endSessionsOfGoneHosts(const std::set<std::string> &gone);
    void reclaimEndedSessions(instant now);
    void advanceWaves(instant now);
    void advanceHost(const std::string &name, const host_status &status, instant now);
    void rebootHost(const std::string &name, const host_status &status, host_progress &progress);
    void inspectHost(const std::string &name, const std::string &wave, host_progress &progress);
    void proposeStep(const std::string &host, const std::string &wave, wire::maintenance_step step);
    void proposeOnce(const std::string &subject, wire::record record);
    void publishSnapshots(instant now);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    dispatcher &m_dispatcher;
    host_directory &m_directory;
    worker_controller &m_workerController;
    const entry_settings &m_settings;
    // Time at which this process first saw that the session has ended.
    std::map<session_id, instant> m_endedSince;
    std::map<std::string, host_progress> m_hostProgress;
    // Subjects of proposed records that were not read back yet.
    std::set<std::string> m_pendingProposals;
    bool m_listRequestPending = false;
    bool m_snapshotPending = false;
    instant m_lastSnapshotAt;
    log_offset m_lastSnapshotOffset = 0;
};

} // namespace jujubespool

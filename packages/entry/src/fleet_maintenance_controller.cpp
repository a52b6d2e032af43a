#include <jujubespool/entry/fleet_maintenance_controller.h>

#include <jujubespool/core/idempotency_key.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds TICK_INTERVAL{ 100 };
constexpr milliseconds HOST_LIST_INTERVAL{ 500 };
constexpr log_offset RECORDS_PER_SNAPSHOT = 2000;
// Number of snapshots published within the retention time of the log.
constexpr int SNAPSHOTS_PER_RETENTION = 4;

} // namespace

fleet_maintenance_controller::fleet_maintenance_controller(time_source &clock, log_session &session, peer_group &peers,
                                                           dispatcher &requests, host_directory &directory,
                                                           worker_controller &workerController, const entry_settings &settings)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
    , m_dispatcher(requests)
    , m_directory(directory)
    , m_workerController(workerController)
    , m_settings(settings)
{
}

void fleet_maintenance_controller::start()
{
    m_lastSnapshotAt = m_clock.now();
    m_clock.repeat(TICK_INTERVAL, [this] { tick(); });
    m_clock.repeat(HOST_LIST_INTERVAL, [this] { refreshHostList(); });
}

bool fleet_maintenance_controller::isLeader(instant now) const
{
    if (!m_session.isOpen() || !m_session.isCaughtUp() || !m_session.replayer().isCurrent() || !m_session.isLogAvailable(now)) {
        return false;
    }
    for (const session_id id : m_session.state().liveSessions()) {
        if (id == m_session.id()) {
            return true;
        }
        // A host that waits for a snapshot cannot lead, because the leader publishes the snapshots.
        if (!m_peers.isSuspected(id, now) && !m_peers.missesRecords(id)) {
            return false;
        }
    }
    return false;
}

void fleet_maintenance_controller::tick()
{
    const instant now = m_clock.now();
    for (const auto &[id, session] : m_session.state().sessions()) {
        if (session.ended) {
            m_endedSince.try_emplace(id, now);
        }
    }
    std::erase_if(m_endedSince, [this](const auto &ended) { return m_session.state().sessions().count(ended.first) == 0; });
    if (!isLeader(now)) {
        m_hostProgress.clear();
        return;
    }
    reclaimEndedSessions(now);
    advanceWaves(now);
    publishSnapshots(now);
}

void fleet_maintenance_controller::proposeOnce(const std::string &subject, wire::record record)
{
    if (!m_pendingProposals.insert(subject).second) {
        return;
    }
    m_session.propose(std::move(record), [this, subject](const apply_result &result) {
        m_pendingProposals.erase(subject);
        if (result.verdict == apply_verdict::rejected) {
            logEvent(log_level::info, "step-rejected", { { "subject", subject }, { "reason", result.reason } });
        }
    });
}

// The permits of an ended session may be used again once no request that it started, or that a borrower started on its loans, can
// still be running. Its claim ranges are reclaimed at once.
void fleet_maintenance_controller::reclaimEndedSessions(instant now)
{
    const duration fence = m_session.state().config().longestRun() + LOAN_DURATION + LOAN_MARGIN;
    for (const auto &[id, since] : m_endedSince) {
        const bool rangesOnly = now - since < fence;
        if (rangesOnly && !m_session.state().holdsClaimRanges(id)) {
            continue;
        }
        wire::record record;
        record.mutable_reclaim()->set_session(id);
        record.mutable_reclaim()->set_ranges_only(rangesOnly);
        record.mutable_reclaim()->set_fenced_ms(m_clock.wallNow() + 2 * static_cast<wall_ms>(MAX_CLOCK_SKEW.count()));
        proposeOnce("reclaim/" + std::to_string(id), std::move(record));
    }
}

void fleet_maintenance_controller::refreshHostList()
{
    if (m_listRequestPending) {
        return;
    }
    m_listRequestPending = true;
    m_directory.list([this](const list_result &result) {
        m_listRequestPending = false;
        if (result.hosts) {
            onHostList(*result.hosts);
        }
    });
}

void fleet_maintenance_controller::onHostList(const std::vector<listed_host> &hosts)
{
    std::set<std::string> leaving;
    std::set<std::string> gone;
    for (const listed_host &listed : hosts) {
        if (listed.state == listed_host_state::gone) {
            gone.insert(listed.name);
        }
        updateHost(listed, leaving);
    }
    // Every entry host stops using a leaving worker at once. Only the leader records that it leaves.
    m_dispatcher.setLeavingHosts(std::move(leaving));
    if (isLeader(m_clock.now())) {
        endSessionsOfGoneHosts(gone);
    }
}

void fleet_maintenance_controller::updateHost(const listed_host &listed, std::set<std::string> &leaving)
{
    const auto found = m_session.state().hosts().find(listed.name);
    if (found == m_session.state().hosts().end()) {
        return;
    }
    const host_state state = found->second.state;
    const bool leader = isLeader(m_clock.now());
    if (listed.state != listed_host_state::live) {
        leaving.insert(listed.name);
    }
    if (leader && listed.state == listed_host_state::leaving && state == host_state::active
        && !m_session.state().budgetViolation(listed.name)) {
        wire::record record;
        record.mutable_drain()->set_host(listed.name);
        proposeOnce("drain/" + listed.name, std::move(record));
    }
    if (leader && listed.state == listed_host_state::gone && state == host_state::active) {
        proposeStep(listed.name, {}, wire::MAINTENANCE_STEP_FAILED);
    }
    if (leader && listed.state == listed_host_state::live && state == host_state::failed) {
        inspectHost(listed.name, {}, m_hostProgress[listed.name]);
    }
}

void fleet_maintenance_controller::endSessionsOfGoneHosts(const std::set<std::string> &gone)
{
    for (const auto &[id, session] : m_session.state().sessions()) {
        if (!session.ended && id != m_session.id() && gone.count(session.open.host()) > 0) {
            wire::record record;
            record.mutable_end()->set_session(id);
            record.mutable_end()->set_basis(wire::END_BASIS_MACHINE_GONE);
            proposeOnce("end/" + std::to_string(id), std::move(record));
        }
    }
}

void fleet_maintenance_controller::advanceWaves(instant now)
{
    for (const auto &[name, wave] : m_session.state().waves()) {
        for (const std::string &host : hostsToDrain(m_session.state(), wave)) {
            wire::record record;
            record.mutable_drain()->set_host(host);
            record.mutable_drain()->set_wave(name);
            proposeOnce("drain/" + host, std::move(record));
        }
    }
    for (const auto &[name, status] : m_session.state().hosts()) {
        if (!status.wave.empty()) {
            advanceHost(name, status, now);
        } else if (!status.wantedPool.empty() && status.state == host_state::active && !m_session.state().budgetViolation(name)) {
            wire::record record;
            record.mutable_drain()->set_host(name);
            record.mutable_drain()->set_move_to_pool(status.wantedPool);
            proposeOnce("drain/" + name, std::move(record));
        }
    }
}

void fleet_maintenance_controller::advanceHost(const std::string &name, const host_status &status, instant now)
{
    if (status.state == host_state::drained) {
        m_hostProgress.erase(name);
        proposeStep(name, status.wave, wire::MAINTENANCE_STEP_REBOOT);
        return;
    }
    if (status.state != host_state::rebooting) {
        return;
    }
    const auto [position, inserted] = m_hostProgress.try_emplace(name);
    host_progress &progress = position->second;
    if (inserted) {
        progress.rebootingSince = now;
    }
    if (now - progress.rebootingSince > m_settings.rebootTimeout) {
        proposeStep(name, status.wave, wire::MAINTENANCE_STEP_FAILED);
    } else if (!progress.rebootAccepted) {
        rebootHost(name, status, progress);
    } else {
        inspectHost(name, status.wave, progress);
    }
}

void fleet_maintenance_controller::rebootHost(const std::string &name, const host_status &status, host_progress &progress)
{
    if (progress.callPending) {
        return;
    }
    progress.callPending = true;
    const std::string version = m_session.state().waves().at(status.wave).start.version();
    m_workerController.reboot(name, status.wave + "/" + name, version, [this, name](const control_result &result) {
        const auto found = m_hostProgress.find(name);
        if (found != m_hostProgress.end()) {
            found->second.callPending = false;
            found->second.rebootAccepted = result.accepted;
        }
    });
}

void fleet_maintenance_controller::inspectHost(const std::string &name, const std::string &wave, host_progress &progress)
{
    if (progress.callPending) {
        return;
    }
    progress.callPending = true;
    m_workerController.inspect(name, [this, name, wave](const inspect_result &result) {
        const auto found = m_hostProgress.find(name);
        if (found == m_hostProgress.end()) {
            return;
        }
        found->second.callPending = false;
        if (result.state == host_boot_state::up) {
            proposeStep(name, wave, wire::MAINTENANCE_STEP_VERIFIED);
        } else if (result.state == host_boot_state::failed && !wave.empty()) {
            proposeStep(name, wave, wire::MAINTENANCE_STEP_FAILED);
        }
    });
}

void fleet_maintenance_controller::proposeStep(const std::string &host, const std::string &wave, wire::maintenance_step step)
{
    wire::record record;
    record.mutable_step()->set_host(host);
    record.mutable_step()->set_wave(wave);
    record.mutable_step()->set_step(step);
    proposeOnce("step/" + host, std::move(record));
}

// Publishes the state as a snapshot before the log drops the records that lead to it, so that an entry host that starts later can load it.
void fleet_maintenance_controller::publishSnapshots(instant now)
{
    if (m_lastSnapshotOffset != m_session.replayer().snapshotOffset()) {
        m_lastSnapshotOffset = m_session.replayer().snapshotOffset();
        m_lastSnapshotAt = now;
        m_snapshotPending = false;
    }
    const bool manyRecords = m_session.replayer().nextOffset() - m_lastSnapshotOffset >= RECORDS_PER_SNAPSHOT;
    const bool isOld = now - m_lastSnapshotAt >= m_settings.logRetention / SNAPSHOTS_PER_RETENTION;
    const bool isOverdue = now - m_lastSnapshotAt >= m_settings.logRetention / 2;
    if ((!manyRecords && !isOld) || (m_snapshotPending && !isOverdue)) {
        return;
    }
    m_snapshotPending = true;
    m_lastSnapshotAt = isOverdue ? now : m_lastSnapshotAt;
    for (wire::record &record : makeSnapshotRecords(m_session.state())) {
        m_session.propose(std::move(record));
    }
}

} // namespace jujubespool

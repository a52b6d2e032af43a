#include <jujubespool/entry/maintenance_driver.h>

#include <jujubespool/core/idempotency_key.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds TICK{ 100 };
constexpr milliseconds LIST_INTERVAL{ 500 };
constexpr log_offset SNAPSHOT_EVERY_RECORDS = 2000;
// Snapshots are renewed this many times while one is kept.
constexpr int SNAPSHOTS_PER_RETENTION = 4;

} // namespace

maintenance_driver::maintenance_driver(time_source &clock, log_session &session, peer_group &peers, dispatcher &work,
                                       host_directory &directory, worker_controller &machines, const entry_settings &settings)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
    , m_work(work)
    , m_directory(directory)
    , m_machines(machines)
    , m_settings(settings)
{
}

void maintenance_driver::start()
{
    m_snapshotAt = m_clock.now();
    m_clock.repeat(TICK, [this] { tick(); });
    m_clock.repeat(LIST_INTERVAL, [this] { refreshList(); });
}

bool maintenance_driver::drives(instant now) const
{
    if (!m_session.opened() || !m_session.caughtUp() || !m_session.logAvailable(now)) {
        return false;
    }
    for (const session_id id : m_session.state().liveSessions()) {
        if (id == m_session.id()) {
            return true;
        }
        if (!m_peers.isSuspected(id, now)) {
            return false;
        }
    }
    return false;
}

void maintenance_driver::tick()
{
    const instant now = m_clock.now();
    for (const auto &[id, session] : m_session.state().sessions()) {
        if (session.ended) {
            m_endedSince.try_emplace(id, now);
        }
    }
    std::erase_if(m_endedSince, [this](const auto &item) { return m_session.state().sessions().count(item.first) == 0; });
    if (!drives(now)) {
        m_watches.clear();
        return;
    }
    reclaimEnded(now);
    driveWaves(now);
    keepSnapshots(now);
}

void maintenance_driver::proposeOnce(const std::string &subject, wire::record record)
{
    if (!m_proposed.insert(subject).second) {
        return;
    }
    m_session.propose(std::move(record), [this, subject](const apply_result &result) {
        m_proposed.erase(subject);
        if (result.verdict == apply_verdict::rejected) {
            logEvent(log_level::info, "step-rejected", { { "subject", subject }, { "reason", result.reason } });
        }
    });
}

// What a dead session held may be used again once nothing that it started, or lent, can still run.
void maintenance_driver::reclaimEnded(instant now)
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

void maintenance_driver::refreshList()
{
    if (m_listing) {
        return;
    }
    m_listing = true;
    m_directory.list([this](const list_result &result) {
        m_listing = false;
        if (result.hosts) {
            onList(*result.hosts);
        }
    });
}

void maintenance_driver::onList(const std::vector<listed_host> &hosts)
{
    std::set<std::string> leaving;
    std::set<std::string> gone;
    for (const listed_host &listed : hosts) {
        if (listed.state == listed_host_state::gone) {
            gone.insert(listed.name);
        }
        noteWorker(listed, leaving);
    }
    // Every host stops using a leaving worker at once, whoever records it.
    m_work.setLeavingHosts(std::move(leaving));
    if (drives(m_clock.now())) {
        endGoneSessions(gone);
    }
}

void maintenance_driver::noteWorker(const listed_host &listed, std::set<std::string> &leaving)
{
    const auto found = m_session.state().hosts().find(listed.name);
    if (found == m_session.state().hosts().end()) {
        return;
    }
    const host_state state = found->second.state;
    const bool acts = drives(m_clock.now());
    if (listed.state != listed_host_state::live) {
        leaving.insert(listed.name);
    }
    if (acts && listed.state == listed_host_state::leaving && state == host_state::active
        && !m_session.state().budgetViolation(listed.name)) {
        wire::record record;
        record.mutable_drain()->set_host(listed.name);
        proposeOnce("drain/" + listed.name, std::move(record));
    }
    if (acts && listed.state == listed_host_state::gone && state == host_state::active) {
        proposeStep(listed.name, {}, wire::MAINTENANCE_STEP_FAILED);
    }
    if (acts && listed.state == listed_host_state::live && state == host_state::failed) {
        inspectHost(listed.name, {}, m_watches[listed.name]);
    }
}

void maintenance_driver::endGoneSessions(const std::set<std::string> &gone)
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

void maintenance_driver::driveWaves(instant now)
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
            driveHost(name, status, now);
        } else if (!status.wantedPool.empty() && status.state == host_state::active && !m_session.state().budgetViolation(name)) {
            wire::record record;
            record.mutable_drain()->set_host(name);
            record.mutable_drain()->set_move_to_pool(status.wantedPool);
            proposeOnce("drain/" + name, std::move(record));
        }
    }
}

void maintenance_driver::driveHost(const std::string &name, const host_status &status, instant now)
{
    if (status.state == host_state::drained) {
        m_watches.erase(name);
        proposeStep(name, status.wave, wire::MAINTENANCE_STEP_REBOOT);
        return;
    }
    if (status.state != host_state::rebooting) {
        return;
    }
    const auto [position, fresh] = m_watches.try_emplace(name);
    machine_watch &watch = position->second;
    if (fresh) {
        watch.since = now;
    }
    if (now - watch.since > m_settings.rebootTimeout) {
        proposeStep(name, status.wave, wire::MAINTENANCE_STEP_FAILED);
    } else if (!watch.ordered) {
        rebootHost(name, status, watch);
    } else {
        inspectHost(name, status.wave, watch);
    }
}

void maintenance_driver::rebootHost(const std::string &name, const host_status &status, machine_watch &watch)
{
    if (watch.busy) {
        return;
    }
    watch.busy = true;
    const std::string version = m_session.state().waves().at(status.wave).start.version();
    m_machines.reboot(name, status.wave + "/" + name, version, [this, name](const control_result &result) {
        const auto found = m_watches.find(name);
        if (found != m_watches.end()) {
            found->second.busy = false;
            found->second.ordered = result.accepted;
        }
    });
}

void maintenance_driver::inspectHost(const std::string &name, const std::string &wave, machine_watch &watch)
{
    if (watch.busy) {
        return;
    }
    watch.busy = true;
    m_machines.inspect(name, [this, name, wave](const inspect_result &result) {
        const auto found = m_watches.find(name);
        if (found == m_watches.end()) {
            return;
        }
        found->second.busy = false;
        if (result.state == host_boot_state::up) {
            proposeStep(name, wave, wire::MAINTENANCE_STEP_VERIFIED);
        } else if (result.state == host_boot_state::failed && !wave.empty()) {
            proposeStep(name, wave, wire::MAINTENANCE_STEP_FAILED);
        }
    });
}

void maintenance_driver::proposeStep(const std::string &host, const std::string &wave, wire::maintenance_step step)
{
    wire::record record;
    record.mutable_step()->set_host(host);
    record.mutable_step()->set_wave(wave);
    record.mutable_step()->set_step(step);
    proposeOnce("step/" + host, std::move(record));
}

// What the log will forget is published again before, so that a host that starts later finds it.
void maintenance_driver::keepSnapshots(instant now)
{
    if (m_knownSnapshot != m_session.replay().snapshotOffset()) {
        m_knownSnapshot = m_session.replay().snapshotOffset();
        m_snapshotAt = now;
        m_snapshotPending = false;
    }
    const bool many = m_session.replay().nextOffset() - m_knownSnapshot >= SNAPSHOT_EVERY_RECORDS;
    const bool old = now - m_snapshotAt >= m_settings.logRetention / SNAPSHOTS_PER_RETENTION;
    const bool overdue = now - m_snapshotAt >= m_settings.logRetention / 2;
    if ((!many && !old) || (m_snapshotPending && !overdue)) {
        return;
    }
    m_snapshotPending = true;
    m_snapshotAt = overdue ? now : m_snapshotAt;
    for (wire::record &record : makeSnapshotRecords(m_session.state())) {
        m_session.propose(std::move(record));
    }
}

} // namespace jujubespool

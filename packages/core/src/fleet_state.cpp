#include <jujubespool/core/fleet_state.h>

#include <algorithm>
#include <fmt/format.h>
#include <jujubespool/core/config_change.h>
#include <jujubespool/core/hashing.h>

namespace jujubespool {

namespace {

constexpr std::uint32_t MAX_PERCENT = 100;
// A wave pauses when this many of its hosts fail their health gate.
constexpr std::size_t WAVE_FAILURE_CAP = 2;

const std::string WORKER_PREFIX = "worker/";

applied accept()
{
    return {};
}

template <typename... Args> applied reject(fmt::format_string<Args...> text, Args &&...args)
{
    return { apply_verdict::rejected, fmt::format(text, std::forward<Args>(args)...) };
}

bool isOut(host_state state)
{
    return state != host_state::active;
}

} // namespace

fleet_state::fleet_state()
{
    for (std::uint32_t range = 0; range < CLAIM_RANGES; ++range) {
        m_ledger.setLimit(rangeResource(range), 1);
    }
}

void fleet_state::skip(log_offset offset)
{
    m_nextOffset = offset + 1;
}

applied fleet_state::apply(log_offset offset, const wire::record &record)
{
    m_nextOffset = offset + 1;
    if (record.body_case() == wire::record::kOpen) {
        return openSession(record);
    }
    const auto writer = m_sessions.find(record.session());
    if (writer == m_sessions.end()) {
        return reject("session {:x} is not known", record.session());
    }
    session_status &session = writer->second;
    if (record.sequence() <= session.lastSequence) {
        return { apply_verdict::duplicate, "applied before" };
    }
    if (session.ended) {
        return reject("session {:x} has ended", record.session());
    }
    if (record.sequence() != session.lastSequence + 1) {
        return reject("sequence {} follows {}", record.sequence(), session.lastSequence);
    }
    session.lastSequence = record.sequence();
    return applyBody(offset, record);
}

applied fleet_state::applyBody(log_offset offset, const wire::record &record)
{
    switch (record.body_case()) {
    case wire::record::kEnd:
        return endSession(record.end(), record.session());
    case wire::record::kPublish:
        return publish(offset, record.publish());
    case wire::record::kKey:
        return changeKey(record.key());
    case wire::record::kTake:
        return takePermits(record.take(), record.session());
    case wire::record::kGive:
        return givePermits(record.give(), record.session());
    case wire::record::kReclaim:
        return reclaimPermits(record.reclaim());
    case wire::record::kClaims:
        return recordClaims(record.claims(), record.session());
    case wire::record::kDrain:
        return drainHost(record.drain());
    case wire::record::kUndrain:
        return undrainHost(record.undrain());
    case wire::record::kStep:
        return stepHost(record.step());
    case wire::record::kWave:
        return startWave(record.wave());
    case wire::record::kControl:
        return controlWave(record.control());
    case wire::record::kChunk:
        return accept();
    case wire::record::kOpen:
    case wire::record::BODY_NOT_SET:
        break;
    }
    return reject("the record has no body that this version knows");
}

applied fleet_state::openSession(const wire::record &record)
{
    const wire::session_open &open = record.open();
    if (record.session() == NO_SESSION || open.host().empty()) {
        return reject("a session needs an id and a host");
    }
    if (m_sessions.count(record.session()) > 0) {
        return { apply_verdict::duplicate, "opened before" };
    }
    std::uint64_t &lastStart = m_lastStart[open.host()];
    if (open.started_ms() <= lastStart) {
        return reject("host {} has opened a later session", open.host());
    }
    lastStart = open.started_ms();
    // A host runs one process, which holds its ports; a new one proves that the earlier one is dead.
    for (auto &[id, session] : m_sessions) {
        if (session.open.host() == open.host()) {
            session.ended = true;
        }
    }
    m_sessions[record.session()] = { open, record.sequence(), false };
    return accept();
}

applied fleet_state::endSession(const wire::session_end &end, session_id writer)
{
    const auto found = m_sessions.find(end.session());
    if (found == m_sessions.end() || found->second.ended) {
        return reject("session {:x} is not live", end.session());
    }
    const bool own = end.session() == writer;
    if (own != (end.basis() == wire::END_BASIS_LEFT)) {
        return reject("only its own process can say that a session has left");
    }
    found->second.ended = true;
    return accept();
}

applied fleet_state::publish(log_offset offset, const wire::edition &edition)
{
    if (edition.base() != m_editionOffset) {
        return reject("edited from edition {}, but {} is in force", edition.base(), m_editionOffset);
    }
    if (!edition.has_change()) {
        std::vector<config_problem> problems;
        const std::optional<configuration> next = parseConfiguration(edition.text(), problems);
        if (!next) {
            return reject("line {}: {}", problems.front().line, problems.front().message);
        }
        m_editionLines = splitLines(edition.text());
        adoptChange(changeBetween(m_config, *next));
        m_editionOffset = offset;
        return accept();
    }
    if (const auto objection = removalObjection(edition.change())) {
        return reject("{}", *objection);
    }
    if (!applyPatch(m_editionLines, edition.patch())) {
        return reject("the edition changes lines that do not exist");
    }
    adoptChange(edition.change());
    m_editionOffset = offset;
    return accept();
}

std::string fleet_state::editionText() const
{
    return joinLines(m_editionLines);
}

// An edition that removes hosts takes them out of service, which the budgets bound as they bound a drain.
std::optional<std::string> fleet_state::removalObjection(const wire::config_change &change) const
{
    std::map<std::string, std::uint32_t> leaving;
    for (const std::string &name : change.removed_hosts()) {
        const auto status = m_hosts.find(name);
        if (status != m_hosts.end() && !isOut(status->second.state)) {
            ++leaving[status->second.pool];
        }
    }
    const std::set<std::string> removedPools(change.removed_pools().begin(), change.removed_pools().end());
    for (const auto &[pool, count] : leaving) {
        if (removedPools.count(pool) == 0 && unavailable(pool) + count > allowedUnavailable(pool)) {
            return fmt::format("the edition removes {} hosts of pool {}, which may lose {} at a time", count, pool,
                               allowedUnavailable(pool) - std::min(allowedUnavailable(pool), unavailable(pool)));
        }
    }
    return std::nullopt;
}

applied fleet_state::changeKey(const wire::key_change &change)
{
    const auto known = m_configKeys.find(change.key_hash());
    const std::string owner = known == m_configKeys.end() ? change.team() : known->second;
    if (owner != change.team()) {
        return reject("the key belongs to another team");
    }
    if (!change.withdrawn() && m_config.findTeam(change.team()) == nullptr) {
        return reject("unknown team {}", change.team());
    }
    m_keys[change.key_hash()] = change;
    return accept();
}

applied fleet_state::takePermits(const wire::permit_take &take, session_id writer)
{
    std::uint32_t refused = 0;
    const std::string &dataCenter = m_sessions.at(writer).open.data_center();
    for (const wire::permit_entry &entry : take.entries()) {
        const escrow_account *account = m_ledger.find(entry.resource());
        const bool eligible = account != nullptr && (account->dataCenter.empty() || account->dataCenter == dataCenter);
        if (!eligible || !m_ledger.take(entry.resource(), writer, entry.count())) {
            ++refused;
        }
    }
    return refused == 0 ? accept() : reject("{} of {} permits were not unassigned", refused, take.entries_size());
}

applied fleet_state::givePermits(const wire::permit_give &give, session_id writer)
{
    const bool handBack = give.to_session() == NO_SESSION || !isLive(give.to_session());
    std::uint32_t refused = 0;
    for (const wire::permit_entry &entry : give.entries()) {
        // A receiver that has ended cannot use them, so they become unassigned.
        if (!m_ledger.give(entry.resource(), writer, handBack ? NO_SESSION : give.to_session(), entry.count())) {
            ++refused;
        }
        settleResource(entry.resource());
    }
    return refused == 0 ? accept() : reject("{} of {} permits were not held", refused, give.entries_size());
}

applied fleet_state::reclaimPermits(const wire::permit_reclaim &reclaim)
{
    const auto found = m_sessions.find(reclaim.session());
    if (found == m_sessions.end() || !found->second.ended) {
        return reject("session {:x} has not ended", reclaim.session());
    }
    for (std::uint32_t range = 0; range < CLAIM_RANGES; ++range) {
        if (m_ledger.give(rangeResource(range), reclaim.session(), NO_SESSION, 1)) {
            m_fences[range] = std::max(m_fences[range], reclaim.fenced_ms());
        }
    }
    if (reclaim.ranges_only()) {
        return accept();
    }
    const std::vector<std::string> released = m_ledger.release(reclaim.session());
    m_sessions.erase(found);
    for (const std::string &resource : released) {
        settleResource(resource);
    }
    return accept();
}

applied fleet_state::recordClaims(const wire::claim_batch &batch, session_id writer)
{
    int refused = 0;
    for (const wire::claim &claim : batch.claims()) {
        if (!recordClaim(claim, writer)) {
            ++refused;
        }
    }
    forgetOldClaims();
    return refused == 0 ? accept()
                        : reject("{} of {} claims came after another or outside the writer's ranges", refused, batch.claims_size());
}

bool fleet_state::recordClaim(const wire::claim &claim, session_id writer)
{
    if (claim.key_hash().empty() || m_ledger.heldBy(rangeResource(claimRangeOf(claim.key_hash())), writer) == 0) {
        return false;
    }
    if (!m_claims.emplace(claim.key_hash(), claim).second) {
        return false;
    }
    m_claimAges.emplace(claim.issued_ms(), claim.key_hash());
    m_newestIssued = std::max(m_newestIssued, claim.issued_ms());
    return true;
}

void fleet_state::forgetOldClaims()
{
    // Twice the promised time, because the hosts' wall clocks differ.
    const wall_ms kept = 2 * static_cast<wall_ms>(m_config.claimRetention.count());
    while (!m_claimAges.empty() && m_claimAges.begin()->first + kept < m_newestIssued) {
        m_claims.erase(m_claimAges.begin()->second);
        m_claimAges.erase(m_claimAges.begin());
    }
}

applied fleet_state::drainHost(const wire::host_drain &drain)
{
    const auto found = m_hosts.find(drain.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", drain.host());
    }
    host_status &status = found->second;
    const bool moves = !drain.move_to_pool().empty();
    if (moves && (m_config.findPool(drain.move_to_pool()) == nullptr || drain.move_to_pool() == status.pool)) {
        return reject("host {} cannot move to pool '{}'", drain.host(), drain.move_to_pool());
    }
    if (status.state != host_state::active) {
        return reject("host {} is {} already", drain.host(), nameOf(status.state));
    }
    if (!drain.wave().empty()) {
        const auto wave = m_waves.find(drain.wave());
        if (wave == m_waves.end() || wave->second.state != wave_state::running || wave->second.settled(drain.host())) {
            return reject("wave {} does not drain host {} now", drain.wave(), drain.host());
        }
    }
    if (const auto objection = budgetObjection(drain.host())) {
        return reject("{}", *objection);
    }
    status.moveToPool = drain.move_to_pool();
    status.wave = drain.wave();
    setState(drain.host(), host_state::draining);
    settleHost(drain.host());
    return accept();
}

applied fleet_state::undrainHost(const wire::host_undrain &undrain)
{
    const auto found = m_hosts.find(undrain.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", undrain.host());
    }
    host_status &status = found->second;
    if (status.state != host_state::draining && status.state != host_state::drained) {
        return reject("host {} is {}", undrain.host(), nameOf(status.state));
    }
    status.moveToPool.clear();
    status.wave.clear();
    setState(undrain.host(), host_state::active);
    return accept();
}

applied fleet_state::stepHost(const wire::host_step &step)
{
    const auto found = m_hosts.find(step.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", step.host());
    }
    host_status &status = found->second;
    if (!step.wave().empty()) {
        return stepWaveHost(step, status);
    }
    if (step.step() == wire::MAINTENANCE_STEP_FAILED && status.state == host_state::active) {
        setState(step.host(), host_state::failed);
        return accept();
    }
    if (step.step() == wire::MAINTENANCE_STEP_VERIFIED && status.state == host_state::failed) {
        setState(step.host(), host_state::active);
        return accept();
    }
    return reject("host {} is {}", step.host(), nameOf(status.state));
}

applied fleet_state::stepWaveHost(const wire::host_step &step, host_status &status)
{
    const auto wave = m_waves.find(step.wave());
    if (wave == m_waves.end() || status.wave != step.wave()) {
        return reject("wave {} does not work on host {}", step.wave(), step.host());
    }
    if (step.step() == wire::MAINTENANCE_STEP_REBOOT && status.state == host_state::drained) {
        setState(step.host(), host_state::rebooting);
        return accept();
    }
    if (status.state != host_state::rebooting) {
        return reject("host {} is {}", step.host(), nameOf(status.state));
    }
    if (step.step() == wire::MAINTENANCE_STEP_VERIFIED) {
        status.version = wave->second.start.version();
        wave->second.done.insert(step.host());
        status.wave.clear();
        setState(step.host(), host_state::active);
        settleWave(wave->second);
        return accept();
    }
    if (step.step() == wire::MAINTENANCE_STEP_FAILED) {
        wave->second.failed.insert(step.host());
        status.wave.clear();
        setState(step.host(), host_state::failed);
        settleWave(wave->second);
        return accept();
    }
    return reject("host {} is rebooting", step.host());
}

applied fleet_state::startWave(const wire::wave_start &start)
{
    if (start.name().empty() || m_waves.count(start.name()) > 0) {
        return reject("wave '{}' exists already or has no name", start.name());
    }
    for (const auto &[name, wave] : m_waves) {
        if (wave.state == wave_state::running || wave.state == wave_state::paused) {
            return reject("wave {} has not finished", name);
        }
    }
    for (const std::string &host : start.hosts()) {
        if (m_hosts.count(host) == 0) {
            return reject("unknown host {}", host);
        }
    }
    if (start.hosts().empty()) {
        return reject("the wave names no host");
    }
    m_waves[start.name()].start = start;
    return accept();
}

applied fleet_state::controlWave(const wire::wave_control &control)
{
    const auto found = m_waves.find(control.name());
    if (found == m_waves.end()) {
        return reject("unknown wave {}", control.name());
    }
    wave_status &wave = found->second;
    if (wave.state != wave_state::running && wave.state != wave_state::paused) {
        return reject("wave {} is {}", control.name(), nameOf(wave.state));
    }
    switch (control.action()) {
    case wire::WAVE_ACTION_PAUSE:
        wave.state = wave_state::paused;
        wave.reason = control.reason();
        return accept();
    case wire::WAVE_ACTION_RESUME:
        wave.state = wave_state::running;
        wave.reason.clear();
        return accept();
    case wire::WAVE_ACTION_CANCEL:
        wave.state = wave_state::cancelled;
        wave.reason = control.reason();
        return accept();
    case wire::WAVE_ACTION_EXCLUDE: {
        const auto &hosts = wave.start.hosts();
        if (std::find(hosts.begin(), hosts.end(), control.host()) == hosts.end() || wave.settled(control.host())) {
            return reject("wave {} has no host {} to exclude", control.name(), control.host());
        }
        const host_status &status = m_hosts.at(control.host());
        if (status.wave == control.name()) {
            return reject("host {} is {} in the wave already", control.host(), nameOf(status.state));
        }
        wave.excluded.insert(control.host());
        settleWave(wave);
        return accept();
    }
    default:
        return reject("unknown action");
    }
}

void fleet_state::settleWave(wave_status &wave)
{
    if (wave.state == wave_state::running && wave.failed.size() >= WAVE_FAILURE_CAP) {
        wave.state = wave_state::paused;
        wave.reason = fmt::format("{} hosts failed their health gate", wave.failed.size());
    }
    const std::size_t settled = wave.done.size() + wave.failed.size() + wave.excluded.size();
    if (wave.state == wave_state::running && settled >= static_cast<std::size_t>(wave.start.hosts_size())) {
        wave.state = wave_state::finished;
    }
}

void fleet_state::setState(const std::string &host, host_state state)
{
    host_status &status = m_hosts.at(host);
    pool_counts &counts = m_poolCounts[status.pool];
    counts.unavailable -= isOut(status.state) ? 1 : 0;
    counts.unavailable += isOut(state) ? 1 : 0;
    status.state = state;
    limitSlots(host);
}

void fleet_state::limitSlots(const std::string &host)
{
    m_hostsChangedAt = m_nextOffset;
    const host_spec *spec = m_config.findHost(host);
    const host_status &status = m_hosts.at(host);
    const bool serves = spec != nullptr && status.state == host_state::active && !status.removed;
    const escrow_account *account = m_ledger.find(workerResource(host));
    const std::string dataCenter = spec != nullptr ? spec->dataCenter : (account != nullptr ? account->dataCenter : std::string());
    m_ledger.setLimit(workerResource(host), serves ? spec->slots : 0, dataCenter);
}

void fleet_state::settleResource(const std::string &resource)
{
    if (resource.compare(0, WORKER_PREFIX.size(), WORKER_PREFIX) == 0) {
        settleHost(resource.substr(WORKER_PREFIX.size()));
        return;
    }
    const escrow_account *account = m_ledger.find(resource);
    if (account != nullptr && account->limit == 0 && account->holdings.empty()) {
        // The account of a removed team.
        m_ledger.erase(resource);
    }
}

// A host on which nobody holds a slot runs nothing of ours: it is drained.
void fleet_state::settleHost(const std::string &host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    host_status &status = found->second;
    const escrow_account *account = m_ledger.find(workerResource(host));
    const bool empty = account == nullptr || account->holdings.empty();
    if (!empty) {
        return;
    }
    if (status.removed) {
        m_ledger.erase(workerResource(host));
        m_hosts.erase(found);
        indexPools();
        return;
    }
    if (status.state != host_state::draining) {
        return;
    }
    if (status.moveToPool.empty() || m_config.findPool(status.moveToPool) == nullptr) {
        status.moveToPool.clear();
        setState(host, host_state::drained);
        return;
    }
    status.pool = status.moveToPool;
    status.moveToPool.clear();
    status.wantedPool.clear();
    status.state = host_state::active;
    limitSlots(host);
    indexPools();
}

void fleet_state::adoptChange(const wire::config_change &change)
{
    for (const wire::team_image &team : change.teams()) {
        forgetKeys(team.name());
    }
    for (const std::string &team : change.removed_teams()) {
        forgetKeys(team);
    }
    applyChange(m_config, change);
    adoptTeams(change);
    for (const wire::host_place &host : change.hosts()) {
        adoptHost(*m_config.findHost(host.name()));
    }
    for (const std::string &name : change.removed_hosts()) {
        const auto found = m_hosts.find(name);
        if (found != m_hosts.end()) {
            found->second.removed = true;
            limitSlots(name);
            settleHost(name);
        }
    }
    if (change.removed_pools_size() > 0) {
        // Hosts that an operator had moved into a removed pool go where the text puts them.
        for (const host_spec &host : m_config.hosts) {
            if (m_config.findPool(m_hosts.at(host.name).pool) == nullptr) {
                m_hosts.at(host.name).wantedPool = host.pool;
            }
        }
    }
    const int others = change.services_size() + change.pools_size() + change.hosts_size() + change.removed_services_size()
        + change.removed_pools_size() + change.removed_hosts_size();
    if (others > 0) {
        indexPools();
    }
}

void fleet_state::forgetKeys(const std::string &team)
{
    const team_spec *spec = m_config.findTeam(team);
    if (spec != nullptr) {
        for (const std::string &hash : spec->keyHashes) {
            m_configKeys.erase(hash);
        }
    }
}

void fleet_state::adoptTeams(const wire::config_change &change)
{
    for (const wire::team_image &team : change.teams()) {
        m_ledger.setLimit(teamResource(team.name()), team.limit());
        for (const std::string &hash : team.key_hashes()) {
            m_configKeys[hash] = team.name();
        }
    }
    for (const std::string &team : change.removed_teams()) {
        m_ledger.setLimit(teamResource(team), 0);
        m_ledger.erase(teamResource(team));
    }
}

void fleet_state::adoptHost(const host_spec &host)
{
    const auto [position, fresh] = m_hosts.try_emplace(host.name);
    host_status &status = position->second;
    status.removed = false;
    if (fresh) {
        status.pool = host.pool;
    }
    // The move itself waits until the budgets allow it.
    status.wantedPool = status.pool == host.pool ? std::string() : host.pool;
    limitSlots(host.name);
}

// Derives the counts of each pool; a pool's budget is the strictest one of its services and of all that depend on them.
void fleet_state::indexPools()
{
    m_hostsChangedAt = m_nextOffset;
    m_poolCounts.clear();
    for (const auto &[name, status] : m_hosts) {
        pool_counts &counts = m_poolCounts[status.pool];
        ++counts.size;
        counts.unavailable += isOut(status.state) || status.removed ? 1 : 0;
    }
    std::map<std::string, std::uint32_t> strictest;
    for (const service_spec &service : m_config.services) {
        strictest[service.name] = service.maxUnavailablePercent;
    }
    // Each round passes a budget one dependency further; there are no cycles.
    for (bool changed = true; changed;) {
        changed = false;
        for (const service_spec &service : m_config.services) {
            for (const std::string &dependency : service.dependsOn) {
                if (strictest[service.name] < strictest[dependency]) {
                    strictest[dependency] = strictest[service.name];
                    changed = true;
                }
            }
        }
    }
    for (const service_spec &service : m_config.services) {
        pool_counts &counts = m_poolCounts[service.pool];
        counts.percent = std::min(counts.percent, strictest[service.name]);
    }
}

bool fleet_state::isLive(session_id session) const
{
    const auto found = m_sessions.find(session);
    return found != m_sessions.end() && !found->second.ended;
}

bool fleet_state::holdsRanges(session_id session) const
{
    for (std::uint32_t range = 0; range < CLAIM_RANGES; ++range) {
        if (m_ledger.heldBy(rangeResource(range), session) > 0) {
            return true;
        }
    }
    return false;
}

std::vector<session_id> fleet_state::liveSessions() const
{
    std::vector<session_id> live;
    for (const auto &[id, session] : m_sessions) {
        if (!session.ended) {
            live.push_back(id);
        }
    }
    return live;
}

const team_spec *fleet_state::teamOfKey(const std::string &keyHash) const
{
    const auto change = m_keys.find(keyHash);
    if (change != m_keys.end()) {
        return change->second.withdrawn() ? nullptr : m_config.findTeam(change->second.team());
    }
    const auto known = m_configKeys.find(keyHash);
    return known != m_configKeys.end() && equalInConstantTime(known->first, keyHash) ? m_config.findTeam(known->second) : nullptr;
}

bool fleet_state::isWithdrawn(const std::string &keyHash) const
{
    const auto change = m_keys.find(keyHash);
    return change != m_keys.end() && change->second.withdrawn();
}

const wire::claim *fleet_state::findClaim(const std::string &keyHash) const
{
    const auto found = m_claims.find(keyHash);
    return found == m_claims.end() ? nullptr : &found->second;
}

wall_ms fleet_state::lastStart(const std::string &host) const
{
    const auto found = m_lastStart.find(host);
    return found == m_lastStart.end() ? 0 : found->second;
}

wall_ms fleet_state::rangeFence(std::uint32_t range) const
{
    const auto found = m_fences.find(range);
    return found == m_fences.end() ? 0 : found->second;
}

std::uint32_t fleet_state::poolSize(const std::string &pool) const
{
    const auto found = m_poolCounts.find(pool);
    return found == m_poolCounts.end() ? 0 : found->second.size;
}

std::uint32_t fleet_state::unavailable(const std::string &pool) const
{
    const auto found = m_poolCounts.find(pool);
    return found == m_poolCounts.end() ? 0 : found->second.unavailable;
}

std::uint32_t fleet_state::allowedUnavailable(const std::string &pool) const
{
    const auto found = m_poolCounts.find(pool);
    return found == m_poolCounts.end() ? 0 : found->second.size * found->second.percent / MAX_PERCENT;
}

std::optional<std::string> fleet_state::budgetObjection(const std::string &host) const
{
    const std::string &pool = m_hosts.at(host).pool;
    const std::uint32_t out = unavailable(pool);
    const std::uint32_t allowed = allowedUnavailable(pool);
    if (out + 1 <= allowed) {
        return std::nullopt;
    }
    return fmt::format("pool {} has {} of its {} hosts out of service and may have {}", pool, out, poolSize(pool), allowed);
}

} // namespace jujubespool

#include <jujubespool/core/fleet_state.h>

#include "internal/apply_result.h"

#include <algorithm>
#include <fmt/format.h>
#include <jujubespool/core/config_change.h>
#include <jujubespool/core/hashing.h>

namespace jujubespool {

using internal::accept;
using internal::isOutOfService;
using internal::reject;

fleet_state::fleet_state()
{
    for (std::uint32_t range = 0; range < CLAIM_RANGE_COUNT; ++range) {
        m_permitAllocations.setLimit(rangeResource(range), 1);
    }
}

void fleet_state::skipRecord(log_offset offset)
{
    m_nextOffset = offset + 1;
}

apply_result fleet_state::apply(log_offset offset, const wire::record &record)
{
    m_nextOffset = offset + 1;
    if (record.body_case() == wire::record::kOpen) {
        return openSession(record);
    }
    const auto writer = m_sessions.find(record.session());
    if (writer == m_sessions.end()) {
        return reject("unknown session {:x}", record.session());
    }
    session_status &session = writer->second;
    if (record.sequence() <= session.lastSequence) {
        return { apply_verdict::duplicate, "the record was applied before" };
    }
    if (session.ended) {
        return reject("session {:x} has ended", record.session());
    }
    if (record.sequence() != session.lastSequence + 1) {
        return reject("sequence number {} does not follow {}", record.sequence(), session.lastSequence);
    }
    session.lastSequence = record.sequence();
    return applyBody(offset, record);
}

apply_result fleet_state::applyBody(log_offset offset, const wire::record &record)
{
    switch (record.body_case()) {
    case wire::record::kEnd:
        return endSession(record.end(), record.session());
    case wire::record::kPublish:
        return publishEdition(offset, record.publish());
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
        return applyMaintenanceStep(record.step());
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
    return reject("the record has no body or a body that this version does not support");
}

apply_result fleet_state::openSession(const wire::record &record)
{
    const wire::session_open &open = record.open();
    if (record.session() == NO_SESSION || open.host().empty()) {
        return reject("the session has no id or no host");
    }
    if (m_sessions.count(record.session()) > 0) {
        return { apply_verdict::duplicate, "the session was opened before" };
    }
    std::uint64_t &lastStart = m_lastSessionStart[open.host()];
    if (open.started_ms() <= lastStart) {
        return reject("host {} has opened a session that started at the same time or later", open.host());
    }
    lastStart = open.started_ms();
    // A host runs one process at a time, because the process binds the host's ports. A new process therefore proves
    // that the previous one has ended.
    for (auto &[id, session] : m_sessions) {
        if (session.open.host() == open.host()) {
            session.ended = true;
        }
    }
    m_sessions[record.session()] = { open, record.sequence(), false };
    return accept();
}

apply_result fleet_state::endSession(const wire::session_end &end, session_id writer)
{
    const auto found = m_sessions.find(end.session());
    if (found == m_sessions.end() || found->second.ended) {
        return reject("session {:x} is unknown or has ended", end.session());
    }
    const bool isOwnSession = end.session() == writer;
    if (isOwnSession != (end.basis() == wire::END_BASIS_LEFT)) {
        return reject("a process must end its own session as left, and no other session");
    }
    found->second.ended = true;
    return accept();
}

apply_result fleet_state::publishEdition(log_offset offset, const wire::edition &edition)
{
    if (edition.base() != m_editionOffset) {
        return reject("the edition is based on edition {}, but the current edition is {}", edition.base(), m_editionOffset);
    }
    if (!edition.has_change()) {
        std::vector<config_problem> problems;
        const std::optional<configuration> next = parseConfiguration(edition.text(), problems);
        if (!next) {
            return reject("line {}: {}", problems.front().line, problems.front().message);
        }
        m_editionLines = splitLines(edition.text());
        updateConfiguration(diffConfigurations(m_config, *next));
        m_editionOffset = offset;
        return accept();
    }
    if (const auto violation = removalBudgetViolation(edition.change())) {
        return reject("{}", *violation);
    }
    if (!applyLinePatch(m_editionLines, edition.patch())) {
        return reject("the edition changes lines that do not exist in the current edition");
    }
    updateConfiguration(edition.change());
    m_editionOffset = offset;
    return accept();
}

std::string fleet_state::editionText() const
{
    return joinLines(m_editionLines);
}

// An edition that removes hosts takes them out of service, so the budgets limit the removal as they limit drains.
std::optional<std::string> fleet_state::removalBudgetViolation(const wire::config_change &change) const
{
    std::map<std::string, std::uint32_t> leaving;
    for (const std::string &name : change.removed_hosts()) {
        const auto status = m_hosts.find(name);
        if (status != m_hosts.end() && !isOutOfService(status->second.state)) {
            ++leaving[status->second.pool];
        }
    }
    const std::set<std::string> removedPools(change.removed_pools().begin(), change.removed_pools().end());
    for (const auto &[pool, count] : leaving) {
        if (removedPools.count(pool) == 0 && unavailable(pool) + count > allowedUnavailable(pool)) {
            return fmt::format("the edition removes {} hosts of pool {}, but its budget allows only {} to leave service now", count, pool,
                               allowedUnavailable(pool) - std::min(allowedUnavailable(pool), unavailable(pool)));
        }
    }
    return std::nullopt;
}

apply_result fleet_state::changeKey(const wire::key_change &change)
{
    const auto known = m_teamOfConfiguredKey.find(change.key_hash());
    const std::string owner = known == m_teamOfConfiguredKey.end() ? change.team() : known->second;
    if (owner != change.team()) {
        return reject("the API key belongs to another team");
    }
    if (!change.withdrawn() && m_config.findTeam(change.team()) == nullptr) {
        return reject("unknown team {}", change.team());
    }
    m_keyChanges[change.key_hash()] = change;
    return accept();
}

apply_result fleet_state::takePermits(const wire::permit_take &take, session_id writer)
{
    std::uint32_t rejected = 0;
    const std::string &dataCenter = m_sessions.at(writer).open.data_center();
    for (const wire::permit_entry &entry : take.entries()) {
        const resource_allocation *account = m_permitAllocations.find(entry.resource());
        const bool eligible = account != nullptr && (account->dataCenter.empty() || account->dataCenter == dataCenter);
        if (!eligible || !m_permitAllocations.allocate(entry.resource(), writer, entry.count())) {
            ++rejected;
        }
    }
    return rejected == 0
        ? accept()
        : reject("{} of {} resources were unknown, in another data centre or short of unassigned permits", rejected, take.entries_size());
}

apply_result fleet_state::givePermits(const wire::permit_give &give, session_id writer)
{
    const bool returnsPermits = give.to_session() == NO_SESSION || !isLive(give.to_session());
    std::uint32_t rejected = 0;
    for (const wire::permit_entry &entry : give.entries()) {
        // When the receiver has ended, the permits become unassigned.
        if (!m_permitAllocations.transfer(entry.resource(), writer, returnsPermits ? NO_SESSION : give.to_session(), entry.count())) {
            ++rejected;
        }
        onPermitsReleased(entry.resource());
    }
    return rejected == 0 ? accept() : reject("the session did not hold the permits of {} of {} resources", rejected, give.entries_size());
}

apply_result fleet_state::reclaimPermits(const wire::permit_reclaim &reclaim)
{
    const auto found = m_sessions.find(reclaim.session());
    if (found == m_sessions.end() || !found->second.ended) {
        return reject("session {:x} has not ended", reclaim.session());
    }
    for (std::uint32_t range = 0; range < CLAIM_RANGE_COUNT; ++range) {
        if (m_permitAllocations.transfer(rangeResource(range), reclaim.session(), NO_SESSION, 1)) {
            m_claimRangeFences[range] = std::max(m_claimRangeFences[range], reclaim.fenced_ms());
        }
    }
    if (reclaim.ranges_only()) {
        return accept();
    }
    const std::vector<std::string> released = m_permitAllocations.releaseAll(reclaim.session());
    m_sessions.erase(found);
    for (const std::string &resource : released) {
        onPermitsReleased(resource);
    }
    return accept();
}

apply_result fleet_state::recordClaims(const wire::claim_batch &batch, session_id writer)
{
    int rejected = 0;
    for (const wire::claim &claim : batch.claims()) {
        if (!recordClaim(claim, writer)) {
            ++rejected;
        }
    }
    removeExpiredClaims();
    return rejected == 0 ? accept()
                         : reject("{} of {} claims were for keys that are already claimed or that are not in ranges of the session",
                                  rejected, batch.claims_size());
}

bool fleet_state::recordClaim(const wire::claim &claim, session_id writer)
{
    if (claim.key_hash().empty() || m_permitAllocations.heldBy(rangeResource(claimRangeOf(claim.key_hash())), writer) == 0) {
        return false;
    }
    if (!m_claims.emplace(claim.key_hash(), claim).second) {
        return false;
    }
    m_claimsByIssueTime.emplace(claim.issued_ms(), claim.key_hash());
    m_newestIssueTime = std::max(m_newestIssueTime, claim.issued_ms());
    return true;
}

void fleet_state::removeExpiredClaims()
{
    // Claims are kept for twice the configured time, because the wall clocks of the hosts differ.
    const wall_ms retentionMs = 2 * static_cast<wall_ms>(m_config.claimRetention.count());
    while (!m_claimsByIssueTime.empty() && m_claimsByIssueTime.begin()->first + retentionMs < m_newestIssueTime) {
        m_claims.erase(m_claimsByIssueTime.begin()->second);
        m_claimsByIssueTime.erase(m_claimsByIssueTime.begin());
    }
}

void fleet_state::updateConfiguration(const wire::config_change &change)
{
    for (const wire::team_image &team : change.teams()) {
        removeConfiguredKeys(team.name());
    }
    for (const std::string &team : change.removed_teams()) {
        removeConfiguredKeys(team);
    }
    applyConfigChange(m_config, change);
    updateTeams(change);
    for (const wire::host_place &host : change.hosts()) {
        updateHost(*m_config.findHost(host.name()));
    }
    for (const std::string &name : change.removed_hosts()) {
        const auto found = m_hosts.find(name);
        if (found != m_hosts.end()) {
            found->second.removed = true;
            updateSlotLimit(name);
            completeDrainIfIdle(name);
        }
    }
    if (change.removed_pools_size() > 0) {
        // Hosts that an operator had moved to a removed pool return to the pool that the configuration assigns.
        for (const host_spec &host : m_config.hosts) {
            if (m_config.findPool(m_hosts.at(host.name).pool) == nullptr) {
                m_hosts.at(host.name).wantedPool = host.pool;
            }
        }
    }
    const int hostAndServiceChanges = change.services_size() + change.pools_size() + change.hosts_size() + change.removed_services_size()
        + change.removed_pools_size() + change.removed_hosts_size();
    if (hostAndServiceChanges > 0) {
        recountPools();
    }
}

void fleet_state::removeConfiguredKeys(const std::string &team)
{
    const team_spec *spec = m_config.findTeam(team);
    if (spec != nullptr) {
        for (const std::string &hash : spec->keyHashes) {
            m_teamOfConfiguredKey.erase(hash);
        }
    }
}

void fleet_state::updateTeams(const wire::config_change &change)
{
    for (const wire::team_image &team : change.teams()) {
        m_permitAllocations.setLimit(teamResource(team.name()), team.limit());
        for (const std::string &hash : team.key_hashes()) {
            m_teamOfConfiguredKey[hash] = team.name();
        }
    }
    for (const std::string &team : change.removed_teams()) {
        m_permitAllocations.setLimit(teamResource(team), 0);
        m_permitAllocations.erase(teamResource(team));
    }
}

void fleet_state::updateHost(const host_spec &host)
{
    const auto [position, inserted] = m_hosts.try_emplace(host.name);
    host_status &status = position->second;
    status.removed = false;
    if (inserted) {
        status.pool = host.pool;
    }
    // The host moves later, when the budgets allow it to be drained.
    status.wantedPool = status.pool == host.pool ? std::string() : host.pool;
    updateSlotLimit(host.name);
}

bool fleet_state::isLive(session_id session) const
{
    const auto found = m_sessions.find(session);
    return found != m_sessions.end() && !found->second.ended;
}

bool fleet_state::holdsClaimRanges(session_id session) const
{
    for (std::uint32_t range = 0; range < CLAIM_RANGE_COUNT; ++range) {
        if (m_permitAllocations.heldBy(rangeResource(range), session) > 0) {
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

const team_spec *fleet_state::teamOfKeyHash(const std::string &apiKeyHash) const
{
    const auto change = m_keyChanges.find(apiKeyHash);
    if (change != m_keyChanges.end()) {
        return change->second.withdrawn() ? nullptr : m_config.findTeam(change->second.team());
    }
    const auto known = m_teamOfConfiguredKey.find(apiKeyHash);
    return known != m_teamOfConfiguredKey.end() && equalInConstantTime(known->first, apiKeyHash) ? m_config.findTeam(known->second)
                                                                                                 : nullptr;
}

bool fleet_state::isKeyWithdrawn(const std::string &apiKeyHash) const
{
    const auto change = m_keyChanges.find(apiKeyHash);
    return change != m_keyChanges.end() && change->second.withdrawn();
}

const wire::claim *fleet_state::findClaim(const std::string &idempotencyKeyHash) const
{
    const auto found = m_claims.find(idempotencyKeyHash);
    return found == m_claims.end() ? nullptr : &found->second;
}

wall_ms fleet_state::lastSessionStart(const std::string &host) const
{
    const auto found = m_lastSessionStart.find(host);
    return found == m_lastSessionStart.end() ? 0 : found->second;
}

wall_ms fleet_state::claimRangeFence(std::uint32_t range) const
{
    const auto found = m_claimRangeFences.find(range);
    return found == m_claimRangeFences.end() ? 0 : found->second;
}

} // namespace jujubespool

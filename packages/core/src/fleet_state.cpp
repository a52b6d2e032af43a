#include <jujubespool/core/fleet_state.h>

#include "internal/apply_result.h"

#include <algorithm>
#include <fmt/format.h>
#include <jujubespool/core/config_change.h>
#include <jujubespool/core/hashing.h>

namespace jujubespool {

using internal::accept;
using internal::isOut;
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

apply_result fleet_state::applyBody(log_offset offset, const wire::record &record)
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

apply_result fleet_state::openSession(const wire::record &record)
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

apply_result fleet_state::endSession(const wire::session_end &end, session_id writer)
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

apply_result fleet_state::publish(log_offset offset, const wire::edition &edition)
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
        adoptChange(diffConfigurations(m_config, *next));
        m_editionOffset = offset;
        return accept();
    }
    if (const auto objection = removalObjection(edition.change())) {
        return reject("{}", *objection);
    }
    if (!applyLinePatch(m_editionLines, edition.patch())) {
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

apply_result fleet_state::changeKey(const wire::key_change &change)
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

apply_result fleet_state::takePermits(const wire::permit_take &take, session_id writer)
{
    std::uint32_t refused = 0;
    const std::string &dataCenter = m_sessions.at(writer).open.data_center();
    for (const wire::permit_entry &entry : take.entries()) {
        const resource_allocation *account = m_permitAllocations.find(entry.resource());
        const bool eligible = account != nullptr && (account->dataCenter.empty() || account->dataCenter == dataCenter);
        if (!eligible || !m_permitAllocations.allocate(entry.resource(), writer, entry.count())) {
            ++refused;
        }
    }
    return refused == 0 ? accept() : reject("{} of {} permits were not unassigned", refused, take.entries_size());
}

apply_result fleet_state::givePermits(const wire::permit_give &give, session_id writer)
{
    const bool handBack = give.to_session() == NO_SESSION || !isLive(give.to_session());
    std::uint32_t refused = 0;
    for (const wire::permit_entry &entry : give.entries()) {
        // A receiver that has ended cannot use them, so they become unassigned.
        if (!m_permitAllocations.transfer(entry.resource(), writer, handBack ? NO_SESSION : give.to_session(), entry.count())) {
            ++refused;
        }
        settleResource(entry.resource());
    }
    return refused == 0 ? accept() : reject("{} of {} permits were not held", refused, give.entries_size());
}

apply_result fleet_state::reclaimPermits(const wire::permit_reclaim &reclaim)
{
    const auto found = m_sessions.find(reclaim.session());
    if (found == m_sessions.end() || !found->second.ended) {
        return reject("session {:x} has not ended", reclaim.session());
    }
    for (std::uint32_t range = 0; range < CLAIM_RANGE_COUNT; ++range) {
        if (m_permitAllocations.transfer(rangeResource(range), reclaim.session(), NO_SESSION, 1)) {
            m_fences[range] = std::max(m_fences[range], reclaim.fenced_ms());
        }
    }
    if (reclaim.ranges_only()) {
        return accept();
    }
    const std::vector<std::string> released = m_permitAllocations.releaseAll(reclaim.session());
    m_sessions.erase(found);
    for (const std::string &resource : released) {
        settleResource(resource);
    }
    return accept();
}

apply_result fleet_state::recordClaims(const wire::claim_batch &batch, session_id writer)
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
    if (claim.key_hash().empty() || m_permitAllocations.heldBy(rangeResource(claimRangeOf(claim.key_hash())), writer) == 0) {
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

void fleet_state::adoptChange(const wire::config_change &change)
{
    for (const wire::team_image &team : change.teams()) {
        forgetKeys(team.name());
    }
    for (const std::string &team : change.removed_teams()) {
        forgetKeys(team);
    }
    applyConfigChange(m_config, change);
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
        m_permitAllocations.setLimit(teamResource(team.name()), team.limit());
        for (const std::string &hash : team.key_hashes()) {
            m_configKeys[hash] = team.name();
        }
    }
    for (const std::string &team : change.removed_teams()) {
        m_permitAllocations.setLimit(teamResource(team), 0);
        m_permitAllocations.erase(teamResource(team));
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

const team_spec *fleet_state::teamOfKeyHash(const std::string &keyHash) const
{
    const auto change = m_keys.find(keyHash);
    if (change != m_keys.end()) {
        return change->second.withdrawn() ? nullptr : m_config.findTeam(change->second.team());
    }
    const auto known = m_configKeys.find(keyHash);
    return known != m_configKeys.end() && equalInConstantTime(known->first, keyHash) ? m_config.findTeam(known->second) : nullptr;
}

bool fleet_state::isKeyWithdrawn(const std::string &keyHash) const
{
    const auto change = m_keys.find(keyHash);
    return change != m_keys.end() && change->second.withdrawn();
}

const wire::claim *fleet_state::findClaim(const std::string &keyHash) const
{
    const auto found = m_claims.find(keyHash);
    return found == m_claims.end() ? nullptr : &found->second;
}

wall_ms fleet_state::lastSessionStart(const std::string &host) const
{
    const auto found = m_lastStart.find(host);
    return found == m_lastStart.end() ? 0 : found->second;
}

wall_ms fleet_state::claimRangeFence(std::uint32_t range) const
{
    const auto found = m_fences.find(range);
    return found == m_fences.end() ? 0 : found->second;
}

} // namespace jujubespool

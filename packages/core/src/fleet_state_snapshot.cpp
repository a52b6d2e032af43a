// Serializes and restores a fleet_state.
#include <jujubespool/core/fleet_state.h>

#include <jujubespool/core/config_change.h>

namespace jujubespool {

namespace {

void writeWave(const wave_status &wave, wire::wave_image &image)
{
    *image.mutable_start() = wave.start;
    image.set_state(static_cast<std::uint32_t>(wave.state));
    image.set_reason(wave.reason);
    image.mutable_done()->Assign(wave.done.begin(), wave.done.end());
    image.mutable_failed()->Assign(wave.failed.begin(), wave.failed.end());
    image.mutable_excluded()->Assign(wave.excluded.begin(), wave.excluded.end());
}

wave_status readWave(const wire::wave_image &image)
{
    wave_status wave;
    wave.start = image.start();
    wave.state = static_cast<wave_state>(image.state());
    wave.reason = image.reason();
    wave.done = { image.done().begin(), image.done().end() };
    wave.failed = { image.failed().begin(), image.failed().end() };
    wave.excluded = { image.excluded().begin(), image.excluded().end() };
    return wave;
}

void writeHost(const std::string &name, const host_status &status, wire::host_image &image)
{
    image.set_host(name);
    image.set_pool(status.pool);
    image.set_state(static_cast<std::uint32_t>(status.state));
    image.set_move_to_pool(status.moveToPool);
    image.set_wave(status.wave);
    image.set_version(status.version);
    image.set_wanted_pool(status.wantedPool);
}

} // namespace

std::string fleet_state::serialize() const
{
    wire::fleet_snapshot image;
    image.set_next_offset(m_nextOffset);
    image.set_edition_offset(m_editionOffset);
    image.set_edition_text(editionText());
    image.set_newest_issued_ms(m_newestIssueTime);
    for (const auto &[id, session] : m_sessions) {
        wire::session_image &sessionImage = *image.add_sessions();
        sessionImage.set_id(id);
        *sessionImage.mutable_open() = session.open;
        sessionImage.set_last_sequence(session.lastSequence);
        sessionImage.set_ended(session.ended);
    }
    for (const auto &[name, account] : m_permitAllocations.resources()) {
        for (const permit_holding &held : account.holdings) {
            wire::holding_image &holdingImage = *image.add_holdings();
            holdingImage.set_resource(name);
            holdingImage.set_session(held.session);
            holdingImage.set_count(held.count);
        }
    }
    for (const auto &[name, status] : m_hosts) {
        writeHost(name, status, *image.add_hosts());
    }
    for (const auto &[name, wave] : m_waves) {
        writeWave(wave, *image.add_waves());
    }
    const std::map<std::string, wire::key_change> keys(m_keyChanges.begin(), m_keyChanges.end());
    for (const auto &[hash, change] : keys) {
        *image.add_keys() = change;
    }
    for (const auto &[issued, hash] : m_claimsByIssueTime) {
        *image.add_claims() = m_claims.at(hash);
    }
    for (const auto &[range, fence] : m_claimRangeFences) {
        wire::range_fence &fenceImage = *image.add_fences();
        fenceImage.set_range(range);
        fenceImage.set_fenced_ms(fence);
    }
    for (const auto &[host, started] : m_lastSessionStart) {
        wire::last_start &startImage = *image.add_starts();
        startImage.set_host(host);
        startImage.set_started_ms(started);
    }
    return image.SerializeAsString();
}

std::optional<fleet_state> fleet_state::load(const std::string &bytes, failure &reason)
{
    wire::fleet_snapshot image;
    if (!image.ParseFromString(bytes)) {
        reason = { failure_step::log, {}, "the snapshot cannot be decoded" };
        return std::nullopt;
    }
    fleet_state state;
    for (const wire::host_image &hostImage : image.hosts()) {
        const host_state hostState = static_cast<host_state>(hostImage.state());
        state.m_hosts[hostImage.host()] = {
            hostImage.pool(), hostState, hostImage.move_to_pool(), hostImage.wave(), hostImage.wanted_pool(), hostImage.version(), false
        };
    }
    for (const wire::holding_image &holdingImage : image.holdings()) {
        state.m_permitAllocations.restore(holdingImage.resource(), holdingImage.session(), holdingImage.count());
    }
    if (image.edition_offset() != 0 || !image.edition_text().empty()) {
        std::vector<config_problem> problems;
        const std::optional<configuration> config = parseConfiguration(image.edition_text(), problems);
        if (!config) {
            reason = { failure_step::log, {}, "the configuration in the snapshot is invalid: " + problems.front().message };
            return std::nullopt;
        }
        state.updateConfiguration(diffConfigurations(configuration(), *config));
        for (const wire::host_image &hostImage : image.hosts()) {
            host_status &status = state.m_hosts[hostImage.host()];
            status.wantedPool = hostImage.wanted_pool();
            status.removed = config->findHost(hostImage.host()) == nullptr;
        }
        state.recountPools();
    }
    state.m_editionOffset = image.edition_offset();
    state.m_editionLines = splitLines(image.edition_text());
    for (const wire::session_image &sessionImage : image.sessions()) {
        state.m_sessions[sessionImage.id()] = { sessionImage.open(), sessionImage.last_sequence(), sessionImage.ended() };
    }
    for (const wire::wave_image &waveImage : image.waves()) {
        state.m_waves[waveImage.start().name()] = readWave(waveImage);
    }
    for (const wire::key_change &change : image.keys()) {
        state.m_keyChanges[change.key_hash()] = change;
    }
    for (const wire::claim &claim : image.claims()) {
        state.m_claims[claim.key_hash()] = claim;
        state.m_claimsByIssueTime.emplace(claim.issued_ms(), claim.key_hash());
    }
    for (const wire::range_fence &fenceImage : image.fences()) {
        state.m_claimRangeFences[fenceImage.range()] = fenceImage.fenced_ms();
    }
    for (const wire::last_start &startImage : image.starts()) {
        state.m_lastSessionStart[startImage.host()] = startImage.started_ms();
    }
    state.m_newestIssueTime = image.newest_issued_ms();
    state.m_nextOffset = image.next_offset();
    return state;
}

} // namespace jujubespool

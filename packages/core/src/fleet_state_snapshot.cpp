// Writes and reads the complete image of a fleet_state.
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
    image.set_newest_issued_ms(m_newestIssued);
    for (const auto &[id, session] : m_sessions) {
        wire::session_image &item = *image.add_sessions();
        item.set_id(id);
        *item.mutable_open() = session.open;
        item.set_last_sequence(session.lastSequence);
        item.set_ended(session.ended);
    }
    for (const auto &[name, account] : m_permitAllocations.resources()) {
        for (const permit_holding &part : account.holdings) {
            wire::holding_image &item = *image.add_holdings();
            item.set_resource(name);
            item.set_session(part.session);
            item.set_count(part.count);
        }
    }
    for (const auto &[name, status] : m_hosts) {
        writeHost(name, status, *image.add_hosts());
    }
    for (const auto &[name, wave] : m_waves) {
        writeWave(wave, *image.add_waves());
    }
    const std::map<std::string, wire::key_change> keys(m_keys.begin(), m_keys.end());
    for (const auto &[hash, change] : keys) {
        *image.add_keys() = change;
    }
    for (const auto &[issued, hash] : m_claimAges) {
        *image.add_claims() = m_claims.at(hash);
    }
    for (const auto &[range, fence] : m_fences) {
        wire::range_fence &item = *image.add_fences();
        item.set_range(range);
        item.set_fenced_ms(fence);
    }
    for (const auto &[host, started] : m_lastStart) {
        wire::last_start &item = *image.add_starts();
        item.set_host(host);
        item.set_started_ms(started);
    }
    return image.SerializeAsString();
}

std::optional<fleet_state> fleet_state::load(const std::string &bytes, failure &reason)
{
    wire::fleet_snapshot image;
    if (!image.ParseFromString(bytes)) {
        reason = { failure_step::log, {}, "the snapshot does not decode" };
        return std::nullopt;
    }
    fleet_state state;
    for (const wire::host_image &item : image.hosts()) {
        const host_state hostState = static_cast<host_state>(item.state());
        state.m_hosts[item.host()]
            = { item.pool(), hostState, item.move_to_pool(), item.wave(), item.wanted_pool(), item.version(), false };
    }
    for (const wire::holding_image &item : image.holdings()) {
        state.m_permitAllocations.restore(item.resource(), item.session(), item.count());
    }
    if (image.edition_offset() != 0 || !image.edition_text().empty()) {
        std::vector<config_problem> problems;
        const std::optional<configuration> config = parseConfiguration(image.edition_text(), problems);
        if (!config) {
            reason = { failure_step::log, {}, "the snapshot's configuration is invalid: " + problems.front().message };
            return std::nullopt;
        }
        state.adoptChange(diffConfigurations(configuration(), *config));
        for (const wire::host_image &item : image.hosts()) {
            host_status &status = state.m_hosts[item.host()];
            status.wantedPool = item.wanted_pool();
            status.removed = config->findHost(item.host()) == nullptr;
        }
        state.indexPools();
    }
    state.m_editionOffset = image.edition_offset();
    state.m_editionLines = splitLines(image.edition_text());
    for (const wire::session_image &item : image.sessions()) {
        state.m_sessions[item.id()] = { item.open(), item.last_sequence(), item.ended() };
    }
    for (const wire::wave_image &item : image.waves()) {
        state.m_waves[item.start().name()] = readWave(item);
    }
    for (const wire::key_change &item : image.keys()) {
        state.m_keys[item.key_hash()] = item;
    }
    for (const wire::claim &item : image.claims()) {
        state.m_claims[item.key_hash()] = item;
        state.m_claimAges.emplace(item.issued_ms(), item.key_hash());
    }
    for (const wire::range_fence &item : image.fences()) {
        state.m_fences[item.range()] = item.fenced_ms();
    }
    for (const wire::last_start &item : image.starts()) {
        state.m_lastStart[item.host()] = item.started_ms();
    }
    state.m_newestIssued = image.newest_issued_ms();
    state.m_nextOffset = image.next_offset();
    return state;
}

} // namespace jujubespool

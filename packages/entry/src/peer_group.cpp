#include <jujubespool/entry/peer_group.h>

#include <jujubespool/core/hashing.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds SUSPICION_TIMEOUT{ 500 };
constexpr milliseconds RELAY_REQUEST_INTERVAL{ 100 };
// Every heartbeat carries the run time values that have changed. Each tenth carries all values, to make up for lost heartbeats.
constexpr std::uint64_t HEARTBEATS_PER_FULL_USAGE = 10;

session_id seedPeerId(const std::string &address)
{
    session_id id = 0;
    for (const char c : hashParts({ address }).substr(0, 8)) {
        id = id << 8 | static_cast<unsigned char>(c);
    }
    return id;
}

} // namespace

peer_group::peer_group(time_source &clock, log_session &session, peer_transport &transport, const entry_settings &settings)
    : m_clock(clock)
    , m_session(session)
    , m_settings(settings)
    , m_transport(transport)
{
    transport.setReceiver(*this);
}

void peer_group::start(dispatcher &requests, const std::string &endpoint)
{
    m_endpoint = endpoint;
    m_dispatcher = &requests;
    for (const std::string &address : m_settings.peers) {
        m_seedPeers.insert(seedPeerId(address));
        m_transport.connect(seedPeerId(address), "tcp://" + address);
    }
    m_clock.repeat(HEARTBEAT_INTERVAL, [this] { sendHeartbeats(); });
}

void peer_group::subscribe(wire::peer_message::BodyCase kind, message_handler callback)
{
    m_handlers[kind].push_back(std::move(callback));
}

void peer_group::send(session_id peer, wire::peer_message message)
{
    message.set_from_session(m_session.id());
    message.set_to_session(m_seedPeers.count(peer) > 0 ? NO_SESSION : peer);
    m_transport.send(peer, message);
}

void peer_group::broadcast(const wire::peer_message &message)
{
    for (const auto &[id, peer] : m_peers) {
        send(id, message);
    }
}

peer_group::peer_record &peer_group::findOrAddPeer(session_id id, const std::string &host, const std::string &dataCenter,
                                                   const std::string &endpoint)
{
    const auto [position, inserted] = m_peers.try_emplace(id);
    if (inserted) {
        position->second.host = host;
        position->second.dataCenter = dataCenter;
        position->second.detector = std::make_unique<fixed_timeout_detector>(SUSPICION_TIMEOUT, m_clock.now());
        m_transport.connect(id, endpoint);
        logEvent(log_level::info, "peer-known", { { "host", host }, { "data_center", dataCenter }, { "endpoint", endpoint } });
    }
    return position->second;
}

void peer_group::onStateChanged()
{
    for (const auto &[id, session] : m_session.state().sessions()) {
        if (id != m_session.id() && !session.ended) {
            findOrAddPeer(id, session.open.host(), session.open.data_center(), session.open.peer_endpoint()).isOnLog = true;
        }
    }
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (peer->second.isOnLog && !m_session.state().isLive(peer->first)) {
            logEvent(log_level::info, "peer-ended", { { "host", peer->second.host } });
            m_transport.disconnect(peer->first);
            peer = m_peers.erase(peer);
        } else {
            ++peer;
        }
    }
}

void peer_group::onPeerMessage(const wire::peer_message &message)
{
    const bool forOtherSession = message.to_session() != NO_SESSION && message.to_session() != m_session.id();
    if (forOtherSession || message.from_session() == m_session.id()) {
        return;
    }
    switch (message.body_case()) {
    case wire::peer_message::kBeat:
        onHeartbeat(message.from_session(), message.beat());
        return;
    case wire::peer_message::kRelay:
        m_session.consumeRelayedRecords(message.relay());
        return;
    case wire::peer_message::kRelayAsk:
        onRelayRequest(message.from_session(), message.relay_ask());
        return;
    default:
        break;
    }
    for (const message_handler &callback : m_handlers[message.body_case()]) {
        callback(message);
    }
}

void peer_group::onHeartbeat(session_id from, const wire::heartbeat &beat)
{
    const instant now = m_clock.now();
    peer_record &peer = findOrAddPeer(from, beat.host(), beat.data_center(), beat.peer_endpoint());
    peer.detector->onHeartbeat(beat.counter(), now);
    peer.isStopping = beat.stopping();
    peer.missesRecords = beat.misses_records();
    for (const wire::service_time &time : beat.charged()) {
        std::uint64_t &reportedUs = peer.chargedRunUs[{ time.service(), time.team() }];
        if (time.run_us() > reportedUs) {
            m_dispatcher->chargeRemote({ time.service(), time.team(), time.run_us() - reportedUs }, m_session.state());
            reportedUs = time.run_us();
        }
    }
    m_session.recordPeerOffset(beat.next_offset(), now);
    requestRecords(from, beat.next_offset());
}

void peer_group::requestRecords(session_id peer, log_offset peerNextOffset)
{
    const instant now = m_clock.now();
    const bool behind = peerNextOffset > m_session.replayer().nextOffset() || !m_session.replayer().isCurrent();
    if (!behind || m_session.isLogAvailable(now) || now - m_lastRelayRequestAt < RELAY_REQUEST_INTERVAL) {
        return;
    }
    m_lastRelayRequestAt = now;
    wire::peer_message message;
    message.mutable_relay_ask()->set_from_offset(m_session.replayer().isCurrent() ? m_session.replayer().nextOffset() : 0);
    send(peer, message);
}

void peer_group::onRelayRequest(session_id from, const wire::relay_request &request)
{
    wire::peer_message message;
    *message.mutable_relay() = m_session.recentRecords(request.from_offset());
    send(from, message);
}

void peer_group::addRunTimeUsage(wire::heartbeat &beat)
{
    const bool full = m_heartbeatCounter % HEARTBEATS_PER_FULL_USAGE == 0;
    for (const run_time_usage &time : m_dispatcher->runTimeUsage()) {
        std::uint64_t &sentUs = m_sentRunUs[{ time.service, time.team }];
        if (!full && sentUs == time.runUs) {
            continue;
        }
        sentUs = time.runUs;
        wire::service_time &usage = *beat.add_charged();
        usage.set_service(time.service);
        usage.set_team(time.team);
        usage.set_run_us(time.runUs);
    }
}

void peer_group::sendHeartbeats()
{
    wire::peer_message message;
    wire::heartbeat &beat = *message.mutable_beat();
    beat.set_host(m_settings.host);
    beat.set_data_center(m_settings.dataCenter);
    beat.set_peer_endpoint(m_endpoint);
    beat.set_counter(++m_heartbeatCounter);
    beat.set_next_offset(m_session.replayer().nextOffset());
    beat.set_stopping(m_stopping);
    beat.set_misses_records(!m_session.replayer().isCurrent());
    addRunTimeUsage(beat);
    broadcast(message);
    if (!m_session.isCaughtUp()) {
        // Before the log was read, the peers in the settings are the only known ones.
        for (const session_id seed : m_seedPeers) {
            send(seed, message);
        }
    }
}

std::vector<session_id> peer_group::reachablePeers(instant now) const
{
    std::vector<session_id> peers;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isStopping && !peer.detector->suspects(now)) {
            peers.push_back(id);
        }
    }
    return peers;
}

bool peer_group::isSuspected(session_id peer, instant now) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() || found->second.detector->suspects(now);
}

bool peer_group::missesRecords(session_id peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.missesRecords;
}

std::string peer_group::hostOf(session_id peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::string() : found->second.host;
}

std::string peer_group::dataCenterOf(session_id peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::string() : found->second.dataCenter;
}

} // namespace jujubespool

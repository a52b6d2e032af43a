#include <jujubespool/entry/peer_group.h>

#include <jujubespool/core/hashing.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds SUSPECT_AFTER{ 500 };
constexpr milliseconds RELAY_INTERVAL{ 100 };
// Heartbeats between two that repeat every charge, so that a lost one is made good.
constexpr std::uint64_t FULL_CHARGES_EVERY = 10;

session_id seedId(const std::string &address)
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

void peer_group::start(dispatcher &work, const std::string &endpoint)
{
    m_endpoint = endpoint;
    m_work = &work;
    for (const std::string &address : m_settings.peers) {
        m_seeds.insert(seedId(address));
        m_transport.connect(seedId(address), "tcp://" + address);
    }
    m_clock.repeat(HEARTBEAT_INTERVAL, [this] { sendHeartbeats(); });
}

void peer_group::subscribe(wire::peer_message::BodyCase kind, handler call)
{
    m_handlers[kind].push_back(std::move(call));
}

void peer_group::send(session_id peer, wire::peer_message message)
{
    message.set_from_session(m_session.id());
    message.set_to_session(m_seeds.count(peer) > 0 ? NO_SESSION : peer);
    m_transport.send(peer, message);
}

void peer_group::broadcast(const wire::peer_message &message)
{
    for (const auto &[id, peer] : m_peers) {
        send(id, message);
    }
}

peer_group::peer_record &peer_group::ensurePeer(session_id id, const std::string &host, const std::string &dataCenter,
                                                const std::string &endpoint)
{
    const auto [position, fresh] = m_peers.try_emplace(id);
    if (fresh) {
        position->second.host = host;
        position->second.dataCenter = dataCenter;
        position->second.detector = std::make_unique<fixed_timeout_detector>(SUSPECT_AFTER, m_clock.now());
        m_transport.connect(id, endpoint);
        logEvent(log_level::info, "peer-known", { { "host", host }, { "data_center", dataCenter }, { "endpoint", endpoint } });
    }
    return position->second;
}

void peer_group::onStateChanged()
{
    for (const auto &[id, session] : m_session.state().sessions()) {
        if (id != m_session.id() && !session.ended) {
            ensurePeer(id, session.open.host(), session.open.data_center(), session.open.peer_endpoint()).onLog = true;
        }
    }
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (peer->second.onLog && !m_session.state().isLive(peer->first)) {
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
    const bool forOther = message.to_session() != NO_SESSION && message.to_session() != m_session.id();
    if (forOther || message.from_session() == m_session.id()) {
        return;
    }
    switch (message.body_case()) {
    case wire::peer_message::kBeat:
        onHeartbeat(message.from_session(), message.beat());
        return;
    case wire::peer_message::kRelay:
        m_session.offerRelayed(message.relay());
        return;
    case wire::peer_message::kRelayAsk:
        onRelayRequest(message.from_session(), message.relay_ask());
        return;
    default:
        break;
    }
    for (const handler &call : m_handlers[message.body_case()]) {
        call(message);
    }
}

void peer_group::onHeartbeat(session_id from, const wire::heartbeat &beat)
{
    const instant now = m_clock.now();
    peer_record &peer = ensurePeer(from, beat.host(), beat.data_center(), beat.peer_endpoint());
    peer.detector->onHeartbeat(beat.counter(), now);
    peer.stopping = beat.stopping();
    for (const wire::service_time &time : beat.charged()) {
        std::uint64_t &known = peer.charged[{ time.service(), time.team() }];
        if (time.run_us() > known) {
            m_work->chargeRemote({ time.service(), time.team(), time.run_us() - known }, m_session.state());
            known = time.run_us();
        }
    }
    m_session.notePeerOffset(beat.next_offset(), now);
    askForRecords(from, beat.next_offset());
}

void peer_group::askForRecords(session_id peer, log_offset theirs)
{
    const instant now = m_clock.now();
    const bool behind = theirs > m_session.replay().nextOffset() || !m_session.replay().isCurrent();
    if (!behind || m_session.logAvailable(now) || now - m_askedAt < RELAY_INTERVAL) {
        return;
    }
    m_askedAt = now;
    wire::peer_message message;
    message.mutable_relay_ask()->set_from_offset(m_session.replay().isCurrent() ? m_session.replay().nextOffset() : 0);
    send(peer, message);
}

void peer_group::onRelayRequest(session_id from, const wire::relay_request &request)
{
    wire::peer_message message;
    *message.mutable_relay() = m_session.recent(request.from_offset());
    send(from, message);
}

void peer_group::addCharges(wire::heartbeat &beat)
{
    const bool full = m_counter % FULL_CHARGES_EVERY == 0;
    for (const run_time_usage &time : m_work->runTimeUsage()) {
        std::uint64_t &sent = m_sentCharges[{ time.service, time.team }];
        if (!full && sent == time.runUs) {
            continue;
        }
        sent = time.runUs;
        wire::service_time &item = *beat.add_charged();
        item.set_service(time.service);
        item.set_team(time.team);
        item.set_run_us(time.runUs);
    }
}

void peer_group::sendHeartbeats()
{
    wire::peer_message message;
    wire::heartbeat &beat = *message.mutable_beat();
    beat.set_host(m_settings.host);
    beat.set_data_center(m_settings.dataCenter);
    beat.set_peer_endpoint(m_endpoint);
    beat.set_counter(++m_counter);
    beat.set_next_offset(m_session.replay().nextOffset());
    beat.set_stopping(m_stopping);
    addCharges(beat);
    broadcast(message);
    if (!m_session.caughtUp()) {
        // Peers of the settings are the only ones known before the log was read.
        for (const session_id seed : m_seeds) {
            send(seed, message);
        }
    }
}

std::vector<session_id> peer_group::reachable(instant now) const
{
    std::vector<session_id> peers;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.stopping && !peer.detector->suspects(now)) {
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

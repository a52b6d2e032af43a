// The other entry hosts: connections, heartbeats, failure detection and the relay of log records.
//
//     peer_group peers(clock, session, transport, settings);
//     peers.subscribe(wire::peer_message::kLoan, [](const wire::peer_message &message) { ... });
//     peers.start(dispatcher, endpoint);
//     peers.send(peer, message);
//
// A peer is added when its session is opened on the log, or when its first heartbeat arrives before that was read.
#pragma once

#include <functional>
#include <jujubespool/core/dispatcher.h>
#include <jujubespool/core/failure_detector.h>
#include <jujubespool/entry/log_session.h>
#include <jujubespool/wire/peer_transport.h>
#include <map>
#include <memory>
#include <set>

namespace jujubespool {

constexpr milliseconds HEARTBEAT_INTERVAL{ 100 };

class peer_group : private peer_receiver
{
public:
    using message_handler = std::function<void(const wire::peer_message &)>;

    peer_group(time_source &clock, log_session &session, peer_transport &transport, const entry_settings &settings);

    // Connects to the peers in the settings and starts heartbeats, which carry the endpoint at which this host receives messages and
    // the run time that the dispatcher has measured.
    void start(dispatcher &requests, const std::string &endpoint);

    void subscribe(wire::peer_message::BodyCase kind, message_handler callback);
    void send(session_id peer, wire::peer_message message);
    void broadcast(const wire::peer_message &message);

    // Adds and removes peers according to the sessions on the log.
    void onStateChanged();

    // Peers that are neither suspected nor stopping.
    std::vector<session_id> reachablePeers(instant now) const;
    bool isSuspected(session_id peer, instant now) const;
    // Whether the peer has reported that it misses records of the log and waits for a snapshot.
    bool missesRecords(session_id peer) const;
    // Host name of the peer, or an empty string if it is unknown.
    std::string hostOf(session_id peer) const;
    std::string dataCenterOf(session_id peer) const;

    void setStopping()
    {
        m_stopping = true;
    }
    std::uint64_t sentBytes() const
    {
        return m_transport.sentBytes();
    }

private:
    struct peer_record
    {
        std::string host;
        std::string dataCenter;
        std::unique_ptr<failure_detector> detector;
        // Run time in microseconds that the peer has reported, by service and team.
        std::map<std::pair<std::string, std::string>, std::uint64_t> chargedRunUs;
        bool isStopping = false;
        bool missesRecords = false;
        bool isOnLog = false;
    };

    void onPeerMessage(const wire::peer_message &message) override;
    peer_record &findOrAddPeer(session_id id, const std::string &host, const std::string &dataCenter, const std::string &endpoint);
    void onHeartbeat(session_id from, const wire::heartbeat &beat);
    void onRelayRequest(session_id from, const wire::relay_request &request);
    void sendHeartbeats();
    void addRunTimeUsage(wire::heartbeat &beat);
    void requestRecords(session_id peer, log_offset peerNextOffset);

    time_source &m_clock;
    log_session &m_session;
    const entry_settings &m_settings;
    peer_transport &m_transport;
    dispatcher *m_dispatcher = nullptr;
    std::string m_endpoint;
    std::map<session_id, peer_record> m_peers;
    std::set<session_id> m_seedPeers;
    std::map<int, std::vector<message_handler>> m_handlers;
    // Run time in microseconds that was last sent to the peers, by service and team.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_sentRunUs;
    std::uint64_t m_heartbeatCounter = 0;
    instant m_lastRelayRequestAt;
    bool m_stopping = false;
};

} // namespace jujubespool

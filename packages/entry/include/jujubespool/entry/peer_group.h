// The other entry hosts: links, heartbeats, suspicion and the relay of log records.
//
//     peer_group peers(clock, session, settings);
//     peers.subscribe(wire::peer_message::kLoan, [](const wire::peer_message &message) { ... });
//     peers.send(peer, message);
//
// A peer is known from its session on the log, or from its heartbeats while the log does not say yet.
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
    using handler = std::function<void(const wire::peer_message &)>;

    peer_group(time_source &clock, log_session &session, peer_transport &transport, const entry_settings &settings);

    // Starts with the endpoint at which this host receives messages.
    void start(dispatcher &work, const std::string &endpoint);

    void subscribe(wire::peer_message::BodyCase kind, handler call);
    void send(session_id peer, wire::peer_message message);
    void broadcast(const wire::peer_message &message);

    // Follows the sessions of the log.
    void onStateChanged();

    // Peers that can be talked to, suspected ones left out.
    std::vector<session_id> reachable(instant now) const;
    bool isSuspected(session_id peer, instant now) const;
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
        std::map<std::pair<std::string, std::string>, std::uint64_t> charged;
        bool stopping = false;
        bool onLog = false;
    };

    void onPeerMessage(const wire::peer_message &message) override;
    peer_record &ensurePeer(session_id id, const std::string &host, const std::string &dataCenter, const std::string &endpoint);
    void onHeartbeat(session_id from, const wire::heartbeat &beat);
    void onRelayRequest(session_id from, const wire::relay_request &request);
    void sendHeartbeats();
    void addCharges(wire::heartbeat &beat);
    void askForRecords(session_id peer, log_offset theirs);

    time_source &m_clock;
    log_session &m_session;
    const entry_settings &m_settings;
    peer_transport &m_transport;
    dispatcher *m_work = nullptr;
    std::string m_endpoint;
    std::map<session_id, peer_record> m_peers;
    std::set<session_id> m_seeds;
    std::map<int, std::vector<handler>> m_handlers;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_sentCharges;
    std::uint64_t m_counter = 0;
    instant m_askedAt;
    bool m_stopping = false;
};

} // namespace jujubespool

#include <jujubespool/wire/zmq_peer_transport.h>

#include <zmq.hpp>

namespace jujubespool {

namespace {

// Messages queued for one peer; further messages are dropped.
constexpr int MAX_QUEUED_MESSAGES = 4096;
constexpr std::int64_t MAX_MESSAGE_BYTES = 16777216;
// Messages read before other sources of the event loop have their turn.
constexpr int MAX_MESSAGES_PER_PASS = 64;
constexpr int HEARTBEAT_INTERVAL_MS = 500;
constexpr int HEARTBEAT_TIMEOUT_MS = 1200;
constexpr int CONNECT_TIMEOUT_MS = 1000;
constexpr int RECONNECT_INTERVAL_MS = 100;
constexpr int MAX_RECONNECT_INTERVAL_MS = 1000;

// ZeroMQ takes the limit only before the first socket.
zmq::context_t contextOf(int maxSockets)
{
    zmq::context_t context{ 1 };
    if (maxSockets > 0) {
        context.set(zmq::ctxopt::max_sockets, maxSockets);
    }
    return context;
}

} // namespace

struct zmq_peer_transport::sockets
{
    explicit sockets(int limit)
        : context(contextOf(limit))
    {
    }

    zmq::context_t context;
    zmq::socket_t inbound{ context, zmq::socket_type::pull };
    std::map<std::uint64_t, zmq::socket_t> outbound;
};

zmq_peer_transport::zmq_peer_transport(event_base *base, int maxSockets)
    : m_sockets(std::make_unique<sockets>(maxSockets))
    , m_base(base)
{
}

zmq_peer_transport::~zmq_peer_transport()
{
    if (m_event != nullptr) {
        event_free(m_event);
        event_free(m_continueTimer);
    }
}

std::optional<std::string> zmq_peer_transport::bind(const std::string &endpoint, std::string &reason)
{
    zmq::socket_t &inbound = m_sockets->inbound;
    try {
        inbound.set(zmq::sockopt::linger, 0);
        inbound.set(zmq::sockopt::maxmsgsize, MAX_MESSAGE_BYTES);
        inbound.bind(endpoint);
    } catch (const zmq::error_t &error) {
        reason = error.what();
        return std::nullopt;
    }
    const auto descriptor = inbound.get(zmq::sockopt::fd);
    m_event = event_new(m_base, descriptor, EV_READ | EV_PERSIST, onReadable, this);
    event_add(m_event, nullptr);
    m_continueTimer = evtimer_new(m_base, onReadable, this);
    return inbound.get(zmq::sockopt::last_endpoint);
}

void zmq_peer_transport::onReadable(evutil_socket_t, short, void *self)
{
    static_cast<zmq_peer_transport *>(self)->receiveSome();
}

void zmq_peer_transport::receiveSome()
{
    zmq::message_t received;
    for (int read = 0; m_sockets->inbound.recv(received, zmq::recv_flags::dontwait); ++read) {
        wire::peer_message message;
        if (!m_partitioned && m_receiver != nullptr && message.ParseFromArray(received.data(), static_cast<int>(received.size()))) {
            m_receiver->onPeerMessage(message);
        }
        if (read + 1 >= MAX_MESSAGES_PER_PASS) {
            // ZeroMQ's descriptor is edge-triggered, so it does not report the messages that are left.
            const timeval immediately{};
            event_add(m_continueTimer, &immediately);
            return;
        }
    }
}

void zmq_peer_transport::connect(std::uint64_t peer, const std::string &endpoint)
{
    if (m_sockets->outbound.count(peer) > 0) {
        return;
    }
    try {
        zmq::socket_t outbound(m_sockets->context, zmq::socket_type::push);
        outbound.set(zmq::sockopt::linger, 0);
        outbound.set(zmq::sockopt::sndhwm, MAX_QUEUED_MESSAGES);
        outbound.set(zmq::sockopt::immediate, true);
        // A connection can fail without being closed. ZeroMQ's heartbeats detect this and trigger a reconnect.
        outbound.set(zmq::sockopt::heartbeat_ivl, HEARTBEAT_INTERVAL_MS);
        outbound.set(zmq::sockopt::heartbeat_timeout, HEARTBEAT_TIMEOUT_MS);
        outbound.set(zmq::sockopt::connect_timeout, CONNECT_TIMEOUT_MS);
        outbound.set(zmq::sockopt::reconnect_ivl, RECONNECT_INTERVAL_MS);
        outbound.set(zmq::sockopt::reconnect_ivl_max, MAX_RECONNECT_INTERVAL_MS);
        outbound.connect(endpoint);
        m_sockets->outbound.emplace(peer, std::move(outbound));
    } catch (const zmq::error_t &) {
        // An endpoint that ZeroMQ rejects, such as one that cannot be parsed, and one for which it has no socket left are handled as an
        // unreachable peer. connect() may be called again.
    }
}

void zmq_peer_transport::disconnect(std::uint64_t peer)
{
    m_sockets->outbound.erase(peer);
}

bool zmq_peer_transport::send(std::uint64_t peer, const wire::peer_message &message)
{
    const auto found = m_sockets->outbound.find(peer);
    if (m_partitioned || found == m_sockets->outbound.end()) {
        return false;
    }
    const std::string bytes = message.SerializeAsString();
    if (!found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        return false;
    }
    m_sentBytes += bytes.size();
    return true;
}

} // namespace jujubespool

// Sends and receives protobuf messages between processes of the fleet over ZeroMQ.
//
//     zmq_peer_transport transport(base);
//     transport.setReceiver(receiver);
//     const auto endpoint = transport.bind("tcp://127.0.0.1:*", reason);
//     transport.connect(peerSession, peerEndpoint);
//     transport.send(peerSession, message);
//
// Delivery is best effort. A message that cannot be sent is dropped, so an unreachable peer never blocks the sender.
// Messages are read a number at a time, so that timers and other sources of the event loop have their turn while many arrive.
// ZeroMQ's I/O thread transfers the bytes; the receiver is called on the thread of the event loop.
#pragma once

#include <cstdint>
#include <event2/event.h>
#include <jujubespool/wire/peer_transport.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jujubespool {

class zmq_peer_transport : public peer_transport
{
public:
    // At most `maxSockets` sockets are open at once, one of them for what arrives; 0 for ZeroMQ's own limit.
    explicit zmq_peer_transport(event_base *base, int maxSockets = 0);
    ~zmq_peer_transport() override;
    zmq_peer_transport(const zmq_peer_transport &) = delete;
    zmq_peer_transport &operator=(const zmq_peer_transport &) = delete;

    // Listens on the endpoint and returns it with the port that the kernel assigned. On failure returns nothing and sets reason.
    std::optional<std::string> bind(const std::string &endpoint, std::string &reason);

    void setReceiver(peer_receiver &receiver) override
    {
        m_receiver = &receiver;
    }
    void connect(std::uint64_t peer, const std::string &endpoint) override;
    void disconnect(std::uint64_t peer) override;
    bool send(std::uint64_t peer, const wire::peer_message &message) override;

    // While partitioned, messages are dropped in both directions. Used to inject network partitions in tests.
    void setPartitioned(bool partitioned)
    {
        m_partitioned = partitioned;
    }

    std::uint64_t sentBytes() const override
    {
        return m_sentBytes;
    }

private:
    struct sockets;
    static void onReadable(evutil_socket_t, short, void *self);
    void receiveSome();

    peer_receiver *m_receiver = nullptr;
    std::unique_ptr<sockets> m_sockets;
    event *m_event = nullptr;
    // Continues to read in the next pass of the event loop.
    event *m_continueTimer = nullptr;
    event_base *m_base;
    std::uint64_t m_sentBytes = 0;
    bool m_partitioned = false;
};

} // namespace jujubespool

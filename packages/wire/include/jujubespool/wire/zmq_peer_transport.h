// Sends and receives protobuf messages between entry hosts over ZeroMQ.
//
//     zmq_peer_transport link(base);
//     link.setReceiver(receiver);
//     const auto endpoint = link.bind("tcp://127.0.0.1:*", reason);
//     link.connect(peerSession, peerEndpoint);
//     link.send(peerSession, message);
//
// Messages may be lost, and a peer that is away costs nothing: what cannot be sent is dropped. ZeroMQ's
// own thread moves the bytes; the receiver is called on the thread of the event loop.
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
    explicit zmq_peer_transport(event_base *base);
    ~zmq_peer_transport() override;
    zmq_peer_transport(const zmq_peer_transport &) = delete;
    zmq_peer_transport &operator=(const zmq_peer_transport &) = delete;

    // Listens on the endpoint and returns it with the port that the kernel chose, or the reason for failing.
    std::optional<std::string> bind(const std::string &endpoint, std::string &reason);

    void setReceiver(peer_receiver &receiver) override
    {
        m_receiver = &receiver;
    }
    void connect(std::uint64_t peer, const std::string &endpoint) override;
    void disconnect(std::uint64_t peer) override;
    bool send(std::uint64_t peer, const wire::peer_message &message) override;

    // While cut, nothing passes in either direction. For tests of partitions.
    void setPartitioned(bool cut)
    {
        m_cut = cut;
    }

    std::uint64_t sentBytes() const override
    {
        return m_sentBytes;
    }

private:
    struct sockets;
    static void onReadable(evutil_socket_t, short, void *self);
    void drain();

    peer_receiver *m_receiver = nullptr;
    std::unique_ptr<sockets> m_sockets;
    event *m_event = nullptr;
    event_base *m_base;
    std::uint64_t m_sentBytes = 0;
    bool m_cut = false;
};

} // namespace jujubespool

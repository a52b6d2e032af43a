// Interface for exchanging messages with peer processes.
//
//     transport.setReceiver(receiver);
//     transport.connect(peerSession, peerEndpoint);
//     transport.send(peerSession, message);
//
// Messages may be lost, delayed, and reordered relative to messages of other peers, but they are never corrupted.
#pragma once

#include <cstdint>
#include <jujubespool/wire/jujubespool.pb.h>
#include <optional>
#include <string>

namespace jujubespool {

class peer_receiver
{
public:
    virtual ~peer_receiver() = default;
    virtual void onPeerMessage(const wire::peer_message &message) = 0;
};

class peer_transport
{
public:
    virtual ~peer_transport() = default;
    // The receiver must outlive the last event that the transport processes.
    virtual void setReceiver(peer_receiver &receiver) = 0;
    // Connects to the endpoint of the peer, which is identified by its session.
    virtual void connect(std::uint64_t peer, const std::string &endpoint) = 0;
    virtual void disconnect(std::uint64_t peer) = 0;
    // Queues the message. Returns false if it was certainly not sent; true does not imply delivery.
    virtual bool send(std::uint64_t peer, const wire::peer_message &message) = 0;
    // Total serialized size of the messages sent so far, without protocol overhead.
    virtual std::uint64_t sentBytes() const = 0;
};

} // namespace jujubespool

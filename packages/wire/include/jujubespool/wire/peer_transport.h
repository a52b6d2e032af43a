// How messages travel between entry hosts.
//
//     transport.setReceiver(receiver);
//     transport.connect(peerSession, peerEndpoint);
//     transport.send(peerSession, message);
//
// Messages may be lost, delayed and reordered against other peers' messages, but they are not changed.
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
    // The receiver must outlive the transport's last event.
    virtual void setReceiver(peer_receiver &receiver) = 0;
    virtual void connect(std::uint64_t peer, const std::string &endpoint) = 0;
    virtual void disconnect(std::uint64_t peer) = 0;
    // Returns false when the message certainly was not sent.
    virtual bool send(std::uint64_t peer, const wire::peer_message &message) = 0;
    virtual std::uint64_t sentBytes() const = 0;
};

} // namespace jujubespool

// A peer transport for tests: records the open connections and the messages that are sent.
//
//     recording_transport transport;
//     peer_tracker peers(transport, 1, log);
//     transport.sent;      // pairs of receiver and message
#pragma once

#include <jujubespool/wire/peer_transport.h>
#include <set>
#include <utility>
#include <vector>

namespace jujubespool {

class recording_transport : public peer_transport
{
public:
    void setReceiver(peer_receiver &) override
    {
    }
    void connect(std::uint64_t peer, const std::string &) override
    {
        connected.insert(peer);
    }
    void disconnect(std::uint64_t peer) override
    {
        connected.erase(peer);
    }
    bool send(std::uint64_t peer, const wire::peer_message &message) override
    {
        if (reachable && connected.count(peer) > 0) {
            sent.emplace_back(peer, message);
            return true;
        }
        return false;
    }
    std::uint64_t sentBytes() const override
    {
        return 0;
    }

    bool reachable = true;
    std::set<std::uint64_t> connected;
    std::vector<std::pair<std::uint64_t, wire::peer_message>> sent;
};

} // namespace jujubespool

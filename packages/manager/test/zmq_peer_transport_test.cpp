#include <criterion/criterion.h>
#include <event2/event.h>
#include <jujubespool/wire/zmq_peer_transport.h>

namespace {

using namespace jujubespool;

constexpr int MAX_SOCKETS = 4;
constexpr std::uint64_t LIVE_PEER = 99;
// Nothing listens there.
const std::string DEAD_ENDPOINT = "tcp://127.0.0.1:1";
constexpr int MAX_ATTEMPTS = 500;

void passTime(event_base *base)
{
    const timeval pause{ 0, 10000 };
    event_base_loopexit(base, &pause);
    event_base_dispatch(base);
}

// Returns whether a message was handed to the peer's connection within some seconds.
bool reaches(zmq_peer_transport &transport, const std::string &endpoint, event_base *base)
{
    for (int attempt = 0; attempt < MAX_ATTEMPTS; ++attempt) {
        transport.connect(LIVE_PEER, endpoint);
        if (transport.send(LIVE_PEER, wire::peer_message())) {
            return true;
        }
        passTime(base);
    }
    return false;
}

} // namespace

// Guards against LOST of review/6: without a socket left, an exception ended each process that became the owner.
Test(zmq_peer_transport, peerWithoutASocketIsUnreachableUntilAnotherOneIsClosed)
{
    event_base *base = event_base_new();
    {
        std::string reason;
        zmq_peer_transport receiver(base);
        const std::optional<std::string> endpoint = receiver.bind("tcp://127.0.0.1:*", reason);
        cr_assert(endpoint.has_value(), "%s", reason.c_str());
        zmq_peer_transport transport(base, MAX_SOCKETS);
        cr_assert(transport.bind("tcp://127.0.0.1:*", reason).has_value(), "%s", reason.c_str());
        for (std::uint64_t peer = 1; peer <= 3 * MAX_SOCKETS; ++peer) {
            transport.connect(peer, DEAD_ENDPOINT);
        }
        transport.connect(LIVE_PEER, *endpoint);
        passTime(base);
        cr_assert_not(transport.send(LIVE_PEER, wire::peer_message()));
        for (std::uint64_t peer = 1; peer <= 3 * MAX_SOCKETS; ++peer) {
            transport.disconnect(peer);
        }
        cr_assert(reaches(transport, *endpoint, base));
    }
    event_base_free(base);
}

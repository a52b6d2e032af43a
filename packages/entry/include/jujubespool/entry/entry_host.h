// The process of an entry host: an entry_node, its network interfaces and a supervisor that restarts failed listeners.
//
//     entry_host host(loop, settings);
//     failure reason;
//     if (host.start(reason)) {
//         loop.run();
//     }
//     return host.exitCode();
#pragma once

#include <jujubespool/entry/admin_http_server.h>
#include <jujubespool/entry/caller_http_server.h>

namespace jujubespool {

enum class exit_code : int { stopped = 0, failed = 1, usage = 2, session_ended = 3 };

class entry_host
{
public:
    entry_host(event_loop &loop, const entry_settings &settings);

    // Returns false and sets the reason if an address cannot be bound.
    bool start(failure &reason);
    // Begins to stop. The event loop ends when the stop is complete.
    void stopGracefully();
    exit_code exitCode() const;

private:
    std::optional<std::string> bindPeerAddress(failure &reason);
    void supervise();

    event_loop &m_loop;
    const entry_settings &m_settings;
    http_client m_platformClient;
    http_client m_upstreamClient;
    http_platform_client m_platform;
    zmq_peer_transport m_peerTransport;
    entry_node m_node;
    client_connections m_clients;
    caller_http_server m_callers;
    admin_http_server m_admin;
    supervisor m_supervisor;
};

} // namespace jujubespool

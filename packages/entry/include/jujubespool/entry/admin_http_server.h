// Serves the HTTP interface for operators: health, metrics, status, configuration, API keys, hosts and waves.
//
//     admin_http_server admin(loop, node, transport, settings);
//     if (!admin.start(reason)) { logFailure(log_level::error, "start-failed", reason); }
//
// docs/REFERENCE.md lists the paths. Changes are proposed as log records, and the response is sent when the record has been read back.
#pragma once

#include <jujubespool/entry/client_connections.h>
#include <jujubespool/entry/entry_node.h>
#include <jujubespool/entry/event_loop.h>
#include <jujubespool/entry/supervisor.h>
#include <jujubespool/wire/zmq_peer_transport.h>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace jujubespool {

class admin_http_server : public component
{
public:
    admin_http_server(event_loop &loop, entry_node &node, zmq_peer_transport &transport, client_connections &clients,
                      const entry_settings &settings);
    ~admin_http_server() override;

    std::string name() const override
    {
        return "admin-front";
    }
    bool start(failure &reason) override;
    bool healthy(instant now) const override;
    void stop() override;
    // The bound address as "ip:port".
    const std::string &address() const
    {
        return m_address;
    }

private:
    struct admin_request
    {
        evhttp_request *raw = nullptr;
        bool post = false;
        std::vector<std::string> path;
        std::string body;
        std::string query(const char *name) const;
    };

    static void onRequest(evhttp_request *raw, void *self);
    static bufferevent *makeStream(event_base *base, void *self);
    void route(const admin_request &request);
    void sendStatus(const admin_request &request);
    void sendMetrics(const admin_request &request);
    void publishConfiguration(const admin_request &request);
    void changeKey(const admin_request &request);
    void changeHost(const admin_request &request);
    void startWave(const admin_request &request);
    void controlWave(const admin_request &request);
    void sendWavePlan(const admin_request &request);
    void setFaults(const admin_request &request);
    void proposeAndRespond(const admin_request &request, wire::record record);
    // Returns a callback that responds to the request with the result of its record. If the callback is not called within a
    // timeout, the response is an error that says that the outcome is unknown.
    log_session::proposal_callback makeResponder(evhttp_request *raw);
    // Returns std::nullopt if the wave contains no host.
    std::optional<wire::wave_start> parseWave(const admin_request &request) const;

    event_loop &m_loop;
    entry_node &m_node;
    zmq_peer_transport &m_transport;
    client_connections &m_clients;
    const entry_settings &m_settings;
    evhttp *m_server = nullptr;
    std::string m_address;
    std::uint64_t m_lastToken = 0;
    // Requests whose record has not been read back yet, by token.
    std::map<std::uint64_t, evhttp_request *> m_pendingRequests;
};

} // namespace jujubespool

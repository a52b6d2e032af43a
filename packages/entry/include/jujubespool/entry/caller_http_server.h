// Serves the HTTP/1.1 interface for callers, using libevhtp.
//
//     caller_http_server server(loop, router, metrics, settings);
//     server.start(reason);
//     const std::string address = server.address();   // contains the port that the kernel chose
#pragma once

#include <jujubespool/entry/client_connections.h>
#include <jujubespool/entry/event_loop.h>
#include <jujubespool/entry/request_router.h>
#include <jujubespool/entry/supervisor.h>
#include <map>
#include <memory>

struct evhtp;
struct evhtp_request;

namespace jujubespool {

class caller_http_server : public component
{
public:
    caller_http_server(event_loop &loop, request_router &router, metrics_registry &metrics, client_connections &clients,
                       const entry_settings &settings);
    ~caller_http_server() override;

    std::string name() const override
    {
        return "caller-front";
    }
    bool start(failure &reason) override;
    bool healthy(instant now) const override;
    void stop() override;

    // From now on, each response closes its connection, so that callers connect to other entry hosts.
    void closeConnectionsAfterResponse()
    {
        m_closeAfterResponse = true;
    }
    // Stops accepting connections. Connections that were accepted are still served.
    void stopAccepting();
    // Whether no request is in progress and none was received recently.
    bool isIdle(instant now) const;

    // The bound address as "ip:port".
    const std::string &address() const
    {
        return m_address;
    }

    // State of one request for as long as libevhtp owns the request; internal.
    struct exchange;

private:
    friend struct exchange;
    void onRequestComplete(exchange &state);
    void respond(exchange &state, const caller_response &response);
    // Sets the status and the reason if the request is invalid; leaves the status unchanged otherwise.
    caller_request parseRequest(exchange &state, failure &reason, int &status) const;

    event_loop &m_loop;
    request_router &m_router;
    metrics_registry &m_metrics;
    client_connections &m_clients;
    const entry_settings &m_settings;
    evhtp *m_server = nullptr;
    bool m_accepting = false;
    bool m_closeAfterResponse = false;
    instant m_lastRequestAt;
    std::string m_address;
    std::map<evhtp_request *, std::unique_ptr<exchange>> m_exchanges;
};

} // namespace jujubespool

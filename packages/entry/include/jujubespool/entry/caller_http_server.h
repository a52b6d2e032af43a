// The callers' HTTP/1.1 interface, served by libevhtp.
//
//     caller_http_server front(loop, router, settings);
//     front.start(reason);
//     const std::string address = front.address();   // with the port that the kernel chose
#pragma once

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
    caller_http_server(event_loop &loop, request_router &router, metrics_registry &metrics, const entry_settings &settings);
    ~caller_http_server() override;

    std::string name() const override
    {
        return "caller-front";
    }
    bool start(failure &reason) override;
    bool healthy(instant now) const override;
    void stop() override;

    // Every answer from now on ends its connection, so that callers turn to other entry hosts.
    void closeConnectionsAfterResponse()
    {
        m_closing = true;
    }
    // Refuses new connections; those that were accepted are served to their end.
    void stopAccepting();
    // Whether no request is open and none has come for a while.
    bool isIdle(instant now) const;

    const std::string &address() const
    {
        return m_address;
    }

    // State of one request while libevhtp holds it; internal.
    struct exchange;

private:
    friend struct exchange;
    void onComplete(exchange &item);
    void respond(exchange &item, const caller_response &answer);
    caller_request readRequest(exchange &item, failure &reason, int &status) const;

    event_loop &m_loop;
    request_router &m_router;
    metrics_registry &m_metrics;
    const entry_settings &m_settings;
    evhtp *m_server = nullptr;
    bool m_accepting = false;
    bool m_closing = false;
    instant m_lastRequest;
    std::string m_address;
    std::map<evhtp_request *, std::unique_ptr<exchange>> m_exchanges;
};

} // namespace jujubespool

// The callers' HTTP/1.1 interface, served by libevhtp.
//
//     caller_front front(loop, router, settings);
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

class caller_front : public component
{
public:
    caller_front(event_loop &loop, request_router &router, metrics &figures, const entry_settings &settings);
    ~caller_front() override;

    std::string name() const override
    {
        return "caller-front";
    }
    bool start(failure &reason) override;
    bool healthy(instant now) const override;
    void stop() override;

    // Every answer from now on ends its connection, so that callers turn to other entry hosts.
    void closeConnections()
    {
        m_closing = true;
    }
    // Refuses new connections; those that were accepted are served to their end.
    void stopAccepting();
    // Whether no request is open and none has come for a while.
    bool isQuiet(instant now) const;

    const std::string &address() const
    {
        return m_address;
    }

    // State of one request while libevhtp holds it; internal.
    struct exchange;

private:
    friend struct exchange;
    void onComplete(exchange &item);
    void respond(exchange &item, const caller_answer &answer);
    caller_request readRequest(exchange &item, failure &reason, int &status) const;

    event_loop &m_loop;
    request_router &m_router;
    metrics &m_figures;
    const entry_settings &m_settings;
    evhtp *m_server = nullptr;
    bool m_accepting = false;
    bool m_closing = false;
    instant m_lastRequest;
    std::string m_address;
    std::map<evhtp_request *, std::unique_ptr<exchange>> m_exchanges;
};

} // namespace jujubespool

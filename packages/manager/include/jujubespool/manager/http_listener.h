// A listener that answers HTTP requests, at once or later.
//
//     http_listener listener(base);
//     listener.listen("10.1.0.23:8340", [](const http_call &call, http_reply_callback reply) { ... }, reason);
//
// The replier may be called once, at any later time, also after the caller has gone.
#pragma once

#include <event2/event.h>
#include <functional>
#include <jujubespool/core/failure.h>
#include <string>

struct evhttp;
struct evhttp_request;
struct evhttp_bound_socket;

namespace jujubespool {

struct http_call
{
    std::string method;
    std::string host;
    std::string path;
    std::string authorization;
    std::string body;
};

struct http_reply
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    // Seconds after which the caller should come back; 0 for none.
    unsigned retryAfterS = 0;
    // Ends the connection after this answer.
    bool close = false;
};

using http_reply_callback = std::function<void(const http_reply &reply)>;
using http_handler = std::function<void(const http_call &call, http_reply_callback reply)>;

class http_listener
{
public:
    explicit http_listener(event_base *base);
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    bool listen(const std::string &address, http_handler handler, failure &reason);
    // Takes no new connections; those that are open go on.
    void stopAccepting();
    // Calls without an answer yet.
    std::size_t openCalls() const
    {
        return m_openCalls;
    }

private:
    static void onRequest(evhttp_request *request, void *self);

    evhttp *m_server;
    evhttp_bound_socket *m_socket = nullptr;
    http_handler m_handler;
    std::size_t m_openCalls = 0;
};

} // namespace jujubespool

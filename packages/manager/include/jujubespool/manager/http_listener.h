// An HTTP server on libevent whose handler may answer a request asynchronously.
//
//     http_listener listener(base, clients);
//     listener.listen("10.1.0.23:8340", [](const http_call &call, http_reply_callback reply) { ... }, reason);
//
// The reply callback may be called at any later time, also after the caller has disconnected. Only its first call
// sends a response.
#pragma once

#include <event2/event.h>
#include <functional>
#include <jujubespool/core/failure.h>
#include <jujubespool/entry/client_connections.h>
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
    // Value of the Retry-After header in seconds; 0 omits the header.
    unsigned retryAfterS = 0;
    // Closes the connection after this response.
    bool close = false;
};

using http_reply_callback = std::function<void(const http_reply &reply)>;
using http_handler = std::function<void(const http_call &call, http_reply_callback reply)>;

class http_listener
{
public:
    // Several listeners may share the bounds of `clients`, which outlive them.
    http_listener(event_base *base, client_connections &clients);
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    // Starts to listen on "ip:port". Returns false and sets the reason if the address is invalid or in use.
    bool listen(const std::string &address, http_handler handler, failure &reason);
    // Stops accepting new connections; open connections continue to be served.
    void stopAccepting();
    // Number of requests that have not been answered yet.
    std::size_t openCalls() const
    {
        return m_openCalls;
    }

private:
    static void onRequest(evhttp_request *request, void *self);
    static bufferevent *makeStream(event_base *base, void *self);

    client_connections &m_clients;
    evhttp *m_server;
    evhttp_bound_socket *m_socket = nullptr;
    http_handler m_handler;
    std::size_t m_openCalls = 0;
};

} // namespace jujubespool

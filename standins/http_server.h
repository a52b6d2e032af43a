// HTTP server of the stand-ins: passes each request to one handler, which may send the response later.
//
//     http_server server(base, [](const http_request &request) { sendReply(request.raw, 200, nlohmann::json::object()); });
//     server.bind("127.0.0.1", 0);
//     runUntilSignal(base);
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <functional>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <string>

namespace standin {

struct http_request
{
    // Owned by libevent. Valid until the response is sent or the connection is closed.
    evhttp_request *raw = nullptr;
    bool isPost = false;
    std::string path;
    std::string body;

    // Returns the value of a request header, or an empty string if the header is missing.
    std::string header(const char *name) const
    {
        const char *value = evhttp_find_header(evhttp_request_get_input_headers(raw), name);
        return value == nullptr ? "" : value;
    }

    // Returns the value of a query parameter, or an empty string if the parameter is missing.
    std::string queryText(const char *name) const
    {
        const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(raw));
        evkeyvalq parameters{};
        if (query == nullptr || evhttp_parse_query_str(query, &parameters) != 0) {
            return {};
        }
        const char *value = evhttp_find_header(&parameters, name);
        std::string result = value == nullptr ? "" : value;
        evhttp_clear_headers(&parameters);
        return result;
    }

    // Returns the value of a numeric query parameter, or the fallback if the parameter is missing.
    std::uint64_t queryNumber(const char *name, std::uint64_t fallback) const
    {
        const std::string value = queryText(name);
        return value.empty() ? fallback : std::strtoull(value.c_str(), nullptr, 10);
    }
};

class http_server
{
public:
    using request_handler = std::function<void(const http_request &)>;

    http_server(event_base *base, request_handler handler)
        : m_base(base)
        , m_server(evhttp_new(base))
        , m_handler(std::move(handler))
    {
        evhttp_set_gencb(m_server, onRequest, this);
    }
    // Closes all connections. Requests that have no response yet are no longer valid.
    ~http_server()
    {
        evhttp_free(m_server);
    }
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    // Returns the bound address as "host:port", or an empty string on failure. With port 0, the kernel chooses the port.
    std::string bind(const std::string &host, std::uint16_t port)
    {
        evhttp_bound_socket *boundSocket = evhttp_bind_socket_with_handle(m_server, host.c_str(), port);
        if (boundSocket == nullptr) {
            return {};
        }
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(evhttp_bound_socket_get_fd(boundSocket), reinterpret_cast<sockaddr *>(&address), &size);
        return fmt::format("{}:{}", host, ntohs(address.sin_port));
    }

    // Runs the callback once after the delay.
    void runAfter(std::uint64_t delayMs, std::function<void()> callback)
    {
        const auto runOnce = [](evutil_socket_t, short, void *argument) {
            const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()> *>(argument));
            (*owned)();
        };
        const timeval delay{ static_cast<time_t>(delayMs / 1000), static_cast<suseconds_t>(delayMs % 1000 * 1000) };
        event_base_once(m_base, -1, EV_TIMEOUT, runOnce, std::make_unique<std::function<void()>>(std::move(callback)).release(), &delay);
    }

private:
    static void onRequest(evhttp_request *raw, void *self)
    {
        http_request request;
        request.raw = raw;
        request.isPost = evhttp_request_get_command(raw) == EVHTTP_REQ_POST;
        const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(raw));
        request.path = path == nullptr ? "/" : path;
        evbuffer *body = evhttp_request_get_input_buffer(raw);
        request.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, request.body.data(), request.body.size());
        static_cast<http_server *>(self)->m_handler(request);
    }

    event_base *m_base;
    evhttp *m_server;
    request_handler m_handler;
};

inline void sendReply(evhttp_request *raw, int status, const std::string &body)
{
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Content-Type", "application/json");
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(raw, status, nullptr, buffer);
    evbuffer_free(buffer);
}

inline void sendReply(evhttp_request *raw, int status, const nlohmann::json &body)
{
    sendReply(raw, status, body.dump());
}

// Closes the connection without sending a response.
inline void closeWithoutReply(evhttp_request *raw)
{
    evhttp_connection_free(evhttp_request_get_connection(raw));
}

// Runs the event loop until the process receives SIGTERM or SIGINT.
inline void runUntilSignal(event_base *base)
{
    signal(SIGPIPE, SIG_IGN);
    const auto stop = [](evutil_socket_t, short, void *argument) {
        event_base_loopbreak(static_cast<event_base *>(argument));
    };
    event *terminate = evsignal_new(base, SIGTERM, stop, base);
    event *interrupt = evsignal_new(base, SIGINT, stop, base);
    event_add(terminate, nullptr);
    event_add(interrupt, nullptr);
    event_base_dispatch(base);
}

} // namespace standin

// A small HTTP server for the stand-ins: one callback for every request, which may answer later.
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

struct request
{
    evhttp_request *raw = nullptr;
    bool post = false;
    std::string path;
    std::string body;

    std::string header(const char *name) const
    {
        const char *value = evhttp_find_header(evhttp_request_get_input_headers(raw), name);
        return value == nullptr ? "" : value;
    }

    // A parameter of the query; empty when it is missing.
    std::string text(const char *name) const
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

    std::uint64_t number(const char *name, std::uint64_t fallback) const
    {
        const std::string value = text(name);
        return value.empty() ? fallback : std::strtoull(value.c_str(), nullptr, 10);
    }
};

class http_server
{
public:
    using handler = std::function<void(const request &)>;

    http_server(event_base *base, handler call)
        : m_base(base)
        , m_server(evhttp_new(base))
        , m_call(std::move(call))
    {
        evhttp_set_gencb(m_server, onRequest, this);
    }

    // Returns the address with the port that the kernel chose, or an empty text.
    std::string bind(const std::string &host, std::uint16_t port)
    {
        evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(m_server, host.c_str(), port);
        if (bound == nullptr) {
            return {};
        }
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &size);
        return fmt::format("{}:{}", host, ntohs(address.sin_port));
    }

    void after(std::uint64_t delayMs, std::function<void()> call)
    {
        const auto runOnce = [](evutil_socket_t, short, void *argument) {
            const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()> *>(argument));
            (*owned)();
        };
        const timeval time{ static_cast<time_t>(delayMs / 1000), static_cast<suseconds_t>(delayMs % 1000 * 1000) };
        event_base_once(m_base, -1, EV_TIMEOUT, runOnce, std::make_unique<std::function<void()>>(std::move(call)).release(), &time);
    }

private:
    static void onRequest(evhttp_request *raw, void *self)
    {
        request item;
        item.raw = raw;
        item.post = evhttp_request_get_command(raw) == EVHTTP_REQ_POST;
        const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(raw));
        item.path = path == nullptr ? "/" : path;
        evbuffer *body = evhttp_request_get_input_buffer(raw);
        item.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, item.body.data(), item.body.size());
        static_cast<http_server *>(self)->m_call(item);
    }

    event_base *m_base;
    evhttp *m_server;
    handler m_call;
};

inline void reply(evhttp_request *raw, int status, const std::string &body)
{
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Content-Type", "application/json");
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(raw, status, nullptr, buffer);
    evbuffer_free(buffer);
}

inline void reply(evhttp_request *raw, int status, const nlohmann::json &body)
{
    reply(raw, status, body.dump());
}

// Closes the connection without an answer.
inline void drop(evhttp_request *raw)
{
    evhttp_connection_free(evhttp_request_get_connection(raw));
}

// Runs the loop until the process is told to end.
inline void serve(event_base *base)
{
    signal(SIGPIPE, SIG_IGN);
    const auto stop = [](evutil_socket_t, short, void *argument) {
        event_base_loopbreak(static_cast<event_base *>(argument));
    };
    event *term = evsignal_new(base, SIGTERM, stop, base);
    event *interrupt = evsignal_new(base, SIGINT, stop, base);
    event_add(term, nullptr);
    event_add(interrupt, nullptr);
    event_base_dispatch(base);
}

} // namespace standin

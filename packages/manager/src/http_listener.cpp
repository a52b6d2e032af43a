#include <jujubespool/manager/http_listener.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <jujubespool/platform/http_client.h>
#include <memory>
#include <utility>

namespace jujubespool {

namespace {

constexpr std::size_t MAX_HEADER_BYTES = 32768;
constexpr std::size_t MAX_BODY_BYTES = 1048576;
constexpr int IDLE_TIMEOUT_S = 60;
constexpr unsigned REFUSAL_RETRY_AFTER_S = 1;

std::string headerOf(evhttp_request *request, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : value;
}

const char *methodName(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

void sendReply(evhttp_request *request, const http_reply &reply)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", reply.contentType.c_str());
    if (reply.retryAfterS > 0) {
        evhttp_add_header(headers, "Retry-After", std::to_string(reply.retryAfterS).c_str());
    }
    if (reply.close) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, body);
    evbuffer_free(body);
}

} // namespace

http_listener::http_listener(event_base *base, client_connections &clients)
    : m_clients(clients)
    , m_server(evhttp_new(base))
{
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_max_headers_size(m_server, MAX_HEADER_BYTES);
    evhttp_set_max_body_size(m_server, MAX_BODY_BYTES);
    evhttp_set_timeout(m_server, IDLE_TIMEOUT_S);
    evhttp_set_bevcb(m_server, makeStream, this);
    evhttp_set_gencb(m_server, onRequest, this);
}

http_listener::~http_listener()
{
    evhttp_free(m_server);
}

bool http_listener::listen(const std::string &address, http_handler handler, failure &reason)
{
    m_handler = std::move(handler);
    const auto endpoint = parseAddress(address);
    if (endpoint) {
        m_socket = evhttp_bind_socket_with_handle(m_server, endpoint->host.c_str(), endpoint->port);
    }
    reason = { failure_step::control, address, "cannot listen on the address" };
    return m_socket != nullptr;
}

void http_listener::stopAccepting()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_server, m_socket);
        m_socket = nullptr;
    }
}

bufferevent *http_listener::makeStream(event_base *base, void *self)
{
    bufferevent *stream = bufferevent_socket_new(base, -1, 0);
    static_cast<http_listener *>(self)->m_clients.add(stream);
    return stream;
}

void http_listener::onRequest(evhttp_request *request, void *self)
{
    auto &listener = *static_cast<http_listener *>(self);
    const bufferevent *stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    evbuffer *body = evhttp_request_get_input_buffer(request);
    if (!listener.m_clients.serve(listener.m_clients.numberOf(stream), evbuffer_get_length(body))) {
        sendReply(request, { HTTP_SERVUNAVAIL, "{}", "application/json", REFUSAL_RETRY_AFTER_S, true });
        return;
    }
    if (evhttp_request_get_uri(request) == nullptr) {
        // libevent could not parse the request.
        sendReply(request, { HTTP_BADREQUEST, "{}" });
        return;
    }
    http_call call;
    call.method = methodName(evhttp_request_get_command(request));
    call.host = headerOf(request, "Host");
    call.path = evhttp_request_get_uri(request);
    call.authorization = headerOf(request, "Authorization");
    call.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, call.body.data(), call.body.size());
    ++listener.m_openCalls;
    const auto answered = std::make_shared<bool>(false);
    listener.m_handler(call, [&listener, request, answered](const http_reply &reply) {
        if (!std::exchange(*answered, true)) {
            --listener.m_openCalls;
            sendReply(request, reply);
        }
    });
}

} // namespace jujubespool

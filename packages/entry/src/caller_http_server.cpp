#include <jujubespool/entry/caller_http_server.h>

#include <arpa/inet.h>
#include <evhtp.h>
#include <fmt/format.h>
#include <jujubespool/entry/logger.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace jujubespool {

namespace {

constexpr int LISTEN_BACKLOG = 1024;
// While the host stops, it serves the accepted connections until no request has been received for this time.
constexpr milliseconds MIN_IDLE_TIME{ 300 };
constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_METHOD_NOT_ALLOWED = 405;
constexpr int STATUS_TOO_LARGE = 413;
constexpr int STATUS_HEAD_TOO_LARGE = 431;
constexpr int STATUS_UNAVAILABLE = 503;
// Largest head of a request.
constexpr std::size_t MAX_HEADER_BYTES = 32768;
// A body that exceeds the maximum size is read and discarded up to this multiple of the maximum; beyond it the connection is closed.
constexpr std::uint64_t MAX_DISCARDED_BODY_FACTOR = 8;
const std::string SERVICE_PREFIX = "/v1/services/";
const std::string IDEMPOTENCY_KEY_PATH = "/v1/idempotency-keys";

// Counts the occurrences of a header field. Some fields must be unique, because two parsers could otherwise interpret the request
// differently.
std::size_t countHeader(evhtp_headers_t *headers, const char *name)
{
    struct counter
    {
        const char *name;
        std::size_t count;
    } found{ name, 0 };
    const auto visit = [](evhtp_kv_t *header, void *argument) {
        auto &target = *static_cast<counter *>(argument);
        target.count += strcasecmp(header->key, target.name) == 0 ? 1 : 0;
        return 0;
    };
    evhtp_kvs_for_each(headers, visit, &found);
    return found.count;
}

std::string headerValue(evhtp_headers_t *headers, const char *name)
{
    const char *value = evhtp_kv_find(headers, name);
    return value == nullptr ? std::string() : value;
}

// libevhtp accepts hooks of all kinds as one function type.
template <typename Hook> evhtp_hook toHook(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

bool isDigits(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

} // namespace

struct caller_http_server::exchange
{
    caller_http_server *server = nullptr;
    evhtp_request_t *request = nullptr;
    request_id id = 0;
    bool paused = false;
    // HTTP status if the request was rejected before it was complete; 0 otherwise.
    int rejectionStatus = 0;
    std::string rejectionReason;
    std::size_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::string body;

    void reject(int status, std::string reason)
    {
        if (rejectionStatus == 0) {
            rejectionStatus = status;
            rejectionReason = std::move(reason);
        }
    }

    static exchange &findOrCreate(caller_http_server *server, evhtp_request_t *request)
    {
        std::unique_ptr<exchange> &state = server->m_exchanges[request];
        if (!state) {
            state = std::make_unique<exchange>();
            state->server = server;
            state->request = request;
            evhtp_request_set_hook(request, evhtp_hook_on_request_fini, toHook(onRequestEnd), server);
        }
        return *state;
    }

    static evhtp_res onHeaders(evhtp_request_t *request, evhtp_headers_t *headers, void *argument)
    {
        exchange &state = findOrCreate(static_cast<caller_http_server *>(argument), request);
        const std::size_t lengths = countHeader(headers, "Content-Length");
        const std::size_t encodings = countHeader(headers, "Transfer-Encoding");
        const std::string length = headerValue(headers, "Content-Length");
        if (lengths + encodings > 1) {
            state.reject(STATUS_BAD_REQUEST, "the length of the body is stated twice");
        } else if (lengths == 1 && !isDigits(length)) {
            state.reject(STATUS_BAD_REQUEST, "Content-Length is not a number");
            state.rejectAndClose();
        } else if (lengths == 1 && (length.size() > 15 || std::stoull(length) > state.server->m_settings.maxBodyBytes)) {
            state.reject(STATUS_TOO_LARGE, "the body is too large");
        } else if (countHeader(headers, "Authorization") > 1 || countHeader(headers, "Idempotency-Key") > 1) {
            state.reject(STATUS_BAD_REQUEST, "Authorization and Idempotency-Key may be given once");
        }
        return EVHTP_RES_OK;
    }

    // libevhtp bounds a single field, and not their number.
    static evhtp_res onHeader(evhtp_request_t *request, evhtp_header_t *header, void *argument)
    {
        exchange &state = findOrCreate(static_cast<caller_http_server *>(argument), request);
        state.headBytes += header->klen + header->vlen;
        if (state.headBytes <= MAX_HEADER_BYTES) {
            return EVHTP_RES_OK;
        }
        sendError(request->conn, STATUS_HEAD_TOO_LARGE, "Request Header Fields Too Large", "the head is too large");
        return EVHTP_RES_ERROR;
    }

    static evhtp_res onRead(evhtp_request_t *request, evbuffer *data, void *argument)
    {
        exchange &state = findOrCreate(static_cast<caller_http_server *>(argument), request);
        const std::uint64_t bound = state.server->m_settings.maxBodyBytes;
        state.bodyBytes += evbuffer_get_length(data);
        if (state.bodyBytes > bound) {
            state.reject(STATUS_TOO_LARGE, "the body is too large");
        }
        // libevhtp would keep each piece in a buffer of its own, which takes twice the memory.
        const std::size_t size = state.rejectionStatus == 0 ? evbuffer_get_length(data) : 0;
        const std::size_t begin = state.body.size();
        state.body.resize(begin + size);
        evbuffer_copyout(data, state.body.data() + begin, size);
        evbuffer_drain(data, evbuffer_get_length(data));
        return state.bodyBytes > bound * MAX_DISCARDED_BODY_FACTOR ? EVHTP_RES_ERROR : EVHTP_RES_OK;
    }

    static evhtp_res onRequestEnd(evhtp_request_t *request, void *argument)
    {
        auto *server = static_cast<caller_http_server *>(argument);
        const auto found = server->m_exchanges.find(request);
        if (found != server->m_exchanges.end()) {
            const request_id id = found->second->id;
            server->m_exchanges.erase(found);
            server->m_router.cancel(id);
        }
        return EVHTP_RES_OK;
    }

    static void sendParseError(const caller_http_server &server, evhtp_connection_t *connection)
    {
        const auto found = server.m_exchanges.find(connection->request);
        const bool answered = found != server.m_exchanges.end() && found->second->headBytes > MAX_HEADER_BYTES;
        if (!answered) {
            sendError(connection, STATUS_BAD_REQUEST, "Bad Request", "the request cannot be parsed");
        }
    }

    // Sends an error response directly to the socket, for requests that the parser cannot delimit.
    static void sendError(evhtp_connection_t *connection, int status, const char *title, const char *reason)
    {
        const std::string body = makeProblemResponse(status, outcome::not_run, { failure_step::parse, {}, reason }).body;
        const std::string response = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/problem+json\r\nJujubespool-Outcome: "
                                                 "not-run\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
                                                 status, title, body.size(), body);
        const evutil_socket_t descriptor = bufferevent_getfd(connection->bev);
        const bool responseStarted = connection->request != nullptr && (connection->request->flags & EVHTP_REQ_FLAG_FINISHED) != 0;
        if (!responseStarted && send(descriptor, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
            logEvent(log_level::debug, "answer-not-sent", { { "reason", "the caller has disconnected" } });
        }
    }

    // Sends the error response before libevhtp closes the connection.
    static evhtp_res onConnectionError(evhtp_connection_t *connection, evhtp_error_flags, void *argument)
    {
        sendParseError(*static_cast<caller_http_server *>(argument), connection);
        return EVHTP_RES_OK;
    }

    // libevhtp closes the connection after some parser errors without calling the error hook.
    static evhtp_res onConnectionEnd(evhtp_connection_t *connection, void *argument)
    {
        const auto &server = *static_cast<caller_http_server *>(argument);
        server.m_clients.remove(server.m_clients.numberOf(connection->bev));
        if (connection->parser != nullptr && htparser_get_error(connection->parser) != htparse_error_none) {
            sendParseError(server, connection);
        }
        return EVHTP_RES_OK;
    }

    // Rejects a request without waiting for its body: if Content-Length is invalid, the end of the body may never be detected.
    void rejectAndClose()
    {
        server->m_loop.after(milliseconds(0), [owner = server, raw = request] {
            if (owner->m_exchanges.count(raw) > 0) {
                sendParseError(*owner, raw->conn);
                shutdown(bufferevent_getfd(raw->conn->bev), SHUT_RDWR);
            }
        });
    }

    static evhtp_res onAccept(evhtp_connection_t *connection, void *argument)
    {
        evhtp_connection_set_hook(connection, evhtp_hook_on_header, toHook(onHeader), argument);
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers, toHook(onHeaders), argument);
        evhtp_connection_set_hook(connection, evhtp_hook_on_conn_error, toHook(onConnectionError), argument);
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, toHook(onConnectionEnd), argument);
        evhtp_connection_set_hook(connection, evhtp_hook_on_read, toHook(onRead), argument);
        static_cast<caller_http_server *>(argument)->m_clients.add(connection->bev);
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *argument)
    {
        auto *server = static_cast<caller_http_server *>(argument);
        server->onRequestComplete(findOrCreate(server, request));
    }
};

caller_http_server::caller_http_server(event_loop &loop, request_router &router, metrics_registry &metrics, client_connections &clients,
                                       const entry_settings &settings)
    : m_loop(loop)
    , m_router(router)
    , m_metrics(metrics)
    , m_clients(clients)
    , m_settings(settings)
{
}

caller_http_server::~caller_http_server()
{
    stop();
}

bool caller_http_server::start(failure &reason)
{
    m_server = evhtp_new(m_loop.base(), nullptr);
    m_server->flags |= EVHTP_FLAG_ENABLE_NODELAY;
    evhtp_set_gencb(m_server, exchange::onRequest, this);
    evhtp_set_post_accept_cb(m_server, exchange::onAccept, this);
    const host_port bindAddress = *parseAddress(m_address.empty() ? m_settings.callerAddress : m_address);
    if (evhtp_bind_socket(m_server, bindAddress.host.c_str(), bindAddress.port, LISTEN_BACKLOG) != 0) {
        reason = { failure_step::control, m_settings.callerAddress, "the caller address cannot be bound" };
        evhtp_free(m_server);
        m_server = nullptr;
        return false;
    }
    m_accepting = true;
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(m_server->server), reinterpret_cast<sockaddr *>(&bound), &size);
    m_address = fmt::format("{}:{}", bindAddress.host, ntohs(bound.sin_port));
    return true;
}

bool caller_http_server::healthy(instant) const
{
    return m_server != nullptr;
}

void caller_http_server::stopAccepting()
{
    if (m_accepting) {
        m_accepting = false;
        evhtp_unbind_socket(m_server);
    }
}

bool caller_http_server::isIdle(instant now) const
{
    return m_exchanges.empty() && now - m_lastRequestAt > MIN_IDLE_TIME;
}

void caller_http_server::stop()
{
    if (m_server != nullptr) {
        stopAccepting();
        evhtp_free(m_server);
        m_server = nullptr;
    }
}

caller_request caller_http_server::parseRequest(exchange &state, failure &reason, int &status) const
{
    caller_request result;
    evhtp_request_t *request = state.request;
    const std::string path = request->uri != nullptr && request->uri->path != nullptr ? request->uri->path->full : "";
    if (state.rejectionStatus != 0) {
        status = state.rejectionStatus;
        reason = { failure_step::parse, {}, state.rejectionReason };
        return result;
    }
    if (request->method != htp_method_GET && request->method != htp_method_POST) {
        status = STATUS_METHOD_NOT_ALLOWED;
        reason = { failure_step::parse, {}, "only GET and POST are served" };
        return result;
    }
    if (path.compare(0, SERVICE_PREFIX.size(), SERVICE_PREFIX) != 0) {
        status = STATUS_NOT_FOUND;
        reason = { failure_step::parse, {}, "the path must begin with " + SERVICE_PREFIX };
        return result;
    }
    const std::size_t end = path.find('/', SERVICE_PREFIX.size());
    result.service = path.substr(SERVICE_PREFIX.size(), end == std::string::npos ? end : end - SERVICE_PREFIX.size());
    result.path = end == std::string::npos ? "/" : path.substr(end);
    if (request->uri->query_raw != nullptr && *request->uri->query_raw != '\0') {
        result.path += std::string("?") + reinterpret_cast<const char *>(request->uri->query_raw);
    }
    result.method = request->method == htp_method_GET ? http_method::get : http_method::post;
    const auto visit = [](evhtp_kv_t *header, void *argument) {
        static_cast<std::vector<http_header> *>(argument)->push_back({ header->key, header->val });
        return 0;
    };
    evhtp_kvs_for_each(request->headers_in, visit, &result.headers);
    result.body = std::move(state.body);
    const std::string authorization = headerValue(request->headers_in, "Authorization");
    if (strncasecmp(authorization.c_str(), "Bearer ", 7) == 0) {
        result.apiKey = authorization.substr(7);
    }
    result.idempotencyKey = headerValue(request->headers_in, "Idempotency-Key");
    result.priority = headerValue(request->headers_in, "Jujubespool-Class");
    result.timeoutMs = headerValue(request->headers_in, "Jujubespool-Timeout-Ms");
    return result;
}

void caller_http_server::onRequestComplete(exchange &state)
{
    m_lastRequestAt = m_loop.now();
    evhtp_request_t *request = state.request;
    if (!m_clients.serve(m_clients.numberOf(request->conn->bev), state.body.size())) {
        state.reject(STATUS_UNAVAILABLE, "the host holds too many requests");
    }
    const std::string path = request->uri != nullptr && request->uri->path != nullptr ? request->uri->path->full : "";
    if (state.rejectionStatus == 0 && request->method == htp_method_POST && path == IDEMPOTENCY_KEY_PATH) {
        caller_response response;
        response.status = STATUS_OK;
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body = nlohmann::json{ { "key", m_router.issueIdempotencyKey() } }.dump();
        respond(state, response);
        return;
    }
    failure reason;
    int status = 0;
    caller_request parsed = parseRequest(state, reason, status);
    if (status != 0) {
        m_metrics.increment("requests_total", "outcome", "not-run");
        respond(state, makeProblemResponse(status, outcome::not_run, reason));
        return;
    }
    // The caller may disconnect before the response is available, so the exchange is looked up again at that time.
    const request_id id = m_router.onRequest(std::move(parsed), [this, request](const caller_response &response) {
        const auto found = m_exchanges.find(request);
        if (found != m_exchanges.end()) {
            respond(*found->second, response);
        }
    });
    const auto found = m_exchanges.find(request);
    if (found != m_exchanges.end()) {
        found->second->id = id;
        found->second->paused = true;
        evhtp_request_pause(request);
    }
}

void caller_http_server::respond(exchange &state, const caller_response &response)
{
    evhtp_request_t *request = state.request;
    const auto add = [request](const std::string &name, const std::string &value) {
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    };
    for (const http_header &header : response.headers) {
        add(header.name, header.value);
    }
    add("Jujubespool-Outcome", std::string(nameOf(response.outcome)));
    if (state.rejectionStatus != 0 || m_closeAfterResponse) {
        // After a rejected request the start of the next request on the connection is not reliable.
        add("Connection", "close");
        request->flags &= static_cast<std::uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
    }
    evbuffer_add(request->buffer_out, response.body.data(), response.body.size());
    const bool paused = state.paused;
    state.id = 0;
    m_exchanges.erase(request);
    evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
    evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
    if (paused) {
        evhtp_request_resume(request);
    }
}

} // namespace jujubespool

#include <jujubespool/platform/http_client.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <strings.h>
#include <sys/socket.h>

namespace jujubespool {

namespace {

constexpr std::size_t MAX_IDLE_PER_ADDRESS = 64;
constexpr long IDLE_TIMEOUT_S = 3600;
constexpr std::string_view RESERVED_IN_QUERY = "%&#+\"<>";

timeval toTimeval(duration time)
{
    return { static_cast<time_t>(time.count() / 1000000), static_cast<suseconds_t>(time.count() % 1000000) };
}

// Frees the connection from the event loop, because it must not be freed inside its own callbacks.
void freeLater(event_base *base, evhttp_connection *connection)
{
    const timeval now{ 0, 0 };
    const auto release = [](evutil_socket_t, short, void *argument) {
        evhttp_connection_free(static_cast<evhttp_connection *>(argument));
    };
    event_base_once(base, -1, EV_TIMEOUT, release, connection, &now);
}

bool isConnected(evhttp_connection *connection)
{
    const evutil_socket_t descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    return descriptor >= 0 && getpeername(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0;
}

} // namespace

struct http_client::exchange
{
    http_client *client = nullptr;
    connection_entry connection;
    // The connection was open before the request was sent.
    bool reused = false;
    evhttp_request *request = nullptr;
    event *timer = nullptr;
    // With progress: restarted by each part of the response, while `timer` bounds the whole time.
    event *progressTimer = nullptr;
    timeval progressTimeout{ 0, 0 };
    // The parts of the response's body that have been taken from the connection.
    std::string body;
    std::string address;
    callback done;
    bool failed = false;
    // The connection can fail inside the call that opens it. The failure is then reported from the event loop.
    bool sending = false;
    bool endedWhileSending = false;

    ~exchange()
    {
        if (timer != nullptr) {
            event_free(timer);
        }
        if (progressTimer != nullptr) {
            event_free(progressTimer);
        }
    }

    void watchProgress(const timeval &timeout)
    {
        progressTimeout = timeout;
        progressTimer = evtimer_new(client->m_base, onTimeout, this);
        evtimer_add(progressTimer, &progressTimeout);
    }

    // Parts that are not taken here would be dropped.
    static void onPart(evhttp_request *request, void *argument)
    {
        auto &self = *static_cast<exchange *>(argument);
        appendTo(self.body, evhttp_request_get_input_buffer(request));
        if (self.progressTimer != nullptr) {
            evtimer_add(self.progressTimer, &self.progressTimeout);
        }
    }

    static void appendTo(std::string &text, evbuffer *buffer)
    {
        const std::size_t size = text.size();
        const std::size_t added = evbuffer_get_length(buffer);
        text.resize(size + added);
        evbuffer_remove(buffer, text.data() + size, added);
    }

    static void onDone(evhttp_request *request, void *argument)
    {
        auto &self = *static_cast<exchange *>(argument);
        if (self.sending) {
            self.endedWhileSending = true;
        } else if (request == nullptr || self.failed) {
            self.end(http_outcome::closed);
        } else if (evhttp_request_get_response_code(request) == 0) {
            self.end(http_outcome::connect_failed);
        } else {
            self.complete(request);
        }
    }

    static void onError(evhttp_request_error, void *argument)
    {
        static_cast<exchange *>(argument)->failed = true;
    }

    static void onTimeout(evutil_socket_t, short, void *argument)
    {
        auto &self = *static_cast<exchange *>(argument);
        const bool connected = self.reused || isConnected(self.connection.handle);
        evhttp_cancel_request(self.request);
        self.end(connected ? http_outcome::timed_out : http_outcome::connect_failed);
    }

    static void onNoConnection(evutil_socket_t, short, void *argument)
    {
        static_cast<exchange *>(argument)->end(http_outcome::connect_failed);
    }

    void end(http_outcome outcome)
    {
        http_result result;
        result.outcome = outcome;
        client->finish(*this, result, false);
    }

    void complete(evhttp_request *response)
    {
        http_result result;
        result.status = evhttp_request_get_response_code(response);
        const evkeyvalq *headers = evhttp_request_get_input_headers(response);
        for (const evkeyval *header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
            result.headers.push_back({ header->key, header->value });
        }
        result.body = std::move(body);
        appendTo(result.body, evhttp_request_get_input_buffer(response));
        // Without an explicit length, a broken connection cannot be told apart from the end of the response.
        const std::string *transferCoding = result.header("Transfer-Encoding");
        const bool framed = result.header("Content-Length") != nullptr || transferCoding != nullptr || result.status == HTTP_NOCONTENT;
        result.outcome = framed ? http_outcome::complete : http_outcome::closed;
        const std::string *connectionOption = result.header("Connection");
        const bool closes = connectionOption != nullptr && strcasecmp(connectionOption->c_str(), "close") == 0;
        client->finish(*this, result, framed && !closes);
    }
};

const std::string *http_result::header(std::string_view name) const
{
    const auto hasName = [name](const http_header &header) {
        return header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0;
    };
    const auto found = std::find_if(headers.begin(), headers.end(), hasName);
    return found == headers.end() ? nullptr : &found->value;
}

std::optional<host_port> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    host_port result{ address.substr(0, colon), 0 };
    const char *end = address.data() + address.size();
    const auto [parsedEnd, error] = std::from_chars(address.data() + colon + 1, end, result.port);
    if (error != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return result;
}

bool isNumericAddress(const std::string &address)
{
    const std::optional<host_port> parsed = parseAddress(address);
    in6_addr parsedHost{};
    return parsed && parsed->port != 0
        && (inet_pton(AF_INET, parsed->host.c_str(), &parsedHost) == 1 || inet_pton(AF_INET6, parsed->host.c_str(), &parsedHost) == 1);
}

std::string queryText(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool plain = byte > ' ' && byte < 0x7f && RESERVED_IN_QUERY.find(character) == std::string_view::npos;
        escaped += plain ? std::string(1, character) : fmt::format("%{:02X}", byte);
    }
    return escaped;
}

http_client::http_client(event_base *base)
    : m_base(base)
{
}

http_client::~http_client()
{
    for (auto &[key, active] : m_active) {
        if (active->connection.handle != nullptr) {
            evhttp_connection_free(active->connection.handle);
        }
    }
    for (auto &[address, connections] : m_idle) {
        for (const connection_entry &connection : connections) {
            evhttp_connection_free(connection.handle);
        }
    }
}

std::vector<http_client::connection_entry>::iterator http_client::findIdle(std::vector<connection_entry> &idle, const std::string &peer)
{
    for (auto position = idle.end(); position != idle.begin();) {
        --position;
        if (!peer.empty() && position->peer != peer) {
            continue;
        }
        if (isConnected(position->handle)) {
            return position;
        }
        freeLater(m_base, position->handle);
        position = idle.erase(position);
    }
    return idle.end();
}

http_client::connection_entry http_client::takeIdleConnection(const http_request &request)
{
    std::vector<connection_entry> &idle = m_idle[request.address];
    const auto found = findIdle(idle, request.peer);
    if (found == idle.end()) {
        return {};
    }
    connection_entry taken = std::move(*found);
    idle.erase(found);
    return taken;
}

http_client::connection_entry http_client::acquireConnection(const http_request &request, const host_port &target)
{
    connection_entry connection = request.freshConnection ? connection_entry() : takeIdleConnection(request);
    if (connection.handle == nullptr && request.peer.empty()) {
        connection = { evhttp_connection_base_new(m_base, nullptr, target.host.c_str(), target.port), ++m_connections, {} };
        const timeval idleTimeout{ IDLE_TIMEOUT_S, 0 };
        evhttp_connection_set_timeout_tv(connection.handle, &idleTimeout);
    }
    return connection;
}

void http_client::send(const http_request &request, callback done)
{
    auto owned = std::make_unique<exchange>();
    exchange &active = *owned;
    active.client = this;
    active.address = request.address;
    active.done = std::move(done);
    m_active.emplace(&active, std::move(owned));
    const std::optional<host_port> target = parseAddress(request.address);
    const timeval immediately{ 0, 0 };
    if (target) {
        active.connection = acquireConnection(request, *target);
    }
    if (active.connection.handle == nullptr) {
        active.timer = evtimer_new(m_base, exchange::onNoConnection, &active);
        evtimer_add(active.timer, &immediately);
        return;
    }
    active.reused = isConnected(active.connection.handle);
    active.request = evhttp_request_new(exchange::onDone, &active);
    evhttp_request_set_error_cb(active.request, exchange::onError);
    if (request.extendsWithProgress) {
        evhttp_request_set_chunked_cb(active.request, exchange::onPart);
    }
    evkeyvalq *headers = evhttp_request_get_output_headers(active.request);
    evhttp_add_header(headers, "Host", request.address.c_str());
    for (const http_header &header : request.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (request.method == http_method::post) {
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(active.request), request.body.data(), request.body.size());
    }
    const evhttp_cmd_type command = request.method == http_method::post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    active.sending = true;
    const bool started = evhttp_make_request(active.connection.handle, active.request, command, request.path.c_str()) == 0;
    active.sending = false;
    const bool pending = started && !active.endedWhileSending;
    active.timer = evtimer_new(m_base, pending ? exchange::onTimeout : exchange::onNoConnection, &active);
    const timeval timeout = toTimeval(request.extendsWithProgress ? MAX_TIMEOUTS_WITH_PROGRESS * request.timeout : request.timeout);
    evtimer_add(active.timer, pending ? &timeout : &immediately);
    if (pending && request.extendsWithProgress) {
        active.watchProgress(toTimeval(request.timeout));
    }
}

void http_client::finish(exchange &active, http_result result, bool keepConnection)
{
    const auto found = m_active.find(&active);
    if (found == m_active.end()) {
        return;
    }
    const std::unique_ptr<exchange> owned = std::move(found->second);
    m_active.erase(found);
    if (owned->connection.handle != nullptr) {
        std::vector<connection_entry> &idle = m_idle[owned->address];
        if (keepConnection) {
            result.connection = owned->connection.number;
            idle.push_back(std::move(owned->connection));
            dropOldest(idle);
        } else {
            freeLater(m_base, owned->connection.handle);
        }
    }
    owned->done(result);
}

void http_client::identifyPeer(const std::string &address, std::uint64_t connection, const std::string &peer)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    for (connection_entry &entry : found->second) {
        if (entry.number == connection) {
            entry.peer = peer;
        }
    }
}

bool http_client::hasConnectionTo(const std::string &address, const std::string &peer)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return false;
    }
    // findIdle() erases connections that have ended, so the end of the list is only looked at after it.
    const auto idle = findIdle(found->second, peer);
    return idle != found->second.end();
}

void http_client::dropOldest(std::vector<connection_entry> &idle)
{
    if (idle.size() > MAX_IDLE_PER_ADDRESS) {
        freeLater(m_base, idle.front().handle);
        idle.erase(idle.begin());
    }
}

void http_client::closeIdleConnections(const std::string &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    for (const connection_entry &connection : found->second) {
        freeLater(m_base, connection.handle);
    }
    m_idle.erase(found);
}

std::size_t http_client::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[address, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

} // namespace jujubespool

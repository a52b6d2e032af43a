#include <jujubespool/entry/client_connections.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <fmt/format.h>
#include <jujubespool/entry/logger.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace jujubespool {

namespace {

// What may arrive on a connection while a request is in progress or an answer is not sent.
constexpr std::size_t MAX_BYTES_AHEAD = 65536;
// With more of an answer unsent, no further request is read.
constexpr std::size_t MAX_UNSENT_BYTES = 65536;
constexpr milliseconds CHECK_INTERVAL{ 200 };
constexpr milliseconds LOG_INTERVAL{ 1000 };
constexpr std::size_t UNLIMITED = 0;

std::string_view refusalOf(client_end reason)
{
    return reason == client_end::too_slow
        ? "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        : "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

std::size_t maxOpenDescriptors()
{
    rlimit limit{};
    const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return known ? static_cast<std::size_t>(limit.rlim_cur) : FD_SETSIZE;
}

client_connections::client_connections(event_loop &loop, const client_limits &limits, metrics_registry &metrics)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_budget(limits)
{
}

client_connections::~client_connections()
{
    *m_alive = false;
    while (!m_watched.empty()) {
        forget(m_watched.begin());
    }
}

client_number client_connections::add(bufferevent *stream)
{
    const client_number number = ++m_lastNumber;
    auto entry = std::make_unique<watched>();
    entry->owner = this;
    entry->number = number;
    entry->stream = stream;
    // The stream outlives its connection until it is forgotten here.
    bufferevent_incref(stream);
    evbuffer_add_cb(bufferevent_get_input(stream), onInput, entry.get());
    evbuffer_add_cb(bufferevent_get_output(stream), onOutput, entry.get());
    m_numbers[stream] = number;
    m_watched.emplace(number, std::move(entry));
    m_budget.open(number, m_loop.now());
    if (m_budget.exceeded()) {
        enforceSoon();
    }
    return number;
}

void client_connections::remove(client_number connection)
{
    const auto found = m_watched.find(connection);
    if (found != m_watched.end()) {
        forget(found);
    }
}

client_number client_connections::numberOf(const bufferevent *stream) const
{
    const auto found = m_numbers.find(stream);
    return found == m_numbers.end() ? 0 : found->second;
}

bool client_connections::serve(client_number connection, std::size_t bodyBytes)
{
    const auto found = m_watched.find(connection);
    if (found == m_watched.end()) {
        return true;
    }
    limitReading(*found->second, true);
    const std::size_t bytesAhead = evbuffer_get_length(bufferevent_get_input(found->second->stream));
    const bool accepted = m_budget.serve(connection, bodyBytes, bytesAhead, m_loop.now());
    if (!accepted) {
        m_metrics.increment("client_requests_refused_total", "reason", "too-much-held");
    }
    return accepted;
}

void client_connections::limitReading(watched &connection, bool limited)
{
    bufferevent_setwatermark(connection.stream, EV_READ, 0, limited ? MAX_BYTES_AHEAD : UNLIMITED);
}

void client_connections::nameClient(watched &connection)
{
    connection.addressKnown = true;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    char text[INET_ADDRSTRLEN] = {};
    const evutil_socket_t descriptor = bufferevent_getfd(connection.stream);
    const bool known = getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.sin_family == AF_INET;
    if (known && inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text) != nullptr) {
        m_budget.setAddress(connection.number, text);
    }
}

void client_connections::onInput(evbuffer *, const evbuffer_cb_info *change, void *connection)
{
    auto &received = *static_cast<watched *>(connection);
    if (change->n_added == 0) {
        return;
    }
    client_connections &owner = *received.owner;
    if (!received.addressKnown) {
        owner.nameClient(received);
    }
    owner.m_budget.receive(received.number, change->n_added, owner.m_loop.now());
    if (owner.m_budget.exceeded()) {
        owner.enforceSoon();
    }
}

void client_connections::onOutput(evbuffer *buffer, const evbuffer_cb_info *, void *connection)
{
    auto &sent = *static_cast<watched *>(connection);
    client_connections &owner = *sent.owner;
    const std::size_t unsent = evbuffer_get_length(buffer);
    owner.m_budget.send(sent.number, unsent, owner.m_loop.now());
    if (unsent == 0) {
        owner.limitReading(sent, false);
    }
    if (unsent > MAX_UNSENT_BYTES && !sent.readingStopped) {
        sent.readingStopped = true;
        bufferevent_disable(sent.stream, EV_READ);
    } else if (unsent == 0 && sent.readingStopped) {
        sent.readingStopped = false;
        bufferevent_enable(sent.stream, EV_READ);
    }
    if (owner.m_budget.exceeded()) {
        owner.enforceSoon();
    }
}

bool client_connections::isClosed(bufferevent *stream)
{
    bufferevent_data_cb readable = nullptr;
    bufferevent_data_cb writable = nullptr;
    bufferevent_event_cb event = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(stream, &readable, &writable, &event, &argument);
    return readable == nullptr && writable == nullptr && event == nullptr;
}

// Not from within a callback of a buffer, which must not change its connection.
void client_connections::enforceSoon()
{
    if (m_enforcing) {
        return;
    }
    m_enforcing = true;
    m_loop.after(milliseconds(0), [this, alive = m_alive] {
        if (*alive) {
            enforce();
        }
    });
}

void client_connections::enforce()
{
    m_enforcing = false;
    forgetClosed();
    for (const ended_client &ended : m_budget.takeExcess(m_loop.now())) {
        end(ended);
    }
}

void client_connections::end(const ended_client &ended)
{
    const auto found = m_watched.find(ended.connection);
    if (found == m_watched.end()) {
        return;
    }
    m_metrics.increment("client_connections_ended_total", "reason", std::string(nameOf(ended.reason)));
    ++m_endedSinceLogged;
    const instant now = m_loop.now();
    if (now - m_loggedAt >= LOG_INTERVAL) {
        m_loggedAt = now;
        logEvent(log_level::warning, "clients-ended",
                 { { "connections", std::to_string(std::exchange(m_endedSinceLogged, 0)) },
                   { "reason", std::string(nameOf(ended.reason)) },
                   { "open", std::to_string(m_budget.connections()) },
                   { "held_bytes", std::to_string(m_budget.heldBytes()) } });
    }
    bufferevent *stream = found->second->stream;
    const evutil_socket_t descriptor = bufferevent_getfd(stream);
    const std::string_view refusal = refusalOf(ended.reason);
    if (ended.unfinishedRequest && send(descriptor, refusal.data(), refusal.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
        logEvent(log_level::debug, "answer-not-sent", { { "reason", "the client has disconnected" } });
    }
    // Its owner sees the end of the connection as soon as it reads, for which its buffer needs room.
    evbuffer_drain(bufferevent_get_input(stream), evbuffer_get_length(bufferevent_get_input(stream)));
    limitReading(*found->second, false);
    bufferevent_enable(stream, EV_READ);
    shutdown(descriptor, SHUT_RDWR);
}

void client_connections::forgetClosed()
{
    for (auto position = m_watched.begin(); position != m_watched.end();) {
        const auto examined = position++;
        if (isClosed(examined->second->stream)) {
            forget(examined);
        }
    }
}

void client_connections::forget(std::map<client_number, std::unique_ptr<watched>>::iterator position)
{
    watched &forgotten = *position->second;
    evbuffer_remove_cb(bufferevent_get_input(forgotten.stream), onInput, &forgotten);
    evbuffer_remove_cb(bufferevent_get_output(forgotten.stream), onOutput, &forgotten);
    m_budget.close(forgotten.number);
    m_numbers.erase(forgotten.stream);
    bufferevent_decref(forgotten.stream);
    m_watched.erase(position);
}

void client_connections::tick()
{
    const instant now = m_loop.now();
    if (now - m_tickedAt < CHECK_INTERVAL) {
        return;
    }
    m_tickedAt = now;
    enforce();
    m_metrics.setGauge("client_bytes_held", static_cast<double>(m_budget.heldBytes()));
    m_metrics.setGauge("client_connections", static_cast<double>(m_budget.connections()));
    m_metrics.setGauge("client_connections_receiving", static_cast<double>(m_budget.connectionsIn(client_phase::receiving)));
    m_metrics.setGauge("client_connections_answering", static_cast<double>(m_budget.connectionsIn(client_phase::answering)));
}

} // namespace jujubespool

// Watches the connections of clients on the listeners of a process, and closes those that its client_budget ends.
//
//     client_connections clients(loop, limits, metrics);
//     const client_number connection = clients.add(stream);               // for each accepted connection
//     if (!clients.serve(connection, bodyBytes)) { ... }                  // refuse the request
//     clients.tick();
//
// One object serves all listeners of a process, so that they share one budget. It counts what arrives and what waits to be sent by the
// buffers of the connection, and stops reading while an answer is not read.
#pragma once

#include <event2/bufferevent.h>
#include <jujubespool/entry/client_budget.h>
#include <jujubespool/entry/event_loop.h>
#include <jujubespool/entry/metrics_registry.h>
#include <memory>

struct evbuffer;
struct evbuffer_cb_info;

namespace jujubespool {

// Descriptors that the process may open, as the operating system limits them.
std::size_t maxOpenDescriptors();

class client_connections
{
public:
    client_connections(event_loop &loop, const client_limits &limits, metrics_registry &metrics);
    ~client_connections();
    client_connections(const client_connections &) = delete;
    client_connections &operator=(const client_connections &) = delete;

    // Watches the connection until its owner frees the stream or remove() is called.
    client_number add(bufferevent *stream);
    void remove(client_number connection);
    // The number of the connection; 0 if it is not watched.
    client_number numberOf(const bufferevent *stream) const;
    // A whole request with a body of this size was received. Returns false if it has to be refused for want of memory.
    bool serve(client_number connection, std::size_t bodyBytes);
    // Closes the connections that the budget ends and forgets those that are closed. Call it at intervals of a second or less.
    void tick();

private:
    struct watched
    {
        client_connections *owner = nullptr;
        client_number number = 0;
        bufferevent *stream = nullptr;
        bool addressKnown = false;
        bool readingStopped = false;
    };

    static void onInput(evbuffer *buffer, const evbuffer_cb_info *change, void *connection);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *change, void *connection);
    // The library that owned the stream has closed the connection.
    static bool isClosed(bufferevent *stream);
    // The address is known once something has arrived.
    void nameClient(watched &connection);
    void limitReading(watched &connection, bool limited);
    void enforceSoon();
    void enforce();
    void end(const ended_client &ended);
    void forgetClosed();
    void forget(std::map<client_number, std::unique_ptr<watched>>::iterator position);

    event_loop &m_loop;
    metrics_registry &m_metrics;
    client_budget m_budget;
    std::map<client_number, std::unique_ptr<watched>> m_watched;
    std::map<const bufferevent *, client_number> m_numbers;
    client_number m_lastNumber = 0;
    bool m_enforcing = false;
    instant m_tickedAt;
    instant m_loggedAt;
    std::uint64_t m_endedSinceLogged = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jujubespool

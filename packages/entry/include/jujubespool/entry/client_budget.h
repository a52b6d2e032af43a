// Decides how much clients may make a process hold, and whose connection ends when it is too much.
//
//     client_budget budget(limits);
//     budget.open(connection, now);
//     budget.setAddress(connection, "10.0.0.7");
//     budget.receive(connection, bytes, now);              // a part of a request
//     if (!budget.serve(connection, bodyBytes, bytesAhead, now)) { ... } // the request is complete; without room it is refused
//     budget.send(connection, unsentBytes, now);           // a part of the answer; 0 when all of it is sent
//     for (const ended_client &ended : budget.takeExcess(now)) { ... }
//
// Answers the load of clients that send more than they may, never finish what they send, do not read their answers or hold connections
// open. A request that was received whole is never given up for another one. Of the other connections, those of the client address that
// makes the process hold most go first, then those that have not had a request served yet, then the one that has been silent for the
// longest time. Performs no input or output.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

struct client_limits
{
    // Bytes that all connections together may make the process hold: unfinished requests, requests in progress and unsent answers.
    std::size_t heldBytes = 33554432;
    // Connections that may be open.
    std::size_t connections = 1024;
    // Time to send a request, and the rate at which its bytes extend it.
    milliseconds requestTime{ 15000 };
    std::size_t minBytesPerSecond = 16384;
};

// What a connection does at present.
enum class client_phase {
    // No part of a request has come since the last one.
    idle,
    receiving,
    // A whole request was received and is not answered.
    serving,
    // The answer is not sent completely.
    answering
};

template <> struct enum_names<client_phase>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "idle", "receiving", "serving", "answering" };
};

enum class client_end { too_much_held, too_many_connections, too_slow };

template <> struct enum_names<client_end>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "too-much-held", "too-many-connections", "too-slow" };
};

using client_number = std::uint64_t;

// A connection that has to be closed.
struct ended_client
{
    client_number connection = 0;
    client_end reason = client_end::too_much_held;
    // Part of a request had come, which has not run.
    bool unfinishedRequest = false;
};

class client_budget
{
public:
    explicit client_budget(const client_limits &limits);

    // All calls for a connection that is not open have no effect.
    void open(client_number connection, instant now);
    // Connections without an address count as those of one client.
    void setAddress(client_number connection, const std::string &address);
    void close(client_number connection);
    void receive(client_number connection, std::size_t bytes, instant now);
    // Returns false if the requests in progress and the unsent answers leave no room for this one. Its answer is a refusal then.
    // `bytesAhead` have come after it.
    bool serve(client_number connection, std::size_t bytes, std::size_t bytesAhead, instant now);
    // Part of the answer is not sent yet, or all of it is.
    void send(client_number connection, std::size_t unsentBytes, instant now);
    // The connections that have to be closed now. They are not open any more afterwards.
    std::vector<ended_client> takeExcess(instant now);

    bool exceeded() const
    {
        return m_heldBytes > m_limits.heldBytes || m_clients.size() > m_limits.connections;
    }
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    std::size_t connections() const
    {
        return m_clients.size();
    }
    std::size_t connectionsIn(client_phase phase) const;

private:
    struct client
    {
        std::string address;
        client_phase phase = client_phase::idle;
        std::size_t bytes = 0;
        // Bytes that came after the request in progress.
        std::size_t bytesOfNext = 0;
        bool hasBeenServed = false;
        // When the present request began, and when something was received or sent last.
        instant since;
        instant activeAt;
    };
    struct address_use
    {
        std::size_t bytes = 0;
        std::size_t connections = 0;
    };
    using client_position = std::map<client_number, client>::iterator;

    client *find(client_number connection);
    void leaveAddress(const client &leaving);
    void update(client &changed, client_phase phase, std::size_t bytes);
    bool isOverdue(const client &examined, instant now) const;
    ended_client end(client_position position, client_end reason);
    // The client in one of the phases that goes first, or the end if there is none.
    client_position first(std::initializer_list<client_phase> phases, client_end reason);
    void endExcess(client_end reason, std::vector<ended_client> &ended);

    client_limits m_limits;
    std::map<client_number, client> m_clients;
    std::map<std::string, address_use> m_addresses;
    std::size_t m_heldBytes = 0;
    // The part of them that belongs to requests in progress and to unsent answers.
    std::size_t m_bytesInProgress = 0;
};

} // namespace jujubespool

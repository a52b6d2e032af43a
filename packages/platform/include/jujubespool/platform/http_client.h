// Sends HTTP/1.1 requests on the event loop and reports exactly how each of them ended.
//
//     http_client client(base);
//     client.send(request, [](const http_result &result) { ... });
//
// A connection carries one request at a time. It is reused only after a complete response, so a late response can never
// be delivered to a different request. A connection that was closed meanwhile is not reopened. So whoever answered on it once is the
// only one who can receive a later request on it, which identifyPeer() and http_request::peer make use of.
#pragma once

#include <event2/event.h>
#include <functional>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct evhttp_connection;

namespace jujubespool {

enum class http_method { get, post };

template <> struct enum_names<http_method>
{
    static constexpr std::array<std::string_view, 2> NAMES{ "GET", "POST" };
};

struct http_header
{
    std::string name;
    std::string value;
};

struct http_request
{
    // Address as "ip:port".
    std::string address;
    http_method method = http_method::get;
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout{ 1000 };
    // The timeout starts anew whenever a part of the response arrives, up to MAX_TIMEOUTS_WITH_PROGRESS times it in all. For large
    // responses, which would otherwise be dropped and asked for again however much of them has arrived.
    bool extendsWithProgress = false;
    // Opens a new connection instead of reusing an idle one.
    bool freshConnection = false;
    // If it is not empty, the request is sent only over an open connection whose peer was identified by this text. Without one, the
    // outcome is connect_failed.
    std::string peer;
};

// Longest time for a response of which parts keep arriving, in timeouts of its request.
constexpr int MAX_TIMEOUTS_WITH_PROGRESS = 8;

enum class http_outcome {
    // A complete response was received.
    complete,
    // The connection was not established, so nothing was sent.
    connect_failed,
    // The connection was closed before the complete response was received.
    closed,
    // The timeout expired after the connection was established. A part of the response may have arrived.
    timed_out
};

template <> struct enum_names<http_outcome>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "complete", "connect-failed", "closed", "timed-out" };
};

struct http_result
{
    http_outcome outcome = http_outcome::closed;
    // HTTP status code; 0 if no response was received.
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    // The connection on which the response came, for identifyPeer(); 0 if it is not kept.
    std::uint64_t connection = 0;

    // Value of the header, whose name is compared case-insensitively, or nullptr if it is absent.
    const std::string *header(std::string_view name) const;
};

struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

// Parses an address of the form "ip:port". Returns nothing if the IP is empty or the port is missing or invalid.
std::optional<host_port> parseAddress(const std::string &address);
// Whether the address is an IP address and a port, so that a connection needs no name resolution.
bool isNumericAddress(const std::string &address);
// Escapes what would end or change a value in the query of a path.
std::string queryText(const std::string &text);

// Sends requests and reports how each of them ended.
class http_sender
{
public:
    using callback = std::function<void(const http_result &)>;

    virtual ~http_sender() = default;
    // Calls done exactly once, and never before send() has returned.
    virtual void send(const http_request &request, callback done) = 0;
};

class http_client : public http_sender
{
public:
    explicit http_client(event_base *base);
    ~http_client() override;
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    void send(const http_request &request, callback done) override;

    // Names whoever has answered on the connection, which stays so for as long as the connection is open.
    void identifyPeer(const std::string &address, std::uint64_t connection, const std::string &peer);
    // Whether a request to the peer would be sent.
    bool hasConnectionTo(const std::string &address, const std::string &peer);
    // Closes the idle connections to the address.
    void closeIdleConnections(const std::string &address);

    std::size_t idleConnections() const;

    // State of one request; an implementation detail.
    struct exchange;

private:
    friend struct exchange;
    struct connection_entry
    {
        evhttp_connection *handle = nullptr;
        // Number of the connection among those of this client, from 1.
        std::uint64_t number = 0;
        // Empty until the peer is identified.
        std::string peer;
    };
    connection_entry acquireConnection(const http_request &request, const host_port &target);
    // Returns an idle connection for the request, or an entry without a handle.
    connection_entry takeIdleConnection(const http_request &request);
    // The latest open connection to the peer, or to anybody if it is empty. Frees those that it finds closed.
    std::vector<connection_entry>::iterator findIdle(std::vector<connection_entry> &idle, const std::string &peer);
    // Keeps the number of idle connections to an address within its limit.
    void dropOldest(std::vector<connection_entry> &idle);
    void finish(exchange &active, http_result result, bool keepConnection);

    event_base *m_base;
    std::map<std::string, std::vector<connection_entry>> m_idle;
    std::uint64_t m_connections = 0;
    std::map<const exchange *, std::unique_ptr<exchange>> m_active;
};

} // namespace jujubespool

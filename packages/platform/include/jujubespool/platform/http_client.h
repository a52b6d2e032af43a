// Sends HTTP/1.1 requests on the event loop and tells exactly how each ended.
//
//     http_client client(base);
//     client.send(request, [](const http_result &result) { ... });
//
// One request uses a connection at a time. A connection is used again only after an answer that was
// complete, so that no answer can reach another request.
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
    // Uses a connection that no earlier request has used.
    bool freshConnection = false;
};

enum class http_outcome {
    // A whole answer has arrived.
    complete,
    // The connection was never made, so nothing was sent.
    connect_failed,
    // The connection ended before the whole answer had arrived.
    closed,
    // The timeout passed after the connection was made.
    timed_out
};

template <> struct enum_names<http_outcome>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "complete", "connect-failed", "closed", "timed-out" };
};

struct http_result
{
    http_outcome outcome = http_outcome::closed;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    const std::string *header(std::string_view name) const;
};

struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

// Splits "ip:port".
std::optional<host_port> parseAddress(const std::string &address);

// Sends requests and tells how each ended.
class http_sender
{
public:
    using callback = std::function<void(const http_result &)>;

    virtual ~http_sender() = default;
    // Calls done exactly once, never before send() has returned.
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

    // Drops the idle connections to the address.
    void closeIdleConnections(const std::string &address);

    std::size_t idleConnections() const;

    // Details of one request; internal.
    struct exchange;

private:
    friend struct exchange;
    evhttp_connection *acquireConnection(const http_request &request, const host_port &where);
    void finish(exchange &exchange, const http_result &result, bool keepConnection);

    event_base *m_base;
    std::map<std::string, std::vector<evhttp_connection *>> m_idle;
    std::map<const exchange *, std::unique_ptr<exchange>> m_active;
};

} // namespace jujubespool

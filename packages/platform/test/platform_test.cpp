#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <jujubespool/platform/base64.h>
#include <jujubespool/platform/http_client.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

struct address_case
{
    const char *text;
    bool valid;
    std::uint16_t port;
};

const address_case ADDRESSES[] = {
    { "127.0.0.1:80", true, 80 }, { "127.0.0.1:0", true, 0 },      { "127.0.0.1", false, 0 }, { ":80", false, 0 },
    { "127.0.0.1:x", false, 0 },  { "127.0.0.1:70000", false, 0 }, { "", false, 0 },
};

constexpr milliseconds RESPONSE_TIMEOUT{ 1000 };
constexpr milliseconds TIME_BETWEEN_PARTS{ 300 };
const std::string PART(1000, 'p');

struct slow_response_case
{
    const char *name;
    // The response has so many parts, of which so many are sent.
    int parts;
    int sent;
    bool extendsWithProgress;
    http_outcome expected;
};

constexpr slow_response_case SLOW_RESPONSES[] = {
    { "a response that takes longer than the timeout, part by part", 6, 6, true, http_outcome::complete },
    { "the same without the option", 6, 6, false, http_outcome::timed_out },
    { "a response that stops", 6, 3, true, http_outcome::timed_out },
    { "a response that never ends", 100, 100, true, http_outcome::timed_out },
};

// Answers one request with a body that it sends part by part.
class slow_server
{
public:
    slow_server(event_base *base, const slow_response_case &response)
        : m_base(base)
        , m_response(response)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(base, onConnection, this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr *>(&address),
                                             sizeof address);
        cr_assert_not_null(m_listener);
        socklen_t size = sizeof address;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }

    ~slow_server()
    {
        evconnlistener_free(m_listener);
        if (m_timer != nullptr) {
            event_free(m_timer);
        }
        if (m_connection != nullptr) {
            bufferevent_free(m_connection);
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    static void onConnection(evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *argument)
    {
        auto &self = *static_cast<slow_server *>(argument);
        self.m_connection = bufferevent_socket_new(self.m_base, descriptor, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(self.m_connection, onRequest, nullptr, nullptr, argument);
        bufferevent_enable(self.m_connection, EV_READ | EV_WRITE);
    }

    static void onRequest(bufferevent *, void *argument)
    {
        auto &self = *static_cast<slow_server *>(argument);
        self.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(PART.size() * static_cast<std::size_t>(self.m_response.parts))
                  + "\r\n\r\n");
        const timeval interval{ 0, static_cast<suseconds_t>(microseconds(TIME_BETWEEN_PARTS).count()) };
        self.m_timer = event_new(self.m_base, -1, EV_PERSIST, onTimer, argument);
        event_add(self.m_timer, &interval);
    }

    static void onTimer(evutil_socket_t, short, void *argument)
    {
        auto &self = *static_cast<slow_server *>(argument);
        if (self.m_sent < self.m_response.sent) {
            ++self.m_sent;
            self.send(PART);
        }
    }

    void send(const std::string &text)
    {
        bufferevent_write(m_connection, text.data(), text.size());
    }

    event_base *m_base;
    slow_response_case m_response;
    evconnlistener *m_listener = nullptr;
    bufferevent *m_connection = nullptr;
    event *m_timer = nullptr;
    std::uint16_t m_port = 0;
    int m_sent = 0;
};

const char *const ROUND_TRIP_TEXTS[] = { "", "a", "ab", "abc", "abcd" };

} // namespace

ParameterizedTestParameters(parseAddress, splitsHostAndPort)
{
    return rowsOf(ADDRESSES);
}

ParameterizedTest(std::size_t *row, parseAddress, splitsHostAndPort)
{
    const address_case &expected = ADDRESSES[*row];
    const auto address = parseAddress(expected.text);
    cr_assert_eq(address.has_value(), expected.valid, "expected '%s' to be %s", expected.text, expected.valid ? "valid" : "invalid");
    if (expected.valid) {
        cr_assert_eq(address->port, expected.port);
    }
}

ParameterizedTestParameters(base64, roundTripsText)
{
    return rowsOf(ROUND_TRIP_TEXTS);
}

ParameterizedTest(std::size_t *row, base64, roundTripsText)
{
    const std::string text = ROUND_TRIP_TEXTS[*row];
    const auto decoded = decodeBase64(encodeBase64(text));
    cr_assert(decoded.has_value() && *decoded == text, "expected '%s' to survive the round trip", text.c_str());
    cr_assert_not(decodeBase64("a").has_value(), "expected a text of a single digit to be rejected");
}

// A connection that fails inside send() must not invoke the callback before send() has returned. The kernel refuses a
// connection to the broadcast address immediately, so connecting to it causes this.
Test(http_client, reportsImmediateConnectFailureOnlyAfterSendReturns)
{
    event_base *base = event_base_new();
    {
        http_client client(base);
        http_request request;
        request.address = "255.255.255.255:1";
        request.path = "/";
        bool returned = false;
        int calls = 0;
        client.send(request, [&](const http_result &result) {
            cr_assert(returned, "expected no callback before send() has returned");
            cr_assert_eq(result.outcome, http_outcome::connect_failed);
            ++calls;
        });
        returned = true;
        event_base_dispatch(base);
        cr_assert_eq(calls, 1);
    }
    event_base_free(base);
}

// Guards against large responses that are dropped and asked for again although they keep arriving (reads of the store).
ParameterizedTestParameters(http_client, waitsWhileAResponseKeepsArriving)
{
    return rowsOf(SLOW_RESPONSES);
}

ParameterizedTest(std::size_t *row, http_client, waitsWhileAResponseKeepsArriving)
{
    const slow_response_case &played = SLOW_RESPONSES[*row];
    event_base *base = event_base_new();
    {
        slow_server server(base, played);
        http_client client(base);
        http_request request;
        request.address = server.address();
        request.path = "/";
        request.timeout = RESPONSE_TIMEOUT;
        request.extendsWithProgress = played.extendsWithProgress;
        http_result received;
        client.send(request, [&](const http_result &result) {
            received = result;
            event_base_loopbreak(base);
        });
        event_base_dispatch(base);
        cr_expect_eq(received.outcome, played.expected, "%s: %s", played.name, std::string(nameOf(received.outcome)).c_str());
        if (played.expected == http_outcome::complete) {
            cr_expect_eq(received.body.size(), PART.size() * static_cast<std::size_t>(played.parts), "%zu", received.body.size());
        }
    }
    event_base_free(base);
}

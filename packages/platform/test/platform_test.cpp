#include <event2/event.h>
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

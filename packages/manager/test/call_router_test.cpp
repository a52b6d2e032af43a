#include <criterion/criterion.h>
#include <jujubespool/manager/call_router.h>
#include <jujubespool/testing/table.h>

#include "fake_platform.h"
#include "recording_transport.h"

namespace {

using namespace jujubespool;

constexpr std::uint64_t SELF = 1;
constexpr std::uint64_t FIRST_OWNER = 2;
constexpr std::uint64_t SECOND_OWNER = 3;

struct router_fixture
{
    router_fixture()
    {
        for (const std::uint64_t incarnation : { SELF, FIRST_OWNER, SECOND_OWNER }) {
            wire::member_image image;
            image.set_incarnation(incarnation);
            peers.updateMember("node-" + std::to_string(incarnation), image, now);
        }
    }
    void setOwner(std::uint64_t owner)
    {
        router.setOwner(owner, now);
    }
    void answer(int status)
    {
        wire::forwarded_reply reply;
        reply.set_call(transport.sent.back().second.call().call());
        reply.set_status(static_cast<std::uint32_t>(status));
        router.onForwardedReply(reply, now);
    }

    counting_log log;
    recording_transport transport;
    peer_tracker peers{ transport, SELF, log };
    call_router router{ peers, log };
    instant now{ seconds(100) };
    int status = 0;
};

struct reply_row
{
    const char *method;
    int sendCount;
    int ownerStatus;
    int expectedStatus;
};

// If an earlier owner received the call, it may have accepted the job, so a later owner's refusal must not reach the caller
// as a refusal.
const reply_row REPLIES[] = {
    { "POST", 1, 503, 503 }, { "POST", 2, 503, 504 }, { "POST", 1, 401, 401 }, { "POST", 2, 401, 504 },   { "POST", 2, 404, 504 },
    { "POST", 2, 200, 200 }, { "GET", 2, 410, 410 },  { "GET", 2, 503, 503 },  { "DELETE", 2, 410, 410 },
};

} // namespace

ParameterizedTestParameters(call_router, reportsRefusalOnlyIfNoOwnerCanHaveAccepted)
{
    return rowsOf(REPLIES);
}

ParameterizedTest(std::size_t *row, call_router, reportsRefusalOnlyIfNoOwnerCanHaveAccepted)
{
    const reply_row &testCase = REPLIES[*row];
    router_fixture fixture;
    fixture.setOwner(FIRST_OWNER);
    fixture.router.handle(
        { testCase.method, "h", "/q/1", {}, {} }, [&](const http_reply &reply) { fixture.status = reply.status; }, fixture.now);
    if (testCase.sendCount > 1) {
        fixture.setOwner(SECOND_OWNER);
    }
    fixture.answer(testCase.ownerStatus);
    cr_assert_eq(fixture.status, testCase.expectedStatus, "%s %d: %d", testCase.method, testCase.ownerStatus, fixture.status);
}

// A data centre that is partitioned from the owner cannot serve. If its processes held each request for the full waiting
// time, callers would retry in another data centre later than necessary.
Test(call_router, refusesWithoutWaitingAfterLongTimeWithoutOwner)
{
    router_fixture fixture;
    fixture.setOwner(FIRST_OWNER);
    fixture.setOwner(0);
    const instant later = fixture.now + seconds(2);
    fixture.router.handle(
        { "POST", "h", "/q/1", {}, {} }, [&](const http_reply &reply) { fixture.status = reply.status; }, later);
    fixture.router.tick(later + milliseconds(25));
    cr_assert_eq(fixture.status, 503);
}

Test(call_router, timesOutForwardedCallsAndRefusesCallsNeverForwarded)
{
    for (const bool reachable : { true, false }) {
        router_fixture fixture;
        fixture.transport.reachable = reachable;
        fixture.setOwner(FIRST_OWNER);
        fixture.router.handle(
            { "POST", "h", "/q/1", {}, {} }, [&](const http_reply &reply) { fixture.status = reply.status; }, fixture.now);
        fixture.router.tick(fixture.now + seconds(3));
        cr_assert_eq(fixture.status, reachable ? 504 : 503);
    }
}

// Protobuf rejects a message whose text fields are not valid UTF-8, so the caller would wait for an answer in vain.
Test(call_router, forwardsCallsWhoseTextIsNotUnicode)
{
    const std::string bytes = "/q/\xff\xfe";
    router_fixture fixture;
    fixture.setOwner(FIRST_OWNER);
    fixture.router.handle(
        { "POST", bytes, bytes, bytes, bytes }, [](const http_reply &) {}, fixture.now);
    wire::peer_message received;
    cr_assert(received.ParseFromString(fixture.transport.sent.back().second.SerializeAsString()));
    cr_assert(received.call().path() == bytes && received.call().host() == bytes && received.call().authorization() == bytes);
}

// A process repeats a call that has no reply yet. An owner that is late for want of processor time must not handle it a second time.
Test(call_router, handlesARepeatedCallOnceWhileItIsInProgress)
{
    router_fixture fixture;
    int handled = 0;
    http_reply_callback pending;
    fixture.router.setLocalHandler(
        [&](const http_call &, instant, const http_reply_callback &reply) {
            ++handled;
            pending = reply;
        },
        fixture.now);
    wire::forwarded_call call;
    call.set_call(7);
    call.set_method("POST");
    fixture.router.onForwardedCall(FIRST_OWNER, call, fixture.now);
    fixture.router.onForwardedCall(FIRST_OWNER, call, fixture.now);
    fixture.router.onForwardedCall(SECOND_OWNER, call, fixture.now);
    cr_assert_eq(handled, 2, "%d", handled);
    pending({ 200, "{}" });
    fixture.router.onForwardedCall(SECOND_OWNER, call, fixture.now);
    cr_assert_eq(handled, 3, "%d", handled);
}

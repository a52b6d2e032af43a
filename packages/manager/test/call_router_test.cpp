#include <criterion/criterion.h>
#include <jujubespool/manager/call_router.h>
#include <jujubespool/testing/table.h>

#include "fake_platform.h"

namespace {

using namespace jujubespool;

constexpr std::uint64_t SELF = 1;
constexpr std::uint64_t FIRST_OWNER = 2;
constexpr std::uint64_t SECOND_OWNER = 3;

// Keeps what is sent.
class kept_transport : public peer_transport
{
public:
    void setReceiver(peer_receiver &) override
    {
    }
    void connect(std::uint64_t, const std::string &) override
    {
    }
    void disconnect(std::uint64_t) override
    {
    }
    bool send(std::uint64_t peer, const wire::peer_message &message) override
    {
        if (reachable) {
            sent.emplace_back(peer, message);
        }
        return reachable;
    }
    std::uint64_t sentBytes() const override
    {
        return 0;
    }

    bool reachable = true;
    std::vector<std::pair<std::uint64_t, wire::peer_message>> sent;
};

struct router_fixture
{
    void passToOwner(std::uint64_t owner)
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
    kept_transport transport;
    peer_tracker peers{ transport, SELF, log };
    call_router router{ peers, log };
    instant now{ seconds(100) };
    int status = 0;
};

struct refusal_row
{
    const char *method;
    int passes;
    int answered;
    int expected;
};

// An owner that got a call before may have accepted the job, so that a later refusal proves nothing.
const refusal_row REFUSALS[] = {
    { "POST", 1, 503, 503 }, { "POST", 2, 503, 504 }, { "POST", 1, 401, 401 }, { "POST", 2, 401, 504 },   { "POST", 2, 404, 504 },
    { "POST", 2, 200, 200 }, { "GET", 2, 410, 410 },  { "GET", 2, 503, 503 },  { "DELETE", 2, 410, 410 },
};

} // namespace

ParameterizedTestParameters(call_router, deniesOnlyWhatNoOwnerCanHaveAccepted)
{
    return rowsOf(REFUSALS);
}

ParameterizedTest(std::size_t *row, call_router, deniesOnlyWhatNoOwnerCanHaveAccepted)
{
    const refusal_row &item = REFUSALS[*row];
    router_fixture fixture;
    fixture.passToOwner(FIRST_OWNER);
    fixture.router.handle(
        { item.method, "h", "/q/1", {}, {} }, [&](const http_reply &reply) { fixture.status = reply.status; }, fixture.now);
    if (item.passes > 1) {
        fixture.passToOwner(SECOND_OWNER);
    }
    fixture.answer(item.answered);
    cr_assert_eq(fixture.status, item.expected, "%s %d: %d", item.method, item.answered, fixture.status);
}

// A data centre that is cut off knows that it cannot serve; a caller that waits for nothing comes back later elsewhere.
Test(call_router, refusesAtOnceWhenItHasHadNoOwnerForLong)
{
    router_fixture fixture;
    fixture.passToOwner(FIRST_OWNER);
    fixture.passToOwner(0);
    const instant later = fixture.now + seconds(2);
    fixture.router.handle(
        { "POST", "h", "/q/1", {}, {} }, [&](const http_reply &reply) { fixture.status = reply.status; }, later);
    fixture.router.tick(later + milliseconds(25));
    cr_assert_eq(fixture.status, 503);
}

Test(call_router, refusesWhatWasNeverPassedOnAndDoesNotKnowOfWhatWas)
{
    for (const bool reachable : { true, false }) {
        router_fixture fixture;
        fixture.transport.reachable = reachable;
        fixture.passToOwner(FIRST_OWNER);
        fixture.router.handle(
            { "POST", "h", "/q/1", {}, {} }, [&](const http_reply &reply) { fixture.status = reply.status; }, fixture.now);
        fixture.router.tick(fixture.now + seconds(3));
        cr_assert_eq(fixture.status, reachable ? 504 : 503);
    }
}

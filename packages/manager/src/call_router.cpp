#include <jujubespool/manager/call_router.h>

namespace jujubespool {

namespace {

// A request is refused if no owner becomes known within this time.
constexpr milliseconds OWNER_WAIT{ 700 };
// A forwarded request without a reply is sent again at this interval, and fails after the reply timeout.
constexpr milliseconds RESEND_INTERVAL{ 700 };
constexpr milliseconds REPLY_TIMEOUT{ 2600 };
constexpr unsigned RETRY_AFTER_S = 1;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_TIMEOUT = 504;
constexpr int STATUS_GONE = 410;
constexpr int FIRST_REFUSAL_STATUS = 400;

} // namespace

call_router::call_router(peer_tracker &peers, event_log &log)
    : m_peers(peers)
    , m_log(log)
{
}

void call_router::setLocalHandler(local_handler local, instant now)
{
    m_localHandler = std::move(local);
    m_owner = 0;
    m_noOwnerSince.reset();
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, pending] : m_pending) {
        waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting) {
        dispatch(id, now);
    }
}

void call_router::clearLocalHandler()
{
    m_localHandler = nullptr;
    m_forwardedCalls.clear();
}

void call_router::setOwner(std::uint64_t incarnation, instant now)
{
    if (m_owner == incarnation) {
        return;
    }
    m_noOwnerSince = incarnation == 0 ? std::optional(now) : std::nullopt;
    m_owner = incarnation;
    for (auto &[id, pending] : m_pending) {
        dispatch(id, now);
    }
}

void call_router::handle(const http_call &call, const http_reply_callback &reply, instant now)
{
    const std::uint64_t id = m_nextCall++;
    m_pending[id] = { call, reply, now, now, 0 };
    dispatch(id, now);
}

void call_router::dispatch(std::uint64_t id, instant now)
{
    pending_call &pending = m_pending.at(id);
    if (m_localHandler) {
        ++pending.sendCount;
        pending.sentAt = now;
        m_localHandler(http_call(pending.call), now, [this, id, now](const http_reply &reply) { finish(id, reply, now); });
        return;
    }
    if (m_owner == 0) {
        return;
    }
    wire::peer_message message;
    wire::forwarded_call &call = *message.mutable_call();
    call.set_call(id);
    call.set_method(pending.call.method);
    call.set_host(pending.call.host);
    call.set_path(pending.call.path);
    call.set_authorization(pending.call.authorization);
    call.set_body(pending.call.body);
    if (m_peers.send(m_owner, std::move(message), now)) {
        ++pending.sendCount;
        pending.sentAt = now;
    }
}

void call_router::finish(std::uint64_t id, const http_reply &reply, instant)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const pending_call pending = std::move(found->second);
    m_pending.erase(found);
    http_reply answer = reply;
    const bool isRefusal = answer.status >= FIRST_REFUSAL_STATUS && answer.status != STATUS_GONE;
    if (pending.sendCount > 1 && isRefusal && pending.call.method != "GET") {
        // An earlier owner may have accepted the call, for example under a configuration that allowed it, so the result is unknown.
        answer.status = STATUS_TIMEOUT;
    }
    m_log.count("answers_total", std::to_string(answer.status));
    pending.reply(answer);
}

void call_router::onForwardedCall(std::uint64_t from, const wire::forwarded_call &call, instant now)
{
    if (m_localHandler && !m_forwardedCalls.insert({ from, call.call() }).second) {
        m_log.count("repeated_calls_total", "in-progress");
        return;
    }
    const auto answer = [this, from, id = call.call(), now](const http_reply &reply) {
        m_forwardedCalls.erase({ from, id });
        wire::peer_message message;
        wire::forwarded_reply &body = *message.mutable_reply();
        body.set_call(id);
        body.set_status(static_cast<std::uint32_t>(reply.status));
        body.set_body(reply.body);
        body.set_retry_after_s(reply.retryAfterS);
        m_peers.send(from, std::move(message), now);
    };
    if (m_localHandler) {
        m_localHandler({ call.method(), call.host(), call.path(), call.authorization(), call.body() }, now, answer);
        return;
    }
    wire::peer_message message;
    message.mutable_reply()->set_call(call.call());
    message.mutable_reply()->set_not_owner(true);
    m_peers.send(from, std::move(message), now);
}

void call_router::onForwardedReply(const wire::forwarded_reply &reply, instant now)
{
    if (reply.not_owner()) {
        // The heartbeat of the next owner calls setOwner(), which sends the request again.
        return;
    }
    finish(reply.call(), { static_cast<int>(reply.status()), reply.body(), "application/json", reply.retry_after_s() }, now);
}

void call_router::tick(instant now)
{
    std::vector<std::uint64_t> toResend;
    std::vector<std::uint64_t> toRefuse;
    // If there has been no owner for the whole waiting time, new requests are refused without a further wait.
    const bool noOwner = !m_localHandler && m_noOwnerSince && now - *m_noOwnerSince >= OWNER_WAIT;
    for (const auto &[id, pending] : m_pending) {
        const bool ownerWaitExpired = pending.sendCount == 0 && (noOwner || now - pending.receivedAt >= OWNER_WAIT);
        if (now - pending.receivedAt >= REPLY_TIMEOUT || ownerWaitExpired) {
            toRefuse.push_back(id);
        } else if (!m_localHandler && (pending.sendCount == 0 || now - pending.sentAt >= RESEND_INTERVAL)) {
            toResend.push_back(id);
        }
    }
    for (const std::uint64_t id : toResend) {
        dispatch(id, now);
    }
    for (const std::uint64_t id : toRefuse) {
        finishUnanswered(id, now);
    }
}

void call_router::answerPending(instant now)
{
    while (!m_pending.empty()) {
        finishUnanswered(m_pending.begin()->first, now);
    }
}

void call_router::finishUnanswered(std::uint64_t id, instant now)
{
    const pending_call &pending = m_pending.at(id);
    const int status = pending.sendCount > 0 && pending.call.method != "GET" ? STATUS_TIMEOUT : STATUS_UNAVAILABLE;
    m_log.write("unanswered",
                { { "call", pending.call.method + " " + pending.call.path },
                  { "passed_on", pending.sendCount > 0 ? "yes" : "no" },
                  { "status", std::to_string(status) },
                  { "waited_ms", std::to_string(duration_cast<milliseconds>(now - pending.receivedAt).count()) } });
    finish(id, { status, "{}", "application/json", RETRY_AFTER_S }, now);
}

} // namespace jujubespool

// Routes callers' requests to the process that owns the jobs, either locally or over the peer link.
//
//     call_router router(peers, log);
//     router.handle(call, reply, now);        // on any process
//     router.setOwner(incarnation, now);      // resends unanswered requests to the new owner
//
// Each request carries its job ID, so forwarding it twice is idempotent. A request that was never forwarded is
// refused as not accepted (503). A request that was forwarded and not answered has an unknown result (504).
#pragma once

#include <jujubespool/manager/http_listener.h>
#include <jujubespool/manager/peer_tracker.h>
#include <set>

namespace jujubespool {

class call_router
{
public:
    call_router(peer_tracker &peers, event_log &log);

    // Handles requests in this process while it owns the jobs.
    using local_handler = std::function<void(const http_call &call, instant now, const http_reply_callback &reply)>;
    void setLocalHandler(local_handler local, instant now);
    void clearLocalHandler();
    // Sets the process that owns the jobs; 0 if no owner is known.
    void setOwner(std::uint64_t incarnation, instant now);
    // Routes a request of a caller; calls `reply` exactly once, at the latest after the reply timeout.
    void handle(const http_call &call, const http_reply_callback &reply, instant now);
    // Handles a request that another process forwarded, or replies that this process is not the owner.
    void onForwardedCall(std::uint64_t from, const wire::forwarded_call &call, instant now);
    // Completes a request that this process forwarded.
    void onForwardedReply(const wire::forwarded_reply &reply, instant now);
    // Resends and times out pending requests; call it periodically.
    void tick(instant now);
    // Answers all pending requests without waiting any longer for the owner.
    void answerPending(instant now);

private:
    struct pending_call
    {
        http_call call;
        http_reply_callback reply;
        instant receivedAt;
        instant sentAt;
        // Number of times that the call was sent to an owner.
        int sendCount = 0;
    };
    void dispatch(std::uint64_t id, instant now);
    void finish(std::uint64_t id, const http_reply &reply, instant now);
    // Answers a request that has no reply: refused, or unknown if an owner may have carried it out.
    void finishUnanswered(std::uint64_t id, instant now);

    peer_tracker &m_peers;
    event_log &m_log;
    local_handler m_localHandler;
    std::uint64_t m_owner = 0;
    // When the last known owner was lost; empty while an owner is known, and before the first one.
    std::optional<instant> m_noOwnerSince;
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, pending_call> m_pending;
    // Forwarded calls that the local handler has and has not answered: the process that forwarded them, and its number of the call. That
    // process repeats them at intervals, as they may be lost on the way.
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_forwardedCalls;
};

} // namespace jujubespool

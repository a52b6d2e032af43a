// Takes callers' requests to the owner of the jobs, wherever it is.
//
//     call_router router(peers, log);
//     router.handle(call, reply, now);        // at any process
//     router.setOwner(incarnation, now);      // requests without an answer go to the new owner
//
// Requests name their job, so that one that is passed on twice still is one job. A request that was never passed
// on is refused as not accepted; one that was passed on and has no answer is said to be unknown.
#pragma once

#include <jujubespool/manager/http_listener.h>
#include <jujubespool/manager/peer_tracker.h>

namespace jujubespool {

class call_router
{
public:
    call_router(peer_tracker &peers, event_log &log);

    // The local owner session, while there is one.
    using local_handler = std::function<void(const http_call &call, instant now, const http_reply_callback &reply)>;
    void setLocalHandler(local_handler local, instant now);
    void clearLocalHandler();
    // The process that owns the jobs; 0 for none known.
    void setOwner(std::uint64_t incarnation, instant now);
    void handle(const http_call &call, const http_reply_callback &reply, instant now);
    void onForwardedCall(std::uint64_t from, const wire::forwarded_call &call, instant now);
    void onForwardedReply(const wire::forwarded_reply &reply, instant now);
    void tick(instant now);

private:
    struct pending_call
    {
        http_call call;
        http_reply_callback reply;
        instant receivedAt;
        instant sentAt;
        // How often the call went to an owner.
        int passes = 0;
    };
    void dispatch(std::uint64_t id, instant now);
    void finish(std::uint64_t id, const http_reply &reply, instant now);

    peer_tracker &m_peers;
    event_log &m_log;
    local_handler m_localHandler;
    std::uint64_t m_owner = 0;
    // Since when no owner has been known, after one was.
    std::optional<instant> m_noOwnerSince;
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, pending_call> m_pending;
};

} // namespace jujubespool

// Requests claims of idempotency keys from their owners, and stored answers from the sessions that ran the requests.
//
//     claims.requestClaim(claim, deadline, [](const claim_decision &decision) { ... });
//     claims.fetchAnswer(runner, keyHash, fingerprint, deadline, [](const fetched_answer &answer) { ... });
//
// A key's owner is the session that holds its claim range; a key's runner is the session whose claim was granted.
// Both calls resend their message until a reply arrives or the deadline passes, because messages may be lost.
// The class also replies to the same requests from peers.
#pragma once

#include <functional>
#include <jujubespool/core/claim_registry.h>
#include <jujubespool/core/idempotency_store.h>
#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

struct fetched_answer
{
    // Whether the runner has a record of the request. False when the deadline passed without a reply.
    bool known = false;
    wire::kept_answer answer;
    // This session if the request did not run and the runner has reassigned it to this session.
    session_id reassignedTo = NO_SESSION;
};

class claim_coordinator
{
public:
    using claim_callback = std::function<void(const claim_decision &)>;
    using answer_callback = std::function<void(const fetched_answer &)>;

    claim_coordinator(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits, idempotency_store &store);

    // The verdict is CLAIM_VERDICT_UNSPECIFIED if no owner replied before the deadline.
    void requestClaim(const wire::claim &claim, instant deadline, claim_callback done);
    void fetchAnswer(session_id runner, const std::string &keyHash, const std::string &fingerprint, instant deadline, answer_callback done);

    // Sends the answer of a request that has finished on this host to the peers that wait for it.
    void onRequestFinished(const std::string &keyHash);

    // Appends claims that are not on the log yet.
    void logClaims();
    // Resends requests without a reply and fails those past their deadline.
    void retryPending(instant now);

    void onLogged(const wire::claim_batch &batch)
    {
        m_registry.onLogged(batch);
    }
    bool allClaimsLogged() const
    {
        return m_registry.allClaimsLogged();
    }
    std::size_t pendingCount() const
    {
        return m_claims.size() + m_fetches.size();
    }

private:
    struct pending_claim
    {
        wire::claim claim;
        instant deadline;
        instant sentAt;
        claim_callback done;
    };
    struct pending_fetch
    {
        session_id runner = NO_SESSION;
        wire::answer_request request;
        instant deadline;
        instant sentAt;
        answer_callback done;
    };

    void tryClaim(std::uint64_t token, instant now);
    void finishClaim(std::uint64_t token, const claim_decision &decision);
    void sendFetch(std::uint64_t token, instant now);
    void finishFetch(std::uint64_t token, const fetched_answer &answer);
    void onClaimRequest(session_id from, const wire::claim_request &request);
    void onClaimReply(const wire::claim_reply &reply);
    void sendAnswer(session_id to, const wire::answer_request &request);
    void onAnswerRequest(session_id from, const wire::answer_request &request);
    void onAnswerReply(const wire::answer_reply &reply);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    permit_tracker &m_permits;
    idempotency_store &m_store;
    claim_registry m_registry;
    std::map<std::uint64_t, pending_claim> m_claims;
    struct waiting_peer
    {
        session_id peer = NO_SESSION;
        wire::answer_request request;
    };
    std::map<std::uint64_t, pending_fetch> m_fetches;
    // Peers that wait until a request running on this host finishes, by key hash.
    std::multimap<std::string, waiting_peer> m_waitingPeers;
    std::uint64_t m_lastToken = 0;
};

} // namespace jujubespool

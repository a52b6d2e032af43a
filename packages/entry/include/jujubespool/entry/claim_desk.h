// Asks owners for claims of idempotency keys, and runners for the answers that they keep.
//
//     claims.ask(wanted, deadline, [](const claim_decision &decision) { ... });
//     claims.fetch(runner, keyHash, fingerprint, deadline, [](const fetched_answer &answer) { ... });
//
// Both ask again until they are answered or the deadline passes, since messages may be lost.
#pragma once

#include <functional>
#include <jujubespool/core/claim_registry.h>
#include <jujubespool/core/idempotency_store.h>
#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

struct fetched_answer
{
    // Whether the runner has told what became of the request.
    bool known = false;
    wire::kept_answer answer;
    // This session, when the runner leaves a request that did not run to it.
    session_id reassignedTo = NO_SESSION;
};

class claim_desk
{
public:
    using claim_callback = std::function<void(const claim_decision &)>;
    using answer_callback = std::function<void(const fetched_answer &)>;

    claim_desk(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits, idempotency_store &store);

    // The verdict is CLAIM_VERDICT_UNSPECIFIED when no owner has answered before the deadline.
    void ask(const wire::claim &wanted, instant deadline, claim_callback done);
    void fetch(session_id runner, const std::string &keyHash, const std::string &fingerprint, instant deadline, answer_callback done);

    // The request of a key has ended here; peers that asked for its answer are told.
    void onFinished(const std::string &keyHash);

    // Proposes the claims that wait for the log.
    void logClaims();
    // Asks again where no answer came, and gives up at deadlines.
    void check(instant now);

    void onLogged(const wire::claim_batch &batch)
    {
        m_registry.onLogged(batch);
    }
    bool allClaimsLogged() const
    {
        return m_registry.allClaimsLogged();
    }
    std::size_t waiting() const
    {
        return m_claims.size() + m_fetches.size();
    }

private:
    struct pending_claim
    {
        wire::claim wanted;
        instant deadline;
        instant askedAt;
        claim_callback done;
    };
    struct pending_fetch
    {
        session_id runner = NO_SESSION;
        wire::answer_request request;
        instant deadline;
        instant askedAt;
        answer_callback done;
    };

    void tryClaim(std::uint64_t token, instant now);
    void finishClaim(std::uint64_t token, const claim_decision &decision);
    void tryFetch(std::uint64_t token, instant now);
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
    // Peers that wait for the end of requests that run here, by key.
    std::multimap<std::string, waiting_peer> m_waitingPeers;
    std::uint64_t m_lastToken = 0;
};

} // namespace jujubespool

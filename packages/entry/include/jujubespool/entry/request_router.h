// Takes callers' requests through authentication, claims, dispatch and upstreams to one answer each.
//
//     router.onRequest(request, [](const caller_response &answer) { ... });   // called exactly once
//     router.dispatchQueued();                                                        // starts what may start
//     router.checkDeadlines(now);                                                 // deadlines and lost connections
#pragma once

#include <functional>
#include <jujubespool/entry/api_key_registry.h>
#include <jujubespool/entry/claim_desk.h>
#include <jujubespool/entry/loan_desk.h>
#include <jujubespool/entry/metrics_registry.h>
#include <jujubespool/platform/http_client.h>
#include <unordered_map>

namespace jujubespool {

struct caller_request
{
    http_method method = http_method::get;
    std::string service;
    // Path and query for the upstream, with the leading "/".
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    // Empty when the caller has sent none.
    std::string apiKey;
    std::string idempotencyKey;
    std::string priority;
    std::string timeoutMs;
};

struct caller_response
{
    int status = 0;
    jujubespool::outcome outcome = outcome::not_run;
    std::vector<http_header> headers;
    std::string body;
};

// The refusal as a problem document (RFC 9457) that names the step and the peer.
caller_response makeProblemResponse(int status, outcome told, const failure &reason);

class request_router
{
public:
    using reply = std::function<void(const caller_response &)>;

    request_router(time_source &clock, log_session &session, peer_group &peers, dispatcher &work, loan_desk &loans, claim_desk &claims,
                   api_key_registry &keys, idempotency_store &store, http_sender &upstreams, metrics_registry &metrics,
                   const entry_settings &settings);

    // Returns the id by which the request can be cancelled.
    request_id onRequest(caller_request request, reply done);

    // The caller has gone away. What waits is dropped; what runs goes on.
    void cancel(request_id id);

    void dispatchQueued();
    void checkDeadlines(instant now);

    // Refuses new requests from now on.
    void setStopping()
    {
        m_stopping = true;
    }
    bool isIdle() const
    {
        return m_requests.empty();
    }
    // Issues an idempotency key whose claims this host itself decides, so that it works while others are cut off.
    std::string issueIdempotencyKey();

    void setDispatchPaused(bool paused)
    {
        m_paused = paused;
    }

private:
    struct request_record
    {
        request_spec spec;
        caller_request request;
        reply done;
        instant arrived;
        // Hash of the team's key; empty on an open queue.
        std::string teamKeyHash;
        // Hash of the idempotency key.
        std::string keyHash;
        std::string fingerprint;
        // This request, and not an earlier one, decides what is kept under its idempotency key.
        bool ownsKey = false;
        bool cancelled = false;
    };

    std::optional<request_record> parse(caller_request request, failure &reason, int &status);
    bool authenticate(request_record &record, const service_spec &service, failure &reason);
    bool readTimes(request_record &record, const service_spec &service, failure &reason);
    bool newsTooOld(const request_record &record) const;
    void begin(request_id id);
    void beginKeyed(request_id id);
    void askClaim(request_id id);
    void admitGranted(request_id id);
    void followKept(request_id id, const idempotency_record &kept);
    void onClaim(request_id id, const claim_decision &decision);
    void fetchFrom(request_id id, session_id runner);
    void admit(request_id id);
    void send(const dispatched_attempt &start);
    void onUpstream(request_id id, const std::string &worker, const http_result &result);
    void answerKept(request_id id, const wire::kept_answer &kept);
    void refuse(request_id id, int status, outcome told, const failure &reason);
    void finish(request_id id, caller_response answer);
    void answerWaiters(const std::string &keyHash);
    void refuseUnsent(const dispatched_attempt &start);
    // Returns the permits of a request that was not sent.
    void giveBack(request_id id);
    void onClaimTimeout(request_id id);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    dispatcher &m_work;
    loan_desk &m_loans;
    claim_desk &m_claims;
    api_key_registry &m_apiKeys;
    idempotency_store &m_store;
    http_sender &m_upstreams;
    metrics_registry &m_metrics;
    const entry_settings &m_settings;
    std::unordered_map<request_id, request_record> m_requests;
    // Repeats that wait for the answer of the first request with their key.
    std::unordered_map<std::string, std::vector<request_id>> m_waiters;
    request_id m_lastId = 0;
    std::uint64_t m_lastNonce = 0;
    bool m_stopping = false;
    bool m_paused = false;
    bool m_pumping = false;
    instant m_checkedAt;
};

} // namespace jujubespool

// Routes the requests of callers to upstreams: authenticates them, claims their idempotency keys, dispatches them and sends one
// response for each.
//
//     router.onRequest(request, [](const caller_response &response) { ... });   // called exactly once
//     router.dispatchQueued();      // starts the requests that can start now
//     router.checkDeadlines(now);   // deadlines and lost connections
#pragma once

#include <functional>
#include <jujubespool/entry/api_key_registry.h>
#include <jujubespool/entry/claim_coordinator.h>
#include <jujubespool/entry/metrics_registry.h>
#include <jujubespool/entry/permit_loan_manager.h>
#include <jujubespool/platform/http_client.h>
#include <unordered_map>

namespace jujubespool {

struct caller_request
{
    http_method method = http_method::get;
    std::string service;
    // Path and query for the upstream, starting with "/".
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    // The fields below are empty if the caller has not sent them.
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

// Returns an error response with a problem document (RFC 9457) that contains the step and the peer of the failure.
caller_response makeProblemResponse(int status, outcome result, const failure &reason);

class request_router
{
public:
    using response_callback = std::function<void(const caller_response &)>;

    request_router(time_source &clock, log_session &session, peer_group &peers, dispatcher &requestDispatcher, permit_loan_manager &loans,
                   claim_coordinator &claims, api_key_registry &keys, idempotency_store &store, http_sender &upstreams,
                   metrics_registry &metrics, const entry_settings &settings);

    // Returns the id for cancel(), or 0 if the request was rejected immediately.
    request_id onRequest(caller_request request, response_callback done);

    // Called when the caller has disconnected. Drops the request if it is waiting; a running request continues.
    void cancel(request_id id);

    // Starts the waiting requests that have a permit and a slot. Does nothing while dispatching is paused.
    void dispatchQueued();
    // Rejects the requests whose deadline has passed, releases the permits of orphaned attempts and dispatches waiting requests. Must
    // be called at short intervals: dispatching is suspended while the last call is too long ago.
    void checkDeadlines(instant now);

    // Rejects all later requests.
    void setStopping()
    {
        m_stopping = true;
    }
    bool isIdle() const
    {
        return m_requests.empty();
    }
    // Returns a new idempotency key whose claims are decided by this host, so that the key can be used while other hosts are unreachable.
    std::string issueIdempotencyKey();

    // While paused, waiting requests stay in the queue.
    void setDispatchPaused(bool paused)
    {
        m_dispatchPaused = paused;
    }

private:
    struct request_record
    {
        request_spec spec;
        caller_request request;
        response_callback done;
        instant receivedAt;
        // Hash of the team's API key; empty for a request without an API key on an open queue.
        std::string teamKeyHash;
        // Hash of the idempotency key.
        std::string keyHash;
        std::string fingerprint;
        // Whether the result of this request is stored under its idempotency key. False for repeats of an earlier request.
        bool ownsKey = false;
        // Whether the caller has disconnected, so that no response is sent.
        bool cancelled = false;
    };

    // Validates and authenticates the request. Returns std::nullopt and sets the status and the reason if it must be rejected.
    std::optional<request_record> parse(caller_request request, failure &reason, int &status);
    bool authenticate(request_record &record, const service_spec &service, failure &reason);
    bool parseOptions(request_record &record, const service_spec &service, failure &reason);
    // Whether the state is older than the configured grace time, so that an API key may have been withdrawn meanwhile.
    bool isStateStale(const request_record &record) const;
    void start(request_id id);
    void startKeyed(request_id id);
    void requestClaim(request_id id);
    void admitGranted(request_id id);
    void handleKnownKey(request_id id, const idempotency_record &kept);
    void onClaim(request_id id, const claim_decision &decision);
    // Fetches the stored response from the session that ran the first request with this key.
    void fetchAnswerFrom(request_id id, session_id runner);
    void admit(request_id id);
    void send(const dispatched_attempt &start);
    void onUpstreamResult(request_id id, const std::string &worker, const http_result &result);
    void sendKeptAnswer(request_id id, const wire::kept_answer &kept);
    void reject(request_id id, int status, outcome result, const failure &reason);
    void finish(request_id id, caller_response response);
    void completeWaiters(const std::string &keyHash);
    void rejectUnsent(const dispatched_attempt &start);
    // Releases the permits of a request that was dispatched but not sent.
    void releasePermits(request_id id);
    void onClaimTimeout(request_id id);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    dispatcher &m_dispatcher;
    permit_loan_manager &m_loans;
    claim_coordinator &m_claims;
    api_key_registry &m_apiKeys;
    idempotency_store &m_store;
    http_sender &m_upstreams;
    metrics_registry &m_metrics;
    const entry_settings &m_settings;
    std::unordered_map<request_id, request_record> m_requests;
    // Repeats that wait for the response to the first request with their idempotency key, by key hash.
    std::unordered_map<std::string, std::vector<request_id>> m_waiters;
    request_id m_lastId = 0;
    std::uint64_t m_lastNonce = 0;
    bool m_stopping = false;
    bool m_dispatchPaused = false;
    bool m_dispatching = false;
    instant m_lastCheckAt;
};

} // namespace jujubespool

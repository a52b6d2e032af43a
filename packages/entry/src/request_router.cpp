#include <jujubespool/entry/request_router.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/core/idempotency_key.h>
#include <jujubespool/entry/logger.h>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace jujubespool {

namespace {

constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_UNAUTHORIZED = 401;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_UNPROCESSABLE = 422;
constexpr int STATUS_TOO_MANY = 429;
constexpr int STATUS_SERVER_ERROR = 500;
constexpr int STATUS_BAD_GATEWAY = 502;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_GATEWAY_TIMEOUT = 504;
constexpr long long MAX_TIMEOUT_MS = 3600000;
// Time that is reserved of a caller's timeout for the transmission of the response.
constexpr milliseconds RESPONSE_MARGIN{ 5 };

// Nothing is dispatched if checkDeadlines() was not called for this time.
constexpr milliseconds MAX_CHECK_INTERVAL{ 400 };

// Header fields that apply to one connection or to this host are not forwarded.
bool isForwarded(const std::string &name)
{
    static constexpr std::array<std::string_view, 17> NOT_FORWARDED{
        "host",
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "upgrade",
        "te",
        "trailer",
        "expect",
        "content-length",
        "authorization",
        "date",
        "server",
        "jujubespool-outcome",
        "jujubespool-request-id",
        "jujubespool-timeout-ms",
        "jujubespool-class",
    };
    return std::none_of(NOT_FORWARDED.begin(), NOT_FORWARDED.end(), [&](std::string_view other) {
        return other.size() == name.size() && strncasecmp(name.data(), other.data(), other.size()) == 0;
    });
}

std::vector<http_header> forwardedHeaders(const std::vector<http_header> &headers)
{
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [](const http_header &header) { return isForwarded(header.name); });
    return kept;
}

attempt_result attemptResultOf(const http_result &result)
{
    switch (result.outcome) {
    case http_outcome::connect_failed:
        return attempt_result::connect_failed;
    case http_outcome::closed:
        return attempt_result::closed_early;
    case http_outcome::timed_out:
        return attempt_result::timed_out;
    case http_outcome::complete:
        break;
    }
    return result.status >= STATUS_SERVER_ERROR ? attempt_result::error_status : attempt_result::answered;
}

wire::kept_answer toKeptAnswer(const caller_response &response)
{
    wire::kept_answer kept;
    kept.set_status(static_cast<std::uint32_t>(response.status));
    kept.set_outcome(static_cast<std::uint32_t>(response.outcome));
    kept.set_body(response.body);
    for (const http_header &header : response.headers) {
        wire::header_field &field = *kept.add_headers();
        field.set_name(header.name);
        field.set_value(header.value);
    }
    return kept;
}

} // namespace

caller_response makeProblemResponse(int status, outcome result, const failure &reason)
{
    const nlohmann::json body{ { "type", "about:blank" },       { "title", reason.reason }, { "status", status },
                               { "step", nameOf(reason.step) }, { "peer", reason.peer },    { "outcome", nameOf(result) } };
    caller_response response;
    response.status = status;
    response.outcome = result;
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    if (status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE) {
        response.headers.push_back({ "Retry-After", "1" });
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

request_router::request_router(time_source &clock, log_session &session, peer_group &peers, dispatcher &requestDispatcher,
                               permit_loan_manager &loans, claim_coordinator &claims, api_key_registry &keys, idempotency_store &store,
                               http_sender &upstreams, metrics_registry &metrics, const entry_settings &settings)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
    , m_dispatcher(requestDispatcher)
    , m_loans(loans)
    , m_claims(claims)
    , m_apiKeys(keys)
    , m_store(store)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_settings(settings)
{
}

request_id request_router::onRequest(caller_request request, response_callback done)
{
    const request_id id = ++m_lastId;
    failure reason;
    int status = STATUS_BAD_REQUEST;
    // A request with an idempotency key may have run through another host, so its outcome is not known here.
    const outcome rejectionOutcome = issueTimeOf(request.idempotencyKey) ? outcome::unknown : outcome::not_run;
    std::optional<request_record> record = parse(std::move(request), reason, status);
    if (!record) {
        m_metrics.increment("requests_total", "outcome", std::string(nameOf(rejectionOutcome)));
        done(makeProblemResponse(status, rejectionOutcome, reason));
        return 0;
    }
    record->spec.id = id;
    record->done = std::move(done);
    m_requests.emplace(id, std::move(*record));
    start(id);
    return id;
}

std::optional<request_router::request_record> request_router::parse(caller_request request, failure &reason, int &status)
{
    request_record record;
    record.receivedAt = m_clock.now();
    record.request = std::move(request);
    const service_spec *service = m_session.state().config().findService(record.request.service);
    if (m_stopping) {
        status = STATUS_UNAVAILABLE;
        reason = { failure_step::admit, m_settings.host, "this entry host is stopping" };
        return std::nullopt;
    }
    if (m_session.state().editionOffset() == 0) {
        status = STATUS_UNAVAILABLE;
        reason = { failure_step::admit, m_settings.host, "no configuration is in force yet" };
        return std::nullopt;
    }
    if (service == nullptr) {
        status = STATUS_NOT_FOUND;
        reason = { failure_step::admit, {}, fmt::format("unknown service '{}'", record.request.service) };
        return std::nullopt;
    }
    record.spec.service = service->name;
    record.spec.repeatable = service->repeatable;
    if (!authenticate(record, *service, reason)) {
        status = STATUS_UNAUTHORIZED;
        return std::nullopt;
    }
    if (isStateStale(record)) {
        status = STATUS_UNAVAILABLE;
        reason = { failure_step::authenticate, m_settings.host, "the configuration was not heard of for too long to trust the key" };
        return std::nullopt;
    }
    if (!parseOptions(record, *service, reason)) {
        return std::nullopt;
    }
    return record;
}

bool request_router::authenticate(request_record &record, const service_spec &service, failure &reason)
{
    if (record.request.apiKey.empty() && service.queue == queue_kind::open) {
        record.spec.team = ANONYMOUS_TEAM;
        return true;
    }
    record.teamKeyHash = hashApiKey(record.request.apiKey);
    const team_spec *team = record.request.apiKey.empty() ? nullptr : m_apiKeys.teamOfKeyHash(record.teamKeyHash);
    if (team == nullptr) {
        reason = { failure_step::authenticate, {}, record.request.apiKey.empty() ? "a key is needed" : "the key is unknown or withdrawn" };
        return false;
    }
    record.spec.team = team->name;
    return true;
}

bool request_router::isStateStale(const request_record &record) const
{
    const milliseconds grace = m_session.state().config().keyGrace;
    return record.spec.team != ANONYMOUS_TEAM && grace.count() > 0 && m_session.stateAge(m_clock.now()) > grace;
}

bool request_router::parseOptions(request_record &record, const service_spec &service, failure &reason)
{
    record.spec.priority = service.defaultClass;
    if (!record.request.priority.empty()) {
        const auto named = valueOf<request_class>(record.request.priority);
        if (!named) {
            reason = { failure_step::parse, {}, "Jujubespool-Class must be urgent or normal" };
            return false;
        }
        record.spec.priority = *named;
    }
    long long timeoutMs = m_settings.defaultTimeout.count();
    const std::string &text = record.request.timeoutMs;
    if (!text.empty()) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), timeoutMs);
        if (error != std::errc() || end != text.data() + text.size() || timeoutMs < 1 || timeoutMs > MAX_TIMEOUT_MS) {
            reason = { failure_step::parse, {}, fmt::format("Jujubespool-Timeout-Ms must be a whole number from 1 to {}", MAX_TIMEOUT_MS) };
            return false;
        }
    }
    record.spec.deadline = record.receivedAt + std::max(milliseconds(1), milliseconds(timeoutMs) - RESPONSE_MARGIN);
    if (!record.request.idempotencyKey.empty() && !issueTimeOf(record.request.idempotencyKey)) {
        reason
            = { failure_step::parse, {}, "Idempotency-Key must be a version 7 UUID or 13 digits of epoch milliseconds, '-' and any text" };
        return false;
    }
    return true;
}

void request_router::start(request_id id)
{
    if (m_requests.at(id).request.idempotencyKey.empty()) {
        admit(id);
    } else {
        startKeyed(id);
    }
}

void request_router::startKeyed(request_id id)
{
    request_record &record = m_requests.at(id);
    const caller_request &request = record.request;
    record.keyHash = hashParts({ request.idempotencyKey });
    record.fingerprint = hashParts({ request.service, record.spec.team, nameOf(request.method), request.path, request.body });
    if (const idempotency_record *kept = m_store.find(record.keyHash)) {
        handleKnownKey(id, *kept);
        return;
    }
    m_store.begin(record.keyHash, record.fingerprint, ++m_lastNonce);
    requestClaim(id);
}

void request_router::requestClaim(request_id id)
{
    request_record &record = m_requests.at(id);
    record.ownsKey = true;
    wire::claim claim;
    claim.set_key_hash(record.keyHash);
    claim.set_fingerprint(record.fingerprint);
    claim.set_runner(m_session.id());
    claim.set_issued_ms(*issueTimeOf(record.request.idempotencyKey));
    claim.set_nonce(m_store.find(record.keyHash)->nonce);
    m_claims.requestClaim(claim, record.spec.deadline, [this, id](const claim_decision &decision) { onClaim(id, decision); });
}

// The key is in the store: a request with it is running here, has run here, or has not run.
void request_router::handleKnownKey(request_id id, const idempotency_record &kept)
{
    const request_record &record = m_requests.at(id);
    if (kept.fingerprint != record.fingerprint) {
        reject(id, STATUS_UNPROCESSABLE, outcome::not_run, { failure_step::claim, {}, "the idempotency key belongs to another request" });
    } else if (kept.running) {
        m_waiters[record.keyHash].push_back(id);
    } else if (kept.reassignedTo != NO_SESSION) {
        fetchAnswerFrom(id, kept.reassignedTo);
    } else if (kept.retryable()) {
        const bool granted = kept.granted;
        m_store.begin(record.keyHash, record.fingerprint, 0);
        if (granted) {
            admitGranted(id);
        } else {
            requestClaim(id);
        }
    } else {
        sendKeptAnswer(id, kept.answer);
    }
}

void request_router::onClaim(request_id id, const claim_decision &decision)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const std::string keyHash = found->second.keyHash;
    switch (decision.verdict) {
    case wire::CLAIM_VERDICT_FIRST:
        admitGranted(id);
        return;
    case wire::CLAIM_VERDICT_REPEATED:
        if (decision.runner == m_session.id()) {
            m_store.remove(keyHash);
            reject(id, STATUS_BAD_GATEWAY, outcome::unknown,
                   { failure_step::claim, m_settings.host, "the first answer is kept no longer" });
        } else {
            fetchAnswerFrom(id, decision.runner);
        }
        return;
    case wire::CLAIM_VERDICT_MISMATCH:
        m_store.remove(keyHash);
        reject(id, STATUS_UNPROCESSABLE, outcome::not_run, { failure_step::claim, {}, "the idempotency key belongs to another request" });
        return;
    case wire::CLAIM_VERDICT_TOO_OLD:
        m_store.remove(keyHash);
        reject(id, STATUS_CONFLICT, outcome::unknown,
               { failure_step::claim, {}, "the idempotency key is too old, or its issue time lies ahead" });
        return;
    case wire::CLAIM_VERDICT_UNKNOWN:
        m_store.remove(keyHash);
        reject(id, STATUS_BAD_GATEWAY, outcome::unknown,
               { failure_step::claim, {}, "the host that decided on this key has died; the work may have run" });
        return;
    default:
        onClaimTimeout(id);
        return;
    }
}

void request_router::admitGranted(request_id id)
{
    request_record &record = m_requests.at(id);
    record.ownsKey = true;
    m_store.markClaimGranted(record.keyHash);
    if (record.cancelled) {
        reject(id, STATUS_UNAVAILABLE, outcome::not_run, { failure_step::claim, {}, "the caller has gone away" });
        return;
    }
    admit(id);
}

// The request did not run here, but another host may have run a request with the same key. The outcome is therefore unknown.
void request_router::onClaimTimeout(request_id id)
{
    request_record &record = m_requests.at(id);
    const session_id owner = claimOwnerOf(record.keyHash, m_session.state());
    record.ownsKey = false;
    m_store.finish(record.keyHash,
                   toKeptAnswer(makeProblemResponse(STATUS_UNAVAILABLE, outcome::not_run, { failure_step::claim, {}, "no claim" })));
    const std::string keyHash = record.keyHash;
    reject(id, STATUS_UNAVAILABLE, outcome::unknown,
           { failure_step::claim, m_peers.hostOf(owner), "the host that decides on this key did not answer" });
    completeWaiters(keyHash);
}

void request_router::fetchAnswerFrom(request_id id, session_id runner)
{
    const request_record &record = m_requests.at(id);
    m_claims.fetchAnswer(runner, record.keyHash, record.fingerprint, record.spec.deadline,
                         [this, id, runner](const fetched_answer &fetched) {
                             const auto found = m_requests.find(id);
                             if (found == m_requests.end()) {
                                 return;
                             }
                             if (fetched.reassignedTo == m_session.id()) {
                                 m_store.remove(found->second.keyHash);
                                 m_store.begin(found->second.keyHash, found->second.fingerprint, ++m_lastNonce);
                                 admitGranted(id);
                             } else if (fetched.known) {
                                 sendKeptAnswer(id, fetched.answer);
                             } else {
                                 reject(id, STATUS_BAD_GATEWAY, outcome::unknown,
                                        { failure_step::claim, m_peers.hostOf(runner), "the first answer cannot be had" });
                             }
                         });
}

void request_router::admit(request_id id)
{
    request_record &record = m_requests.at(id);
    failure reason;
    if (!m_dispatcher.admit(record.spec, m_session.state(), m_clock.now(), reason)) {
        reject(id, STATUS_UNAVAILABLE, outcome::not_run, reason);
        return;
    }
    dispatchQueued();
}

void request_router::dispatchQueued()
{
    const instant now = m_clock.now();
    // If checkDeadlines() is overdue, the process was paused, and its state may be out of date.
    if (m_dispatching || m_dispatchPaused || now - m_lastCheckAt > MAX_CHECK_INTERVAL) {
        return;
    }
    m_dispatching = true;
    m_loans.servePendingRequests(now);
    for (const dispatched_attempt &attempt : m_dispatcher.schedule(m_session.state(), now)) {
        send(attempt);
    }
    m_loans.requestLoans(now);
    m_dispatching = false;
}

void request_router::send(const dispatched_attempt &attempt)
{
    const auto found = m_requests.find(attempt.id);
    const bool known = found != m_requests.end();
    if (known && found->second.spec.team != ANONYMOUS_TEAM && m_apiKeys.teamOfKeyHash(found->second.teamKeyHash) == nullptr) {
        releasePermits(attempt.id);
        reject(attempt.id, STATUS_UNAUTHORIZED, outcome::not_run,
               { failure_step::authenticate, {}, "the key was withdrawn while the request waited" });
        return;
    }
    const bool mayRun
        = known && (found->second.keyHash.empty() || found->second.spec.repeatable || m_store.markDispatched(found->second.keyHash));
    if (!mayRun) {
        rejectUnsent(attempt);
        return;
    }
    const request_record &record = found->second;
    http_request request;
    request.address = attempt.address;
    request.method = record.request.method;
    request.path = record.request.path;
    request.headers = forwardedHeaders(record.request.headers);
    request.headers.push_back({ "Jujubespool-Request-Id", fmt::format("{:x}-{}", m_session.id(), attempt.id) });
    request.headers.push_back({ "Jujubespool-Team", record.spec.team });
    request.body = record.request.body;
    request.timeout = std::max(milliseconds(1), duration_cast<milliseconds>(attempt.deadline - m_clock.now()));
    // The upstream may close an idle connection while the request is sent, which would leave the outcome unknown.
    request.freshConnection = !record.spec.repeatable;
    m_upstreams.send(request,
                     [this, id = attempt.id, worker = attempt.worker](const http_result &result) { onUpstreamResult(id, worker, result); });
}

void request_router::releasePermits(request_id id)
{
    if (m_dispatcher.onResult(id, attempt_result::connect_failed, m_session.state(), m_clock.now()) == result_action::retry) {
        m_dispatcher.cancel(id);
    }
}

// The idempotency store has rejected a second dispatch of the request (at-most-once). Nothing was sent, so the slot is released.
void request_router::rejectUnsent(const dispatched_attempt &attempt)
{
    logEvent(log_level::error, "dispatch-refused", { { "worker", attempt.worker } });
    releasePermits(attempt.id);
    if (m_requests.count(attempt.id) > 0) {
        reject(attempt.id, STATUS_BAD_GATEWAY, outcome::unknown,
               { failure_step::claim, m_settings.host, "the request was dispatched before" });
    }
}

void request_router::onUpstreamResult(request_id id, const std::string &worker, const http_result &result)
{
    const result_action action = m_dispatcher.onResult(id, attemptResultOf(result), m_session.state(), m_clock.now());
    const std::string outcomeName(nameOf(result.outcome));
    const auto found = m_requests.find(id);
    if (result.outcome == http_outcome::connect_failed && found != m_requests.end() && found->second.ownsKey) {
        m_store.unmarkDispatched(found->second.keyHash);
    }
    switch (action) {
    case result_action::reply: {
        caller_response response;
        response.status = result.status;
        response.outcome = outcome::ran;
        response.headers = forwardedHeaders(result.headers);
        response.body = result.body;
        finish(id, std::move(response));
        break;
    }
    case result_action::not_run:
        reject(id, STATUS_UNAVAILABLE, outcome::not_run,
               { failure_step::connect, worker, "the connection to the upstream failed: " + outcomeName });
        break;
    case result_action::unknown: {
        const int status = result.outcome == http_outcome::timed_out ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
        reject(id, status, outcome::unknown, { failure_step::exchange, worker, "no whole answer came from the upstream: " + outcomeName });
        break;
    }
    case result_action::retry:
        m_metrics.increment("retries_total", "result", outcomeName);
        break;
    }
    dispatchQueued();
}

void request_router::sendKeptAnswer(request_id id, const wire::kept_answer &kept)
{
    caller_response response;
    response.status = static_cast<int>(kept.status());
    response.outcome = static_cast<outcome>(kept.outcome());
    response.body = kept.body();
    for (const wire::header_field &field : kept.headers()) {
        response.headers.push_back({ field.name(), field.value() });
    }
    response.headers.push_back({ "Jujubespool-Repeated", "true" });
    finish(id, std::move(response));
}

void request_router::reject(request_id id, int status, outcome result, const failure &reason)
{
    finish(id, makeProblemResponse(status, result, reason));
}

void request_router::finish(request_id id, caller_response response)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const request_record record = std::move(found->second);
    m_requests.erase(found);
    m_metrics.increment("requests_total", "outcome", std::string(nameOf(response.outcome)));
    m_metrics.observeLatency(record.spec.team, record.spec.priority, m_clock.now() - record.receivedAt);
    if (record.ownsKey) {
        m_store.finish(record.keyHash, toKeptAnswer(response));
    }
    response.headers.push_back({ "Jujubespool-Request-Id", fmt::format("{:x}-{}", m_session.id(), id) });
    if (!record.cancelled) {
        record.done(response);
    }
    if (record.ownsKey) {
        m_claims.onRequestFinished(record.keyHash);
        completeWaiters(record.keyHash);
    }
}

void request_router::completeWaiters(const std::string &keyHash)
{
    const auto found = m_waiters.find(keyHash);
    if (found == m_waiters.end()) {
        return;
    }
    const std::vector<request_id> waiters = std::move(found->second);
    m_waiters.erase(found);
    const idempotency_record *kept = m_store.find(keyHash);
    for (const request_id id : waiters) {
        if (m_requests.count(id) == 0) {
            continue;
        }
        const bool finished = kept != nullptr && !kept->running;
        // Without a granted claim, the request may have run on another host.
        if (finished && (kept->granted || !kept->retryable())) {
            sendKeptAnswer(id, kept->answer);
        } else {
            reject(id, STATUS_BAD_GATEWAY, outcome::unknown,
                   { failure_step::claim, m_settings.host, "what became of the first request is not known" });
        }
    }
}

void request_router::cancel(request_id id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    found->second.cancelled = true;
    if (m_dispatcher.cancel(id)) {
        m_metrics.increment("cancelled_total", "while", "waiting");
        reject(id, STATUS_UNAVAILABLE, outcome::not_run, { failure_step::queue, {}, "the caller has gone away" });
    }
}

void request_router::checkDeadlines(instant now)
{
    m_lastCheckAt = now;
    m_dispatcher.releaseOrphaned(now);
    for (const expired_request &expired : m_dispatcher.expire(now)) {
        const auto found = m_requests.find(expired.id);
        if (found == m_requests.end()) {
            continue;
        }
        const std::string &team = found->second.spec.team;
        const bool overLimit = team != ANONYMOUS_TEAM && !m_dispatcher.teamHasCapacity(team, m_session.state(), now);
        failure reason = expired.reason;
        if (overLimit) {
            reason = { failure_step::permit, m_settings.host, "the team runs as much as its limit allows" };
        }
        reject(expired.id, overLimit ? STATUS_TOO_MANY : STATUS_UNAVAILABLE, expired.outcome, reason);
    }
    std::vector<request_id> overdue;
    for (const auto &[keyHash, waiters] : m_waiters) {
        for (const request_id id : waiters) {
            const auto found = m_requests.find(id);
            if (found != m_requests.end() && now >= found->second.spec.deadline) {
                overdue.push_back(id);
            }
        }
    }
    for (const request_id id : overdue) {
        reject(id, STATUS_GATEWAY_TIMEOUT, outcome::unknown,
               { failure_step::claim, m_settings.host, "the first request with this key still runs" });
    }
    dispatchQueued();
}

std::string request_router::issueIdempotencyKey()
{
    std::string key;
    constexpr int MAX_TRIES = 10000;
    for (int i = 0; i < MAX_TRIES; ++i) {
        key = fmt::format("{}-{:016x}", m_clock.wallNow(), m_clock.randomNumber());
        if (claimOwnerOf(hashParts({ key }), m_session.state()) == m_session.id()) {
            return key;
        }
    }
    return key;
}

} // namespace jujubespool

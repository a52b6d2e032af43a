#include <jujubespool/entry/claim_coordinator.h>

#include <vector>

namespace jujubespool {

namespace {

constexpr milliseconds RESEND_INTERVAL{ 100 };
constexpr std::size_t MAX_CLAIMS_PER_RECORD = 500;

} // namespace

claim_coordinator::claim_coordinator(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits,
                                     idempotency_store &store)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
    , m_permits(permits)
    , m_store(store)
    , m_registry(session.id())
{
    peers.subscribe(wire::peer_message::kClaimAsk,
                    [this](const wire::peer_message &message) { onClaimRequest(message.from_session(), message.claim_ask()); });
    peers.subscribe(wire::peer_message::kClaimAnswer, [this](const wire::peer_message &message) { onClaimReply(message.claim_answer()); });
    peers.subscribe(wire::peer_message::kAnswerAsk,
                    [this](const wire::peer_message &message) { onAnswerRequest(message.from_session(), message.answer_ask()); });
    peers.subscribe(wire::peer_message::kAnswer, [this](const wire::peer_message &message) { onAnswerReply(message.answer()); });
}

void claim_coordinator::requestClaim(const wire::claim &claim, instant deadline, claim_callback done)
{
    const std::uint64_t token = ++m_lastToken;
    m_claims[token] = { claim, deadline, {}, std::move(done) };
    tryClaim(token, m_clock.now());
}

void claim_coordinator::tryClaim(std::uint64_t token, instant now)
{
    pending_claim &pending = m_claims.at(token);
    pending.sentAt = now;
    const session_id owner = claimOwnerOf(pending.claim.key_hash(), m_session.state());
    if (owner == m_session.id()) {
        const claim_decision decision = m_registry.decide(pending.claim, m_session.state(), m_permits, m_clock.wallNow(), now);
        // While a claim range is transferred, it has no owner until the new holder reads the transfer record. retryPending() tries again.
        if (decision.verdict != wire::CLAIM_VERDICT_NOT_OWNER) {
            finishClaim(token, decision);
        }
        return;
    }
    if (owner != NO_SESSION) {
        wire::peer_message message;
        message.mutable_claim_ask()->set_token(token);
        *message.mutable_claim_ask()->mutable_wanted() = pending.claim;
        m_peers.send(owner, message);
    }
}

void claim_coordinator::finishClaim(std::uint64_t token, const claim_decision &decision)
{
    const auto found = m_claims.find(token);
    const claim_callback done = std::move(found->second.done);
    m_claims.erase(found);
    done(decision);
}

void claim_coordinator::onClaimRequest(session_id from, const wire::claim_request &request)
{
    const claim_decision decision = m_registry.decide(request.wanted(), m_session.state(), m_permits, m_clock.wallNow(), m_clock.now());
    wire::peer_message message;
    wire::claim_reply &reply = *message.mutable_claim_answer();
    reply.set_token(request.token());
    reply.set_verdict(decision.verdict);
    reply.set_runner(decision.runner);
    m_peers.send(from, message);
}

void claim_coordinator::onClaimReply(const wire::claim_reply &reply)
{
    if (m_claims.count(reply.token()) > 0 && reply.verdict() != wire::CLAIM_VERDICT_NOT_OWNER) {
        finishClaim(reply.token(), { reply.verdict(), reply.runner() });
    }
}

void claim_coordinator::fetchAnswer(session_id runner, const std::string &keyHash, const std::string &fingerprint, instant deadline,
                                    answer_callback done)
{
    const std::uint64_t token = ++m_lastToken;
    pending_fetch &pending = m_fetches[token];
    pending.runner = runner;
    pending.request.set_token(token);
    pending.request.set_key_hash(keyHash);
    pending.request.set_fingerprint(fingerprint);
    pending.deadline = deadline;
    pending.done = std::move(done);
    sendFetch(token, m_clock.now());
}

void claim_coordinator::sendFetch(std::uint64_t token, instant now)
{
    pending_fetch &pending = m_fetches.at(token);
    pending.sentAt = now;
    wire::peer_message message;
    *message.mutable_answer_ask() = pending.request;
    m_peers.send(pending.runner, message);
}

void claim_coordinator::finishFetch(std::uint64_t token, const fetched_answer &answer)
{
    const auto found = m_fetches.find(token);
    const answer_callback done = std::move(found->second.done);
    m_fetches.erase(found);
    done(answer);
}

void claim_coordinator::onAnswerRequest(session_id from, const wire::answer_request &request)
{
    const idempotency_record *stored = m_store.find(request.key_hash());
    if (stored != nullptr && stored->running && stored->fingerprint == request.fingerprint()) {
        m_waitingPeers.emplace(request.key_hash(), waiting_peer{ from, request });
    }
    sendAnswer(from, request);
}

void claim_coordinator::onRequestFinished(const std::string &keyHash)
{
    const auto [begin, end] = m_waitingPeers.equal_range(keyHash);
    for (auto waiting = begin; waiting != end; ++waiting) {
        sendAnswer(waiting->second.peer, waiting->second.request);
    }
    m_waitingPeers.erase(begin, end);
}

void claim_coordinator::sendAnswer(session_id to, const wire::answer_request &request)
{
    wire::peer_message message;
    wire::answer_reply &reply = *message.mutable_answer();
    reply.set_token(request.token());
    const idempotency_record *stored = m_store.find(request.key_hash());
    if (stored != nullptr && stored->fingerprint == request.fingerprint()) {
        reply.set_known(true);
        reply.set_running(stored->running);
        if (!stored->running) {
            *reply.mutable_answer() = stored->answer;
            reply.set_handed_to(m_store.reassign(request.key_hash(), to));
        }
    }
    m_peers.send(to, message);
}

void claim_coordinator::onAnswerReply(const wire::answer_reply &reply)
{
    const auto found = m_fetches.find(reply.token());
    // While the request is running, retryPending() resends the fetch.
    if (found == m_fetches.end() || reply.running()) {
        return;
    }
    const session_id reassignedTo = reply.handed_to();
    if (reassignedTo != NO_SESSION && reassignedTo != m_session.id()) {
        found->second.runner = reassignedTo;
        sendFetch(reply.token(), m_clock.now());
        return;
    }
    finishFetch(reply.token(), { reply.known(), reply.answer(), reassignedTo });
}

void claim_coordinator::logClaims()
{
    wire::claim_batch batch = m_registry.takeUnlogged(MAX_CLAIMS_PER_RECORD);
    while (batch.claims_size() > 0) {
        wire::record record;
        *record.mutable_claims() = std::move(batch);
        m_session.propose(std::move(record));
        batch = m_registry.takeUnlogged(MAX_CLAIMS_PER_RECORD);
    }
}

void claim_coordinator::retryPending(instant now)
{
    std::vector<std::uint64_t> dueClaims;
    for (const auto &[token, pending] : m_claims) {
        if (now >= pending.deadline || now - pending.sentAt >= RESEND_INTERVAL) {
            dueClaims.push_back(token);
        }
    }
    for (const std::uint64_t token : dueClaims) {
        const auto found = m_claims.find(token);
        if (found != m_claims.end() && now >= found->second.deadline) {
            finishClaim(token, {});
        } else if (found != m_claims.end()) {
            tryClaim(token, now);
        }
    }
    std::vector<std::uint64_t> dueFetches;
    for (const auto &[token, pending] : m_fetches) {
        if (now >= pending.deadline || now - pending.sentAt >= RESEND_INTERVAL) {
            dueFetches.push_back(token);
        }
    }
    for (const std::uint64_t token : dueFetches) {
        const auto found = m_fetches.find(token);
        if (found != m_fetches.end() && now >= found->second.deadline) {
            finishFetch(token, {});
        } else if (found != m_fetches.end()) {
            sendFetch(token, now);
        }
    }
}

} // namespace jujubespool

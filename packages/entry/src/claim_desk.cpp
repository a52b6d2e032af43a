#include <jujubespool/entry/claim_desk.h>

#include <vector>

namespace jujubespool {

namespace {

constexpr milliseconds ASK_AGAIN_AFTER{ 100 };
constexpr std::size_t MAX_CLAIMS_PER_RECORD = 500;

} // namespace

claim_desk::claim_desk(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits, idempotency_store &store)
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

void claim_desk::ask(const wire::claim &wanted, instant deadline, claim_callback done)
{
    const std::uint64_t token = ++m_lastToken;
    m_claims[token] = { wanted, deadline, {}, std::move(done) };
    tryClaim(token, m_clock.now());
}

void claim_desk::tryClaim(std::uint64_t token, instant now)
{
    pending_claim &item = m_claims.at(token);
    item.askedAt = now;
    const session_id owner = claimOwnerOf(item.wanted.key_hash(), m_session.state());
    if (owner == m_session.id()) {
        const claim_decision decision = m_registry.decide(item.wanted, m_session.state(), m_permits, m_clock.wallNow(), now);
        // A range that is being handed over has no owner until its next holder has read the record.
        if (decision.verdict != wire::CLAIM_VERDICT_NOT_OWNER) {
            finishClaim(token, decision);
        }
        return;
    }
    if (owner != NO_SESSION) {
        wire::peer_message message;
        message.mutable_claim_ask()->set_token(token);
        *message.mutable_claim_ask()->mutable_wanted() = item.wanted;
        m_peers.send(owner, message);
    }
}

void claim_desk::finishClaim(std::uint64_t token, const claim_decision &decision)
{
    const auto found = m_claims.find(token);
    const claim_callback done = std::move(found->second.done);
    m_claims.erase(found);
    done(decision);
}

void claim_desk::onClaimRequest(session_id from, const wire::claim_request &request)
{
    const claim_decision decision = m_registry.decide(request.wanted(), m_session.state(), m_permits, m_clock.wallNow(), m_clock.now());
    wire::peer_message message;
    wire::claim_reply &reply = *message.mutable_claim_answer();
    reply.set_token(request.token());
    reply.set_verdict(decision.verdict);
    reply.set_runner(decision.runner);
    m_peers.send(from, message);
}

void claim_desk::onClaimReply(const wire::claim_reply &reply)
{
    if (m_claims.count(reply.token()) > 0 && reply.verdict() != wire::CLAIM_VERDICT_NOT_OWNER) {
        finishClaim(reply.token(), { reply.verdict(), reply.runner() });
    }
}

void claim_desk::fetch(session_id runner, const std::string &keyHash, const std::string &fingerprint, instant deadline,
                       answer_callback done)
{
    const std::uint64_t token = ++m_lastToken;
    pending_fetch &item = m_fetches[token];
    item.runner = runner;
    item.request.set_token(token);
    item.request.set_key_hash(keyHash);
    item.request.set_fingerprint(fingerprint);
    item.deadline = deadline;
    item.done = std::move(done);
    tryFetch(token, m_clock.now());
}

void claim_desk::tryFetch(std::uint64_t token, instant now)
{
    pending_fetch &item = m_fetches.at(token);
    item.askedAt = now;
    wire::peer_message message;
    *message.mutable_answer_ask() = item.request;
    m_peers.send(item.runner, message);
}

void claim_desk::finishFetch(std::uint64_t token, const fetched_answer &answer)
{
    const auto found = m_fetches.find(token);
    const answer_callback done = std::move(found->second.done);
    m_fetches.erase(found);
    done(answer);
}

void claim_desk::onAnswerRequest(session_id from, const wire::answer_request &request)
{
    const idempotency_record *kept = m_store.find(request.key_hash());
    if (kept != nullptr && kept->running && kept->fingerprint == request.fingerprint()) {
        m_waitingPeers.emplace(request.key_hash(), waiting_peer{ from, request });
    }
    sendAnswer(from, request);
}

void claim_desk::onFinished(const std::string &keyHash)
{
    const auto [begin, end] = m_waitingPeers.equal_range(keyHash);
    for (auto item = begin; item != end; ++item) {
        sendAnswer(item->second.peer, item->second.request);
    }
    m_waitingPeers.erase(begin, end);
}

void claim_desk::sendAnswer(session_id to, const wire::answer_request &request)
{
    wire::peer_message message;
    wire::answer_reply &reply = *message.mutable_answer();
    reply.set_token(request.token());
    const idempotency_record *kept = m_store.find(request.key_hash());
    if (kept != nullptr && kept->fingerprint == request.fingerprint()) {
        reply.set_known(true);
        reply.set_running(kept->running);
        if (!kept->running) {
            *reply.mutable_answer() = kept->answer;
            reply.set_handed_to(m_store.reassign(request.key_hash(), to));
        }
    }
    m_peers.send(to, message);
}

void claim_desk::onAnswerReply(const wire::answer_reply &reply)
{
    const auto found = m_fetches.find(reply.token());
    // While the request runs, check() asks again.
    if (found == m_fetches.end() || reply.running()) {
        return;
    }
    const session_id next = reply.handed_to();
    if (next != NO_SESSION && next != m_session.id()) {
        found->second.runner = next;
        tryFetch(reply.token(), m_clock.now());
        return;
    }
    finishFetch(reply.token(), { reply.known(), reply.answer(), next });
}

void claim_desk::logClaims()
{
    wire::claim_batch batch = m_registry.takeUnlogged(MAX_CLAIMS_PER_RECORD);
    while (batch.claims_size() > 0) {
        wire::record record;
        *record.mutable_claims() = std::move(batch);
        m_session.propose(std::move(record));
        batch = m_registry.takeUnlogged(MAX_CLAIMS_PER_RECORD);
    }
}

void claim_desk::check(instant now)
{
    std::vector<std::uint64_t> claims;
    for (const auto &[token, item] : m_claims) {
        if (now >= item.deadline || now - item.askedAt >= ASK_AGAIN_AFTER) {
            claims.push_back(token);
        }
    }
    for (const std::uint64_t token : claims) {
        const auto found = m_claims.find(token);
        if (found != m_claims.end() && now >= found->second.deadline) {
            finishClaim(token, {});
        } else if (found != m_claims.end()) {
            tryClaim(token, now);
        }
    }
    std::vector<std::uint64_t> fetches;
    for (const auto &[token, item] : m_fetches) {
        if (now >= item.deadline || now - item.askedAt >= ASK_AGAIN_AFTER) {
            fetches.push_back(token);
        }
    }
    for (const std::uint64_t token : fetches) {
        const auto found = m_fetches.find(token);
        if (found != m_fetches.end() && now >= found->second.deadline) {
            finishFetch(token, {});
        } else if (found != m_fetches.end()) {
            tryFetch(token, now);
        }
    }
}

} // namespace jujubespool

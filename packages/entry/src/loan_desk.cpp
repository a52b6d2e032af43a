#include <jujubespool/entry/loan_desk.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds ASK_INTERVAL{ 25 };
// A request that could not be served is remembered this long; the peer asks again if it still waits.
constexpr milliseconds REQUEST_LIFETIME{ 100 };

std::string subjectOf(const wire::loan_request &request)
{
    return request.team().empty() ? "pool/" + request.pool() : "team/" + request.team();
}

} // namespace

loan_desk::loan_desk(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits, dispatcher &work)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
    , m_permits(permits)
    , m_work(work)
{
    peers.subscribe(wire::peer_message::kLoanAsk,
                    [this](const wire::peer_message &message) { onRequest(message.from_session(), message.loan_ask()); });
    peers.subscribe(wire::peer_message::kLoan,
                    [this](const wire::peer_message &message) { onGrant(message.from_session(), message.loan()); });
    peers.subscribe(wire::peer_message::kReturned,
                    [this](const wire::peer_message &message) { m_permits.onLoanReturned(message.from_session(), message.returned()); });
}

void loan_desk::ask(instant now)
{
    if (m_work.waiting() == 0) {
        return;
    }
    const std::vector<session_id> peers = m_peers.reachable(now);
    std::erase_if(m_asked, [now](const auto &item) { return now - item.second.askedAt > LOAN_DURATION; });
    if (peers.empty()) {
        return;
    }
    for (const permit_demand &want : m_work.permitDemand(m_session.state(), now)) {
        wire::peer_message message;
        wire::loan_request &request = *message.mutable_loan_ask();
        request.set_team(want.team);
        request.set_pool(want.pool);
        request.set_virtual_time(want.virtualTime);
        request.set_share(want.share);
        const auto count = static_cast<std::uint32_t>(peers.size());
        request.set_count((want.count + count - 1) / count);
        instant &last = m_lastAsked[subjectOf(request)];
        if (now - last < ASK_INTERVAL) {
            continue;
        }
        last = now;
        const session_id busy = peers[m_lastToken % peers.size()];
        for (const session_id peer : peers) {
            request.set_from_busy(peer == busy);
            request.set_token(++m_lastToken);
            m_asked[m_lastToken] = { peer, now };
            m_peers.send(peer, message);
        }
    }
}

void loan_desk::onRequest(session_id from, const wire::loan_request &request)
{
    const instant now = m_clock.now();
    if (!tryLend(from, request, now)) {
        m_waiting[{ from, subjectOf(request) }] = { request, now };
    }
}

// Work of this host goes first, unless the peer's team has had less of its share.
bool loan_desk::mayLend(const wire::loan_request &request) const
{
    if (!request.team().empty()) {
        return !m_work.hasDemandFor(teamResource(request.team()), m_session.state());
    }
    const std::optional<double> own = m_work.headVirtualTime(request.pool());
    if (!own) {
        return true;
    }
    // A slot for the length of a loan advances the borrower's team by this much; less would be overshot.
    const double worth = static_cast<double>(duration(LOAN_DURATION).count()) / std::max(1U, request.share());
    return request.from_busy() && request.virtual_time() + worth < *own;
}

std::vector<wire::permit_entry> loan_desk::lendable(const wire::loan_request &request, instant now) const
{
    std::vector<wire::permit_entry> entries;
    const permit_allocations &allocations = m_session.state().permitAllocations();
    const bool busy = request.team().empty() && m_work.headVirtualTime(request.pool()).has_value();
    std::uint32_t left = busy ? 1 : request.count();
    const auto add = [&](const std::string &resource) {
        const std::uint32_t count = std::min(left, m_permits.usable(resource, allocations, now));
        if (count > 0) {
            wire::permit_entry &entry = entries.emplace_back();
            entry.set_resource(resource);
            entry.set_count(count);
            left -= count;
        }
    };
    if (!request.team().empty()) {
        add(teamResource(request.team()));
        return entries;
    }
    for (const std::string &worker : m_work.workersOf(request.pool(), m_session.state())) {
        if (left > 0) {
            add(workerResource(worker));
        }
    }
    return entries;
}

bool loan_desk::tryLend(session_id borrower, const wire::loan_request &request, instant now)
{
    if (!mayLend(request)) {
        return false;
    }
    wire::peer_message message;
    wire::loan_grant &grant = *message.mutable_loan();
    const duration longestRun = m_session.state().config().longestRun();
    grant = m_permits.lend(borrower, lendable(request, now), m_session.state().permitAllocations(), longestRun, now);
    if (grant.entries_size() == 0) {
        return false;
    }
    grant.set_token(request.token());
    m_peers.send(borrower, message);
    return true;
}

void loan_desk::serveWaiting(instant now)
{
    std::erase_if(m_waiting, [&](const auto &item) {
        const bool old = now - item.second.receivedAt > REQUEST_LIFETIME;
        return old || tryLend(item.first.first, item.second.request, now);
    });
}

void loan_desk::onGrant(session_id from, const wire::loan_grant &grant)
{
    const auto asked = m_asked.find(grant.token());
    if (asked == m_asked.end() || asked->second.lender != from) {
        // Too late to know when it was asked for; the lender waits until its end.
        return;
    }
    ++m_received;
    m_permits.borrow(from, grant, asked->second.askedAt, m_clock.now());
    m_asked.erase(asked);
    if (m_arrival) {
        m_arrival();
    }
}

void loan_desk::settle(instant now)
{
    const fleet_state &state = m_session.state();
    const auto keep = [&](const std::string &resource) {
        return m_work.hasDemandFor(resource, state);
    };
    for (const pending_loan_return &item : m_permits.collectLoanReturns(state.permitAllocations(), keep, now)) {
        wire::peer_message message;
        *message.mutable_returned() = item.message;
        m_peers.send(item.lender, message);
    }
}

} // namespace jujubespool

#include <jujubespool/entry/permit_loan_manager.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds REQUEST_INTERVAL{ 25 };
// A peer's request that could not be served is kept for this time. The peer requests again while it still needs the permits.
constexpr milliseconds PENDING_REQUEST_LIFETIME{ 100 };

std::string subjectOf(const wire::loan_request &request)
{
    return request.team().empty() ? "pool/" + request.pool() : "team/" + request.team();
}

} // namespace

permit_loan_manager::permit_loan_manager(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits,
                                         dispatcher &requests)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
    , m_permits(permits)
    , m_dispatcher(requests)
{
    peers.subscribe(wire::peer_message::kLoanAsk,
                    [this](const wire::peer_message &message) { onLoanRequest(message.from_session(), message.loan_ask()); });
    peers.subscribe(wire::peer_message::kLoan,
                    [this](const wire::peer_message &message) { onLoanGrant(message.from_session(), message.loan()); });
    peers.subscribe(wire::peer_message::kReturned,
                    [this](const wire::peer_message &message) { m_permits.onLoanReturned(message.from_session(), message.returned()); });
}

void permit_loan_manager::requestLoans(instant now)
{
    if (m_dispatcher.waiting() == 0) {
        return;
    }
    const std::vector<session_id> peers = m_peers.reachablePeers(now);
    std::erase_if(m_requestedLoans, [now](const auto &loan) { return now - loan.second.requestedAt > LOAN_DURATION; });
    if (peers.empty()) {
        return;
    }
    for (const permit_demand &demand : m_dispatcher.permitDemand(m_session.state(), now)) {
        wire::peer_message message;
        wire::loan_request &request = *message.mutable_loan_ask();
        request.set_team(demand.team);
        request.set_pool(demand.pool);
        request.set_virtual_time(demand.virtualTime);
        request.set_share(demand.share);
        const auto count = static_cast<std::uint32_t>(peers.size());
        request.set_count((demand.count + count - 1) / count);
        instant &lastRequestAt = m_lastRequestAt[subjectOf(request)];
        if (now - lastRequestAt < REQUEST_INTERVAL) {
            continue;
        }
        lastRequestAt = now;
        // In each round only one peer may lend although requests wait on it.
        const session_id busyPeer = peers[m_lastToken % peers.size()];
        for (const session_id peer : peers) {
            request.set_from_busy(peer == busyPeer);
            request.set_token(++m_lastToken);
            m_requestedLoans[m_lastToken] = { peer, now };
            m_peers.send(peer, message);
        }
    }
}

void permit_loan_manager::onLoanRequest(session_id from, const wire::loan_request &request)
{
    const instant now = m_clock.now();
    if (!tryLend(from, request, now)) {
        m_pendingRequests[{ from, subjectOf(request) }] = { request, now };
    }
}

// Requests of this host have priority unless the peer's team has received less of its share.
bool permit_loan_manager::mayLend(const wire::loan_request &request) const
{
    if (!request.team().empty()) {
        return !m_dispatcher.hasDemandFor(teamResource(request.team()), m_session.state());
    }
    const std::optional<double> ownVirtualTime = m_dispatcher.headVirtualTime(request.pool());
    if (!ownVirtualTime) {
        return true;
    }
    // Using one slot for the duration of a loan advances the virtual time of the borrower's team by this much. If the teams were
    // closer than that, the loan would put the borrower's team ahead of the team that waits here.
    const double loanVirtualTime = static_cast<double>(duration(LOAN_DURATION).count()) / std::max(1U, request.share());
    return request.from_busy() && request.virtual_time() + loanVirtualTime < *ownVirtualTime;
}

std::vector<wire::permit_entry> permit_loan_manager::lendablePermits(const wire::loan_request &request, instant now) const
{
    std::vector<wire::permit_entry> entries;
    const permit_allocations &allocations = m_session.state().permitAllocations();
    const bool busy = request.team().empty() && m_dispatcher.headVirtualTime(request.pool()).has_value();
    std::uint32_t remaining = busy ? 1 : request.count();
    const auto add = [&](const std::string &resource) {
        const std::uint32_t count = std::min(remaining, m_permits.usable(resource, allocations, now));
        if (count > 0) {
            wire::permit_entry &entry = entries.emplace_back();
            entry.set_resource(resource);
            entry.set_count(count);
            remaining -= count;
        }
    };
    if (!request.team().empty()) {
        add(teamResource(request.team()));
        return entries;
    }
    for (const std::string &worker : m_dispatcher.workersOf(request.pool(), m_session.state())) {
        if (remaining > 0) {
            add(workerResource(worker));
        }
    }
    return entries;
}

bool permit_loan_manager::tryLend(session_id borrower, const wire::loan_request &request, instant now)
{
    if (!mayLend(request)) {
        return false;
    }
    wire::peer_message message;
    wire::loan_grant &grant = *message.mutable_loan();
    const duration longestRun = m_session.state().config().longestRun();
    grant = m_permits.lend(borrower, lendablePermits(request, now), m_session.state().permitAllocations(), longestRun, now);
    if (grant.entries_size() == 0) {
        return false;
    }
    grant.set_token(request.token());
    m_peers.send(borrower, message);
    return true;
}

void permit_loan_manager::servePendingRequests(instant now)
{
    std::erase_if(m_pendingRequests, [&](const auto &pending) {
        const bool expired = now - pending.second.receivedAt > PENDING_REQUEST_LIFETIME;
        return expired || tryLend(pending.first.first, pending.second.request, now);
    });
}

void permit_loan_manager::onLoanGrant(session_id from, const wire::loan_grant &grant)
{
    const auto requested = m_requestedLoans.find(grant.token());
    if (requested == m_requestedLoans.end() || requested->second.lender != from) {
        // The request is no longer tracked, so the end of the loan cannot be computed and the loan is not used. The lender can use
        // its permits again when the loan expires.
        return;
    }
    ++m_grantsReceived;
    m_permits.borrow(from, grant, requested->second.requestedAt, m_clock.now());
    m_requestedLoans.erase(requested);
    if (m_onLoanReceived) {
        m_onLoanReceived();
    }
}

void permit_loan_manager::returnIdleLoans(instant now)
{
    const fleet_state &state = m_session.state();
    const auto isNeeded = [&](const std::string &resource) {
        return m_dispatcher.hasDemandFor(resource, state);
    };
    for (const pending_loan_return &loanReturn : m_permits.collectLoanReturns(state.permitAllocations(), isNeeded, now)) {
        wire::peer_message message;
        *message.mutable_returned() = loanReturn.message;
        m_peers.send(loanReturn.lender, message);
    }
}

} // namespace jujubespool

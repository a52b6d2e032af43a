// Borrows permits that waiting requests lack from peers, and lends permits that this host does not need.
//
//     permit_loan_manager loans(clock, session, peers, permits, dispatcher);
//     loans.requestLoans(now);           // requests permits for waiting requests
//     loans.servePendingRequests(now);   // call before requests of this host take freed slots
//     loans.returnIdleLoans(now);        // returns borrowed permits without demand
#pragma once

#include <functional>
#include <jujubespool/core/dispatcher.h>
#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

class permit_loan_manager
{
public:
    permit_loan_manager(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits, dispatcher &requests);

    // Sets the function to call when a loan has been received, so that waiting requests can start.
    void setLoanReceivedCallback(std::function<void()> callback)
    {
        m_onLoanReceived = std::move(callback);
    }

    // Sends loan requests to all reachable peers for the permits that waiting requests lack.
    void requestLoans(instant now);
    // Retries recent requests of peers that could not be served when they arrived.
    void servePendingRequests(instant now);
    // Returns borrowed permits for which no request waits.
    void returnIdleLoans(instant now);

    std::uint64_t grantsReceived() const
    {
        return m_grantsReceived;
    }

private:
    struct requested_loan
    {
        session_id lender = NO_SESSION;
        instant requestedAt;
    };
    // A peer's request that could not be served when it arrived.
    struct pending_request
    {
        wire::loan_request request;
        instant receivedAt;
    };

    void onLoanRequest(session_id from, const wire::loan_request &request);
    void onLoanGrant(session_id from, const wire::loan_grant &grant);
    bool tryLend(session_id borrower, const wire::loan_request &request, instant now);
    std::vector<wire::permit_entry> lendablePermits(const wire::loan_request &request, instant now) const;
    bool mayLend(const wire::loan_request &request) const;

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    permit_tracker &m_permits;
    dispatcher &m_dispatcher;
    std::function<void()> m_onLoanReceived;
    std::map<std::uint64_t, requested_loan> m_requestedLoans;
    std::map<std::string, instant> m_lastRequestAt;
    std::map<std::pair<session_id, std::string>, pending_request> m_pendingRequests;
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_grantsReceived = 0;
};

} // namespace jujubespool

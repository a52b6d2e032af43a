// Borrows permits that waiting requests lack and lends those that this host does not need.
//
//     loan_desk loans(clock, session, peers, permits, work);
//     loans.ask(now);            // for what waits
//     loans.serveWaiting(now);   // before own work takes freed slots
//     loans.settle(now);         // returns what is idle
#pragma once

#include <functional>
#include <jujubespool/core/dispatcher.h>
#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

class loan_desk
{
public:
    loan_desk(time_source &clock, log_session &session, peer_group &peers, permit_tracker &permits, dispatcher &work);

    // Called when a loan has arrived, so that waiting work can start.
    void onArrival(std::function<void()> call)
    {
        m_arrival = std::move(call);
    }

    void ask(instant now);
    void serveWaiting(instant now);
    void settle(instant now);

    std::uint64_t grantsReceived() const
    {
        return m_received;
    }

private:
    struct asked_loan
    {
        session_id lender = NO_SESSION;
        instant askedAt;
    };
    // A request of a peer that could not be served yet.
    struct waiting_request
    {
        wire::loan_request request;
        instant receivedAt;
    };

    void onRequest(session_id from, const wire::loan_request &request);
    void onGrant(session_id from, const wire::loan_grant &grant);
    bool tryLend(session_id borrower, const wire::loan_request &request, instant now);
    std::vector<wire::permit_entry> lendable(const wire::loan_request &request, instant now) const;
    bool mayLend(const wire::loan_request &request) const;

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    permit_tracker &m_permits;
    dispatcher &m_work;
    std::function<void()> m_arrival;
    std::map<std::uint64_t, asked_loan> m_asked;
    std::map<std::string, instant> m_lastAsked;
    std::map<std::pair<session_id, std::string>, waiting_request> m_waiting;
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_received = 0;
};

} // namespace jujubespool

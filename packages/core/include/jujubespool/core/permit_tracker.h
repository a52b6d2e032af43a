// The permits that one entry host may use right now.
//
// A host may start work only against a permit that it holds on the allocations and has neither given
// away nor lent, or that a peer has lent to it. Loans pass between peers without the log:
//
//     if (permits.acquire("team/cantons", allocations, now)) {
//         start();
//     }
//     permits.release("team/cantons");
//
// The lender counts a loan as used until it is returned, or until its end plus the longest run
// time. The borrower starts nothing on it after its end, which it counts from the moment at which
// it asked, before the lender granted it. Both sides need only clocks of about equal speed.
#pragma once

#include <functional>
#include <jujubespool/core/permit_allocations.h>
#include <jujubespool/core/time.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubespool {

struct pending_loan_return
{
    session_id lender = NO_SESSION;
    wire::loan_return message;
};

class permit_tracker
{
public:
    explicit permit_tracker(session_id self);

    // Permits on which work may start now.
    std::uint32_t usable(const std::string &resource, const permit_allocations &allocations, instant now) const;

    // Uses one permit. Fails when none is usable.
    bool acquire(const std::string &resource, const permit_allocations &allocations, instant now);
    void release(const std::string &resource);

    std::uint32_t inUse(const std::string &resource) const;
    // Permits that records give which were not read back yet.
    std::uint32_t pendingTransfer(const std::string &resource) const;

    // Stops using the entries because a record that gives them is about to be appended.
    void beginTransfer(std::uint64_t sequence, const wire::permit_give &give);
    // The record was read back, accepted or not.
    void finishTransfer(std::uint64_t sequence);

    // Lends what is usable of the entries; an empty grant lends nothing.
    wire::loan_grant lend(session_id borrower, const std::vector<wire::permit_entry> &wanted, const permit_allocations &allocations,
                          duration longestRun, instant now);

    // Counts a loan that was asked for at askedAt.
    void borrow(session_id lender, const wire::loan_grant &grant, instant askedAt, instant now);

    // The borrower gives entries of a loan back.
    void onLoanReturned(session_id borrower, const wire::loan_return &returned);

    // Returns what has to be sent to the lenders: permits of ended loans that no running work needs,
    // and idle ones of which keepIdle says that no work waits for them.
    std::vector<pending_loan_return> collectLoanReturns(const permit_allocations &allocations,
                                                        const std::function<bool(const std::string &)> &keepIdle, instant now);

    // Uses nothing from now on, because the session has ended.
    void fence()
    {
        m_fenced = true;
    }
    bool fenced() const
    {
        return m_fenced;
    }

    std::uint32_t lentOut(const std::string &resource, instant now) const;
    std::uint32_t borrowed(const std::string &resource, instant now) const;

private:
    struct lent_loan
    {
        std::uint64_t loan = 0;
        session_id borrower = NO_SESSION;
        std::uint32_t count = 0;
        instant heldUntil;
    };
    struct borrowed_loan
    {
        std::uint64_t loan = 0;
        session_id lender = NO_SESSION;
        std::uint32_t count = 0;
        instant usableUntil;
    };
    struct account
    {
        std::uint32_t inUse = 0;
        std::uint32_t giving = 0;
        std::vector<lent_loan> lent;
        std::vector<borrowed_loan> borrowed;
    };

    // Permits that cover running work, without those of ended loans. May be negative.
    std::int64_t capacity(const std::string &resource, const account &account, const permit_allocations &allocations, instant now) const;

    session_id m_self;
    bool m_fenced = false;
    std::uint64_t m_lastLoan = 0;
    std::unordered_map<std::string, account> m_accounts;
    std::map<std::uint64_t, wire::permit_give> m_gives;
};

// Time during which a borrower may start work on a loan.
constexpr milliseconds LOAN_DURATION{ 1000 };
// Added by the lender for a borrower that was paused between its check and its send, and for clocks of unequal speed.
constexpr milliseconds LOAN_MARGIN{ 500 };

} // namespace jujubespool

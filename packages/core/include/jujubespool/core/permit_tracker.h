// Tracks the permits that one entry host may use at present.
//
// A host may start work only on a permit that the allocations assign to it and that it neither transfers away
// nor has lent, or on a permit that a peer has lent to it. Peers exchange loans directly, without the log:
//
//     if (permits.acquire("team/cantons", allocations, now)) {
//         start();
//     }
//     permits.release("team/cantons");
//
// The lender counts a loan as used until the borrower returns it, or until its end plus the longest run
// time. The borrower starts no work on a loan after its end. It measures the duration from the moment at which it
// sent its request, which is before the lender granted the loan, so both clocks only need to run at about the same speed.
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

// A message that returns borrowed permits and has to be sent to their lender.
struct pending_loan_return
{
    session_id lender = NO_SESSION;
    wire::loan_return message;
};

class permit_tracker
{
public:
    explicit permit_tracker(session_id self);

    // Number of permits on which work may start now.
    std::uint32_t usable(const std::string &resource, const permit_allocations &allocations, instant now) const;

    // Marks one permit as used. Fails when none is usable.
    bool acquire(const std::string &resource, const permit_allocations &allocations, instant now);
    void release(const std::string &resource);

    std::uint32_t inUse(const std::string &resource) const;
    // Number of permits in transfer records that were not yet read back from the log.
    std::uint32_t pendingTransfer(const std::string &resource) const;

    // Makes the permits unusable because the record with this sequence number, which transfers them, is about to be appended.
    void beginTransfer(std::uint64_t sequence, const wire::permit_give &give);
    // Handles that the record was read back from the log, whether it was applied or rejected.
    void finishTransfer(std::uint64_t sequence);

    // Lends those of the requested permits that are usable. A grant without entries lends nothing.
    wire::loan_grant lend(session_id borrower, const std::vector<wire::permit_entry> &wanted, const permit_allocations &allocations,
                          duration longestRun, instant now);

    // Adds a loan that was requested at askedAt. A grant that arrives twice is added once.
    void borrow(session_id lender, const wire::loan_grant &grant, instant askedAt, instant now);

    // Handles that the borrower returns permits of a loan.
    void onLoanReturned(session_id borrower, const wire::loan_return &returned);

    // Removes and returns the borrowed permits that are no longer needed: those of ended loans that no running work uses,
    // and idle ones of resources for which hasDemand returns false.
    std::vector<pending_loan_return> collectLoanReturns(const permit_allocations &allocations,
                                                        const std::function<bool(const std::string &)> &hasDemand, instant now);

    // Makes all permits unusable for good, because the session has ended.
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
        std::uint64_t loanId = 0;
        session_id borrower = NO_SESSION;
        std::uint32_t count = 0;
        instant heldUntil;
    };
    struct borrowed_loan
    {
        std::uint64_t loanId = 0;
        session_id lender = NO_SESSION;
        std::uint32_t count = 0;
        instant usableUntil;
    };
    struct resource_usage
    {
        std::uint32_t inUse = 0;
        std::uint32_t pendingTransfer = 0;
        std::vector<lent_loan> lent;
        std::vector<borrowed_loan> borrowed;
    };

    // Permits that may cover running work, without those of ended loans. May be negative.
    std::int64_t capacity(const std::string &resource, const resource_usage &usage, const permit_allocations &allocations,
                          instant now) const;

    session_id m_self;
    bool m_fenced = false;
    std::uint64_t m_lastLoanId = 0;
    std::unordered_map<std::string, resource_usage> m_usage;
    std::map<std::uint64_t, wire::permit_give> m_pendingTransfers;
};

// Time after the request for a loan during which the borrower may start work on it.
constexpr milliseconds LOAN_DURATION{ 1000 };
// Time that the lender waits in addition, because a borrower may be paused between its check and its send and because clocks
// differ in speed.
constexpr milliseconds LOAN_MARGIN{ 500 };

} // namespace jujubespool

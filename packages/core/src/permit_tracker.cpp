#include <jujubespool/core/permit_tracker.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Part of the session's holding that may be used. It is reduced in proportion while the sessions together hold more permits
// than a lowered limit allows.
std::int64_t cappedHolding(const resource_allocation &allocation, session_id self)
{
    const std::uint64_t held = allocation.heldBy(self);
    const std::uint64_t total = allocation.totalHeld();
    if (total <= allocation.limit) {
        return static_cast<std::int64_t>(held);
    }
    return static_cast<std::int64_t>(held * allocation.limit / total);
}

} // namespace

permit_tracker::permit_tracker(session_id self)
    : m_self(self)
{
}

std::int64_t permit_tracker::capacity(const std::string &resource, const resource_usage &usage, const permit_allocations &allocations,
                                      instant now) const
{
    const resource_allocation *allocation = allocations.find(resource);
    if (allocation == nullptr || allocation->limit == 0) {
        return 0;
    }
    std::int64_t count = cappedHolding(*allocation, m_self) - usage.pendingTransfer;
    for (const lent_loan &loan : usage.lent) {
        count -= now < loan.heldUntil ? loan.count : 0;
    }
    for (const borrowed_loan &loan : usage.borrowed) {
        count += now < loan.usableUntil ? loan.count : 0;
    }
    return count;
}

std::uint32_t permit_tracker::usable(const std::string &resource, const permit_allocations &allocations, instant now) const
{
    if (m_fenced) {
        return 0;
    }
    const auto found = m_usage.find(resource);
    static const resource_usage NO_USAGE;
    const resource_usage &usage = found == m_usage.end() ? NO_USAGE : found->second;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, capacity(resource, usage, allocations, now) - usage.inUse));
}

bool permit_tracker::acquire(const std::string &resource, const permit_allocations &allocations, instant now)
{
    if (usable(resource, allocations, now) == 0) {
        return false;
    }
    ++m_usage[resource].inUse;
    return true;
}

void permit_tracker::release(const std::string &resource)
{
    resource_usage &usage = m_usage[resource];
    usage.inUse -= usage.inUse > 0 ? 1 : 0;
}

std::uint32_t permit_tracker::inUse(const std::string &resource) const
{
    const auto found = m_usage.find(resource);
    return found == m_usage.end() ? 0 : found->second.inUse;
}

std::uint32_t permit_tracker::pendingTransfer(const std::string &resource) const
{
    const auto found = m_usage.find(resource);
    return found == m_usage.end() ? 0 : found->second.pendingTransfer;
}

void permit_tracker::beginTransfer(std::uint64_t sequence, const wire::permit_give &give)
{
    for (const wire::permit_entry &entry : give.entries()) {
        m_usage[entry.resource()].pendingTransfer += entry.count();
    }
    m_pendingTransfers[sequence] = give;
}

void permit_tracker::finishTransfer(std::uint64_t sequence)
{
    const auto found = m_pendingTransfers.find(sequence);
    if (found == m_pendingTransfers.end()) {
        return;
    }
    for (const wire::permit_entry &entry : found->second.entries()) {
        m_usage[entry.resource()].pendingTransfer -= entry.count();
    }
    m_pendingTransfers.erase(found);
}

wire::loan_grant permit_tracker::lend(session_id borrower, const std::vector<wire::permit_entry> &wanted,
                                      const permit_allocations &allocations, duration longestRun, instant now)
{
    wire::loan_grant grant;
    grant.set_loan(++m_lastLoanId);
    grant.set_duration_ms(LOAN_DURATION.count());
    for (const wire::permit_entry &entry : wanted) {
        resource_usage &usage = m_usage[entry.resource()];
        std::erase_if(usage.lent, [now](const lent_loan &loan) { return loan.count == 0 || now >= loan.heldUntil; });
        const std::uint32_t count = std::min(entry.count(), usable(entry.resource(), allocations, now));
        // Borrowed permits are not lent again, because their owner relies on their return.
        const std::uint32_t own = count - std::min(count, borrowed(entry.resource(), now));
        if (own == 0) {
            continue;
        }
        wire::permit_entry &lent = *grant.add_entries();
        lent.set_resource(entry.resource());
        lent.set_count(own);
        usage.lent.push_back({ m_lastLoanId, borrower, own, now + LOAN_DURATION + LOAN_MARGIN + longestRun });
    }
    return grant;
}

void permit_tracker::borrow(session_id lender, const wire::loan_grant &grant, instant askedAt, instant now)
{
    const instant until = askedAt + milliseconds(grant.duration_ms());
    for (const wire::permit_entry &entry : grant.entries()) {
        std::vector<borrowed_loan> &loans = m_usage[entry.resource()].borrowed;
        const auto same = [&](const borrowed_loan &loan) {
            return loan.loanId == grant.loan() && loan.lender == lender;
        };
        if (std::none_of(loans.begin(), loans.end(), same)) {
            loans.push_back({ grant.loan(), lender, entry.count(), std::max(until, now) });
        }
    }
}

void permit_tracker::onLoanReturned(session_id borrower, const wire::loan_return &returned)
{
    for (const wire::permit_entry &entry : returned.entries()) {
        std::vector<lent_loan> &loans = m_usage[entry.resource()].lent;
        for (lent_loan &loan : loans) {
            if (loan.loanId == returned.loan() && loan.borrower == borrower) {
                loan.count -= std::min(loan.count, entry.count());
            }
        }
        std::erase_if(loans, [](const lent_loan &loan) { return loan.count == 0; });
    }
}

std::vector<pending_loan_return> permit_tracker::collectLoanReturns(const permit_allocations &allocations,
                                                                    const std::function<bool(const std::string &)> &hasDemand, instant now)
{
    std::vector<pending_loan_return> returns;
    for (auto &[resource, usage] : m_usage) {
        if (usage.borrowed.empty()) {
            continue;
        }
        // Running work beyond the capacity uses permits of ended loans, which are kept until it finishes.
        std::int64_t covered
            = std::max<std::int64_t>(0, usage.inUse - std::max<std::int64_t>(0, capacity(resource, usage, allocations, now)));
        const bool keep = hasDemand(resource);
        for (borrowed_loan &loan : usage.borrowed) {
            const bool ended = now >= loan.usableUntil;
            if (!ended && keep) {
                continue;
            }
            std::int64_t needed = covered;
            if (!ended) {
                needed = std::max<std::int64_t>(0, loan.count - static_cast<std::int64_t>(usable(resource, allocations, now)));
            }
            const std::uint32_t kept = static_cast<std::uint32_t>(std::min<std::int64_t>(loan.count, needed));
            const std::uint32_t idle = loan.count - kept;
            covered -= ended ? kept : 0;
            if (idle == 0) {
                continue;
            }
            loan.count = kept;
            pending_loan_return &pendingReturn = returns.emplace_back();
            pendingReturn.lender = loan.lender;
            pendingReturn.message.set_loan(loan.loanId);
            wire::permit_entry &entry = *pendingReturn.message.add_entries();
            entry.set_resource(resource);
            entry.set_count(idle);
        }
        std::erase_if(usage.borrowed, [](const borrowed_loan &loan) { return loan.count == 0; });
    }
    return returns;
}

std::uint32_t permit_tracker::lentOut(const std::string &resource, instant now) const
{
    std::uint32_t count = 0;
    const auto found = m_usage.find(resource);
    if (found != m_usage.end()) {
        for (const lent_loan &loan : found->second.lent) {
            count += now < loan.heldUntil ? loan.count : 0;
        }
    }
    return count;
}

std::uint32_t permit_tracker::borrowed(const std::string &resource, instant now) const
{
    std::uint32_t count = 0;
    const auto found = m_usage.find(resource);
    if (found != m_usage.end()) {
        for (const borrowed_loan &loan : found->second.borrowed) {
            count += now < loan.usableUntil ? loan.count : 0;
        }
    }
    return count;
}

} // namespace jujubespool

#include <jujubespool/core/permit_tracker.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Part of a holding that may be used while more is held in all than a lowered limit allows.
std::int64_t cappedHolding(const resource_allocation &account, session_id self)
{
    const std::uint64_t held = account.heldBy(self);
    const std::uint64_t total = account.totalHeld();
    if (total <= account.limit) {
        return static_cast<std::int64_t>(held);
    }
    return static_cast<std::int64_t>(held * account.limit / total);
}

} // namespace

permit_tracker::permit_tracker(session_id self)
    : m_self(self)
{
}

std::int64_t permit_tracker::capacity(const std::string &resource, const account &account, const permit_allocations &allocations,
                                      instant now) const
{
    const resource_allocation *held = allocations.find(resource);
    if (held == nullptr || held->limit == 0) {
        return 0;
    }
    std::int64_t count = cappedHolding(*held, m_self) - account.giving;
    for (const lent_loan &loan : account.lent) {
        count -= now < loan.heldUntil ? loan.count : 0;
    }
    for (const borrowed_loan &loan : account.borrowed) {
        count += now < loan.usableUntil ? loan.count : 0;
    }
    return count;
}

std::uint32_t permit_tracker::usable(const std::string &resource, const permit_allocations &allocations, instant now) const
{
    if (m_fenced) {
        return 0;
    }
    const auto found = m_accounts.find(resource);
    static const account UNUSED;
    const account &mine = found == m_accounts.end() ? UNUSED : found->second;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, capacity(resource, mine, allocations, now) - mine.inUse));
}

bool permit_tracker::acquire(const std::string &resource, const permit_allocations &allocations, instant now)
{
    if (usable(resource, allocations, now) == 0) {
        return false;
    }
    ++m_accounts[resource].inUse;
    return true;
}

void permit_tracker::release(const std::string &resource)
{
    account &mine = m_accounts[resource];
    mine.inUse -= mine.inUse > 0 ? 1 : 0;
}

std::uint32_t permit_tracker::inUse(const std::string &resource) const
{
    const auto found = m_accounts.find(resource);
    return found == m_accounts.end() ? 0 : found->second.inUse;
}

std::uint32_t permit_tracker::pendingTransfer(const std::string &resource) const
{
    const auto found = m_accounts.find(resource);
    return found == m_accounts.end() ? 0 : found->second.giving;
}

void permit_tracker::beginTransfer(std::uint64_t sequence, const wire::permit_give &give)
{
    for (const wire::permit_entry &entry : give.entries()) {
        m_accounts[entry.resource()].giving += entry.count();
    }
    m_gives[sequence] = give;
}

void permit_tracker::finishTransfer(std::uint64_t sequence)
{
    const auto found = m_gives.find(sequence);
    if (found == m_gives.end()) {
        return;
    }
    for (const wire::permit_entry &entry : found->second.entries()) {
        m_accounts[entry.resource()].giving -= entry.count();
    }
    m_gives.erase(found);
}

wire::loan_grant permit_tracker::lend(session_id borrower, const std::vector<wire::permit_entry> &wanted,
                                      const permit_allocations &allocations, duration longestRun, instant now)
{
    wire::loan_grant grant;
    grant.set_loan(++m_lastLoan);
    grant.set_duration_ms(LOAN_DURATION.count());
    for (const wire::permit_entry &entry : wanted) {
        account &mine = m_accounts[entry.resource()];
        std::erase_if(mine.lent, [now](const lent_loan &loan) { return loan.count == 0 || now >= loan.heldUntil; });
        const std::uint32_t count = std::min(entry.count(), usable(entry.resource(), allocations, now));
        // What was borrowed is not lent on, because its owner counts on its return.
        const std::uint32_t own = count - std::min(count, borrowed(entry.resource(), now));
        if (own == 0) {
            continue;
        }
        wire::permit_entry &lent = *grant.add_entries();
        lent.set_resource(entry.resource());
        lent.set_count(own);
        mine.lent.push_back({ m_lastLoan, borrower, own, now + LOAN_DURATION + LOAN_MARGIN + longestRun });
    }
    return grant;
}

void permit_tracker::borrow(session_id lender, const wire::loan_grant &grant, instant askedAt, instant now)
{
    const instant until = askedAt + milliseconds(grant.duration_ms());
    for (const wire::permit_entry &entry : grant.entries()) {
        std::vector<borrowed_loan> &loans = m_accounts[entry.resource()].borrowed;
        const auto same = [&](const borrowed_loan &loan) {
            return loan.loan == grant.loan() && loan.lender == lender;
        };
        if (std::none_of(loans.begin(), loans.end(), same)) {
            loans.push_back({ grant.loan(), lender, entry.count(), std::max(until, now) });
        }
    }
}

void permit_tracker::onLoanReturned(session_id borrower, const wire::loan_return &returned)
{
    for (const wire::permit_entry &entry : returned.entries()) {
        std::vector<lent_loan> &loans = m_accounts[entry.resource()].lent;
        for (lent_loan &loan : loans) {
            if (loan.loan == returned.loan() && loan.borrower == borrower) {
                loan.count -= std::min(loan.count, entry.count());
            }
        }
        std::erase_if(loans, [](const lent_loan &loan) { return loan.count == 0; });
    }
}

std::vector<pending_loan_return> permit_tracker::collectLoanReturns(const permit_allocations &allocations,
                                                                    const std::function<bool(const std::string &)> &keepIdle, instant now)
{
    std::vector<pending_loan_return> returns;
    for (auto &[resource, mine] : m_accounts) {
        if (mine.borrowed.empty()) {
            continue;
        }
        // Running work beyond the capacity is covered by ended loans, which stay until it finishes.
        std::int64_t covered
            = std::max<std::int64_t>(0, mine.inUse - std::max<std::int64_t>(0, capacity(resource, mine, allocations, now)));
        const bool keep = keepIdle(resource);
        for (borrowed_loan &loan : mine.borrowed) {
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
            pending_loan_return &back = returns.emplace_back();
            back.lender = loan.lender;
            back.message.set_loan(loan.loan);
            wire::permit_entry &entry = *back.message.add_entries();
            entry.set_resource(resource);
            entry.set_count(idle);
        }
        std::erase_if(mine.borrowed, [](const borrowed_loan &loan) { return loan.count == 0; });
    }
    return returns;
}

std::uint32_t permit_tracker::lentOut(const std::string &resource, instant now) const
{
    std::uint32_t count = 0;
    const auto found = m_accounts.find(resource);
    if (found != m_accounts.end()) {
        for (const lent_loan &loan : found->second.lent) {
            count += now < loan.heldUntil ? loan.count : 0;
        }
    }
    return count;
}

std::uint32_t permit_tracker::borrowed(const std::string &resource, instant now) const
{
    std::uint32_t count = 0;
    const auto found = m_accounts.find(resource);
    if (found != m_accounts.end()) {
        for (const borrowed_loan &loan : found->second.borrowed) {
            count += now < loan.usableUntil ? loan.count : 0;
        }
    }
    return count;
}

} // namespace jujubespool

// Who holds how much of each limited resource.
//
// A limit is split into permits. Each permit is held by one session or is unassigned, so the
// sessions together can never use more than the limit, whether they reach each other or not. Team
// limits, the slots of each host and the ranges of idempotency keys are all kept here:
//
//     allocations.setLimit(workerResource("b07"), 8, "lausanne");
//     allocations.take(workerResource("b07"), session, 3);
//     allocations.give(workerResource("b07"), session, NO_SESSION, 3);
//
// The allocations is a part of fleet_state and changes only when a log record is applied.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

using session_id = std::uint64_t;
constexpr session_id NO_SESSION = 0;

std::string teamResource(const std::string &team);
std::string workerResource(const std::string &host);
std::string rangeResource(std::uint32_t range);

// One session's part of a resource.
struct permit_holding
{
    session_id session = NO_SESSION;
    std::uint32_t count = 0;
};

struct resource_allocation
{
    std::uint32_t limit = 0;
    // Data centre whose sessions alone may take permits; empty for all.
    std::string dataCenter;
    // Sorted by session; no entry has count 0.
    std::vector<permit_holding> holdings;

    std::uint32_t heldBy(session_id session) const;
    std::uint32_t totalHeld() const;
    // Negative while more is held than a lowered limit allows.
    std::int64_t unassigned() const;
};

class permit_allocations
{
public:
    // Creates the account or changes its limit. Nothing that is held is taken away.
    void setLimit(const std::string &resource, std::uint32_t limit, const std::string &dataCenter = {});

    // Forgets the account. Only accounts that nobody holds a part of may be forgotten.
    bool erase(const std::string &resource);

    const resource_allocation *find(const std::string &resource) const;
    std::uint32_t heldBy(const std::string &resource, session_id session) const;

    // Takes unassigned permits. Fails and changes nothing when fewer than count are unassigned.
    bool allocate(const std::string &resource, session_id session, std::uint32_t count);

    // Hands permits over, or back when the receiver is NO_SESSION.
    // Fails and changes nothing when the giver holds fewer than count.
    bool transfer(const std::string &resource, session_id from, session_id receiver, std::uint32_t count);

    // Unassigns everything that the session holds and returns the names of those resources.
    std::vector<std::string> releaseAll(session_id session);

    // Restores one holding of a snapshot.
    void restore(const std::string &resource, session_id session, std::uint32_t count);

    const std::map<std::string, resource_allocation> &accounts() const
    {
        return m_accounts;
    }

private:
    std::map<std::string, resource_allocation> m_accounts;
};

} // namespace jujubespool

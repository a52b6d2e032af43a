// Tracks how many permits of each limited resource every session holds.
//
// A limit is split into permits. Each permit is held by one session or is unassigned, so the
// sessions together never use more than the limit, even when they cannot reach each other. The limits of
// teams, the slots of hosts and the ranges of idempotency keys are resources:
//
//     allocations.setLimit(workerResource("b07"), 8, "lausanne");
//     allocations.allocate(workerResource("b07"), session, 3);
//     allocations.transfer(workerResource("b07"), session, NO_SESSION, 3);
//
// The allocations are part of fleet_state and change only when a log record is applied.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

using session_id = std::uint64_t;
constexpr session_id NO_SESSION = 0;

// Names of the resources: permits of a team, slots of a host, a range of idempotency keys.
std::string teamResource(const std::string &team);
std::string workerResource(const std::string &host);
std::string rangeResource(std::uint32_t range);

// Permits of a resource that one session holds.
struct permit_holding
{
    session_id session = NO_SESSION;
    std::uint32_t count = 0;
};

struct resource_allocation
{
    std::uint32_t limit = 0;
    // Data centre to whose sessions the permits are restricted; empty for no restriction.
    std::string dataCenter;
    // Sorted by session. Every count is above 0.
    std::vector<permit_holding> holdings;

    std::uint32_t heldBy(session_id session) const;
    std::uint32_t totalHeld() const;
    // Negative while the sessions hold more permits than a lowered limit allows.
    std::int64_t unassigned() const;
};

class permit_allocations
{
public:
    // Adds the resource or changes its limit. Sessions keep the permits that they hold.
    void setLimit(const std::string &resource, std::uint32_t limit, const std::string &dataCenter = {});

    // Removes the resource. Fails while any session holds permits of it.
    bool erase(const std::string &resource);

    // Returns nullptr for an unknown resource.
    const resource_allocation *find(const std::string &resource) const;
    std::uint32_t heldBy(const std::string &resource, session_id session) const;

    // Assigns unassigned permits to the session. Fails and changes nothing when count is 0 or fewer than count are unassigned.
    bool allocate(const std::string &resource, session_id session, std::uint32_t count);

    // Transfers permits to the receiver, or unassigns them when the receiver is NO_SESSION.
    // Fails and changes nothing when count is 0 or the sender holds fewer than count.
    bool transfer(const std::string &resource, session_id from, session_id receiver, std::uint32_t count);

    // Unassigns all permits of the session and returns the names of their resources.
    std::vector<std::string> releaseAll(session_id session);

    // Adds a holding from a snapshot, without checking the limit.
    void restore(const std::string &resource, session_id session, std::uint32_t count);

    const std::map<std::string, resource_allocation> &resources() const
    {
        return m_resources;
    }

private:
    std::map<std::string, resource_allocation> m_resources;
};

} // namespace jujubespool

#include <jujubespool/core/permit_allocations.h>

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

namespace {

std::vector<permit_holding>::iterator positionOf(std::vector<permit_holding> &holdings, session_id session)
{
    return std::lower_bound(holdings.begin(), holdings.end(), session,
                            [](const permit_holding &holding, session_id id) { return holding.session < id; });
}

void add(std::vector<permit_holding> &holdings, session_id session, std::uint32_t count)
{
    const auto position = positionOf(holdings, session);
    if (position != holdings.end() && position->session == session) {
        position->count += count;
    } else {
        holdings.insert(position, { session, count });
    }
}

void subtract(std::vector<permit_holding> &holdings, session_id session, std::uint32_t count)
{
    const auto position = positionOf(holdings, session);
    position->count -= count;
    if (position->count == 0) {
        holdings.erase(position);
    }
}

} // namespace

std::string teamResource(const std::string &team)
{
    return "team/" + team;
}

std::string workerResource(const std::string &host)
{
    return "worker/" + host;
}

std::string rangeResource(std::uint32_t range)
{
    return fmt::format("range/{:03}", range);
}

std::uint32_t resource_allocation::heldBy(session_id session) const
{
    for (const permit_holding &holding : holdings) {
        if (holding.session == session) {
            return holding.count;
        }
    }
    return 0;
}

std::uint32_t resource_allocation::totalHeld() const
{
    std::uint32_t total = 0;
    for (const permit_holding &holding : holdings) {
        total += holding.count;
    }
    return total;
}

std::int64_t resource_allocation::unassigned() const
{
    return static_cast<std::int64_t>(limit) - totalHeld();
}

void permit_allocations::setLimit(const std::string &resource, std::uint32_t limit, const std::string &dataCenter)
{
    resource_allocation &allocation = m_resources[resource];
    allocation.limit = limit;
    allocation.dataCenter = dataCenter;
}

bool permit_allocations::erase(const std::string &resource)
{
    const auto found = m_resources.find(resource);
    if (found == m_resources.end() || !found->second.holdings.empty()) {
        return false;
    }
    m_resources.erase(found);
    return true;
}

const resource_allocation *permit_allocations::find(const std::string &resource) const
{
    const auto found = m_resources.find(resource);
    return found == m_resources.end() ? nullptr : &found->second;
}

std::uint32_t permit_allocations::heldBy(const std::string &resource, session_id session) const
{
    const resource_allocation *allocation = find(resource);
    return allocation == nullptr ? 0 : allocation->heldBy(session);
}

bool permit_allocations::allocate(const std::string &resource, session_id session, std::uint32_t count)
{
    const auto found = m_resources.find(resource);
    if (found == m_resources.end() || count == 0 || found->second.unassigned() < count) {
        return false;
    }
    add(found->second.holdings, session, count);
    return true;
}

bool permit_allocations::transfer(const std::string &resource, session_id from, session_id receiver, std::uint32_t count)
{
    const auto found = m_resources.find(resource);
    if (found == m_resources.end() || count == 0 || found->second.heldBy(from) < count) {
        return false;
    }
    subtract(found->second.holdings, from, count);
    if (receiver != NO_SESSION) {
        add(found->second.holdings, receiver, count);
    }
    return true;
}

std::vector<std::string> permit_allocations::releaseAll(session_id session)
{
    std::vector<std::string> released;
    for (auto &[name, allocation] : m_resources) {
        const std::uint32_t count = allocation.heldBy(session);
        if (count > 0) {
            subtract(allocation.holdings, session, count);
            released.push_back(name);
        }
    }
    return released;
}

void permit_allocations::restore(const std::string &resource, session_id session, std::uint32_t count)
{
    add(m_resources[resource].holdings, session, count);
}

} // namespace jujubespool

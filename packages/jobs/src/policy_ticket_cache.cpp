#include <jujubespool/jobs/policy_ticket_cache.h>

namespace jujubespool {

namespace {

// A ticket must still be valid when the start order arrives at the worker.
constexpr milliseconds MIN_REMAINING_VALIDITY{ 150 };

} // namespace

const std::string *policy_ticket_cache::ticketFor(const std::string &step, const worker &target, instant now) const
{
    const auto entry = m_steps.find(step);
    if (entry == m_steps.end()) {
        return nullptr;
    }
    const auto found = entry->second.tickets.find(target.report.id);
    const bool valid = found != entry->second.tickets.end() && found->second.startTimeMs == target.report.startTimeMs
        && now + MIN_REMAINING_VALIDITY < found->second.validUntil;
    return valid ? &found->second.value : nullptr;
}

bool policy_ticket_cache::isDenied(const std::string &step, const std::string &workerId) const
{
    const auto entry = m_steps.find(step);
    return entry != m_steps.end() && entry->second.deniedWorkers.count(workerId) > 0;
}

void policy_ticket_cache::recordRequest(const std::string &step)
{
    m_pendingRequests.insert(step);
}

void policy_ticket_cache::recordResponse(const ticket_request &request, const ticket_response &response, const worker_registry &workers,
                                         instant now)
{
    m_pendingRequests.erase(request.step);
    if (!response.tickets) {
        return;
    }
    step_tickets &cached = m_steps[request.step];
    for (const std::string &id : request.workers) {
        const auto granted = response.tickets->find(id);
        const auto target = workers.all().find(id);
        if (granted == response.tickets->end()) {
            cached.deniedWorkers.insert(id);
        } else if (target != workers.all().end()) {
            cached.tickets[id] = { granted->second, target->second.report.startTimeMs, now + response.validity };
        }
    }
}

void policy_ticket_cache::invalidateTicket(const std::string &step, const std::string &workerId)
{
    const auto entry = m_steps.find(step);
    if (entry != m_steps.end()) {
        entry->second.tickets.erase(workerId);
    }
}

} // namespace jujubespool

#include <jujubespool/jobs/policy_ticket_cache.h>

#include <algorithm>

namespace jujubespool {

namespace {

// A ticket must still be valid when the start order arrives at the worker, and before that the start is recorded.
constexpr milliseconds MIN_TIME_TO_ARRIVE{ 20 };
constexpr milliseconds MIN_REMAINING_VALIDITY{ 150 };
// Times between requests for a step to which the policy service gives no usable answer.
constexpr milliseconds MIN_RETRY_DELAY{ 100 };
constexpr milliseconds MAX_RETRY_DELAY{ 1600 };

} // namespace

const policy_ticket_cache::ticket *policy_ticket_cache::find(const std::string &step, const worker &target) const
{
    const auto entry = m_steps.find(step);
    if (entry == m_steps.end()) {
        return nullptr;
    }
    const auto found = entry->second.tickets.find(target.report.id);
    const bool current = found != entry->second.tickets.end() && found->second.startTimeMs == target.report.startTimeMs;
    return current ? &found->second : nullptr;
}

const std::string *policy_ticket_cache::ticketFor(const std::string &step, const worker &target, instant now) const
{
    const ticket *found = find(step, target);
    return found != nullptr && now + MIN_REMAINING_VALIDITY < found->validUntil ? &found->value : nullptr;
}

std::optional<instant> policy_ticket_cache::validUntil(const std::string &step, const worker &target) const
{
    const ticket *found = find(step, target);
    return found == nullptr ? std::nullopt : std::optional(found->validUntil - MIN_TIME_TO_ARRIVE);
}

bool policy_ticket_cache::isDenied(const std::string &step, const worker &target) const
{
    const auto entry = m_steps.find(step);
    if (entry == m_steps.end()) {
        return false;
    }
    const auto denied = entry->second.deniedWorkers.find(target.report.id);
    return denied != entry->second.deniedWorkers.end() && denied->second == target.report.startTimeMs;
}

bool policy_ticket_cache::mayRequest(const std::string &step, instant now) const
{
    const auto entry = m_steps.find(step);
    return !isRequestPending(step) && (entry == m_steps.end() || now >= entry->second.retryAt);
}

void policy_ticket_cache::recordRequest(const ticket_request &request, const worker_registry &workers)
{
    incarnations &asked = m_pendingRequests[request.step];
    for (const std::string &id : request.workers) {
        const auto target = workers.all().find(id);
        if (target != workers.all().end()) {
            asked[id] = target->second.report.startTimeMs;
        }
    }
}

milliseconds policy_ticket_cache::recordResponse(const ticket_request &request, const ticket_response &response, instant now)
{
    const auto pending = m_pendingRequests.extract(request.step);
    step_tickets &cached = m_steps[request.step];
    if (!response.tickets) {
        cached.retryDelay = std::clamp(cached.retryDelay * 2, MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        cached.retryAt = now + cached.retryDelay;
        return cached.retryDelay;
    }
    cached.retryDelay = milliseconds(0);
    const milliseconds validity = response.validity.count() > 0 ? response.validity : request.validity;
    const incarnations asked = pending.empty() ? incarnations() : pending.mapped();
    for (const auto &[id, startTimeMs] : asked) {
        const auto granted = response.tickets->find(id);
        if (granted == response.tickets->end()) {
            cached.deniedWorkers[id] = startTimeMs;
        } else {
            cached.tickets[id] = { granted->second, startTimeMs, now + validity };
        }
    }
    return milliseconds(0);
}

void policy_ticket_cache::prune(const std::function<bool(const std::string &step)> &isNeeded, const worker_registry &workers)
{
    const auto isCurrent = [&workers](const std::string &id, std::uint64_t startTimeMs) {
        const auto target = workers.all().find(id);
        return target != workers.all().end() && target->second.report.startTimeMs == startTimeMs;
    };
    std::erase_if(m_steps, [&](const auto &entry) { return !isNeeded(entry.first); });
    for (auto &[step, cached] : m_steps) {
        std::erase_if(cached.tickets, [&](const auto &entry) { return !isCurrent(entry.first, entry.second.startTimeMs); });
        std::erase_if(cached.deniedWorkers, [&](const auto &entry) { return !isCurrent(entry.first, entry.second); });
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

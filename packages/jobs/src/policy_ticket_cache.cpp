#include <jujubespool/jobs/policy_ticket_cache.h>

#include <algorithm>

namespace jujubespool {

namespace {

// A ticket must still be valid when the start order arrives at the worker, and before that the start is recorded.
constexpr milliseconds MIN_TIME_TO_ARRIVE{ 20 };
constexpr milliseconds MIN_REMAINING_VALIDITY{ 150 };
// Time until a step is requested again to which the policy service gives no usable answer. It doubles up to MAX_PROBE_INTERVAL.
constexpr milliseconds MIN_RETRY_DELAY{ 100 };
// The grant ratio of a queue is that of about this many workers that were asked last.
constexpr double REMEMBERED_WORKERS = 400;
// For a step, the grant ratio of its queue counts as much as this many workers that were asked for the step.
constexpr double WEIGHT_OF_QUEUE = 2;

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
    return entry == m_steps.end() || now >= entry->second.retryAt;
}

double policy_ticket_cache::grantRatio(const std::string &queue, const std::string &step) const
{
    const auto known = m_grants.find(queue);
    const grant_counts counts = known == m_grants.end() ? grant_counts() : known->second;
    // The mean of what is known and of one worker that was permitted and one that was not.
    const double ratioOfQueue = (counts.granted + 1) / (counts.asked + 2);
    const auto entry = m_steps.find(step);
    if (entry == m_steps.end()) {
        return ratioOfQueue;
    }
    const auto granted = static_cast<double>(entry->second.tickets.size());
    const auto denied = static_cast<double>(entry->second.deniedWorkers.size());
    return (granted + WEIGHT_OF_QUEUE * ratioOfQueue) / (granted + denied + WEIGHT_OF_QUEUE);
}

std::uint64_t policy_ticket_cache::recordRequest(const ticket_request &request, const worker_registry &workers, instant now)
{
    if (isRequestPending(request.step)) {
        m_pacer.onRepeated(now);
    }
    const std::uint64_t number = m_pacer.onSent(request.cost, now);
    pending_request &pending = m_pendingRequests[number];
    pending.request = request;
    m_pendingSteps[request.step] = number;
    for (const std::string &id : request.workers) {
        const auto target = workers.all().find(id);
        if (target != workers.all().end()) {
            pending.asked[id] = target->second.report.startTimeMs;
        }
    }
    return number;
}

void policy_ticket_cache::recordResponse(std::uint64_t number, const ticket_response &response, instant now)
{
    const auto pending = m_pendingRequests.extract(number);
    if (pending.empty()) {
        return;
    }
    const ticket_request &request = pending.mapped().request;
    m_pacer.onResponse(number, response.tickets ? ticket_outcome::answered : response.outcome, now);
    release(number, request.step);
    if (response.tickets) {
        // Another request for the step may be pending, but what it asked for is known now.
        m_pendingSteps.erase(request.step);
        recordAnswer(pending.mapped(), response, now);
    } else if (response.outcome == ticket_outcome::unusable) {
        step_tickets &cached = m_steps[request.step];
        cached.retryDelay = std::clamp(cached.retryDelay * 2, MIN_RETRY_DELAY, MAX_PROBE_INTERVAL);
        cached.retryAt = now + cached.retryDelay;
    }
}

void policy_ticket_cache::recordAnswer(const pending_request &answered, const ticket_response &response, instant now)
{
    const ticket_request &request = answered.request;
    step_tickets &cached = m_steps[request.step];
    cached.retryDelay = milliseconds(0);
    grant_counts &counts = m_grants[request.queue];
    if (counts.asked > REMEMBERED_WORKERS) {
        counts.asked /= 2;
        counts.granted /= 2;
    }
    const milliseconds validity = response.validity.count() > 0 ? response.validity : request.validity;
    for (const auto &[id, startTimeMs] : answered.asked) {
        const auto granted = response.tickets->find(id);
        counts.asked += 1;
        if (granted == response.tickets->end()) {
            cached.deniedWorkers[id] = startTimeMs;
        } else {
            counts.granted += 1;
            cached.tickets[id] = { granted->second, startTimeMs, now + validity };
        }
    }
}

void policy_ticket_cache::release(std::uint64_t number, const std::string &step)
{
    const auto latest = m_pendingSteps.find(step);
    if (latest != m_pendingSteps.end() && latest->second == number) {
        m_pendingSteps.erase(latest);
    }
}

std::vector<std::string> policy_ticket_cache::releaseLostRequests(instant now)
{
    std::vector<std::string> steps;
    for (const std::uint64_t number : m_pacer.takeLost(now)) {
        const auto lost = m_pendingRequests.find(number);
        if (lost != m_pendingRequests.end()) {
            steps.push_back(lost->second.request.step);
            release(number, lost->second.request.step);
        }
    }
    return steps;
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

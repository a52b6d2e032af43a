#include <jujubespool/jobs/policy_ticket_cache.h>

namespace jujubespool {

namespace {

// A ticket has to be valid still when the start arrives.
constexpr milliseconds TICKET_MARGIN{ 150 };

} // namespace

const std::string *policy_ticket_cache::ticketFor(const std::string &step, const worker &target, instant now) const
{
    const auto advice = m_steps.find(step);
    if (advice == m_steps.end()) {
        return nullptr;
    }
    const auto found = advice->second.good.find(target.report.id);
    const bool valid = found != advice->second.good.end() && found->second.startTimeMs == target.report.startTimeMs
        && now + TICKET_MARGIN < found->second.validUntil;
    return valid ? &found->second.text : nullptr;
}

bool policy_ticket_cache::isDenied(const std::string &step, const std::string &workerId) const
{
    const auto advice = m_steps.find(step);
    return advice != m_steps.end() && advice->second.refused.count(workerId) > 0;
}

void policy_ticket_cache::recordRequest(const std::string &step)
{
    m_asking.insert(step);
}

void policy_ticket_cache::recordResponse(const ticket_request &question, const ticket_response &answer, const worker_registry &workers,
                                         instant now)
{
    m_asking.erase(question.step);
    if (!answer.tickets) {
        return;
    }
    step_advice &advice = m_steps[question.step];
    for (const std::string &id : question.workers) {
        const auto good = answer.tickets->find(id);
        const auto target = workers.all().find(id);
        if (good == answer.tickets->end()) {
            advice.refused.insert(id);
        } else if (target != workers.all().end()) {
            advice.good[id] = { good->second, target->second.report.startTimeMs, now + answer.validity };
        }
    }
}

void policy_ticket_cache::invalidateTicket(const std::string &step, const std::string &workerId)
{
    const auto advice = m_steps.find(step);
    if (advice != m_steps.end()) {
        advice->second.good.erase(workerId);
    }
}

} // namespace jujubespool

#include <jujubespool/jobs/ticket_admission.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr seconds MIN_RETRY_TIME{ 1 };
constexpr seconds MAX_RETRY_TIME{ 60 };

} // namespace

void ticket_admission::onPass(std::size_t stepsToRequest)
{
    m_stepsToRequest = stepsToRequest;
}

void ticket_admission::onAccepted()
{
    ++m_stepsToRequest;
}

duration ticket_admission::expectedWait(const policy_request_pacer &pacer, instant now) const
{
    return pacer.expectedBacklog(now) + static_cast<std::int64_t>(m_stepsToRequest) * pacer.meanCost();
}

std::optional<seconds> ticket_admission::timeUntilAdmitted(const policy_request_pacer &pacer, instant now)
{
    const duration excess = expectedWait(pacer, now) - MAX_TICKET_WAIT;
    if (excess <= duration(0)) {
        return std::nullopt;
    }
    m_lastReturn = std::min(std::max(m_lastReturn, now + excess) + pacer.meanCost(), now + MAX_RETRY_TIME);
    return std::max(std::chrono::ceil<seconds>(m_lastReturn - now), MIN_RETRY_TIME);
}

} // namespace jujubespool

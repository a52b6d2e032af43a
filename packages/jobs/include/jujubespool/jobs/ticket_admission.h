// Decides whether a new job of a queue with a placement policy can start in time, by the tickets that others wait for.
//
//     admission.onPass(result.stepsToRequest);
//     if (const std::optional<seconds> wait = admission.timeUntilAdmitted(tickets.pacer(), now)) { ... refuse the job ... }
//     else { admission.onAccepted(); }
#pragma once

#include <jujubespool/jobs/policy_request_pacer.h>
#include <optional>

namespace jujubespool {

// A new job is refused if its first ticket is expected later than this.
constexpr seconds MAX_TICKET_WAIT{ 10 };

class ticket_admission
{
public:
    // Number of steps for which requests to the policy service have to be sent still.
    void onPass(std::size_t stepsToRequest);
    // A job was accepted that the last pass has not counted.
    void onAccepted();
    // Empty if a job is accepted now. Otherwise the time after which its caller should try again; callers that are refused one after the
    // other get different times, as the service takes them one after the other.
    std::optional<seconds> timeUntilAdmitted(const policy_request_pacer &pacer, instant now);
    // Expected time until the first ticket of a job that is accepted now.
    duration expectedWait(const policy_request_pacer &pacer, instant now) const;

private:
    std::size_t m_stepsToRequest = 0;
    // When the last caller that was refused has been told to return.
    instant m_lastReturn;
};

} // namespace jujubespool

// Decides after how many seconds a refused caller should try again.
//
//     retry_backoff backoff;
//     const unsigned seconds = backoff.retryAfterS("POST /q/00000000000000a1", now);
//
// For calls that are refused while the store does not answer. Nobody knows when it will, and a caller tries a few times only. Early
// in an outage a short delay serves best: the job can still be on time if the outage is short. A caller that has been refused for
// longer waits longer, so that its last tries do not come before the end of a longer outage.
#pragma once

#include <jujubespool/core/time.h>
#include <map>
#include <string>

namespace jujubespool {

class retry_backoff
{
public:
    // Registers a refusal of the call, which is identified by its method and path, and returns the delay in whole seconds, 1 to 3.
    unsigned retryAfterS(const std::string &call, instant now);
    // Number of calls whose refusals are remembered.
    std::size_t rememberedCalls() const
    {
        return m_refusals.size();
    }

private:
    struct refusals
    {
        instant first;
        instant last;
    };
    void forgetOld(instant now);

    std::map<std::string, refusals> m_refusals;
    instant m_checkedAt;
};

} // namespace jujubespool

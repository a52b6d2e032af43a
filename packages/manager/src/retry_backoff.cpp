#include <jujubespool/manager/retry_backoff.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr seconds MIN_DELAY{ 1 };
constexpr seconds MAX_DELAY{ 3 };
// A call that was not refused for this long has given up or was accepted. Longer than any delay.
constexpr seconds MEMORY{ 10 };
constexpr seconds CHECK_INTERVAL{ 1 };
// Calls beyond this number are treated as refused for the first time.
constexpr std::size_t MAX_REMEMBERED_CALLS = 20000;

} // namespace

unsigned retry_backoff::retryAfterS(const std::string &call, instant now)
{
    forgetOld(now);
    duration refusedFor(0);
    const auto found = m_refusals.find(call);
    if (found != m_refusals.end()) {
        found->second.last = now;
        refusedFor = now - found->second.first;
    } else if (m_refusals.size() < MAX_REMEMBERED_CALLS) {
        m_refusals[call] = { now, now };
    }
    const auto delay = std::chrono::round<seconds>(refusedFor);
    return static_cast<unsigned>(std::clamp(delay, MIN_DELAY, MAX_DELAY).count());
}

void retry_backoff::forgetOld(instant now)
{
    if (now - m_checkedAt < CHECK_INTERVAL) {
        return;
    }
    m_checkedAt = now;
    std::erase_if(m_refusals, [now](const auto &entry) { return now - entry.second.last >= MEMORY; });
}

} // namespace jujubespool

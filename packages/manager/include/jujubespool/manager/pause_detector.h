// Detects that this process was paused, by its own ticks being late.
//
//     pause_detector pauses;
//     pauses.tick(now);                          // at regular intervals
//     if (pauses.wasPaused(now)) { ... }         // messages received now may be old
#pragma once

#include <jujubespool/core/time.h>
#include <optional>

namespace jujubespool {

class pause_detector
{
public:
    void tick(instant now)
    {
        if (m_lastTick && now - *m_lastTick > LONGEST_TICK_GAP) {
            m_resumedAt = now;
        }
        m_lastTick = now;
    }
    // True while the process is paused, as seen by code that runs before the next tick, and for some time after it resumed.
    bool wasPaused(instant now) const
    {
        const bool tickOverdue = m_lastTick && now - *m_lastTick > LONGEST_TICK_GAP;
        return tickOverdue || (m_resumedAt && now - *m_resumedAt < OLD_MESSAGE_TIME);
    }

private:
    // Several times the interval between ticks, since a host with little CPU is often late.
    static constexpr milliseconds LONGEST_TICK_GAP{ 300 };
    // Messages that arrived during the pause are read within this time after it.
    static constexpr milliseconds OLD_MESSAGE_TIME{ 150 };

    std::optional<instant> m_lastTick;
    std::optional<instant> m_resumedAt;
};

} // namespace jujubespool

// The clock of the ledger: an age that is read by another process than the one that recorded the begin.
//
//     ledger_clock clock;
//     clock.restore(record.ledger_ms(), now);           // a new owner goes on from the last record of the former one
//     const ledger_ms begin = clock.at(now);            // goes into a record
//     clock.since(begin, later) >= milliseconds(500);   // asked by this owner or by any later one
//
// Clocks of two hosts may differ by an unknown amount, so no age is the difference of two times of day. This clock counts the time for
// which owners have held the ownership, each on its own steady clock. It stands still from the last record of an owner until the next
// owner has claimed, so an age is never longer than the time that has really passed; at each change of owner it falls behind by that gap.
#pragma once

#include <algorithm>
#include <jujubespool/core/time.h>

namespace jujubespool {

// Milliseconds on the clock of the ledger. 0 stands for "not recorded".
using ledger_ms = std::uint64_t;

class ledger_clock
{
public:
    // Goes on from the time that the last record contains. Call it after the claim of the ownership was answered.
    void restore(ledger_ms recorded, instant now)
    {
        m_base = std::max<ledger_ms>(recorded, 1);
        m_since = now;
    }
    ledger_ms at(instant now) const
    {
        return m_base + static_cast<ledger_ms>(duration_cast<milliseconds>(std::max(now, m_since) - m_since).count());
    }
    // Time on this clock since `begin`, rounded to whole milliseconds; 0 if the clock has not reached it again since a change of owner.
    milliseconds since(ledger_ms begin, instant now) const
    {
        const ledger_ms present = at(now);
        return milliseconds(present - std::min(present, begin));
    }

private:
    ledger_ms m_base = 1;
    instant m_since;
};

} // namespace jujubespool

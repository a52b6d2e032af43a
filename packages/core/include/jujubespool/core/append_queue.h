// Sends a session's records to the log in order, each taking effect once.
//
//     const std::uint64_t sequence = append_queue.propose(record);
//     append(append_queue.nextBatch(now));        // one append at a time
//     append_queue.onAppended(now);               // or onAppendFailed(now)
//     append_queue.onReadBack(sequence);              // when the log is read back
//
// An append whose answer was lost is sent again with the same sequence numbers; readers reject
// what they have applied already.
#pragma once

#include <deque>
#include <jujubespool/core/permit_allocations.h>
#include <jujubespool/core/time.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <vector>

namespace jujubespool {

class append_queue
{
public:
    explicit append_queue(session_id session);

    // Queues a record and returns its sequence number.
    std::uint64_t propose(wire::record record);

    // Records to append now, in order; empty while an append is under way or nothing waits.
    std::vector<wire::record> nextBatch(instant now);

    // The append has succeeded; its records stay pending until they are read back.
    void onAppended(instant now);

    // The append has failed or its answer was lost; everything pending is sent again after a pause.
    void onAppendFailed(instant now);

    // The log holds the record with this sequence.
    void onReadBack(std::uint64_t sequence);

    bool isPending(std::uint64_t sequence) const;
    std::size_t pending() const
    {
        return m_pending.size();
    }

private:
    session_id m_session;
    std::uint64_t m_lastSequence = 0;
    std::deque<wire::record> m_pending;
    std::uint64_t m_sentUpTo = 0;
    bool m_inFlight = false;
    instant m_sentAt;
    instant m_notBefore;
    duration m_pause{ 0 };
};

} // namespace jujubespool

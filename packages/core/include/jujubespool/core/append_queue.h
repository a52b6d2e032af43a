// Queues a session's records and appends them to the log in order, each with effect once.
//
//     const std::uint64_t sequence = queue.propose(record);
//     append(queue.nextBatch(now));        // one append at a time
//     queue.onAppended(now);               // or onAppendFailed(now)
//     queue.onReadBack(sequence);          // when the record is read back from the log
//
// When the response to an append is lost, the records are sent again with the same sequence numbers.
// Readers reject records that they have applied already.
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

    // Returns the records to append now, in order. Empty while an append is in flight, during a retry delay and when nothing
    // has to be sent.
    std::vector<wire::record> nextBatch(instant now);

    // Handles a successful append. Its records stay pending until they are read back.
    void onAppended(instant now);

    // Handles an append that failed or whose response was lost. All pending records are sent again after a backoff.
    void onAppendFailed(instant now);

    // Handles that the record with this sequence number was read back. It and all earlier ones are no longer pending.
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
    std::uint64_t m_lastSentSequence = 0;
    bool m_inFlight = false;
    instant m_sentAt;
    instant m_nextAttemptAt;
    duration m_retryDelay{ 0 };
};

} // namespace jujubespool

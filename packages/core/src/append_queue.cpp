#include <jujubespool/core/append_queue.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Bound of one append. A single record may exceed it.
constexpr std::size_t MAX_BATCH_BYTES = 262144;
// Bounds of the exponential backoff after failed appends.
constexpr milliseconds MIN_RETRY_DELAY{ 50 };
constexpr milliseconds MAX_RETRY_DELAY{ 1000 };
// A record that was appended but is not read back within this time is sent again.
constexpr milliseconds READ_BACK_TIMEOUT{ 2000 };

} // namespace

append_queue::append_queue(session_id session)
    : m_session(session)
{
}

std::uint64_t append_queue::propose(wire::record record)
{
    record.set_session(m_session);
    record.set_sequence(++m_lastSequence);
    m_pending.push_back(std::move(record));
    return m_lastSequence;
}

std::vector<wire::record> append_queue::nextBatch(instant now)
{
    if (m_inFlight || m_pending.empty() || now < m_nextAttemptAt) {
        return {};
    }
    if (m_lastSentSequence >= m_lastSequence && now - m_sentAt < READ_BACK_TIMEOUT) {
        return {};
    }
    if (m_lastSentSequence >= m_lastSequence) {
        m_lastSentSequence = 0;
    }
    std::vector<wire::record> batch;
    std::size_t bytes = 0;
    for (const wire::record &record : m_pending) {
        if (record.sequence() <= m_lastSentSequence) {
            continue;
        }
        bytes += record.ByteSizeLong();
        if (!batch.empty() && bytes > MAX_BATCH_BYTES) {
            break;
        }
        batch.push_back(record);
    }
    if (!batch.empty()) {
        m_inFlight = true;
        m_sentAt = now;
        m_lastSentSequence = batch.back().sequence();
    }
    return batch;
}

void append_queue::onAppended(instant now)
{
    m_inFlight = false;
    m_sentAt = now;
    m_retryDelay = duration(0);
}

void append_queue::onAppendFailed(instant now)
{
    m_inFlight = false;
    // Sends all pending records again, because readers reject records as out of order when an earlier one is missing.
    m_lastSentSequence = 0;
    m_retryDelay = std::clamp<duration>(m_retryDelay * 2, MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    m_nextAttemptAt = now + m_retryDelay;
}

void append_queue::onReadBack(std::uint64_t sequence)
{
    while (!m_pending.empty() && m_pending.front().sequence() <= sequence) {
        m_pending.pop_front();
    }
}

bool append_queue::isPending(std::uint64_t sequence) const
{
    return !m_pending.empty() && m_pending.front().sequence() <= sequence && sequence <= m_pending.back().sequence();
}

} // namespace jujubespool

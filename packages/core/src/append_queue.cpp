#include <jujubespool/core/append_queue.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr std::size_t MAX_BATCH_BYTES = 262144;
constexpr milliseconds FIRST_PAUSE{ 50 };
constexpr milliseconds LONGEST_PAUSE{ 1000 };
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
    if (m_inFlight || m_pending.empty() || now < m_notBefore) {
        return {};
    }
    if (m_sentUpTo >= m_lastSequence && now - m_sentAt < READ_BACK_TIMEOUT) {
        return {};
    }
    if (m_sentUpTo >= m_lastSequence) {
        m_sentUpTo = 0;
    }
    std::vector<wire::record> batch;
    std::size_t bytes = 0;
    for (const wire::record &record : m_pending) {
        if (record.sequence() <= m_sentUpTo) {
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
        m_sentUpTo = batch.back().sequence();
    }
    return batch;
}

void append_queue::onAppended(instant now)
{
    m_inFlight = false;
    m_sentAt = now;
    m_pause = duration(0);
}

void append_queue::onAppendFailed(instant now)
{
    m_inFlight = false;
    // Later records would be rejected as out of order if an earlier one is missing.
    m_sentUpTo = 0;
    m_pause = std::clamp<duration>(m_pause * 2, FIRST_PAUSE, LONGEST_PAUSE);
    m_notBefore = now + m_pause;
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

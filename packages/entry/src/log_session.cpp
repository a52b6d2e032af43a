#include <jujubespool/entry/log_session.h>

#include <algorithm>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds LONG_POLL_TIMEOUT{ 1000 };
constexpr milliseconds READ_RETRY_DELAY{ 100 };
constexpr milliseconds FLUSH_INTERVAL{ 20 };
// The log counts as unavailable when it has not responded for this time after the end of a long poll.
constexpr milliseconds LOG_RESPONSE_TIMEOUT{ 1500 };
constexpr std::size_t MAX_RECENT_RECORDS = 4000;
constexpr std::size_t MAX_RELAY_BYTES = 1048576;

} // namespace

log_session::log_session(time_source &clock, log_client &log, const entry_settings &settings, session_listener &listener)
    : m_clock(clock)
    , m_log(log)
    , m_listener(listener)
    , m_id(clock.randomNumber())
    , m_replayer(*this)
    , m_appendQueue(m_id)
{
    m_openRecord.set_host(settings.host);
    m_openRecord.set_data_center(settings.dataCenter);
    m_openRecord.set_started_ms(clock.wallNow());
}

void log_session::start(const std::string &peerEndpoint)
{
    m_openRecord.set_peer_endpoint(peerEndpoint);
    m_confirmedCurrentAt = m_clock.now();
    m_lastLogResponseAt = m_confirmedCurrentAt;
    proposeOpen();
    readNext();
    m_clock.repeat(FLUSH_INTERVAL, [this] { flush(); });
}

void log_session::proposeOpen()
{
    wire::record record;
    *record.mutable_open() = m_openRecord;
    propose(std::move(record), [this](const apply_result &result) {
        if (result.verdict == apply_verdict::rejected) {
            // The clock of an earlier process of this host was ahead of this one, so the start time must exceed the recorded one.
            m_openRecord.set_started_ms(std::max(m_clock.wallNow(), state().lastSessionStart(m_openRecord.host()) + 1));
            proposeOpen();
        }
    });
}

std::uint64_t log_session::propose(wire::record record, proposal_callback done)
{
    const std::uint64_t sequence = m_appendQueue.propose(std::move(record));
    if (done) {
        m_proposalCallbacks[sequence] = std::move(done);
    }
    flush();
    return sequence;
}

void log_session::flush()
{
    const std::vector<wire::record> batch = m_appendQueue.nextBatch(m_clock.now());
    if (batch.empty()) {
        return;
    }
    std::vector<std::string> bytes;
    bytes.reserve(batch.size());
    for (const wire::record &record : batch) {
        bytes.push_back(record.SerializeAsString());
    }
    m_log.append(bytes, [this](const append_result &result) {
        if (result.firstOffset) {
            m_appendQueue.onAppended(m_clock.now());
        } else {
            m_appendQueue.onAppendFailed(m_clock.now());
            logFailure(log_level::debug, "append-failed", result.reason);
        }
        flush();
    });
}

void log_session::readNext()
{
    m_log.read(m_replayer.nextOffset(), LONG_POLL_TIMEOUT, [this](const read_result &result) { onRead(result); });
}

void log_session::onRead(const read_result &result)
{
    if (!result.page) {
        if (!m_readFailed) {
            logFailure(log_level::warning, "log-away", result.reason);
        }
        m_readFailed = true;
        m_clock.after(READ_RETRY_DELAY, [this] { readNext(); });
        return;
    }
    if (m_readFailed) {
        logEvent(log_level::info, "log-back", { { "next", std::to_string(result.page->nextOffset) } });
    }
    m_readFailed = false;
    for (const log_record &record : result.page->records) {
        consumeRecord(record.offset, record.data);
    }
    m_lastLogResponseAt = m_clock.now();
    if (m_replayer.isCurrent() && m_replayer.nextOffset() >= result.page->nextOffset) {
        m_isCaughtUp = true;
        m_confirmedCurrentAt = m_clock.now();
    }
    notifyListener();
    readNext();
}

void log_session::consumeRecord(log_offset offset, const std::string &data)
{
    if (offset < m_replayer.nextOffset()) {
        return;
    }
    if (offset > m_replayer.nextOffset()) {
        logEvent(log_level::warning, "log-gap",
                 { { "expected", std::to_string(m_replayer.nextOffset()) }, { "found", std::to_string(offset) } });
        m_recentRecords.clear();
    }
    storeRecentRecord(offset, data);
    m_replayer.consumeRecord(offset, data);
}

void log_session::storeRecentRecord(log_offset offset, const std::string &data)
{
    m_recentRecords.push_back({ offset, data });
    // A peer that starts while the log is unavailable needs all records since the latest snapshot.
    while (m_recentRecords.size() > MAX_RECENT_RECORDS && m_recentRecords.front().offset < m_replayer.snapshotOffset()) {
        m_recentRecords.pop_front();
    }
}

void log_session::consumeRelayedRecords(const wire::record_relay &relay)
{
    for (const wire::relayed_record &record : relay.records()) {
        consumeRecord(record.offset(), record.data());
    }
    if (m_replayer.isCurrent() && relay.records_size() > 0) {
        m_confirmedCurrentAt = m_clock.now();
    }
    notifyListener();
}

void log_session::recordPeerOffset(log_offset nextOffset, instant now)
{
    if (m_replayer.isCurrent() && nextOffset <= m_replayer.nextOffset()) {
        m_confirmedCurrentAt = now;
    }
}

wire::record_relay log_session::recentRecords(log_offset from) const
{
    wire::record_relay relay;
    const bool fromOldest = m_recentRecords.empty() || from < m_recentRecords.front().offset;
    std::size_t bytes = 0;
    for (const raw_record &record : m_recentRecords) {
        if (record.offset < from && !fromOldest) {
            continue;
        }
        bytes += record.data.size();
        if (relay.records_size() > 0 && bytes > MAX_RELAY_BYTES) {
            break;
        }
        wire::relayed_record &relayed = *relay.add_records();
        relayed.set_offset(record.offset);
        relayed.set_data(record.data);
    }
    return relay;
}

void log_session::notifyListener()
{
    if (m_lastNotifiedOffset == m_replayer.nextOffset()) {
        return;
    }
    m_lastNotifiedOffset = m_replayer.nextOffset();
    if (m_replayer.isCurrent()) {
        m_listener.onStateChanged();
    }
    if (m_isOpen && !m_isEnded && m_replayer.isCurrent() && !state().isLive(m_id)) {
        m_isEnded = true;
        m_listener.onSessionEnded();
    }
}

void log_session::onRecordApplied(log_offset offset, const wire::record &record, const apply_result &result)
{
    if (result.verdict == apply_verdict::rejected) {
        ++m_rejectedCount;
        logEvent(log_level::debug, "record-rejected", { { "offset", std::to_string(offset) }, { "reason", result.reason } });
    }
    if (record.session() == m_id) {
        completeOwnRecord(record.sequence(), record, result);
    }
}

void log_session::completeOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result)
{
    // The callback of a duplicate has already run when the record was read for the first time.
    if (result.verdict == apply_verdict::duplicate) {
        return;
    }
    if (record.has_open() && result.verdict == apply_verdict::accepted) {
        m_isOpen = true;
    }
    m_appendQueue.onReadBack(sequence);
    m_listener.onOwnRecord(sequence, record, result);
    const auto found = m_proposalCallbacks.find(sequence);
    if (found != m_proposalCallbacks.end()) {
        const proposal_callback done = std::move(found->second);
        m_proposalCallbacks.erase(found);
        done(result);
    }
}

void log_session::onRecordUndecodable(log_offset offset)
{
    logEvent(log_level::warning, "record-skipped", { { "offset", std::to_string(offset) }, { "reason", "the record cannot be decoded" } });
}

void log_session::onSnapshotLoaded(log_offset nextOffset)
{
    logEvent(log_level::info, "snapshot-loaded", { { "next", std::to_string(nextOffset) } });
    const auto ownSession = state().sessions().find(m_id);
    if (ownSession == state().sessions().end()) {
        return;
    }
    const std::uint64_t skippedUpTo = ownSession->second.lastSequence;
    m_isOpen = true;
    m_appendQueue.onReadBack(skippedUpTo);
    m_listener.onOwnRecordsSkipped(skippedUpTo);
    while (!m_proposalCallbacks.empty() && m_proposalCallbacks.begin()->first <= skippedUpTo) {
        const proposal_callback done = std::move(m_proposalCallbacks.begin()->second);
        m_proposalCallbacks.erase(m_proposalCallbacks.begin());
        done({ apply_verdict::rejected,
               "the log no longer retains this record, so its result is not known; check the state for its effect" });
    }
}

duration log_session::stateAge(instant now) const
{
    return now - m_confirmedCurrentAt;
}

bool log_session::isLogAvailable(instant now) const
{
    return !m_readFailed && now - m_lastLogResponseAt < LONG_POLL_TIMEOUT + LOG_RESPONSE_TIMEOUT;
}

} // namespace jujubespool

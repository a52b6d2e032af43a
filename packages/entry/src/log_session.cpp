#include <jujubespool/entry/log_session.h>

#include <algorithm>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds LONG_POLL{ 1000 };
constexpr milliseconds READ_RETRY_DELAY{ 100 };
constexpr milliseconds FLUSH_INTERVAL{ 20 };
// A log that has not answered for this time counts as away.
constexpr milliseconds LOG_AWAY_AFTER{ 1500 };
constexpr std::size_t MAX_RECENT_RECORDS = 4000;
constexpr std::size_t MAX_RELAY_BYTES = 1048576;

} // namespace

log_session::log_session(time_source &clock, log_client &log, const entry_settings &settings, session_listener &listener)
    : m_clock(clock)
    , m_log(log)
    , m_listener(listener)
    , m_id(clock.randomNumber())
    , m_replay(*this)
    , m_appendQueue(m_id)
{
    m_open.set_host(settings.host);
    m_open.set_data_center(settings.dataCenter);
    m_open.set_started_ms(clock.wallNow());
}

void log_session::start(const std::string &peerEndpoint)
{
    m_open.set_peer_endpoint(peerEndpoint);
    m_heardAt = m_clock.now();
    m_logHeardAt = m_heardAt;
    proposeOpen();
    readNext();
    m_clock.repeat(FLUSH_INTERVAL, [this] { flush(); });
}

void log_session::proposeOpen()
{
    wire::record record;
    *record.mutable_open() = m_open;
    propose(std::move(record), [this](const apply_result &result) {
        if (result.verdict == apply_verdict::rejected) {
            // An earlier process of this host had a clock that was ahead of this one's.
            m_open.set_started_ms(std::max(m_clock.wallNow(), state().lastSessionStart(m_open.host()) + 1));
            proposeOpen();
        }
    });
}

std::uint64_t log_session::propose(wire::record record, settled done)
{
    const std::uint64_t sequence = m_appendQueue.propose(std::move(record));
    if (done) {
        m_settled[sequence] = std::move(done);
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
    m_log.read(m_replay.nextOffset(), LONG_POLL, [this](const read_result &result) { onRead(result); });
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
        offer(record.offset, record.data);
    }
    m_logHeardAt = m_clock.now();
    if (m_replay.isCurrent() && m_replay.nextOffset() >= result.page->nextOffset) {
        m_caughtUp = true;
        m_heardAt = m_clock.now();
    }
    afterRecords();
    readNext();
}

void log_session::offer(log_offset offset, const std::string &data)
{
    if (offset < m_replay.nextOffset()) {
        return;
    }
    if (offset > m_replay.nextOffset()) {
        logEvent(log_level::warning, "log-gap",
                 { { "expected", std::to_string(m_replay.nextOffset()) }, { "found", std::to_string(offset) } });
        m_recent.clear();
    }
    keepRecent(offset, data);
    m_replay.consumeRecord(offset, data);
}

void log_session::keepRecent(log_offset offset, const std::string &data)
{
    m_recent.push_back({ offset, data });
    // A peer that starts without the log needs everything since the newest snapshot.
    while (m_recent.size() > MAX_RECENT_RECORDS && m_recent.front().offset < m_replay.snapshotOffset()) {
        m_recent.pop_front();
    }
}

void log_session::offerRelayed(const wire::record_relay &relay)
{
    for (const wire::relayed_record &record : relay.records()) {
        offer(record.offset(), record.data());
    }
    if (m_replay.isCurrent() && relay.records_size() > 0) {
        m_heardAt = m_clock.now();
    }
    afterRecords();
}

void log_session::notePeerOffset(log_offset nextOffset, instant now)
{
    if (m_replay.isCurrent() && nextOffset <= m_replay.nextOffset()) {
        m_heardAt = now;
    }
}

wire::record_relay log_session::recent(log_offset from) const
{
    wire::record_relay relay;
    const bool starting = m_recent.empty() || from < m_recent.front().offset;
    std::size_t bytes = 0;
    for (const raw_record &record : m_recent) {
        if (record.offset < from && !starting) {
            continue;
        }
        bytes += record.data.size();
        if (relay.records_size() > 0 && bytes > MAX_RELAY_BYTES) {
            break;
        }
        wire::relayed_record &item = *relay.add_records();
        item.set_offset(record.offset);
        item.set_data(record.data);
    }
    return relay;
}

void log_session::afterRecords()
{
    if (m_changedAt == m_replay.nextOffset()) {
        return;
    }
    m_changedAt = m_replay.nextOffset();
    if (m_replay.isCurrent()) {
        m_listener.onStateChanged();
    }
    if (m_opened && !m_ended && m_replay.isCurrent() && !state().isLive(m_id)) {
        m_ended = true;
        m_listener.onSessionEnded();
    }
}

void log_session::onRecordApplied(log_offset offset, const wire::record &record, const apply_result &result)
{
    if (result.verdict == apply_verdict::rejected) {
        ++m_rejected;
        logEvent(log_level::debug, "record-rejected", { { "offset", std::to_string(offset) }, { "reason", result.reason } });
    }
    if (record.session() == m_id) {
        settleOwn(record.sequence(), record, result);
    }
}

void log_session::settleOwn(std::uint64_t sequence, const wire::record &record, const apply_result &result)
{
    // A duplicate says nothing new; the first reading has settled the record.
    if (result.verdict == apply_verdict::duplicate) {
        return;
    }
    if (record.has_open() && result.verdict == apply_verdict::accepted) {
        m_opened = true;
    }
    m_appendQueue.onReadBack(sequence);
    m_listener.onOwnRecord(sequence, record, result);
    const auto found = m_settled.find(sequence);
    if (found != m_settled.end()) {
        const settled done = std::move(found->second);
        m_settled.erase(found);
        done(result);
    }
}

void log_session::onRecordUndecodable(log_offset offset)
{
    logEvent(log_level::warning, "record-skipped", { { "offset", std::to_string(offset) }, { "reason", "the record does not decode" } });
}

void log_session::onSnapshotLoaded(log_offset nextOffset)
{
    logEvent(log_level::info, "snapshot-loaded", { { "next", std::to_string(nextOffset) } });
    const auto own = state().sessions().find(m_id);
    if (own == state().sessions().end()) {
        return;
    }
    const std::uint64_t passed = own->second.lastSequence;
    m_opened = true;
    m_appendQueue.onReadBack(passed);
    m_listener.onOwnRecordsPassed(passed);
    while (!m_settled.empty() && m_settled.begin()->first <= passed) {
        const settled done = std::move(m_settled.begin()->second);
        m_settled.erase(m_settled.begin());
        done({ apply_verdict::rejected, "the record lies before the oldest one kept; look at the state" });
    }
}

duration log_session::age(instant now) const
{
    return now - m_heardAt;
}

bool log_session::logAvailable(instant now) const
{
    return !m_readFailed && now - m_logHeardAt < LONG_POLL + LOG_AWAY_AFTER;
}

} // namespace jujubespool

// The session of this process on the platform's log: reads all records, applies them to a fleet state and appends its own.
//
//     log_session session(clock, log, settings, listener);
//     session.start(peerEndpoint);
//     session.propose(record, [](const apply_result &result) { ... });
//
// A proposed record is applied or rejected when it is read back from the log. Its callback then receives the result.
#pragma once

#include <deque>
#include <functional>
#include <jujubespool/core/append_queue.h>
#include <jujubespool/core/log_replayer.h>
#include <jujubespool/entry/entry_settings.h>
#include <jujubespool/entry/time_source.h>
#include <jujubespool/platform/platform.h>
#include <map>

namespace jujubespool {

class session_listener
{
public:
    virtual ~session_listener() = default;
    // A record of this session was read back, with the result of applying it.
    virtual void onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result) = 0;
    // Records of this session up to the sequence number were not read one by one, because a snapshot replaced them.
    virtual void onOwnRecordsSkipped(std::uint64_t sequence) = 0;
    // Records of any session were applied, and the state is current.
    virtual void onStateChanged() = 0;
    // A record on the log has ended this session while this process is still running.
    virtual void onSessionEnded() = 0;
};

class log_session : private replay_observer
{
public:
    using proposal_callback = std::function<void(const apply_result &)>;

    log_session(time_source &clock, log_client &log, const entry_settings &settings, session_listener &listener);

    // Starts to read the log. The session is opened as soon as the log responds.
    void start(const std::string &peerEndpoint);

    session_id id() const
    {
        return m_id;
    }
    const fleet_state &state() const
    {
        return m_replayer.state();
    }
    const log_replayer &replayer() const
    {
        return m_replayer;
    }

    // Queues the record for appending and returns its sequence number.
    std::uint64_t propose(wire::record record, proposal_callback done = {});

    // Whether the end of the log has been reached at least once since the start.
    bool isCaughtUp() const
    {
        return m_isCaughtUp;
    }
    // Whether the record that opens this session was read back.
    bool isOpen() const
    {
        return m_isOpen;
    }
    // Time since the log or a peer last confirmed that the state is current.
    duration stateAge(instant now) const;
    bool isLogAvailable(instant now) const;
    // Number of records of this session that were not read back yet.
    std::size_t pendingCount() const
    {
        return m_appendQueue.pending();
    }

    // Applies records that a peer has relayed while the log is unavailable.
    void consumeRelayedRecords(const wire::record_relay &relay);
    // Records that a peer has applied all records before the offset. If this session has too, its state counts as current.
    void recordPeerOffset(log_offset nextOffset, instant now);
    // Returns recent records from the offset on, as many as fit into one message. If the offset is older than the oldest recent
    // record, starts with that one.
    wire::record_relay recentRecords(log_offset from) const;

    std::uint64_t rejectedCount() const
    {
        return m_rejectedCount;
    }

private:
    struct raw_record
    {
        log_offset offset = 0;
        std::string data;
    };

    void onRecordApplied(log_offset offset, const wire::record &record, const apply_result &result) override;
    void onRecordUndecodable(log_offset offset) override;
    void onSnapshotLoaded(log_offset nextOffset) override;
    void completeOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result);
    void storeRecentRecord(log_offset offset, const std::string &data);
    void consumeRecord(log_offset offset, const std::string &data);
    void notifyListener();
    void proposeOpen();
    void readNext();
    void onRead(const read_result &result);
    void flush();

    time_source &m_clock;
    log_client &m_log;
    session_listener &m_listener;
    session_id m_id;
    wire::session_open m_openRecord;
    log_replayer m_replayer;
    append_queue m_appendQueue;
    std::map<std::uint64_t, proposal_callback> m_proposalCallbacks;
    std::deque<raw_record> m_recentRecords;
    bool m_isCaughtUp = false;
    bool m_isOpen = false;
    bool m_isEnded = false;
    bool m_readFailed = false;
    instant m_confirmedCurrentAt;
    instant m_lastLogResponseAt;
    log_offset m_lastNotifiedOffset = 0;
    std::uint64_t m_rejectedCount = 0;
};

} // namespace jujubespool

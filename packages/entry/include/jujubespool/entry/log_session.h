// This process's session on the platform's log: follows the records and proposes its own.
//
//     log_session session(clock, log, settings, listener);
//     session.start();
//     session.propose(record, [](const apply_result &result) { ... });
//
// A proposal has taken effect, or was rejected, when it is read back; its callback tells which.
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
    // A record of this session was read back.
    virtual void onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result) = 0;
    // Own records up to the sequence lay in a gap that a snapshot has bridged.
    virtual void onOwnRecordsPassed(std::uint64_t sequence) = 0;
    // Records of any session were applied.
    virtual void onStateChanged() = 0;
    // The session has ended although this process still runs.
    virtual void onSessionEnded() = 0;
};

class log_session : private replay_observer
{
public:
    using settled = std::function<void(const apply_result &)>;

    log_session(time_source &clock, log_client &log, const entry_settings &settings, session_listener &listener);

    // Starts following; the session is opened on the log as soon as it answers.
    void start(const std::string &peerEndpoint);

    session_id id() const
    {
        return m_id;
    }
    const fleet_state &state() const
    {
        return m_replay.state();
    }
    const log_replayer &replay() const
    {
        return m_replay;
    }

    std::uint64_t propose(wire::record record, settled done = {});

    // Whether the end of the log was read since the start.
    bool caughtUp() const
    {
        return m_caughtUp;
    }
    // Whether this session's opening was read back.
    bool opened() const
    {
        return m_opened;
    }
    // Time since the log or a peer last showed that this state is current.
    duration age(instant now) const;
    bool logAvailable(instant now) const;
    std::size_t pending() const
    {
        return m_appendQueue.pending();
    }

    // Takes records that a peer relays.
    void offerRelayed(const wire::record_relay &relay);
    // A peer has applied the records up to the offset and nothing later is known.
    void notePeerOffset(log_offset nextOffset, instant now);
    // Recent records from the offset on, at most as many as fit into one message.
    wire::record_relay recent(log_offset from) const;

    std::uint64_t rejectedCount() const
    {
        return m_rejected;
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
    void settleOwn(std::uint64_t sequence, const wire::record &record, const apply_result &result);
    void keepRecent(log_offset offset, const std::string &data);
    void offer(log_offset offset, const std::string &data);
    void afterRecords();
    void proposeOpen();
    void readNext();
    void onRead(const read_result &result);
    void flush();

    time_source &m_clock;
    log_client &m_log;
    session_listener &m_listener;
    session_id m_id;
    wire::session_open m_open;
    log_replayer m_replay;
    append_queue m_appendQueue;
    std::map<std::uint64_t, settled> m_settled;
    std::deque<raw_record> m_recent;
    bool m_caughtUp = false;
    bool m_opened = false;
    bool m_ended = false;
    bool m_readFailed = false;
    instant m_heardAt;
    instant m_logHeardAt;
    log_offset m_changedAt = 0;
    std::uint64_t m_rejected = 0;
};

} // namespace jujubespool

// Derives the fleet state by replaying the platform's log, starting at any offset.
//
// The log retains records for a limited time, so the first records may be missing. When the replayer
// detects a gap, it collects the chunks of a snapshot and continues from the newest complete snapshot:
//
//     log_replayer replayer(observer);
//     replayer.consumeRecord(offset, bytes);
//     if (replayer.isCurrent()) {
//         use(replayer.state());
//     }
//
// The state is never replaced by the state at an earlier offset, so the configuration does not revert.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <map>
#include <string>
#include <vector>

namespace jujubespool {

class replay_observer
{
public:
    virtual ~replay_observer() = default;
    // Called once for each record that decodes, in the order of the log.
    virtual void onRecordApplied(log_offset offset, const wire::record &record, const apply_result &result) = 0;
    // Called for each record that does not decode.
    virtual void onRecordUndecodable(log_offset offset) = 0;
    // Called after the state has been loaded from a snapshot.
    virtual void onSnapshotLoaded(log_offset nextOffset) = 0;
};

class log_replayer
{
public:
    explicit log_replayer(replay_observer &observer);

    // Processes one record. A record below nextOffset() is ignored. A record above nextOffset() means that
    // records are missing; from then on records are buffered until a complete snapshot has been read.
    void consumeRecord(log_offset offset, const std::string &bytes);

    // Offset from which the next read should start.
    log_offset nextOffset() const;

    // Whether the state reflects every record consumed. It does not while a gap precedes the latest records.
    bool isCurrent() const
    {
        return m_recordsAfterGap.empty();
    }

    const fleet_state &state() const
    {
        return m_state;
    }

    // Offset of the first record that a reader of the last complete snapshot needs: the log may be truncated up to it. 0 when no
    // snapshot has been read completely.
    log_offset snapshotOffset() const
    {
        return m_snapshotOffset;
    }

    // Number of records that did not decode.
    std::uint64_t undecodableCount() const
    {
        return m_undecodable;
    }

private:
    struct encoded_record
    {
        log_offset offset = 0;
        std::string bytes;
    };
    struct snapshot_chunks
    {
        log_offset firstOffset = 0;
        std::uint32_t total = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    void applyRecord(log_offset offset, const std::string &bytes);
    void addSnapshotChunk(log_offset offset, const wire::record &record);
    // Ignores a snapshot that does not load or that is older than the state.
    void loadSnapshot(const snapshot_chunks &chunks);

    replay_observer &m_observer;
    fleet_state m_state;
    // Records after a gap that wait for a snapshot; empty when there is no gap.
    std::vector<encoded_record> m_recordsAfterGap;
    // By the session that writes the snapshot and the offset at which the snapshot ends.
    std::map<std::pair<session_id, log_offset>, snapshot_chunks> m_incompleteSnapshots;
    log_offset m_snapshotOffset = 0;
    std::uint64_t m_undecodable = 0;
};

// Size of a snapshot chunk. A record with one chunk stays below the platform's limit on the size of a record.
constexpr std::size_t SNAPSHOT_CHUNK_BYTES = 49152;

// Serializes the state and splits it into records for the log.
std::vector<wire::record> makeSnapshotRecords(const fleet_state &state);

} // namespace jujubespool

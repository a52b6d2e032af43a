// Follows the platform's log from wherever reading can begin.
//
// Records may be missing at the front, because the log keeps them for a limited time. A reader that
// finds a gap collects the chunks of a snapshot and continues from the newest complete one:
//
//     log_replayer replay(observer);
//     replay.consumeRecord(offset, bytes);
//     if (replay.isCurrent()) {
//         use(replay.state());
//     }
//
// The state is never exchanged for one of an earlier offset, so a configuration does not revert.
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
    // Called for each record in the log's order, once.
    virtual void onRecordApplied(log_offset offset, const wire::record &record, const apply_result &result) = 0;
    // Called for a record that does not decode.
    virtual void onRecordUndecodable(log_offset offset) = 0;
    // Called after the state was loaded from a snapshot.
    virtual void onSnapshotLoaded(log_offset nextOffset) = 0;
};

class log_replayer
{
public:
    explicit log_replayer(replay_observer &observer);

    // Takes one record. Offsets below nextOffset() are ignored; a gap starts the search for a snapshot.
    void consumeRecord(log_offset offset, const std::string &bytes);

    // Offset that the next read should start from.
    log_offset nextOffset() const;

    // Whether the state reflects every record offered, rather than lying before a gap.
    bool isCurrent() const
    {
        return m_buffer.empty();
    }

    const fleet_state &state() const
    {
        return m_state;
    }

    // First offset of the chunks of the newest snapshot seen; 0 when there was none.
    log_offset snapshotOffset() const
    {
        return m_snapshotOffset;
    }

    std::uint64_t undecodableCount() const
    {
        return m_undecodable;
    }

private:
    struct raw_record
    {
        log_offset offset = 0;
        std::string bytes;
    };
    struct chunk_set
    {
        log_offset firstOffset = 0;
        std::uint32_t total = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    void applyOne(log_offset offset, const std::string &bytes);
    void noteChunk(log_offset offset, const wire::record &record);
    void tryLoad(const chunk_set &chunks);

    replay_observer &m_observer;
    fleet_state m_state;
    std::vector<raw_record> m_buffer;
    std::map<std::pair<session_id, log_offset>, chunk_set> m_chunks;
    log_offset m_snapshotOffset = 0;
    std::uint64_t m_undecodable = 0;
};

// Bytes of one snapshot chunk, below the platform's bound on a record.
constexpr std::size_t SNAPSHOT_CHUNK_BYTES = 49152;

// Divides the state's image into records for the log.
std::vector<wire::record> makeSnapshotRecords(const fleet_state &state);

} // namespace jujubespool

#include <jujubespool/core/log_replayer.h>

#include <algorithm>

namespace jujubespool {

log_replayer::log_replayer(replay_observer &observer)
    : m_observer(observer)
{
}

log_offset log_replayer::nextOffset() const
{
    return m_recordsAfterGap.empty() ? m_state.nextOffset() : m_recordsAfterGap.back().offset + 1;
}

void log_replayer::consumeRecord(log_offset offset, const std::string &bytes)
{
    if (offset < nextOffset()) {
        return;
    }
    const bool gap = offset > nextOffset();
    if (gap) {
        // Records are missing between those buffered after an earlier gap and this one.
        m_recordsAfterGap.clear();
        m_incompleteSnapshots.clear();
    }
    if (gap || !m_recordsAfterGap.empty()) {
        m_recordsAfterGap.push_back({ offset, bytes });
        wire::record record;
        if (record.ParseFromString(bytes) && record.has_chunk()) {
            addSnapshotChunk(offset, record);
        }
        return;
    }
    applyRecord(offset, bytes);
}

void log_replayer::applyRecord(log_offset offset, const std::string &bytes)
{
    wire::record record;
    if (!record.ParseFromString(bytes)) {
        ++m_undecodable;
        m_state.skipRecord(offset);
        m_observer.onRecordUndecodable(offset);
        return;
    }
    if (record.has_chunk()) {
        addSnapshotChunk(offset, record);
    }
    const apply_result result = m_state.apply(offset, record);
    m_observer.onRecordApplied(offset, record, result);
}

void log_replayer::addSnapshotChunk(log_offset offset, const wire::record &record)
{
    const wire::snapshot_chunk &chunk = record.chunk();
    const std::pair<session_id, log_offset> id{ record.session(), chunk.next_offset() };
    snapshot_chunks &chunks = m_incompleteSnapshots[id];
    if (chunks.parts.empty()) {
        chunks.firstOffset = offset;
    }
    chunks.total = chunk.total();
    // The bytes are needed only after a gap. Otherwise the chunks are only counted, to find complete snapshots.
    chunks.parts[chunk.index()] = m_recordsAfterGap.empty() ? std::string() : chunk.data();
    if (chunks.parts.size() < chunks.total) {
        return;
    }
    // Records between the state in the snapshot and its first chunk are not part of the snapshot.
    m_snapshotOffset = std::min<log_offset>(chunk.next_offset(), chunks.firstOffset);
    const snapshot_chunks complete = std::move(chunks);
    m_incompleteSnapshots.erase(id);
    if (!m_recordsAfterGap.empty() && chunk.next_offset() >= m_recordsAfterGap.front().offset) {
        loadSnapshot(complete);
    }
}

void log_replayer::loadSnapshot(const snapshot_chunks &chunks)
{
    std::string image;
    for (const auto &[index, part] : chunks.parts) {
        image += part;
    }
    failure reason;
    std::optional<fleet_state> loaded = fleet_state::load(image, reason);
    if (!loaded || loaded->nextOffset() < m_state.nextOffset()) {
        return;
    }
    m_state = std::move(*loaded);
    const std::vector<encoded_record> buffered = std::move(m_recordsAfterGap);
    m_recordsAfterGap.clear();
    m_observer.onSnapshotLoaded(m_state.nextOffset());
    for (const encoded_record &record : buffered) {
        if (record.offset >= m_state.nextOffset()) {
            applyRecord(record.offset, record.bytes);
        }
    }
}

std::vector<wire::record> makeSnapshotRecords(const fleet_state &state)
{
    const std::string image = state.serialize();
    const std::size_t total = image.size() / SNAPSHOT_CHUNK_BYTES + 1;
    std::vector<wire::record> records(total);
    for (std::size_t i = 0; i < total; ++i) {
        wire::snapshot_chunk &chunk = *records[i].mutable_chunk();
        chunk.set_next_offset(state.nextOffset());
        chunk.set_index(static_cast<std::uint32_t>(i));
        chunk.set_total(static_cast<std::uint32_t>(total));
        chunk.set_data(image.substr(i * SNAPSHOT_CHUNK_BYTES, SNAPSHOT_CHUNK_BYTES));
    }
    return records;
}

} // namespace jujubespool

#include <jujubespool/manager/member_ends.h>

namespace jujubespool {

namespace {

constexpr milliseconds STEP_INTERVAL{ 500 };
// An entry that the list does not show after this long is written again.
constexpr milliseconds WRITE_INTERVAL{ 2000 };
constexpr int MAX_WRITES_IN_FLIGHT = 16;

} // namespace

member_ends::member_ends(feed_store &store, peer_tracker &peers, event_log &log)
    : m_store(store)
    , m_peers(peers)
    , m_log(log)
{
}

void member_ends::onEntry(const std::string &node, const std::optional<wire::member_image> &image, instant now)
{
    if (image && image->ended()) {
        m_endReadAt.emplace(node, now);
    } else {
        m_endReadAt.erase(node);
    }
}

void member_ends::tick(std::uint64_t epoch, instant ownerSince, instant now)
{
    if (now < m_nextStepAt) {
        return;
    }
    m_nextStepAt = now + STEP_INTERVAL;
    std::erase_if(m_writtenAt, [now](const auto &written) { return now - written.second >= WRITE_INTERVAL; });
    if (now - ownerSince >= MEMBER_SILENCE) {
        for (const silent_member &silent : m_peers.silentMembers(MEMBER_SILENCE, now)) {
            if (!silent.askedAt) {
                ask(silent, epoch, now);
            } else if (now - *silent.askedAt >= MEMBER_ANSWER_TIME) {
                end(silent, epoch, now);
            }
        }
    }
    deleteEnds(now);
}

void member_ends::ask(const silent_member &silent, std::uint64_t epoch, instant now)
{
    wire::member_image image = silent.image;
    image.set_asked_by_epoch(epoch);
    if (write(image.node(), image, now)) {
        m_log.write("member-asked",
                    { { "node", image.node() },
                      { "incarnation", std::to_string(image.incarnation()) },
                      { "start_number", std::to_string(image.started_ms()) },
                      { "silent_ms_at_least", std::to_string(MEMBER_SILENCE.count()) },
                      { "epoch", std::to_string(epoch) } });
    }
}

void member_ends::end(const silent_member &silent, std::uint64_t epoch, instant now)
{
    wire::member_image image = silent.image;
    image.set_ended(true);
    image.set_ended_by_epoch(epoch);
    if (write(image.node(), image, now)) {
        m_log.write("member-ended",
                    { { "node", image.node() },
                      { "incarnation", std::to_string(image.incarnation()) },
                      { "start_number", std::to_string(image.started_ms()) },
                      { "asked_ms_ago", std::to_string(duration_cast<milliseconds>(now - *silent.askedAt).count()) },
                      { "epoch", std::to_string(epoch) } });
    }
}

void member_ends::deleteEnds(instant now)
{
    for (const auto &[node, readAt] : m_endReadAt) {
        if (now - readAt >= MEMBER_END_KEPT) {
            write(node, std::nullopt, now);
        }
    }
}

bool member_ends::write(const std::string &node, const std::optional<wire::member_image> &image, instant now)
{
    if (m_inFlight >= MAX_WRITES_IN_FLIGHT || m_writtenAt.count(node) > 0) {
        return false;
    }
    m_writtenAt[node] = now;
    ++m_inFlight;
    const ledger_entry entry{ node, image ? std::optional(image->SerializeAsString()) : std::nullopt };
    m_store.put(feed::members, entry, m_lifetime.guard([this](const ledger_append_result &, instant) { --m_inFlight; }));
    return true;
}

} // namespace jujubespool

#include <jujubespool/entry/key_desk.h>

#include <jujubespool/core/hashing.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

key_desk::key_desk(log_session &session, peer_group &peers)
    : m_session(session)
    , m_peers(peers)
{
    peers.subscribe(wire::peer_message::kWithdrawal, [this](const wire::peer_message &message) {
        const wire::key_change &change = message.withdrawal();
        // A later grant on the log overrides a withdrawal that a peer still repeats.
        if (m_withdrawn.emplace(change.key_hash(), change).second) {
            logEvent(log_level::info, "key-withdrawn", { { "team", change.team() }, { "by", "peer" } });
        }
    });
}

void key_desk::propose(const wire::key_change &change, log_session::settled done)
{
    wire::record record;
    *record.mutable_key() = change;
    m_session.propose(std::move(record), [this, hash = change.key_hash(), done = std::move(done)](const applied &result) {
        m_withdrawn.erase(hash);
        if (done) {
            done(result);
        }
    });
}

void key_desk::withdraw(const std::string &team, const std::string &keyHash, log_session::settled done)
{
    wire::key_change change;
    change.set_team(team);
    change.set_key_hash(keyHash);
    change.set_withdrawn(true);
    m_withdrawn[keyHash] = change;
    propose(change, std::move(done));
    repeat();
}

void key_desk::grant(const std::string &team, const std::string &keyHash, log_session::settled done)
{
    wire::key_change change;
    change.set_team(team);
    change.set_key_hash(keyHash);
    propose(change, std::move(done));
}

const team_spec *key_desk::teamOf(const std::string &key) const
{
    const std::string hash = keyHashOf(key);
    return m_withdrawn.count(hash) > 0 ? nullptr : m_session.state().teamOfKey(hash);
}

void key_desk::repeat()
{
    std::erase_if(m_withdrawn, [this](const auto &item) { return m_session.state().isWithdrawn(item.first); });
    for (const auto &[hash, change] : m_withdrawn) {
        wire::peer_message message;
        *message.mutable_withdrawal() = change;
        m_peers.broadcast(message);
    }
}

} // namespace jujubespool

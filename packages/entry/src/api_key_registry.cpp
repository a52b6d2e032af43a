#include <jujubespool/entry/api_key_registry.h>

#include <jujubespool/core/hashing.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds PROPOSAL_RETRY_INTERVAL{ 2000 };

} // namespace

api_key_registry::api_key_registry(time_source &clock, log_session &session, peer_group &peers)
    : m_clock(clock)
    , m_session(session)
    , m_peers(peers)
{
    peers.subscribe(wire::peer_message::kWithdrawal, [this](const wire::peer_message &message) {
        const wire::key_change &change = message.withdrawal();
        const bool isNew = !m_session.state().isKeyWithdrawn(change.key_hash());
        if (isNew && m_withdrawn.emplace(change.key_hash(), withdrawal{ change, m_clock.now() }).second) {
            logEvent(log_level::info, "key-withdrawn", { { "team", change.team() }, { "by", "peer" } });
        }
    });
}

void api_key_registry::propose(const wire::key_change &change, log_session::proposal_callback done)
{
    wire::record record;
    *record.mutable_key() = change;
    m_session.propose(std::move(record), [this, hash = change.key_hash(), done = std::move(done)](const apply_result &result) {
        m_withdrawn.erase(hash);
        if (done) {
            done(result);
        }
    });
}

void api_key_registry::withdraw(const std::string &team, const std::string &keyHash, log_session::proposal_callback done, instant now)
{
    wire::key_change change;
    change.set_team(team);
    change.set_key_hash(keyHash);
    change.set_withdrawn(true);
    m_withdrawn[keyHash] = { change, now };
    propose(change, std::move(done));
    resendWithdrawals(now);
}

void api_key_registry::add(const std::string &team, const std::string &keyHash, log_session::proposal_callback done)
{
    wire::key_change change;
    change.set_team(team);
    change.set_key_hash(keyHash);
    propose(change, std::move(done));
}

const team_spec *api_key_registry::teamOfKeyHash(const std::string &keyHash) const
{
    return m_withdrawn.count(keyHash) > 0 ? nullptr : m_session.state().teamOfKeyHash(keyHash);
}

void api_key_registry::resendWithdrawals(instant now)
{
    std::erase_if(m_withdrawn, [this](const auto &entry) { return m_session.state().isKeyWithdrawn(entry.first); });
    std::vector<wire::key_change> toPropose;
    for (auto &[hash, pending] : m_withdrawn) {
        wire::peer_message message;
        *message.mutable_withdrawal() = pending.change;
        m_peers.broadcast(message);
        if (now - pending.proposedAt > PROPOSAL_RETRY_INTERVAL && m_session.isLogAvailable(now)) {
            pending.proposedAt = now;
            toPropose.push_back(pending.change);
        }
    }
    for (const wire::key_change &change : toPropose) {
        propose(change, {});
    }
}

} // namespace jujubespool

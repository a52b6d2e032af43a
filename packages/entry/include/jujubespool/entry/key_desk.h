// Decides which team a key belongs to, including withdrawals that the log has not taken yet.
//
//     keys.withdraw(team, keyHash);              // in force here at once, at peers within a heartbeat
//     const team_spec *team = keys.teamOf(key);  // nullptr for unknown and withdrawn keys
#pragma once

#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

class key_desk
{
public:
    key_desk(log_session &session, peer_group &peers);

    // Withdraws the key here and at the peers without waiting for the log, and proposes the record.
    void withdraw(const std::string &team, const std::string &keyHash, log_session::settled done);
    void grant(const std::string &team, const std::string &keyHash, log_session::settled done);

    const team_spec *teamOf(const std::string &key) const;

    // Repeats withdrawals that the log does not hold yet, for peers that were cut off.
    void repeat();

    std::size_t unlogged() const
    {
        return m_withdrawn.size();
    }

private:
    void propose(const wire::key_change &change, log_session::settled done);

    log_session &m_session;
    peer_group &m_peers;
    // Withdrawals by hash that the log may not hold yet.
    std::map<std::string, wire::key_change> m_withdrawn;
};

} // namespace jujubespool

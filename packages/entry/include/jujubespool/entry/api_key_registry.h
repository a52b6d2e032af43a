// Decides which team a key belongs to, including withdrawals that the log has not taken yet.
//
//     keys.withdraw(team, keyHash, done, now);         // in force here at once, at peers within a heartbeat
//     const team_spec *team = keys.teamOfKeyHash(keyHash);  // nullptr for unknown and withdrawn keys
#pragma once

#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

class api_key_registry
{
public:
    api_key_registry(time_source &clock, log_session &session, peer_group &peers);

    // Withdraws the key here and at the peers without waiting for the log, and proposes the record.
    void withdraw(const std::string &team, const std::string &keyHash, log_session::settled done, instant now);
    void add(const std::string &team, const std::string &keyHash, log_session::settled done);

    const team_spec *teamOfKeyHash(const std::string &keyHash) const;

    // Repeats withdrawals that the log does not hold yet: to peers that were cut off, and to the log when
    // the host that began the withdrawal has not brought it there.
    void resendWithdrawals(instant now);

    std::size_t unlogged() const
    {
        return m_withdrawn.size();
    }

private:
    void propose(const wire::key_change &change, log_session::settled done);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    struct withdrawal
    {
        wire::key_change change;
        instant proposedAt;
    };
    // Withdrawals by hash that the log may not hold yet.
    std::map<std::string, withdrawal> m_withdrawn;
};

} // namespace jujubespool

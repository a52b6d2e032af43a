// Maps API keys to teams. Applies withdrawals before their records are on the log.
//
//     apiKeys.withdraw(team, keyHash, done, now);   // takes effect here immediately and at the peers within a heartbeat interval
//     const team_spec *team = apiKeys.teamOfKeyHash(keyHash);   // nullptr for unknown and withdrawn keys
#pragma once

#include <jujubespool/entry/peer_group.h>
#include <map>

namespace jujubespool {

class api_key_registry
{
public:
    api_key_registry(time_source &clock, log_session &session, peer_group &peers);

    // Withdraws the key here, sends the withdrawal to the peers without waiting for the log, and proposes the record.
    void withdraw(const std::string &team, const std::string &keyHash, log_session::proposal_callback done, instant now);
    // Proposes a record that adds the key to the team. The key is valid when the record has been read back.
    void add(const std::string &team, const std::string &keyHash, log_session::proposal_callback done);

    // Returns nullptr for unknown and withdrawn keys.
    const team_spec *teamOfKeyHash(const std::string &keyHash) const;

    // Resends the withdrawals that are not on the log yet: to the peers, which may have been disconnected, and to the log, in case
    // that the host that started the withdrawal has not written it.
    void resendWithdrawals(instant now);

    std::size_t unloggedWithdrawals() const
    {
        return m_withdrawn.size();
    }

private:
    void propose(const wire::key_change &change, log_session::proposal_callback done);

    time_source &m_clock;
    log_session &m_session;
    peer_group &m_peers;
    struct withdrawal
    {
        wire::key_change change;
        instant proposedAt;
    };
    // Withdrawals that may not be on the log yet, by key hash.
    std::map<std::string, withdrawal> m_withdrawn;
};

} // namespace jujubespool

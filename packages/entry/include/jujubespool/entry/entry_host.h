// One entry host: all parts of the process, in the order in which they depend on each other.
//
//     entry_host host(loop, settings);
//     failure reason;
//     if (host.start(reason)) {
//         loop.run();
//     }
//     return host.exitCode();
#pragma once

#include <jujubespool/entry/admin_front.h>
#include <jujubespool/entry/caller_front.h>

namespace jujubespool {

enum class exit_code : int { stopped = 0, failed = 1, usage = 2, session_ended = 3 };

class entry_host : private session_listener
{
public:
    entry_host(event_loop &loop, const entry_settings &settings);

    bool start(failure &reason);
    // Begins a graceful stop: not ready, no new work, then the last answer, then the permits are handed on.
    void stopGracefully();
    exit_code exitCode() const
    {
        return m_exitCode;
    }

private:
    void onOwnRecord(std::uint64_t sequence, const wire::record &record, const applied &result) override;
    void onOwnRecordsPassed(std::uint64_t sequence) override;
    void onStateChanged() override;
    void onSessionEnded() override;

    bool ready() const;
    void tick();
    void noticePause(instant now);
    void planPermitsAgain(instant now);
    void continueStop(instant now);
    bool handedOver(instant now) const;

    event_loop &m_loop;
    const entry_settings &m_settings;
    exit_code m_exitCode = exit_code::stopped;
    metrics m_figures;
    http_client m_platformClient;
    http_client m_upstreamClient;
    http_platform m_platform;
    log_session m_session;
    peer_group m_peers;
    permit_wallet m_wallet;
    dispatcher m_work;
    answer_store m_store;
    loan_desk m_loans;
    claim_desk m_claims;
    key_desk m_keys;
    request_router m_router;
    maintenance_driver m_driver;
    caller_front m_callers;
    admin_front m_admin;
    supervisor m_root;
    std::set<std::uint64_t> m_pendingPlans;
    instant m_lastTick;
    instant m_plannedAt;
    instant m_pausedAt;
    bool m_stopping = false;
    bool m_endProposed = false;
    bool m_ended = false;
    bool m_announced = false;
    bool m_rereading = false;
    instant m_stopBegan;
    instant m_logHeardWhileStopping;
};

} // namespace jujubespool

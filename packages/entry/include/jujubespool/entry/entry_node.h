// The parts of an entry host that decide and act together, behind interfaces for everything outside.
//
//     entry_node node(clock, platform, platform, platform, transport, upstreams, settings);
//     node.start(endpoint);
//     node.router().onRequest(request, reply);
//     node.stopGracefully();
//
// entry_host adds the network; tests run several nodes under one schedule with fakes.
#pragma once

#include <jujubespool/entry/maintenance_driver.h>
#include <jujubespool/entry/request_router.h>

namespace jujubespool {

enum class node_end { running, handed_over, not_handed_over };

class entry_node : private session_listener
{
public:
    entry_node(time_source &clock, log_client &log, host_directory &directory, worker_controller &machines, peer_transport &transport,
               http_sender &upstreams, const entry_settings &settings);

    void start(const std::string &endpoint);
    // Begins a graceful stop: not ready, no new work, then the last answer, then the permits are handed on.
    void stopGracefully();

    // What the balancer asks.
    bool ready() const;
    // Whether a graceful stop has begun.
    bool stopping() const
    {
        return m_stopping;
    }
    // Whether new requests are refused already.
    bool refusing() const
    {
        return m_refusing;
    }
    node_end end() const
    {
        return m_end;
    }
    // Whether the session has ended without this process's doing.
    bool sessionLost() const
    {
        return m_sessionLost;
    }

    log_session &session()
    {
        return m_session;
    }
    peer_group &peers()
    {
        return m_peers;
    }
    permit_tracker &permits()
    {
        return m_permits;
    }
    dispatcher &work()
    {
        return m_work;
    }
    idempotency_store &store()
    {
        return m_store;
    }
    loan_desk &loans()
    {
        return m_loans;
    }
    api_key_registry &apiKeys()
    {
        return m_apiKeys;
    }
    request_router &router()
    {
        return m_router;
    }
    maintenance_driver &driver()
    {
        return m_driver;
    }
    metrics_registry &metrics()
    {
        return m_metrics;
    }

private:
    void onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result) override;
    void onOwnRecordsPassed(std::uint64_t sequence) override;
    void onStateChanged() override;
    void onSessionEnded() override;

    void tick();
    void noticePause(instant now);
    void planPermitsAgain(instant now);
    void proposeGive(const wire::permit_give &give);
    void continueStop(instant now);
    bool handedOver(instant now) const;
    void finishStop(bool handedOver);

    time_source &m_clock;
    const entry_settings &m_settings;
    metrics_registry m_metrics;
    log_session m_session;
    peer_group m_peers;
    permit_tracker m_permits;
    dispatcher m_work;
    idempotency_store m_store;
    loan_desk m_loans;
    claim_desk m_claims;
    api_key_registry m_apiKeys;
    request_router m_router;
    maintenance_driver m_driver;
    // Sequence numbers of the permit records that were not read back yet.
    std::set<std::uint64_t> m_pendingPlans;
    instant m_lastTick;
    instant m_plannedAt;
    instant m_pausedAt;
    instant m_stopBegan;
    instant m_logHeardWhileStopping;
    node_end m_end = node_end::running;
    bool m_stopping = false;
    bool m_refusing = false;
    bool m_endProposed = false;
    bool m_sessionEnded = false;
    bool m_sessionLost = false;
    bool m_announced = false;
    bool m_rereading = false;
};

} // namespace jujubespool

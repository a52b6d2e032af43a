// The parts of an entry host that decide and act together, behind interfaces for everything outside.
//
//     entry_node node(clock, platform, platform, platform, transport, upstreams, settings);
//     node.start(endpoint);
//     node.router().onRequest(request, reply);
//     node.stopGracefully();
//
// entry_host adds the network; tests run several nodes under one schedule with fakes.
#pragma once

#include <jujubespool/entry/fleet_maintenance_controller.h>
#include <jujubespool/entry/request_router.h>

namespace jujubespool {

enum class node_status { running, handed_over, not_handed_over };

class entry_node : private session_listener
{
public:
    entry_node(scheduler &clock, log_client &log, host_directory &directory, worker_control &machines, peer_transport &transport,
               http_sender &upstreams, const entry_settings &settings);

    void start(const std::string &endpoint);
    // Begins a graceful stop: not ready, no new work, then the last answer, then the permits are handed on.
    void stopGracefully();

    // What the balancer asks.
    bool isReady() const;
    // Whether a graceful stop has begun.
    bool isStopping() const
    {
        return m_stopping;
    }
    // Whether new requests are refused already.
    bool isRejectingRequests() const
    {
        return m_rejectingRequests;
    }
    node_status status() const
    {
        return m_status;
    }
    // Whether the session has ended without this process's doing.
    bool isSessionLost() const
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
    dispatcher &requestDispatcher()
    {
        return m_dispatcher;
    }
    idempotency_store &idempotencyStore()
    {
        return m_idempotencyStore;
    }
    permit_loan_manager &loans()
    {
        return m_loans;
    }
    key_desk &keys()
    {
        return m_keys;
    }
    request_router &router()
    {
        return m_router;
    }
    fleet_maintenance_controller &maintenanceController()
    {
        return m_maintenanceController;
    }
    metrics &nodeMetrics()
    {
        return m_metrics;
    }

private:
    void onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result) override;
    void onOwnRecordsSkipped(std::uint64_t sequence) override;
    void onStateChanged() override;
    void onSessionEnded() override;

    void tick();
    void noticePause(instant now);
    void planPermitsAgain(instant now);
    void proposeGive(const wire::permit_give &give);
    void continueStop(instant now);
    bool handedOver(instant now) const;
    void finishStop(bool handedOver);

    scheduler &m_clock;
    const entry_settings &m_settings;
    metrics m_metrics;
    log_session m_session;
    peer_group m_peers;
    permit_tracker m_permits;
    dispatcher m_dispatcher;
    idempotency_store m_idempotencyStore;
    permit_loan_manager m_loans;
    claim_coordinator m_claims;
    key_desk m_keys;
    request_router m_router;
    fleet_maintenance_controller m_maintenanceController;
    // Sequence numbers of the permit records that were not read back yet.
    std::set<std::uint64_t> m_pendingPlans;
    instant m_lastTick;
    instant m_plannedAt;
    instant m_pausedAt;
    instant m_stopStartedAt;
    instant m_logHeardWhileStopping;
    node_status m_status = node_status::running;
    bool m_stopping = false;
    bool m_rejectingRequests = false;
    bool m_endProposed = false;
    bool m_sessionEnded = false;
    bool m_sessionLost = false;
    bool m_announced = false;
    bool m_rereading = false;
};

} // namespace jujubespool

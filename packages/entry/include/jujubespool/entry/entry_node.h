// The logic of an entry host, which accesses the log, the platform, the peers and the upstreams only through interfaces.
//
//     entry_node node(clock, log, directory, workerController, transport, upstreams, settings);
//     node.start(endpoint);
//     node.router().onRequest(request, reply);
//     node.stopGracefully();
//
// entry_host adds the network. Tests run several nodes with fakes in one process.
#pragma once

#include <jujubespool/entry/fleet_maintenance_controller.h>
#include <jujubespool/entry/request_router.h>

namespace jujubespool {

enum class node_status {
    running,
    // Stopped, and the permits were returned on the log.
    handed_over,
    // Stopped with permits that the other hosts have to reclaim.
    not_handed_over
};

class entry_node : private session_listener
{
public:
    entry_node(time_source &clock, log_client &log, host_directory &directory, worker_controller &workerController,
               peer_transport &transport, http_sender &upstreams, const entry_settings &settings);

    // Starts with the endpoint at which peers reach this host.
    void start(const std::string &endpoint);
    // Begins a graceful stop: the node becomes unready, then rejects new requests, finishes the running ones and returns its permits.
    void stopGracefully();

    // Whether the load balancer may send requests to this host.
    bool isReady() const;
    // Whether a graceful stop has begun.
    bool isStopping() const
    {
        return m_stopping;
    }
    // Whether new requests are rejected, which begins some time after the start of a graceful stop.
    bool isRejectingRequests() const
    {
        return m_rejectingRequests;
    }
    node_status status() const
    {
        return m_status;
    }
    // Whether the session was ended by something other than a graceful stop of this process.
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
    api_key_registry &apiKeys()
    {
        return m_apiKeys;
    }
    request_router &router()
    {
        return m_router;
    }
    fleet_maintenance_controller &maintenanceController()
    {
        return m_maintenanceController;
    }
    metrics_registry &metrics()
    {
        return m_metrics;
    }

private:
    void onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &result) override;
    void onOwnRecordsSkipped(std::uint64_t sequence) override;
    void onStateChanged() override;
    void onSessionEnded() override;

    void tick();
    void detectPause(instant now);
    void updatePermits(instant now);
    void proposeTransfer(const wire::permit_give &give);
    void continueStopping(instant now);
    bool isHandedOver(instant now) const;
    void completeStop(bool handedOver);

    time_source &m_clock;
    const entry_settings &m_settings;
    metrics_registry m_metrics;
    log_session m_session;
    peer_group m_peers;
    permit_tracker m_permits;
    dispatcher m_dispatcher;
    idempotency_store m_idempotencyStore;
    permit_loan_manager m_loans;
    claim_coordinator m_claims;
    api_key_registry m_apiKeys;
    request_router m_router;
    fleet_maintenance_controller m_maintenanceController;
    // Sequence numbers of permit records that were not read back yet.
    std::set<std::uint64_t> m_pendingPermitRecords;
    instant m_lastTick;
    instant m_lastPlannedAt;
    instant m_pauseDetectedAt;
    instant m_stopStartedAt;
    instant m_lastLogResponseWhileStopping;
    node_status m_status = node_status::running;
    bool m_stopping = false;
    bool m_rejectingRequests = false;
    bool m_endProposed = false;
    bool m_sessionEnded = false;
    bool m_sessionLost = false;
    bool m_readyLogged = false;
    bool m_isCatchingUp = false;
};

} // namespace jujubespool

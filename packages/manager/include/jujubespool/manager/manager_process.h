// A manager process: serves callers, exchanges heartbeats with its peers and owns the jobs if it is elected.
//
//     manager_process process(loop, settings, clients, log, processMetrics);
//     failure reason;
//     if (process.start(reason)) { loop.run(); }
#pragma once

#include <jujubespool/entry/event_loop.h>
#include <jujubespool/jobs/owner_election.h>
#include <jujubespool/manager/call_queue.h>
#include <jujubespool/manager/call_router.h>
#include <jujubespool/manager/event_logger.h>
#include <jujubespool/manager/load_monitor.h>
#include <jujubespool/manager/member_ends.h>
#include <jujubespool/manager/member_registration.h>
#include <jujubespool/manager/order_relay.h>
#include <jujubespool/manager/owner_record_reader.h>
#include <jujubespool/manager/owner_session.h>
#include <jujubespool/manager/relay_executor.h>
#include <jujubespool/manager/stop_sequence.h>
#include <jujubespool/wire/zmq_peer_transport.h>

namespace jujubespool {

// Implements timer_service on the timers of the event loop.
class event_loop_timers : public timer_service
{
public:
    explicit event_loop_timers(event_loop &loop)
        : m_loop(loop)
    {
    }
    void after(milliseconds delay, std::function<void(instant now)> call) override
    {
        m_loop.after(delay, [this, call = std::move(call)] { call(m_loop.now()); });
    }

private:
    event_loop &m_loop;
};

class manager_process : private peer_receiver
{
public:
    manager_process(event_loop &loop, const manager_settings &settings, const platform_clients &clients, event_logger &log,
                    metrics_registry &processMetrics);
    ~manager_process() override;

    // Binds the listeners and the peer link. Returns false and sets the reason on failure.
    bool start(failure &reason);
    // Hands over the ownership, answers the requests that were accepted, and then stops the event loop.
    void stopGracefully();

private:
    void onPeerMessage(const wire::peer_message &message) override;
    void handleMessage(const wire::peer_message &message, instant now);
    void onHeartbeat(std::uint64_t from, const wire::member_beat &heartbeat, instant now);
    bool listen(failure &reason);
    // The entry of this process in the list of members, without the number of its start.
    wire::member_image memberImage() const;
    void onMemberEntry(const ledger_entry &entry, instant now);
    void tick();
    void sendHeartbeat(instant now);
    void sendOwnerHeartbeat(instant now);
    void sendMemberHeartbeat(instant now);
    // Chooses the processes that send orders to workers on behalf of this owner.
    void updateRelayHelpers(instant now);
    void runElection(instant now);
    // As the owner: keeps the voters and the list of members up to date.
    void updateMembers(instant now);
    // Whether callers can be served here: this process owns the jobs and its store responds, or it receives heartbeats
    // from the owner and can send to it.
    bool canServe(instant now) const;
    void readLedgerEnd();
    // Position of this process among those that may claim now.
    std::optional<int> claimRank(instant now) const;
    void createSession();
    void beginClaim(instant now);
    // Requests the ownership from an owner whose host has much less capacity.
    void requestHandover(instant now);
    void onHandoverRequest(std::uint64_t from, std::uint64_t epoch, instant now);
    void handOver(std::uint64_t next, instant now);
    void onSessionEvent(session_event event, instant now);
    void discardSession(instant now);
    // Records that this process has ended. Returns true once that is answered, or was not in time.
    bool recordedEnd(instant now);
    void completeStop(instant now);
    bool owns() const
    {
        return m_session && m_session->active();
    }

    event_loop &m_loop;
    manager_settings m_settings;
    platform_clients m_clients;
    event_logger &m_log;
    metrics_registry &m_metrics;
    load_monitor m_load;
    event_loop_timers m_timers;
    process_identity m_identity;
    zmq_peer_transport m_link;
    peer_tracker m_peers;
    member_ends m_ends;
    call_router m_router;
    call_queue m_calls;
    order_relay m_relay;
    relay_executor m_relayExecutor;
    owner_election m_election;
    owner_record_reader m_ownerRecordReader;
    // Epoch of the owner when the ledger was last read; empty after a heartbeat of an owner whose store responds.
    std::optional<std::uint64_t> m_ownerEpochRead;
    member_registration m_registration;
    feed_watcher m_memberWatcher;
    client_connections m_clientConnections;
    http_listener m_callerListener;
    http_listener m_readinessListener;
    http_listener m_metricsListener;
    std::unique_ptr<owner_session> m_session;
    std::uint64_t m_knownOwner = 0;
    // The owner's time of sending of the last heartbeat received from it, on its own clock.
    std::uint64_t m_ownerSentUs = 0;
    instant m_startedAt;
    instant m_lastHeartbeat;
    instant m_lastHeartbeatToOthers;
    instant m_lastServingAt;
    bool m_stopping = false;
    bool m_handedOver = false;
    // The session reads the store, because this process expects to claim.
    bool m_preparing = false;
    // The session is handing the ownership over.
    bool m_resigning = false;
    // Start of the delay before the next handover request: when heartbeats from an owner on a host with much less
    // capacity were first received, or when the last request was sent.
    instant m_handoverWaitSince;
    // Set while the process is being stopped.
    std::optional<stop_sequence> m_stop;
    // When the record that this process has ended was sent, and whether it has been answered.
    std::optional<instant> m_endSentAt;
    bool m_endAnswered = false;
    // When this process became the owner last.
    instant m_ownerSince;
    lifetime m_lifetime;
};

} // namespace jujubespool

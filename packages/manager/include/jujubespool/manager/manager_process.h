// A manager process: serves callers, finds its peers and owns the jobs when it is its turn.
//
//     manager_process process(loop, settings, clients, log, metrics);
//     failure reason;
//     if (process.start(reason)) { loop.run(); }
#pragma once

#include <jujubespool/entry/event_loop.h>
#include <jujubespool/jobs/owner_election.h>
#include <jujubespool/manager/call_router.h>
#include <jujubespool/manager/event_logger.h>
#include <jujubespool/manager/owner_session.h>
#include <jujubespool/wire/peer_link.h>

namespace jujubespool {

// The event loop's timers as the deciding parts use them.
class loop_clock : public timer_service
{
public:
    explicit loop_clock(event_loop &loop)
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
                    metrics_registry &metrics);
    ~manager_process() override;

    bool start(failure &reason);
    // Hands over what this process owns, answers what it has taken, and ends the loop.
    void stopGracefully();

private:
    void onPeerMessage(const wire::peer_message &message) override;
    void onHeartbeat(std::uint64_t from, const wire::member_beat &beat, instant now);
    bool listen(failure &reason);
    void join();
    void tick();
    void beat(instant now);
    void elect(instant now);
    // Callers are served here: the owner is this process, or is heard.
    bool serves(instant now) const;
    void readLedgerEnd();
    void beginClaim(instant now);
    // Asks a much weaker owner to hand over to this process.
    void requestHandover(instant now);
    void onHandoverRequest(std::uint64_t from, std::uint64_t epoch, instant now);
    void handOver(std::uint64_t next, instant now);
    void onSessionEvent(session_event event, instant now);
    void dropSession(instant now);
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
    loop_clock m_clock;
    process_identity m_identity;
    peer_link m_link;
    peer_tracker m_peers;
    call_router m_router;
    owner_election m_election;
    feed_watcher m_members;
    http_listener m_callerListener;
    http_listener m_readinessListener;
    http_listener m_metricsListener;
    std::unique_ptr<owner_session> m_session;
    std::uint64_t m_ledgerOffset = 0;
    bool m_ledgerKnown = false;
    bool m_ledgerResigned = false;
    bool m_readingLedger = false;
    std::uint64_t m_knownOwner = 0;
    instant m_lastHeartbeat;
    instant m_lastServingAt;
    bool m_stopping = false;
    bool m_handedOver = false;
    // The session is handing over.
    bool m_resigning = false;
    // Since when an owner on a much weaker host has been heard, or was last asked to hand over.
    instant m_handoverWaitSince;
    instant m_stopAt;
    instant m_stopStartedAt;
    lifetime m_lifetime;
};

} // namespace jujubespool

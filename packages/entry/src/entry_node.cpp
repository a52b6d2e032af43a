#include <jujubespool/entry/entry_node.h>

#include <jujubespool/core/permit_planner.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds TICK_INTERVAL{ 10 };
constexpr milliseconds PLAN_INTERVAL{ 50 };
constexpr milliseconds WITHDRAWAL_RESEND_INTERVAL{ 500 };
// With this interval nine hosts stay below the several hundred appends per second that the log can take.
constexpr milliseconds CLAIM_LOG_INTERVAL{ 50 };
// A tick later than this means that the process was paused or that its clock jumped.
constexpr milliseconds PAUSE_THRESHOLD{ 500 };
// After a pause no request is dispatched until the log was read again, or for this time if the log is unavailable.
constexpr milliseconds CATCH_UP_TIMEOUT{ 1000 };
// Time for the load balancer to detect that this host is not ready.
constexpr milliseconds UNREADY_BEFORE_REJECTING{ 300 };
// Time for which a stop waits for an unavailable log. After it the node stops without returning its permits, and they are reclaimed.
constexpr milliseconds HANDOVER_TIMEOUT{ 5000 };

} // namespace

entry_node::entry_node(time_source &clock, log_client &log, host_directory &directory, worker_controller &workerController,
                       peer_transport &transport, http_sender &upstreams, const entry_settings &settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_session(clock, log, settings, *this)
    , m_peers(clock, m_session, transport, settings)
    , m_permits(m_session.id())
    , m_dispatcher(m_permits, m_session.id())
    , m_idempotencyStore(settings.answerStoreBytes)
    , m_loans(clock, m_session, m_peers, m_permits, m_dispatcher)
    , m_claims(clock, m_session, m_peers, m_permits, m_idempotencyStore)
    , m_apiKeys(clock, m_session, m_peers)
    , m_router(clock, m_session, m_peers, m_dispatcher, m_loans, m_claims, m_apiKeys, m_idempotencyStore, upstreams, m_metrics, settings)
    , m_maintenanceController(clock, m_session, m_peers, m_dispatcher, directory, workerController, settings)
{
}

void entry_node::start(const std::string &endpoint)
{
    m_lastTick = m_clock.now();
    m_session.start(endpoint);
    m_peers.start(m_dispatcher, endpoint);
    m_maintenanceController.start();
    m_loans.setLoanReceivedCallback([this] { m_router.dispatchQueued(); });
    m_clock.repeat(TICK_INTERVAL, [this] { tick(); });
    m_clock.repeat(HEARTBEAT_INTERVAL, [this] { m_dispatcher.adjustWeights(HEARTBEAT_INTERVAL); });
    m_clock.repeat(CLAIM_LOG_INTERVAL, [this] { m_claims.logClaims(); });
    m_clock.repeat(WITHDRAWAL_RESEND_INTERVAL, [this] { m_apiKeys.resendWithdrawals(m_clock.now()); });
}

bool entry_node::isReady() const
{
    return !m_stopping && !m_sessionEnded && m_session.state().editionOffset() != 0 && m_session.replayer().isCurrent() && !m_isCatchingUp;
}

void entry_node::tick()
{
    const instant now = m_clock.now();
    detectPause(now);
    m_claims.retryPending(now);
    m_loans.returnIdleLoans(now);
    m_router.checkDeadlines(now);
    updatePermits(now);
    if (!m_readyLogged && isReady()) {
        m_readyLogged = true;
        logEvent(log_level::info, "ready",
                 { { "host", m_settings.host }, { "edition", std::to_string(m_session.state().editionOffset()) } });
    }
    if (m_stopping) {
        continueStopping(now);
    }
}

// After a pause the state may be out of date, so the node reads the log before it dispatches requests.
void entry_node::detectPause(instant now)
{
    if (now - m_lastTick > PAUSE_THRESHOLD) {
        logEvent(log_level::warning, "paused", { { "ms", std::to_string(duration_cast<milliseconds>(now - m_lastTick).count()) } });
        m_isCatchingUp = true;
        m_pauseDetectedAt = now;
        m_router.setDispatchPaused(true);
    }
    m_lastTick = now;
    const bool isCurrentAgain = m_session.stateAge(now) < now - m_pauseDetectedAt;
    if (m_isCatchingUp && (isCurrentAgain || now - m_pauseDetectedAt > CATCH_UP_TIMEOUT)) {
        m_isCatchingUp = false;
        m_router.setDispatchPaused(false);
        m_router.dispatchQueued();
    }
}

void entry_node::updatePermits(instant now)
{
    if (!m_session.isOpen() || m_sessionEnded || !m_pendingPermitRecords.empty() || now - m_lastPlannedAt < PLAN_INTERVAL
        || !m_session.isLogAvailable(now)) {
        return;
    }
    m_lastPlannedAt = now;
    const bool leaving = m_stopping && m_router.isIdle();
    permit_plan plan = planPermits(m_session.state(), m_session.id(), m_permits, leaving, now);
    // Claims must be on the log before their claim ranges are transferred.
    m_claims.logClaims();
    if (plan.take.entries_size() > 0) {
        wire::record record;
        *record.mutable_take() = std::move(plan.take);
        m_pendingPermitRecords.insert(m_session.propose(std::move(record)));
    }
    for (const wire::permit_give &give : plan.gives) {
        proposeTransfer(give);
    }
}

void entry_node::proposeTransfer(const wire::permit_give &give)
{
    wire::record record;
    *record.mutable_give() = give;
    const std::uint64_t sequence = m_session.propose(std::move(record));
    m_permits.beginTransfer(sequence, give);
    m_pendingPermitRecords.insert(sequence);
}

void entry_node::onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &)
{
    m_permits.finishTransfer(sequence);
    m_pendingPermitRecords.erase(sequence);
    if (record.has_claims()) {
        m_claims.onLogged(record.claims());
    }
}

void entry_node::onOwnRecordsSkipped(std::uint64_t sequence)
{
    while (!m_pendingPermitRecords.empty() && *m_pendingPermitRecords.begin() <= sequence) {
        m_permits.finishTransfer(*m_pendingPermitRecords.begin());
        m_pendingPermitRecords.erase(m_pendingPermitRecords.begin());
    }
}

void entry_node::onStateChanged()
{
    m_peers.onStateChanged();
    m_router.dispatchQueued();
}

void entry_node::onSessionEnded()
{
    m_sessionEnded = true;
    m_permits.fence();
    if (m_endProposed) {
        return;
    }
    logEvent(log_level::error, "session-ended",
             { { "host", m_settings.host },
               { "reason", "another process has opened a session for this host, or the platform lists the host as gone" } });
    m_sessionLost = true;
    stopGracefully();
}

void entry_node::stopGracefully()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopStartedAt = m_clock.now();
    m_peers.setStopping();
    logEvent(log_level::info, "stopping", { { "host", m_settings.host } });
}

bool entry_node::isHandedOver(instant now) const
{
    for (const auto &[resource, allocation] : m_session.state().permitAllocations().resources()) {
        if (allocation.heldBy(m_session.id()) > 0) {
            return false;
        }
    }
    return m_claims.allClaimsLogged() && m_pendingPermitRecords.empty() && m_session.isLogAvailable(now);
}

void entry_node::continueStopping(instant now)
{
    if (now - m_stopStartedAt > UNREADY_BEFORE_REJECTING) {
        m_rejectingRequests = true;
        m_router.setStopping();
    }
    const bool stopTimedOut = now - m_stopStartedAt > m_settings.stopTimeout;
    const bool isIdle = now - m_stopStartedAt > UNREADY_BEFORE_REJECTING && m_router.isIdle() && m_dispatcher.running() == 0;
    if (isIdle && !m_sessionEnded && !m_endProposed && isHandedOver(now)) {
        m_endProposed = true;
        wire::record record;
        record.mutable_end()->set_session(m_session.id());
        record.mutable_end()->set_basis(wire::END_BASIS_LEFT);
        m_session.propose(std::move(record));
    }
    if (!isIdle || m_session.isLogAvailable(now)) {
        m_lastLogResponseWhileStopping = now;
    }
    const bool logTimedOut = now - m_lastLogResponseWhileStopping > HANDOVER_TIMEOUT;
    if ((isIdle && (m_sessionEnded || logTimedOut)) || stopTimedOut) {
        completeStop(m_endProposed && m_sessionEnded);
    }
}

void entry_node::completeStop(bool handedOver)
{
    if (m_status != node_status::running) {
        return;
    }
    m_status = handedOver ? node_status::handed_over : node_status::not_handed_over;
    logEvent(log_level::info, "stopped", { { "host", m_settings.host }, { "handed_over", handedOver ? "yes" : "no" } });
}

} // namespace jujubespool

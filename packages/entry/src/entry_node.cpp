#include <jujubespool/entry/entry_node.h>

#include <jujubespool/core/permit_planner.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds TICK{ 10 };
constexpr milliseconds PLAN_INTERVAL{ 50 };
constexpr milliseconds KEY_REPEAT_INTERVAL{ 500 };
// Nine hosts that log claims this often stay below the several hundred appends a second that the log takes.
constexpr milliseconds CLAIM_LOG_INTERVAL{ 50 };
// A tick that comes this late means that the process was paused or its clock jumped.
constexpr milliseconds PAUSE_THRESHOLD{ 500 };
// After a pause nothing starts until the log was read again, or for this time when it is away.
constexpr milliseconds REREAD_TIMEOUT{ 1000 };
// Time for the balancer to notice that this host is not ready.
constexpr milliseconds UNREADY_LEAD{ 300 };
// Time that a stop waits for a log that is away before it leaves its permits to be reclaimed.
constexpr milliseconds HAND_OVER_TIMEOUT{ 5000 };

} // namespace

entry_node::entry_node(time_source &clock, log_client &log, host_directory &directory, worker_controller &machines,
                       peer_transport &transport, http_sender &upstreams, const entry_settings &settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_session(clock, log, settings, *this)
    , m_peers(clock, m_session, transport, settings)
    , m_permits(m_session.id())
    , m_work(m_permits, m_session.id())
    , m_store(settings.answerStoreBytes)
    , m_loans(clock, m_session, m_peers, m_permits, m_work)
    , m_claims(clock, m_session, m_peers, m_permits, m_store)
    , m_apiKeys(clock, m_session, m_peers)
    , m_router(clock, m_session, m_peers, m_work, m_loans, m_claims, m_apiKeys, m_store, upstreams, m_metrics, settings)
    , m_driver(clock, m_session, m_peers, m_work, directory, machines, settings)
{
}

void entry_node::start(const std::string &endpoint)
{
    m_lastTick = m_clock.now();
    m_session.start(endpoint);
    m_peers.start(m_work, endpoint);
    m_driver.start();
    m_loans.onArrival([this] { m_router.dispatchQueued(); });
    m_clock.repeat(TICK, [this] { tick(); });
    m_clock.repeat(HEARTBEAT_INTERVAL, [this] { m_work.adjustWeights(HEARTBEAT_INTERVAL); });
    m_clock.repeat(CLAIM_LOG_INTERVAL, [this] { m_claims.logClaims(); });
    m_clock.repeat(KEY_REPEAT_INTERVAL, [this] { m_apiKeys.resendWithdrawals(m_clock.now()); });
}

bool entry_node::ready() const
{
    return !m_stopping && !m_sessionEnded && m_session.state().editionOffset() != 0 && m_session.replay().isCurrent() && !m_rereading;
}

void entry_node::tick()
{
    const instant now = m_clock.now();
    noticePause(now);
    m_claims.check(now);
    m_loans.settle(now);
    m_router.checkDeadlines(now);
    planPermitsAgain(now);
    if (!m_announced && ready()) {
        m_announced = true;
        logEvent(log_level::info, "ready",
                 { { "host", m_settings.host }, { "edition", std::to_string(m_session.state().editionOffset()) } });
    }
    if (m_stopping) {
        continueStop(now);
    }
}

// What a paused process knew may be out of date, so it reads the log before it starts anything.
void entry_node::noticePause(instant now)
{
    if (now - m_lastTick > PAUSE_THRESHOLD) {
        logEvent(log_level::warning, "paused", { { "ms", std::to_string(duration_cast<milliseconds>(now - m_lastTick).count()) } });
        m_rereading = true;
        m_pausedAt = now;
        m_router.setDispatchPaused(true);
    }
    m_lastTick = now;
    const bool heard = m_session.age(now) < now - m_pausedAt;
    if (m_rereading && (heard || now - m_pausedAt > REREAD_TIMEOUT)) {
        m_rereading = false;
        m_router.setDispatchPaused(false);
        m_router.dispatchQueued();
    }
}

void entry_node::planPermitsAgain(instant now)
{
    if (!m_session.opened() || m_sessionEnded || !m_pendingPlans.empty() || now - m_plannedAt < PLAN_INTERVAL
        || !m_session.logAvailable(now)) {
        return;
    }
    m_plannedAt = now;
    const bool leaving = m_stopping && m_router.isIdle();
    permit_plan plan = planPermits(m_session.state(), m_session.id(), m_permits, leaving, now);
    // Claims go to the log before the ranges that they belong to are given away.
    m_claims.logClaims();
    if (plan.take.entries_size() > 0) {
        wire::record record;
        *record.mutable_take() = std::move(plan.take);
        m_pendingPlans.insert(m_session.propose(std::move(record)));
    }
    for (const wire::permit_give &give : plan.gives) {
        proposeGive(give);
    }
}

void entry_node::proposeGive(const wire::permit_give &give)
{
    wire::record record;
    *record.mutable_give() = give;
    const std::uint64_t sequence = m_session.propose(std::move(record));
    m_permits.beginTransfer(sequence, give);
    m_pendingPlans.insert(sequence);
}

void entry_node::onOwnRecord(std::uint64_t sequence, const wire::record &record, const apply_result &)
{
    m_permits.finishTransfer(sequence);
    m_pendingPlans.erase(sequence);
    if (record.has_claims()) {
        m_claims.onLogged(record.claims());
    }
}

void entry_node::onOwnRecordsPassed(std::uint64_t sequence)
{
    while (!m_pendingPlans.empty() && *m_pendingPlans.begin() <= sequence) {
        m_permits.finishTransfer(*m_pendingPlans.begin());
        m_pendingPlans.erase(m_pendingPlans.begin());
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
             { { "host", m_settings.host }, { "reason", "another process runs as this host, or its machine was declared gone" } });
    m_sessionLost = true;
    stopGracefully();
}

void entry_node::stopGracefully()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopBegan = m_clock.now();
    m_peers.setStopping();
    logEvent(log_level::info, "stopping", { { "host", m_settings.host } });
}

bool entry_node::handedOver(instant now) const
{
    for (const auto &[resource, account] : m_session.state().permitAllocations().resources()) {
        if (account.heldBy(m_session.id()) > 0) {
            return false;
        }
    }
    return m_claims.allClaimsLogged() && m_pendingPlans.empty() && m_session.logAvailable(now);
}

void entry_node::continueStop(instant now)
{
    if (now - m_stopBegan > UNREADY_LEAD) {
        m_refusing = true;
        m_router.setStopping();
    }
    const bool timedOut = now - m_stopBegan > m_settings.stopTimeout;
    const bool quiet = now - m_stopBegan > UNREADY_LEAD && m_router.isIdle() && m_work.running() == 0;
    if (quiet && !m_sessionEnded && !m_endProposed && handedOver(now)) {
        m_endProposed = true;
        wire::record record;
        record.mutable_end()->set_session(m_session.id());
        record.mutable_end()->set_basis(wire::END_BASIS_LEFT);
        m_session.propose(std::move(record));
    }
    if (!quiet || m_session.logAvailable(now)) {
        m_logHeardWhileStopping = now;
    }
    const bool logAway = now - m_logHeardWhileStopping > HAND_OVER_TIMEOUT;
    if ((quiet && (m_sessionEnded || logAway)) || timedOut) {
        finishStop(m_endProposed && m_sessionEnded);
    }
}

void entry_node::finishStop(bool handedOver)
{
    if (m_end != node_end::running) {
        return;
    }
    m_end = handedOver ? node_end::handed_over : node_end::not_handed_over;
    logEvent(log_level::info, "stopped", { { "host", m_settings.host }, { "handed_over", handedOver ? "yes" : "no" } });
}

} // namespace jujubespool

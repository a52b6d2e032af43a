#include <jujubespool/entry/entry_host.h>

#include <jujubespool/core/permit_planner.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds TICK{ 10 };
constexpr milliseconds PLAN_INTERVAL{ 50 };
constexpr milliseconds KEY_REPEAT_INTERVAL{ 500 };
constexpr milliseconds SUPERVISION_INTERVAL{ 200 };
// A tick that comes this late means that the process was paused or its clock jumped.
constexpr milliseconds PAUSE_THRESHOLD{ 500 };
// After a pause nothing starts until the log was read again, or for this time when it is away.
constexpr milliseconds REREAD_TIMEOUT{ 1000 };
// Time for the balancer to notice that this host is not ready.
constexpr milliseconds UNREADY_LEAD{ 300 };
// Time that a stop waits for a log that is away before it leaves its permits to be reclaimed.
constexpr milliseconds HAND_OVER_TIMEOUT{ 5000 };

} // namespace

entry_host::entry_host(event_loop &loop, const entry_settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_platformClient(loop.base())
    , m_upstreamClient(loop.base())
    , m_platform(m_platformClient, settings.platformAddress, settings.host)
    , m_session(loop, m_platform, settings, *this)
    , m_peers(loop, m_session, settings)
    , m_wallet(m_session.id())
    , m_work(m_wallet, m_session.id())
    , m_store(settings.answerStoreBytes)
    , m_loans(loop, m_session, m_peers, m_wallet, m_work)
    , m_claims(loop, m_session, m_peers, m_wallet, m_store)
    , m_keys(m_session, m_peers)
    , m_router(loop, m_session, m_peers, m_work, m_loans, m_claims, m_keys, m_store, m_upstreamClient, m_figures, settings)
    , m_driver(loop, m_session, m_peers, m_work, m_platform, m_platform, settings)
    , m_callers(loop, m_router, m_figures, settings)
    , m_admin(loop,
              { m_session, m_peers, m_wallet, m_work, m_router, m_keys, m_driver, m_store, m_loans, m_figures, settings,
                [this] {
                    return ready();
                } })
    , m_root("entry-host",
             [](const std::string &name, const failure &reason) { logFailure(log_level::error, "component-failed:" + name, reason); })
{
    m_root.add(m_admin);
    m_root.add(m_callers);
}

bool entry_host::start(failure &reason)
{
    const std::optional<std::string> endpoint = m_peers.bind(reason);
    if (!endpoint || !m_root.start(reason)) {
        m_exitCode = exit_code::failed;
        return false;
    }
    m_lastTick = m_loop.now();
    m_session.start(*endpoint);
    m_peers.start(m_work);
    m_driver.start();
    m_loans.onArrival([this] { m_router.pump(); });
    m_loop.repeat(TICK, [this] { tick(); });
    m_loop.repeat(KEY_REPEAT_INTERVAL, [this] { m_keys.repeat(); });
    m_loop.repeat(SUPERVISION_INTERVAL, [this] { m_root.check(m_loop.now()); });
    logEvent(log_level::info, "listening",
             { { "host", m_settings.host }, { "callers", m_callers.address() }, { "admin", m_admin.address() }, { "peers", *endpoint } });
    return true;
}

bool entry_host::ready() const
{
    return !m_stopping && !m_ended && m_session.state().editionOffset() != 0 && m_session.replay().current() && !m_rereading;
}

void entry_host::tick()
{
    const instant now = m_loop.now();
    noticePause(now);
    m_claims.check(now);
    m_claims.logClaims();
    m_loans.settle(now);
    m_router.check(now);
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
void entry_host::noticePause(instant now)
{
    if (now - m_lastTick > PAUSE_THRESHOLD) {
        logEvent(log_level::warning, "paused", { { "ms", std::to_string(duration_cast<milliseconds>(now - m_lastTick).count()) } });
        m_rereading = true;
        m_pausedAt = now;
        m_router.setPaused(true);
    }
    m_lastTick = now;
    const bool heard = m_session.age(now) < now - m_pausedAt;
    if (m_rereading && (heard || now - m_pausedAt > REREAD_TIMEOUT)) {
        m_rereading = false;
        m_router.setPaused(false);
        m_router.pump();
    }
}

void entry_host::planPermitsAgain(instant now)
{
    if (!m_session.opened() || m_ended || !m_pendingPlans.empty() || now - m_plannedAt < PLAN_INTERVAL || !m_session.logAvailable(now)) {
        return;
    }
    m_plannedAt = now;
    const bool leaving = m_stopping && m_router.idle();
    permit_plan plan = planPermits(m_session.state(), m_session.id(), m_wallet, leaving, now);
    // Claims go to the log before the ranges that they belong to are given away.
    m_claims.logClaims();
    if (plan.take.entries_size() > 0) {
        wire::record record;
        *record.mutable_take() = std::move(plan.take);
        m_pendingPlans.insert(m_session.propose(std::move(record)));
    }
    for (wire::permit_give &give : plan.gives) {
        wire::record record;
        *record.mutable_give() = give;
        const std::uint64_t sequence = m_session.propose(std::move(record));
        m_wallet.noteGive(sequence, give);
        m_pendingPlans.insert(sequence);
    }
}

void entry_host::onOwnRecord(std::uint64_t sequence, const wire::record &record, const applied &)
{
    m_wallet.settleGive(sequence);
    m_pendingPlans.erase(sequence);
    if (record.has_claims()) {
        m_claims.onLogged(record.claims());
    }
}

void entry_host::onOwnRecordsPassed(std::uint64_t sequence)
{
    while (!m_pendingPlans.empty() && *m_pendingPlans.begin() <= sequence) {
        m_wallet.settleGive(*m_pendingPlans.begin());
        m_pendingPlans.erase(m_pendingPlans.begin());
    }
}

void entry_host::onStateChanged()
{
    m_peers.onStateChanged();
    m_router.pump();
}

void entry_host::onSessionEnded()
{
    m_ended = true;
    m_wallet.fence();
    if (m_endProposed) {
        return;
    }
    logEvent(log_level::error, "session-ended",
             { { "host", m_settings.host }, { "reason", "another process runs as this host, or its machine was declared gone" } });
    m_exitCode = exit_code::session_ended;
    stopGracefully();
}

void entry_host::stopGracefully()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopBegan = m_loop.now();
    m_peers.setStopping();
    logEvent(log_level::info, "stopping", { { "host", m_settings.host } });
}

bool entry_host::handedOver(instant now) const
{
    for (const auto &[resource, account] : m_session.state().ledger().accounts()) {
        if (account.heldBy(m_session.id()) > 0) {
            return false;
        }
    }
    return m_claims.settled() && m_pendingPlans.empty() && m_session.logAvailable(now);
}

void entry_host::continueStop(instant now)
{
    if (now - m_stopBegan > UNREADY_LEAD) {
        m_router.setStopping();
        m_callers.closeListener();
    }
    const bool timedOut = now - m_stopBegan > m_settings.stopTimeout;
    const bool quiet = now - m_stopBegan > UNREADY_LEAD && m_router.idle() && m_work.running() == 0;
    if (quiet && !m_ended && !m_endProposed && handedOver(now)) {
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
    if ((quiet && (m_ended || logAway)) || timedOut) {
        logEvent(log_level::info, "stopped", { { "host", m_settings.host }, { "handed_over", m_endProposed && m_ended ? "yes" : "no" } });
        m_root.stop();
        m_loop.stop();
    }
}

} // namespace jujubespool

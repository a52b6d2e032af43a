#include <jujubespool/manager/manager_process.h>

#include <algorithm>
#include <fmt/format.h>
#include <jujubespool/entry/logger.h>
#include <jujubespool/jobs/ledger_keys.h>

namespace jujubespool {

namespace {

constexpr milliseconds TICK_INTERVAL{ 25 };
constexpr milliseconds OWNER_HEARTBEAT_INTERVAL{ 100 };
// The owner sends fewer heartbeats to processes that are not candidates for the ownership.
constexpr milliseconds OWNER_HEARTBEAT_INTERVAL_TO_OTHERS{ 200 };
constexpr milliseconds MEMBER_HEARTBEAT_INTERVAL{ 500 };
constexpr poll_timing MEMBERS_POLL_TIMING{ milliseconds(10000), milliseconds(0) };
// A process that cannot serve for this long reports that it is not ready, so that callers use another process. A change
// of owner takes less time.
constexpr milliseconds NOT_SERVING_BEFORE_UNREADY{ 700 };
// A process on a host with much more capacity requests a handover after it has received the owner's heartbeats for this long.
constexpr milliseconds HANDOVER_REQUEST_DELAY{ 1500 };
// A restarted process has forgotten the owner that it knew. It confirms none until the heartbeats of the latest one had time to arrive.
constexpr milliseconds MIN_AGE_TO_CONFIRM{ 3000 };
// A process that stops waits this long for the answer of the store that its end is recorded.
constexpr milliseconds MAX_END_RECORD_TIME{ 300 };
constexpr int STATUS_OK = 200;
constexpr int STATUS_UNAVAILABLE = 503;

peer_statement statementOf(const wire::member_beat &heartbeat)
{
    peer_statement statement;
    statement.epoch = heartbeat.epoch();
    statement.stopping = heartbeat.stopping();
    if (heartbeat.owner_sent_us() != 0) {
        statement.ownerSentAt = instant(microseconds(heartbeat.owner_sent_us()));
    }
    return statement;
}

} // namespace

manager_process::manager_process(event_loop &loop, const manager_settings &settings, const platform_clients &clients, event_logger &log,
                                 metrics_registry &processMetrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_clients(clients)
    , m_log(log)
    , m_metrics(processMetrics)
    , m_load(log, processMetrics, TICK_INTERVAL)
    , m_timers(loop)
    , m_identity{ settings.node, loop.randomNumber() }
    , m_link(loop.base())
    , m_peers(m_link, m_identity.incarnation, log)
    , m_ends(clients.feeds, m_peers, log)
    , m_router(m_peers, log)
    , m_calls(
          [&loop](std::function<void()> call) { loop.afterPolling(std::move(call)); }, [&loop] { return loop.now(); },
          [this](const http_call &call, instant now, const http_reply_callback &reply) { m_session->handle(call, now, reply); },
          [this](const http_call &call, instant now, const http_reply_callback &reply) { m_session->refuseWhileBusy(call, now, reply); })
    , m_relay(
          clients.workers, m_timers, log,
          [this](std::uint64_t to, wire::peer_message message, instant now) { return m_peers.send(to, std::move(message), now); },
          [this](instant now) { return m_session && m_session->isOwnershipConfirmed(now); })
    , m_relayExecutor(clients.workers, m_timers, log,
                      [this](std::uint64_t to, wire::peer_message message, instant now) { m_peers.send(to, std::move(message), now); })
    , m_ownerRecordReader(clients.feeds)
    , m_registration(
          clients.feeds, m_timers, memberImage(), [this] { return m_loop.wallNow(); }, log)
    , m_memberWatcher(clients.feeds, m_timers, feed::members, MEMBERS_POLL_TIMING, log)
    , m_clientConnections(loop, clientLimitsOf(settings, maxOpenDescriptors()), processMetrics)
    , m_callerListener(loop.base(), m_clientConnections)
    , m_readinessListener(loop.base(), m_clientConnections)
    , m_metricsListener(loop.base(), m_clientConnections)
{
}

manager_process::~manager_process() = default;

bool manager_process::start(failure &reason)
{
    enableLogBuffering();
    reason = { failure_step::peer, m_settings.ip, {} };
    m_link.setReceiver(*this);
    if (!m_link.bind(fmt::format("tcp://{}:{}", m_settings.ip, m_settings.peerPort), reason.reason) || !listen(reason)) {
        return false;
    }
    m_startedAt = m_loop.now();
    m_memberWatcher.start([this](const ledger_entry &entry, instant now) { onMemberEntry(entry, now); },
                          [this](instant now) { m_registration.onCaughtUp(now); });
    m_loop.repeat(TICK_INTERVAL, [this] { tick(); });
    m_log.write("started",
                { { "node", m_settings.node },
                  { "incarnation", std::to_string(m_identity.incarnation) },
                  { "callers", m_settings.callerAddress },
                  { "version", JUJUBESPOOL_VERSION } });
    return true;
}

bool manager_process::listen(failure &reason)
{
    const auto serveCallers = [this](const http_call &call, http_reply_callback reply) {
        const auto answer = [this, reply = std::move(reply)](const http_reply &result) {
            http_reply response = result;
            response.close = m_stopping;
            reply(response);
        };
        const instant begin = m_loop.now();
        m_router.handle(call, answer, begin);
        m_loop.addBusyTime(begin);
    };
    const auto serveReady = [this](const http_call &, const http_reply_callback &reply) {
        const bool ready = !m_stopping && m_loop.now() - m_lastServingAt < NOT_SERVING_BEFORE_UNREADY;
        reply({ ready ? STATUS_OK : STATUS_UNAVAILABLE, "{}" });
    };
    const auto serveMetrics = [this](const http_call &, const http_reply_callback &reply) {
        reply({ STATUS_OK, m_metrics.prometheusText(), "text/plain" });
    };
    const std::string metricsAddress = fmt::format("{}:{}", m_settings.ip, m_settings.metricsPort);
    return m_callerListener.listen(m_settings.callerAddress, serveCallers, reason)
        && m_readinessListener.listen(m_settings.readyAddress, serveReady, reason)
        && (m_settings.metricsPort == 0 || m_metricsListener.listen(metricsAddress, serveMetrics, reason));
}

wire::member_image manager_process::memberImage() const
{
    wire::member_image image;
    image.set_node(m_settings.node);
    image.set_incarnation(m_identity.incarnation);
    image.set_endpoint(fmt::format("tcp://{}:{}", m_settings.ip, m_settings.peerPort));
    image.set_cpu_share_percent(m_settings.cpuSharePercent);
    image.set_link_mbps(m_settings.linkMbps);
    image.set_data_center(m_settings.dataCenter);
    return image;
}

void manager_process::onMemberEntry(const ledger_entry &entry, instant now)
{
    wire::member_image image;
    const bool readable = entry.value && image.ParseFromString(*entry.value);
    if (entry.key == m_settings.node) {
        m_registration.onEntry(readable ? std::optional(image) : std::nullopt);
    }
    m_ends.onEntry(entry.key, readable ? std::optional(image) : std::nullopt, now);
    if (readable) {
        m_peers.updateMember(entry.key, image, now);
    } else if (!entry.value) {
        m_peers.removeMember(entry.key);
    }
}

void manager_process::tick()
{
    const instant now = m_loop.now();
    m_relayExecutor.tick(now);
    if (m_session) {
        m_session->tick(now);
    }
    if (owns() && !m_stopping) {
        updateMembers(now);
    }
    m_relay.tick(now);
    sendHeartbeat(now);
    m_lastServingAt = canServe(now) ? now : m_lastServingAt;
    if (!m_stopping) {
        runElection(now);
    }
    m_router.tick(now);
    m_load.tick(now, m_loop.busyTime(), owns() ? &m_session->manager()->model().work() : nullptr);
    m_log.tick(now);
    m_clientConnections.tick();
    if (m_stopping) {
        completeStop(now);
    }
}

// Without a recent record this process may not be the owner any more. Its record of voters would be refused; its ends would not.
void manager_process::updateMembers(instant now)
{
    m_session->updateVoters(m_peers.candidates(), now);
    if (m_session->storeUnresponsiveFor(now) < OWNER_STORE_TIMEOUT) {
        m_ends.tick(m_session->epoch(), m_ownerSince, now);
    }
}

void manager_process::sendHeartbeat(instant now)
{
    if (now - m_lastHeartbeat < (owns() ? OWNER_HEARTBEAT_INTERVAL : MEMBER_HEARTBEAT_INTERVAL)) {
        return;
    }
    m_lastHeartbeat = now;
    if (owns() && !m_stopping) {
        sendOwnerHeartbeat(now);
    } else {
        sendMemberHeartbeat(now);
    }
}

void manager_process::sendOwnerHeartbeat(instant now)
{
    wire::peer_message message;
    wire::member_beat &body = *message.mutable_member();
    body.set_epoch(m_session->epoch());
    body.set_owner_incarnation(m_identity.incarnation);
    body.set_owner_sent_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    body.set_store_silent_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(m_session->storeUnresponsiveFor(now)).count()));
    m_peers.sendToCandidates(message, now);
    if (now - m_lastHeartbeatToOthers >= OWNER_HEARTBEAT_INTERVAL_TO_OTHERS) {
        m_lastHeartbeatToOthers = now;
        m_peers.sendToOthers(message, now);
    }
    updateRelayHelpers(now);
}

void manager_process::sendMemberHeartbeat(instant now)
{
    wire::peer_message message;
    wire::member_beat &body = *message.mutable_member();
    body.set_epoch(m_election.epoch());
    body.set_suspects_owner(!m_stopping && m_election.suspectsOwner(now));
    body.set_stopping(m_stopping);
    if (now - m_startedAt >= MIN_AGE_TO_CONFIRM) {
        body.set_owner_sent_us(m_ownerSentUs);
    }
    const bool candidate = m_peers.isCandidate(m_identity.incarnation);
    if (candidate) {
        m_peers.sendToCandidates(message, now);
    }
    if (m_knownOwner != 0 && (!candidate || !m_peers.isCandidate(m_knownOwner))) {
        m_peers.send(m_knownOwner, std::move(message), now);
    }
    m_peers.closeUnusedConnections(now);
}

void manager_process::updateRelayHelpers(instant now)
{
    const bool manyWorkers = m_session->manager()->model().workers().all().size() >= m_settings.relayFromWorkers;
    m_relay.setHelpers(manyWorkers ? m_peers.relayHelpers(now) : std::vector<relay_helper>());
}

void manager_process::onPeerMessage(const wire::peer_message &message)
{
    const instant begin = m_loop.now();
    handleMessage(message, begin);
    m_loop.addBusyTime(begin);
}

void manager_process::handleMessage(const wire::peer_message &message, instant now)
{
    if (!m_peers.isForThisProcess(message)) {
        m_log.count("peer_messages_misaddressed_total", "former-process");
        return;
    }
    m_peers.recordMessage(message.from_session(), now);
    switch (message.body_case()) {
    case wire::peer_message::kMember:
        onHeartbeat(message.from_session(), message.member(), now);
        break;
    case wire::peer_message::kHandover:
        m_election.recordHandoverRequest(now);
        break;
    case wire::peer_message::kHandoverRequest:
        onHandoverRequest(message.from_session(), message.handover_request().epoch(), now);
        break;
    case wire::peer_message::kCall:
        m_router.onForwardedCall(message.from_session(), message.call(), now);
        break;
    case wire::peer_message::kReply:
        m_router.onForwardedReply(message.reply(), now);
        break;
    case wire::peer_message::kOrders:
        m_relayExecutor.onOrders(message.from_session(), message.orders(), now);
        break;
    case wire::peer_message::kResults:
        m_relay.onResults(message.results(), now);
        break;
    default:
        break;
    }
}

void manager_process::onHeartbeat(std::uint64_t from, const wire::member_beat &heartbeat, instant now)
{
    if (m_peers.isCandidate(from)) {
        m_election.recordPeer(from, heartbeat.suspects_owner(), now);
    }
    m_relayExecutor.recordEpoch(heartbeat.epoch());
    const bool credible = heartbeat.owner_incarnation() != 0 || m_peers.isMember(from);
    if (owns() && credible && heartbeat.epoch() > m_session->epoch()) {
        // A later owner exists, whichever member reports it.
        onSessionEvent(session_event::lost, now);
    }
    if (heartbeat.owner_incarnation() == 0) {
        m_peers.recordStatement(from, statementOf(heartbeat));
        return;
    }
    if (owns() || heartbeat.epoch() < m_election.epoch()) {
        return;
    }
    m_election.recordHeartbeat(heartbeat.epoch(), milliseconds(heartbeat.store_silent_ms()), now);
    m_ownerSentUs = heartbeat.owner_sent_us();
    if (milliseconds(heartbeat.store_silent_ms()) < OWNER_STORE_TIMEOUT) {
        m_ownerEpochRead.reset();
    }
    if (m_knownOwner != heartbeat.owner_incarnation()) {
        m_knownOwner = heartbeat.owner_incarnation();
        m_log.write("owner-known", { { "epoch", std::to_string(heartbeat.epoch()) }, { "incarnation", std::to_string(m_knownOwner) } });
    }
    m_router.setOwner(m_knownOwner, now);
}

void manager_process::runElection(instant now)
{
    if (m_session && !m_preparing) {
        return;
    }
    if (!m_election.receivesHeartbeats(now)) {
        m_router.setOwner(0, now);
    }
    const std::optional<int> rank = claimRank(now);
    m_election.setRank(rank);
    if (rank == 0 && m_peers.hasMuchMoreCapacity(m_identity.incarnation, m_knownOwner)) {
        requestHandover(now);
    }
    switch (m_election.next(now)) {
    case election_action::none:
        break;
    case election_action::read_ledger:
        readLedgerEnd();
        break;
    case election_action::claim:
        beginClaim(now);
        return;
    }
    if (m_preparing && !m_election.suspectsOwner(now)) {
        m_log.write("claim-abandoned", { { "epoch_known", std::to_string(m_election.epoch()) } });
        discardSession(now);
    } else if (!m_session && m_election.expectsToClaim(now)) {
        createSession();
        m_preparing = true;
        m_session->prepare([this](session_event event, instant then) { onSessionEvent(event, then); });
    }
}

void manager_process::requestHandover(instant now)
{
    if (m_handoverWaitSince == instant() || !m_election.receivesHeartbeats(now)) {
        m_handoverWaitSince = now;
    }
    if (now - m_handoverWaitSince < HANDOVER_REQUEST_DELAY) {
        return;
    }
    // A successful read shows that this process can reach the store, without which it could not work as the owner.
    m_handoverWaitSince = now;
    m_clients.feeds.readLatest(
        feed::ledger, ledgerKey(ledger_kind::owner, ""), m_lifetime.guard([this](const feed_page &page, instant then) {
            if (page.answered && !m_session && m_election.receivesHeartbeats(then)) {
                wire::peer_message message;
                message.mutable_handover_request()->set_epoch(m_election.epoch());
                m_peers.send(m_knownOwner, std::move(message), then);
                m_log.write("handover-asked",
                            { { "owner", std::to_string(m_knownOwner) }, { "epoch", std::to_string(m_election.epoch()) } });
            }
        }));
}

void manager_process::onHandoverRequest(std::uint64_t from, std::uint64_t epoch, instant now)
{
    const bool canHandOver = owns() && !m_resigning && !m_stopping && epoch == m_session->epoch();
    if (canHandOver && m_peers.hasMuchMoreCapacity(from, m_identity.incarnation)) {
        handOver(from, now);
    }
}

// Resigns, then notifies the next owner that it may claim the ownership.
void manager_process::handOver(std::uint64_t next, instant now)
{
    m_resigning = true;
    m_session->resign(
        [this, next](instant then) {
            wire::peer_message message;
            message.mutable_handover()->set_epoch(m_session->epoch());
            m_peers.send(next, std::move(message), then);
            m_log.write("handed-over", { { "to", std::to_string(next) }, { "epoch", std::to_string(m_session->epoch()) } });
            m_handedOver = true;
            m_resigning = false;
            m_election.recordOwnershipLost(then);
            discardSession(then);
        },
        now);
}

bool manager_process::canServe(instant now) const
{
    if (owns()) {
        return m_session->storeUnresponsiveFor(now) < OWNER_STORE_TIMEOUT;
    }
    // Heartbeats may arrive from an owner whose address is not known, to which no call can be passed on.
    return m_election.receivesHeartbeats(now) && m_peers.isMember(m_knownOwner);
}

void manager_process::readLedgerEnd()
{
    m_ownerRecordReader.read([this](const owner_record &record, instant now) {
        m_ownerEpochRead = record.epoch;
        m_election.recordLedgerRead(record.ledgerEnd, record.resigned, record.known || record.ledgerEnd > 0, now);
    });
}

std::optional<int> manager_process::claimRank(instant now) const
{
    return m_peers.rank(now, m_election.suspectsOwner(now) ? m_knownOwner : 0);
}

void manager_process::createSession()
{
    const platform_clients clients{ m_clients.ledger, m_clients.feeds,      m_relay,        m_clients.hosts,
                                    m_clients.policy, m_clients.waveStatus, m_clients.codec };
    m_session = std::make_unique<owner_session>(clients, m_timers, m_log, m_settings, m_identity, [this] { return m_loop.wallNow(); });
    m_session->setPeerConfirmation([this](instant then) {
        return owns() && m_session->voters().confirm([&](const voter &asked) { return m_peers.confirms(asked, m_session->epoch(), then); });
    });
    m_session->setTakeOverCheck([this] {
        return owns() && m_session->voters().excludeFormer([&](const voter &asked) { return m_peers.knows(asked, m_session->epoch()); });
    });
}

void manager_process::beginClaim(instant now)
{
    m_peers.connectAll(now);
    m_log.write("claim-begun",
                { { "epoch_known", std::to_string(m_election.epoch()) },
                  { "rank", std::to_string(claimRank(now).value_or(-1)) },
                  { "prepared", m_preparing ? "yes" : "no" } });
    const std::optional<std::uint64_t> ownerEpochSeen = std::exchange(m_ownerEpochRead, std::nullopt);
    if (std::exchange(m_preparing, false)) {
        m_session->allowClaim(ownerEpochSeen);
        return;
    }
    createSession();
    m_session->begin([this](session_event event, instant then) { onSessionEvent(event, then); }, ownerEpochSeen);
}

void manager_process::onSessionEvent(session_event event, instant now)
{
    m_log.write("ownership", { { "event", std::string(nameOf(event)) }, { "epoch", std::to_string(m_session->epoch()) } });
    m_log.count("ownership_total", nameOf(event));
    if (event == session_event::claimed) {
        m_ownerSince = now;
        m_relay.begin(m_session->epoch());
        m_relayExecutor.recordEpoch(m_session->epoch());
        m_election.recordHeartbeat(m_session->epoch(), milliseconds(0), now);
        m_lastHeartbeat = instant();
        m_lastHeartbeatToOthers = instant();
        sendHeartbeat(now);
        m_router.setLocalHandler(
            [this](const http_call &call, instant then, const http_reply_callback &reply) { m_calls.add(call, reply, then); }, now);
        return;
    }
    if (!m_preparing) {
        m_election.recordOwnershipLost(now);
    }
    discardSession(now);
}

void manager_process::discardSession(instant)
{
    m_preparing = false;
    m_router.clearLocalHandler();
    m_calls.clear();
    m_relay.setHelpers({});
    m_resigning = false;
    m_handedOver = m_handedOver || m_stopping;
    m_session->deactivate();
    // This function may be called from a callback of the session, so the session is destroyed after the callback has returned.
    m_loop.after(milliseconds(0), [session = std::shared_ptr<owner_session>(std::move(m_session))] {});
}

void manager_process::stopGracefully()
{
    if (m_stopping) {
        return;
    }
    const instant now = m_loop.now();
    m_log.write("stopping", { { "owns", owns() ? "yes" : "no" } });
    m_stopping = true;
    m_registration.stop();
    m_stop.emplace(now);
    if (!owns()) {
        sendMemberHeartbeat(now);
        m_handedOver = true;
        if (m_session) {
            discardSession(now);
        }
        return;
    }
    if (!m_resigning) {
        handOver(m_peers.preferredSuccessor(now), now);
    }
}

bool manager_process::recordedEnd(instant now)
{
    if (!m_endSentAt) {
        m_endSentAt = now;
        m_registration.end([this](instant) { m_endAnswered = true; });
    }
    return m_endAnswered || now - *m_endSentAt >= MAX_END_RECORD_TIME;
}

void manager_process::completeStop(instant now)
{
    switch (m_stop->next(m_callerListener.openCalls(), m_handedOver, now)) {
    case stop_action::wait:
        break;
    case stop_action::answer_open_calls:
        m_callerListener.stopAccepting();
        m_router.answerPending(now);
        break;
    case stop_action::end:
        if (!recordedEnd(now)) {
            break;
        }
        m_log.write("stopped", { { "open_calls", std::to_string(m_callerListener.openCalls()) } });
        flushLog();
        m_loop.stop();
        break;
    }
}

} // namespace jujubespool

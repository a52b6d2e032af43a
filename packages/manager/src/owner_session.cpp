#include <jujubespool/manager/owner_session.h>

#include <algorithm>
#include <jujubespool/jobs/ledger_keys.h>
#include <jujubespool/jobs/owner_election.h>

namespace jujubespool {

namespace {

// Operators' changes must take effect within seconds; a longer wait would delay the detection of an unresponsive connection.
constexpr poll_timing OPERATORS_POLL_TIMING{ milliseconds(700), milliseconds(0) };
// Workers report many times a second. A long poll would return for each report, so the feed is read at an interval.
constexpr poll_timing WORKERS_POLL_TIMING{ milliseconds(0), milliseconds(300) };
constexpr milliseconds CLAIM_TIMEOUT{ 800 };
constexpr int MAX_CLAIM_ATTEMPTS = 4;
// After this time without a durable record, another process may have become the owner.
constexpr milliseconds OWNERSHIP_UNCERTAIN_AFTER{ 2500 };
// If the store has not answered an append for this long, it is treated as unavailable and new jobs are refused.
constexpr milliseconds STORE_SILENT_BEFORE_REFUSAL{ 700 };
// A working owner writes records more often. After this time without a durable record, another owner may have accepted jobs
// that this one has not read, so "not found" is not reliable.
constexpr milliseconds NOT_FOUND_UNRELIABLE_AFTER{ 600 };
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_GONE = 410;
constexpr unsigned RETRY_AFTER_S = 1;
constexpr std::uint64_t CLAIM_SEQUENCE_COUNT = 1ULL << 40;
// Name in the ledger key of the current owner.
const std::string OWNER_NAME = "current";
// The same for the voters.
const std::string VOTERS_NAME = "current";

} // namespace

owner_session::owner_session(const platform_clients &clients, timer_service &timers, event_log &log, const manager_settings &settings,
                             const process_identity &identity, std::function<wall_ms()> wallClock)
    : m_clients(clients)
    , m_timers(timers)
    , m_log(log)
    , m_settings(settings)
    , m_identity(identity)
    , m_wallClock(std::move(wallClock))
    , m_ownerRecordReader(clients.feeds)
    , m_operators(clients.feeds, timers, feed::operators, OPERATORS_POLL_TIMING, log)
    , m_workers(clients.feeds, timers, feed::workers, WORKERS_POLL_TIMING, log)
{
}

void owner_session::begin(event_callback onEvent, std::optional<std::uint64_t> ownerEpochSeen)
{
    m_onEvent = std::move(onEvent);
    m_ownerEpochSeen = ownerEpochSeen;
    if (!m_ownerEpochSeen) {
        m_ownerRecordReader.read([this](const owner_record &record, instant) { m_ownerEpochSeen = record.epoch; });
    }
    m_operators.start([this](const ledger_entry &entry, instant now) { applyOperatorEntry(entry, now); },
                      [this](instant now) { onFeedCaughtUp(now); });
    m_workers.start([this](const ledger_entry &entry, instant now) { applyWorkerEntry(entry, now); },
                    [this](instant now) { onFeedCaughtUp(now); });
}

void owner_session::prepare(event_callback onEvent)
{
    m_claimAllowed = false;
    begin(std::move(onEvent));
}

void owner_session::allowClaim(std::optional<std::uint64_t> ownerEpochSeen)
{
    m_claimAllowed = true;
    if (ownerEpochSeen) {
        m_ownerEpochSeen = ownerEpochSeen;
    }
    if (m_readyToClaim) {
        readLedgerTail();
    }
}

void owner_session::applyOperatorEntry(const ledger_entry &entry, instant now)
{
    const operator_entry parsed = m_clients.codec.parseOperatorEntry(entry);
    if (!parsed.problem.empty()) {
        m_log.write("operator-entry-refused", { { "entry", entry.key }, { "reason", parsed.problem } });
    }
    if (parsed.config && (!m_config || parsed.config->version > m_config->version)) {
        m_config = parsed.config;
        m_log.write("config-read",
                    { { "version", std::to_string(m_config->version) },
                      { "queues", std::to_string(m_config->queues.size()) },
                      { "teams", std::to_string(m_config->teams.size()) } });
        if (m_manager) {
            m_manager->setConfig(m_config, now);
        }
    }
    if (parsed.evacuation) {
        applyEvacuation(*parsed.evacuation, now);
    }
    if (parsed.wave) {
        m_waves[parsed.wave->number] = *parsed.wave;
        if (m_manager) {
            m_manager->onWave(*parsed.wave, m_wallClock());
        }
    }
}

void owner_session::applyEvacuation(const evacuation_request &request, instant now)
{
    if (request.evacuate) {
        m_evacuated.insert(request.dataCenter);
    } else {
        m_evacuated.erase(request.dataCenter);
    }
    if (m_manager) {
        m_manager->setEvacuated(request.dataCenter, request.evacuate, now);
    }
}

void owner_session::applyWorkerEntry(const ledger_entry &entry, instant now)
{
    const std::optional<worker_report> report = m_clients.codec.parseWorkerEntry(entry);
    if (report) {
        m_reports[entry.key] = *report;
        if (m_manager) {
            m_manager->onWorkerReport(*report, now);
        }
    } else if (!entry.value && m_reports.erase(entry.key) > 0 && m_manager) {
        m_manager->onWorkerUnlisted(entry.key, now);
    }
}

void owner_session::onFeedCaughtUp(instant)
{
    if (!m_ledgerStarted && m_operators.caughtUp() && m_workers.caughtUp()) {
        m_ledgerStarted = true;
        readLedger({});
    }
}

void owner_session::readLedger(const std::string &after)
{
    m_clients.feeds.readLatest(feed::ledger, after, m_lifetime.guard([this, first = after.empty()](const feed_page &page, instant now) {
        if (!page.answered) {
            failClaim("cannot read the ledger: " + page.reason.reason, now);
            return;
        }
        if (first) {
            m_ledgerEnd = page.endOffset;
        }
        applyLedger(page);
        if (page.continueAfterKey) {
            readLedger(*page.continueAfterKey);
        } else {
            readLedgerTail();
        }
    }));
}

void owner_session::applyLedger(const feed_page &page)
{
    for (const ledger_entry &entry : page.entries) {
        if (entry.value) {
            m_ledger[entry.key] = *entry.value;
        } else {
            m_ledger.erase(entry.key);
        }
    }
}

void owner_session::readLedgerTail()
{
    m_clients.feeds.read(feed::ledger, m_ledgerEnd, milliseconds(0), m_lifetime.guard([this](const feed_page &page, instant now) {
        if (!page.answered) {
            failClaim("cannot read the ledger: " + page.reason.reason, now);
            return;
        }
        applyLedger(page);
        m_ledgerEnd = page.nextOffset;
        if (page.nextOffset < page.endOffset) {
            readLedgerTail();
        } else if (m_claimAllowed) {
            claim(now);
        } else {
            m_readyToClaim = true;
        }
    }));
}

wire::owner_image owner_session::ownerImage(instant now) const
{
    wire::owner_image image;
    image.set_node(m_identity.node);
    image.set_incarnation(m_identity.incarnation);
    image.set_epoch(m_epoch);
    image.set_counts_voters(m_manager ? m_voters.trusted() : m_votersTrusted);
    image.set_ledger_ms(m_manager ? m_manager->ledgerTime(now) : m_ledgerTimeRead);
    return image;
}

ledger_entry owner_session::entryOf(const wire::owner_image &image)
{
    return { ledgerKey(ledger_kind::owner, OWNER_NAME), image.SerializeAsString() };
}

ledger_entry owner_session::ownerEntry(instant now) const
{
    return entryOf(ownerImage(now));
}

ledger_entry owner_session::resignedEntry(instant now) const
{
    wire::owner_image image = ownerImage(now);
    image.set_resigned(true);
    image.set_predecessors_ended(m_manager->formerLeasesExpired(now));
    return entryOf(image);
}

// The store identifies an append by its epoch and sequence number alone, and answers a repeat with the first result.
// Two processes that claim the same epoch must therefore use different sequence numbers.
std::uint64_t owner_session::claimSequence() const
{
    return m_identity.incarnation % CLAIM_SEQUENCE_COUNT;
}

void owner_session::claim(instant now)
{
    wire::owner_image previousOwner;
    const auto found = m_ledger.find(ledgerKey(ledger_kind::owner, OWNER_NAME));
    if (found != m_ledger.end() && !previousOwner.ParseFromString(found->second)) {
        m_log.write("ledger-entry-unreadable", { { "key", found->first } });
    }
    if (m_ownerEpochSeen && previousOwner.epoch() > *m_ownerEpochSeen) {
        // A second change of owner would gain nothing: the other owner would have to poll all workers for nothing.
        failClaim("another process has claimed the ownership", now);
        return;
    }
    m_epoch = previousOwner.epoch() + 1;
    m_ledgerTimeRead = previousOwner.ledger_ms();
    m_votersTrusted = previousOwner.epoch() == 0 || previousOwner.counts_voters();
    m_claimSentAt = m_claimAttempts == 0 ? now : m_claimSentAt;
    ++m_claimAttempts;
    const ledger_append call{ m_epoch, claimSequence(), m_ledgerEnd, { ownerEntry(now) }, CLAIM_TIMEOUT };
    m_clients.ledger.append(call, m_lifetime.guard([this](const ledger_append_result &outcome, instant now) { onClaim(outcome, now); }));
}

void owner_session::onClaim(const ledger_append_result &outcome, instant now)
{
    if (outcome.status == append_status::done) {
        activate(now);
    } else if (outcome.status == append_status::unknown && m_claimAttempts < MAX_CLAIM_ATTEMPTS) {
        // A repeat with the same sequence number returns the result of the first append.
        claim(now);
    } else {
        failClaim("claim " + std::string(nameOf(outcome.status)), now);
    }
}

void owner_session::activate(instant now)
{
    m_active = true;
    m_lastRenewal = now;
    const manager_gateways gateways{ m_clients.ledger, m_clients.workers, m_clients.hosts, m_clients.policy, m_clients.waveStatus };
    m_manager = std::make_unique<job_manager>(gateways, m_timers, m_log, m_settings.bounds,
                                              ownership{ m_settings.node, m_epoch, claimSequence(), m_claimSentAt });
    m_apiHandler = std::make_unique<job_api_handler>(*m_manager, m_clients.codec, m_log);
    m_manager->setPeerConfirmation(m_confirmedByPeers);
    m_manager->setTakeOverCheck(m_takeOverKnown);
    m_manager->onOwnershipLost([this](instant then) {
        m_active = false;
        if (!m_ended) {
            m_ended = true;
            m_onEvent(session_event::lost, then);
        }
    });
    for (const auto &[id, report] : m_reports) {
        m_manager->onWorkerReport(report, now);
    }
    if (m_config) {
        m_manager->setConfig(m_config, now);
    }
    for (const std::string &dataCenter : m_evacuated) {
        m_manager->setEvacuated(dataCenter, true, now);
    }
    restoreVoters();
    m_manager->restore(m_ledger, now, m_wallClock());
    for (const auto &[number, wave] : m_waves) {
        m_manager->onWave(wave, m_wallClock());
    }
    m_ledger.clear();
    m_onEvent(session_event::claimed, now);
}

void owner_session::restoreVoters()
{
    wire::voters_image image;
    const auto found = m_ledger.find(ledgerKey(ledger_kind::voters, VOTERS_NAME));
    const bool readable = found == m_ledger.end() || image.ParseFromString(found->second);
    if (!readable) {
        m_log.write("ledger-entry-unreadable", { { "key", found->first } });
    }
    m_voters.restore(image, m_votersTrusted && readable);
    m_log.write("voters-inherited",
                { { "voters", std::to_string(m_voters.recorded().size()) },
                  { "by_epoch", std::to_string(image.epoch()) },
                  { "trusted", m_voters.trusted() ? "yes" : "no" } });
}

void owner_session::updateVoters(const std::vector<voter> &wanted, instant now)
{
    if (!m_active || m_resigning) {
        return;
    }
    const std::optional<wire::voters_image> image = m_voters.change(wanted, m_epoch, m_manager->formerOwnersOver(now));
    if (!image) {
        return;
    }
    m_log.write("voters-changed",
                { { "from", std::to_string(m_voters.recorded().size()) },
                  { "to", std::to_string(wanted.size()) },
                  { "epoch", std::to_string(m_epoch) } });
    m_manager->record({ ledgerKey(ledger_kind::voters, VOTERS_NAME), image->SerializeAsString() },
                      m_lifetime.guard([this](instant) { m_voters.onRecorded(); }), now);
}

void owner_session::failClaim(const std::string &cause, instant now)
{
    m_log.write("claim-failed",
                { { "epoch", std::to_string(m_epoch) }, { "ledger_end", std::to_string(m_ledgerEnd) }, { "reason", cause } });
    if (!m_ended) {
        m_ended = true;
        m_operators.stop();
        m_workers.stop();
        m_onEvent(session_event::claim_failed, now);
    }
}

void owner_session::handle(const http_call &call, instant now, const http_reply_callback &reply)
{
    const bool writes = call.method != "GET";
    const bool ownershipUncertain = now - m_manager->confirmedAt() > OWNERSHIP_UNCERTAIN_AFTER && !m_confirmedByPeers(now);
    if (ownershipUncertain || (writes && m_manager->storeUnresponsiveFor(now) > STORE_SILENT_BEFORE_REFUSAL)) {
        // Another process may have become the owner, or the change cannot be recorded.
        refuse(call, "the store does not answer", reply);
        return;
    }
    const bool notFoundUnreliable = now - m_manager->confirmedAt() > NOT_FOUND_UNRELIABLE_AFTER;
    m_apiHandler->handle(call, now, m_wallClock(), [this, call, notFoundUnreliable, reply](const http_reply &answer) {
        if (notFoundUnreliable && answer.status == STATUS_GONE) {
            refuse(call, "the job may be known elsewhere", reply);
        } else {
            reply(answer);
        }
    });
}

void owner_session::refuseWhileBusy(const http_call &call, instant now, const http_reply_callback &reply)
{
    const std::string path = call.path.substr(0, call.path.find('?'));
    if (m_manager->model().jobs().contains(path.substr(path.rfind('/') + 1))) {
        handle(call, now, reply);
    } else {
        refuse(call, "out of processor time", reply);
    }
}

void owner_session::refuse(const http_call &call, const std::string &reason, const http_reply_callback &reply)
{
    m_log.write("refused",
                { { "call", call.method + " " + call.path }, { "status", std::to_string(STATUS_UNAVAILABLE) }, { "reason", reason } });
    m_log.count("refusals_total", std::to_string(STATUS_UNAVAILABLE));
    reply({ STATUS_UNAVAILABLE, m_clients.codec.errorBody(reason), "application/json", RETRY_AFTER_S });
}

void owner_session::tick(instant now)
{
    if (!m_active) {
        return;
    }
    m_manager->tick(now, m_wallClock());
    if (!m_resigning && now - m_lastRenewal >= OWNER_RENEWAL_INTERVAL) {
        m_lastRenewal = now;
        m_manager->renewOwnership(ownerEntry(now), now);
    }
}

void owner_session::resign(std::function<void(instant now)> done, instant now)
{
    m_resigning = true;
    m_manager->renewOwnership(resignedEntry(now), now);
    m_manager->resign(std::move(done), now);
}

duration owner_session::storeUnresponsiveFor(instant now) const
{
    return m_manager ? m_manager->storeUnresponsiveFor(now) : duration(0);
}

} // namespace jujubespool

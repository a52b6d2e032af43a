#include <jujubespool/manager/owner_session.h>

#include <algorithm>
#include <jujubespool/jobs/ledger_keys.h>
#include <jujubespool/jobs/owner_election.h>

namespace jujubespool {

namespace {

// The operators' changes have to be in force within seconds; a longer wait would hide a silent connection.
constexpr poll_timing OPERATORS_POLL_TIMING{ milliseconds(700), milliseconds(0) };
// Workers report many times a second, so that waiting for changes would mean a read for each.
constexpr poll_timing WORKERS_POLL_TIMING{ milliseconds(0), milliseconds(300) };
constexpr milliseconds CLAIM_TIMEOUT{ 800 };
constexpr int CLAIM_ATTEMPTS = 4;
// Without a record for this long, an owner cannot know whether it still is the owner.
constexpr milliseconds OWNERSHIP_UNCERTAIN_AFTER{ 2500 };
// A store that has not answered an append for this long is taken for away, and new work is refused.
constexpr milliseconds STORE_SILENT_BEFORE_REFUSAL{ 700 };
// An owner that works records more often. After this time without a record another may have accepted what is not known here.
constexpr milliseconds NOT_FOUND_UNRELIABLE_AFTER{ 600 };
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_GONE = 410;
constexpr unsigned RETRY_AFTER_S = 1;
constexpr std::uint64_t CLAIM_SEQUENCE_COUNT = 1ULL << 40;
const std::string OWNER_NAME = "current";

} // namespace

owner_session::owner_session(const platform_clients &clients, timer_service &clock, event_log &log, const manager_settings &settings,
                             const process_identity &identity, std::function<wall_ms()> wallClock)
    : m_clients(clients)
    , m_clock(clock)
    , m_log(log)
    , m_settings(settings)
    , m_identity(identity)
    , m_wallClock(std::move(wallClock))
    , m_operators(clients.feeds, clock, feed::operators, OPERATORS_POLL_TIMING, log)
    , m_workers(clients.feeds, clock, feed::workers, WORKERS_POLL_TIMING, log)
{
}

void owner_session::begin(event_callback onEvent)
{
    m_onEvent = std::move(onEvent);
    m_operators.start([this](const ledger_entry &entry, instant now) { applyOperatorEntry(entry, now); },
                      [this](instant now) { onFeedCaughtUp(now); });
    m_workers.start([this](const ledger_entry &entry, instant now) { applyWorkerEntry(entry, now); },
                    [this](instant now) { onFeedCaughtUp(now); });
}

void owner_session::applyOperatorEntry(const ledger_entry &entry, instant now)
{
    const operator_entry news = m_clients.codec.parseOperatorEntry(entry);
    if (news.config && (!m_config || news.config->version > m_config->version)) {
        m_config = news.config;
        m_log.write("config-read",
                    { { "version", std::to_string(m_config->version) },
                      { "queues", std::to_string(m_config->queues.size()) },
                      { "teams", std::to_string(m_config->teams.size()) } });
        if (m_manager) {
            m_manager->setConfig(m_config, now);
        }
    }
    if (news.wave) {
        m_waves[news.wave->number] = *news.wave;
        if (m_manager) {
            m_manager->onWave(*news.wave, m_wallClock());
        }
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
            fail("the ledger cannot be read: " + page.reason.reason, now);
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
            fail("the ledger cannot be read: " + page.reason.reason, now);
            return;
        }
        applyLedger(page);
        m_ledgerEnd = page.nextOffset;
        if (page.nextOffset < page.endOffset) {
            readLedgerTail();
        } else {
            claim();
        }
    }));
}

ledger_entry owner_session::ownerEntry(bool resigned) const
{
    wire::owner_image image;
    image.set_node(m_identity.node);
    image.set_incarnation(m_identity.incarnation);
    image.set_epoch(m_epoch);
    image.set_resigned(resigned);
    return { ledgerKey(ledger_kind::owner, OWNER_NAME), image.SerializeAsString() };
}

// The store answers a repeat of an append with the first answer, and knows it by epoch and number alone. So two
// processes that claim the same epoch must not use the same number.
std::uint64_t owner_session::claimSequence() const
{
    return m_identity.incarnation % CLAIM_SEQUENCE_COUNT;
}

void owner_session::claim()
{
    wire::owner_image before;
    const auto known = m_ledger.find(ledgerKey(ledger_kind::owner, OWNER_NAME));
    if (known != m_ledger.end() && !before.ParseFromString(known->second)) {
        m_log.write("ledger-entry-unreadable", { { "key", known->first } });
    }
    m_epoch = before.epoch() + 1;
    ++m_claimAttempts;
    const ledger_append call{ m_epoch, claimSequence(), m_ledgerEnd, { ownerEntry(false) }, CLAIM_TIMEOUT };
    m_clients.ledger.append(call, m_lifetime.guard([this](const ledger_append_result &outcome, instant now) { onClaim(outcome, now); }));
}

void owner_session::onClaim(const ledger_append_result &outcome, instant now)
{
    if (outcome.status == append_status::done) {
        activate(now);
    } else if (outcome.status == append_status::unknown && m_claimAttempts < CLAIM_ATTEMPTS) {
        // A repeat under the same number gets the first answer.
        claim();
    } else {
        fail("claim " + std::string(nameOf(outcome.status)), now);
    }
}

void owner_session::activate(instant now)
{
    m_active = true;
    m_lastRenewal = now;
    const manager_gateways gateways{ m_clients.ledger, m_clients.workers, m_clients.hosts, m_clients.advice, m_clients.status };
    m_manager = std::make_unique<job_manager>(gateways, m_clock, m_log, m_settings.bounds,
                                              ownership{ m_settings.node, m_epoch, claimSequence() });
    m_apiHandler = std::make_unique<job_api_handler>(*m_manager, m_clients.codec, m_log);
    m_manager->setPeerConfirmation(m_confirmedByPeers);
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
    m_manager->restore(m_ledger, now, m_wallClock());
    for (const auto &[number, wave] : m_waves) {
        m_manager->onWave(wave, m_wallClock());
    }
    m_ledger.clear();
    m_onEvent(session_event::claimed, now);
}

void owner_session::fail(const std::string &why, instant now)
{
    m_log.write("claim-failed", { { "epoch", std::to_string(m_epoch) }, { "ledger_end", std::to_string(m_ledgerEnd) }, { "reason", why } });
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
    const bool stale = now - m_manager->lastDurableAt() > OWNERSHIP_UNCERTAIN_AFTER && !m_confirmedByPeers(now);
    if (stale || (writes && m_manager->storeUnresponsiveFor(now) > STORE_SILENT_BEFORE_REFUSAL)) {
        // Another owner may know better.
        reply({ STATUS_UNAVAILABLE, m_clients.codec.errorBody("the store does not answer"), "application/json", RETRY_AFTER_S });
        return;
    }
    const bool doubtful = now - m_manager->lastDurableAt() > NOT_FOUND_UNRELIABLE_AFTER;
    m_apiHandler->handle(call, now, m_wallClock(), [this, doubtful, reply](const http_reply &answer) {
        if (doubtful && answer.status == STATUS_GONE) {
            reply({ STATUS_UNAVAILABLE, m_clients.codec.errorBody("the job may be known elsewhere"), "application/json", RETRY_AFTER_S });
        } else {
            reply(answer);
        }
    });
}

void owner_session::tick(instant now)
{
    if (!m_active) {
        return;
    }
    m_manager->tick(now, m_wallClock());
    if (!m_resigning && now - m_lastRenewal >= OWNER_RENEWAL_INTERVAL) {
        m_lastRenewal = now;
        m_manager->renewOwnership(ownerEntry(false), now);
    }
}

void owner_session::resign(std::function<void(instant now)> done, instant now)
{
    m_resigning = true;
    m_manager->renewOwnership(ownerEntry(true), now);
    m_manager->resign(std::move(done), now);
}

duration owner_session::storeUnresponsiveFor(instant now) const
{
    return m_manager ? m_manager->storeUnresponsiveFor(now) : duration(0);
}

} // namespace jujubespool

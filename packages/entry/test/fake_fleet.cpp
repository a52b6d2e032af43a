#include "fake_fleet.h"

#include <fmt/format.h>
#include <jujubespool/core/edition.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr wall_ms EPOCH = 1800000000000;
constexpr milliseconds PLATFORM_LATENCY{ 2 };
constexpr milliseconds READ_POLL_INTERVAL{ 5 };
constexpr milliseconds MAX_RUN_TIME{ 400 };
// Time after which a lowered limit must be in effect.
constexpr seconds LOWERED_LIMIT_GRACE{ 5 };

} // namespace

void fake_event_queue::at(instant when, std::function<void()> call)
{
    m_events.push({ when, ++m_lastOrder, std::move(call) });
}

void fake_event_queue::runUntil(instant end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.when);
        next.call();
    }
    m_now = end;
}

fake_time_source::fake_time_source(fake_event_queue &time, duration wallSkew, std::mt19937_64 &random)
    : m_time(time)
    , m_wallSkew(wallSkew)
    , m_random(random)
{
}

wall_ms fake_time_source::wallNow() const
{
    return EPOCH + static_cast<wall_ms>(duration_cast<milliseconds>(m_time.now().time_since_epoch() + m_wallSkew).count());
}

void fake_time_source::afterExactly(duration delay, std::function<void()> call)
{
    m_time.at(m_time.now() + delay, [state = std::weak_ptr<shared_state>(m_sharedState), call = std::move(call)] {
        const auto locked = state.lock();
        if (locked && locked->paused) {
            locked->deferred.push_back(call);
        } else if (locked) {
            call();
        }
    });
}

void fake_time_source::after(milliseconds delay, std::function<void()> call)
{
    afterExactly(delay, std::move(call));
}

void fake_time_source::repeat(milliseconds interval, std::function<void()> call)
{
    afterExactly(interval, [this, interval, call = std::move(call)] {
        call();
        repeat(interval, call);
    });
}

void fake_time_source::setPaused(bool paused)
{
    m_sharedState->paused = paused;
    if (!paused) {
        const auto deferred = std::move(m_sharedState->deferred);
        m_sharedState->deferred.clear();
        for (const auto &call : deferred) {
            afterExactly(duration(0), call);
        }
    }
}

fake_platform::fake_platform(fake_fleet &fleet, fake_time_source &clock, std::string host)
    : m_fleet(fleet)
    , m_clock(clock)
    , m_host(std::move(host))
{
}

bool fake_platform::reachable() const
{
    return !m_fleet.faults.logUnavailable && m_fleet.faults.hostsCutFromPlatform.count(m_host) == 0;
}

void fake_platform::append(const std::vector<std::string> &records, std::function<void(const append_result &)> done)
{
    append_result result;
    result.reason = { failure_step::log, "fake", "log unavailable" };
    if (!reachable()) {
        m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
        return;
    }
    result.firstOffset = m_fleet.m_log.size();
    // The append takes effect even if the process that sent it crashes or is paused.
    m_fleet.m_time.at(m_fleet.m_time.now() + PLATFORM_LATENCY, [&fleet = m_fleet, records] {
        ++fleet.m_appendCount;
        for (const std::string &record : records) {
            fleet.appendRecord(record);
        }
    });
    if (m_fleet.faults.appendResponsesToLose > 0) {
        --m_fleet.faults.appendResponsesToLose;
        result.firstOffset.reset();
    }
    m_clock.after(2 * PLATFORM_LATENCY, [result, done] { done(result); });
}

void fake_platform::read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done)
{
    if (!reachable()) {
        read_result result;
        result.reason = { failure_step::log, "fake", "log unavailable" };
        m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
        return;
    }
    if (from >= m_fleet.m_log.size() && wait > READ_POLL_INTERVAL) {
        m_clock.after(READ_POLL_INTERVAL, [this, from, wait, done] { read(from, wait - READ_POLL_INTERVAL, done); });
        return;
    }
    read_result result;
    result.page.emplace();
    result.page->oldestOffset = m_fleet.m_oldestOffset;
    result.page->nextOffset = m_fleet.m_log.size();
    for (log_offset offset = std::max(from, m_fleet.m_oldestOffset); offset < m_fleet.m_log.size(); ++offset) {
        result.page->records.push_back({ offset, m_fleet.m_log[offset] });
    }
    m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
}

void fake_platform::list(std::function<void(const list_result &)> done)
{
    list_result result;
    if (reachable()) {
        result.hosts.emplace();
        for (const auto &[name, state] : m_fleet.listed) {
            result.hosts->push_back({ name, state });
        }
    }
    m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
}

void fake_platform::reboot(const std::string &host, const std::string &token, const std::string &version,
                           std::function<void(const control_result &)> done)
{
    control_result result;
    result.accepted = reachable();
    if (result.accepted) {
        fake_fleet::fake_worker_host &target = m_fleet.m_workerHosts[host];
        if (target.usedTokens.insert(token).second) {
            ++target.reboots;
            target.state = host_boot_state::rebooting;
            target.version = version;
            if (m_fleet.m_runningByWorker[host] > 0) {
                m_fleet.addViolation("a reboot interrupted a request on " + host);
            }
            m_fleet.m_time.at(m_fleet.m_time.now() + fakeRebootTime(), [&target] { target.state = host_boot_state::up; });
        }
    }
    m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
}

void fake_platform::inspect(const std::string &host, std::function<void(const inspect_result &)> done)
{
    inspect_result result;
    if (reachable()) {
        result.state = m_fleet.m_workerHosts[host].state;
    }
    m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
}

void fake_platform::leaseTask(const task_lease &, std::function<void(const control_result &)> done)
{
    m_clock.after(PLATFORM_LATENCY, [done] { done({ true, {} }); });
}

void fake_platform::performTaskAction(const std::string &, const std::string &, task_action,
                                      std::function<void(const control_result &)> done)
{
    m_clock.after(PLATFORM_LATENCY, [done] { done({ true, {} }); });
}

void fake_platform::usage(std::function<void(const usage_result &)> done)
{
    m_clock.after(PLATFORM_LATENCY, [done] { done({ std::vector<task_usage>(), {} }); });
}

fake_transport::fake_transport(fake_fleet &fleet, std::string host)
    : m_fleet(fleet)
    , m_host(std::move(host))
{
}

void fake_transport::setReceiver(peer_receiver &receiver)
{
    m_receiver = &receiver;
}

void fake_transport::connect(std::uint64_t peer, const std::string &endpoint)
{
    m_endpoints[peer] = endpoint;
}

void fake_transport::disconnect(std::uint64_t peer)
{
    m_endpoints.erase(peer);
}

bool fake_transport::send(std::uint64_t peer, const wire::peer_message &message)
{
    const auto found = m_endpoints.find(peer);
    if (found == m_endpoints.end() || !m_fleet.isConnected(m_host, found->second)) {
        return false;
    }
    m_sentBytes += message.ByteSizeLong();
    if (static_cast<double>(m_fleet.random(1000)) < m_fleet.faults.messageDropRate * 1000) {
        return true;
    }
    const duration latency = microseconds(200 + m_fleet.random(2000));
    m_fleet.m_time.at(m_fleet.m_time.now() + latency, [&fleet = m_fleet, target = found->second, message] {
        fake_host *host = fleet.find(target);
        if (host != nullptr && host->node) {
            host->clock->afterExactly(duration(0), [host, message] { host->transport->receive(message); });
        }
    });
    return true;
}

void fake_transport::receive(const wire::peer_message &message)
{
    if (m_receiver != nullptr) {
        m_receiver->onPeerMessage(message);
    }
}

milliseconds &fakeRebootTime()
{
    static milliseconds time{ 200 };
    return time;
}

std::string headerValue(const http_request &request, const std::string &name)
{
    for (const http_header &header : request.headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return {};
}

fake_upstreams::fake_upstreams(fake_fleet &fleet, fake_time_source &clock)
    : m_fleet(fleet)
    , m_clock(clock)
{
}

void fake_upstreams::send(const http_request &request, callback done)
{
    const std::string worker = request.address.substr(0, request.address.find(':'));
    const upstream_fault fault = m_fleet.upstreamFaults[worker];
    http_result result;
    if (fault == upstream_fault::refuse_connection) {
        result.outcome = http_outcome::connect_failed;
        m_clock.afterExactly(milliseconds(1), [result, done] { done(result); });
        return;
    }
    m_fleet.startWork(request, worker);
    const std::string runMs = headerValue(request, "Run-Ms");
    const duration runTime = std::min<duration>(milliseconds(runMs.empty() ? 5 : std::stoi(runMs)), MAX_RUN_TIME);
    const std::string team = headerValue(request, "Jujubespool-Team");
    // The work continues even if the entry host that sent it crashes.
    m_fleet.m_time.at(m_fleet.m_time.now() + runTime, [&fleet = m_fleet, team, worker] { fleet.endWork(team, worker); });
    duration responseDelay = runTime;
    if (fault == upstream_fault::no_response || runTime > request.timeout) {
        result.outcome = http_outcome::timed_out;
        responseDelay = request.timeout;
    } else if (fault == upstream_fault::truncate) {
        result.outcome = http_outcome::closed;
    } else {
        result.outcome = http_outcome::complete;
        result.status = fault == upstream_fault::fail ? 500 : 200;
        result.headers.push_back({ "Work-Tag", headerValue(request, "Work-Tag") });
    }
    m_clock.afterExactly(responseDelay + microseconds(300), [result, done] { done(result); });
}

fake_fleet::fake_fleet(std::uint64_t seed, const std::string &text, const std::vector<std::string> &dataCenters, int hosts)
    : m_random(seed)
    , m_referenceReplayer(*this)
{
    setLogLevel(std::getenv("JUJUBESPOOL_TEST_LOGS") != nullptr ? log_level::debug : log_level::error);
    for (int i = 0; i < hosts; ++i) {
        auto created = std::make_unique<fake_host>();
        created->name = fmt::format("entry-{}", i);
        created->dataCenter = dataCenters.at(static_cast<std::size_t>(i) % dataCenters.size());
        created->settings.host = created->name;
        created->settings.dataCenter = created->dataCenter;
        created->settings.logRetention = milliseconds(8000);
        created->settings.stopTimeout = milliseconds(8000);
        m_hosts.push_back(std::move(created));
        start(i);
    }
    run(milliseconds(300));
    publish(0, text);
    run(milliseconds(1500));
}

fake_fleet::~fake_fleet()
{
    for (const auto &host : m_hosts) {
        host->node.reset();
    }
}

void fake_fleet::run(milliseconds time)
{
    constexpr milliseconds SLICE{ 50 };
    for (milliseconds done{ 0 }; done < time; done += SLICE) {
        m_time.runUntil(m_time.now() + std::min(SLICE, time - done));
        checkEditions();
    }
}

void fake_fleet::start(int index)
{
    fake_host &target = host(index);
    if (target.node) {
        return;
    }
    target.paused = false;
    target.lastEdition = 0;
    const duration skew = milliseconds(static_cast<int>(random(1000)) - 500);
    target.clock = std::make_unique<fake_time_source>(m_time, skew, m_random);
    target.platform = std::make_unique<fake_platform>(*this, *target.clock, target.name);
    target.transport = std::make_unique<fake_transport>(*this, target.name);
    target.upstreams = std::make_unique<fake_upstreams>(*this, *target.clock);
    target.node = std::make_unique<entry_node>(*target.clock, *target.platform, *target.platform, *target.platform, *target.transport,
                                               *target.upstreams, target.settings);
    target.node->start(target.name);
}

void fake_fleet::crash(int index)
{
    fake_host &target = host(index);
    target.clock.reset();
    target.node.reset();
    target.transport.reset();
    target.upstreams.reset();
    target.platform.reset();
}

void fake_fleet::pause(int index)
{
    fake_host &target = host(index);
    if (target.node && !target.paused) {
        target.paused = true;
        target.clock->setPaused(true);
    }
}

void fake_fleet::resume(int index)
{
    fake_host &target = host(index);
    if (target.node && target.paused) {
        target.paused = false;
        target.clock->setPaused(false);
    }
}

void fake_fleet::publish(int index, const std::string &text)
{
    wire::record record;
    if (host(index).node) {
        std::vector<config_problem> problems;
        *record.mutable_publish() = makeEdition(host(index).node->session().state(), text, problems).value();
        propose(index, std::move(record));
    }
}

void fake_fleet::propose(int index, wire::record record)
{
    fake_host &target = host(index);
    if (target.node && !target.paused) {
        target.node->session().propose(std::move(record));
    }
}

void fake_fleet::truncateLogBefore(log_offset offset)
{
    m_oldestOffset = std::max(m_oldestOffset, std::min<log_offset>(offset, m_log.size()));
}

void fake_fleet::sendRequest(int index, const std::string &service, const std::string &apiKey, const std::string &tag, int runMs,
                             const std::string &idempotencyKey, milliseconds timeout)
{
    fake_host &target = host(index);
    if (!target.node || target.paused) {
        return;
    }
    caller_request request;
    request.method = http_method::post;
    request.service = service;
    request.path = "/work";
    request.apiKey = apiKey;
    request.idempotencyKey = idempotencyKey;
    request.timeoutMs = std::to_string(timeout.count());
    request.body = tag;
    request.headers = { { "Work-Tag", tag }, { "Run-Ms", std::to_string(runMs) } };
    m_apiKeyByTag[tag] = apiKey;
    ++m_callerCounts.sent;
    const bool keyed = !idempotencyKey.empty();
    target.node->router().onRequest(std::move(request),
                                    [this, tag, keyed](const caller_response &answer) { checkAnswer(tag, keyed, answer); });
}

std::string fake_fleet::makeTag(bool repeatable)
{
    return fmt::format("{}-{}", repeatable ? "many" : "once", ++m_lastTag);
}

std::uint64_t fake_fleet::random(std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
}

wall_ms fake_fleet::wallNow() const
{
    return EPOCH + static_cast<wall_ms>(duration_cast<milliseconds>(m_time.now().time_since_epoch()).count());
}

std::uint32_t fake_fleet::runningOf(const std::string &team) const
{
    const auto found = m_runningByTeam.find(team);
    return found == m_runningByTeam.end() ? 0 : found->second;
}

void fake_fleet::addViolation(const std::string &what)
{
    m_violations.push_back(fmt::format("at {} ms: {}", duration_cast<milliseconds>(m_time.now().time_since_epoch()).count(), what));
}

void fake_fleet::appendRecord(const std::string &bytes)
{
    m_log.push_back(bytes);
    m_referenceReplayer.consumeRecord(m_log.size() - 1, bytes);
}

void fake_fleet::onRecordApplied(log_offset, const wire::record &record, const apply_result &result)
{
    if (result.verdict != apply_verdict::accepted) {
        return;
    }
    for (const pool_spec &pool : referenceState().config().pools) {
        const bool overBudget = !pool.spare && referenceState().unavailable(pool.name) > referenceState().allowedUnavailable(pool.name);
        if (checkBudgets && overBudget && (record.has_drain() || record.has_step())) {
            addViolation("the budget of " + pool.name + " is exceeded");
        }
    }
    m_drainCount += record.has_drain() ? 1 : 0;
    if (record.has_publish()) {
        for (const team_spec &team : referenceState().config().teams) {
            auto &[limit, since] = m_earlierLimits[team.name];
            if (team.limit < limit) {
                since = m_time.now() + LOWERED_LIMIT_GRACE;
            } else {
                limit = team.limit;
            }
        }
    }
}

void fake_fleet::onRecordUndecodable(log_offset)
{
}

void fake_fleet::onSnapshotLoaded(log_offset)
{
}

std::uint32_t fake_fleet::effectiveLimit(const std::string &team) const
{
    const team_spec *spec = referenceState().config().findTeam(team);
    const auto earlier = m_earlierLimits.find(team);
    const bool inGracePeriod = earlier != m_earlierLimits.end() && m_time.now() < earlier->second.second;
    return std::max(spec == nullptr ? 0 : spec->limit, inGracePeriod ? earlier->second.first : 0);
}

void fake_fleet::startWork(const http_request &request, const std::string &worker)
{
    const std::string team = headerValue(request, "Jujubespool-Team");
    const std::string tag = headerValue(request, "Work-Tag");
    ++m_startedCount;
    if (++m_runningByTeam[team] > effectiveLimit(team) && team != ANONYMOUS_TEAM) {
        addViolation(fmt::format("team {} runs {} requests with a limit of {}", team, m_runningByTeam[team], effectiveLimit(team)));
    }
    const host_spec *spec = referenceState().config().findHost(worker);
    if (spec == nullptr || ++m_runningByWorker[worker] > spec->slots) {
        addViolation(fmt::format("host {} runs {} requests, which exceeds its slots or the host is not configured", worker,
                                 m_runningByWorker[worker]));
    }
    const auto status = referenceState().hosts().find(worker);
    if (status == referenceState().hosts().end() || status->second.state == host_state::drained
        || status->second.state == host_state::rebooting) {
        addViolation("work starts on " + worker + ", which is drained");
    }
    const bool once = tag.rfind("once", 0) == 0;
    const std::string expectedPool = once ? "p" : "q";
    if (status != referenceState().hosts().end() && status->second.pool != expectedPool) {
        addViolation("work of pool " + expectedPool + " starts on " + worker + " of pool " + status->second.pool);
    }
    if (++m_runsByTag[tag] > 1 && once) {
        addViolation(tag + " runs twice");
    }
    if (m_answeredNotRun.count(tag) > 0) {
        addViolation(tag + " runs after its caller received not-run");
    }
    const auto withdrawn = withdrawnAfter.find(m_apiKeyByTag[tag]);
    if (withdrawn != withdrawnAfter.end() && m_time.now() > withdrawn->second) {
        addViolation(tag + " starts with a withdrawn key");
    }
}

void fake_fleet::endWork(const std::string &team, const std::string &worker)
{
    --m_runningByTeam[team];
    --m_runningByWorker[worker];
}

void fake_fleet::checkAnswer(const std::string &tag, bool keyed, const caller_response &answer)
{
    switch (answer.outcome) {
    case outcome::ran: {
        ++m_callerCounts.ran;
        std::string echo;
        for (const http_header &header : answer.headers) {
            echo = header.name == "Work-Tag" ? header.value : echo;
        }
        if (echo != tag || m_runsByTag[tag] == 0) {
            addViolation(tag + " received the response of '" + echo + "'");
        }
        break;
    }
    case outcome::not_run:
        ++m_callerCounts.notRun;
        ++m_callerCounts.refusals[answer.status];
        if (m_runsByTag[tag] > 0) {
            addViolation(tag + " has run, but its caller received not-run: " + answer.body);
        }
        if (!keyed) {
            m_answeredNotRun.insert(tag);
        }
        break;
    case outcome::unknown:
        ++m_callerCounts.unknown;
        ++m_callerCounts.refusals[answer.status];
        break;
    }
}

void fake_fleet::checkEditions()
{
    for (const auto &host : m_hosts) {
        if (!host->node) {
            continue;
        }
        const log_offset edition = host->node->session().state().editionOffset();
        if (edition < host->lastEdition) {
            addViolation(host->name + " has reverted to an earlier edition");
        }
        host->lastEdition = edition;
    }
}

bool fake_fleet::isConnected(const std::string &left, const std::string &right) const
{
    std::string dataCenters[2];
    for (const auto &host : m_hosts) {
        if (host->name == left) {
            dataCenters[0] = host->dataCenter;
        }
        if (host->name == right) {
            dataCenters[1] = host->dataCenter;
        }
    }
    const bool isCut = faults.cutDataCenters.count(dataCenters[0]) + faults.cutDataCenters.count(dataCenters[1]) > 0;
    return dataCenters[0] == dataCenters[1] || !isCut;
}

fake_host *fake_fleet::find(const std::string &name)
{
    for (const auto &host : m_hosts) {
        if (host->name == name) {
            return host.get();
        }
    }
    return nullptr;
}

} // namespace jujubespool

#include "fake_fleet.h"

#include <fmt/format.h>
#include <jujubespool/core/edition.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr wall_ms EPOCH = 1800000000000;
constexpr milliseconds PLATFORM_LATENCY{ 2 };
constexpr milliseconds READ_POLL{ 5 };
constexpr milliseconds LONGEST_RUN{ 400 };
// A lowered limit has to be in force after this time.
constexpr seconds LIMIT_SETTLING{ 5 };

} // namespace

void fake_time::at(instant when, std::function<void()> call)
{
    m_entries.push({ when, ++m_lastOrder, std::move(call) });
}

void fake_time::runUntil(instant end)
{
    while (!m_entries.empty() && m_entries.top().when <= end) {
        const entry next = m_entries.top();
        m_entries.pop();
        m_now = std::max(m_now, next.when);
        next.call();
    }
    m_now = end;
}

fake_time_source::fake_time_source(fake_time &time, duration wallSkew, std::mt19937_64 &random)
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
    m_time.at(m_time.now() + delay, [state = std::weak_ptr<shared_state>(m_state), call = std::move(call)] {
        const auto alive = state.lock();
        if (alive && alive->paused) {
            alive->waiting.push_back(call);
        } else if (alive) {
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
    m_state->paused = paused;
    if (!paused) {
        const auto waiting = std::move(m_state->waiting);
        m_state->waiting.clear();
        for (const auto &call : waiting) {
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
    return !m_fleet.faults.logAway && m_fleet.faults.cutFromPlatform.count(m_host) == 0;
}

void fake_platform::append(const std::vector<std::string> &records, std::function<void(const append_result &)> done)
{
    append_result result;
    result.reason = { failure_step::log, "fake", "away" };
    if (!reachable()) {
        m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
        return;
    }
    result.firstOffset = m_fleet.m_log.size();
    // The append takes effect although its writer may crash or pause meanwhile.
    m_fleet.m_time.at(m_fleet.m_time.now() + PLATFORM_LATENCY, [&fleet = m_fleet, records] {
        ++fleet.m_appends;
        for (const std::string &record : records) {
            fleet.appendRecord(record);
        }
    });
    if (m_fleet.faults.loseAppendAnswers > 0) {
        --m_fleet.faults.loseAppendAnswers;
        result.firstOffset.reset();
    }
    m_clock.after(2 * PLATFORM_LATENCY, [result, done] { done(result); });
}

void fake_platform::read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done)
{
    if (!reachable()) {
        read_result result;
        result.reason = { failure_step::log, "fake", "away" };
        m_clock.after(PLATFORM_LATENCY, [result, done] { done(result); });
        return;
    }
    if (from >= m_fleet.m_log.size() && wait > READ_POLL) {
        m_clock.after(READ_POLL, [this, from, wait, done] { read(from, wait - READ_POLL, done); });
        return;
    }
    read_result result;
    result.page.emplace();
    result.page->oldestOffset = m_fleet.m_oldest;
    result.page->nextOffset = m_fleet.m_log.size();
    for (log_offset offset = std::max(from, m_fleet.m_oldest); offset < m_fleet.m_log.size(); ++offset) {
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
        fake_fleet::machine &target = m_fleet.m_machines[host];
        if (target.tokens.insert(token).second) {
            ++target.reboots;
            target.state = host_boot_state::rebooting;
            target.version = version;
            if (m_fleet.m_workerRunning[host] > 0) {
                m_fleet.violate("maintenance cut a request on " + host);
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
        result.state = m_fleet.m_machines[host].state;
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
    if (found == m_endpoints.end() || !m_fleet.linked(m_host, found->second)) {
        return false;
    }
    m_sent += message.ByteSizeLong();
    if (static_cast<double>(m_fleet.random(1000)) < m_fleet.faults.dropMessages * 1000) {
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

std::string headerOf(const http_request &request, const std::string &name)
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
    m_fleet.beginWork(request, worker);
    const std::string runMs = headerOf(request, "Run-Ms");
    const duration runTime = std::min<duration>(milliseconds(runMs.empty() ? 5 : std::stoi(runMs)), LONGEST_RUN);
    const std::string team = headerOf(request, "Jujubespool-Team");
    // The work goes on whatever becomes of its sender.
    m_fleet.m_time.at(m_fleet.m_time.now() + runTime, [&fleet = m_fleet, team, worker] { fleet.endWork(team, worker); });
    duration answerAt = runTime;
    if (fault == upstream_fault::silent || runTime > request.timeout) {
        result.outcome = http_outcome::timed_out;
        answerAt = request.timeout;
    } else if (fault == upstream_fault::truncate) {
        result.outcome = http_outcome::closed;
    } else {
        result.outcome = http_outcome::complete;
        result.status = fault == upstream_fault::fail ? 500 : 200;
        result.headers.push_back({ "Work-Tag", headerOf(request, "Work-Tag") });
    }
    m_clock.afterExactly(answerAt + microseconds(300), [result, done] { done(result); });
}

fake_fleet::fake_fleet(std::uint64_t seed, const std::string &text, const std::vector<std::string> &dataCenters, int hosts)
    : m_random(seed)
    , m_reference(*this)
{
    setLogLevel(std::getenv("JUJUBESPOOL_TEST_LOGS") != nullptr ? log_level::debug : log_level::error);
    for (int i = 0; i < hosts; ++i) {
        auto item = std::make_unique<fake_host>();
        item->name = fmt::format("entry-{}", i);
        item->dataCenter = dataCenters.at(static_cast<std::size_t>(i) % dataCenters.size());
        item->settings.host = item->name;
        item->settings.dataCenter = item->dataCenter;
        item->settings.logRetention = milliseconds(8000);
        item->settings.stopTimeout = milliseconds(8000);
        m_hosts.push_back(std::move(item));
        start(i);
    }
    run(milliseconds(300));
    publish(0, text);
    run(milliseconds(1500));
}

fake_fleet::~fake_fleet()
{
    for (const auto &item : m_hosts) {
        item->node.reset();
    }
}

void fake_fleet::run(milliseconds time)
{
    constexpr milliseconds SLICE{ 50 };
    for (milliseconds done{ 0 }; done < time; done += SLICE) {
        m_time.runUntil(m_time.now() + std::min(SLICE, time - done));
        checkHosts();
    }
}

void fake_fleet::start(int index)
{
    fake_host &item = host(index);
    if (item.node) {
        return;
    }
    item.paused = false;
    item.lastEdition = 0;
    const duration skew = milliseconds(static_cast<int>(random(1000)) - 500);
    item.clock = std::make_unique<fake_time_source>(m_time, skew, m_random);
    item.platform = std::make_unique<fake_platform>(*this, *item.clock, item.name);
    item.transport = std::make_unique<fake_transport>(*this, item.name);
    item.upstreams = std::make_unique<fake_upstreams>(*this, *item.clock);
    item.node = std::make_unique<entry_node>(*item.clock, *item.platform, *item.platform, *item.platform, *item.transport, *item.upstreams,
                                             item.settings);
    item.node->start(item.name);
}

void fake_fleet::crash(int index)
{
    fake_host &item = host(index);
    item.clock.reset();
    item.node.reset();
    item.transport.reset();
    item.upstreams.reset();
    item.platform.reset();
}

void fake_fleet::pause(int index)
{
    fake_host &item = host(index);
    if (item.node && !item.paused) {
        item.paused = true;
        item.clock->setPaused(true);
    }
}

void fake_fleet::resume(int index)
{
    fake_host &item = host(index);
    if (item.node && item.paused) {
        item.paused = false;
        item.clock->setPaused(false);
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
    fake_host &item = host(index);
    if (item.node && !item.paused) {
        item.node->session().propose(std::move(record));
    }
}

void fake_fleet::cutRecordsBefore(log_offset offset)
{
    m_oldest = std::max(m_oldest, std::min<log_offset>(offset, m_log.size()));
}

void fake_fleet::request(int index, const std::string &service, const std::string &key, const std::string &tag, int runMs,
                         const std::string &idempotencyKey, milliseconds timeout)
{
    fake_host &item = host(index);
    if (!item.node || item.paused) {
        return;
    }
    caller_request request;
    request.method = http_method::post;
    request.service = service;
    request.path = "/work";
    request.apiKey = key;
    request.idempotencyKey = idempotencyKey;
    request.timeoutMs = std::to_string(timeout.count());
    request.body = tag;
    request.headers = { { "Work-Tag", tag }, { "Run-Ms", std::to_string(runMs) } };
    m_keyOfTag[tag] = key;
    ++m_figures.asked;
    const bool keyed = !idempotencyKey.empty();
    item.node->router().onRequest(std::move(request),
                                  [this, tag, keyed](const caller_response &answer) { noteAnswer(tag, keyed, answer); });
}

std::string fake_fleet::freshTag(bool repeatable)
{
    return fmt::format("{}-{}", repeatable ? "many" : "once", ++m_lastTag);
}

std::uint64_t fake_fleet::random(std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
}

wall_ms fake_fleet::wall() const
{
    return EPOCH + static_cast<wall_ms>(duration_cast<milliseconds>(m_time.now().time_since_epoch()).count());
}

std::uint32_t fake_fleet::runningOf(const std::string &team) const
{
    const auto found = m_teamRunning.find(team);
    return found == m_teamRunning.end() ? 0 : found->second;
}

void fake_fleet::violate(const std::string &what)
{
    m_violations.push_back(fmt::format("at {} ms: {}", duration_cast<milliseconds>(m_time.now().time_since_epoch()).count(), what));
}

void fake_fleet::appendRecord(const std::string &bytes)
{
    m_log.push_back(bytes);
    m_reference.consumeRecord(m_log.size() - 1, bytes);
}

void fake_fleet::onRecordApplied(log_offset, const wire::record &record, const apply_result &result)
{
    if (result.verdict != apply_verdict::accepted) {
        return;
    }
    for (const pool_spec &pool : truth().config().pools) {
        const bool over = !pool.spare && truth().unavailable(pool.name) > truth().allowedUnavailable(pool.name);
        if (checkBudgets && over && (record.has_drain() || record.has_step())) {
            violate("the budget of " + pool.name + " is exceeded");
        }
    }
    m_drains += record.has_drain() ? 1 : 0;
    if (record.has_publish()) {
        for (const team_spec &team : truth().config().teams) {
            auto &[limit, since] = m_earlierLimits[team.name];
            if (team.limit < limit) {
                since = m_time.now() + LIMIT_SETTLING;
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

std::uint32_t fake_fleet::limitOf(const std::string &team) const
{
    const team_spec *spec = truth().config().findTeam(team);
    const auto earlier = m_earlierLimits.find(team);
    const bool settling = earlier != m_earlierLimits.end() && m_time.now() < earlier->second.second;
    return std::max(spec == nullptr ? 0 : spec->limit, settling ? earlier->second.first : 0);
}

void fake_fleet::beginWork(const http_request &request, const std::string &worker)
{
    const std::string team = headerOf(request, "Jujubespool-Team");
    const std::string tag = headerOf(request, "Work-Tag");
    ++m_started;
    if (++m_teamRunning[team] > limitOf(team) && team != ANONYMOUS_TEAM) {
        violate(fmt::format("team {} runs {} with a limit of {}", team, m_teamRunning[team], limitOf(team)));
    }
    const host_spec *spec = truth().config().findHost(worker);
    if (spec == nullptr || ++m_workerRunning[worker] > spec->slots) {
        violate(fmt::format("host {} runs {}", worker, m_workerRunning[worker]));
    }
    const auto status = truth().hosts().find(worker);
    if (status == truth().hosts().end() || status->second.state == host_state::drained || status->second.state == host_state::rebooting) {
        violate("work starts on " + worker + ", which is drained");
    }
    const bool once = tag.rfind("once", 0) == 0;
    const std::string wanted = once ? "p" : "q";
    if (status != truth().hosts().end() && status->second.pool != wanted) {
        violate("work of pool " + wanted + " starts on " + worker + " of pool " + status->second.pool);
    }
    if (++m_runs[tag] > 1 && once) {
        violate(tag + " runs twice");
    }
    if (m_toldNotRun.count(tag) > 0) {
        violate(tag + " runs after its caller was told not-run");
    }
    const auto withdrawn = withdrawnAfter.find(m_keyOfTag[tag]);
    if (withdrawn != withdrawnAfter.end() && m_time.now() > withdrawn->second) {
        violate(tag + " starts with a withdrawn key");
    }
}

void fake_fleet::endWork(const std::string &team, const std::string &worker)
{
    --m_teamRunning[team];
    --m_workerRunning[worker];
}

void fake_fleet::noteAnswer(const std::string &tag, bool keyed, const caller_response &answer)
{
    switch (answer.outcome) {
    case outcome::ran: {
        ++m_figures.ran;
        std::string echo;
        for (const http_header &header : answer.headers) {
            echo = header.name == "Work-Tag" ? header.value : echo;
        }
        if (echo != tag || m_runs[tag] == 0) {
            violate(tag + " got the answer of '" + echo + "'");
        }
        break;
    }
    case outcome::not_run:
        ++m_figures.notRun;
        ++m_figures.refusals[answer.status];
        if (m_runs[tag] > 0) {
            violate(tag + " has run, but its caller was told not-run: " + answer.body);
        }
        if (!keyed) {
            m_toldNotRun.insert(tag);
        }
        break;
    case outcome::unknown:
        ++m_figures.unknown;
        ++m_figures.refusals[answer.status];
        break;
    }
}

void fake_fleet::checkHosts()
{
    for (const auto &item : m_hosts) {
        if (!item->node) {
            continue;
        }
        const log_offset edition = item->node->session().state().editionOffset();
        if (edition < item->lastEdition) {
            violate(item->name + " has reverted to an earlier edition");
        }
        item->lastEdition = edition;
    }
}

bool fake_fleet::linked(const std::string &left, const std::string &right) const
{
    std::string centers[2];
    for (const auto &item : m_hosts) {
        if (item->name == left) {
            centers[0] = item->dataCenter;
        }
        if (item->name == right) {
            centers[1] = item->dataCenter;
        }
    }
    const bool cut = faults.cutDataCenters.count(centers[0]) + faults.cutDataCenters.count(centers[1]) > 0;
    return centers[0] == centers[1] || !cut;
}

fake_host *fake_fleet::find(const std::string &name)
{
    for (const auto &item : m_hosts) {
        if (item->name == name) {
            return item.get();
        }
    }
    return nullptr;
}

} // namespace jujubespool

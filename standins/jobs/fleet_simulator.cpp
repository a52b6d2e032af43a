#include "fleet_simulator.h"

#include <algorithm>
#include <chrono>

namespace standin {

namespace {

using json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_OTHER_INCARNATION = 421;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr std::uint64_t HEARTBEAT_INTERVAL_MS = 500;
// An entry expires after three heartbeat intervals of silence.
constexpr std::uint64_t ENTRY_LIFETIME_MS = 1500;
// A poll lists at most this many ends.
constexpr std::size_t MAX_LISTED_ENDS = 500;
constexpr std::uint64_t RUN_CHECK_INTERVAL_MS = 10;
constexpr std::uint64_t POLL_CHECK_INTERVAL_MS = 10;
constexpr std::uint64_t MAX_LEASE_MS = 6000;
// Duration of a move to another pool, and of a host maintenance.
constexpr std::uint64_t HOST_ORDER_DURATION_MS = 700;
constexpr std::uint64_t DEFAULT_RUN_MS = 200;
constexpr int WORKER_CPU_MILLIS = 16000;
constexpr int WORKER_MEMORY_MB = 64000;
constexpr int FULL_SPEED_PERCENT = 100;

// Returns a number of a spec such as "ms=200 fail=1", or the fallback if the spec does not contain it.
std::uint64_t parseSpecNumber(const std::string &spec, const std::string &name, std::uint64_t fallback)
{
    const std::size_t position = spec.find(name + "=");
    return position == std::string::npos ? fallback : std::strtoull(spec.c_str() + position + name.size() + 1, nullptr, 10);
}

json workerCapacity()
{
    return { { "cpu", WORKER_CPU_MILLIS }, { "mem_mb", WORKER_MEMORY_MB } };
}

} // namespace

std::uint64_t wallNowMs()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

fleet_simulator::fleet_simulator(event_base *base, http_server &server, log_store &store)
    : m_base(base)
    , m_server(server)
    , m_store(store)
{
    checkRuns();
}

void fleet_simulator::addHosts(const std::string &pool, int count, int zones)
{
    for (int i = 0; i < count; ++i) {
        const std::size_t index = m_workers.size();
        auto worker = std::make_unique<simulated_worker>();
        worker->host = fmt::format("host-{}", index);
        worker->pool = pool;
        worker->zone = std::string(1, static_cast<char>('a' + static_cast<int>(index) % zones));
        m_hosts[worker->host] = { worker->host, pool, "up", index, 0 };
        m_workers.push_back(std::move(worker));
        openServer(index);
        restartWorker(index, 0, "up", false);
    }
}

void fleet_simulator::openServer(std::size_t index)
{
    simulated_worker &worker = *m_workers[index];
    const std::size_t colon = worker.address.find(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(worker.address.c_str() + colon + 1);
    worker.server = std::make_unique<http_server>(m_base, [this, index](const http_request &request) { onWorkerRequest(index, request); });
    worker.address = worker.server->bind("127.0.0.1", static_cast<std::uint16_t>(port));
    if (worker.address.empty()) {
        throw std::runtime_error("the port of a worker is in use");
    }
}

void fleet_simulator::logEvent(const simulated_worker &worker, const std::string &event, const std::string &task, int runNumber,
                               const std::string &outcome)
{
    if (m_events.is_open()) {
        m_events << json{ { "ms", wallNowMs() },   { "event", event }, { "worker", worker.id }, { "born", worker.startTimeMs },
                          { "zone", worker.zone }, { "task", task },   { "run", runNumber },    { "how", outcome } }
                 << std::endl;
    }
}

std::uint64_t fleet_simulator::workerClockMs(const simulated_worker &worker) const
{
    return worker.startTimeMs == 0 ? 0 : wallNowMs() - worker.startTimeMs;
}

void fleet_simulator::restartWorker(std::size_t index, std::uint64_t afterMs, const std::string &hostState, bool keepsId)
{
    simulated_worker &worker = *m_workers[index];
    if (!worker.id.empty()) {
        logEvent(worker, "crash", {}, 0, hostState);
        worker.server.reset();
    }
    for (const auto &[task, run] : worker.activeRuns) {
        m_workersRunning[task].erase(worker.id);
    }
    if (!worker.id.empty() && !keepsId) {
        m_store.put("keyed.servers", worker.id, "");
        worker.listed = false;
    }
    worker.activeRuns.clear();
    worker.unacknowledgedRuns.clear();
    worker.highestEndedRun.clear();
    worker.startTimeMs = 0;
    worker.fencingToken = 0;
    worker.lastEndIndex = 0;
    worker.leaseExpiryMs = 0;
    m_hosts[worker.host].state = hostState;
    m_server.runAfter(afterMs, [this, index, keepsId] {
        simulated_worker &restarted = *m_workers[index];
        if (!restarted.server) {
            openServer(index);
        }
        restarted.startTimeMs = wallNowMs();
        if (!keepsId) {
            restarted.id = fmt::format("w{}-{}", index, restarted.startTimeMs % 100000000);
        }
        m_hosts[restarted.host].state = "up";
        sendHeartbeat(index);
    });
}

void fleet_simulator::sendHeartbeat(std::size_t index)
{
    simulated_worker &worker = *m_workers[index];
    const json entry{ { "service", worker.pool },
                      { "address", worker.address },
                      { "zone", worker.zone },
                      { "version", "1" },
                      { "slots", 8 },
                      { "state", "ready" },
                      { "cold_remaining_ms", 0 },
                      { "seq", ++worker.heartbeatCount },
                      { "born", worker.startTimeMs },
                      { "capacity", workerCapacity() },
                      { "labels", { "kind", "rack-1" } } };
    if (worker.zone != m_cutZone) {
        m_store.put("keyed.servers", worker.id, entry.dump());
        worker.listedAtMs = wallNowMs();
        worker.listed = true;
    }
    m_server.runAfter(HEARTBEAT_INTERVAL_MS, [this, index, startTimeMs = worker.startTimeMs] {
        if (m_workers[index]->startTimeMs == startTimeMs) {
            sendHeartbeat(index);
        }
    });
}

void fleet_simulator::expireEntries()
{
    for (auto &worker : m_workers) {
        if (worker->listed && wallNowMs() - worker->listedAtMs > ENTRY_LIFETIME_MS) {
            m_store.put("keyed.servers", worker->id, "");
            worker->listed = false;
        }
    }
}

void fleet_simulator::crashWorker(std::size_t workerIndex, std::uint64_t downMs, bool keepsId)
{
    if (workerIndex < m_workers.size() && m_workers[workerIndex]->startTimeMs != 0) {
        restartWorker(workerIndex, downMs, "down", keepsId);
    }
}

void fleet_simulator::checkRuns()
{
    for (auto &worker : m_workers) {
        const bool leaseExpired = workerClockMs(*worker) > worker->leaseExpiryMs;
        for (ended_run &endedRun : worker->unacknowledgedRuns) {
            endedRun.leaseExpired = endedRun.leaseExpired || leaseExpired;
        }
        std::vector<std::pair<std::string, std::string>> endedRuns;
        for (const auto &[task, run] : worker->activeRuns) {
            if (leaseExpired) {
                endedRuns.emplace_back(task, "lapsed");
            } else if (wallNowMs() >= run.endTimeMs) {
                endedRuns.emplace_back(task, run.fails ? "failed" : "done");
            }
        }
        for (const auto &[task, outcome] : endedRuns) {
            endRun(*worker, task, outcome);
        }
    }
    expireEntries();
    m_server.runAfter(RUN_CHECK_INTERVAL_MS, [this] { checkRuns(); });
}

void fleet_simulator::endRun(simulated_worker &worker, const std::string &task, const std::string &outcome)
{
    const int runNumber = worker.activeRuns.at(task).runNumber;
    worker.activeRuns.erase(task);
    m_workersRunning[task].erase(worker.id);
    worker.highestEndedRun[task] = std::max(worker.highestEndedRun[task], runNumber);
    worker.unacknowledgedRuns.push_back({ ++worker.lastEndIndex, task, runNumber, outcome, false });
    logEvent(worker, "end", task, runNumber, outcome);
    if (outcome == "done") {
        m_completedTasks.insert(task);
    } else if (outcome == "failed") {
        ++m_failedRunCounts[task];
    }
}

std::pair<int, json> fleet_simulator::startRun(simulated_worker &worker, const json &body)
{
    const auto reject = [&](const char *reason) {
        return std::pair(STATUS_CONFLICT,
                         json{ { "clock_ms", workerClockMs(worker) }, { "born", worker.startTimeMs }, { "reason", reason } });
    };
    const auto task = body.at("task").get<std::string>();
    const int runNumber = body.at("run").get<int>();
    const auto token = body.at("fencing_token").get<std::uint64_t>();
    const auto untilMs = body.at("until_ms").get<std::uint64_t>();
    if (token < worker.fencingToken) {
        return reject("fence");
    }
    worker.fencingToken = token;
    if (untilMs < workerClockMs(worker)) {
        return reject("late");
    }
    const std::uint64_t maxExpiryMs = workerClockMs(worker) + MAX_LEASE_MS;
    worker.leaseExpiryMs = std::max(worker.leaseExpiryMs, std::min(untilMs, maxExpiryMs));
    const auto existing = worker.activeRuns.find(task);
    if (existing != worker.activeRuns.end() && existing->second.runNumber == runNumber) {
        return { STATUS_OK, { { "clock_ms", workerClockMs(worker) }, { "born", worker.startTimeMs } } };
    }
    if (runNumber <= worker.highestEndedRun[task] || existing != worker.activeRuns.end()) {
        return reject("old");
    }
    if (!m_workersRunning[task].empty()) {
        m_violations.push_back("two runs at once: " + task);
    }
    if (m_acknowledgedTasks.count(task) > 0) {
        m_violations.push_back("started after its end was noted: " + task);
    }
    const auto spec = body.at("spec").get<std::string>();
    const bool fails = static_cast<std::uint64_t>(m_failedRunCounts[task]) < parseSpecNumber(spec, "fail", 0);
    const bool longRunning = parseSpecNumber(spec, "lasts", 0) != 0;
    worker.activeRuns[task]
        = { runNumber, spec, longRunning ? UINT64_MAX : wallNowMs() + parseSpecNumber(spec, "ms", DEFAULT_RUN_MS), fails };
    m_workersRunning[task].insert(worker.id);
    ++m_startCounts[task];
    logEvent(worker, "start", task, runNumber, {});
    return { STATUS_OK, { { "clock_ms", workerClockMs(worker) }, { "born", worker.startTimeMs } } };
}

void fleet_simulator::stopRun(simulated_worker &worker, const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const int runNumber = body.at("run").get<int>();
    worker.highestEndedRun[task] = std::max(worker.highestEndedRun[task], runNumber);
    const auto found = worker.activeRuns.find(task);
    if (found != worker.activeRuns.end() && found->second.runNumber == runNumber) {
        endRun(worker, task, "stopped");
    }
}

json fleet_simulator::processPoll(simulated_worker &worker, const json &body)
{
    const auto acknowledged = body.value("ack_index", std::uint64_t(0));
    for (const ended_run &endedRun : worker.unacknowledgedRuns) {
        if (endedRun.index <= acknowledged && endedRun.outcome == "done" && !endedRun.leaseExpired) {
            if (m_acknowledgedTasks.insert(endedRun.task).second) {
                logEvent(worker, "acknowledged", endedRun.task, endedRun.runNumber, endedRun.outcome);
            }
        }
    }
    std::erase_if(worker.unacknowledgedRuns, [&](const ended_run &endedRun) { return endedRun.index <= acknowledged; });
    json running = json::array();
    for (const auto &[task, run] : worker.activeRuns) {
        running.push_back({ task, run.runNumber, "", FULL_SPEED_PERCENT, 0 });
    }
    json finished = json::array();
    for (const ended_run &endedRun : worker.unacknowledgedRuns) {
        if (finished.size() == MAX_LISTED_ENDS) {
            break;
        }
        finished.push_back({ endedRun.index, endedRun.task, endedRun.runNumber, endedRun.outcome, "" });
    }
    return { { "clock_ms", workerClockMs(worker) }, { "born", worker.startTimeMs }, { "running", running }, { "finished", finished } };
}

void fleet_simulator::replyToPoll(std::size_t index, const http_request &request, const json &body, std::uint64_t untilMs)
{
    simulated_worker &worker = *m_workers[index];
    const json response = processPoll(worker, body);
    if (response.at("finished").empty() && wallNowMs() < untilMs) {
        m_server.runAfter(POLL_CHECK_INTERVAL_MS, [this, index, request, body, untilMs, startTimeMs = worker.startTimeMs] {
            // The end of an incarnation closes its connections.
            if (m_workers[index]->startTimeMs == startTimeMs) {
                replyToPoll(index, request, body, untilMs);
            }
        });
        return;
    }
    sendReply(request.raw, STATUS_OK, response);
}

void fleet_simulator::onWorkerRequest(std::size_t index, const http_request &request)
{
    simulated_worker &worker = *m_workers[index];
    const json body = json::parse(request.body, nullptr, false);
    if (worker.startTimeMs == 0) {
        closeWithoutReply(request.raw);
        return;
    }
    if (!body.is_object() || !body.contains("fencing_token")) {
        sendReply(request.raw, STATUS_BAD_REQUEST, json::object());
        return;
    }
    if (request.header("X-Jujubespool-Expect-Instance") != worker.id) {
        sendReply(request.raw, STATUS_OTHER_INCARNATION, json{ { "id", worker.id } });
        return;
    }
    const auto token = body.at("fencing_token").get<std::uint64_t>();
    if (token < worker.fencingToken) {
        sendReply(request.raw, STATUS_CONFLICT,
                  json{ { "clock_ms", workerClockMs(worker) }, { "born", worker.startTimeMs }, { "reason", "fence" } });
        return;
    }
    if (request.path == "/-/run-start" && m_startDelayMs > 0) {
        m_server.runAfter(m_startDelayMs, [this, index, body, startTimeMs = worker.startTimeMs] {
            if (m_workers[index]->startTimeMs == startTimeMs) {
                startRun(*m_workers[index], body);
            }
        });
        return;
    }
    worker.fencingToken = token;
    if (request.path == "/-/run-start") {
        const auto [status, response] = startRun(worker, body);
        if (!m_losesStartResponses) {
            sendReply(request.raw, status, response);
        }
    } else if (request.path == "/-/hold") {
        if (body.contains("until_ms")) {
            const std::uint64_t maxExpiryMs = workerClockMs(worker) + MAX_LEASE_MS;
            worker.leaseExpiryMs = std::max(worker.leaseExpiryMs, std::min(body.at("until_ms").get<std::uint64_t>(), maxExpiryMs));
        }
        replyToPoll(index, request, body, wallNowMs() + body.value("wait_ms", std::uint64_t(0)));
    } else {
        if (request.path == "/-/run-stop") {
            stopRun(worker, body);
        }
        sendReply(request.raw, STATUS_OK, json{ { "clock_ms", workerClockMs(worker) }, { "born", worker.startTimeMs } });
    }
}

bool fleet_simulator::handleHostRequest(const http_request &request)
{
    if (request.path == "/-/machines") {
        json list = json::array();
        for (const auto &[name, host] : m_hosts) {
            const simulated_worker &worker = *m_workers[host.workerIndex];
            list.push_back({ { "machine", name },
                             { "pool", host.pool },
                             { "state", host.state },
                             { "zone", worker.zone },
                             { "labels", { "kind", "rack-1" } },
                             { "capacity", workerCapacity() },
                             { "id", host.state == "up" ? worker.id : "" } });
        }
        sendReply(request.raw, STATUS_OK, json{ { "machines", list }, { "next_page_token", "" } });
        return true;
    }
    if (request.path != "/-/machine-move" && request.path != "/-/machine-upkeep") {
        return false;
    }
    const json body = json::parse(request.body, nullptr, false);
    const auto [status, response] = executeHostOrder(request, body.is_object() ? body : json::object());
    sendReply(request.raw, status, response);
    return true;
}

std::pair<int, json> fleet_simulator::executeHostOrder(const http_request &request, const json &body)
{
    const auto found = m_hosts.find(body.value("machine", ""));
    if (found == m_hosts.end()) {
        return { STATUS_BAD_REQUEST, json::object() };
    }
    simulated_host &host = found->second;
    const std::uint64_t token = std::strtoull(request.header("X-Jujubespool-Fencing-Token").c_str(), nullptr, 10);
    if (token < host.fencingToken) {
        return { STATUS_CONFLICT, { { "reason", "fence" } } };
    }
    host.fencingToken = token;
    const bool isMove = request.path == "/-/machine-move";
    if (isMove && host.pool == body.value("pool", "")) {
        return { STATUS_OK, json::object() };
    }
    if (host.state != "up") {
        return { STATUS_CONFLICT, { { "reason", "busy" } } };
    }
    if (isMove) {
        host.pool = body.value("pool", "");
        m_workers[host.workerIndex]->pool = host.pool;
    }
    restartWorker(host.workerIndex, HOST_ORDER_DURATION_MS, isMove ? "moving" : "upkeep", false);
    return { STATUS_OK, json::object() };
}

json fleet_simulator::report() const
{
    json running = json::array();
    for (const auto &worker : m_workers) {
        for (const auto &[task, run] : worker->activeRuns) {
            running.push_back(task);
        }
    }
    return { { "violations", m_violations }, { "starts", m_startCounts }, { "done", m_completedTasks }, { "running", running } };
}

} // namespace standin

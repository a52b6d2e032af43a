#include "worker_fleet.h"

#include <algorithm>
#include <chrono>

namespace standin {

namespace {

using json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_OTHER_LIFE = 421;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr std::uint64_t HEARTBEAT_MS = 500;
constexpr std::uint64_t TICK_MS = 10;
constexpr std::uint64_t HOLD_POLL_MS = 10;
constexpr std::uint64_t LONGEST_LEASE_MS = 6000;
constexpr std::uint64_t MOVE_MS = 700;
constexpr std::uint64_t DEFAULT_RUN_MS = 200;
constexpr int WORKER_CPU = 16000;
constexpr int WORKER_MEMORY_MB = 64000;
constexpr int FULL_SPEED = 100;

// A number in a spec like "ms=200 fail=1".
std::uint64_t specNumber(const std::string &spec, const std::string &name, std::uint64_t fallback)
{
    const std::size_t at = spec.find(name + "=");
    return at == std::string::npos ? fallback : std::strtoull(spec.c_str() + at + name.size() + 1, nullptr, 10);
}

json capacity()
{
    return { { "cpu", WORKER_CPU }, { "mem_mb", WORKER_MEMORY_MB } };
}

} // namespace

std::uint64_t wallNow()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

worker_fleet::worker_fleet(event_base *base, http_server &server, log_store &store)
    : m_base(base)
    , m_server(server)
    , m_store(store)
{
    tick();
}

void worker_fleet::add(const std::string &pool, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::size_t index = m_workers.size();
        auto target = std::make_unique<stand_in_worker>();
        target->host = fmt::format("host-{}", index);
        target->pool = pool;
        target->server = std::make_unique<http_server>(m_base, [this, index](const request &item) { onWorkerCall(index, item); });
        target->address = target->server->bind("127.0.0.1", 0);
        m_hosts[target->host] = { target->host, pool, "up", index, 0 };
        m_workers.push_back(std::move(target));
        beginLife(index, 0, "up");
    }
}

std::uint64_t worker_fleet::clockOf(const stand_in_worker &target) const
{
    return target.born == 0 ? 0 : wallNow() - target.born;
}

void worker_fleet::beginLife(std::size_t index, std::uint64_t afterMs, const std::string &hostState)
{
    stand_in_worker &target = *m_workers[index];
    for (const auto &[task, run] : target.running) {
        m_runningOn[task].erase(target.id);
    }
    if (!target.id.empty()) {
        m_store.put("keyed.servers", target.id, "");
    }
    target.running.clear();
    target.ended.clear();
    target.highestOver.clear();
    target.born = 0;
    target.fence = 0;
    target.endsNumbered = 0;
    target.leaseUntil = 0;
    m_hosts[target.host].state = hostState;
    m_server.after(afterMs, [this, index] {
        stand_in_worker &fresh = *m_workers[index];
        fresh.born = wallNow();
        fresh.id = fmt::format("w{}-{}", index, fresh.born % 100000000);
        m_hosts[fresh.host].state = "up";
        beat(index);
    });
}

void worker_fleet::beat(std::size_t index)
{
    stand_in_worker &target = *m_workers[index];
    const json entry{ { "service", target.pool },
                      { "address", target.address },
                      { "zone", "a" },
                      { "version", "1" },
                      { "slots", 8 },
                      { "state", "ready" },
                      { "cold_remaining_ms", 0 },
                      { "seq", ++target.beats },
                      { "born", target.born },
                      { "capacity", capacity() },
                      { "labels", { "kind", "rack-1" } } };
    m_store.put("keyed.servers", target.id, entry.dump());
    m_server.after(HEARTBEAT_MS, [this, index, born = target.born] {
        if (m_workers[index]->born == born) {
            beat(index);
        }
    });
}

void worker_fleet::crash(std::size_t worker, std::uint64_t downMs)
{
    if (worker < m_workers.size() && m_workers[worker]->born != 0) {
        beginLife(worker, downMs, "down");
    }
}

void worker_fleet::tick()
{
    for (auto &target : m_workers) {
        const bool lapsed = clockOf(*target) > target->leaseUntil;
        for (ended_run &item : target->ended) {
            item.lapsedSince = item.lapsedSince || lapsed;
        }
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto &[task, run] : target->running) {
            if (lapsed) {
                over.emplace_back(task, "lapsed");
            } else if (wallNow() >= run.endsAt) {
                over.emplace_back(task, run.fails ? "failed" : "done");
            }
        }
        for (const auto &[task, how] : over) {
            endRun(*target, task, how);
        }
    }
    m_server.after(TICK_MS, [this] { tick(); });
}

void worker_fleet::endRun(stand_in_worker &target, const std::string &task, const std::string &how)
{
    const int run = target.running.at(task).run;
    target.running.erase(task);
    m_runningOn[task].erase(target.id);
    target.highestOver[task] = std::max(target.highestOver[task], run);
    target.ended.push_back({ ++target.endsNumbered, task, run, how, false });
    if (how == "done") {
        m_done.insert(task);
    } else if (how == "failed") {
        ++m_failedRuns[task];
    }
}

std::pair<int, json> worker_fleet::start(stand_in_worker &target, const json &body)
{
    const auto refuse = [&](const char *reason) {
        return std::pair(STATUS_CONFLICT, json{ { "clock_ms", clockOf(target) }, { "born", target.born }, { "reason", reason } });
    };
    const auto task = body.at("task").get<std::string>();
    const int run = body.at("run").get<int>();
    const auto token = body.at("fencing_token").get<std::uint64_t>();
    const auto until = body.at("until_ms").get<std::uint64_t>();
    if (token < target.fence) {
        return refuse("fence");
    }
    target.fence = token;
    if (until < clockOf(target)) {
        return refuse("late");
    }
    const std::uint64_t longest = clockOf(target) + LONGEST_LEASE_MS;
    target.leaseUntil = std::max(target.leaseUntil, std::min(until, longest));
    const auto same = target.running.find(task);
    if (same != target.running.end() && same->second.run == run) {
        return { STATUS_OK, { { "clock_ms", clockOf(target) }, { "born", target.born } } };
    }
    if (run <= target.highestOver[task] || same != target.running.end()) {
        return refuse("old");
    }
    if (!m_runningOn[task].empty()) {
        m_violations.push_back("two runs at once: " + task);
    }
    if (m_doneNoted.count(task) > 0) {
        m_violations.push_back("started after its end was noted: " + task);
    }
    const auto spec = body.at("spec").get<std::string>();
    const bool fails = static_cast<std::uint64_t>(m_failedRuns[task]) < specNumber(spec, "fail", 0);
    const bool lasts = specNumber(spec, "lasts", 0) != 0;
    target.running[task] = { run, spec, lasts ? UINT64_MAX : wallNow() + specNumber(spec, "ms", DEFAULT_RUN_MS), fails };
    m_runningOn[task].insert(target.id);
    ++m_starts[task];
    return { STATUS_OK, { { "clock_ms", clockOf(target) }, { "born", target.born } } };
}

void worker_fleet::stop(stand_in_worker &target, const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const int run = body.at("run").get<int>();
    target.highestOver[task] = std::max(target.highestOver[task], run);
    const auto found = target.running.find(task);
    if (found != target.running.end() && found->second.run == run) {
        endRun(target, task, "stopped");
    }
}

json worker_fleet::hold(stand_in_worker &target, const json &body)
{
    const auto noted = body.value("ack_index", std::uint64_t(0));
    for (const ended_run &item : target.ended) {
        if (item.number <= noted && item.how == "done" && !item.lapsedSince) {
            m_doneNoted.insert(item.task);
        }
    }
    std::erase_if(target.ended, [&](const ended_run &item) { return item.number <= noted; });
    json running = json::array();
    for (const auto &[task, run] : target.running) {
        running.push_back({ task, run.run, "", FULL_SPEED, 0 });
    }
    json finished = json::array();
    for (const ended_run &item : target.ended) {
        finished.push_back({ item.number, item.task, item.run, item.how, "" });
    }
    return { { "clock_ms", clockOf(target) }, { "born", target.born }, { "running", running }, { "finished", finished } };
}

void worker_fleet::answerHold(std::size_t index, const request &item, const json &body, std::uint64_t until)
{
    stand_in_worker &target = *m_workers[index];
    const json lists = hold(target, body);
    if (lists.at("finished").empty() && wallNow() < until && target.born != 0) {
        m_server.after(HOLD_POLL_MS, [this, index, item, body, until] { answerHold(index, item, body, until); });
        return;
    }
    reply(item.raw, STATUS_OK, lists);
}

void worker_fleet::onWorkerCall(std::size_t index, const request &item)
{
    stand_in_worker &target = *m_workers[index];
    const json body = json::parse(item.body, nullptr, false);
    if (target.born == 0) {
        drop(item.raw);
        return;
    }
    if (!body.is_object() || !body.contains("fencing_token")) {
        reply(item.raw, STATUS_BAD_REQUEST, json::object());
        return;
    }
    if (item.header("X-Jujubespool-Expect-Instance") != target.id) {
        reply(item.raw, STATUS_OTHER_LIFE, json{ { "id", target.id } });
        return;
    }
    const auto token = body.at("fencing_token").get<std::uint64_t>();
    if (token < target.fence) {
        reply(item.raw, STATUS_CONFLICT, json{ { "clock_ms", clockOf(target) }, { "born", target.born }, { "reason", "fence" } });
        return;
    }
    if (item.path == "/-/run-start" && m_lateStartsMs > 0) {
        m_server.after(m_lateStartsMs, [this, index, body, born = target.born] {
            if (m_workers[index]->born == born) {
                start(*m_workers[index], body);
            }
        });
        return;
    }
    target.fence = token;
    if (item.path == "/-/run-start") {
        const auto [status, answer] = start(target, body);
        reply(item.raw, status, answer);
    } else if (item.path == "/-/hold") {
        if (body.contains("until_ms")) {
            target.leaseUntil = std::max(target.leaseUntil, body.at("until_ms").get<std::uint64_t>());
        }
        answerHold(index, item, body, wallNow() + body.value("wait_ms", std::uint64_t(0)));
    } else {
        if (item.path == "/-/run-stop") {
            stop(target, body);
        }
        reply(item.raw, STATUS_OK, json{ { "clock_ms", clockOf(target) }, { "born", target.born } });
    }
}

bool worker_fleet::handleHosts(const request &item)
{
    if (item.path == "/-/machines") {
        json list = json::array();
        for (const auto &[name, host] : m_hosts) {
            const stand_in_worker &target = *m_workers[host.worker];
            list.push_back({ { "machine", name },
                             { "pool", host.pool },
                             { "state", host.state },
                             { "zone", "a" },
                             { "labels", { "kind", "rack-1" } },
                             { "capacity", capacity() },
                             { "id", host.state == "up" ? target.id : "" } });
        }
        reply(item.raw, STATUS_OK, json{ { "machines", list }, { "next_page_token", "" } });
        return true;
    }
    if (item.path != "/-/machine-move" && item.path != "/-/machine-upkeep") {
        return false;
    }
    const json body = json::parse(item.body, nullptr, false);
    const auto [status, answer] = orderHost(item, body.is_object() ? body : json::object());
    reply(item.raw, status, answer);
    return true;
}

std::pair<int, json> worker_fleet::orderHost(const request &item, const json &body)
{
    const auto found = m_hosts.find(body.value("machine", ""));
    if (found == m_hosts.end()) {
        return { STATUS_BAD_REQUEST, json::object() };
    }
    stand_in_host &host = found->second;
    const std::uint64_t token = std::strtoull(item.header("X-Jujubespool-Fencing-Token").c_str(), nullptr, 10);
    if (token < host.fence) {
        return { STATUS_CONFLICT, { { "reason", "fence" } } };
    }
    host.fence = token;
    const bool moves = item.path == "/-/machine-move";
    if (moves && host.pool == body.value("pool", "")) {
        return { STATUS_OK, json::object() };
    }
    if (host.state != "up") {
        return { STATUS_CONFLICT, { { "reason", "busy" } } };
    }
    if (moves) {
        host.pool = body.value("pool", "");
        m_workers[host.worker]->pool = host.pool;
    }
    beginLife(host.worker, MOVE_MS, moves ? "moving" : "upkeep");
    return { STATUS_OK, json::object() };
}

json worker_fleet::report() const
{
    json running = json::array();
    for (const auto &target : m_workers) {
        for (const auto &[task, run] : target->running) {
            running.push_back(task);
        }
    }
    return { { "violations", m_violations }, { "starts", m_starts }, { "done", m_done }, { "running", running } };
}

} // namespace standin

#include <jujubespool/jobs/host_driver.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds LIST_INTERVAL{ 400 };
constexpr milliseconds LIST_RETRY_DELAY{ 500 };
// Hosts that are emptied ahead of the ones that are down.
constexpr int EMPTIED_AHEAD = 2;

} // namespace

host_driver::host_driver(fleet_model &model, run_supervisor &runs, host_gateway &gateway, status_board &status, decision_log &log,
                         const std::string &holder, std::uint64_t fencingToken)
    : m_model(model)
    , m_runs(runs)
    , m_gateway(gateway)
    , m_status(status)
    , m_log(log)
    , m_holder(holder)
    , m_token(fencingToken)
{
}

void host_driver::setWave(const upkeep_wave &wave, instant now)
{
    wave_progress &progress = m_waves[wave.number];
    progress.wave = wave;
    if (!progress.known) {
        progress.known = true;
        progress.since = now;
        m_log.write("wave-known",
                    { { "wave", std::to_string(wave.number) },
                      { "hosts", std::to_string(wave.hosts.size()) },
                      { "maximum", std::to_string(wave.maximum) },
                      { "deadline_s", std::to_string(wave.deadline.count()) } });
    }
}

void host_driver::restore(std::uint64_t wave, const wire::upkeep_image &image)
{
    wave_progress &progress = m_waves[wave];
    progress.begun.insert(image.begun().begin(), image.begun().end());
    progress.completed = image.completed();
}

std::map<std::uint64_t, wire::upkeep_image> host_driver::takeChanged()
{
    std::map<std::uint64_t, wire::upkeep_image> images;
    for (const std::uint64_t number : std::exchange(m_changed, {})) {
        const wave_progress &progress = m_waves[number];
        wire::upkeep_image &image = images[number];
        for (const std::string &host : progress.begun) {
            image.add_begun(host);
        }
        image.set_completed(progress.completed);
    }
    return images;
}

void host_driver::tick(instant now)
{
    const bool active = std::any_of(m_waves.begin(), m_waves.end(),
                                    [](const auto &item) { return item.second.known && !item.second.shownCompleted; });
    if (!active) {
        return;
    }
    refresh(now);
    for (auto &[number, progress] : m_waves) {
        if (progress.known && !progress.shownCompleted) {
            show(progress);
            if (m_listed && !progress.completed) {
                drive(progress, now);
            }
        }
    }
}

void host_driver::refresh(instant now)
{
    if (m_listing || now < m_listNotBefore) {
        return;
    }
    m_listing = true;
    m_gateway.list(m_lifetime.guard([this, now](const host_list &list, instant then) { onList(list, now, then); }));
}

void host_driver::onList(const host_list &list, instant askedAt, instant now)
{
    m_listing = false;
    if (!list.hosts) {
        m_log.write("hosts-unlisted", { { "peer", list.reason.peer }, { "reason", list.reason.reason } });
        m_listNotBefore = now + LIST_RETRY_DELAY;
        return;
    }
    m_listNotBefore = now + LIST_INTERVAL;
    m_listed = true;
    m_listedAt = askedAt;
    m_hosts.clear();
    for (const host_entry &host : *list.hosts) {
        m_hosts[host.name] = host;
    }
    for (auto &[number, progress] : m_waves) {
        for (auto item = progress.down.begin(); item != progress.down.end();) {
            const auto listed = m_hosts.find(item->first);
            const bool back = listed == m_hosts.end() || listed->second.state == host_condition::up;
            item = askedAt > item->second + m_model.bounds().upkeepTime && back ? progress.down.erase(item) : std::next(item);
        }
        for (const std::string &name : std::set<std::string>(progress.doubtful)) {
            const auto listed = m_hosts.find(name);
            if (listed != m_hosts.end() && listed->second.state == host_condition::upkeep) {
                progress.doubtful.erase(name);
                progress.begun.insert(name);
                progress.down.emplace(name, now);
                m_changed.insert(number);
            }
        }
    }
}

worker *host_driver::workerOn(const host_entry &host)
{
    return host.worker.empty() ? nullptr : m_model.workers().find(host.worker);
}

void host_driver::drive(wave_progress &progress, instant now)
{
    std::vector<const host_entry *> due;
    for (const std::string &name : progress.wave.hosts) {
        const auto listed = m_hosts.find(name);
        if (listed != m_hosts.end() && progress.begun.count(name) == 0) {
            due.push_back(&listed->second);
        }
    }
    if (due.empty() && progress.ordering.empty()) {
        progress.completed = true;
        m_changed.insert(progress.wave.number);
        m_log.write("wave-completed", { { "wave", std::to_string(progress.wave.number) } });
        return;
    }
    if (now >= m_firstOrderAt) {
        prepare(progress, due, now);
    }
}

void host_driver::prepare(wave_progress &progress, const std::vector<const host_entry *> &due, instant now)
{
    int down = static_cast<int>(progress.down.size() + progress.ordering.size());
    for (const std::string &name : progress.doubtful) {
        down += progress.ordering.count(name) == 0 ? 1 : 0;
    }
    // Hosts of the wave that are down for another reason do not count, but their upkeep cannot begin.
    std::vector<std::pair<std::size_t, const host_entry *>> candidates;
    for (const host_entry *host : due) {
        const bool busy = host->state != host_condition::up || progress.ordering.count(host->name) > 0;
        const worker *target = workerOn(*host);
        if (!busy && !(target != nullptr && target->report.state == worker_state::draining)) {
            candidates.emplace_back(target == nullptr ? 0 : target->runs.size() * 2 + (target->cordoned ? 0 : 1), host);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->name) < std::tie(right.first, right.second->name);
    });
    int emptying = 0;
    for (const auto &[load, host] : candidates) {
        worker *target = workerOn(*host);
        if (target == nullptr || target->runs.empty()) {
            if (down < progress.wave.maximum) {
                order(progress, *host, now);
                ++down;
            }
            continue;
        }
        if (emptying < progress.wave.maximum + EMPTIED_AHEAD) {
            ++emptying;
            target->cordoned = true;
            evict(*target, now);
        }
    }
}

void host_driver::evict(worker &target, instant now)
{
    std::vector<task_key> lasting;
    for (const auto &[key, run] : target.runs) {
        if (m_model.find(key.job)->step(key.step).longRunning && !run.stopping) {
            lasting.push_back(key);
        }
    }
    for (const task_key &key : lasting) {
        if (mayEvict(key, now)) {
            m_log.write("run-evicted", { { "task", key.text() }, { "worker", target.report.id } });
            m_runs.stop(key, now);
        }
    }
}

bool host_driver::mayEvict(const task_key &key, instant now)
{
    job &item = *m_model.find(key.job);
    const step_spec &step = item.step(key.step);
    if (step.mayMiss == 0) {
        return true;
    }
    int away = 0;
    for (task_key other = { key.job, key.occurrence, key.step, 0 }; other.index < step.count; ++other.index) {
        const task_progress &task = *item.task(other);
        if (other.index == key.index) {
            continue;
        }
        const worker *target = task.phase == task_phase::assigned ? m_model.workers().find(task.worker) : nullptr;
        const auto placed = target == nullptr ? decltype(target->runs.end())() : target->runs.find(other);
        const bool atWork = target != nullptr && placed != target->runs.end() && placed->second.confirmed && !placed->second.stopping
            && placed->second.progressPercent >= 100 && target->unansweredInRow == 0;
        away += atWork ? 0 : 1;
    }
    static_cast<void>(now);
    return away < step.mayMiss;
}

void host_driver::order(wave_progress &progress, const host_entry &host, instant)
{
    progress.ordering.insert(host.name);
    progress.doubtful.insert(host.name);
    m_log.write("upkeep-ordered", { { "wave", std::to_string(progress.wave.number) }, { "host", host.name } });
    worker *target = workerOn(host);
    if (target != nullptr) {
        target->cordoned = true;
    }
    m_gateway.upkeep({ host.name, m_holder, m_token }, progress.wave.number,
                     m_lifetime.guard([this, wave = progress.wave.number, name = host.name](const host_order_result &result, instant now) {
                         onOrderAnswer(wave, name, result, now);
                     }));
}

void host_driver::onOrderAnswer(std::uint64_t wave, const std::string &host, const host_order_result &result, instant now)
{
    m_log.count("host_orders_total", nameOf(result.end));
    m_log.write("upkeep-answered",
                { { "wave", std::to_string(wave) }, { "host", host }, { "outcome", std::string(nameOf(result.end)) }, { "reason", result.reason.reason } });
    wave_progress &progress = m_waves[wave];
    progress.ordering.erase(host);
    if (result.end != host_order_end::unknown) {
        progress.doubtful.erase(host);
    }
    if (result.end == host_order_end::done) {
        progress.begun.insert(host);
        progress.down[host] = now;
        m_changed.insert(wave);
    } else if (result.end == host_order_end::wrong_wave || result.end == host_order_end::invalid) {
        progress.begun.insert(host);
        m_changed.insert(wave);
    }
}

void host_driver::show(wave_progress &progress)
{
    const bool wanted = progress.completed;
    if (progress.showing || (wanted ? progress.shownCompleted : progress.shownRunning)) {
        return;
    }
    progress.showing = true;
    m_status.showWave(progress.wave.number, wanted,
                      m_lifetime.guard([this, number = progress.wave.number, wanted](bool written, instant) {
                          wave_progress &shown = m_waves[number];
                          shown.showing = false;
                          (wanted ? shown.shownCompleted : shown.shownRunning) = written;
                      }));
}

} // namespace jujubespool

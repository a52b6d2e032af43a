#include <jujubespool/jobs/host_maintenance_controller.h>

#include <algorithm>
#include <jujubespool/jobs/placement.h>
#include <tuple>

namespace jujubespool {

namespace {

// Time for which a host is out of service in addition to its maintenance, while it is drained and until it is listed
// again.
constexpr milliseconds DRAIN_OVERHEAD{ 2500 };
// The last part of the deadline, and at least this time, is reserved for failures.
constexpr double DEADLINE_RESERVE_SHARE = 0.35;
constexpr milliseconds MIN_DEADLINE_RESERVE{ 4000 };
// Long-running tasks move host by host, so a few additional hosts are enough for many.
constexpr int MAX_ADDITIONAL_HOSTS = 4;
// Time after the stop of a run within which a poll certainly reports its end.
constexpr milliseconds RUN_END_REPORT_TIME{ 1500 };
// Each step looks at all hosts of the waves.
constexpr milliseconds STEP_INTERVAL{ 100 };
// Minimum time between two lines about a host that cannot be emptied.
constexpr milliseconds BLOCKED_REPORT_INTERVAL{ 5000 };

} // namespace

int hostsNeededAtOnce(int hostsRemaining, milliseconds timeLeft, milliseconds perHost, int maximum)
{
    const auto rounds = std::max<std::int64_t>(1, timeLeft / perHost);
    return static_cast<int>(std::min<std::int64_t>(maximum, (hostsRemaining + rounds - 1) / rounds));
}

host_maintenance_controller::host_maintenance_controller(fleet_model &model, run_supervisor &runs, host_controller &hosts,
                                                         wave_status_publisher &status, event_log &log)
    : m_model(model)
    , m_runs(runs)
    , m_hosts(hosts)
    , m_status(status)
    , m_log(log)
{
}

void host_maintenance_controller::setWave(const host_maintenance_wave &wave, wall_ms wall)
{
    wave_progress &progress = m_waves[wave.number];
    progress.wave = wave;
    if (progress.received) {
        return;
    }
    progress.received = true;
    if (progress.firstSeenAt == 0) {
        progress.firstSeenAt = wall;
        m_changed.insert(wave.number);
    }
    m_log.write("wave-known",
                { { "wave", std::to_string(wave.number) },
                  { "hosts", std::to_string(wave.hosts.size()) },
                  { "begun", std::to_string(progress.started.size()) },
                  { "maximum", std::to_string(wave.maximum) },
                  { "deadline_s", std::to_string(wave.deadline.count()) } });
}

void host_maintenance_controller::restore(std::uint64_t wave, const wire::upkeep_image &image)
{
    wave_progress &progress = m_waves[wave];
    progress.started.insert(image.begun().begin(), image.begun().end());
    progress.completed = image.completed();
    progress.firstSeenAt = image.known_ms();
}

void host_maintenance_controller::onTakeOver(instant now)
{
    m_evictNotBefore = now + m_model.bounds().stopTime + RUN_END_REPORT_TIME;
}

std::map<std::uint64_t, wire::upkeep_image> host_maintenance_controller::takeChanged()
{
    std::map<std::uint64_t, wire::upkeep_image> images;
    for (const std::uint64_t number : std::exchange(m_changed, {})) {
        const wave_progress &progress = m_waves[number];
        wire::upkeep_image &image = images[number];
        for (const std::string &host : progress.started) {
            image.add_begun(host);
        }
        image.set_completed(progress.completed);
        image.set_known_ms(progress.firstSeenAt);
    }
    return images;
}

bool host_maintenance_controller::isDueForMaintenance(const std::string &host) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&host](const auto &entry) {
        const wave_progress &progress = entry.second;
        const std::vector<std::string> &hosts = progress.wave.hosts;
        return !progress.completed && progress.started.count(host) == 0 && std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    });
}

void host_maintenance_controller::tick(instant now, wall_ms wall)
{
    if (now < m_nextStepAt) {
        return;
    }
    m_nextStepAt = now + STEP_INTERVAL;
    m_blockedHosts.clear();
    for (auto &[number, progress] : m_waves) {
        if (progress.received && !progress.publishedCompleted) {
            publishStatus(progress);
            if (m_hosts.listed() && !progress.completed) {
                advanceWave(progress, now, wall);
            }
        }
    }
}

void host_maintenance_controller::advanceWave(wave_progress &progress, instant now, wall_ms wall)
{
    std::vector<const host_entry *> idle;
    std::vector<std::tuple<bool, std::size_t, const host_entry *>> loaded;
    int remainingHosts = 0;
    for (const std::string &name : progress.wave.hosts) {
        const host_entry *host = m_hosts.find(name);
        if (host == nullptr || progress.started.count(name) > 0) {
            continue;
        }
        ++remainingHosts;
        worker *target = m_hosts.workerOn(*host);
        if (target != nullptr) {
            target->dueForMaintenance = true;
        }
        if (!m_hosts.acceptsOrders(*host, now)) {
            continue;
        }
        if (target == nullptr || target->runs.empty()) {
            idle.push_back(host);
        } else {
            loaded.emplace_back(!target->cordoned, target->runs.size(), host);
        }
    }
    if (remainingHosts == 0) {
        progress.completed = true;
        m_changed.insert(progress.wave.number);
        m_log.write("wave-completed", { { "wave", std::to_string(progress.wave.number) } });
        return;
    }
    if (!m_hosts.isOwnershipConfirmed(now)) {
        return;
    }
    int inMaintenance = m_hosts.countInMaintenance(progress.wave.hosts);
    for (const host_entry *host : idle) {
        if (inMaintenance < progress.wave.maximum) {
            startMaintenance(progress, *host, now);
            ++inMaintenance;
        }
    }
    const auto sinceFirstSeen = milliseconds(wall - std::min(wall, progress.firstSeenAt));
    const milliseconds deadline = progress.wave.deadline;
    const milliseconds reserve(static_cast<std::int64_t>(static_cast<double>(deadline.count()) * DEADLINE_RESERVE_SHARE));
    const milliseconds timeLeft = std::max(milliseconds(0), deadline - std::max(reserve, MIN_DEADLINE_RESERVE) - sinceFirstSeen);
    const milliseconds perHost = m_model.bounds().maintenanceTime + DRAIN_OVERHEAD;
    int hostsToDrain = hostsNeededAtOnce(remainingHosts, timeLeft, perHost, progress.wave.maximum) - inMaintenance;
    std::sort(loaded.begin(), loaded.end(), [](const auto &first, const auto &second) {
        return std::tie(std::get<0>(first), std::get<1>(first), std::get<2>(first)->name)
            < std::tie(std::get<0>(second), std::get<1>(second), std::get<2>(second)->name);
    });
    for (const auto &[notCordoned, runs, host] : loaded) {
        worker &target = *m_hosts.workerOn(*host);
        if (hostsToDrain > 0 && !target.cordoned) {
            m_log.write("host-cordoned",
                        { { "wave", std::to_string(progress.wave.number) },
                          { "host", host->name },
                          { "worker", target.report.id },
                          { "pool", target.report.pool },
                          { "runs", std::to_string(runs) } });
            m_log.count("host_cordons_total", target.report.pool);
        }
        target.cordoned = hostsToDrain > 0 || target.cordoned;
        hostsToDrain -= target.cordoned ? 1 : 0;
        if (!evictLongRunningTasks(target, now)) {
            ++m_blockedHosts[target.report.pool];
        }
    }
}

void host_maintenance_controller::startMaintenance(wave_progress &progress, const host_entry &host, instant now)
{
    m_hosts.startMaintenance(host.name, progress.wave.number,
                             m_lifetime.guard([this, wave = progress.wave.number, name = host.name](host_order_status status, instant) {
                                 if (status == host_order_status::done || status == host_order_status::wrong_wave
                                     || status == host_order_status::invalid) {
                                     m_waves[wave].started.insert(name);
                                     m_changed.insert(wave);
                                 }
                             }),
                             now);
}

int host_maintenance_controller::additionalHostsNeeded(const std::string &pool) const
{
    const auto found = m_blockedHosts.find(pool);
    return found == m_blockedHosts.end() ? 0 : std::min(found->second, MAX_ADDITIONAL_HOSTS);
}

bool host_maintenance_controller::evictLongRunningTasks(worker &target, instant now)
{
    std::vector<task_key> longRunning;
    for (const auto &[key, run] : target.runs) {
        if (m_model.find(key.job)->step(key.step).longRunning && !run.stopping) {
            longRunning.push_back(key);
        }
    }
    bool allPlaceable = true;
    for (const task_key &key : longRunning) {
        if (!hasAlternativeWorker(target, key, now)) {
            allPlaceable = false;
            reportBlocked(target, key, now);
        } else if (now >= m_evictNotBefore && canEvict(key)) {
            m_log.write("run-evicted", { { "task", key.text() }, { "worker", target.report.id } });
            m_runs.stop(key);
        }
    }
    return allPlaceable;
}

void host_maintenance_controller::reportBlocked(const worker &target, const task_key &key, instant now)
{
    instant &nextAt = m_nextBlockedReportAt[target.report.id];
    if (now < nextAt) {
        return;
    }
    nextAt = now + BLOCKED_REPORT_INTERVAL;
    m_log.write("host-not-emptied",
                { { "worker", target.report.id },
                  { "pool", target.report.pool },
                  { "cordoned", target.cordoned ? "yes" : "no" },
                  { "task", key.text() },
                  { "reason", "no other worker can take the task" } });
}

bool host_maintenance_controller::hasAlternativeWorker(const worker &from, const task_key &key, instant now) const
{
    const step_spec &step = m_model.find(key.job)->step(key.step);
    const placement_request request{ key, &step, from.report.pool, {}, {}, {}, {}, nullptr, false };
    const std::vector<worker *> &workers = m_model.workers().inPool(from.report.pool);
    return std::any_of(workers.begin(), workers.end(), [&](const worker *target) {
        m_model.countWorkersExamined(1);
        return target != &from && !target->dueForMaintenance && isEligible(*target, request, now);
    });
}

bool host_maintenance_controller::canEvict(const task_key &key)
{
    job &owningJob = *m_model.find(key.job);
    const step_spec &step = owningJob.step(key.step);
    if (step.maxUnavailable == 0) {
        return true;
    }
    int unavailable = 0;
    for (task_key other = { key.job, key.occurrence, key.step, 0 }; other.index < step.count; ++other.index) {
        unavailable += other.index != key.index && !m_model.isAtFullSpeed(other) ? 1 : 0;
    }
    return unavailable < step.maxUnavailable;
}

void host_maintenance_controller::publishStatus(wave_progress &progress)
{
    const bool completed = progress.completed;
    if (progress.publishInFlight || (completed ? progress.publishedCompleted : progress.publishedRunning)) {
        return;
    }
    progress.publishInFlight = true;
    m_status.publishWaveStatus(progress.wave.number, completed,
                               m_lifetime.guard([this, number = progress.wave.number, completed](bool written, instant) {
                                   wave_progress &current = m_waves[number];
                                   current.publishInFlight = false;
                                   (completed ? current.publishedCompleted : current.publishedRunning) = written;
                               }));
}

} // namespace jujubespool

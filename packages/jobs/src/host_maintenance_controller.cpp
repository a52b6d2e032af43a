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
// A host that is not listed for longer does not come back.
constexpr seconds MAX_AWAY_TIME{ 10 };
// A host is cordoned only if its runs end within this time by their own estimates. The rest of the time that a cordon may last is for
// estimates that are too low.
constexpr milliseconds MAX_EXPECTED_DRAIN{ 5000 };
static_assert(MAX_EXPECTED_DRAIN < MAX_CORDON_TIME);
// Time in addition to that of a move after which a host that the pool lacks would have arrived and been listed.
constexpr milliseconds HOST_JOIN_TIME{ 2500 };
// Minimum time between two lines about a host that cannot be emptied.
constexpr milliseconds OBSTACLE_REPORT_INTERVAL{ 5000 };

} // namespace

int hostsNeededAtOnce(int hostsRemaining, milliseconds timeLeft, milliseconds perHost, int maximum)
{
    const auto rounds = std::max<std::int64_t>(1, timeLeft / perHost);
    return static_cast<int>(std::min<std::int64_t>(maximum, (hostsRemaining + rounds - 1) / rounds));
}

milliseconds waveAge(milliseconds counted, wall_ms firstSeenAt, wall_ms wall)
{
    const milliseconds shown(wall - std::min(wall, firstSeenAt));
    return std::clamp(shown, counted, counted + MAX_UNOWNED_TIME);
}

host_maintenance_controller::host_maintenance_controller(fleet_model &model, run_supervisor &runs, host_controller &hosts,
                                                         wave_status_publisher &status, event_log &log)
    : m_model(model)
    , m_runs(runs)
    , m_hosts(hosts)
    , m_status(status)
    , m_log(log)
    , m_cordons(model, log)
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

void host_maintenance_controller::restore(std::uint64_t wave, const wire::upkeep_image &image, milliseconds knownFor, instant now)
{
    wave_progress &progress = m_waves[wave];
    progress.started.insert(image.begun().begin(), image.begun().end());
    progress.completed = image.completed();
    progress.firstSeenAt = image.known_ms();
    progress.knownSince = now - knownFor;
}

void host_maintenance_controller::restoreOrder(const std::string &host, std::uint64_t wave)
{
    m_restoredOrders.emplace_back(host, wave);
}

void host_maintenance_controller::onTakeOver(instant now)
{
    for (const auto &[host, wave] : std::exchange(m_restoredOrders, {})) {
        const auto found = m_waves.find(wave);
        if (found != m_waves.end() && !found->second.completed && found->second.started.count(host) == 0) {
            m_hosts.restoreMaintenanceInDoubt(host);
        }
    }
    m_evictNotBefore = now + m_model.bounds().stopTime + RUN_END_REPORT_TIME;
}

std::map<std::uint64_t, wire::upkeep_image> host_maintenance_controller::takeChanged(const ledger_clock &clock, instant now)
{
    std::map<std::uint64_t, wire::upkeep_image> images;
    for (const std::uint64_t number : std::exchange(m_changed, {})) {
        wave_progress &progress = m_waves[number];
        progress.knownSince = progress.knownSince.value_or(now);
        const auto knownFor = static_cast<ledger_ms>(duration_cast<milliseconds>(now - *progress.knownSince).count());
        wire::upkeep_image &image = images[number];
        for (const std::string &host : progress.started) {
            image.add_begun(host);
        }
        image.set_completed(progress.completed);
        image.set_known_ms(progress.firstSeenAt);
        image.set_known_ledger_ms(clock.at(now) - std::min(clock.at(now) - 1, knownFor));
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

bool host_maintenance_controller::tick(instant now, wall_ms wall)
{
    if (now < m_nextStepAt) {
        return false;
    }
    m_nextStepAt = now + STEP_INTERVAL;
    m_blockedHosts.clear();
    markDueWorkers();
    const std::map<std::string, instant> blockedBefore = std::exchange(m_blockedSince, {});
    for (auto &[number, progress] : m_waves) {
        progress.knownSince = progress.knownSince.value_or(now);
        if (progress.received && !progress.publishedCompleted) {
            publishStatus(progress);
            if (m_hosts.listed() && !progress.completed) {
                advanceWave(progress, blockedBefore, now, wall);
            }
        }
    }
    return m_cordons.endStep(now);
}

void host_maintenance_controller::markDueWorkers()
{
    for (const std::string &id : std::exchange(m_dueWorkers, {})) {
        worker *target = m_model.workers().find(id);
        if (target != nullptr) {
            target->dueForMaintenance = false;
        }
    }
    for (const auto &[number, progress] : m_waves) {
        for (const std::string &name : progress.wave.hosts) {
            const host_entry *host = m_hosts.find(name);
            worker *target = host == nullptr ? nullptr : m_hosts.workerOn(*host);
            if (target != nullptr && !progress.completed && progress.started.count(name) == 0) {
                target->dueForMaintenance = true;
                m_dueWorkers.push_back(target->report.id);
            }
        }
    }
}

host_maintenance_controller::wave_hosts host_maintenance_controller::hostsLeft(wave_progress &progress, instant now)
{
    wave_hosts left;
    for (const std::string &name : progress.wave.hosts) {
        const host_entry *host = m_hosts.find(name);
        if (progress.started.count(name) > 0) {
            continue;
        }
        if (host == nullptr) {
            left.count += isAway(progress, name, now) ? 1 : 0;
            continue;
        }
        progress.unlistedSince.erase(name);
        ++left.count;
        worker *target = m_hosts.workerOn(*host);
        if (!m_hosts.acceptsOrders(*host, now)) {
            continue;
        }
        if (target == nullptr || target->runs.empty()) {
            left.idle.push_back(host);
        } else {
            left.loaded.push_back({ host, target });
        }
    }
    return left;
}

bool host_maintenance_controller::isAway(wave_progress &progress, const std::string &host, instant now)
{
    const instant since = progress.unlistedSince.emplace(host, now).first->second;
    return now - since < MAX_AWAY_TIME;
}

milliseconds host_maintenance_controller::timeLeft(const wave_progress &progress, instant now, wall_ms wall)
{
    const auto counted = duration_cast<milliseconds>(now - progress.knownSince.value_or(now));
    const milliseconds sinceFirstSeen = waveAge(counted, progress.firstSeenAt, wall);
    const milliseconds deadline = progress.wave.deadline;
    const milliseconds reserve(static_cast<std::int64_t>(static_cast<double>(deadline.count()) * DEADLINE_RESERVE_SHARE));
    return std::max(milliseconds(0), deadline - std::max(reserve, MIN_DEADLINE_RESERVE) - sinceFirstSeen);
}

void host_maintenance_controller::advanceWave(wave_progress &progress, const std::map<std::string, instant> &blockedBefore, instant now,
                                              wall_ms wall)
{
    wave_hosts left = hostsLeft(progress, now);
    if (left.count == 0) {
        progress.completed = true;
        m_changed.insert(progress.wave.number);
        m_log.write("wave-completed", { { "wave", std::to_string(progress.wave.number) } });
        return;
    }
    if (!m_hosts.isOwnershipConfirmed(now)) {
        return;
    }
    int inMaintenance = m_hosts.countInMaintenance(progress.wave.hosts);
    for (const host_entry *host : left.idle) {
        const worker *target = m_hosts.workerOn(*host);
        // A host whose maintenance is in doubt counts already. It waits for those that are certain.
        const bool counted = m_hosts.isMaintenanceInDoubt(host->name);
        const int others = counted ? inMaintenance - m_hosts.countInDoubt(progress.wave.hosts) : inMaintenance;
        if (others < progress.wave.maximum && (target == nullptr || leavesOneOpen(*host, *target, now))) {
            startMaintenance(progress, *host, now);
            inMaintenance += counted ? 0 : 1;
        }
    }
    for (loaded_host &loaded : left.loaded) {
        loaded.stranded = evictLongRunningTasks(*loaded.target, now);
        if (!loaded.stranded.empty()) {
            ++m_blockedHosts[loaded.target->report.pool];
            const auto before = blockedBefore.find(loaded.host->name);
            m_blockedSince[loaded.host->name] = before == blockedBefore.end() ? now : before->second;
        }
    }
    drainHosts(progress, left, inMaintenance, now, timeLeft(progress, now, wall));
}

void host_maintenance_controller::drainHosts(const wave_progress &progress, wave_hosts &left, int inMaintenance, instant now,
                                             milliseconds timeLeft)
{
    const milliseconds perHost = m_model.bounds().maintenanceTime + DRAIN_OVERHEAD;
    int hostsToDrain = hostsNeededAtOnce(left.count, timeLeft, perHost, progress.wave.maximum) - inMaintenance;
    const auto order = [this](const loaded_host &loaded) {
        const std::string &name = loaded.host->name;
        return std::make_tuple(!m_hosts.isMaintenanceInDoubt(name), !m_cordons.isHeld(name), loaded.target->runs.size(), name);
    };
    std::sort(left.loaded.begin(), left.loaded.end(),
              [&order](const loaded_host &first, const loaded_host &second) { return order(first) < order(second); });
    // Hosts whose last runs are being stopped are empty soon.
    int outOfService = inMaintenance
        + static_cast<int>(std::count_if(left.loaded.begin(), left.loaded.end(),
                                         [](const loaded_host &loaded) { return isBeingEmptied(*loaded.target); }));
    for (loaded_host &loaded : left.loaded) {
        const std::string &name = loaded.host->name;
        const bool held = m_cordons.isHeld(name);
        // A host whose maintenance is in doubt counts already, and keeps others from theirs until it has been emptied.
        const bool inDoubt = m_hosts.isMaintenanceInDoubt(name);
        if (!held && ((hostsToDrain <= 0 && !inDoubt) || !m_cordons.mayBegin(name, now))) {
            continue;
        }
        const std::optional<drain_obstacle> found = obstacleOf(loaded, now, timeLeft);
        if (found) {
            reportObstacle(progress.wave.number, loaded, *found, now);
            continue;
        }
        if (!held && !leavesOneOpen(*loaded.host, *loaded.target, now)) {
            continue;
        }
        m_cordons.hold(name, *loaded.target, progress.wave.number, now);
        hostsToDrain -= inDoubt ? 0 : 1;
        if (!loaded.stranded.empty() && (inDoubt || outOfService < progress.wave.maximum) && stopStranded(loaded, now, timeLeft)) {
            outOfService += inDoubt ? 0 : 1;
        }
    }
}

bool host_maintenance_controller::isBeingEmptied(const worker &target)
{
    return std::all_of(target.runs.begin(), target.runs.end(), [](const auto &entry) { return entry.second.stopping; });
}

bool host_maintenance_controller::leavesOneOpen(const host_entry &host, const worker &target, instant now) const
{
    const auto holdsTheSame = [&target](const std::vector<std::string> &labels, const resources &capacity) {
        const auto has = [&labels](const std::string &label) {
            return std::find(labels.begin(), labels.end(), label) != labels.end();
        };
        return capacity.gpus >= target.report.capacity.gpus
            && std::all_of(target.report.labels.begin(), target.report.labels.end(),
                           [&](const std::string &label) { return label == target.rack() || has(label); });
    };
    const std::vector<worker *> &workers = m_model.workers().inPool(target.report.pool);
    const bool anotherIsOpen = std::any_of(workers.begin(), workers.end(), [&](const worker *other) {
        m_model.countWorkersExamined(1);
        return other != &target && acceptsNewTasks(*other, now) && holdsTheSame(other->report.labels, other->report.capacity);
    });
    // If there is no other one of the kind, or none that maintenance keeps from work, waiting does not help.
    return anotherIsOpen || std::none_of(m_hosts.hosts().begin(), m_hosts.hosts().end(), [&](const auto &entry) {
               const host_entry &other = entry.second;
               const bool returns
                   = other.state == host_condition::maintenance || m_cordons.isHeld(other.name) || m_hosts.isMaintenancePending(other.name);
               return other.name != host.name && other.pool == host.pool && returns && holdsTheSame(other.labels, other.capacity);
           });
}

std::optional<host_maintenance_controller::drain_obstacle> host_maintenance_controller::obstacleOf(const loaded_host &loaded, instant now,
                                                                                                   milliseconds timeLeft)
{
    const worker &target = *loaded.target;
    for (const auto &[key, run] : target.runs) {
        const step_spec &step = m_model.find(key.job)->step(key.step);
        const instant began = run.confirmed ? run.confirmedAt : run.placedAt;
        if (!step.longRunning && !run.stopping && began + step.estimated > now + MAX_EXPECTED_DRAIN) {
            return drain_obstacle{ key, "the task takes too long by its estimate" };
        }
    }
    for (const task_key &key : loaded.stranded) {
        if (couldMoveLater(target, key, now)) {
            continue;
        }
        if (std::optional<drain_obstacle> found = stopObstacleOf(loaded, key, now, timeLeft)) {
            return found;
        }
    }
    return std::nullopt;
}

std::optional<host_maintenance_controller::drain_obstacle>
host_maintenance_controller::stopObstacleOf(const loaded_host &loaded, const task_key &key, instant now, milliseconds timeLeft)
{
    const worker &target = *loaded.target;
    const step_spec &step = m_model.find(key.job)->step(key.step);
    const bool othersMayArrive = now - m_blockedSince.at(loaded.host->name) < m_model.bounds().moveTime + HOST_JOIN_TIME;
    if (othersMayArrive || step.gang) {
        return drain_obstacle{ key, "no other worker can take the task" };
    }
    const int away = countUnavailable(key, [&target](const task_key &other) { return target.runs.count(other) == 0; });
    const int here = target.countTasks(key.job, key.occurrence, key.step);
    const bool mayStop = step.maxUnavailable > 0 ? away + here <= step.maxUnavailable : away == 0 || timeLeft.count() == 0;
    return mayStop ? std::nullopt : std::optional(drain_obstacle{ key, "too many tasks of the step would be unavailable" });
}

bool host_maintenance_controller::stopStranded(const loaded_host &loaded, instant now, milliseconds timeLeft)
{
    const auto lasts = [](const auto &entry) {
        return entry.second.longRunning || entry.second.stopping;
    };
    if (now < m_evictNotBefore || !std::all_of(loaded.target->runs.begin(), loaded.target->runs.end(), lasts)
        || isBeingEmptied(*loaded.target)) {
        return false;
    }
    const auto mayBeStopped = [&](const task_key &key) {
        return !stopObstacleOf(loaded, key, now, timeLeft);
    };
    if (!std::all_of(loaded.stranded.begin(), loaded.stranded.end(), mayBeStopped)) {
        return false;
    }
    for (const task_key &key : loaded.stranded) {
        m_log.write("run-evicted", { { "task", key.text() }, { "worker", loaded.target->report.id }, { "until", "maintained" } });
        m_runs.stop(key);
    }
    return true;
}

void host_maintenance_controller::startMaintenance(wave_progress &progress, const host_entry &host, instant now)
{
    m_cordons.endEmptied(host.name, now);
    m_hosts.startMaintenance(
        host.name, progress.wave.number,
        m_lifetime.guard([this, wave = progress.wave.number, name = host.name](host_order_status status, instant then) {
            if (status == host_order_status::done) {
                m_cordons.forgetPause(name);
            } else {
                // What was stopped for the order starts again, and is not stopped at once for the next one.
                m_cordons.pause(name, then);
            }
            if (status == host_order_status::done || status == host_order_status::wrong_wave || status == host_order_status::invalid) {
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

std::vector<task_key> host_maintenance_controller::evictLongRunningTasks(worker &target, instant now)
{
    std::vector<task_key> longRunning;
    for (const auto &[key, run] : target.runs) {
        if (m_model.find(key.job)->step(key.step).longRunning && !run.stopping) {
            longRunning.push_back(key);
        }
    }
    std::vector<task_key> stranded;
    for (const task_key &key : longRunning) {
        if (!hasAlternativeWorker(target, key, now)) {
            stranded.push_back(key);
        } else if (now >= m_evictNotBefore && canEvict(key)) {
            m_log.write("run-evicted", { { "task", key.text() }, { "worker", target.report.id }, { "until", "placed-elsewhere" } });
            m_runs.stop(key);
        }
    }
    return stranded;
}

void host_maintenance_controller::reportObstacle(std::uint64_t wave, const loaded_host &loaded, const drain_obstacle &found, instant now)
{
    instant &nextAt = m_nextReportAt[loaded.host->name];
    if (now < nextAt) {
        return;
    }
    nextAt = now + OBSTACLE_REPORT_INTERVAL;
    m_log.write("host-not-emptied",
                { { "wave", std::to_string(wave) },
                  { "host", loaded.host->name },
                  { "worker", loaded.target->report.id },
                  { "pool", loaded.target->report.pool },
                  { "task", found.task.text() },
                  { "reason", std::string(found.reason) } });
}

bool host_maintenance_controller::couldMoveLater(const worker &from, const task_key &key, instant now) const
{
    const step_spec &step = m_model.find(key.job)->step(key.step);
    const std::vector<worker *> &workers = m_model.workers().inPool(from.report.pool);
    return std::any_of(workers.begin(), workers.end(), [&](const worker *target) {
        m_model.countWorkersExamined(1);
        const bool below = step.maxPerWorker == 0 || target->countTasks(key.job, key.occurrence, key.step) < step.maxPerWorker;
        return target != &from && !target->dueForMaintenance && below && wouldAcceptUncordoned(*target, now)
            && canHoldBesideLongRunningTasks(*target, step);
    });
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

int host_maintenance_controller::countUnavailable(const task_key &key, const std::function<bool(const task_key &other)> &counts)
{
    const step_spec &step = m_model.find(key.job)->step(key.step);
    int unavailable = 0;
    for (task_key other = { key.job, key.occurrence, key.step, 0 }; other.index < step.count; ++other.index) {
        unavailable += counts(other) && !m_model.isAtFullSpeed(other) ? 1 : 0;
    }
    return unavailable;
}

bool host_maintenance_controller::canEvict(const task_key &key)
{
    const step_spec &step = m_model.find(key.job)->step(key.step);
    return step.maxUnavailable == 0
        || countUnavailable(key, [&key](const task_key &other) { return other.index != key.index; }) < step.maxUnavailable;
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

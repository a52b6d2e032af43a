#include <jujubespool/jobs/host_maintenance_controller.h>

#include <algorithm>
#include <jujubespool/jobs/placement.h>
#include <tuple>

namespace jujubespool {

namespace {

// Time that a host spends being emptied and being seen again, besides its upkeep.
constexpr milliseconds EMPTYING_TIME{ 2500 };
// The last part of the deadline is left as a reserve for failures, and at least this time.
constexpr double DEADLINE_RESERVE_SHARE = 0.35;
constexpr milliseconds DEADLINE_RESERVE{ 4000 };
// Lasting tasks move in turns, so that a few hosts serve many.
constexpr int MOST_HOSTS_LACKING = 4;
// Time after its end in which a look has surely shown a run that was stopped.
constexpr milliseconds ENDS_SHOWN{ 1500 };

} // namespace

int hostsNeededAtOnce(int hostsLeft, milliseconds timeLeft, milliseconds perHost, int maximum)
{
    const auto rounds = std::max<std::int64_t>(1, timeLeft / perHost);
    return static_cast<int>(std::min<std::int64_t>(maximum, (hostsLeft + rounds - 1) / rounds));
}

host_maintenance_controller::host_maintenance_controller(fleet_model &model, run_supervisor &runs, host_controller &roster,
                                                         wave_status_publisher &status, event_log &log)
    : m_model(model)
    , m_runs(runs)
    , m_roster(roster)
    , m_status(status)
    , m_log(log)
{
}

void host_maintenance_controller::setWave(const host_maintenance_wave &wave, wall_ms wall)
{
    wave_progress &progress = m_waves[wave.number];
    progress.wave = wave;
    if (progress.known) {
        return;
    }
    progress.known = true;
    if (progress.knownAt == 0) {
        progress.knownAt = wall;
        m_changed.insert(wave.number);
    }
    m_log.write("wave-known",
                { { "wave", std::to_string(wave.number) },
                  { "hosts", std::to_string(wave.hosts.size()) },
                  { "begun", std::to_string(progress.begun.size()) },
                  { "maximum", std::to_string(wave.maximum) },
                  { "deadline_s", std::to_string(wave.deadline.count()) } });
}

void host_maintenance_controller::restore(std::uint64_t wave, const wire::upkeep_image &image)
{
    wave_progress &progress = m_waves[wave];
    progress.begun.insert(image.begun().begin(), image.begun().end());
    progress.completed = image.completed();
    progress.knownAt = image.known_ms();
}

void host_maintenance_controller::onTakeOver(instant now)
{
    m_evictNotBefore = now + m_model.bounds().stopTime + ENDS_SHOWN;
}

std::map<std::uint64_t, wire::upkeep_image> host_maintenance_controller::takeChanged()
{
    std::map<std::uint64_t, wire::upkeep_image> images;
    for (const std::uint64_t number : std::exchange(m_changed, {})) {
        const wave_progress &progress = m_waves[number];
        wire::upkeep_image &image = images[number];
        for (const std::string &host : progress.begun) {
            image.add_begun(host);
        }
        image.set_completed(progress.completed);
        image.set_known_ms(progress.knownAt);
    }
    return images;
}

bool host_maintenance_controller::isDue(const std::string &host) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&host](const auto &item) {
        const wave_progress &progress = item.second;
        const std::vector<std::string> &hosts = progress.wave.hosts;
        return !progress.completed && progress.begun.count(host) == 0 && std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    });
}

void host_maintenance_controller::tick(instant now, wall_ms wall)
{
    m_stuckHosts.clear();
    for (auto &[number, progress] : m_waves) {
        if (progress.known && !progress.shownCompleted) {
            show(progress);
            if (m_roster.listed() && !progress.completed) {
                drive(progress, now, wall);
            }
        }
    }
}

void host_maintenance_controller::drive(wave_progress &progress, instant now, wall_ms wall)
{
    std::vector<const host_entry *> empty;
    std::vector<std::tuple<bool, std::size_t, const host_entry *>> loaded;
    int left = 0;
    for (const std::string &name : progress.wave.hosts) {
        const host_entry *host = m_roster.find(name);
        if (host == nullptr || progress.begun.count(name) > 0) {
            continue;
        }
        ++left;
        worker *target = m_roster.workerOn(*host);
        if (target != nullptr) {
            target->dueForMaintenance = true;
        }
        if (!m_roster.orderable(*host, now)) {
            continue;
        }
        if (target == nullptr || target->runs.empty()) {
            empty.push_back(host);
        } else {
            loaded.emplace_back(!target->cordoned, target->runs.size(), host);
        }
    }
    if (left == 0) {
        progress.completed = true;
        m_changed.insert(progress.wave.number);
        m_log.write("wave-completed", { { "wave", std::to_string(progress.wave.number) } });
        return;
    }
    if (!m_roster.mayOrder(now)) {
        return;
    }
    int down = m_roster.inUpkeep(progress.wave.hosts);
    for (const host_entry *host : empty) {
        if (down < progress.wave.maximum) {
            begin(progress, *host, now);
            ++down;
        }
    }
    const auto sinceKnown = milliseconds(wall - std::min(wall, progress.knownAt));
    const milliseconds deadline = progress.wave.deadline;
    const milliseconds share(static_cast<std::int64_t>(static_cast<double>(deadline.count()) * DEADLINE_RESERVE_SHARE));
    const milliseconds timeLeft = std::max(milliseconds(0), deadline - std::max(share, DEADLINE_RESERVE) - sinceKnown);
    const milliseconds perHost = m_model.bounds().maintenanceTime + EMPTYING_TIME;
    int wanted = hostsNeededAtOnce(left, timeLeft, perHost, progress.wave.maximum) - down;
    std::sort(loaded.begin(), loaded.end(), [](const auto &first, const auto &second) {
        return std::tie(std::get<0>(first), std::get<1>(first), std::get<2>(first)->name)
            < std::tie(std::get<0>(second), std::get<1>(second), std::get<2>(second)->name);
    });
    for (const auto &[fresh, runs, host] : loaded) {
        worker &target = *m_roster.workerOn(*host);
        target.cordoned = wanted > 0 || target.cordoned;
        wanted -= target.cordoned ? 1 : 0;
        if (!moveLastingAway(target, now)) {
            ++m_stuckHosts[target.report.pool];
        }
    }
}

void host_maintenance_controller::begin(wave_progress &progress, const host_entry &host, instant now)
{
    m_roster.upkeep(host.name, progress.wave.number,
                    m_lifetime.guard([this, wave = progress.wave.number, name = host.name](host_order_status end, instant) {
                        if (end == host_order_status::done || end == host_order_status::wrong_wave || end == host_order_status::invalid) {
                            m_waves[wave].begun.insert(name);
                            m_changed.insert(wave);
                        }
                    }),
                    now);
}

int host_maintenance_controller::hostsLacking(const std::string &pool) const
{
    const auto found = m_stuckHosts.find(pool);
    return found == m_stuckHosts.end() ? 0 : std::min(found->second, MOST_HOSTS_LACKING);
}

bool host_maintenance_controller::moveLastingAway(worker &target, instant now)
{
    std::vector<task_key> lasting;
    for (const auto &[key, run] : target.runs) {
        if (m_model.find(key.job)->step(key.step).longRunning && !run.stopping) {
            lasting.push_back(key);
        }
    }
    bool placed = true;
    for (const task_key &key : lasting) {
        if (!hasOtherPlace(target, key, now)) {
            placed = false;
        } else if (now >= m_evictNotBefore && mayEvict(key)) {
            m_log.write("run-evicted", { { "task", key.text() }, { "worker", target.report.id } });
            m_runs.stop(key, now);
        }
    }
    return placed;
}

bool host_maintenance_controller::hasOtherPlace(const worker &from, const task_key &key, instant now) const
{
    const step_spec &step = m_model.find(key.job)->step(key.step);
    const placement_request request{ key, &step, from.report.pool, {}, {}, {}, {} };
    const auto &workers = m_model.workers().all();
    return std::any_of(workers.begin(), workers.end(), [&](const auto &item) {
        return item.first != from.report.id && !item.second.dueForMaintenance && isEligible(item.second, request, now);
    });
}

bool host_maintenance_controller::mayEvict(const task_key &key)
{
    job &item = *m_model.find(key.job);
    const step_spec &step = item.step(key.step);
    if (step.maxUnavailable == 0) {
        return true;
    }
    int away = 0;
    for (task_key other = { key.job, key.occurrence, key.step, 0 }; other.index < step.count; ++other.index) {
        away += other.index != key.index && !m_model.isAtFullSpeed(other) ? 1 : 0;
    }
    return away < step.maxUnavailable;
}

void host_maintenance_controller::show(wave_progress &progress)
{
    const bool wanted = progress.completed;
    if (progress.showing || (wanted ? progress.shownCompleted : progress.shownRunning)) {
        return;
    }
    progress.showing = true;
    m_status.publishWaveStatus(progress.wave.number, wanted,
                               m_lifetime.guard([this, number = progress.wave.number, wanted](bool written, instant) {
                                   wave_progress &shown = m_waves[number];
                                   shown.showing = false;
                                   (wanted ? shown.shownCompleted : shown.shownRunning) = written;
                               }));
}

} // namespace jujubespool

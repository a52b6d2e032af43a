#include <jujubespool/jobs/host_cordons.h>

#include <algorithm>
#include <jujubespool/jobs/placement.h>

namespace jujubespool {

namespace {

// A cordon lapses after this time without a renewal.
constexpr milliseconds RENEWAL_TIME{ 1000 };
// How long a host stays open after its cordon was given up. The time doubles with each further one.
constexpr milliseconds FIRST_PAUSE{ 4000 };
constexpr milliseconds MAX_PAUSE{ 32000 };
// The search looks at all active jobs.
constexpr milliseconds SEARCH_INTERVAL{ 250 };
// In a pool with more of its CPU in use, the load and not the cordon is what tasks wait for.
constexpr double MAX_USED_SHARE = 0.5;

bool fitsOnEmptyWorker(const std::vector<worker *> &workers, const waiting_step &step)
{
    return std::any_of(workers.begin(), workers.end(), [&step](const worker *target) {
        const bool labelled = step.requiredLabel.empty() || target->hasLabel(step.requiredLabel);
        return labelled && step.need.fitsIn(target->report.capacity);
    });
}

} // namespace

host_cordons::host_cordons(fleet_model &model, event_log &log)
    : m_model(model)
    , m_log(log)
{
}

bool host_cordons::mayBegin(const std::string &host, instant now) const
{
    const auto paused = m_pauses.find(host);
    return paused == m_pauses.end() || now >= paused->second.until;
}

void host_cordons::hold(const std::string &host, worker &target, std::uint64_t wave, instant now)
{
    const auto known = m_cordons.find(host);
    if (known != m_cordons.end() && known->second.worker == target.report.id) {
        known->second.renewed = true;
    } else {
        m_cordons[host] = { target.report.id, wave, now, true };
        m_log.write("host-cordoned",
                    { { "wave", std::to_string(wave) },
                      { "host", host },
                      { "worker", target.report.id },
                      { "pool", target.report.pool },
                      { "runs", std::to_string(target.runs.size()) } });
        m_log.count("host_cordons_total", target.report.pool);
    }
    target.cordonedUntil = now + RENEWAL_TIME;
}

host_cordons::cordon_position host_cordons::end(cordon_position position, cordon_end why, instant now)
{
    const auto &[host, ended] = *position;
    worker *target = m_model.workers().find(ended.worker);
    const duration length = now - ended.since;
    m_log.write("host-cordon-ended",
                { { "wave", std::to_string(ended.wave) },
                  { "host", host },
                  { "worker", ended.worker },
                  { "reason", std::string(nameOf(why)) },
                  { "runs", std::to_string(target == nullptr ? 0 : target->runs.size()) },
                  { "cordoned_ms", std::to_string(duration_cast<milliseconds>(length).count()) } });
    m_log.count("host_cordons_ended_total", nameOf(why));
    m_log.observe("host_cordon", "", length);
    if (target != nullptr) {
        target->cordonedUntil = now;
    }
    return m_cordons.erase(position);
}

void host_cordons::pause(const std::string &host, instant now)
{
    open_time &next = m_pauses[host];
    next.length = std::min(std::max(next.length * 2, FIRST_PAUSE), MAX_PAUSE);
    next.until = now + next.length;
}

void host_cordons::endEmptied(const std::string &host, instant now)
{
    const auto found = m_cordons.find(host);
    if (found != m_cordons.end()) {
        end(found, cordon_end::emptied, now);
    }
}

bool host_cordons::endStep(instant now)
{
    bool opened = false;
    for (auto position = m_cordons.begin(); position != m_cordons.end();) {
        cordon &current = position->second;
        const bool timedOut = now - current.since >= MAX_CORDON_TIME;
        if (current.renewed && !timedOut) {
            current.renewed = false;
            ++position;
            continue;
        }
        if (timedOut) {
            pause(position->first, now);
        }
        position = end(position, timedOut ? cordon_end::timed_out : cordon_end::not_renewed, now);
        opened = true;
    }
    return openForWaitingWork(now) || opened;
}

bool host_cordons::openForWaitingWork(instant now)
{
    if (m_cordons.empty() || now < m_nextSearchAt) {
        return false;
    }
    m_nextSearchAt = now + SEARCH_INTERVAL;
    std::set<std::string> pools;
    for (const auto &[host, current] : m_cordons) {
        const worker *target = m_model.workers().find(current.worker);
        if (target != nullptr) {
            pools.insert(target->report.pool);
        }
    }
    std::map<std::string, std::vector<waiting_step>> steps;
    for (pool_step &found : m_waitingSteps.find(m_model, pools, now)) {
        if (pools.count(found.pool) > 0) {
            steps[found.pool].push_back(std::move(found.step));
        }
    }
    std::set<std::string> needed;
    for (const auto &[pool, waiting] : steps) {
        needed.merge(workersNeeded(pool, waiting, now));
    }
    bool opened = false;
    for (auto position = m_cordons.begin(); position != m_cordons.end();) {
        const bool isNeeded = needed.count(position->second.worker) > 0;
        if (isNeeded) {
            pause(position->first, now);
        }
        position = isNeeded ? end(position, cordon_end::work_waits, now) : std::next(position);
        opened = opened || isNeeded;
    }
    return opened;
}

std::set<std::string> host_cordons::workersNeeded(const std::string &pool, const std::vector<waiting_step> &steps, instant now) const
{
    std::vector<worker *> open;
    std::vector<worker *> closed;
    std::int64_t usedCpuMillis = 0;
    for (worker *target : m_model.workers().inPool(pool)) {
        usedCpuMillis += target->used.cpuMillis;
        if (acceptsNewTasks(*target, now)) {
            open.push_back(target);
        } else if (wouldAcceptUncordoned(*target, now)) {
            closed.push_back(target);
        }
    }
    const auto listed = static_cast<double>(m_model.workers().listedCpuMillis(pool));
    const bool hasFreeCpu = static_cast<double>(usedCpuMillis) < MAX_USED_SHARE * listed;
    std::vector<host_space> spaces;
    for (const std::vector<worker *> &group : { open, closed }) {
        for (const worker *target : group) {
            spaces.push_back({ {}, target->report.id, target->freeCapacity(), &target->report.labels });
        }
    }
    step_fitter fitter(spaces);
    std::set<std::string> needed;
    for (const waiting_step &step : steps) {
        if (!hasFreeCpu && fitsOnEmptyWorker(open, step)) {
            continue;
        }
        for (const std::size_t used : fitter.fit(step).spaces) {
            if (used >= open.size()) {
                needed.insert(spaces[used].worker);
            }
        }
    }
    return needed;
}

} // namespace jujubespool

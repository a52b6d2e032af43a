// The parts of fleet_state that concern hosts, maintenance waves and availability budgets.
#include <jujubespool/core/fleet_state.h>

#include "internal/apply_result.h"

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

using internal::accept;
using internal::isOutOfService;
using internal::reject;

namespace {

constexpr std::uint32_t MAX_PERCENT = 100;
// Number of hosts with a failed health check at which a wave is paused.
constexpr std::size_t WAVE_FAILURE_LIMIT = 2;

const std::string WORKER_PREFIX = "worker/";

} // namespace

apply_result fleet_state::drainHost(const wire::host_drain &drain)
{
    const auto found = m_hosts.find(drain.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", drain.host());
    }
    host_status &status = found->second;
    const bool moves = !drain.move_to_pool().empty();
    if (moves && (m_config.findPool(drain.move_to_pool()) == nullptr || drain.move_to_pool() == status.pool)) {
        return reject("host {} cannot move to pool '{}': the pool is unknown or the host is in it", drain.host(), drain.move_to_pool());
    }
    if (status.state != host_state::active) {
        return reject("host {} cannot be drained: it is already {}", drain.host(), nameOf(status.state));
    }
    if (!drain.wave().empty()) {
        const auto wave = m_waves.find(drain.wave());
        if (wave == m_waves.end() || wave->second.state != wave_state::running || wave->second.isHostResolved(drain.host())) {
            return reject("wave {} cannot drain host {}: the wave is unknown, is not running or has finished with the host", drain.wave(),
                          drain.host());
        }
    }
    if (const auto violation = budgetViolation(drain.host())) {
        return reject("{}", *violation);
    }
    status.moveToPool = drain.move_to_pool();
    status.wave = drain.wave();
    setHostState(drain.host(), host_state::draining);
    completeDrainIfIdle(drain.host());
    return accept();
}

apply_result fleet_state::undrainHost(const wire::host_undrain &undrain)
{
    const auto found = m_hosts.find(undrain.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", undrain.host());
    }
    host_status &status = found->second;
    if (status.state != host_state::draining && status.state != host_state::drained) {
        return reject("host {} cannot be undrained: it is {}", undrain.host(), nameOf(status.state));
    }
    status.moveToPool.clear();
    status.wave.clear();
    setHostState(undrain.host(), host_state::active);
    return accept();
}

apply_result fleet_state::applyMaintenanceStep(const wire::host_step &step)
{
    const auto found = m_hosts.find(step.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", step.host());
    }
    host_status &status = found->second;
    if (!step.wave().empty()) {
        return applyWaveStep(step, status);
    }
    if (step.step() == wire::MAINTENANCE_STEP_FAILED && status.state == host_state::active) {
        setHostState(step.host(), host_state::failed);
        return accept();
    }
    if (step.step() == wire::MAINTENANCE_STEP_VERIFIED && status.state == host_state::failed) {
        setHostState(step.host(), host_state::active);
        return accept();
    }
    return reject("the maintenance step does not apply to host {}, which is {}", step.host(), nameOf(status.state));
}

apply_result fleet_state::applyWaveStep(const wire::host_step &step, host_status &status)
{
    const auto wave = m_waves.find(step.wave());
    if (wave == m_waves.end() || status.wave != step.wave()) {
        return reject("wave {} is unknown or does not currently process host {}", step.wave(), step.host());
    }
    if (step.step() == wire::MAINTENANCE_STEP_REBOOT && status.state == host_state::drained) {
        setHostState(step.host(), host_state::rebooting);
        return accept();
    }
    if (status.state != host_state::rebooting) {
        return reject("the maintenance step does not apply to host {}, which is {}", step.host(), nameOf(status.state));
    }
    if (step.step() == wire::MAINTENANCE_STEP_VERIFIED) {
        status.version = wave->second.start.version();
        wave->second.done.insert(step.host());
        status.wave.clear();
        setHostState(step.host(), host_state::active);
        updateWaveState(wave->second);
        return accept();
    }
    if (step.step() == wire::MAINTENANCE_STEP_FAILED) {
        wave->second.failed.insert(step.host());
        status.wave.clear();
        setHostState(step.host(), host_state::failed);
        updateWaveState(wave->second);
        return accept();
    }
    return reject("host {} is already rebooting", step.host());
}

apply_result fleet_state::startWave(const wire::wave_start &start)
{
    if (start.name().empty() || m_waves.count(start.name()) > 0) {
        return reject("wave '{}' already exists or has no name", start.name());
    }
    for (const auto &[name, wave] : m_waves) {
        if (wave.state == wave_state::running || wave.state == wave_state::paused) {
            return reject("wave {} has not finished", name);
        }
    }
    for (const std::string &host : start.hosts()) {
        if (m_hosts.count(host) == 0) {
            return reject("unknown host {}", host);
        }
    }
    if (start.hosts().empty()) {
        return reject("the wave contains no hosts");
    }
    m_waves[start.name()].start = start;
    return accept();
}

apply_result fleet_state::controlWave(const wire::wave_control &control)
{
    const auto found = m_waves.find(control.name());
    if (found == m_waves.end()) {
        return reject("unknown wave {}", control.name());
    }
    wave_status &wave = found->second;
    if (wave.state != wave_state::running && wave.state != wave_state::paused) {
        return reject("wave {} is already {}", control.name(), nameOf(wave.state));
    }
    switch (control.action()) {
    case wire::WAVE_ACTION_PAUSE:
        wave.state = wave_state::paused;
        wave.reason = control.reason();
        return accept();
    case wire::WAVE_ACTION_RESUME:
        wave.state = wave_state::running;
        wave.reason.clear();
        return accept();
    case wire::WAVE_ACTION_CANCEL:
        wave.state = wave_state::cancelled;
        wave.reason = control.reason();
        return accept();
    case wire::WAVE_ACTION_EXCLUDE: {
        const auto &hosts = wave.start.hosts();
        if (std::find(hosts.begin(), hosts.end(), control.host()) == hosts.end() || wave.isHostResolved(control.host())) {
            return reject("host {1} cannot be excluded: it is not in wave {0} or the wave has finished with it", control.name(),
                          control.host());
        }
        const host_status &status = m_hosts.at(control.host());
        if (status.wave == control.name()) {
            return reject("host {} cannot be excluded: it is already {} in the wave", control.host(), nameOf(status.state));
        }
        wave.excluded.insert(control.host());
        updateWaveState(wave);
        return accept();
    }
    default:
        return reject("unknown wave action");
    }
}

void fleet_state::updateWaveState(wave_status &wave)
{
    if (wave.state == wave_state::running && wave.failed.size() >= WAVE_FAILURE_LIMIT) {
        wave.state = wave_state::paused;
        wave.reason = fmt::format("{} hosts failed their health gate", wave.failed.size());
    }
    const std::size_t settled = wave.done.size() + wave.failed.size() + wave.excluded.size();
    if (wave.state == wave_state::running && settled >= static_cast<std::size_t>(wave.start.hosts_size())) {
        wave.state = wave_state::finished;
    }
}

void fleet_state::setHostState(const std::string &host, host_state state)
{
    host_status &status = m_hosts.at(host);
    pool_counts &counts = m_poolCounts[status.pool];
    counts.unavailable -= isOutOfService(status.state) ? 1 : 0;
    counts.unavailable += isOutOfService(state) ? 1 : 0;
    status.state = state;
    updateSlotLimit(host);
}

void fleet_state::updateSlotLimit(const std::string &host)
{
    m_hostsChangedOffset = m_nextOffset;
    const host_spec *spec = m_config.findHost(host);
    const host_status &status = m_hosts.at(host);
    const bool serves = spec != nullptr && status.state == host_state::active && !status.removed;
    const resource_allocation *account = m_permitAllocations.find(workerResource(host));
    const std::string dataCenter = spec != nullptr ? spec->dataCenter : (account != nullptr ? account->dataCenter : std::string());
    m_permitAllocations.setLimit(workerResource(host), serves ? spec->slots : 0, dataCenter);
}

void fleet_state::onPermitsReleased(const std::string &resource)
{
    if (resource.compare(0, WORKER_PREFIX.size(), WORKER_PREFIX) == 0) {
        completeDrainIfIdle(resource.substr(WORKER_PREFIX.size()));
        return;
    }
    const resource_allocation *account = m_permitAllocations.find(resource);
    if (account != nullptr && account->limit == 0 && account->holdings.empty()) {
        // The team of this account has been removed.
        m_permitAllocations.erase(resource);
    }
}

// A host of which no session holds a slot runs no requests, so its drain is complete.
void fleet_state::completeDrainIfIdle(const std::string &host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    host_status &status = found->second;
    const resource_allocation *account = m_permitAllocations.find(workerResource(host));
    const bool empty = account == nullptr || account->holdings.empty();
    if (!empty) {
        return;
    }
    if (status.removed) {
        m_permitAllocations.erase(workerResource(host));
        m_hosts.erase(found);
        recountPools();
        return;
    }
    if (status.state != host_state::draining) {
        return;
    }
    if (status.moveToPool.empty() || m_config.findPool(status.moveToPool) == nullptr) {
        status.moveToPool.clear();
        setHostState(host, host_state::drained);
        return;
    }
    status.pool = status.moveToPool;
    status.moveToPool.clear();
    status.wantedPool.clear();
    status.state = host_state::active;
    updateSlotLimit(host);
    recountPools();
}

// Computes the counts of each pool. The budget of a pool is the strictest budget of its services and of all services
// that depend on them, directly or indirectly.
void fleet_state::recountPools()
{
    m_hostsChangedOffset = m_nextOffset;
    m_poolCounts.clear();
    for (const auto &[name, status] : m_hosts) {
        pool_counts &counts = m_poolCounts[status.pool];
        ++counts.size;
        counts.unavailable += isOutOfService(status.state) || status.removed ? 1 : 0;
    }
    std::map<std::string, std::uint32_t> strictest;
    for (const service_spec &service : m_config.services) {
        strictest[service.name] = service.maxUnavailablePercent;
    }
    // Each iteration propagates the budgets by one dependency. The loop ends because there are no cycles.
    for (bool changed = true; changed;) {
        changed = false;
        for (const service_spec &service : m_config.services) {
            for (const std::string &dependency : service.dependsOn) {
                if (strictest[service.name] < strictest[dependency]) {
                    strictest[dependency] = strictest[service.name];
                    changed = true;
                }
            }
        }
    }
    for (const service_spec &service : m_config.services) {
        pool_counts &counts = m_poolCounts[service.pool];
        counts.percent = std::min(counts.percent, strictest[service.name]);
    }
}

std::uint32_t fleet_state::poolSize(const std::string &pool) const
{
    const auto found = m_poolCounts.find(pool);
    return found == m_poolCounts.end() ? 0 : found->second.size;
}

std::uint32_t fleet_state::unavailable(const std::string &pool) const
{
    const auto found = m_poolCounts.find(pool);
    return found == m_poolCounts.end() ? 0 : found->second.unavailable;
}

std::uint32_t fleet_state::allowedUnavailable(const std::string &pool) const
{
    const auto found = m_poolCounts.find(pool);
    return found == m_poolCounts.end() ? 0 : found->second.size * found->second.percent / MAX_PERCENT;
}

std::optional<std::string> fleet_state::budgetViolation(const std::string &host) const
{
    const std::string &pool = m_hosts.at(host).pool;
    const std::uint32_t out = unavailable(pool);
    const std::uint32_t allowed = allowedUnavailable(pool);
    if (out + 1 <= allowed) {
        return std::nullopt;
    }
    return fmt::format("pool {} has {} of its {} hosts out of service and may have {} at most", pool, out, poolSize(pool), allowed);
}

} // namespace jujubespool

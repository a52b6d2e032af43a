// Hosts, waves and availability budgets of fleet_state.
#include <jujubespool/core/fleet_state.h>

#include "internal/apply_result.h"

#include <algorithm>
#include <fmt/format.h>

namespace jujubespool {

using internal::accept;
using internal::isOut;
using internal::reject;

namespace {

constexpr std::uint32_t MAX_PERCENT = 100;
// A wave pauses when this many of its hosts fail their health gate.
constexpr std::size_t WAVE_FAILURE_CAP = 2;

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
        return reject("host {} cannot move to pool '{}'", drain.host(), drain.move_to_pool());
    }
    if (status.state != host_state::active) {
        return reject("host {} is {} already", drain.host(), nameOf(status.state));
    }
    if (!drain.wave().empty()) {
        const auto wave = m_waves.find(drain.wave());
        if (wave == m_waves.end() || wave->second.state != wave_state::running || wave->second.isHostResolved(drain.host())) {
            return reject("wave {} does not drain host {} now", drain.wave(), drain.host());
        }
    }
    if (const auto violation = budgetViolation(drain.host())) {
        return reject("{}", *violation);
    }
    status.moveToPool = drain.move_to_pool();
    status.wave = drain.wave();
    setState(drain.host(), host_state::draining);
    settleHost(drain.host());
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
        return reject("host {} is {}", undrain.host(), nameOf(status.state));
    }
    status.moveToPool.clear();
    status.wave.clear();
    setState(undrain.host(), host_state::active);
    return accept();
}

apply_result fleet_state::stepHost(const wire::host_step &step)
{
    const auto found = m_hosts.find(step.host());
    if (found == m_hosts.end()) {
        return reject("unknown host {}", step.host());
    }
    host_status &status = found->second;
    if (!step.wave().empty()) {
        return stepWaveHost(step, status);
    }
    if (step.step() == wire::MAINTENANCE_STEP_FAILED && status.state == host_state::active) {
        setState(step.host(), host_state::failed);
        return accept();
    }
    if (step.step() == wire::MAINTENANCE_STEP_VERIFIED && status.state == host_state::failed) {
        setState(step.host(), host_state::active);
        return accept();
    }
    return reject("host {} is {}", step.host(), nameOf(status.state));
}

apply_result fleet_state::stepWaveHost(const wire::host_step &step, host_status &status)
{
    const auto wave = m_waves.find(step.wave());
    if (wave == m_waves.end() || status.wave != step.wave()) {
        return reject("wave {} does not work on host {}", step.wave(), step.host());
    }
    if (step.step() == wire::MAINTENANCE_STEP_REBOOT && status.state == host_state::drained) {
        setState(step.host(), host_state::rebooting);
        return accept();
    }
    if (status.state != host_state::rebooting) {
        return reject("host {} is {}", step.host(), nameOf(status.state));
    }
    if (step.step() == wire::MAINTENANCE_STEP_VERIFIED) {
        status.version = wave->second.start.version();
        wave->second.done.insert(step.host());
        status.wave.clear();
        setState(step.host(), host_state::active);
        settleWave(wave->second);
        return accept();
    }
    if (step.step() == wire::MAINTENANCE_STEP_FAILED) {
        wave->second.failed.insert(step.host());
        status.wave.clear();
        setState(step.host(), host_state::failed);
        settleWave(wave->second);
        return accept();
    }
    return reject("host {} is rebooting", step.host());
}

apply_result fleet_state::startWave(const wire::wave_start &start)
{
    if (start.name().empty() || m_waves.count(start.name()) > 0) {
        return reject("wave '{}' exists already or has no name", start.name());
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
        return reject("the wave names no host");
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
        return reject("wave {} is {}", control.name(), nameOf(wave.state));
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
            return reject("wave {} has no host {} to exclude", control.name(), control.host());
        }
        const host_status &status = m_hosts.at(control.host());
        if (status.wave == control.name()) {
            return reject("host {} is {} in the wave already", control.host(), nameOf(status.state));
        }
        wave.excluded.insert(control.host());
        settleWave(wave);
        return accept();
    }
    default:
        return reject("unknown action");
    }
}

void fleet_state::settleWave(wave_status &wave)
{
    if (wave.state == wave_state::running && wave.failed.size() >= WAVE_FAILURE_CAP) {
        wave.state = wave_state::paused;
        wave.reason = fmt::format("{} hosts failed their health gate", wave.failed.size());
    }
    const std::size_t settled = wave.done.size() + wave.failed.size() + wave.excluded.size();
    if (wave.state == wave_state::running && settled >= static_cast<std::size_t>(wave.start.hosts_size())) {
        wave.state = wave_state::finished;
    }
}

void fleet_state::setState(const std::string &host, host_state state)
{
    host_status &status = m_hosts.at(host);
    pool_counts &counts = m_poolCounts[status.pool];
    counts.unavailable -= isOut(status.state) ? 1 : 0;
    counts.unavailable += isOut(state) ? 1 : 0;
    status.state = state;
    limitSlots(host);
}

void fleet_state::limitSlots(const std::string &host)
{
    m_hostsChangedAt = m_nextOffset;
    const host_spec *spec = m_config.findHost(host);
    const host_status &status = m_hosts.at(host);
    const bool serves = spec != nullptr && status.state == host_state::active && !status.removed;
    const resource_allocation *account = m_permitAllocations.find(workerResource(host));
    const std::string dataCenter = spec != nullptr ? spec->dataCenter : (account != nullptr ? account->dataCenter : std::string());
    m_permitAllocations.setLimit(workerResource(host), serves ? spec->slots : 0, dataCenter);
}

void fleet_state::settleResource(const std::string &resource)
{
    if (resource.compare(0, WORKER_PREFIX.size(), WORKER_PREFIX) == 0) {
        settleHost(resource.substr(WORKER_PREFIX.size()));
        return;
    }
    const resource_allocation *account = m_permitAllocations.find(resource);
    if (account != nullptr && account->limit == 0 && account->holdings.empty()) {
        // The account of a removed team.
        m_permitAllocations.erase(resource);
    }
}

// A host on which nobody holds a slot runs nothing of ours: it is drained.
void fleet_state::settleHost(const std::string &host)
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
        indexPools();
        return;
    }
    if (status.state != host_state::draining) {
        return;
    }
    if (status.moveToPool.empty() || m_config.findPool(status.moveToPool) == nullptr) {
        status.moveToPool.clear();
        setState(host, host_state::drained);
        return;
    }
    status.pool = status.moveToPool;
    status.moveToPool.clear();
    status.wantedPool.clear();
    status.state = host_state::active;
    limitSlots(host);
    indexPools();
}

// Derives the counts of each pool; a pool's budget is the strictest one of its services and of all that depend on them.
void fleet_state::indexPools()
{
    m_hostsChangedAt = m_nextOffset;
    m_poolCounts.clear();
    for (const auto &[name, status] : m_hosts) {
        pool_counts &counts = m_poolCounts[status.pool];
        ++counts.size;
        counts.unavailable += isOut(status.state) || status.removed ? 1 : 0;
    }
    std::map<std::string, std::uint32_t> strictest;
    for (const service_spec &service : m_config.services) {
        strictest[service.name] = service.maxUnavailablePercent;
    }
    // Each round passes a budget one dependency further; there are no cycles.
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
    return fmt::format("pool {} has {} of its {} hosts out of service and may have {}", pool, out, poolSize(pool), allowed);
}

} // namespace jujubespool

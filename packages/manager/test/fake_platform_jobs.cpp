// The part of fake_platform that plays the tasks of requested jobs as the steps of the jobs say.
#include "fake_platform.h"

#include <algorithm>

namespace jujubespool {

namespace {

// Checkpoints are written after each such period of work.
constexpr milliseconds CHECKPOINT_PERIOD{ 300 };
// A task takes this many times as long away from its data, or spread over several racks.
constexpr int FAR_FACTOR = 2;
// A longer lease is shortened to this.
constexpr milliseconds MAX_LEASE{ 6000 };
// Long-running tasks do not end within a test.
constexpr seconds LONG_RUN_TIME{ 100000 };

std::string rackOf(const worker_report &report)
{
    return report.labels.size() > 1 ? report.labels[1] : std::string();
}

std::string stepOf(const task_key &key)
{
    return key.job.text() + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step);
}

} // namespace

const step_spec *fake_platform::requestedStep(const task_key &key) const
{
    const auto found = requests.find(key.job);
    if (found == requests.end() || key.step >= static_cast<int>(found->second.steps.size())) {
        return nullptr;
    }
    return &found->second.steps[static_cast<std::size_t>(key.step)];
}

resources fake_platform::needOf(const task_key &key) const
{
    const step_spec *step = requestedStep(key);
    resources need = step == nullptr ? resources() : step->taskResources;
    need.cpuMillis = step != nullptr && step->bestEffort ? 0 : need.cpuMillis;
    return need;
}

std::optional<order_result> fake_platform::refusalOf(const fake_worker &target, const start_order &order) const
{
    if (target.refusesStarts) {
        return order_result{ order_status::refused, std::nullopt, {} };
    }
    const step_spec *step = requestedStep(order.task);
    if (step == nullptr) {
        return std::nullopt;
    }
    if (order.untilMs <= clockOf(target)) {
        return order_result{ order_status::lease_expired, std::nullopt, {} };
    }
    if (!hasTicket(target, order)) {
        return order_result{ order_status::bad_ticket, std::nullopt, {} };
    }
    resources used = needOf(order.task);
    for (const auto &[key, run] : target.running) {
        used += needOf(key);
    }
    if (target.hasNoRoom || !used.fitsIn(target.report.capacity)) {
        return order_result{ order_status::no_room, std::nullopt, {} };
    }
    return std::nullopt;
}

bool fake_platform::hasTicket(const fake_worker &target, const start_order &order) const
{
    const auto queue = m_knownQueues.find(requests.at(order.task.job).queue);
    if (queue == m_knownQueues.end() || !queue->second.policy) {
        return true;
    }
    const std::string expected = stepOf(order.task) + "/" + target.report.id + "/" + std::to_string(target.report.startTimeMs);
    const auto issued = m_ticketsIssuedAt.find(expected);
    return order.ticket == expected && issued != m_ticketsIssuedAt.end() && m_now <= issued->second + queue->second.policy->validity;
}

ticket_response fake_platform::ticketsFor(const std::string &step, const std::vector<std::string> &workers)
{
    ticket_response response;
    response.tickets.emplace();
    for (const std::string &id : workers) {
        const auto found = m_workers.find(id);
        if (found != m_workers.end() && policyAllows(step, id)) {
            const std::string ticket = step + "/" + id + "/" + std::to_string(found->second.report.startTimeMs);
            m_ticketsIssuedAt[ticket] = m_now;
            (*response.tickets)[id] = ticket;
        }
    }
    const task_key key = *task_key::parse(step + ".0");
    response.validity = m_knownQueues.at(requests.at(key.job).queue).policy->validity;
    return response;
}

void fake_platform::checkStart(const fake_worker &target, const start_order &order)
{
    const step_spec *step = requestedStep(order.task);
    if (step == nullptr) {
        return;
    }
    const std::string text = order.task.text();
    const job_request &request = requests.at(order.task.job);
    if (!step->requiredLabel.empty() && std::count(target.report.labels.begin(), target.report.labels.end(), step->requiredLabel) == 0) {
        m_violations.push_back("started without the required label: " + text);
    }
    const auto sameStep = [&](const auto &entry) {
        return stepOf(entry.first) == stepOf(order.task);
    };
    if (step->maxPerWorker > 0 && std::count_if(target.running.begin(), target.running.end(), sameStep) >= step->maxPerWorker) {
        m_violations.push_back("started beyond the maximum for each worker: " + text);
    }
    for (const int dependency : step->dependencies) {
        for (int index = 0; index < request.steps[static_cast<std::size_t>(dependency)].count; ++index) {
            if (doneEnds({ order.task.job, order.task.occurrence, dependency, index }) == 0) {
                m_violations.push_back("started before its dependencies were done: " + text);
            }
        }
    }
    if (request.repeatCount > 0 && wall() < request.firstRun + static_cast<wall_ms>(request.interval.count() * order.task.occurrence)) {
        m_violations.push_back("started before it was due: " + text);
    }
    const auto queue = m_knownQueues.find(request.queue);
    int failures = recordedFailures(order.task);
    for (int index = 0; step->gang && index < step->count; ++index) {
        const task_key member{ order.task.job, order.task.occurrence, order.task.step, index };
        failures += index == order.task.index ? 0 : recordedFailures(member);
    }
    if (!step->longRunning && queue != m_knownQueues.end() && failures >= queue->second.maxAttempts) {
        m_violations.push_back("started after all its attempts had failed: " + text);
    }
    if (queue != m_knownQueues.end() && queue->second.pool != target.report.pool) {
        m_violations.push_back("started in another pool: " + text);
    }
    checkTeamLimit(order.task);
    if (!order.checkpoint.empty() && m_checkpoints[checkpointOwner(order.task)].count(order.checkpoint) == 0) {
        m_violations.push_back("started with a checkpoint that is not its own: " + text);
    }
    if (order.spec != request.spec) {
        m_violations.push_back("started with another specification: " + text);
    }
}

void fake_platform::checkTeamLimit(const task_key &key)
{
    const std::string &name = requests.at(key.job).team;
    const auto team = m_config->teams.find(name);
    if (team == m_config->teams.end() || team->second.limit.cpuMillis == 0) {
        return;
    }
    std::int64_t used = requestedStep(key)->taskResources.cpuMillis;
    for (const auto &[id, target] : m_workers) {
        for (const auto &[other, run] : target.running) {
            const bool same = requests.count(other.job) > 0 && requests.at(other.job).team == name;
            used += same ? requestedStep(other)->taskResources.cpuMillis : 0;
        }
    }
    if (used > team->second.limit.cpuMillis) {
        m_violations.push_back("started beyond its team's limit: " + key.text());
    }
}

void fake_platform::beginRun(fake_worker &target, const start_order &order)
{
    const step_spec *step = requestedStep(order.task);
    if (step == nullptr) {
        return;
    }
    fake_run &run = target.running.at(order.task);
    run.need = needOf(order.task);
    run.savedWork = milliseconds(order.checkpoint.empty() ? 0 : std::stoll(order.checkpoint));
    if (step->gang) {
        run.endsAt = m_now + gangWait;
        run.plannedEnd = run_outcome::alone;
        joinGang(order);
    } else {
        work(target, order.task, run);
    }
}

// The run works from now on until it ends by itself.
void fake_platform::work(fake_worker &target, const task_key &key, fake_run &run)
{
    const step_spec &step = *requestedStep(key);
    const bool far = !step.dataRack.empty() && rackOf(target.report) != step.dataRack;
    const milliseconds total = runTime(key) * (far ? FAR_FACTOR : 1);
    const bool fails = target.failsAllRuns || alwaysFails(key) || (failsRun && failsRun(key, run.run));
    run.workingSince = m_now;
    run.endsAt = m_now + std::max(milliseconds(1), total - run.savedWork);
    run.plannedEnd = run_outcome::done;
    if (step.longRunning) {
        run.endsAt = m_now + LONG_RUN_TIME;
    }
    if (fails) {
        run.endsAt = m_now + std::max(milliseconds(1), total / 2);
        run.plannedEnd = run_outcome::failed;
    }
}

// The members work from the moment when all of them are present, and one of them may fail for all.
void fake_platform::joinGang(const start_order &order)
{
    const step_spec &step = *requestedStep(order.task);
    task_key gangKey = order.task;
    gangKey.index = 0;
    fake_gang &gang = m_gangs[{ gangKey, order.run }];
    gang.workerOfMember[order.task.index] = order.worker.incarnation.id;
    if (static_cast<int>(gang.workerOfMember.size()) < step.count) {
        return;
    }
    gang.working = true;
    std::set<std::string> racks;
    bool fails = failsRun && failsRun(gangKey, order.run);
    fails = fails || alwaysFails(gangKey);
    std::set<milliseconds> saved;
    for (const auto &[index, id] : gang.workerOfMember) {
        task_key member = gangKey;
        member.index = index;
        fake_worker &target = m_workers.at(id);
        racks.insert(rackOf(target.report));
        fails = fails || target.failsAllRuns;
        saved.insert(target.running.at(member).savedWork);
    }
    if (saved.size() > 1) {
        m_violations.push_back("members of a gang started with different checkpoints: " + gangKey.text());
    }
    const int factor = step.sameRack && racks.size() > 1 ? FAR_FACTOR : 1;
    const int failing = order.run % step.count;
    for (const auto &[index, id] : gang.workerOfMember) {
        task_key member = gangKey;
        member.index = index;
        fake_run &run = m_workers.at(id).running.at(member);
        run.workingSince = m_now;
        if (run.stopping) {
            continue;
        }
        run.endsAt = m_now + std::max(milliseconds(1), runTime(gangKey) * factor - run.savedWork);
        run.plannedEnd = run_outcome::done;
        if (fails) {
            run.endsAt = m_now + runTime(gangKey) / 2 + (index == failing ? milliseconds(0) : milliseconds(1000));
            run.plannedEnd = run_outcome::failed;
        }
    }
}

// When a member ends in another way than with all others, the run of each other member ends too.
void fake_platform::leaveGang(const task_key &key, int run, run_outcome outcome)
{
    task_key gangKey = key;
    gangKey.index = 0;
    const auto found = m_gangs.find({ gangKey, run });
    if (found == m_gangs.end()) {
        return;
    }
    found->second.workerOfMember.erase(key.index);
    if (outcome == run_outcome::done || outcome == run_outcome::alone) {
        return;
    }
    for (const auto &[index, id] : found->second.workerOfMember) {
        task_key member = gangKey;
        member.index = index;
        const auto other = m_workers.at(id).running.find(member);
        if (other != m_workers.at(id).running.end() && other->second.run == run && !other->second.stopping) {
            other->second.endsAt = m_now;
            other->second.plannedEnd = run_outcome::broken;
        }
    }
}

void fake_platform::extendLease(fake_worker &target, instant until)
{
    target.lapsedAt = m_now > target.leaseExpiresAt ? m_now : target.lapsedAt;
    target.leaseExpiresAt = std::max(target.leaseExpiresAt, std::min(until, m_now + MAX_LEASE));
}

void fake_platform::recordEnds(fake_worker &target, std::uint64_t number)
{
    for (const finished_run &ended : target.finished) {
        if (ended.number > number) {
            continue;
        }
        const bool lapsed = target.endedAt[ended.number] < target.lapsedAt || m_now > target.leaseExpiresAt;
        const bool requested = requestedStep(ended.task) != nullptr;
        if (ended.outcome == run_outcome::done && !(requested && lapsed)) {
            m_acknowledgedTasks.insert(ended.task);
        }
        m_recordedFailures[ended.task] += ended.outcome == run_outcome::failed ? 1 : 0;
    }
}

void fake_platform::stopRun(fake_worker &target, const task_key &key)
{
    if (!target.running.at(key).stopping) {
        checkAvailability(key);
    }
    if (stopTime.count() == 0) {
        endRun(target, key, run_outcome::stopped);
        return;
    }
    fake_run &run = target.running.at(key);
    if (!run.stopping) {
        run.stopping = true;
        run.endsAt = std::min(run.endsAt, m_now + stopTime);
        run.plannedEnd = run.endsAt == m_now + stopTime ? run_outcome::stopped : run.plannedEnd;
    }
}

void fake_platform::crashWorker(const std::string &id)
{
    fake_worker &target = m_workers.at(id);
    std::map<task_key, fake_run> lost;
    lost.swap(target.running);
    target.alive = false;
    for (const auto &[key, run] : lost) {
        m_runningOn[key].erase(id);
        leaveGang(key, run.run, run_outcome::stopped);
    }
}

milliseconds fake_platform::workDone(const fake_run &run) const
{
    return run.savedWork + (run.workingSince ? duration_cast<milliseconds>(m_now - *run.workingSince) : milliseconds(0));
}

task_key fake_platform::checkpointOwner(const task_key &key) const
{
    const step_spec *step = requestedStep(key);
    return step != nullptr && step->gang ? task_key{ key.job, key.occurrence, key.step, 0 } : key;
}

// The checkpoint is the number of milliseconds of work that it saves.
std::string fake_platform::checkpointOf(const task_key &key, const fake_run &run)
{
    const step_spec *step = requestedStep(key);
    if (step == nullptr || !step->savesProgress) {
        return {};
    }
    const milliseconds saved = workDone(run) / CHECKPOINT_PERIOD.count() * CHECKPOINT_PERIOD.count();
    if (saved.count() == 0) {
        return {};
    }
    const std::string text = std::to_string(saved.count());
    m_checkpoints[checkpointOwner(key)].insert(text);
    return text;
}

host_entry *fake_platform::findHost(const std::string &name)
{
    const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const host_entry &host) { return host.name == name; });
    return found == hosts.end() ? nullptr : &*found;
}

void fake_platform::addWorkerOn(const std::string &host)
{
    host_entry &returned = *findHost(host);
    returned.state = host_condition::up;
    const auto config = m_config->pools.find(returned.pool);
    if (config != m_config->pools.end() && config->second.standby) {
        return;
    }
    returned.worker = "moved-" + std::string(static_cast<std::size_t>(m_movedWorkers % 3), 'x') + std::to_string(m_movedWorkers);
    ++m_movedWorkers;
    fake_worker &added = addWorker(returned.worker, returned.pool, returned.capacity);
    added.report.labels = returned.labels;
    added.report.dataCenter = returned.dataCenter;
}

host_order_status fake_platform::moveHost(const std::string &name, const std::string &pool)
{
    host_entry *found = findHost(name);
    if (found == nullptr || (m_config != nullptr && m_config->pools.count(pool) == 0)) {
        return host_order_status::invalid;
    }
    if (found->pool == pool) {
        return host_order_status::done;
    }
    if (found->state != host_condition::up) {
        return host_order_status::busy;
    }
    if (!found->worker.empty()) {
        crashWorker(found->worker);
        unlistWorker(found->worker);
    }
    found->worker.clear();
    found->state = host_condition::moving;
    found->pool = pool;
    after(moveTime, [this, name](instant) { addWorkerOn(name); });
    return host_order_status::done;
}

host_order_status fake_platform::maintainHost(const std::string &name, std::uint64_t wave)
{
    host_entry *found = findHost(name);
    if (found == nullptr) {
        return host_order_status::invalid;
    }
    if (m_maintained[wave].count(name) > 0) {
        return host_order_status::done;
    }
    if (found->state != host_condition::up) {
        return host_order_status::busy;
    }
    checkMaintenance(*found, wave);
    if (!found->worker.empty()) {
        crashWorker(found->worker);
        unlistWorker(found->worker);
    }
    found->worker.clear();
    found->state = host_condition::maintenance;
    m_maintained[wave].insert(name);
    after(maintenanceTime, [this, name](instant) { addWorkerOn(name); });
    return host_order_status::done;
}

void fake_platform::checkMaintenance(const host_entry &host, std::uint64_t wave)
{
    const std::vector<std::string> &names = m_waves.at(wave).hosts;
    const auto away = std::count_if(hosts.begin(), hosts.end(), [&](const host_entry &other) {
        return other.state == host_condition::maintenance && std::count(names.begin(), names.end(), other.name) > 0;
    });
    if (away >= m_waves.at(wave).maximum) {
        m_violations.push_back("maintenance of " + host.name + " begins beside " + std::to_string(away) + " others of its wave");
    }
    if (host.worker.empty()) {
        return;
    }
    for (const auto &[key, run] : m_workers.at(host.worker).running) {
        const step_spec *step = requestedStep(key);
        if (checksAvailability && step != nullptr && !step->longRunning) {
            m_violations.push_back("maintenance of " + host.name + " cuts " + key.text());
        }
        checkAvailability(key);
    }
}

void fake_platform::checkAvailability(const task_key &key)
{
    const step_spec *step = requestedStep(key);
    if (!checksAvailability || step == nullptr || !step->longRunning || step->maxUnavailable == 0) {
        return;
    }
    int away = 0;
    for (task_key other = { key.job, key.occurrence, key.step, 0 }; other.index < step->count; ++other.index) {
        const bool atWork = std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
            const auto run = entry.second.running.find(other);
            return run != entry.second.running.end() && !run->second.stopping;
        });
        away += other.index != key.index && !atWork ? 1 : 0;
    }
    if (away >= step->maxUnavailable) {
        m_violations.push_back(key.text() + " is ended by an order while " + std::to_string(away) + " others of its step are away");
    }
}

int fake_platform::doneEnds(const task_key &key) const
{
    const auto found = m_doneEnds.find(key);
    return found == m_doneEnds.end() ? 0 : found->second;
}

int fake_platform::failedEnds(const task_key &key) const
{
    const auto found = m_failedEnds.find(key);
    return found == m_failedEnds.end() ? 0 : found->second;
}

int fake_platform::recordedFailures(const task_key &key) const
{
    const auto found = m_recordedFailures.find(key);
    return found == m_recordedFailures.end() ? 0 : found->second;
}

} // namespace jujubespool

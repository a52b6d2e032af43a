#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/worker_registry.h>

#include <algorithm>

namespace jujubespool {

namespace {

resources counted(const placed_run &run)
{
    resources need = run.need;
    if (run.bestEffort) {
        need.cpuMillis = 0;
    }
    return need;
}

} // namespace

bool worker::hasLabel(const std::string &label) const
{
    return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

std::string worker::rack() const
{
    // The kind comes first, the rack after it.
    return report.labels.size() > 1 ? report.labels[1] : std::string();
}

resources worker::freeCapacity() const
{
    resources room = report.capacity;
    room -= used;
    return room;
}

int worker::countTasks(const std::string &jobId, int occurrence, int step) const
{
    int count = 0;
    for (auto item = runs.lower_bound({ jobId, occurrence, step, 0 }); item != runs.end(); ++item) {
        if (item->first.job != jobId || item->first.occurrence != occurrence || item->first.step != step) {
            break;
        }
        ++count;
    }
    return count;
}

void worker::place(const task_key &key, const placed_run &run)
{
    remove(key);
    runs.emplace(key, run);
    used += counted(run);
}

void worker::remove(const task_key &key)
{
    const auto found = runs.find(key);
    if (found != runs.end()) {
        used -= counted(found->second);
        runs.erase(found);
    }
}

std::vector<task_key> worker_registry::update(const worker_report &report, instant now)
{
    std::vector<task_key> ended;
    const auto found = m_workers.find(report.id);
    if (found != m_workers.end() && found->second.report.startTimeMs > report.startTimeMs) {
        // A late copy of a former life's entry.
        return ended;
    }
    if (found != m_workers.end() && found->second.report.startTimeMs < report.startTimeMs) {
        for (const auto &[key, run] : found->second.runs) {
            ended.push_back(key);
        }
        m_workers.erase(found);
    }
    worker &entry = m_workers[report.id];
    const bool fresh = entry.report.id.empty();
    entry.report = report;
    entry.listed = true;
    if (fresh) {
        entry.nextPollAt = now;
    }
    return ended;
}

void worker_registry::markUnlisted(const std::string &id)
{
    worker *entry = find(id);
    if (entry != nullptr) {
        entry->listed = false;
    }
}

void worker_registry::pruneUnlisted(instant now)
{
    for (auto item = m_workers.begin(); item != m_workers.end();) {
        const worker &entry = item->second;
        const bool gone = !entry.listed && entry.runs.empty() && !entry.pollInFlight && now >= entry.leaseEnd;
        item = gone ? m_workers.erase(item) : std::next(item);
    }
}

worker *worker_registry::find(const std::string &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

worker_address addressOf(const worker &target)
{
    return { target.report.id, target.report.startTimeMs, target.report.address };
}

} // namespace jujubespool

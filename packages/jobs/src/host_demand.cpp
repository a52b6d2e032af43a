#include <jujubespool/jobs/host_demand.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Tasks that a host of the pool can hold are placed well within this time.
constexpr milliseconds MIN_WAITING_TIME{ 1000 };

int tasksThatFit(const waiting_step &step, const host_space &space)
{
    const bool hasLabel = step.requiredLabel.empty()
        || (space.labels != nullptr && std::find(space.labels->begin(), space.labels->end(), step.requiredLabel) != space.labels->end());
    int limit = hasLabel ? step.tasks : 0;
    if (step.maxPerHost > 0) {
        const auto running = step.running.find(space.worker);
        limit = std::min(limit, step.maxPerHost - (running == step.running.end() ? 0 : running->second));
    }
    resources left = space.free;
    int tasks = 0;
    while (tasks < limit && step.need.fitsIn(left)) {
        left -= step.need;
        ++tasks;
    }
    return tasks;
}

// By worker: number of tasks of the step that run there.
std::map<std::string, int> countRunning(const std::vector<task_progress> &tasks)
{
    std::map<std::string, int> running;
    for (const task_progress &task : tasks) {
        if (task.phase == task_phase::assigned) {
            ++running[task.worker];
        }
    }
    return running;
}

// Returns the number of tasks that have to be placed for the step to make progress. The tasks of a step that ends can run one after
// the other.
int tasksToPlace(const step_spec &spec, const std::vector<task_progress> &tasks)
{
    const auto count = [&tasks](task_phase phase) {
        return static_cast<int>(
            std::count_if(tasks.begin(), tasks.end(), [phase](const task_progress &task) { return task.phase == phase; }));
    };
    const int waiting = count(task_phase::waiting);
    if (spec.gang) {
        return waiting == spec.count ? waiting : 0;
    }
    if (spec.longRunning) {
        return waiting;
    }
    return waiting > 0 && count(task_phase::assigned) == 0 ? 1 : 0;
}

waiting_step describe(const task_key &first, const step_spec &spec, const std::vector<task_progress> &tasks)
{
    waiting_step step;
    step.first = first;
    step.need = spec.taskResources;
    step.need.cpuMillis = spec.bestEffort ? 0 : step.need.cpuMillis;
    step.requiredLabel = spec.requiredLabel;
    step.tasks = tasksToPlace(spec, tasks);
    step.maxPerHost = spec.maxPerWorker;
    step.gang = spec.gang;
    if (spec.maxPerWorker > 0) {
        step.running = countRunning(tasks);
    }
    return step;
}

// Returns the number of the tasks that the team's limit allows, and adds them to what the team needs. Returns 0 for a gang that it
// does not allow as a whole.
int takeTasksWithinLimit(const fleet_model &model, const std::string &teamName, const step_spec &spec, int tasks, resources &needed)
{
    const auto team = model.config().teams.find(teamName);
    if (team == model.config().teams.end()) {
        return tasks;
    }
    resources total = needed;
    int allowed = 0;
    while (allowed < tasks) {
        resources next = total;
        next += fleet_model::resourcesOf(spec);
        if (!model.usage().allows(team->second, next)) {
            break;
        }
        total = next;
        ++allowed;
    }
    if (spec.gang && allowed < tasks) {
        return 0;
    }
    needed = total;
    return allowed;
}

int minTasksOf(const waiting_step &step)
{
    return step.gang ? step.tasks : 1;
}

// True when each set of spaces that holds the step would also hold the other one.
bool needsAsMuchAs(const waiting_step &step, const waiting_step &other)
{
    const bool labelCovers = other.requiredLabel.empty() || other.requiredLabel == step.requiredLabel;
    const bool limitCovers = other.maxPerHost == 0 || (other.running.empty() && step.maxPerHost > 0 && step.maxPerHost <= other.maxPerHost);
    return labelCovers && limitCovers && other.need.fitsIn(step.need) && minTasksOf(step) >= minTasksOf(other);
}

} // namespace

step_fit fitStep(const waiting_step &step, std::vector<host_space> &spaces)
{
    step_fit fit;
    std::vector<int> tasksBySpace;
    for (std::size_t i = 0; i < spaces.size() && fit.tasksPlaced < step.tasks; ++i) {
        const int tasks = std::min(tasksThatFit(step, spaces[i]), step.tasks - fit.tasksPlaced);
        if (tasks > 0) {
            fit.spaces.push_back(i);
            tasksBySpace.push_back(tasks);
            fit.tasksPlaced += tasks;
        }
    }
    if (step.gang && fit.tasksPlaced < step.tasks) {
        return {};
    }
    for (std::size_t i = 0; i < fit.spaces.size(); ++i) {
        for (int task = 0; task < tasksBySpace[i]; ++task) {
            spaces[fit.spaces[i]].free -= step.need;
        }
    }
    return fit;
}

step_fitter::step_fitter(std::vector<host_space> spaces)
    : m_spaces(std::move(spaces))
{
}

step_fit step_fitter::fit(const waiting_step &step)
{
    const bool hopeless
        = std::any_of(m_rejected.begin(), m_rejected.end(), [&step](const waiting_step &failed) { return needsAsMuchAs(step, failed); });
    if (hopeless) {
        return {};
    }
    step_fit fit = fitStep(step, m_spaces);
    if (fit.tasksPlaced == 0) {
        m_rejected.push_back(step);
    }
    return fit;
}

void waiting_step_finder::addStep(const fleet_model &model, const job &current, const task_key &first, instant now, search &state) const
{
    const step_spec &spec = current.step(first.step);
    waiting_step step = describe(first, spec, current.occurrences().at(first.occurrence).steps[static_cast<std::size_t>(first.step)]);
    if (step.tasks == 0) {
        return;
    }
    const auto known = m_waitingSince.find(first);
    const instant since = known == m_waitingSince.end() ? now : known->second;
    state.waitingSince[first] = since;
    if (now - since < MIN_WAITING_TIME) {
        return;
    }
    const std::string &team = current.request().team;
    step.tasks = takeTasksWithinLimit(model, team, spec, step.tasks, state.neededByTeam[team]);
    if (step.tasks > 0) {
        state.found.push_back({ model.queueOf(current)->pool, std::move(step) });
    }
}

std::vector<pool_step> waiting_step_finder::find(const fleet_model &model, const std::set<std::string> &poolsWithFreeCpu, instant now)
{
    search state;
    model.countJobsExamined(model.activeJobs().size());
    for (const auto &[id, entry] : model.activeJobs()) {
        const queue_config *queue = model.queueOf(*entry);
        const bool waits = queue != nullptr && entry->demand().hasWaitingTasks;
        if (!waits || (poolsWithFreeCpu.count(queue->pool) == 0 && !entry->isLongRunning())) {
            continue;
        }
        for (const auto &[number, occurrence] : entry->occurrences()) {
            for (int step = 0; !occurrence.ended && step < static_cast<int>(occurrence.steps.size()); ++step) {
                if (occurrence.unfinishedTasks[static_cast<std::size_t>(step)] > 0 && entry->stepReady(occurrence, step)) {
                    addStep(model, *entry, { id, number, step, 0 }, now, state);
                }
            }
        }
    }
    m_waitingSince = std::move(state.waitingSince);
    return std::move(state.found);
}

} // namespace jujubespool

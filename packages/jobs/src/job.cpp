#include <jujubespool/jobs/job.h>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace jujubespool {

namespace {

// Worker ids and checkpoints that are longer than this may make the image of a job larger than its upper bound.
constexpr std::size_t MAX_WORKER_ID_BYTES = 32;
constexpr std::size_t MAX_CHECKPOINT_BYTES = 32;
constexpr std::uint32_t MAX_RUNS_OF_A_TASK = 1U << 20;
// Start time of a worker of the year 2500.
constexpr std::uint64_t LATEST_START_MS = 16725225600000;
// Bytes that frame one entry of a list, and the fields of an occurrence besides its tasks.
constexpr std::size_t ENTRY_FRAME_BYTES = 4;
constexpr std::size_t OCCURRENCE_FRAME_BYTES = 24;
// The end times, the epoch and the state of a job, which its first image lacks.
constexpr std::size_t END_BYTES = 38;

void writeImage(const step_spec &step, wire::step_image &image)
{
    image.set_count(static_cast<std::uint32_t>(step.count));
    image.set_cpu_millis(step.taskResources.cpuMillis);
    image.set_memory_mb(step.taskResources.memoryMb);
    image.set_gpus(step.taskResources.gpus);
    image.set_estimated_ms(step.estimated.count());
    for (const int dependency : step.dependencies) {
        image.add_after(static_cast<std::uint32_t>(dependency));
    }
    image.set_saves_progress(step.savesProgress);
    image.set_gang(step.gang);
    image.set_same_rack(step.sameRack);
    image.set_allows_duplicates(step.allowsDuplicates);
    image.set_long_running(step.longRunning);
    image.set_fills(step.bestEffort);
    image.set_required_label(step.requiredLabel);
    image.set_data_rack(step.dataRack);
    image.set_image(step.image);
    image.set_max_per_worker(static_cast<std::uint32_t>(step.maxPerWorker));
    image.set_may_miss(static_cast<std::uint32_t>(step.maxUnavailable));
    image.set_target_ms(step.tailLatencyTarget.count());
}

step_spec fromImage(const wire::step_image &image)
{
    step_spec step;
    step.count = static_cast<int>(image.count());
    step.taskResources = { image.cpu_millis(), image.memory_mb(), image.gpus() };
    step.estimated = milliseconds(image.estimated_ms());
    step.dependencies.assign(image.after().begin(), image.after().end());
    step.savesProgress = image.saves_progress();
    step.gang = image.gang();
    step.sameRack = image.same_rack();
    step.allowsDuplicates = image.allows_duplicates();
    step.longRunning = image.long_running();
    step.bestEffort = image.fills();
    step.requiredLabel = image.required_label();
    step.dataRack = image.data_rack();
    step.image = image.image();
    step.maxPerWorker = static_cast<int>(image.max_per_worker());
    step.maxUnavailable = static_cast<int>(image.may_miss());
    step.tailLatencyTarget = milliseconds(image.target_ms());
    return step;
}

void writeImage(const task_progress &task, wire::task_image &image)
{
    image.set_phase(static_cast<std::uint32_t>(task.phase));
    image.set_run(static_cast<std::uint32_t>(task.run));
    image.set_failures(static_cast<std::uint32_t>(task.failures));
    image.set_checkpoint(task.checkpoint);
    image.set_worker(task.worker);
    image.set_born(task.startTimeMs);
}

std::size_t taskBytesAtMost(const step_spec &step)
{
    wire::task_image image;
    image.set_phase(static_cast<std::uint32_t>(task_phase::failed));
    image.set_run(MAX_RUNS_OF_A_TASK);
    image.set_failures(MAX_RUNS_OF_A_TASK);
    image.set_checkpoint(std::string(step.savesProgress ? MAX_CHECKPOINT_BYTES : 0, 'x'));
    image.set_worker(std::string(MAX_WORKER_ID_BYTES, 'x'));
    image.set_born(LATEST_START_MS);
    return image.ByteSizeLong() + ENTRY_FRAME_BYTES;
}

// Upper bound of the number of bytes that an occurrence under way adds to the image of a job.
std::size_t occurrenceBytesAtMost(const job_request &request)
{
    std::size_t bytes = OCCURRENCE_FRAME_BYTES;
    for (const step_spec &step : request.steps) {
        bytes += static_cast<std::size_t>(step.count) * taskBytesAtMost(step);
    }
    return bytes;
}

task_progress fromImage(const wire::task_image &image)
{
    task_progress task;
    task.phase = static_cast<task_phase>(std::min(image.phase(), 3U));
    task.run = static_cast<int>(image.run());
    task.failures = static_cast<int>(image.failures());
    task.checkpoint = image.checkpoint();
    task.worker = image.worker();
    task.startTimeMs = image.born();
    return task;
}

bool parseNumber(std::string_view text, int &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

bool isAssigned(const task_progress &task)
{
    return task.phase == task_phase::assigned;
}

template <typename Predicate> bool anyTaskOf(const occurrence_progress &occurrence, Predicate predicate)
{
    return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [&predicate](const auto &tasks) { return std::any_of(tasks.begin(), tasks.end(), predicate); });
}

void setDone(task_progress &task)
{
    task = { task_phase::done, task.run, task.failures, {}, {}, 0, {} };
}

} // namespace

resources &resources::operator+=(const resources &other)
{
    cpuMillis += other.cpuMillis;
    memoryMb += other.memoryMb;
    gpus += other.gpus;
    return *this;
}

resources &resources::operator-=(const resources &other)
{
    cpuMillis -= other.cpuMillis;
    memoryMb -= other.memoryMb;
    gpus -= other.gpus;
    return *this;
}

bool resources::fitsIn(const resources &capacity) const
{
    return cpuMillis <= capacity.cpuMillis && memoryMb <= capacity.memoryMb && gpus <= capacity.gpus;
}

std::string task_key::text() const
{
    return fmt::format("{}.{}.{}.{}", job.text(), occurrence, step, index);
}

std::string task_key::stepText() const
{
    return fmt::format("{}.{}.{}", job.text(), occurrence, step);
}

std::optional<task_key> task_key::parse(const std::string &text)
{
    std::array<std::string_view, 4> parts;
    std::string_view remaining = text;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const std::size_t dot = remaining.find('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        parts[i] = remaining.substr(0, dot);
        remaining.remove_prefix(dot + 1);
    }
    parts[3] = remaining;
    task_key key;
    key.job = parts[0];
    const bool numbersValid = parseNumber(parts[1], key.occurrence) && parseNumber(parts[2], key.step) && parseNumber(parts[3], key.index);
    return numbersValid && !key.job.empty() ? std::optional(key) : std::nullopt;
}

job job::accept(const job_request &request, wall_ms now)
{
    job accepted;
    accepted.m_request = request;
    accepted.m_criticalPaths = criticalPaths(request.steps);
    accepted.m_acceptedAt = now;
    if (!accepted.isRecurring()) {
        accepted.addOccurrence(0);
    }
    return accepted;
}

occurrence_progress &job::addOccurrence(int number)
{
    occurrence_progress &added = m_occurrences[number];
    for (const step_spec &step : m_request.steps) {
        added.steps.emplace_back(static_cast<std::size_t>(step.count));
        added.unfinishedTasks.push_back(step.count);
    }
    return added;
}

std::optional<job> job::fromImage(const wire::job_image &image)
{
    job restored;
    restored.m_request = { image.id(),
                           image.queue(),
                           image.team(),
                           image.spec(),
                           {},
                           static_cast<int>(image.repeat_count()),
                           image.first_run_ms(),
                           milliseconds(image.interval_ms()) };
    std::size_t taskCount = 0;
    for (const wire::step_image &step : image.steps()) {
        restored.m_request.steps.push_back(jujubespool::fromImage(step));
        taskCount += step.count();
    }
    restored.m_criticalPaths = criticalPaths(restored.m_request.steps);
    restored.m_state = static_cast<job_state>(std::min(image.state(), 4U));
    restored.m_acceptedAt = image.accepted_ms();
    restored.m_endedAt = image.ended_ms();
    restored.m_end = { image.ended_ledger_ms(), image.ended_epoch() };
    restored.m_endDurable = restored.ended();
    for (const wire::occurrence_image &entry : image.occurrences()) {
        occurrence_progress &added = restored.addOccurrence(static_cast<int>(entry.number()));
        added.ended = entry.ended();
        if (added.ended) {
            std::fill(added.unfinishedTasks.begin(), added.unfinishedTasks.end(), 0);
            continue;
        }
        if (static_cast<std::size_t>(entry.tasks_size()) != taskCount) {
            return std::nullopt;
        }
        int next = 0;
        for (std::size_t step = 0; step < added.steps.size(); ++step) {
            for (task_progress &task : added.steps[step]) {
                task = jujubespool::fromImage(entry.tasks(next++));
                added.unfinishedTasks[step] -= task.phase == task_phase::done ? 1 : 0;
            }
            const int number = static_cast<int>(step);
            if (restored.endsTogether(number) && added.unfinishedTasks[step] < restored.step(number).count) {
                restored.markGangDone(added, number);
            }
        }
    }
    return restored;
}

wire::job_image job::toImage() const
{
    wire::job_image image;
    writeImage(image);
    return image;
}

void job::writeImage(wire::job_image &image) const
{
    image.Clear();
    image.set_id(m_request.id.text());
    image.set_queue(m_request.queue);
    image.set_team(m_request.team);
    image.set_repeat_count(static_cast<std::uint32_t>(m_request.repeatCount));
    image.set_first_run_ms(m_request.firstRun);
    image.set_interval_ms(static_cast<std::uint64_t>(m_request.interval.count()));
    image.set_accepted_ms(m_acceptedAt);
    image.set_ended_ms(m_endedAt);
    image.set_ended_ledger_ms(m_end.at);
    image.set_ended_epoch(m_end.epoch);
    image.set_state(static_cast<std::uint32_t>(m_state));
    if (ended() && !hasAssigned()) {
        return;
    }
    image.set_spec(m_request.spec);
    for (const step_spec &step : m_request.steps) {
        jujubespool::writeImage(step, *image.add_steps());
    }
    for (const auto &[number, progress] : m_occurrences) {
        wire::occurrence_image &entry = *image.add_occurrences();
        entry.set_number(static_cast<std::uint32_t>(number));
        entry.set_ended(progress.ended);
        if (progress.ended) {
            continue;
        }
        for (const auto &tasks : progress.steps) {
            for (const task_progress &task : tasks) {
                jujubespool::writeImage(task, *entry.add_tasks());
            }
        }
    }
}

void job::setState(job_state state, wall_ms now)
{
    m_state = state;
    if (ended()) {
        m_endedAt = now;
    }
}

bool job::isLongRunning() const
{
    return std::any_of(m_request.steps.begin(), m_request.steps.end(), [](const step_spec &step) { return step.longRunning; });
}

wall_ms job::dueAt(int occurrence) const
{
    return isRecurring() ? m_request.firstRun + static_cast<wall_ms>(m_request.interval.count() * occurrence) : 0;
}

std::size_t job::imageBytesAtMost(const job_request &request)
{
    job withoutProgress;
    withoutProgress.m_request = request;
    return withoutProgress.toImage().ByteSizeLong() + END_BYTES + occurrenceBytesAtMost(request);
}

bool job::addDueOccurrences(wall_ms now, std::size_t maxImageBytes)
{
    if (!isRecurring() || ended()) {
        return false;
    }
    bool added = false;
    int next = m_occurrences.empty() ? 0 : m_occurrences.rbegin()->first + 1;
    if (next >= m_request.repeatCount || dueAt(next) > now) {
        return false;
    }
    const std::size_t occurrenceBytes = occurrenceBytesAtMost(m_request);
    std::size_t bytes = imageBytesAtMost(m_request);
    for (const auto &[number, occurrence] : m_occurrences) {
        bytes += occurrence.ended ? OCCURRENCE_FRAME_BYTES : occurrenceBytes;
    }
    while (next < m_request.repeatCount && dueAt(next) <= now && bytes <= maxImageBytes) {
        addOccurrence(next++);
        added = true;
        bytes += occurrenceBytes;
    }
    return added;
}

bool job::stepReady(const occurrence_progress &occurrence, int step) const
{
    const std::vector<int> &dependencies = this->step(step).dependencies;
    return std::all_of(dependencies.begin(), dependencies.end(),
                       [&](int dependency) { return occurrence.unfinishedTasks[static_cast<std::size_t>(dependency)] == 0; });
}

task_progress *job::task(const task_key &key)
{
    const auto found = m_occurrences.find(key.occurrence);
    if (found == m_occurrences.end() || key.step >= static_cast<int>(found->second.steps.size())) {
        return nullptr;
    }
    auto &tasks = found->second.steps[static_cast<std::size_t>(key.step)];
    return key.index < static_cast<int>(tasks.size()) ? &tasks[static_cast<std::size_t>(key.index)] : nullptr;
}

bool job::isDone(const task_key &key) const
{
    const occurrence_progress &occurrence = m_occurrences.at(key.occurrence);
    const auto step = static_cast<std::size_t>(key.step);
    if (endsTogether(key.step)) {
        return occurrence.unfinishedTasks[step] == 0;
    }
    return occurrence.steps[step][static_cast<std::size_t>(key.index)].phase == task_phase::done;
}

void job::alignGang(const task_key &key)
{
    std::vector<task_progress> &members = m_occurrences.at(key.occurrence).steps[static_cast<std::size_t>(key.step)];
    int failures = 0;
    std::string checkpoint;
    for (const task_progress &member : members) {
        failures = std::max(failures, member.failures);
        checkpoint = checkpoint.empty() ? member.checkpoint : checkpoint;
    }
    for (task_progress &member : members) {
        member.failures = failures;
        member.checkpoint = checkpoint;
    }
}

void job::setCheckpoint(const task_key &key, const std::string &checkpoint)
{
    task_progress *entry = task(key);
    if (checkpoint.empty() || entry == nullptr || entry->checkpoint == checkpoint || isDone(key)) {
        return;
    }
    if (!step(key.step).gang) {
        entry->checkpoint = checkpoint;
        return;
    }
    for (task_progress &member : m_occurrences.at(key.occurrence).steps[static_cast<std::size_t>(key.step)]) {
        member.checkpoint = checkpoint;
    }
}

void job::markDone(const task_key &key)
{
    task_progress *entry = task(key);
    if (entry == nullptr || entry->phase == task_phase::done) {
        return;
    }
    setDone(*entry);
    occurrence_progress &occurrence = m_occurrences[key.occurrence];
    if (endsTogether(key.step)) {
        markGangDone(occurrence, key.step);
    } else {
        --occurrence.unfinishedTasks[static_cast<std::size_t>(key.step)];
    }
}

void job::markGangDone(occurrence_progress &occurrence, int step) const
{
    const auto number = static_cast<std::size_t>(step);
    occurrence.unfinishedTasks[number] = 0;
    for (task_progress &member : occurrence.steps[number]) {
        if (member.phase == task_phase::waiting) {
            setDone(member);
        }
    }
}

bool job::markFinishedOccurrences()
{
    // All occurrences before the first that is kept have ended.
    bool all = !m_occurrences.empty() && m_occurrences.rbegin()->first + 1 == occurrenceCount();
    for (auto &[number, progress] : m_occurrences) {
        const std::vector<int> &unfinished = progress.unfinishedTasks;
        const bool done = progress.ended || std::all_of(unfinished.begin(), unfinished.end(), [](int count) { return count == 0; });
        progress.ended = progress.ended || (done && !anyTaskOf(progress, isAssigned));
        all = all && done;
    }
    std::erase_if(m_occurrences, [latest = m_occurrences.empty() ? 0 : m_occurrences.rbegin()->first](const auto &entry) {
        return entry.second.ended && entry.first != latest;
    });
    return all;
}

template <typename Predicate> bool job::anyTask(Predicate predicate) const
{
    return std::any_of(m_occurrences.begin(), m_occurrences.end(),
                       [&predicate](const auto &entry) { return anyTaskOf(entry.second, predicate); });
}

bool job::hasStarted() const
{
    const auto hasEnded = [](const auto &entry) {
        return entry.second.ended;
    };
    // The number of the last run says nothing, because it is given when the start is ordered, and the worker may refuse it.
    return m_started || std::any_of(m_occurrences.begin(), m_occurrences.end(), hasEnded) || anyTask([](const task_progress &task) {
               return task.phase == task_phase::done || task.phase == task_phase::failed || task.failures > 0 || !task.checkpoint.empty();
           });
}

bool job::hasAssigned() const
{
    return anyTask(isAssigned);
}

std::vector<milliseconds> criticalPaths(const std::vector<step_spec> &steps)
{
    // Steps depend on earlier steps only, so one pass from the last step to the first is enough.
    std::vector<milliseconds> longest(steps.size(), milliseconds(0));
    for (std::size_t i = steps.size(); i-- > 0;) {
        longest[i] += steps[i].estimated;
        for (const int dependency : steps[i].dependencies) {
            longest[static_cast<std::size_t>(dependency)] = std::max(longest[static_cast<std::size_t>(dependency)], longest[i]);
        }
    }
    return longest;
}

const job_demand &job::demand() const
{
    if (!m_demand) {
        m_demand = computeDemand();
    }
    return *m_demand;
}

job_demand job::computeDemand() const
{
    job_demand demand;
    for (const auto &[number, occurrence] : m_occurrences) {
        for (std::size_t i = 0; !occurrence.ended && i < occurrence.steps.size(); ++i) {
            const int unfinished = occurrence.unfinishedTasks[i];
            if (unfinished == 0) {
                continue;
            }
            const step_spec &spec = m_request.steps[i];
            const std::int64_t cpuMillis = spec.taskResources.cpuMillis;
            demand.coreSecondsLeft += unfinished * static_cast<double>(cpuMillis) * static_cast<double>(spec.estimated.count()) / 1e6;
            demand.remainingPath = std::max(demand.remainingPath, m_criticalPaths[i]);
            const bool ready = stepReady(occurrence, static_cast<int>(i));
            for (const task_progress &task : occurrence.steps[i]) {
                const bool waiting = ready && task.phase == task_phase::waiting;
                demand.hasWaitingTasks = demand.hasWaitingTasks || waiting;
                if (!spec.bestEffort) {
                    demand.usedMillis += task.phase == task_phase::assigned ? cpuMillis : 0;
                    demand.waitingMillis += waiting ? cpuMillis : 0;
                }
            }
        }
    }
    return demand;
}

milliseconds job::criticalPathLength() const
{
    return m_criticalPaths.empty() ? milliseconds(0) : *std::max_element(m_criticalPaths.begin(), m_criticalPaths.end());
}

} // namespace jujubespool

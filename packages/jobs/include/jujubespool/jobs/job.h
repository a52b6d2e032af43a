// Jobs: steps of tasks that run on workers, with their progress.
//
//     job item = job::accept(request, wallNow);
//     if (item.stepReady(occurrence, 0)) { ... }
//     const wire::job_image image = item.toImage();
//
// A job is plain state. What changes it decides elsewhere (job_manager.h); what is kept of it is its image.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/time.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jujubespool {

// Processors in thousandths of a core, memory in megabytes, accelerators.
struct resources
{
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    resources &operator+=(const resources &other);
    resources &operator-=(const resources &other);
    bool operator==(const resources &other) const = default;
    bool fitsIn(const resources &room) const;
};

struct step_spec
{
    int count = 0;
    resources taskResources;
    milliseconds estimated{ 0 };
    // Earlier steps whose tasks must all be done before this one starts.
    std::vector<int> dependencies;
    bool savesProgress = false;
    // All tasks of a run work together or not at all.
    bool gang = false;
    bool sameRack = false;
    bool allowsDuplicates = false;
    // The tasks run until the job is cancelled.
    bool longRunning = false;
    // The tasks use only capacity that others leave, and their processors are not counted.
    bool bestEffort = false;
    std::string requiredLabel;
    std::string dataRack;
    std::string image;
    // Most tasks of an occurrence on one worker; 0 for no bound.
    int maxPerWorker = 0;
    // Tasks that may be away at once through our own actions; 0 for no promise.
    int maxUnavailable = 0;
    // Bound of the tail of the response times of the tasks' own callers; 0 for none.
    milliseconds tailLatencyTarget{ 0 };
};

struct job_request
{
    std::string id;
    std::string queue;
    std::string team;
    std::string spec;
    std::vector<step_spec> steps;
    // 0 for a job that runs once, at once.
    int repeatCount = 0;
    wall_ms firstRun = 0;
    milliseconds interval{ 0 };
};

enum class job_state { queued, running, completed, failed, cancelled };

template <> struct enum_names<job_state>
{
    static constexpr std::array<std::string_view, 5> NAMES{ "queued", "running", "completed", "failed", "cancelled" };
};

enum class task_phase { waiting, assigned, done, failed };

template <> struct enum_names<task_phase>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "waiting", "assigned", "done", "failed" };
};

struct task_progress
{
    task_phase phase = task_phase::waiting;
    // Number of the last run; 0 before the first.
    int run = 0;
    // Runs that have failed by themselves.
    int failures = 0;
    std::string checkpoint;
    // While assigned: the worker's life that runs the task.
    std::string worker;
    std::uint64_t startTimeMs = 0;
};

// Names one task of a job.
struct task_key
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const task_key &other) const = default;
    bool operator<(const task_key &other) const
    {
        return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }
    std::string text() const;
    static std::optional<task_key> parse(const std::string &text);
};

struct occurrence_progress
{
    // No task will start any more and none runs.
    bool ended = false;
    // One row a step, one entry a task.
    std::vector<std::vector<task_progress>> steps;
    // Tasks of each step that are not done yet.
    std::vector<int> open;
};

class job
{
public:
    static job accept(const job_request &request, wall_ms now);
    static std::optional<job> fromImage(const wire::job_image &image);
    wire::job_image toImage() const;

    const job_request &request() const
    {
        return m_request;
    }
    const step_spec &step(int number) const
    {
        return m_request.steps[static_cast<std::size_t>(number)];
    }
    job_state state() const
    {
        return m_state;
    }
    bool ended() const
    {
        return m_state >= job_state::completed;
    }
    void setState(job_state state, wall_ms now);
    wall_ms acceptedAt() const
    {
        return m_acceptedAt;
    }
    wall_ms endedAt() const
    {
        return m_endedAt;
    }
    bool isRecurring() const
    {
        return m_request.repeatCount > 0;
    }
    bool isLongRunning() const;
    int occurrenceCount() const
    {
        return isRecurring() ? m_request.repeatCount : 1;
    }
    // Time at which the occurrence may start; 0 for a job without times.
    wall_ms dueAt(int occurrence) const;
    // Begins the occurrences that are due. Returns true when there was one.
    bool addDueOccurrences(wall_ms now);
    std::map<int, occurrence_progress> &occurrences()
    {
        return m_occurrences;
    }
    const std::map<int, occurrence_progress> &occurrences() const
    {
        return m_occurrences;
    }
    // All steps that the step waits for are done.
    bool stepReady(const occurrence_progress &occurrence, int step) const;
    task_progress *task(const task_key &key);
    void markDone(const task_key &key);
    // Marks an occurrence as ended once all its tasks are done. Returns true when the whole job is done.
    bool markFinishedOccurrences();
    bool hasStarted() const;
    bool hasAssigned() const;
    // Longest chain of estimated work from the step to the end of the job, the step's own included.
    milliseconds criticalPathFrom(std::size_t step) const
    {
        return m_criticalPaths[step];
    }
    // Longest chain of the whole job.
    milliseconds criticalPathLength() const;

private:
    template <typename Predicate> bool anyTask(Predicate predicate) const;
    occurrence_progress &addOccurrence(int number);

    job_request m_request;
    job_state m_state = job_state::queued;
    wall_ms m_acceptedAt = 0;
    wall_ms m_endedAt = 0;
    std::map<int, occurrence_progress> m_occurrences;
    std::vector<milliseconds> m_criticalPaths;
};

// Longest chain of estimated work from each step to the end of the job, the step's own included.
std::vector<milliseconds> criticalPaths(const std::vector<step_spec> &steps);

} // namespace jujubespool

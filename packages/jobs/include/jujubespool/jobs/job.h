// A job consists of steps, and each step of tasks that run on workers. This header holds the request and the progress of a job.
//
//     job accepted = job::accept(request, wallNow);
//     if (accepted.stepReady(occurrence, 0)) { ... }
//     const wire::job_image image = accepted.toImage();
//
// A job only holds state. job_manager decides how the state changes and stores the image of the job in the ledger.
#pragma once

#include <cstdint>
#include <jujubespool/core/enum_names.h>
#include <jujubespool/core/interned_name.h>
#include <jujubespool/core/time.h>
#include <jujubespool/jobs/ledger_clock.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jujubespool {

// What the tasks of a step run. Tasks of the same image behave alike.
using image_name = interned_name<struct image_name_tag>;

// CPU in thousandths of a core, memory in megabytes, and the number of GPUs.
struct resources
{
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    resources &operator+=(const resources &other);
    resources &operator-=(const resources &other);
    bool operator==(const resources &other) const = default;
    bool fitsIn(const resources &capacity) const;
};

struct step_spec
{
    // Number of tasks in the step.
    int count = 0;
    resources taskResources;
    // Expected run time of one task.
    milliseconds estimated{ 0 };
    // Indexes of earlier steps. All their tasks must be done before this step starts.
    std::vector<int> dependencies;
    // The tasks write checkpoints, from which a later run continues.
    bool savesProgress = false;
    // Gang scheduling: the tasks of the step start together, or none of them starts, and they end as done together.
    bool gang = false;
    // The tasks of a gang should run on one rack.
    bool sameRack = false;
    bool allowsDuplicates = false;
    // The tasks run until the job is cancelled.
    bool longRunning = false;
    // The tasks use only CPU that other tasks leave unused. Their CPU demand is not counted; their memory is.
    bool bestEffort = false;
    // Label that a worker must have; empty for any worker.
    std::string requiredLabel;
    // Rack that stores the input data and is preferred; empty for none.
    std::string dataRack;
    std::string image;
    // Maximum number of tasks of an occurrence on one worker; 0 for no limit.
    int maxPerWorker = 0;
    // Maximum number of tasks that the manager's own actions may interrupt at the same time; 0 for no limit.
    int maxUnavailable = 0;
    // Upper bound for the tail latency that the callers of the tasks see; 0 for none.
    milliseconds tailLatencyTarget{ 0 };
};

// Identifier of a job, 16 hexadecimal digits.
using job_id = interned_name<struct job_id_tag>;

struct job_request
{
    job_id id;
    std::string queue;
    std::string team;
    std::string spec;
    std::vector<step_spec> steps;
    // Number of occurrences of a recurring job; 0 for a job that runs once and starts immediately.
    int repeatCount = 0;
    // Due time of the first occurrence of a recurring job.
    wall_ms firstRun = 0;
    // Time between the due times of successive occurrences.
    milliseconds interval{ 0 };
};

// When a job has ended, on the clock of the ledger, and the epoch of the owner that recorded it.
struct end_record
{
    ledger_ms at = 0;
    std::uint64_t epoch = 0;
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
    // Number of the latest run; 0 before the first run.
    int run = 0;
    // Number of runs that the task itself failed, as opposed to runs that were stopped or lost. For a member of a gang, this is the
    // number of earlier runs that any member failed, and the present one if this member has failed it.
    int failures = 0;
    // Latest checkpoint; empty if there is none.
    std::string checkpoint;
    // While assigned: the worker that runs the task, and the start time of its incarnation in Unix milliseconds.
    std::string worker;
    std::uint64_t startTimeMs = 0;
    // Workers on which a run of the task has failed. Not part of the image.
    std::set<std::string> failedOn;
};

// Identifies one task of a job.
struct task_key
{
    job_id job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const task_key &other) const = default;
    bool operator<(const task_key &other) const
    {
        return job == other.job ? std::tie(occurrence, step, index) < std::tie(other.occurrence, other.step, other.index) : job < other.job;
    }
    // The key in the form "job.occurrence.step.index".
    std::string text() const;
    // The key of the task's step in the form "job.occurrence.step", by which the policy service knows it.
    std::string stepText() const;
    // Empty if the text does not have that form.
    static std::optional<task_key> parse(const std::string &text);
};

struct occurrence_progress
{
    // No task is running and none will start again.
    bool ended = false;
    // One row per step, with one entry per task.
    std::vector<std::vector<task_progress>> steps;
    // For each step, the number of tasks that are not done yet. It is 0 for a gang of which one member has ended as done.
    std::vector<int> unfinishedTasks;
};

// What the tasks of a job that are not done yet need. Scheduling reads it for each job in each pass.
struct job_demand
{
    // CPU of the assigned tasks and of the waiting tasks whose step is ready, in thousandths of a core. Best-effort tasks do
    // not count, because they use only CPU that other tasks leave unused.
    std::int64_t usedMillis = 0;
    std::int64_t waitingMillis = 0;
    // At least one task of a ready step waits, which may be a best-effort task.
    bool hasWaitingTasks = false;
    // Estimated work of the tasks that are not done, in core seconds.
    double coreSecondsLeft = 0;
    // Estimated time of the longest dependency chain of tasks that are not done.
    milliseconds remainingPath{ 0 };

    bool operator==(const job_demand &other) const = default;
};

class job
{
public:
    // Creates a queued job. A job that is not recurring gets its only occurrence at once.
    static job accept(const job_request &request, wall_ms now);
    // Upper bound of the number of bytes of the job's image, whatever happens to its tasks. A recurring job counts with one occurrence.
    static std::size_t imageBytesAtMost(const job_request &request);
    // Empty if the number of tasks in the image does not match its steps.
    static std::optional<job> fromImage(const wire::job_image &image);
    wire::job_image toImage() const;
    // Writes the image over the given one, whose memory is used again.
    void writeImage(wire::job_image &image) const;

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
    // Also records the end time when the new state is final.
    void setState(job_state state, wall_ms now);
    wall_ms acceptedAt() const
    {
        return m_acceptedAt;
    }
    wall_ms endedAt() const
    {
        return m_endedAt;
    }
    // Not recorded until recordEnd() is called, and in a job that an earlier version has recorded.
    const end_record &endRecord() const
    {
        return m_end;
    }
    void recordEnd(const end_record &end)
    {
        m_end = end;
    }
    // True when the final state is durable, so that callers may read it.
    bool isEndDurable() const
    {
        return m_endDurable;
    }
    void markEndDurable()
    {
        m_endDurable = true;
    }
    bool isRecurring() const
    {
        return m_request.repeatCount > 0;
    }
    // True when at least one step is long-running.
    bool isLongRunning() const;
    int occurrenceCount() const
    {
        return isRecurring() ? m_request.repeatCount : 1;
    }
    // Earliest start time of the occurrence; 0 for a job that is not recurring.
    wall_ms dueAt(int occurrence) const;
    // Adds the occurrences of a recurring job that are due, as far as the image of the job then certainly has no more bytes than the given
    // number. The others are added once earlier ones have ended. Returns true if at least one was added.
    bool addDueOccurrences(wall_ms now, std::size_t maxImageBytes);
    std::map<int, occurrence_progress> &occurrences()
    {
        return m_occurrences;
    }
    const std::map<int, occurrence_progress> &occurrences() const
    {
        return m_occurrences;
    }
    // True when all dependencies of the step are done.
    bool stepReady(const occurrence_progress &occurrence, int step) const;
    // Null if the job has no such task.
    task_progress *task(const task_key &key);
    // The tasks of the step end as done together, so that one such end represents all of them.
    bool endsTogether(int step) const
    {
        return this->step(step).gang && !this->step(step).longRunning;
    }
    // True when the task has ended as done, or another member of its gang has.
    bool isDone(const task_key &key) const;
    // True when a run of the task is still of use.
    bool needsRun(const task_key &key) const
    {
        return !ended() && !isDone(key);
    }
    // Prepares the next run of the step's gang: a run that any member failed is an attempt of each of them, and all have the same
    // checkpoint.
    void alignGang(const task_key &key);
    // Sets the checkpoint from which the next run of the task continues, or of all tasks of its gang. An empty one has no effect.
    void setCheckpoint(const task_key &key, const std::string &checkpoint);
    // Marks the task as done. A gang's other members need no further run: those that wait are marked as done at once, those that are
    // assigned remain so until their run has left its worker.
    void markDone(const task_key &key);
    // Marks each occurrence as ended whose tasks are all done and have left their workers, and forgets ended ones but for the latest.
    // Returns true when the whole job is done.
    bool markFinishedOccurrences();
    // A worker has a run of one of the tasks. Returns true if it is the first.
    bool recordStart()
    {
        return !std::exchange(m_started, true);
    }
    // True when at least one task has had a run. After a change of owner, a run that left no trace in the job doesn't count.
    bool hasStarted() const;
    // True when at least one task is assigned to a worker.
    bool hasAssigned() const;
    // Estimated time of the longest dependency chain from the step to the end of the job, including the step itself.
    milliseconds criticalPathFrom(std::size_t step) const
    {
        return m_criticalPaths[step];
    }
    // Estimated time of the longest dependency chain of the whole job.
    milliseconds criticalPathLength() const;
    // The demand is computed once after each change.
    const job_demand &demand() const;
    // Must be called after each change of the job's progress. Returns false if the demand has not been computed since the last change.
    bool markDemandChanged()
    {
        const bool computed = m_demand.has_value();
        m_demand.reset();
        return computed;
    }

private:
    template <typename Predicate> bool anyTask(Predicate predicate) const;
    occurrence_progress &addOccurrence(int number);
    void markGangDone(occurrence_progress &occurrence, int step) const;
    job_demand computeDemand() const;

    job_request m_request;
    job_state m_state = job_state::queued;
    wall_ms m_acceptedAt = 0;
    wall_ms m_endedAt = 0;
    end_record m_end;
    // Not part of the image.
    bool m_started = false;
    bool m_endDurable = false;
    std::map<int, occurrence_progress> m_occurrences;
    std::vector<milliseconds> m_criticalPaths;
    mutable std::optional<job_demand> m_demand;
};

// For each step, the estimated time of the longest dependency chain from it to the end of the job, including the step itself.
std::vector<milliseconds> criticalPaths(const std::vector<step_spec> &steps);

} // namespace jujubespool

// Chooses the worker that runs a task.
//
//     worker *target = chooseWorker(workersOfThePool, request, now);
//
// Tasks that finish by themselves are packed, so that whole workers stay free for large tasks and can be switched off.
// Long-running and best-effort tasks are spread, because they slow each other down. Where they fit, the tasks of a job that
// is not long-running are placed in one data centre, so that the loss of a data centre delays a few jobs instead of a part
// of nearly all jobs.
#pragma once

#include <functional>
#include <jujubespool/jobs/interference_model.h>
#include <jujubespool/jobs/worker_registry.h>

namespace jujubespool {

struct placement_request
{
    task_key task;
    const step_spec *step = nullptr;
    std::string pool;
    // Rack on which the task must run; empty for any rack.
    std::string rack;
    // Data centre that is preferred for the tasks of the job; empty for none.
    std::string preferredDataCenter;
    // Worker that ran the task last, used only if no other worker fits; empty for none.
    std::string avoidedWorker;
    // Additional condition that the worker must meet; empty for none.
    std::function<bool(const worker &)> isPermitted;
    // Workers on which the task has failed, used only if no other worker fits; null for none.
    const std::set<std::string> *failedOn = nullptr;
    // The task may run on a worker that leaves the pool if no other one can take it.
    bool mayUseLeavingWorkers = false;
    // What is known of tasks that slow each other down; null for nothing. Such tasks are placed together only if no other worker fits.
    const interference_model *interference = nullptr;
};

// Whether a task of the step may run on a worker that leaves the pool: always if it lasts or starts together with others, otherwise if no
// task of the step runs and none of the workers that stay could hold one after its runs that end. The pool could give no host away if each
// waiting step took it.
bool mayUseLeavingWorkers(const step_spec &step, const std::vector<task_progress> &tasks, bool stayingWorkerCanHoldTask);

// True when the worker stays in its pool and one task of the step would fit if only the long-running tasks ran there.
bool canHoldBesideLongRunningTasks(const worker &target, const step_spec &step);

// True when the worker is listed, ready and polled, and is neither avoided nor cordoned nor evacuated.
bool acceptsNewTasks(const worker &target, instant now);

// The same without regard to a cordon.
bool wouldAcceptUncordoned(const worker &target, instant now);

// True when the worker has the required label and one task of the step would fit if nothing else ran there.
bool fitsWhenEmpty(const worker &target, const step_spec &step);

// True when the worker accepts new tasks, has free capacity for the task and meets all conditions of the request and the step.
bool isEligible(const worker &target, const placement_request &request, instant now);

// The eligible workers in the order in which chooseWorker prefers them.
std::vector<worker *> eligibleWorkers(const std::vector<worker *> &workers, const placement_request &request, instant now);

// Number of tasks of the step that the worker has free capacity for, without exceeding the step's maximum per worker.
std::int64_t countFreeSlots(const worker &target, const placement_request &request);

// Null when none of the workers is eligible.
worker *chooseWorker(const std::vector<worker *> &workers, const placement_request &request, instant now);

} // namespace jujubespool

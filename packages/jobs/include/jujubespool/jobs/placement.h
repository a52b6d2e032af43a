// Chooses the worker for one task.
//
//     worker *target = chooseWorker(workersOfThePool, request, now);
//
// Tasks that end are packed, so that whole workers stay free for large tasks and for switching off. Tasks that
// last and tasks that fill are spread, because they disturb each other. The tasks of a job that ends keep to one data
// centre where they fit, so that the loss of a data centre delays few jobs instead of a part of nearly all.
#pragma once

#include <functional>
#include <jujubespool/jobs/worker_registry.h>

namespace jujubespool {

struct placement_request
{
    task_key task;
    const step_spec *step = nullptr;
    std::string pool;
    // Rack on which the task has to run; empty for any.
    std::string rack;
    // Data centre that the job keeps to if it can; empty for any.
    std::string homeDataCenter;
    // Worker on which the task failed last; taken only if no other fits.
    std::string avoid;
    // Further condition on the worker, if any.
    std::function<bool(const worker &)> permitted;
};

// The worker is in service and nothing speaks against new work there.
bool acceptsNewTasks(const worker &target, instant now);

// The step's tasks would fit on the worker if it were empty.
bool fitsWhenEmpty(const worker &target, const step_spec &step);

// The conditions besides the step's own count: label, size and, on the worker, room.
bool isEligible(const worker &target, const placement_request &request, instant now);

// Null when none of the workers has room now.
worker *chooseWorker(const std::vector<worker *> &workers, const placement_request &request, instant now);

} // namespace jujubespool

// Works out why an accepted task does not run.
//
//     const std::optional<wait_reason> reason = waitReasonOf(model, tickets, key, { now, storeUnresponsiveFor, confirmed });
//     if (reason) { log.write("task-waiting", { { "reason", std::string(nameOf(*reason)) } }); }
//
// The functions read the model and change nothing. They ask the same functions as the scheduler which workers are eligible, so that the
// reason follows the decision. waitReasonOf examines each worker of the fleet and is called for a few tasks a second at most.
#pragma once

#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/jobs/policy_ticket_cache.h>

namespace jujubespool {

enum class wait_reason {
    // The queue is in no configuration that this owner has read.
    queue_unknown,
    // A task of an earlier step is not done.
    dependency_not_done,
    store_does_not_answer,
    ownership_not_confirmed,
    // The tasks of a gang start together, and at least one of them does not wait.
    gang_incomplete,
    no_worker_in_pool,
    // No worker of the pool has the required label.
    required_label,
    // The task fits on no worker of the pool, even if nothing else ran there.
    task_too_large,
    // No suitable worker accepts tasks. These reasons name the cause of most of them.
    workers_not_listed,
    workers_not_polled,
    // Operators evacuate their data centres.
    workers_evacuated,
    workers_cordoned,
    // They do not answer polls.
    workers_silent,
    workers_failing_runs,
    workers_avoided,
    team_limit,
    max_per_worker,
    no_free_capacity,
    ticket_not_requested,
    // The policy service is busy with the requests for other steps.
    ticket_queued,
    ticket_pending,
    // The responses of the policy service are overdue, or it takes no requests.
    ticket_late,
    ticket_denied,
    gang_does_not_fit,
    // Nothing prevents the start: the next scheduling pass should place the task.
    could_run,
    // The run is placed, and its start is being recorded or ordered.
    start_not_answered,
    // A start order had no answer, so that the run may exist.
    start_in_doubt,
    being_stopped,
    // The run is placed on a worker that does not answer, until its lease has expired.
    worker_unresponsive,
    // The task counts as assigned, but its worker holds no such run in the model.
    placement_missing
};

template <> struct enum_names<wait_reason>
{
    static constexpr std::array<std::string_view, 30> NAMES{
        "queue-unknown",      "dependency-not-done", "store-does-not-answer", "ownership-not-confirmed", "gang-incomplete",
        "no-worker-in-pool",  "required-label",      "task-too-large",        "workers-not-listed",      "workers-not-polled",
        "workers-evacuated",  "workers-cordoned",    "workers-silent",        "workers-failing-runs",    "workers-avoided",
        "team-limit",         "max-per-worker",      "no-free-capacity",      "ticket-not-requested",    "ticket-queued",
        "ticket-pending",     "ticket-late",         "ticket-denied",         "gang-does-not-fit",       "could-run",
        "start-not-answered", "start-in-doubt",      "being-stopped",         "worker-unresponsive",     "placement-missing"
    };
};

// The state of the owner that the model does not hold.
struct owner_condition
{
    instant now;
    // Time for which the store has not answered an append.
    duration storeUnresponsiveFor{ 0 };
    bool ownershipConfirmed = true;
};

// True when the task waits, or its run is not known to run: it is unconfirmed, being stopped or on an unresponsive worker.
bool isHeldBack(const fleet_model &model, const task_key &key, const task_progress &task);

// No value if the task runs or has ended, or if there is no such task.
std::optional<wait_reason> waitReasonOf(const fleet_model &model, const policy_ticket_cache &tickets, const task_key &key,
                                        const owner_condition &condition);

} // namespace jujubespool

// Decides which waiting tasks start now, and on which workers.
//
//     run_scheduler scheduler;
//     const schedule_result result = scheduler.decide(model, tickets, now, wall);
//     for (const placement &placed : result.placements) { ... }
//
// Jobs are processed in the order of job_rank, and chooseWorker selects the worker for each task. Each placement is applied to
// the model at once, so that it counts for the placements after it.
#pragma once

#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/jobs/policy_ticket_cache.h>

namespace jujubespool {

struct placement
{
    task_key task;
    int run = 0;
    std::string worker;
    std::string ticket;
    // Latest time at which the start order may be sent with the ticket; empty without a ticket.
    std::optional<instant> ticketValidUntil = std::nullopt;
};

struct schedule_result
{
    std::vector<placement> placements;
    // Steps that need tickets of the policy service before they can be placed, with the workers to request tickets for.
    std::vector<ticket_request> ticketRequests;
    // Number of steps that wait until a request to the policy service may be sent for them, in pools that have room for the first of them.
    std::size_t stepsToRequest = 0;
    // If steps wait for tickets: when a pass may send further requests although no response has come.
    std::optional<instant> nextTicketRequestAt;
};

// Position of a job in the scheduling order of its pool. The job with the smaller rank is placed first.
struct job_rank
{
    int priority = 0;
    // The team already has its fair share of the pool without this job.
    bool exceedsShare = false;
    // The job can no longer meet its latency objective.
    bool late = false;
    // Estimated work of the tasks that are not done yet, in core seconds.
    double coreSecondsLeft = 0;
    wall_ms acceptedAt = 0;
    // Number of the job's identifier, which makes the order unique.
    std::uint64_t number = 0;

    bool operator<(const job_rank &other) const;
};

// Ranks the job without its team's share: exceedsShare stays false.
job_rank rankOf(const job &current, const queue_config &queue, wall_ms wall);

class run_scheduler
{
public:
    // Places waiting tasks in the model and returns the placements.
    schedule_result decide(fleet_model &model, const policy_ticket_cache &tickets, instant now, wall_ms wall) const;
};

} // namespace jujubespool

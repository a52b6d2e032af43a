// Decides which waiting tasks start now, and where.
//
//     run_scheduler scheduler;
//     for (const placement &item : scheduler.decide(model, now, wall)) { ... }
//
// The tasks of a pool are taken in the order of job_order; each goes to the worker that choose_worker picks.
// Placements are made in the model at once, so that each sees the ones before it.
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
};

struct schedule_result
{
    std::vector<placement> placements;
    // Steps that wait for advice, with the workers to ask about.
    std::vector<ticket_request> questions;
};

// How urgent a job is among those of its pool; the smaller goes first.
struct job_rank
{
    int priority = 0;
    // The team sends more than its share allows.
    bool exceedsShare = false;
    // The job cannot be on time any more.
    bool late = false;
    double coreSecondsLeft = 0;
    std::string id;

    bool operator<(const job_rank &other) const;
};

job_rank rankOf(const job &item, const queue_config &queue, wall_ms wall);

class run_scheduler
{
public:
    schedule_result decide(fleet_model &model, const policy_ticket_cache &advice, instant now, wall_ms wall) const;
};

} // namespace jujubespool

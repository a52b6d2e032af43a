// Finds the steps that wait although the processor time of their pool would suffice, and the hosts that they need.
//
// Such a step needs more memory, GPUs, a label, a limited number of tasks on each worker, all hosts of a gang at once, or any host at
// all for best-effort tasks, which need no processor time.
//
//     waiting_step_finder finder;
//     for (const pool_step &found : finder.find(model, poolsWithFreeCpu, now)) { ... }
//     step_fitter fitter(spaces);
//     const step_fit fit = fitter.fit(found.step);
#pragma once

#include <jujubespool/jobs/fleet_model.h>
#include <set>

namespace jujubespool {

// A step whose waiting tasks need hosts.
struct waiting_step
{
    // The first task of the step.
    task_key first;
    // What each task takes from a host. Best-effort tasks take no CPU.
    resources need;
    // Empty for any host.
    std::string requiredLabel;
    // Number of tasks that have to be placed for the step to make progress.
    int tasks = 0;
    // Maximum number of tasks of the step on one host; 0 for no limit.
    int maxPerHost = 0;
    // Either all tasks can be placed, or none.
    bool gang = false;
    // By worker: number of tasks of the step that run there, if that number is limited.
    std::map<std::string, int> running;
};

struct pool_step
{
    std::string pool;
    waiting_step step;
};

// Room on a host that a step may use.
struct host_space
{
    std::string host;
    std::string worker;
    resources free;
    // Null if the host has no labels.
    const std::vector<std::string> *labels = nullptr;
};

struct step_fit
{
    // Indexes of the spaces that hold the placed tasks, in ascending order.
    std::vector<std::size_t> spaces;
    int tasksPlaced = 0;
};

// Puts the tasks of the step into the spaces, the first ones first, and takes the room from them. Places no task of a gang that does
// not fit as a whole.
step_fit fitStep(const waiting_step &step, std::vector<host_space> &spaces);

// Places steps one after the other into the same spaces. A step is not tried if one that needs no more has not fitted: the room only
// shrinks.
class step_fitter
{
public:
    explicit step_fitter(std::vector<host_space> spaces);

    step_fit fit(const waiting_step &step);

private:
    std::vector<host_space> m_spaces;
    std::vector<waiting_step> m_rejected;
};

class waiting_step_finder
{
public:
    // Returns the steps that have waited for some time, as far as the limits of their teams allow their tasks. Steps that end are only
    // looked at in pools with enough free CPU: in the others, the CPU is what they wait for. Call regularly.
    std::vector<pool_step> find(const fleet_model &model, const std::set<std::string> &poolsWithFreeCpu, instant now);

private:
    struct search
    {
        std::map<task_key, instant> waitingSince;
        // By team: resources of the tasks in the steps found so far.
        std::map<std::string, resources> neededByTeam;
        std::vector<pool_step> found;
    };
    void addStep(const fleet_model &model, const job &current, const task_key &first, instant now, search &state) const;

    // By the first task of a step: the time since which the step waits.
    std::map<task_key, instant> m_waitingSince;
};

} // namespace jujubespool

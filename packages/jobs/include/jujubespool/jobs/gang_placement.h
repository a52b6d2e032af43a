// Decides whether all tasks of a gang fit on the workers at the same time, before any of them is placed.
//
//     const std::optional<std::string> rack = rackForGang(workersOfThePool, request, now);
//     if (rack) { ... }    // place all tasks with request.rack = *rack
//
// The tasks of a gang are tasks of one step and need the same resources, so each worker can hold a number of them that does not
// depend on where the others run. The gang fits if these numbers add up to its size; then its tasks can be placed one after the
// other, in any order and on any eligible worker. Nothing has to be undone, and a gang that does not fit leaves no trace.
#pragma once

#include <jujubespool/jobs/placement.h>
#include <optional>

namespace jujubespool {

// Number of tasks of the request's step that the worker could start now, at most all of them.
int countFittingTasks(const worker &target, const placement_request &request, instant now);

// Returns the rack on which the gang of the request's step should run: one that holds all its tasks if the step asks for it and there is
// one, otherwise an empty string for any racks. Empty when the gang does not fit on all workers together.
std::optional<std::string> rackForGang(const std::vector<worker *> &workers, const placement_request &request, instant now);

} // namespace jujubespool

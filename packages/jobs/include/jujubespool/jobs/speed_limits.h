// Decides which best-effort runs of a worker are slowed down for the runs there that serve callers, and when they are sped up again.
//
//     learnFromWorker(target, known, now);
//     for (const speed_change &change : planSpeedLimits(target, known, now)) { ... }
//
// Answers the load of tasks that slow each other down on one host. The runs that are known to harm are slowed first, as far as that is
// expected to be enough. If nothing is known, or that does not explain the tail latency, all are slowed: what serves callers is within its
// target before what fills is at work. One run at a time is sped up, the least harmful first, which shows which of them does harm.
#pragma once

#include <jujubespool/jobs/interference_model.h>
#include <jujubespool/jobs/worker_registry.h>

namespace jujubespool {

enum class speed_change_reason {
    // The run's image is known to harm a serving run here.
    known_harm,
    // A serving run came near or over its target just after this run was sped up.
    suspected,
    // A serving run is near or over its target, and what is known does not explain it.
    unexplained,
    // The serving runs have room, or the limit has lasted long.
    sped_up
};

template <> struct enum_names<speed_change_reason>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "known-harm", "suspected", "unexplained", "sped-up" };
};

struct speed_change
{
    task_key task;
    int percent = 100;
    speed_change_reason reason = speed_change_reason::unexplained;
    // The highest tail ratio on the worker, and the harm that is known of the run's image.
    double tailRatio = 0;
    double harm = 0;
};

// Takes over the worker's latest report. Reports from shortly after a change are left out, since they also cover the time before it.
void learnFromWorker(const worker &target, interference_model &known, instant now);

// Call it after each report of the worker.
std::vector<speed_change> planSpeedLimits(const worker &target, const interference_model &known, instant now);

// Records a change of the run's speed and returns the former one, in percent.
int changeSpeed(placed_run &run, int percent, instant now);

// Whether a task of the step would harm a serving run on the worker, or would be harmed by a best-effort run there.
bool wouldInterfere(const worker &target, const step_spec &step, const interference_model &known, instant now);

} // namespace jujubespool

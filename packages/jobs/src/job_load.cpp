#include <jujubespool/jobs/job_load.h>

namespace jujubespool {

job_load loadOf(const job &current)
{
    job_load load;
    for (const auto &[number, occurrence] : current.occurrences()) {
        for (std::size_t step = 0; !occurrence.ended && step < occurrence.steps.size(); ++step) {
            const step_spec &spec = current.step(static_cast<int>(step));
            if (spec.bestEffort || occurrence.unfinishedTasks[step] == 0) {
                continue;
            }
            const bool ready = current.stepReady(occurrence, static_cast<int>(step));
            for (const task_progress &task : occurrence.steps[step]) {
                load.usedMillis += task.phase == task_phase::assigned ? spec.taskResources.cpuMillis : 0;
                load.waitingMillis += ready && task.phase == task_phase::waiting ? spec.taskResources.cpuMillis : 0;
            }
        }
    }
    return load;
}

} // namespace jujubespool

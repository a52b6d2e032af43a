#include <criterion/criterion.h>
#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/testing/table.h>
#include <random>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };
constexpr wall_ms WALL = 1800000000000;
constexpr int OPERATIONS = 400;
const std::string WORKER = "w1";

// A model with one worker, on which random changes are made to random jobs.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed)
        : m_random(seed)
    {
        auto config = std::make_shared<fleet_config>();
        config->queues.push_back({});
        config->queues[0].name = "q";
        config->queues[0].pool = "pool";
        config->queues[0].maxAttempts = 2;
        m_model.setConfig(config);
        m_model.workers().update({ WORKER, "a:1", "pool", "a", worker_state::ready, { 64000, 128000, 0 }, {}, 1, {} }, NOW);
    }

    void change()
    {
        if (m_model.activeJobs().empty() || chance(0.2)) {
            submit();
            return;
        }
        const task_key key = anyTask();
        const task_progress &task = *m_model.find(key.job)->task(key);
        if (task.phase == task_phase::waiting) {
            m_model.place(key, *m_model.workers().find(WORKER), NOW);
        } else if (task.phase == task_phase::assigned && chance(0.3)) {
            m_model.release(key);
        } else if (task.phase == task_phase::assigned) {
            const run_outcome outcome = chance(0.7) ? run_outcome::done : chance(0.5) ? run_outcome::failed : run_outcome::stopped;
            m_model.applyEnd({ ++m_endNumber, key, task.run, outcome, {} }, WORKER, WALL);
        }
    }

    // The demand that each job would have if it were restored from the ledger, where nothing is cached.
    void check(std::uint64_t seed) const
    {
        for (const auto &[id, current] : m_model.activeJobs()) {
            const job restored = job::fromImage(current->toImage()).value();
            cr_assert(current->demand() == restored.demand(), "seed %lu job %s", seed, id.text().c_str());
        }
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    void submit()
    {
        job_request request;
        request.id = "00000000000" + std::to_string(10000 + m_jobCount++);
        request.queue = "q";
        const int steps = 1 + static_cast<int>(m_random() % 3);
        for (int i = 0; i < steps; ++i) {
            step_spec step;
            step.count = 1 + static_cast<int>(m_random() % 4);
            step.taskResources = { 1000 * (1 + static_cast<std::int64_t>(m_random() % 8)), 100, 0 };
            step.estimated = milliseconds(100 + m_random() % 900);
            step.bestEffort = chance(0.2);
            if (i > 0 && chance(0.7)) {
                step.dependencies = { i - 1 };
            }
            request.steps.push_back(step);
        }
        m_model.add(job::accept(request, WALL));
        m_model.markChanged(request.id);
    }

    task_key anyTask()
    {
        const auto entry = std::next(m_model.activeJobs().begin(), static_cast<std::ptrdiff_t>(m_random() % m_model.activeJobs().size()));
        const int step = static_cast<int>(m_random() % entry->second->request().steps.size());
        return { entry->first, 0, step, static_cast<int>(m_random() % static_cast<std::uint64_t>(entry->second->step(step).count)) };
    }

    fleet_model m_model{ manager_bounds() };
    std::mt19937_64 m_random;
    std::uint64_t m_endNumber = 0;
    int m_jobCount = 0;
};

const std::uint64_t SEEDS[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 };

} // namespace

ParameterizedTestParameters(job_demand, equalsThatOfARestoredJobAfterEachChange)
{
    return rowsOf(SEEDS);
}

ParameterizedTest(std::size_t *row, job_demand, equalsThatOfARestoredJobAfterEachChange)
{
    random_fleet fleet(SEEDS[*row]);
    for (int i = 0; i < OPERATIONS; ++i) {
        fleet.change();
        fleet.check(SEEDS[*row]);
    }
}

// The owner of the jobs: accepts them, starts their tasks on workers and records every change first.
//
//     job_manager manager(gateways, clock, log, bounds, { "entry-1", epoch, sequence });
//     manager.restore(entries, now, wall);
//     manager.submit(request, [](submit_result end) { ... }, now, wall);
//     manager.tick(now, wall);
//
// One process owns the jobs at a time. The epoch of its ownership fences its records at the store and its orders
// at the workers, so that a former owner can do no harm.
#pragma once

#include <jujubespool/jobs/ledger_writer.h>
#include <jujubespool/jobs/pool_rebalancer.h>
#include <jujubespool/jobs/run_supervisor.h>

namespace jujubespool {

struct manager_gateways
{
    ledger_store &store;
    worker_gateway &workers;
    host_gateway &hosts;
    policy_gateway &advice;
    wave_status_publisher &status;
};

enum class submit_result { accepted, refused };
enum class cancel_result { cancelled, unknown_job };

// The append that has claimed the ownership.
struct ownership
{
    std::string holder;
    std::uint64_t epoch = 0;
    // Its number; the manager's own appends follow it.
    std::uint64_t claimSequence = 0;
};

class job_manager : private run_listener
{
public:
    job_manager(const manager_gateways &gateways, timer_service &clock, event_log &log, const manager_bounds &bounds,
                const ownership &owned);

    // Takes over what the ledger holds. The workers have been reported before.
    void restore(const std::map<std::string, std::string> &entries, instant now, wall_ms wall);
    void setConfig(std::shared_ptr<const fleet_config> config, instant now);
    void onWorkerReport(const worker_report &report, instant now);
    void onWorkerUnlisted(const std::string &id, instant now);
    void onWave(const host_maintenance_wave &wave, wall_ms wall);

    void submit(const job_request &request, const std::function<void(submit_result end)> &done, instant now, wall_ms wall);
    void cancel(const std::string &id, const std::function<void(cancel_result end)> &done, instant now, wall_ms wall);
    // Calls back with the state, or with nothing for an unknown job, once what it rests on is durable.
    void queryState(const std::string &id, const std::function<void(std::optional<job_state> state)> &done, instant now);
    int pendingJobCount(const std::string &queue) const;

    void tick(instant now, wall_ms wall);
    // Starts nothing more. Calls back when everything is durable.
    void resign(std::function<void(instant now)> done, instant now);
    // Called once when another owner has taken over.
    void onOwnershipLost(std::function<void(instant now)> call)
    {
        m_onOwnershipLost = std::move(call);
    }
    // Asked when the store is silent: whether every other process says that it does not own the jobs.
    void setPeerConfirmation(std::function<bool(instant now)> confirmed)
    {
        m_confirmedByPeers = std::move(confirmed);
    }
    // Puts the ownership record again, so that others see that this owner works.
    void renewOwnership(const ledger_entry &record, instant now);
    instant lastDurableAt() const
    {
        return m_writer.lastDurableAt();
    }
    duration storeUnresponsiveFor(instant now) const
    {
        return m_writer.unresponsiveFor(now);
    }
    const fleet_model &model() const
    {
        return m_model;
    }

private:
    void onProgress(instant now) override;
    void whenDurable(std::function<void(instant now)> call, instant now) override;
    void onFenced(instant now) override;
    void onBadTicket(const task_key &key, const std::string &workerId) override;
    wall_ms wallNow() const override;
    bool isOwnershipConfirmed(instant now) const override;
    void settle(instant now);
    void schedule(instant now);
    void writeChanged();
    void noteEnded(const std::string &id);
    void ask(const ticket_request &question);
    void stopRuns(const std::string &id, instant now);
    void forgetOld(wall_ms wall);
    void restoreJob(const wire::job_image &image, instant leaseEnd, instant now);

    manager_gateways m_gateways;
    timer_service &m_clock;
    event_log &m_log;
    fleet_model m_model;
    ledger_writer m_writer;
    run_supervisor m_runs;
    run_scheduler m_scheduler;
    policy_ticket_cache m_advice;
    host_controller m_roster;
    host_maintenance_controller m_upkeep;
    pool_rebalancer m_mover;
    bool m_scheduleNeeded = false;
    bool m_resigned = false;
    bool m_lost = false;
    wall_ms m_wall = 0;
    instant m_tickedAt;
    instant m_lastForget;
    std::function<void(instant now)> m_onOwnershipLost;
    std::function<bool(instant now)> m_confirmedByPeers = [](instant) {
        return false;
    };
    lifetime m_lifetime;
};

} // namespace jujubespool

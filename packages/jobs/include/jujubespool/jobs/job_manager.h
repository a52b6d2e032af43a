// Accepts jobs, starts their tasks on workers and writes each change to the ledger before it acts on it.
//
//     job_manager manager(gateways, timers, log, bounds, { "entry-1", epoch, sequence });
//     manager.restore(entries, now, wall);
//     manager.submit(request, [](submit_result result) { ... }, now, wall);
//     manager.tick(now, wall);
//
// One process owns the jobs at a time. The store and the workers use the epoch of the ownership as a fencing token and reject
// the records and orders of a former owner.
#pragma once

#include <jujubespool/jobs/ledger_clock.h>
#include <jujubespool/jobs/ledger_writer.h>
#include <jujubespool/jobs/pool_rebalancer.h>
#include <jujubespool/jobs/run_supervisor.h>
#include <jujubespool/jobs/ticket_admission.h>
#include <jujubespool/jobs/wait_reporter.h>

namespace jujubespool {

struct manager_gateways
{
    ledger_store &store;
    worker_gateway &workers;
    host_gateway &hosts;
    policy_gateway &policy;
    wave_status_publisher &status;
};

// too_large: a record of the store cannot hold the job and its progress.
enum class submit_result { accepted, refused, too_large };
enum class cancel_result { cancelled, unknown_job };

// The ledger append that claimed the ownership.
struct ownership
{
    // Name of the process that owns the jobs.
    std::string holder;
    std::uint64_t epoch = 0;
    // Sequence number of that append. The manager's own appends continue from it.
    std::uint64_t claimSequence = 0;
    // When it was sent.
    instant claimSentAt;
};

class job_manager : private run_listener
{
public:
    job_manager(const manager_gateways &gateways, timer_service &timers, event_log &log, const manager_bounds &bounds,
                const ownership &owned);

    // Restores the state from the ledger's entries. The workers must have been reported before.
    void restore(const std::map<std::string, std::string> &entries, instant now, wall_ms wall);
    void setConfig(std::shared_ptr<const fleet_config> config, instant now);
    void onWorkerReport(const worker_report &report, instant now);
    void onWorkerUnlisted(const std::string &id, instant now);
    void onWave(const host_maintenance_wave &wave, wall_ms wall);
    // From now on no task starts in the data centre, or tasks may start there again.
    void setEvacuated(const std::string &dataCenter, bool evacuated, instant now);

    // Calls back once the job is durable. A job whose id exists already is accepted again without an effect.
    void submit(const job_request &request, const std::function<void(submit_result result)> &done, instant now, wall_ms wall);
    // Empty if a new job with this request can start in time. Otherwise the time after which its caller should try again.
    std::optional<seconds> timeUntilAdmitted(const job_request &request, instant now);
    // Calls back once the cancellation is durable, then stops the job's runs.
    void cancel(const job_id &id, const std::function<void(cancel_result result)> &done, instant now, wall_ms wall);
    // Receives the state of a job, or no value for an unknown job.
    using state_callback = std::function<void(std::optional<job_state> state)>;
    // A final state is reported once it is durable, and from then on at once, whether the store answers or not.
    void queryState(const job_id &id, const state_callback &done, instant now);
    // Number of jobs in the queue of which no task has started.
    int pendingJobCount(const std::string &queue) const;

    void tick(instant now, wall_ms wall);
    // Stops scheduling and accepts no new jobs. Calls back when all changes are durable.
    void resign(std::function<void(instant now)> done, instant now);
    // Sets the callback that runs once when another owner has taken over.
    void onOwnershipLost(std::function<void(instant now)> call)
    {
        m_onOwnershipLost = std::move(call);
    }
    // Sets the check that is used while the store does not respond: whether enough peers confirm this ownership.
    void setPeerConfirmation(std::function<bool(instant now)> confirmed)
    {
        m_confirmedByPeers = std::move(confirmed);
    }
    // Sets the check whether so many peers know of this ownership that they can no longer confirm an earlier one.
    void setTakeOverCheck(std::function<bool()> known)
    {
        m_takeOverKnown = std::move(known);
    }
    // Whether this process may renew leases: a record was durable recently, or the peers confirm the ownership. A later owner treats no
    // run on a worker that it cannot reach as expired before that has ended.
    bool isOwnershipConfirmed(instant now) const override;
    // Whether the leases that earlier owners may have renewed have expired.
    bool formerLeasesExpired(instant now) const override;
    // Whether no owner before this one can be confirmed any more.
    bool formerOwnersOver(instant now) const
    {
        return now >= m_formerRenewalsEnd;
    }
    // Writes an entry of the ledger and calls back once it is durable.
    void record(const ledger_entry &entry, std::function<void(instant now)> recorded, instant now);
    // Writes the ownership record again, which shows the other processes that this owner is alive.
    void renewOwnership(const ledger_entry &record, instant now);
    // The clock of the ledger, which goes into each record of the ownership.
    ledger_ms ledgerTime(instant now) const
    {
        return m_clock.at(now);
    }
    // See ledger_writer::confirmedAt().
    instant confirmedAt() const
    {
        return m_writer.confirmedAt();
    }
    // Time for which the store has not responded.
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
    void checkTakeOverKnown(instant now);
    void processChanges(instant now);
    // The next pass places what has become possible with a change at this time.
    void requestSchedule(instant now);
    void schedule(instant now);
    // Sends the start orders of placements that are recorded.
    void sendStarts(const std::vector<placement> &placements, instant now);
    // Why the start of a recorded placement is not sent; empty if nothing prevents it.
    std::string_view obstacleTo(const placement &placed, instant now) const;
    void writeChanged(instant now);
    void onJobEnded(const job_id &id, instant now);
    // The job's next record says that it ended now.
    void recordEnd(job &endedJob, instant now);
    // Answers the callers that ask for the job's end once its record is durable. A record that took long is written again first: the end
    // must not count from long before callers could read it.
    void showEndOnceDurable(const job_id &id, instant now);
    void onEndDurable(const job_id &id, instant now);
    void requestTickets(const ticket_request &request, instant now);
    void releaseLostTicketRequests(instant now);
    void scheduleAgainAt(instant at, instant now);
    void logTicketResponse(const ticket_request &request, const ticket_response &response, duration waited);
    // Whether the step, in the form "job.occurrence.step", still has tasks that are not done.
    bool isStepUnfinished(const std::string &step) const;
    // Largest image of a job that fits into a record.
    std::size_t maxImageBytes() const;
    void stopRuns(const job_id &id);
    void removeExpiredJobs(instant now, wall_ms wall);
    void forget(const job_id &id, instant now, wall_ms wall);
    // Jobs that an earlier version has recorded count as ended now.
    void recordMissingEnds(instant now);
    void restoreHostOrder(const std::string &host, const wire::host_order_image &image, instant now);
    void restoreQueue(const std::string &name, const std::string &value);
    // Logs each job that cannot run, because neither the configuration nor the ledger has its queue.
    void logUnknownQueues();
    void restoreWave(const std::string &name, const std::string &value, instant now);
    void restoreJob(const wire::job_image &image, instant leaseEnd, instant now);

    manager_gateways m_gateways;
    timer_service &m_timers;
    event_log &m_log;
    fleet_model m_model;
    ledger_writer m_writer;
    run_supervisor m_runs;
    run_scheduler m_scheduler;
    policy_ticket_cache m_tickets;
    ticket_admission m_ticketAdmission;
    host_controller m_hostController;
    host_maintenance_controller m_hostMaintenance;
    pool_rebalancer m_poolRebalancer;
    wait_reporter m_waitReporter;
    // Callers that asked for a job whose end is not durable yet.
    std::map<job_id, std::vector<state_callback>> m_waitingForEnd;
    // When a change called for scheduling first, since the last pass; empty if none has.
    std::optional<instant> m_scheduleNeededSince;
    // When scheduling is repeated without a change; empty if no timer runs for it.
    std::optional<instant> m_scheduleAgainAt;
    bool m_resigned = false;
    bool m_ownershipLost = false;
    // The memory of the image that was written last, for the next one.
    wire::job_image m_image;
    std::uint64_t m_epoch;
    ledger_clock m_clock;
    wall_ms m_wall = 0;
    instant m_tickedAt;
    instant m_lastExpiryCheck;
    std::function<void(instant now)> m_onOwnershipLost;
    std::function<bool(instant now)> m_confirmedByPeers = [](instant) {
        return false;
    };
    std::function<bool()> m_takeOverKnown = [] {
        return false;
    };
    // Latest time at which an earlier owner can renew a lease.
    instant m_formerRenewalsEnd;
    bool m_takeOverAcknowledged = false;
    lifetime m_lifetime;
};

} // namespace jujubespool

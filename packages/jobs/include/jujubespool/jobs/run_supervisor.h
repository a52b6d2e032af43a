// Sends start and stop orders to workers and tracks the runs there.
//
//     run_supervisor runs(model, gateway, timers, log, epoch, listener);
//     runs.start(placed, now);          // after the placement is durable
//     runs.tick(now);                   // polls workers, renews their leases and releases the runs of expired leases
//
// The outcome of a start order without a response is unknown. The task is not started on another worker until a poll lists the run, a
// stop of the run is confirmed, the worker shows a later incarnation, or the lease has certainly expired.
#pragma once

#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <jujubespool/jobs/speed_limits.h>
#include <jujubespool/jobs/timer_service.h>

namespace jujubespool {

// Receives the events of a run_supervisor.
class run_listener
{
public:
    virtual ~run_listener() = default;
    // Called when capacity has become free, tasks wait again or a job has changed.
    virtual void onProgress(instant now) = 0;
    // Calls back when the current state of all jobs is durable.
    virtual void whenDurable(std::function<void(instant now)> call, instant now) = 0;
    // Called when a worker has rejected the fencing token as outdated: another owner has taken over.
    virtual void onFenced(instant now) = 0;
    // Called when the worker has rejected the ticket of the policy service.
    virtual void onBadTicket(const task_key &key, const std::string &workerId) = 0;
    virtual wall_ms wallNow() const = 0;
    // False when another process may have become the owner without this process having been informed.
    virtual bool isOwnershipConfirmed(instant now) const = 0;
    // False while a lease that a former owner has renewed may be valid on a worker which has not accepted this owner's fencing token.
    virtual bool formerLeasesExpired(instant now) const = 0;
};

// Initial time for which a worker gets no new tasks after it refused an order or did not respond. It doubles each time.
constexpr milliseconds INITIAL_AVOID_TIME{ 300 };

class run_supervisor
{
public:
    run_supervisor(fleet_model &model, worker_gateway &gateway, timer_service &timers, event_log &log, std::uint64_t fencingToken,
                   run_listener &listener);

    // Sends the start order, and repeats it if the worker does not respond.
    void start(const placement &placed, instant now);
    // Gives the task back without an order.
    void withhold(const placement &placed, instant now);
    // Sends a stop order. The end of the run is applied when a poll reports it.
    void stop(const task_key &key);
    // Takes the report over. One of a later incarnation shows that the worker has restarted.
    void onReport(const worker_report &report, instant now);
    // Polls the workers that are due and expires leases.
    void tick(instant now);

private:
    struct start_attempt
    {
        placement placed;
        worker_incarnation worker;
        int attempts = 0;
    };
    struct sent_poll
    {
        worker_incarnation worker;
        instant at;
        std::uint64_t acknowledgedEnds = 0;
    };
    // A stop order that a worker has accepted.
    struct confirmed_stop
    {
        worker_incarnation worker;
        instant at;
    };
    placed_run *runOf(const task_key &key, int run);
    worker *workerOf(const task_key &key);
    void onRestart(const worker_incarnation &later, instant now);
    std::int64_t leaseUntil(worker &target, instant now);
    void sendStart(const start_attempt &attempt, instant now);
    void onStartAnswer(const start_attempt &attempt, const order_result &result, instant now);
    void onStartUnanswered(const start_attempt &attempt, instant now);
    void onStartRejected(const start_attempt &attempt, const order_result &result, instant now);
    // Ends the attempts to start the task's present run: the task waits again, at once if no order can still be executed.
    void giveUpStart(const task_key &key, instant now);
    void sendStop(const task_key &key, int run, const worker_address &address);
    void onStopAnswer(const task_key &key, int run, const worker_address &address, const order_result &result, instant now);
    // Records the clock in a response of this incarnation.
    void recordClock(worker &target, std::int64_t clockMs, instant now);
    void avoidWorker(worker &target, milliseconds minTime, instant now);
    void poll(worker &target, instant now);
    void onPollResult(const sent_poll &sent, const poll_result &result, instant now);
    void onPollFailed(worker &target, const poll_result &result, instant now);
    bool stopConfirmedBefore(const worker &target, const task_key &key, int run, instant time) const;
    void reconcileRuns(worker &target, instant sentAt, const poll_result &result, instant now);
    // Stops the runs whose start should have been settled long ago, so that their tasks wait again whatever has been lost.
    void settleOverdueStarts(worker &target, instant now);
    void applyEnds(worker &target, const poll_result &result, instant now);
    void updateHealth(worker &target, const finished_run &finished, instant now);
    // Releases the runs whose leases have certainly expired.
    void expireLeases(worker &target, instant now);
    void adjustSpeedLimits(worker &target, instant now);
    void setSpeedLimit(const speed_change &change, instant now);
    bool needsPoll(const worker &target) const;

    fleet_model &m_model;
    worker_gateway &m_gateway;
    timer_service &m_timers;
    event_log &m_log;
    std::uint64_t m_token;
    run_listener &m_listener;
    // Times at which stops were confirmed. A poll that is sent later and does not list the run proves that the run is gone.
    std::map<std::pair<task_key, int>, confirmed_stop> m_confirmedStops;
    lifetime m_lifetime;
};

} // namespace jujubespool

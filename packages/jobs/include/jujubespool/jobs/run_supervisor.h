// Sends orders to workers and follows what runs there.
//
//     run_supervisor runs(model, gateway, clock, log, epoch, listener);
//     runs.start(placement, now);          // after the placement is durable
//     runs.tick(now, wall);                // renews leases, looks, repeats what had no answer
//
// A start without an answer stays in doubt: the task runs nowhere else until a look shows the run, a stop of
// it is confirmed, the worker has begun another life, or its lease has surely lapsed.
#pragma once

#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/run_scheduler.h>
#include <jujubespool/jobs/timer_service.h>

namespace jujubespool {

// What the supervisor tells its owner.
class run_listener
{
public:
    virtual ~run_listener() = default;
    // Capacity or tasks have become free, or a job has changed.
    virtual void onProgress(instant now) = 0;
    // Calls back when the present state of all jobs is durable.
    virtual void whenDurable(std::function<void(instant now)> call, instant now) = 0;
    // A worker has seen a higher fencing token: another owner has taken over.
    virtual void onFenced(instant now) = 0;
    virtual void onBadTicket(const task_key &key, const std::string &workerId) = 0;
    virtual wall_ms wallNow() const = 0;
    // False when this process may have been replaced as the owner without knowing it.
    virtual bool isOwnershipConfirmed(instant now) const = 0;
};

// A worker that refused or was silent gets no new work for this long, doubled each time.
constexpr milliseconds FIRST_AVOID{ 300 };

class run_supervisor
{
public:
    run_supervisor(fleet_model &model, worker_gateway &gateway, timer_service &clock, event_log &log, std::uint64_t fencingToken,
                   run_listener &listener);

    void start(const placement &item, instant now);
    // Asks the worker to end the run; its end is applied when a look shows it.
    void stop(const task_key &key, instant now);
    void setPace(const task_key &key, int percent);
    // Sends the looks that are due and ends what has lapsed.
    void tick(instant now);

private:
    struct start_attempt
    {
        placement item;
        int attempts = 0;
    };
    placed_run *runOf(const task_key &key, int run);
    worker *workerOf(const task_key &key);
    std::int64_t leaseUntil(worker &target, instant now);
    void sendStart(const start_attempt &attempt, instant now);
    void onStartAnswer(const start_attempt &attempt, const order_result &result, instant now);
    void onStartUnanswered(const start_attempt &attempt, instant now);
    void giveUpStart(const start_attempt &attempt, const order_result &result, instant now);
    void sendStop(const task_key &key, int run, const worker_address &where, instant now);
    void onStopAnswer(const task_key &key, int run, const worker_address &where, const order_result &result, instant now);
    void noteClock(worker &target, const order_result &result, instant now);
    void avoid(worker &target, milliseconds least, instant now);
    void look(worker &target, instant now);
    void onLook(const worker_address &where, instant sentAt, const poll_result &result, instant now);
    void onLookUnanswered(worker &target, const poll_result &result, instant now);
    void reconcile(worker &target, instant sentAt, const poll_result &result, instant now);
    void applyEnds(worker &target, const poll_result &result, instant now);
    void judge(worker &target, const finished_run &finished, instant now);
    void endLapsed(worker &target, instant now);
    void adjustPaces(worker &target);
    bool needsLook(const worker &target) const;

    fleet_model &m_model;
    worker_gateway &m_gateway;
    timer_service &m_clock;
    event_log &m_log;
    std::uint64_t m_token;
    run_listener &m_listener;
    // Stops that were confirmed: a look sent later that does not show the run proves that it is gone.
    std::map<std::pair<task_key, int>, instant> m_confirmedStops;
    lifetime m_lifetime;
};

} // namespace jujubespool

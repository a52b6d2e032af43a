// Schedules requests from admission to their result.
//
// The dispatcher makes the decisions and the caller does the input and output:
//
//     failure reason;
//     if (!dispatcher.admit(request, state, now, reason)) { refuse(reason); }
//     for (const dispatched_attempt &attempt : dispatcher.schedule(state, now)) { send(attempt); }
//     const result_action action = dispatcher.onResult(id, result, state, now);
//
// A request starts only with a permit of its team and a slot of its worker. Both stay in use until
// the upstream has certainly finished: until its response, or, after a connection was lost, until the longest run time
// has passed.
#pragma once

#include <jujubespool/core/failure.h>
#include <jujubespool/core/fair_queue.h>
#include <jujubespool/core/fleet_state.h>
#include <jujubespool/core/permit_tracker.h>
#include <jujubespool/core/retry_budget.h>
#include <jujubespool/core/run_time_estimator.h>
#include <jujubespool/core/worker_selector.h>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubespool {

// Team name of requests without an API key on queues that are open to everyone.
inline const std::string ANONYMOUS_TEAM = "open-queue";

struct request_spec
{
    request_id id = 0;
    // ANONYMOUS_TEAM for a request without an API key on an open queue.
    std::string team;
    std::string service;
    request_class priority = request_class::normal;
    instant deadline;
    // Whether the request may run more than once.
    bool repeatable = false;
};

// A request that starts on a worker.
struct dispatched_attempt
{
    request_id id = 0;
    std::string worker;
    std::string address;
    // The attempt is aborted at this time.
    instant deadline;
};

// A request that was dropped because it could not end before its deadline.
struct expired_request
{
    request_id id = 0;
    // not_run, or unknown when an earlier attempt may have run.
    jujubespool::outcome outcome = outcome::not_run;
    failure reason;
};

// What the caller of onResult() does with the result of an attempt.
enum class result_action {
    // Pass the response to the caller.
    reply,
    // Send no response yet; the request waits for another worker.
    retry,
    // Report to the caller that the request did not run.
    not_run,
    // Report to the caller that the request may have run.
    unknown
};

template <> struct enum_names<result_action>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "reply", "retry", "not-run", "unknown" };
};

// Permits that waiting requests need and this host does not have.
struct permit_demand
{
    // Either the team whose permits are needed or the pool whose workers' slots are needed is set.
    std::string team;
    std::string pool;
    std::uint32_t count = 0;
    // Lowest fleet-wide virtual time of the teams that wait for the pool, in microseconds per unit of share.
    double virtualTime = 0;
    // Share of that team.
    std::uint32_t share = 1;
};

// Measured run time of one team on one service, which hosts report to their peers.
struct run_time_usage
{
    std::string service;
    std::string team;
    std::uint64_t runUs = 0;
};

class dispatcher
{
public:
    dispatcher(permit_tracker &permits, std::uint64_t seed);

    // Queues the request. Returns false and sets the reason when the request is refused; it did not run in that case.
    bool admit(const request_spec &request, const fleet_state &state, instant now, failure &reason);

    // Takes permits for the requests that may start now and returns them.
    std::vector<dispatched_attempt> schedule(const fleet_state &state, instant now);

    // Handles the result of an attempt. May put the request back into the queue for a retry.
    result_action onResult(request_id id, attempt_result result, const fleet_state &state, instant now);

    // Removes a waiting request. Fails when it is running or unknown.
    bool cancel(request_id id);

    // Removes and returns the waiting requests that can no longer end before their deadline.
    std::vector<expired_request> expire(instant now);

    // Adjusts the teams' weights to the run time in the whole fleet. Called at intervals; see fair_queue.
    void adjustWeights(duration elapsed);

    // Releases the permits of orphaned attempts, whose connection was lost, once their upstream must have finished.
    void releaseOrphaned(instant now);

    // Charges run time that a peer has measured.
    void chargeRemote(const run_time_usage &usage, const fleet_state &state);
    // Total run time measured at this host since its start, to be sent to the peers.
    std::vector<run_time_usage> runTimeUsage() const;

    // Permits that waiting requests need now.
    std::vector<permit_demand> permitDemand(const fleet_state &state, instant now) const;

    // Whether any waiting request could use a permit of the resource.
    bool hasDemandFor(const std::string &resource, const fleet_state &state) const;

    // Whether the limit of the team allows another request of it to start.
    bool teamHasCapacity(const std::string &team, const fleet_state &state, instant now) const;

    // Lowest fleet-wide virtual time of the teams that wait for the pool; empty when none waits.
    std::optional<double> headVirtualTime(const std::string &pool) const;

    // Hosts of the pool that are in service.
    const std::vector<std::string> &workersOf(const std::string &pool, const fleet_state &state);

    // Sets the hosts that are about to leave the fleet according to the platform. No request starts on them.
    void setLeavingHosts(std::set<std::string> hosts)
    {
        m_leaving = std::move(hosts);
    }

    // Numbers of waiting requests, running requests and orphaned attempts.
    std::size_t waiting() const;
    std::size_t running() const
    {
        return m_running.size();
    }
    std::size_t orphaned() const
    {
        return m_orphaned.size();
    }
    std::vector<std::string> ejectedWorkers() const;

private:
    // Time between a team's dispatches on one pool, from which the wait of the next request is estimated.
    struct dispatch_rate
    {
        instant lastDispatch;
        run_time_estimator interval;
    };
    // Queue and state of one pool.
    struct pool_context
    {
        explicit pool_context(std::uint64_t seed)
            : selector(seed)
        {
        }
        fair_queue queue;
        worker_selector selector;
        retry_budget retries;
        std::map<std::string, dispatch_rate> rates;
        // Log offset of the change of hosts to which the workers below are up to date.
        log_offset workersUpdatedAt = 0;
        std::vector<std::string> workers;
        // Names of the workers' resources, in the order of workers.
        std::vector<std::string> resources;
        // Total number of slots of the workers.
        std::uint32_t slots = 0;
    };
    struct request_record
    {
        request_spec spec;
        std::string pool;
        // Workers on which the request was attempted.
        std::vector<std::string> tried;
        std::string worker;
        instant startedAt;
        // Run time charged at the start of the attempt.
        duration estimate{ 0 };
        // Whether an earlier attempt may have run.
        bool mayHaveRun = false;
    };
    // An attempt whose connection was lost and which the upstream may still run.
    struct orphaned_attempt
    {
        std::string team;
        std::string worker;
    };

    pool_context &contextOf(const std::string &pool);
    void refreshWorkers(const std::string &pool, pool_context &context, const fleet_state &state);
    std::uint32_t shareOf(const std::string &team, const fleet_state &state) const;
    duration estimateOf(const request_spec &request) const;
    // Whether the request would probably miss its deadline if it started now.
    bool missesDeadline(const request_spec &request, instant now) const;
    void recordDispatch(pool_context &context, const std::string &team, instant now);
    void schedulePool(const std::string &pool, pool_context &context, const fleet_state &state, instant now,
                      std::vector<dispatched_attempt> &starts);
    std::vector<std::string> freeWorkers(const pool_context &context, const fleet_state &state, instant now) const;
    dispatched_attempt start(request_record &request, const std::string &worker, pool_context &context, const fleet_state &state,
                             instant now);
    void expireRequest(const request_record &request, const std::string &message);
    void releasePermits(const request_record &request);
    void chargeMeasured(const request_record &request, pool_context &context, duration measured, const fleet_state &state);
    // Queues the request for a retry if that is allowed, and returns `otherwise` if not.
    result_action retryOr(result_action otherwise, request_record request, pool_context &context, const fleet_state &state, instant now);
    bool missesDeadlineInQueue(const request_spec &request, const pool_context &context, instant now) const;

    permit_tracker &m_permits;
    std::uint64_t m_seed;
    std::set<std::string> m_leaving;
    std::map<std::string, pool_context> m_pools;
    std::unordered_map<request_id, request_record> m_waiting;
    std::unordered_map<request_id, request_record> m_running;
    std::set<std::pair<instant, request_id>> m_deadlines;
    std::multimap<instant, orphaned_attempt> m_orphaned;
    // By service and team.
    std::map<std::pair<std::string, std::string>, run_time_estimator> m_runTimeEstimates;
    std::vector<expired_request> m_expired;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_runTimeUsage;
};

} // namespace jujubespool

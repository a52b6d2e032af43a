// Takes requests from admission to their outcome.
//
// The dispatcher decides; its owner does the input and output:
//
//     failure reason;
//     if (!dispatcher.admit(request, state, now, reason)) { refuse(reason); }
//     for (const dispatched_attempt &start : dispatcher.schedule(state, now)) { send(start); }
//     const attempt_decision next = dispatcher.onResult(id, result, state, now);
//
// A request starts only against a permit of its team and a slot of its worker. Both stay in use until
// the upstream has certainly ended: until the answer, or until the longest run time after a
// connection was lost.
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

// Team name of requests on queues that are open to all.
inline const std::string ANONYMOUS_TEAM = "open-queue";

struct request_spec
{
    request_id id = 0;
    // ANONYMOUS_TEAM for a request without a key on an open queue.
    std::string team;
    std::string service;
    request_class priority = request_class::normal;
    instant deadline;
    bool repeatable = false;
};

struct dispatched_attempt
{
    request_id id = 0;
    std::string worker;
    std::string address;
    // The attempt is given up at this time.
    instant deadline;
};

struct expired_request
{
    request_id id = 0;
    // not_run, or unknown when an earlier attempt may have run.
    jujubespool::outcome outcome = outcome::not_run;
    failure reason;
};

enum class result_action {
    // Pass the answer to the caller.
    reply,
    // The request waits for another worker; nothing is to be told yet.
    retry,
    // Tell the caller that the work did not run.
    not_run,
    // Tell the caller that the work may have run.
    unknown
};

template <> struct enum_names<result_action>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "reply", "retry", "not-run", "unknown" };
};

// Permits that waiting requests lack.
struct permit_demand
{
    // Either a team's permits are wanted or the slots of a pool's workers.
    std::string team;
    std::string pool;
    std::uint32_t count = 0;
    double virtualTime = 0;
    // Share of the team that has the lowest virtual time.
    std::uint32_t share = 1;
};

// Measured run time of one team on one service, which peers are told of.
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

    // Queues the request, or returns false with the reason for a refusal that ran nothing.
    bool admit(const request_spec &request, const fleet_state &state, instant now, failure &reason);

    // Starts what may start now.
    std::vector<dispatched_attempt> schedule(const fleet_state &state, instant now);

    result_action onResult(request_id id, attempt_result result, const fleet_state &state, instant now);

    // Drops a waiting request. Fails when it is running or unknown.
    bool cancel(request_id id);

    // Waiting requests that cannot end before their deadline any more.
    std::vector<expired_request> expire(instant now);

    // Adjusts the teams' weights to what the whole fleet has run. Called at intervals.
    void adjustWeights(duration elapsed);

    // Frees permits of lost connections whose upstream must have ended.
    void releaseOrphaned(instant now);

    // Charges what a peer has measured.
    void chargeRemote(const run_time_usage &charged, const fleet_state &state);
    // Run time measured here since the start, for the peers.
    std::vector<run_time_usage> runTimeUsage() const;

    // What waiting requests lack now.
    std::vector<permit_demand> permitDemand(const fleet_state &state, instant now) const;

    // Whether requests wait that the resource could serve.
    bool hasDemandFor(const std::string &resource, const fleet_state &state) const;

    // Whether a request of the team could start as far as its limit goes.
    bool teamHasCapacity(const std::string &team, const fleet_state &state, instant now) const;

    // Lowest virtual time waiting for the pool, if any.
    std::optional<double> headVirtualTime(const std::string &pool) const;

    // Hosts of the pool that are in service.
    const std::vector<std::string> &workersOf(const std::string &pool, const fleet_state &state);

    // Names hosts of which the platform says that they leave; nothing new starts on them.
    void setLeavingHosts(std::set<std::string> hosts)
    {
        m_leaving = std::move(hosts);
    }

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
    // What a team's dispatches on one pool tell about the wait of the next request.
    struct dispatch_pace
    {
        instant last;
        run_time_estimator interval;
    };
    struct pool_lane
    {
        explicit pool_lane(std::uint64_t seed)
            : selector(seed)
        {
        }
        fair_queue queue;
        worker_selector selector;
        retry_budget retries;
        std::map<std::string, dispatch_pace> paces;
        log_offset workersAsOf = 0;
        std::vector<std::string> workers;
        // Names of the workers' accounts, in the order of workers.
        std::vector<std::string> resources;
        // Slots of all workers together.
        std::uint32_t slots = 0;
    };
    struct request_record
    {
        request_spec spec;
        std::string pool;
        std::vector<std::string> tried;
        std::string worker;
        instant startedAt;
        duration estimate{ 0 };
        // An earlier attempt may have run.
        bool mayHaveRun = false;
    };
    struct orphaned_attempt
    {
        std::string team;
        std::string worker;
    };

    pool_lane &laneOf(const std::string &pool);
    void refreshWorkers(const std::string &pool, pool_lane &lane, const fleet_state &state);
    std::uint32_t shareOf(const std::string &team, const fleet_state &state) const;
    duration estimateOf(const request_spec &request) const;
    // Whether the request could not end before its deadline if it started now.
    bool isLate(const request_spec &request, instant now) const;
    void notePace(pool_lane &lane, const std::string &team, instant now);
    void schedulePool(const std::string &pool, pool_lane &lane, const fleet_state &state, instant now,
                      std::vector<dispatched_attempt> &starts);
    std::vector<std::string> freeWorkers(const pool_lane &lane, const fleet_state &state, instant now) const;
    dispatched_attempt start(request_record &request, const std::string &worker, pool_lane &lane, const fleet_state &state, instant now);
    void refuseLate(const request_record &request, const std::string &why);
    void releasePermits(const request_record &request);
    void chargeMeasured(const request_record &request, pool_lane &lane, duration measured, const fleet_state &state);
    result_action retryOr(result_action otherwise, request_record request, pool_lane &lane, const fleet_state &state, instant now);
    bool tooLate(const request_spec &request, const pool_lane &lane, instant now) const;

    permit_tracker &m_permits;
    std::uint64_t m_seed;
    std::set<std::string> m_leaving;
    std::map<std::string, pool_lane> m_lanes;
    std::unordered_map<request_id, request_record> m_waiting;
    std::unordered_map<request_id, request_record> m_running;
    std::set<std::pair<instant, request_id>> m_deadlines;
    std::multimap<instant, orphaned_attempt> m_orphaned;
    // By service and team.
    std::map<std::pair<std::string, std::string>, run_time_estimator> m_estimates;
    std::vector<expired_request> m_refused;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_charged;
};

} // namespace jujubespool

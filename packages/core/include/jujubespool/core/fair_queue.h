// Queues the requests of one pool and shares the pool between teams by weight over measured run time.
//
//     queue.push({ id, team, request_class::urgent }, share);
//     const auto next = queue.pop(eligible, estimate);
//     queue.charge(team, share, measured - estimate);
//     queue.chargeRemote(team, share, measuredByPeer);
//     queue.adjustWeights(elapsed);
//
// The queue implements start-time fair queueing. Each team has a virtual time that grows by run time divided by its
// weight, and the waiting team with the lowest virtual time is served next. An unused share therefore goes to
// the other teams at once, and no team waits behind another. A second, fleet-wide virtual time also counts the run time
// at peers. A team whose fleet-wide time is behind gets a higher weight on this host for a while. Serving it first
// would make every host do so at the same time, before the hosts learn of each other's work. Urgent requests are served first,
// but after URGENT_BURST of them in a row a waiting normal request is served.
#pragma once

#include <cstdint>
#include <functional>
#include <jujubespool/core/configuration.h>
#include <jujubespool/core/time.h>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace jujubespool {

using request_id = std::uint64_t;

// Number of urgent requests in a row after which a waiting normal request is served.
constexpr int URGENT_BURST = 8;
// Time over which a team that is behind in fleet-wide time catches up.
constexpr milliseconds CATCH_UP_TIME{ 500 };
// Largest factor by which the weight of such a team is raised, and of a team that is ahead lowered.
constexpr double MAX_WEIGHT_FACTOR = 8;

struct queued_request
{
    request_id id = 0;
    std::string team;
    request_class priority = request_class::normal;
};

class fair_queue
{
public:
    // Adds the request behind the others of its team and class. `share` is the team's weight.
    void push(const queued_request &request, std::uint32_t share);

    // Removes the request without searching the queue. Fails when the request is not in the queue.
    bool cancel(request_id id);

    // Removes and returns the next request of a team for which `eligible` returns true, and charges the estimated run time to
    // the team. Empty when there is none.
    std::optional<queued_request> pop(const std::function<bool(const std::string &team)> &eligible, duration estimate);

    // Puts a request back in front of the others of its team and class, and takes the charge of the estimate back.
    void requeue(const queued_request &request, std::uint32_t share, duration estimate);

    // Charges run time at this host to the team, or the difference from an estimate that was charged before, which may be
    // negative.
    void charge(const std::string &team, std::uint32_t share, duration runTime);

    // Charges run time that a peer has measured to the team's fleet-wide time.
    void chargeRemote(const std::string &team, std::uint32_t share, duration runTime);

    // Raises the weight of waiting teams that are behind in fleet-wide time and lowers that of teams that are ahead.
    // Called at intervals; `elapsed` is the time since the previous call.
    void adjustWeights(duration elapsed);

    // Lowest fleet-wide time among the waiting teams, in microseconds per unit of share; empty when no team waits.
    std::optional<double> headVirtualTime() const;

    // Waiting team with the lowest fleet-wide time; empty when no team waits.
    std::string headTeam() const;

    std::size_t size() const
    {
        return m_positions.size();
    }
    // Number of the team's waiting requests.
    std::size_t waiting(const std::string &team) const;
    // Teams with waiting requests and the number of these requests.
    std::map<std::string, std::size_t> waitingTeams() const;

private:
    struct team_queue
    {
        // In microseconds per unit of share: run time at this host, adjusted by weightFactor, and run time in the whole fleet.
        double virtualTime = 0;
        double fleetTime = 0;
        std::uint32_t share = 1;
        // Factor on the share, from 1 / MAX_WEIGHT_FACTOR to MAX_WEIGHT_FACTOR.
        double weightFactor = 1;
        // Waiting requests by class.
        std::list<request_id> requests[2];

        bool empty() const
        {
            return requests[0].empty() && requests[1].empty();
        }
    };
    using team_order = std::set<std::pair<double, std::string>>;
    struct position
    {
        std::string team;
        request_class priority = request_class::normal;
        std::list<request_id>::iterator entry;
    };

    void insert(const queued_request &request, std::uint32_t share, bool front);
    void remove(const position &entryPosition);
    void setVirtualTime(const std::string &team, team_queue &queue, double value);
    std::optional<queued_request> popFrom(request_class priority, const std::function<bool(const std::string &)> &eligible,
                                          duration estimate);

    std::unordered_map<std::string, team_queue> m_teams;
    std::unordered_map<request_id, position> m_positions;
    // Teams with waiting requests of each class, by virtual time.
    team_order m_order[2];
    // Entry of the waiting team with the lowest fleet-wide time, or nullptr.
    const std::pair<const std::string, team_queue> *head() const;

    // Highest virtual time at which a request was served; a team that was idle continues from it.
    double m_virtualTime = 0;
    // Mean of the waiting teams' fleet-wide times, weighted by share, and its smoothed growth per microsecond.
    double m_meanFleetTime = 0;
    double m_fleetTimeRate = 0;
    int m_consecutiveUrgent = 0;
};

} // namespace jujubespool

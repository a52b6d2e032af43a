// Waiting requests of one pool, shared out between teams by weight over measured run time.
//
//     queue.push({ id, team, request_class::urgent, deadline }, share, now);
//     const auto next = queue.pop(eligible, estimate);
//     queue.charge(team, share, measured - estimate);
//     queue.chargeRemote(team, share, measuredElsewhere);
//     queue.adjustWeights(elapsed);
//
// Start-time fair queueing: each team has a virtual time that grows by run time divided by its
// weight, and the waiting team with the lowest one is served next, so a share that is not used goes to
// the others at once and no team waits behind another. A second, fleet-wide time counts what peers
// have run as well. A team that is behind by it gets more weight here for a while: to serve it at once
// would let every host do so at the same time, before any hears of the others. Urgent requests go first, but after
// URGENT_BURST of them in a row a waiting normal request is served.
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

constexpr int URGENT_BURST = 8;
// Time over which a team that is behind catches up, and the most that its weight changes by.
constexpr milliseconds CATCH_UP_TIME{ 500 };
constexpr double MAX_BOOST = 8;

struct queued_request
{
    request_id id = 0;
    std::string team;
    request_class priority = request_class::normal;
};

class fair_queue
{
public:
    void push(const queued_request &request, std::uint32_t share);

    // Removes the request in constant time. Fails when it does not wait here.
    bool cancel(request_id id);

    // Takes the next request of a team that eligible accepts, and charges the team with the estimate.
    std::optional<queued_request> pop(const std::function<bool(const std::string &team)> &eligible, duration estimate);

    // Puts a request back in front of its team's others.
    void requeue(const queued_request &request, std::uint32_t share, duration estimate);

    // Charges run time of this host, or the part of it that an estimate missed. May be negative.
    void charge(const std::string &team, std::uint32_t share, duration runTime);

    // Charges run time that a peer has measured.
    void chargeRemote(const std::string &team, std::uint32_t share, duration runTime);

    // Gives teams that are behind over the whole fleet more weight, and those ahead less. Called at intervals.
    void adjustWeights(duration elapsed);

    // Lowest fleet-wide time among the waiting teams, in microseconds per unit of share.
    std::optional<double> headVirtualTime() const;

    // Waiting team with the lowest fleet-wide time; empty when none waits.
    std::string headTeam() const;

    std::size_t size() const
    {
        return m_positions.size();
    }
    std::size_t waiting(const std::string &team) const;
    // Teams with waiting requests, with their number.
    std::map<std::string, std::size_t> waitingTeams() const;

private:
    struct team_queue
    {
        double virtualTime = 0;
        double fleetTime = 0;
        std::uint32_t share = 1;
        // Factor on the share, from 1 / MAX_BOOST to MAX_BOOST.
        double boost = 1;
        std::list<request_id> requests[2];

        bool idle() const
        {
            return requests[0].empty() && requests[1].empty();
        }
    };
    using order = std::set<std::pair<double, std::string>>;
    struct position
    {
        std::string team;
        request_class priority = request_class::normal;
        std::list<request_id>::iterator entry;
    };

    void insert(const queued_request &request, std::uint32_t share, bool front);
    void remove(const position &where);
    void setVirtualTime(const std::string &team, team_queue &queue, double value);
    std::optional<queued_request> popFrom(request_class priority, const std::function<bool(const std::string &)> &eligible,
                                          duration estimate);

    std::unordered_map<std::string, team_queue> m_teams;
    std::unordered_map<request_id, position> m_positions;
    // Teams with waiting requests of each class, by virtual time.
    order m_order[2];
    // The head team's entry, or nothing.
    const std::pair<const std::string, team_queue> *head() const;

    double m_systemTime = 0;
    // Share-weighted mean of the waiting teams' fleet-wide times, and its growth a microsecond.
    double m_fleetTime = 0;
    double m_fleetRate = 0;
    int m_urgentInRow = 0;
};

} // namespace jujubespool

// Caches the answers of the placement policy service: which workers may run a step, and with which ticket.
//
//     policy_ticket_cache tickets;
//     const std::string *ticket = tickets.ticketFor("5c0e.0.1", worker, now);
//
// A ticket is valid for one step on one incarnation of a worker until its validity time has passed.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <set>

namespace jujubespool {

struct ticket_request
{
    std::string step;
    std::vector<std::string> workers;
    milliseconds validity{ 0 };

    bool operator<(const ticket_request &other) const
    {
        return step < other.step;
    }
};

class policy_ticket_cache
{
public:
    // Returns null when there is no valid ticket for the worker's current incarnation.
    const std::string *ticketFor(const std::string &step, const worker &target, instant now) const;
    // The policy service has answered that this worker may not run the step.
    bool isDenied(const std::string &step, const std::string &workerId) const;
    bool isRequestPending(const std::string &step) const
    {
        return m_pendingRequests.count(step) > 0;
    }
    std::size_t requestsInFlight() const
    {
        return m_pendingRequests.size();
    }
    void recordRequest(const std::string &step);
    void recordResponse(const ticket_request &request, const ticket_response &response, const worker_registry &workers, instant now);
    void invalidateTicket(const std::string &step, const std::string &workerId);

private:
    struct ticket
    {
        std::string value;
        std::uint64_t startTimeMs = 0;
        instant validUntil;
    };
    struct step_tickets
    {
        std::map<std::string, ticket> tickets;
        // The policy of a step never changes, so a denial is permanent.
        std::set<std::string> deniedWorkers;
    };
    std::map<std::string, step_tickets> m_steps;
    std::set<std::string> m_pendingRequests;
};

} // namespace jujubespool

// Caches the answers of the placement policy service: which workers may run a step, and with which ticket.
//
//     policy_ticket_cache tickets;
//     const std::string *ticket = tickets.ticketFor("5c0e.0.1", worker, now);
//
// A ticket is valid for one step on one incarnation of a worker until its validity time has passed. A denial holds for one
// incarnation as well: after a restart the worker may be of another kind.
#pragma once

#include <jujubespool/jobs/gateways.h>

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
    // Latest time at which a start order with the ticket may be sent to the worker's current incarnation; empty without a ticket.
    std::optional<instant> validUntil(const std::string &step, const worker &target) const;
    // The policy service has answered that this incarnation of the worker may not run the step.
    bool isDenied(const std::string &step, const worker &target) const;
    bool isRequestPending(const std::string &step) const
    {
        return m_pendingRequests.count(step) > 0;
    }
    // False while a request is pending, and for a while after the policy service gave no usable answer for the step.
    bool mayRequest(const std::string &step, instant now) const;
    std::size_t requestsInFlight() const
    {
        return m_pendingRequests.size();
    }
    // The answer will hold for the incarnations that the workers have now.
    void recordRequest(const ticket_request &request, const worker_registry &workers);
    // Returns the time until the step may be requested again; 0 after a usable answer.
    milliseconds recordResponse(const ticket_request &request, const ticket_response &response, instant now);
    void invalidateTicket(const std::string &step, const std::string &workerId);
    // Drops the answers for steps that are not needed any more and for incarnations of workers that have ended.
    void prune(const std::function<bool(const std::string &step)> &isNeeded, const worker_registry &workers);
    // Number of steps for which answers are stored.
    std::size_t stepCount() const
    {
        return m_steps.size();
    }

private:
    using incarnations = std::map<std::string, std::uint64_t>;
    struct ticket
    {
        std::string value;
        std::uint64_t startTimeMs = 0;
        instant validUntil;
    };
    const ticket *find(const std::string &step, const worker &target) const;
    struct step_tickets
    {
        std::map<std::string, ticket> tickets;
        // The policy of a step never changes, so a denial is permanent for that incarnation of the worker.
        incarnations deniedWorkers;
        // After requests without a usable answer.
        milliseconds retryDelay{ 0 };
        instant retryAt;
    };
    std::map<std::string, step_tickets> m_steps;
    // The workers of each request that has no answer yet. The gateway answers each request or reports that it timed out.
    std::map<std::string, incarnations> m_pendingRequests;
};

} // namespace jujubespool

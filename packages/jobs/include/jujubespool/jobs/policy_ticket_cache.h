// Caches the answers of the placement policy service: which workers may run a step, and with which ticket.
//
//     policy_ticket_cache tickets;
//     const std::string *ticket = tickets.ticketFor("5c0e.0.1", worker, now);
//
// A ticket is valid for one step on one incarnation of a worker until its validity time has passed. A denial holds for one
// incarnation as well: after a restart the worker may be of another kind. An answer that comes late is used like any other.
#pragma once

#include <jujubespool/jobs/policy_request_pacer.h>

namespace jujubespool {

struct ticket_request
{
    std::string step;
    std::vector<std::string> workers;
    milliseconds validity{ 0 };
    std::string queue = {};
    // Time that the service says it needs for the answer.
    milliseconds cost{ 0 };

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
    // The policy service has permitted the step on this incarnation of the worker, perhaps with a ticket that has run out.
    bool wasGranted(const std::string &step, const worker &target) const
    {
        return find(step, target) != nullptr;
    }
    // Share of further workers that the policy service is expected to permit for the step, by its answers for the step and for others of
    // the queue.
    double grantRatio(const std::string &queue, const std::string &step) const;
    bool isRequestPending(const std::string &step) const
    {
        return m_pendingSteps.count(step) > 0;
    }
    // False for a while after the policy service gave no usable answer for the step.
    bool mayRequest(const std::string &step, instant now) const;
    // Number of requests whose response may still come, among them those that count as lost.
    std::size_t requestsInFlight() const
    {
        return m_pendingRequests.size();
    }
    // When requests may be sent to the policy service.
    const policy_request_pacer &pacer() const
    {
        return m_pacer;
    }
    // Returns the number of the request. Its answer will hold for the incarnations that the workers have now.
    std::uint64_t recordRequest(const ticket_request &request, const worker_registry &workers, instant now);
    void recordResponse(std::uint64_t number, const ticket_response &response, instant now);
    // Steps whose request counts as lost may be requested again. Returns these steps.
    std::vector<std::string> releaseLostRequests(instant now);
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
    struct pending_request
    {
        ticket_request request;
        incarnations asked;
    };
    struct grant_counts
    {
        double asked = 0;
        double granted = 0;
    };
    void release(std::uint64_t number, const std::string &step);
    void recordAnswer(const pending_request &answered, const ticket_response &response, instant now);

    std::map<std::string, step_tickets> m_steps;
    // By number: the requests whose response may still come. The gateway ends each of them at some time.
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    // By step: the latest request, unless it counts as lost.
    std::map<std::string, std::uint64_t> m_pendingSteps;
    policy_request_pacer m_pacer;
    std::map<std::string, grant_counts> m_grants;
};

} // namespace jujubespool

// Answers of the policy service: which workers may run a step, and with which ticket.
//
//     policy_ticket_cache book;
//     const std::string *ticket = book.ticketFor("5c0e.0.1", worker, now);
//
// A ticket holds for a step on one life of a worker until its time is over.
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
    // Null when there is no valid ticket for the worker's life.
    const std::string *ticketFor(const std::string &step, const worker &target, instant now) const;
    // The service has said that this worker may not run the step.
    bool isDenied(const std::string &step, const std::string &workerId) const;
    bool isRequestPending(const std::string &step) const
    {
        return m_asking.count(step) > 0;
    }
    std::size_t requestsInFlight() const
    {
        return m_asking.size();
    }
    void recordRequest(const std::string &step);
    void recordResponse(const ticket_request &question, const ticket_response &answer, const worker_registry &workers, instant now);
    void invalidateTicket(const std::string &step, const std::string &workerId);

private:
    struct ticket
    {
        std::string text;
        std::uint64_t startTimeMs = 0;
        instant validUntil;
    };
    struct step_advice
    {
        std::map<std::string, ticket> good;
        // The policy of a step does not change, so that a refusal holds.
        std::set<std::string> refused;
    };
    std::map<std::string, step_advice> m_steps;
    std::set<std::string> m_asking;
};

} // namespace jujubespool

// Answers of the policy service: which workers may run a step, and with which ticket.
//
//     advice_book book;
//     const std::string *ticket = book.ticketFor("5c0e.0.1", worker, now);
//
// A ticket holds for a step on one life of a worker until its time is over.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <set>

namespace jujubespool {

struct advice_question
{
    std::string step;
    std::vector<std::string> workers;
    milliseconds validity{ 0 };

    bool operator<(const advice_question &other) const
    {
        return step < other.step;
    }
};

class advice_book
{
public:
    // Null when there is no valid ticket for the worker's life.
    const std::string *ticketFor(const std::string &step, const worker &target, instant now) const;
    // The service has said that this worker may not run the step.
    bool refused(const std::string &step, const std::string &workerId) const;
    bool asking(const std::string &step) const
    {
        return m_asking.count(step) > 0;
    }
    std::size_t callsInFlight() const
    {
        return m_asking.size();
    }
    void noteAsked(const std::string &step);
    void noteAnswer(const advice_question &question, const advice_result &answer, const worker_registry &workers, instant now);
    void dropTicket(const std::string &step, const std::string &workerId);

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

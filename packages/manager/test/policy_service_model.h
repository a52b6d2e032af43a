// A model of the policy service: it handles the requests of one machine in turn, also those whose senders have left.
//
//     policy_service_model service(platform, { milliseconds(150), milliseconds(15), seconds(3) });
//     service.setSilent(true);
//     service.handled();
//
// A ticket names the wall-clock time at which it runs out.
#pragma once

#include "fake_platform.h"
#include <random>

namespace jujubespool {

struct policy_service_traits
{
    policy_config times;
    // Requests whose senders have left are skipped. Otherwise the service handles them.
    bool skipsLeft = false;
    // Responses that do not reach their senders, of a hundred.
    int lostPercent = 0;
    // The time that the service really needs, of a hundred parts of what it says.
    int slownessPercent = 100;
    // Workers that the service permits, of a hundred.
    int permittedPercent = 100;
};

class policy_service_model : public policy_gateway
{
public:
    policy_service_model(fake_platform &platform, const policy_service_traits &traits, unsigned seed);

    void requestTickets(const std::string &step, const std::vector<std::string> &workers, milliseconds timeout,
                        std::function<void(const ticket_response &, instant now)> done) override;

    // A silent service handles nothing; what arrives waits.
    void setSilent(bool silent);
    // The service is not reached: what is sent meanwhile is lost.
    bool unreachable = false;
    // Requests of another process of the machine, which has left.
    void addAbandonedRequests(int count, milliseconds cost);
    // Requests in the line, of this process and of others.
    std::size_t waiting() const
    {
        return m_line.size();
    }
    // Requests of this process that the service has handled, and those of them whose response was received.
    int handled() const
    {
        return m_handled;
    }
    int useful() const
    {
        return m_useful;
    }

private:
    struct request
    {
        std::string step;
        std::vector<std::string> workers;
        milliseconds cost{ 0 };
        std::function<void(const ticket_response &, instant now)> done;
        bool left = false;
        bool foreign = false;
    };
    void arrive(const std::shared_ptr<request> &arrived);
    void handleNext();
    void complete(const std::shared_ptr<request> &active);
    void respond(const std::shared_ptr<request> &active, const ticket_response &response);
    ticket_response decide(const request &active) const;
    bool permits(const std::string &step, const std::string &worker) const;

    fake_platform &m_platform;
    policy_service_traits m_traits;
    std::minstd_rand m_random;
    std::deque<std::shared_ptr<request>> m_line;
    bool m_busy = false;
    bool m_silent = false;
    int m_handled = 0;
    int m_useful = 0;
};

} // namespace jujubespool

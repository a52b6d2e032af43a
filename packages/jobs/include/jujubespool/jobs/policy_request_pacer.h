// Decides when the next request may be sent to the policy service, which handles the requests of this machine one after the other.
//
//     policy_request_pacer pacer;
//     if (pacer.maySend(now)) {
//         const std::uint64_t number = pacer.onSent(cost, now);
//     }
//     pacer.onResponse(number, ticket_outcome::answered, now);
//
// Before a response the service has to handle everything that arrived earlier, also requests whose senders have left. So a request is not
// given up because its response is late, which would only make the line longer. Instead, the next request is sent when the service is
// expected to have handled the ones before it. A service that has become silent is probed less and less often. A request counts as lost
// once a later one has been answered.
#pragma once

#include <deque>
#include <jujubespool/jobs/gateways.h>
#include <vector>

namespace jujubespool {

// Longest time between two requests to a service that does not respond or takes no requests, unless one request takes longer.
constexpr milliseconds MAX_PROBE_INTERVAL{ 1600 };

class policy_request_pacer
{
public:
    // Whether another request may be sent now.
    bool maySend(instant now) const;
    // Whether a request whose response is overdue may be sent once more. In a long line the first one is still handled, so that the second
    // takes time from the service for nothing. The time between such requests doubles, up to some seconds.
    bool mayRepeat(instant now) const;
    void onRepeated(instant now);
    // When the answer of maySend(), mayRepeat(), isStalled() or takeLost() may be another one next although no response has come; empty if
    // none will be.
    std::optional<instant> nextChange(instant now) const;
    // The cost is the time that the service says it needs for the request. Returns the number of the request.
    std::uint64_t onSent(milliseconds cost, instant now);
    // A response may come for a request that counts as lost.
    void onResponse(std::uint64_t number, ticket_outcome outcome, instant now);
    // The responses are overdue, so the line is longer than what this process has sent, or the service does not respond.
    bool isStalled(instant now) const;
    // The service did not take the last request, and is given time.
    bool isPaused(instant now) const
    {
        return now < m_pausedUntil;
    }
    // Numbers of the requests that have begun to count as lost since the last call.
    std::vector<std::uint64_t> takeLost(instant now);
    // Nothing is in the line as far as this process knows.
    bool isIdle() const
    {
        return m_line.empty();
    }
    // Mean cost of the last requests, at the speed at which the service answers now.
    duration meanCost() const;
    // Time after which the service is expected to have handled what has been sent.
    duration expectedBacklog(instant now) const;

private:
    struct pending_request
    {
        std::uint64_t number = 0;
        milliseconds cost{ 0 };
        instant sentAt;
    };
    struct overtaken_request
    {
        std::uint64_t number = 0;
        instant lostAt;
    };
    duration expectedTime(milliseconds cost) const;
    // When the service began with the first request of the line, as far as this process knows.
    instant headStartedAt() const;
    instant expectedEnd() const;
    instant stalledAt() const;
    // The request at this position of the line was answered.
    void onAnswered(std::size_t position, instant now);
    void learnSpeed(const pending_request &answered, instant now);
    void pause(milliseconds cost, instant now);

    // Requests that the service is expected to handle still, in the order of their sending.
    std::deque<pending_request> m_line;
    // Requests without a response, of which a later one was answered. Responses may overtake each other for a moment.
    std::vector<overtaken_request> m_overtaken;
    std::uint64_t m_lastNumber = 0;
    // When the last response showed that the service had handled a request.
    instant m_lastProgress;
    // Time that the service needs, as a multiple of what it says.
    double m_slowdown = 1;
    double m_meanCostMs = 0;
    // While the service is silent: time until the next request.
    duration m_probeInterval{ 0 };
    instant m_nextProbeAt;
    instant m_nextRepeatAt;
    // After a request that the service did not take.
    duration m_pause{ 0 };
    instant m_pausedUntil;
};

} // namespace jujubespool

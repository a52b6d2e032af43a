// Estimates whether the workers of a request to the policy service are likely to get enough tickets.
//
//     expected_grants grants;
//     grants.add(0.5, 2); // A worker with room for 2 tasks, of a policy that permits one worker of two.
//     grants.suffice(4);
#pragma once

#include <cmath>
#include <cstdint>

namespace jujubespool {

class expected_grants
{
public:
    // Adds a worker that is permitted with this probability and then can take so many tasks.
    void add(double probability, std::int64_t tasks)
    {
        const auto room = static_cast<double>(tasks);
        m_mean += probability * room;
        m_variance += probability * (1 - probability) * room * room;
    }
    // Whether there will be room for the tasks unless fewer workers than usual are permitted.
    bool suffice(std::int64_t tasks) const
    {
        return m_mean - MARGIN * std::sqrt(m_variance) >= static_cast<double>(tasks);
    }

private:
    // In standard deviations below the mean.
    static constexpr double MARGIN = 1.5;

    double m_mean = 0;
    double m_variance = 0;
};

} // namespace jujubespool

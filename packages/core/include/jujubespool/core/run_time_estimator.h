// Running estimate of how long the work of one team on one service runs.
//
//     estimate.addSample(measured);
//     if (now + estimate.upperEstimate() > deadline) { ... refuse ... }
#pragma once

#include <algorithm>
#include <cmath>
#include <jujubespool/core/time.h>

namespace jujubespool {

class run_time_estimator
{
public:
    void addSample(duration sample)
    {
        const auto value = static_cast<double>(sample.count());
        if (!m_known) {
            m_known = true;
            m_meanUs = value;
            m_deviationUs = value / 2;
            return;
        }
        m_deviationUs += SMOOTHING * (std::abs(value - m_meanUs) - m_deviationUs);
        m_meanUs += SMOOTHING * (value - m_meanUs);
    }

    bool known() const
    {
        return m_known;
    }

    duration mean() const
    {
        return duration(static_cast<duration::rep>(m_meanUs));
    }

    // A time within which most runs end.
    duration upperEstimate() const
    {
        return duration(static_cast<duration::rep>(m_meanUs + 2 * m_deviationUs));
    }

private:
    static constexpr double SMOOTHING = 0.1;
    bool m_known = false;
    double m_meanUs = 0;
    double m_deviationUs = 0;
};

} // namespace jujubespool

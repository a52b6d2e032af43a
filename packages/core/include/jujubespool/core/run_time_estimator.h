// Estimates how long the work of one team on one service runs, as an exponential moving average.
//
//     estimator.addSample(measured);
//     if (now + estimator.upperEstimate() > deadline) { ... refuse ... }
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
        if (!m_hasSample) {
            m_hasSample = true;
            m_meanUs = value;
            m_deviationUs = value / 2;
            return;
        }
        m_deviationUs += SMOOTHING * (std::abs(value - m_meanUs) - m_deviationUs);
        m_meanUs += SMOOTHING * (value - m_meanUs);
    }

    // Whether there is a sample.
    bool known() const
    {
        return m_hasSample;
    }

    // 0 without samples.
    duration mean() const
    {
        return duration(static_cast<duration::rep>(m_meanUs));
    }

    // Time within which most runs end: the mean plus twice the mean absolute deviation. 0 without samples.
    duration upperEstimate() const
    {
        return duration(static_cast<duration::rep>(m_meanUs + 2 * m_deviationUs));
    }

private:
    // Weight of a new sample in the moving averages.
    static constexpr double SMOOTHING = 0.1;
    bool m_hasSample = false;
    double m_meanUs = 0;
    double m_deviationUs = 0;
};

} // namespace jujubespool

#include <jujubespool/jobs/interference_model.h>

#include <algorithm>
#include <cmath>

namespace jujubespool {

namespace {

// Share of the unexplained part by which one report corrects what is known.
constexpr double LEARNING_RATE = 0.4;
// A report counts half after this time.
constexpr double EVIDENCE_HALF_LIFE_S = 5;
// With fewer reports nothing is known.
constexpr double MIN_REPORTS = 2.5;
// Ratio of a serving image of which nothing is known yet.
constexpr double USUAL_RATIO = 0.5;
constexpr std::size_t MAX_PAIRS = 4096;

double decayed(double reports, instant updatedAt, instant now)
{
    return reports * std::exp2(-static_cast<double>((now - updatedAt).count()) / 1e6 / EVIDENCE_HALF_LIFE_S);
}

} // namespace

void interference_model::observe(const image_name &serving, double tailRatio, const std::vector<neighbour_run> &beside, instant now)
{
    if (!(tailRatio >= 0)) {
        return;
    }
    const auto [alone, isNew] = m_alone.try_emplace(serving);
    if (isNew) {
        alone->second.harm = USUAL_RATIO;
    }
    double explained = alone->second.harm;
    double weight = 1;
    for (const neighbour_run &neighbour : beside) {
        const auto known = m_pairs.find({ serving, neighbour.image });
        explained += (known == m_pairs.end() ? 0 : known->second.harm) * neighbour.speed;
        weight += neighbour.speed * neighbour.speed;
    }
    const double correction = LEARNING_RATE * (std::min(tailRatio, MAX_TAIL_RATIO) - explained) / weight;
    const auto update = [now](pair_state &state, double change) {
        state.harm = std::max(0.0, state.harm + change);
        state.reports = decayed(state.reports, state.updatedAt, now) + 1;
        state.updatedAt = now;
    };
    update(alone->second, correction);
    for (const neighbour_run &neighbour : beside) {
        // A run that stands still shows nothing about its image.
        if (neighbour.speed > 0) {
            update(m_pairs[{ serving, neighbour.image }], correction * neighbour.speed);
        }
    }
    if (m_pairs.size() > MAX_PAIRS || m_alone.size() > MAX_PAIRS) {
        forgetOldest();
    }
}

// Half of them, so that this is rare.
void interference_model::forgetOldest()
{
    const auto keepNewest = [](auto &states) {
        std::vector<instant> times;
        times.reserve(states.size());
        for (const auto &[key, state] : states) {
            times.push_back(state.updatedAt);
        }
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        std::erase_if(states, [oldest = *middle](const auto &entry) { return entry.second.updatedAt < oldest; });
        while (states.size() > MAX_PAIRS) {
            states.erase(states.begin());
        }
    };
    keepNewest(m_pairs);
    keepNewest(m_alone);
}

interference_evidence interference_model::evidence(const image_name &serving, const image_name &filling, instant now) const
{
    const auto known = m_pairs.find({ serving, filling });
    if (known == m_pairs.end()) {
        return {};
    }
    return { known->second.harm, decayed(known->second.reports, known->second.updatedAt, now) };
}

double interference_model::harm(const image_name &serving, const image_name &filling, instant now) const
{
    const interference_evidence known = evidence(serving, filling, now);
    return known.reports >= MIN_REPORTS && known.harm >= MIN_HARM ? known.harm : 0;
}

} // namespace jujubespool

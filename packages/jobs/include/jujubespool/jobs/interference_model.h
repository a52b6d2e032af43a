// Learns from the reports of workers how much best-effort runs slow down the runs that serve callers on the same worker.
//
//     interference_model known;
//     known.observe(servingImage, tailRatio, { { fillingImage, 1.0 } }, now);
//     if (known.harm(servingImage, fillingImage, now) >= MIN_HARM) { ... }   // keep them apart
//
// A tail ratio is the tail latency of a serving run divided by its target. It is explained as a part of the serving image's own plus, for
// each run beside it, the harm of that run's image times its speed; each report corrects the parts by what they did not explain. Runs of
// one image behave alike, so the reports of all workers count. Effects change within seconds, so what was learned fades. Performs no input
// or output.
#pragma once

#include <jujubespool/jobs/job.h>
#include <map>
#include <vector>

namespace jujubespool {

// Higher ratios are counted as this: a figure may be absurd, and one report must not decide alone.
constexpr double MAX_TAIL_RATIO = 3;
// A rise of the tail ratio that counts as harm.
constexpr double MIN_HARM = 0.15;

// A best-effort run beside a serving run.
struct neighbour_run
{
    image_name image;
    // Share of its full speed, 0 to 1.
    double speed = 0;
};

// What is known of a pair of images.
struct interference_evidence
{
    // Expected rise of the tail ratio if the filling run works at full speed.
    double harm = 0;
    // Number of reports behind it; older ones count less.
    double reports = 0;
};

class interference_model
{
public:
    void observe(const image_name &serving, double tailRatio, const std::vector<neighbour_run> &beside, instant now);
    // The expected rise of the tail ratio by a run of that image at full speed; 0 unless enough recent reports show it.
    double harm(const image_name &serving, const image_name &filling, instant now) const;
    interference_evidence evidence(const image_name &serving, const image_name &filling, instant now) const;
    std::size_t pairs() const
    {
        return m_pairs.size();
    }

private:
    struct pair_state
    {
        double harm = 0;
        double reports = 0;
        instant updatedAt;
    };
    using image_pair = std::pair<image_name, image_name>;
    void forgetOldest();

    // Tail ratio of a serving image with nothing beside it.
    std::map<image_name, pair_state> m_alone;
    std::map<image_pair, pair_state> m_pairs;
};

} // namespace jujubespool

#include <jujubespool/jobs/speed_limits.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Best-effort runs are slowed when a tail ratio exceeds the first value, to bring it to the second. Below the third they are sped up.
constexpr double HIGH_TAIL_RATIO = 0.8;
constexpr double SLOWED_TAIL_RATIO = 0.7;
constexpr double LOW_TAIL_RATIO = 0.55;
constexpr int FULL_SPEED_PERCENT = 100;
constexpr int SPEED_INCREASE_PERCENT = 30;
// A report covers half a second, and a change of speed takes effect a little after its order.
constexpr milliseconds SETTLING_TIME{ 700 };
// A limit that has lasted this long ends although the tail ratio is not low, as long as it is not high.
constexpr milliseconds MAX_LIMIT_TIME{ 5000 };
// A tail ratio that is high within this time after a run was sped up is taken for its doing.
constexpr milliseconds SUSPICION_TIME{ 2000 };

bool serves(const placed_run &run)
{
    return run.tailLatencyTarget.count() > 0 && run.confirmed;
}

bool fills(const placed_run &run)
{
    return run.bestEffort && run.confirmed && !run.stopping;
}

double tailRatioOf(const placed_run &run)
{
    const double ratio = static_cast<double>(run.reportedMetric) / static_cast<double>(run.tailLatencyTarget.count());
    return std::clamp(ratio, 0.0, MAX_TAIL_RATIO);
}

double speedOf(const placed_run &run)
{
    return static_cast<double>(run.speedLimitPercent) / FULL_SPEED_PERCENT;
}

bool hasSettled(const placed_run &run, instant now)
{
    return now - std::max(run.confirmedAt, run.speedChangedAt) >= SETTLING_TIME;
}

// The serving run with the highest tail ratio; null if there is none.
const placed_run *worstServingRun(const worker &target)
{
    const placed_run *worst = nullptr;
    for (const auto &[key, run] : target.runs) {
        if (serves(run) && (worst == nullptr || tailRatioOf(run) > tailRatioOf(*worst))) {
            worst = &run;
        }
    }
    return worst;
}

struct candidate
{
    const task_key *task = nullptr;
    const placed_run *run = nullptr;
    double harm = 0;
};

// The run whose recent speed-up may explain a high tail ratio; null if there is none.
const candidate *suspectOf(const std::vector<candidate> &candidates, instant now)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [now](const candidate &considered) {
        return considered.run->spedUp && now - considered.run->speedChangedAt < SUSPICION_TIME;
    });
    return found == candidates.end() ? nullptr : &*found;
}

// Undoes the speed-up; over the target the run stands still.
int suspectedPercent(const placed_run &run, double tailRatio)
{
    return tailRatio > 1 ? 0 : std::max(0, run.speedLimitPercent - SPEED_INCREASE_PERCENT);
}

std::vector<speed_change> slowAll(const std::vector<candidate> &candidates, double tailRatio)
{
    std::vector<speed_change> changes;
    for (const candidate &slowed : candidates) {
        const int percent = tailRatio > 1 ? 0 : slowed.run->speedLimitPercent / 2;
        changes.push_back({ *slowed.task, percent, speed_change_reason::unexplained, tailRatio, slowed.harm });
    }
    return changes;
}

// Slows the most harmful runs until that is expected to be enough; all if it is not.
std::vector<speed_change> slowDown(std::vector<candidate> candidates, double tailRatio)
{
    std::erase_if(candidates, [](const candidate &considered) { return considered.run->speedLimitPercent == 0; });
    std::sort(candidates.begin(), candidates.end(), [](const candidate &left, const candidate &right) {
        return left.harm * speedOf(*left.run) > right.harm * speedOf(*right.run);
    });
    std::vector<speed_change> changes;
    double expected = tailRatio;
    for (const candidate &slowed : candidates) {
        if (expected <= SLOWED_TAIL_RATIO || slowed.harm <= 0) {
            break;
        }
        const double needed = (expected - SLOWED_TAIL_RATIO) / slowed.harm;
        const double speed = tailRatio > 1 ? 0 : std::max(0.0, speedOf(*slowed.run) - needed);
        expected -= slowed.harm * (speedOf(*slowed.run) - speed);
        changes.push_back(
            { *slowed.task, static_cast<int>(speed * FULL_SPEED_PERCENT), speed_change_reason::known_harm, tailRatio, slowed.harm });
    }
    return expected <= HIGH_TAIL_RATIO ? changes : slowAll(candidates, tailRatio);
}

// Speeds the least harmful run up that is expected to leave the serving runs below their limit.
std::vector<speed_change> speedUp(const std::vector<candidate> &candidates, double tailRatio, instant now)
{
    const candidate *chosen = nullptr;
    for (const candidate &considered : candidates) {
        const bool isOld = now - considered.run->speedChangedAt >= MAX_LIMIT_TIME;
        const double expected = tailRatio + considered.harm * SPEED_INCREASE_PERCENT / FULL_SPEED_PERCENT;
        const bool mayBeSped = (tailRatio < LOW_TAIL_RATIO || isOld) && expected <= HIGH_TAIL_RATIO;
        if (considered.run->speedLimitPercent < FULL_SPEED_PERCENT && mayBeSped && (chosen == nullptr || considered.harm < chosen->harm)) {
            chosen = &considered;
        }
    }
    if (chosen == nullptr) {
        return {};
    }
    const int percent = std::min(FULL_SPEED_PERCENT, chosen->run->speedLimitPercent + SPEED_INCREASE_PERCENT);
    return { { *chosen->task, percent, speed_change_reason::sped_up, tailRatio, chosen->harm } };
}

} // namespace

void learnFromWorker(const worker &target, interference_model &known, instant now)
{
    std::vector<neighbour_run> beside;
    for (const auto &[key, run] : target.runs) {
        if (run.bestEffort && (!fills(run) || !hasSettled(run, now))) {
            return;
        }
        if (fills(run)) {
            beside.push_back({ run.image, speedOf(run) });
        }
    }
    for (const auto &[key, run] : target.runs) {
        if (serves(run) && hasSettled(run, now) && run.reportedMetric > 0) {
            known.observe(run.image, tailRatioOf(run), beside, now);
        }
    }
}

std::vector<speed_change> planSpeedLimits(const worker &target, const interference_model &known, instant now)
{
    const placed_run *worst = worstServingRun(target);
    const double tailRatio = worst == nullptr ? 0 : tailRatioOf(*worst);
    std::vector<candidate> candidates;
    for (const auto &[key, run] : target.runs) {
        if (!fills(run)) {
            continue;
        }
        if (now - run.speedChangedAt < SETTLING_TIME) {
            // The report does not show yet what the last change has done.
            return {};
        }
        candidates.push_back({ &key, &run, worst == nullptr ? 0 : known.harm(worst->image, run.image, now) });
    }
    if (tailRatio <= HIGH_TAIL_RATIO) {
        return speedUp(candidates, tailRatio, now);
    }
    if (const candidate *suspect = suspectOf(candidates, now)) {
        return { { *suspect->task, suspectedPercent(*suspect->run, tailRatio), speed_change_reason::suspected, tailRatio, suspect->harm } };
    }
    return slowDown(std::move(candidates), tailRatio);
}

int changeSpeed(placed_run &run, int percent, instant now)
{
    const int former = std::exchange(run.speedLimitPercent, percent);
    run.spedUp = percent > former;
    run.speedChangedAt = now;
    return former;
}

bool wouldInterfere(const worker &target, const step_spec &step, const interference_model &known, instant now)
{
    const bool serving = step.tailLatencyTarget.count() > 0;
    if (known.pairs() == 0 || (!serving && !step.bestEffort)) {
        return false;
    }
    const image_name image(step.image);
    return std::any_of(target.runs.begin(), target.runs.end(), [&](const auto &entry) {
        const placed_run &run = entry.second;
        const bool harmed = serving && run.bestEffort && known.harm(image, run.image, now) > 0;
        const bool harms = step.bestEffort && run.tailLatencyTarget.count() > 0 && known.harm(run.image, image, now) > 0;
        return harmed || harms;
    });
}

} // namespace jujubespool

#include <criterion/criterion.h>
#include <jujubespool/jobs/peak_forecaster.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds STEP{ 150 };
constexpr std::int64_t PEAK_CPU_MILLIS = 4000000;
constexpr std::int64_t BASE_CPU_MILLIS = 40000;
const std::vector<std::string> POOLS{ "a", "b", "c", "d" };

// Four pools that peak one after the other.
class rotating_load
{
public:
    // Simulates a peak of the pool; of no pool when the index is negative.
    void simulate(int pool, milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            for (std::size_t i = 0; i < POOLS.size(); ++i) {
                m_forecaster.recordLoad(POOLS[i], static_cast<int>(i) == pool ? PEAK_CPU_MILLIS : BASE_CPU_MILLIS, m_now);
            }
        }
    }
    std::string expected() const
    {
        const std::optional<expected_peak> peak = m_forecaster.nextPeak(m_now);
        return peak ? peak->pool : std::string();
    }
    milliseconds expectedIn() const
    {
        return duration_cast<milliseconds>(m_forecaster.nextPeak(m_now)->at - m_now);
    }
    bool isPeakOver(const std::string &pool) const
    {
        return m_forecaster.isPeakOver(pool);
    }

private:
    peak_forecaster m_forecaster;
    instant m_now{ seconds(100) };
};

struct expectation
{
    const char *description;
    // Pools whose peaks have started, one character each; '-' for a peak that a failure hid.
    const char *peaksSoFar;
    const char *expected;
};

} // namespace

Test(peak_forecaster, predictsTheNextPeakOfARegularRotation)
{
    const expectation rows[] = {
        { "no peak so far", "", "" },
        { "one peak gives no interval", "a", "" },
        { "the third pool cannot be predicted in the first rotation", "ab", "" },
        { "the last pool of the first rotation", "abc", "d" },
        { "the second rotation", "abcd", "a" },
        { "the order is learned", "abdcabd", "c" },
        { "a peak was hidden", "abcdab-", "d" },
    };
    for (const expectation &row : rows) {
        rotating_load load;
        for (const char *peak = row.peaksSoFar; *peak != 0; ++peak) {
            load.simulate(*peak == '-' ? -1 : *peak - 'a', seconds(5) - milliseconds(50));
        }
        cr_assert_eq(load.expected(), row.expected, "%s: %s", row.description, load.expected().c_str());
    }
}

Test(peak_forecaster, predictsWhenTheNextPeakStarts)
{
    rotating_load load;
    for (int peak = 0; peak < 6; ++peak) {
        load.simulate(peak % 4, milliseconds(4950));
    }
    load.simulate(2, milliseconds(1500));
    cr_assert_eq(load.expected(), "d");
    const milliseconds left = load.expectedIn();
    cr_assert(left > milliseconds(3200) && left < milliseconds(3700), "%ld", static_cast<long>(left.count()));
}

Test(peak_forecaster, predictsNothingWhileThePeaksAreIrregular)
{
    rotating_load load;
    for (const int durationMs : { 1500, 9000, 3000, 14000, 6000 }) {
        load.simulate(durationMs % 4, milliseconds(durationMs));
        load.simulate(-1, milliseconds(900));
    }
    cr_assert_eq(load.expected(), "");
}

Test(peak_forecaster, detectsThatAPeakIsOver)
{
    rotating_load load;
    load.simulate(0, seconds(5));
    cr_assert_not(load.isPeakOver("a"));
    load.simulate(1, seconds(1));
    cr_assert(load.isPeakOver("a"));
    cr_assert_not(load.isPeakOver("b"));
}

#include <criterion/criterion.h>
#include <jujubespool/jobs/peak_forecaster.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr milliseconds STEP{ 150 };
constexpr std::int64_t PEAK = 4000000;
constexpr std::int64_t BETWEEN = 40000;
const std::vector<std::string> POOLS{ "a", "b", "c", "d" };

// Four pools that have their peaks one after the other.
class turns
{
public:
    // Plays a turn of the pool; of no pool when the index is negative.
    void play(int pool, milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += STEP) {
            m_now += STEP;
            for (std::size_t i = 0; i < POOLS.size(); ++i) {
                m_forecast.note(POOLS[i], static_cast<int>(i) == pool ? PEAK : BETWEEN, m_now);
            }
        }
    }
    std::string expected() const
    {
        const std::optional<expected_peak> turn = m_forecast.next(m_now);
        return turn ? turn->pool : std::string();
    }
    milliseconds expectedIn() const
    {
        return duration_cast<milliseconds>(m_forecast.next(m_now)->at - m_now);
    }
    bool isOver(const std::string &pool) const
    {
        return m_forecast.isOver(pool);
    }

private:
    peak_forecaster m_forecast;
    instant m_now{ seconds(100) };
};

struct expectation
{
    const char *what;
    // Pools whose turns have begun, one character each; '-' for a turn that a failure hid.
    const char *played;
    const char *expected;
};

} // namespace

Test(peak_forecaster, expectsTheNextTurnOfARegularRound)
{
    const expectation rows[] = {
        { "nothing is known", "", "" },
        { "one turn tells no interval", "a", "" },
        { "the second pool cannot be told in the first round", "ab", "" },
        { "the last pool of the first round", "abc", "d" },
        { "a second round", "abcd", "a" },
        { "the order is learnt", "abdcabd", "c" },
        { "a turn was hidden", "abcdab-", "d" },
    };
    for (const expectation &row : rows) {
        turns load;
        for (const char *turn = row.played; *turn != 0; ++turn) {
            load.play(*turn == '-' ? -1 : *turn - 'a', seconds(5) - milliseconds(50));
        }
        cr_assert_eq(load.expected(), row.expected, "%s: %s", row.what, load.expected().c_str());
    }
}

Test(peak_forecaster, tellsWhenTheTurnBegins)
{
    turns load;
    for (int turn = 0; turn < 6; ++turn) {
        load.play(turn % 4, milliseconds(4950));
    }
    load.play(2, milliseconds(1500));
    cr_assert_eq(load.expected(), "d");
    const milliseconds left = load.expectedIn();
    cr_assert(left > milliseconds(3200) && left < milliseconds(3700), "%ld", static_cast<long>(left.count()));
}

Test(peak_forecaster, tellsNothingWhileThePeaksAreIrregular)
{
    turns load;
    for (const int lasting : { 1500, 9000, 3000, 14000, 6000 }) {
        load.play(lasting % 4, milliseconds(lasting));
        load.play(-1, milliseconds(900));
    }
    cr_assert_eq(load.expected(), "");
}

Test(peak_forecaster, knowsThatATurnIsOver)
{
    turns load;
    load.play(0, seconds(5));
    cr_assert_not(load.isOver("a"));
    load.play(1, seconds(1));
    cr_assert(load.isOver("a"));
    cr_assert_not(load.isOver("b"));
}

#include <criterion/criterion.h>
#include <jujubespool/manager/stop_sequence.h>
#include <vector>

namespace {

using namespace jujubespool;

constexpr instant START{ seconds(100) };
constexpr milliseconds PASS{ 25 };
constexpr milliseconds GRACE{ 6000 };

struct stop_row
{
    const char *name;
    // When requests arrive after the start of the stop, and how long each takes.
    std::vector<milliseconds> arrivals;
    milliseconds answerTime;
    bool handsOver;
};

const std::vector<stop_row> &stops()
{
    static const std::vector<stop_row> ROWS{
        { "no request", {}, milliseconds(0), true },
        { "a request that is answered just before the process may end", { milliseconds(2500) }, milliseconds(100), true },
        { "requests one after the other", { milliseconds(2000), milliseconds(2400), milliseconds(2800) }, milliseconds(500), true },
        { "a request that is never answered", { milliseconds(2000) }, milliseconds(60000), true },
        { "a request in the last moment", { milliseconds(4990) }, milliseconds(200), false },
        { "no handover", {}, milliseconds(0), false },
    };
    return ROWS;
}

// Plays the passes of an event loop until the process ends. Returns the time of each answer, then the time of the end.
std::vector<milliseconds> play(const stop_row &testCase)
{
    stop_sequence stop(START);
    std::vector<milliseconds> open;
    std::vector<milliseconds> times;
    std::size_t arrived = 0;
    for (milliseconds at(0); at < seconds(20); at += PASS) {
        while (arrived < testCase.arrivals.size() && testCase.arrivals[arrived] <= at) {
            open.push_back(testCase.arrivals[arrived++] + testCase.answerTime);
        }
        std::erase_if(open, [&](milliseconds answeredAt) {
            const bool answered = answeredAt <= at;
            if (answered) {
                times.push_back(at);
            }
            return answered;
        });
        switch (stop.next(open.size(), testCase.handsOver, START + at)) {
        case stop_action::wait:
            break;
        case stop_action::answer_open_calls:
            times.insert(times.end(), open.size(), at);
            open.clear();
            break;
        case stop_action::end:
            times.push_back(at);
            return times;
        }
    }
    return times;
}

} // namespace

Test(stop_sequence, endsInTimeAlthoughRequestsKeepComing)
{
    stop_sequence stop(START);
    milliseconds at(0);
    while (stop.next(1, true, START + at) != stop_action::end) {
        at += PASS;
        cr_assert_lt(at, GRACE);
    }
}

Test(stop_sequence, answersEveryRequestAPassBeforeTheEndAndEndsInTime)
{
    for (const stop_row &testCase : stops()) {
        const std::vector<milliseconds> times = play(testCase);
        cr_assert_eq(times.size(), testCase.arrivals.size() + 1, "%s: %zu", testCase.name, times.size());
        const milliseconds end = times.back();
        cr_assert_lt(end, GRACE, "%s", testCase.name);
        for (std::size_t i = 0; i + 1 < times.size(); ++i) {
            cr_assert_geq(end - times[i], PASS, "%s", testCase.name);
        }
    }
}

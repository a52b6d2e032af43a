#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/testing/table.h>
#include <random>

namespace {

using namespace jujubespool;

const std::string JOB = "00000000000000a1";
const std::string JOB_PATH = QUEUE_PATH + JOB;
constexpr int STATUS_OK = 200;
constexpr int STATUS_GONE = 410;
// The promise of the settings: the state of an ended job stays readable for this long.
constexpr seconds RETENTION{ 120 };
// An answer takes less.
constexpr milliseconds ANSWER_TIME{ 20 };
// A caller who asks in time may be refused for this long, in an outage or a take-over, before it asks again.
constexpr seconds MAX_TIME_REFUSED{ 14 };
// An end counts from at most this long before callers could read it.
constexpr seconds MAX_RECORD_TIME{ 1 };
// A state is forgotten at most this much later than all that, and at most this much later again for each change of owner.
constexpr milliseconds MAX_DELAY{ 2000 };
constexpr milliseconds MAX_DELAY_OF_A_CHANGE{ 3000 };

// Processes whose times of day differ. One of them owns the jobs.
struct clocks_fixture
{
    clocks_fixture()
    {
        platform.setConfig(configWithOneQueue());
        platform.addWorker("w1", "pool", { 8000, 16000, 0 });
    }

    // A further process takes over, at the present offset of its time of day.
    void changeOwner(milliseconds offset)
    {
        owner = "entry-" + std::to_string(++owners);
        clockOffset[owner] = offset;
        manager_settings settings;
        settings.node = owner;
        sessions[owner] = std::make_unique<owner_session>(
            platform.clientsOf(owner), platform, log, settings, process_identity{ owner, static_cast<std::uint64_t>(owners) * 11 },
            [this, process = owner] { return platform.wall() + static_cast<wall_ms>(clockOffset[process].count()); });
        sessions[owner]->setPeerConfirmation([this](instant) { return peersConfirm; });
        sessions[owner]->begin([](session_event, instant) {});
        tick(owner);
        platform.advance(milliseconds(200));
    }

    void tick(const std::string &process)
    {
        platform.after(milliseconds(25), [this, process](instant now) {
            sessions.at(process)->tick(now);
            tick(process);
        });
    }

    int ask(const std::string &method, const std::string &body = {})
    {
        const auto status = std::make_shared<int>(0);
        sessions.at(owner)->handle({ method, "h", JOB_PATH, {}, body }, platform.now(),
                                   [status](const http_reply &reply) { *status = reply.status; });
        platform.advance(ANSWER_TIME);
        return *status;
    }

    // Has a job accepted and done, and returns when it ended. The store is silent from the acceptance on, if that is wanted.
    instant completeJob(bool storeDown = false)
    {
        cr_assert_eq(ask("POST", "1"), STATUS_OK);
        platform.linksOf(owner).storeDown = storeDown;
        while (platform.doneRuns() == 0) {
            platform.advance(milliseconds(1));
        }
        return platform.now();
    }

    void advanceTo(instant then)
    {
        platform.advance(duration_cast<milliseconds>(then - platform.now()));
    }

    fake_platform platform;
    counting_log log;
    std::string owner;
    int owners = 0;
    // Whether the other processes confirm each owner while the store is silent.
    bool peersConfirm = false;
    std::map<std::string, milliseconds> clockOffset;
    std::map<std::string, std::unique_ptr<owner_session>> sessions;
};

// A time of day jumps, or another process with another time of day takes over.
struct clock_event
{
    milliseconds afterEnd;
    milliseconds offset;
    bool changesOwner;
};

struct clock_row
{
    const char *name;
    milliseconds offsetAtEnd;
    std::vector<clock_event> events;
};

const clock_row CLOCKS[] = {
    { "one owner", milliseconds(0), {} },
    { "the clock is back at the end", milliseconds(-2000), { { seconds(12), milliseconds(0), false } } },
    { "the next owner's clock is ahead", milliseconds(0), { { seconds(60), milliseconds(2000), true } } },
    { "the next owner's clock is a little ahead", milliseconds(0), { { seconds(60), milliseconds(300), true } } },
    { "the clock jumps ahead shortly before", milliseconds(0), { { seconds(110), milliseconds(2000), false } } },
    { "the clock is back twice",
      milliseconds(-2000),
      { { seconds(10), milliseconds(0), false }, { seconds(50), milliseconds(-2000), false }, { seconds(70), milliseconds(0), false } } },
    { "no size of the difference is assumed", milliseconds(-3600000), { { seconds(1), milliseconds(3600000), true } } },
    { "the clock is ahead at the end and the next owner's is back", milliseconds(2000), { { seconds(1), milliseconds(-2000), true } } },
    { "the owner changes each half a minute",
      milliseconds(-2000),
      { { seconds(15), milliseconds(2000), true },
        { seconds(45), milliseconds(0), true },
        { seconds(75), milliseconds(-2000), true },
        { seconds(105), milliseconds(2000), true } } },
};

void play(const clock_row &testCase)
{
    clocks_fixture fleet;
    fleet.changeOwner(testCase.offsetAtEnd);
    const instant end = fleet.completeJob();
    int changes = 0;
    for (const clock_event &event : testCase.events) {
        fleet.advanceTo(end + event.afterEnd);
        if (event.changesOwner) {
            fleet.changeOwner(event.offset);
            ++changes;
        }
        fleet.clockOffset[fleet.owner] = event.offset;
    }
    fleet.advanceTo(end + RETENTION - ANSWER_TIME);
    cr_assert_eq(fleet.ask("GET"), STATUS_OK, "%s: forgotten too early", testCase.name);
    cr_assert_eq(fleet.log.events["job-forgotten"], 0, "%s", testCase.name);
    fleet.platform.advance(MAX_TIME_REFUSED + MAX_RECORD_TIME + MAX_DELAY + changes * MAX_DELAY_OF_A_CHANGE);
    cr_assert_eq(fleet.ask("GET"), STATUS_GONE, "%s: kept for too long", testCase.name);
    cr_assert_eq(fleet.log.events["job-forgotten"], 1, "%s", testCase.name);
}

// The store does not answer from before a job's end until this long after it.
struct late_record_row
{
    const char *name;
    milliseconds silence;
    // The owner that has shown the end is replaced after this time; empty if it stays.
    std::optional<milliseconds> ownedUntil;
};

const late_record_row LATE_RECORDS[] = {
    { "a short silence", milliseconds(500), std::nullopt },
    { "a silence of seconds", milliseconds(4200), std::nullopt },
    { "a long silence", seconds(40), std::nullopt },
    { "the owner changes once the end is shown", milliseconds(4200), milliseconds(50) },
    { "the owner changes after a long silence", seconds(40), milliseconds(50) },
    { "the owner changes later", seconds(40), seconds(60) },
};

struct silent_store_row
{
    const char *name;
    milliseconds silence;
};

const silent_store_row SILENT_STORES[] = {
    { "silent just now", milliseconds(50) },
    { "one second", seconds(1) },
    { "longer than an ownership is certain by itself", seconds(4) },
    { "longer than any lease", seconds(20) },
};

// Clocks jump and owners change at random times until the state may be forgotten.
clock_row randomClocks(unsigned seed)
{
    std::mt19937 random(seed);
    const auto offset = [&random] {
        return milliseconds(static_cast<int>(random() % 10000) - 5000);
    };
    clock_row drawn{ "drawn", offset(), {} };
    for (milliseconds at(random() % 20000); at < RETENTION - seconds(1); at += milliseconds(1000 + random() % 30000)) {
        drawn.events.push_back({ at, offset(), random() % 2 == 0 });
    }
    return drawn;
}

constexpr unsigned SEEDS = 25;

} // namespace

ParameterizedTestParameters(job_retention, stateIsKeptForAsLongAsPromisedWhateverTheClocksShow)
{
    return rowsOf(CLOCKS);
}

// Guards against LOST of review/10: an end recorded by a clock that was back was forgotten before its time.
ParameterizedTest(std::size_t *row, job_retention, stateIsKeptForAsLongAsPromisedWhateverTheClocksShow)
{
    play(CLOCKS[*row]);
}

// Guards against LOST of review/10, with times that nobody has chosen.
Test(job_retention, stateIsKeptWhenClocksJumpAndOwnersChangeAtRandom)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        cr_log_info("seed %u", seed);
        play(randomClocks(seed));
    }
}

ParameterizedTestParameters(job_retention, stateIsKeptForAsLongAsPromisedFromWhenItCouldBeReadFirst)
{
    return rowsOf(LATE_RECORDS);
}

// Guards against an end that counts from before it was durable: a caller could read it for less time than promised.
ParameterizedTest(std::size_t *row, job_retention, stateIsKeptForAsLongAsPromisedFromWhenItCouldBeReadFirst)
{
    const late_record_row &testCase = LATE_RECORDS[*row];
    clocks_fixture fleet;
    fleet.peersConfirm = true;
    fleet.changeOwner(milliseconds(0));
    fleet.completeJob(true);
    fleet.platform.advance(testCase.silence);
    cr_assert_neq(fleet.ask("GET"), STATUS_OK, "%s: shown before it was durable", testCase.name);
    fleet.platform.linksOf(fleet.owner).storeDown = false;
    int status = 0;
    while (status != STATUS_OK) {
        status = fleet.ask("GET");
    }
    const instant shown = fleet.platform.now();
    if (testCase.ownedUntil) {
        fleet.advanceTo(shown + *testCase.ownedUntil);
        fleet.changeOwner(milliseconds(0));
    }
    fleet.advanceTo(shown + RETENTION - ANSWER_TIME);
    cr_assert_eq(fleet.ask("GET"), STATUS_OK, "%s: forgotten too early", testCase.name);
    cr_assert_eq(fleet.log.events["job-forgotten"], 0, "%s", testCase.name);
}

// Guards against a caller who asks in time, is told to come back while nobody owns the jobs, and then hears that there is no such job.
Test(job_retention, callerWhoWasRefusedJustBeforeTheEndOfThePromiseFindsTheStateWhenItComesBack)
{
    clocks_fixture fleet;
    fleet.changeOwner(milliseconds(0));
    const instant end = fleet.completeJob();
    fleet.advanceTo(end + RETENTION - ANSWER_TIME);
    fleet.platform.advance(MAX_TIME_REFUSED);
    cr_assert_eq(fleet.ask("GET"), STATUS_OK);
}

ParameterizedTestParameters(job_retention, finalStateIsAnsweredWhileTheStoreIsSilent)
{
    return rowsOf(SILENT_STORES);
}

// Guards against a question about a job whose end is stored waiting for records that have nothing to do with it.
ParameterizedTest(std::size_t *row, job_retention, finalStateIsAnsweredWhileTheStoreIsSilent)
{
    const silent_store_row &testCase = SILENT_STORES[*row];
    clocks_fixture fleet;
    fleet.peersConfirm = true;
    fleet.changeOwner(milliseconds(0));
    fleet.completeJob();
    fleet.platform.advance(seconds(1));
    fleet.platform.linksOf(fleet.owner).storeDown = true;
    // The next record is on its way when the question comes.
    fleet.platform.advance(milliseconds(450) + testCase.silence);
    cr_assert_eq(fleet.ask("GET"), STATUS_OK, "%s", testCase.name);
}

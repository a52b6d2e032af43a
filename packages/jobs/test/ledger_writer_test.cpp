#include <criterion/criterion.h>
#include <jujubespool/jobs/ledger_writer.h>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };

// Keeps the appends until the test answers them.
class recording_store : public ledger_store
{
public:
    void append(const ledger_append &call, std::function<void(const ledger_append_result &, instant now)> done) override
    {
        appends.push_back(call);
        m_done = std::move(done);
    }
    void answer(append_status status, instant now = NOW)
    {
        std::exchange(m_done, nullptr)({ status, 0, {} }, now);
    }
    std::vector<ledger_append> appends;

private:
    std::function<void(const ledger_append_result &, instant now)> m_done;
};

class no_timers : public timer_service
{
public:
    void after(milliseconds, std::function<void(instant now)>) override
    {
    }
};

// Runs each call at once.
class immediate_timers : public timer_service
{
public:
    void after(milliseconds delay, std::function<void(instant now)> call) override
    {
        call(NOW + delay);
    }
};

class no_log : public event_log
{
public:
    void write(std::string_view, std::initializer_list<field>) override
    {
    }
    void count(std::string_view, std::string_view) override
    {
    }
    void observe(std::string_view, const std::string &, duration) override
    {
    }
};

struct writer_fixture
{
    explicit writer_fixture(timer_service &clock = neverTimers())
        : timers(clock)
    {
    }
    static no_timers &neverTimers()
    {
        static no_timers instance;
        return instance;
    }
    void putCounted(const std::string &key)
    {
        writer.putLazily(key, [this] { return std::to_string(++computed); });
    }

    recording_store store;
    timer_service &timers;
    no_log log;
    ledger_writer writer{ store, timers, log, 1, 1 };
    int computed = 0;
};

} // namespace

Test(ledger_writer, computesAValueOncePerAppendHoweverOftenItChanged)
{
    writer_fixture fixture;
    fixture.writer.put({ "a", "1" });
    fixture.writer.flush(NOW);
    for (int i = 0; i < 5; ++i) {
        fixture.putCounted("job");
        fixture.writer.flush(NOW);
    }
    cr_assert_eq(fixture.computed, 0);
    fixture.store.answer(append_status::done);
    cr_assert_eq(fixture.computed, 1);
    cr_assert_eq(fixture.store.appends.size(), 2U);
    cr_assert_eq(fixture.store.appends[1].entries.at(0).value.value(), "1");
}

// The append in flight was computed before the change.
Test(ledger_writer, reportsAChangeDurableOnlyAfterTheAppendThatContainsIt)
{
    writer_fixture fixture;
    fixture.putCounted("job");
    fixture.writer.flush(NOW);
    fixture.putCounted("job");
    bool durable = false;
    fixture.writer.whenDurable([&](instant) { durable = true; }, NOW);
    fixture.store.answer(append_status::done);
    cr_assert_not(durable);
    cr_assert_eq(fixture.store.appends.at(1).entries.at(0).value.value(), "2");
    fixture.store.answer(append_status::done);
    cr_assert(durable);
}

Test(ledger_writer, repeatsAnUnansweredAppendWithTheSameValues)
{
    writer_fixture fixture;
    fixture.putCounted("job");
    fixture.writer.flush(NOW);
    fixture.store.answer(append_status::unknown);
    cr_assert_eq(fixture.computed, 1);
}

// A process that was paused finds the answer to an append in its socket. Meanwhile another one may have become the owner.
Test(ledger_writer, isConfirmedAtTheTimeOfSendingOnly)
{
    writer_fixture fixture;
    fixture.putCounted("a");
    fixture.writer.flush(NOW);
    fixture.store.answer(append_status::done, NOW + seconds(5));
    cr_assert(fixture.writer.confirmedAt() == NOW);
}

// The store answers a repeat like the first append, even if it has accepted a later owner in between.
Test(ledger_writer, isConfirmedAtTheTimeOfTheFirstAttemptOfARepeatedAppend)
{
    immediate_timers timers;
    writer_fixture fixture(timers);
    fixture.putCounted("a");
    fixture.writer.flush(NOW);
    fixture.store.answer(append_status::unknown, NOW + seconds(1));
    cr_assert_eq(fixture.store.appends.size(), 2U);
    fixture.store.answer(append_status::done, NOW + seconds(2));
    cr_assert(fixture.writer.confirmedAt() == NOW);
}

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
    void answer(append_status status)
    {
        std::exchange(m_done, nullptr)({ status, 0, {} }, NOW);
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
    void putCounted(const std::string &key)
    {
        writer.putLazily(key, [this] { return std::to_string(++computed); });
    }

    recording_store store;
    no_timers timers;
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

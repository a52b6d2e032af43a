#include <criterion/criterion.h>
#include <jujubespool/jobs/ledger_keys.h>
#include <jujubespool/manager/owner_record_reader.h>

namespace {

using namespace jujubespool;

constexpr instant NOW{ seconds(100) };
constexpr std::size_t PAGE_ENTRIES = 500;

// A store that answers when the test says so, and counts the entries that it returns.
class paged_store : public feed_store
{
public:
    void readLatest(feed, const std::string &after, page_callback done) override
    {
        feed_page page;
        page.answered = answers;
        page.endOffset = end;
        for (auto entry = latest.upper_bound(after); entry != latest.end() && page.entries.size() < PAGE_ENTRIES; ++entry) {
            page.entries.push_back({ entry->first, entry->second });
        }
        entriesRead += page.entries.size();
        ++reads;
        m_answer = [page, done = std::move(done)] {
            done(page, NOW);
        };
    }
    void read(feed, std::uint64_t from, milliseconds, page_callback done) override
    {
        entriesRead += end - from;
        ++reads;
        m_answer = [done = std::move(done)] {
            done({}, NOW);
        };
    }
    void put(feed, const ledger_entry &, std::function<void(const ledger_append_result &, instant now)>) override
    {
    }
    void answer()
    {
        std::exchange(m_answer, nullptr)();
    }

    std::map<std::string, std::string> latest;
    std::uint64_t end = 0;
    bool answers = true;
    std::size_t entriesRead = 0;
    int reads = 0;

private:
    std::function<void()> m_answer;
};

struct reader_fixture
{
    reader_fixture()
    {
        wire::owner_image owner;
        owner.set_epoch(3);
        owner.set_resigned(true);
        store.latest[ledgerKey(ledger_kind::owner, "current")] = owner.SerializeAsString();
        store.latest[ledgerKey(ledger_kind::wave, "1")] = "w";
        for (int i = 0; i < 10000; ++i) {
            store.latest[ledgerKey(ledger_kind::job, std::to_string(i))] = "j";
        }
        store.end = 90000;
    }

    paged_store store;
    owner_record_reader reader{ store };
    std::vector<owner_record> records;
};

} // namespace

// When the owner is lost, all processes of a large fleet read this several times a second.
Test(owner_record_reader, readsNoJobsHoweverManyTheLedgerHolds)
{
    reader_fixture fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.reader.read([&](const owner_record &record, instant) { fixture.records.push_back(record); });
        fixture.store.answer();
        fixture.store.end += 5000;
    }
    cr_assert_eq(fixture.records.size(), 4U);
    cr_assert_eq(fixture.records[3].ledgerEnd, 105000U);
    cr_assert(fixture.records[3].known && fixture.records[3].resigned);
    cr_assert_eq(fixture.records[3].epoch, 3U);
    cr_assert_leq(fixture.store.entriesRead, 8U, "%zu", fixture.store.entriesRead);
}

Test(owner_record_reader, hasOneReadInFlightAndIgnoresAStoreThatDoesNotAnswer)
{
    reader_fixture fixture;
    const auto record = [&](const owner_record &read, instant) {
        fixture.records.push_back(read);
    };
    fixture.store.answers = false;
    fixture.reader.read(record);
    fixture.reader.read(record);
    cr_assert_eq(fixture.store.reads, 1);
    fixture.store.answer();
    cr_assert(fixture.records.empty());
    fixture.store.answers = true;
    fixture.reader.read(record);
    fixture.store.answer();
    cr_assert_eq(fixture.records.size(), 1U);
}

#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/manager/feed_watcher.h>

namespace {

using namespace jujubespool;

constexpr int PAGES = 5;

// A feed whose newest entries fill five pages, with one entry each. Reads can fail.
class paged_store : public feed_store
{
public:
    explicit paged_store(fake_platform &platform)
        : m_platform(platform)
    {
    }

    void readLatest(feed, const std::string &after, page_callback done) override
    {
        ++pagesRead;
        feed_page page;
        page.answered = !failingReads.contains(pagesRead);
        if (page.answered) {
            const int number = after.empty() ? 0 : std::stoi(after) + 1;
            page.entries.push_back({ std::to_string(number), "value" });
            page.endOffset = static_cast<std::uint64_t>(endOffset++);
            page.continueAfterKey = number + 1 < PAGES ? std::optional(std::to_string(number)) : std::nullopt;
        }
        m_platform.after(milliseconds(2), [page, done](instant now) { done(page, now); });
    }
    void read(feed, std::uint64_t from, milliseconds, page_callback) override
    {
        readFrom = from;
    }
    void put(feed, const ledger_entry &, std::function<void(const ledger_append_result &, instant now)>) override
    {
    }

    // Numbers of the reads that get no answer, from 1.
    std::set<int> failingReads;
    int pagesRead = 0;
    int endOffset = 100;
    std::optional<std::uint64_t> readFrom;

private:
    fake_platform &m_platform;
};

} // namespace

// Guards against a first read that never ends because one of its many pages fails each time.
Test(feed_watcher, pageThatFailsIsReadAgainWithoutThoseBeforeIt)
{
    fake_platform platform;
    paged_store store(platform);
    store.failingReads = { 1, 3, 5, 6 };
    counting_log log;
    feed_watcher watcher(store, platform, feed::operators, {}, log);
    std::map<std::string, int> entries;
    watcher.start([&](const ledger_entry &entry, instant) { ++entries[entry.key]; }, [](instant) {});
    platform.advance(seconds(5));
    cr_assert(watcher.caughtUp());
    cr_assert_eq(store.pagesRead, PAGES + 4, "%d pages read", store.pagesRead);
    cr_assert_eq(entries.size(), static_cast<std::size_t>(PAGES));
    for (const auto &[key, times] : entries) {
        cr_assert_eq(times, 1, "%s: %d", key.c_str(), times);
    }
    cr_assert_eq(store.readFrom.value_or(0), 100U, "changes are read from the end that the first page gave");
}

#include <jujubespool/manager/feed_watcher.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds RETRY_DELAY{ 250 };

} // namespace

feed_watcher::feed_watcher(feed_store &store, timer_service &timers, feed which, poll_timing timing, event_log &log)
    : m_store(store)
    , m_timers(timers)
    , m_which(which)
    , m_timing(timing)
    , m_log(log)
{
}

void feed_watcher::start(entry_callback entry, std::function<void(instant now)> onCaughtUp)
{
    m_entry = std::move(entry);
    m_onCaughtUp = std::move(onCaughtUp);
    readNewest({});
}

void feed_watcher::stop()
{
    m_stopped = true;
}

void feed_watcher::logAvailability(const feed_page &page)
{
    const bool answered = page.answered || page.historyTruncated;
    if (answered != m_available) {
        m_available = answered;
        m_log.write(answered ? "feed-regained" : "feed-lost",
                    { { "feed", std::string(nameOf(m_which)) }, { "offset", std::to_string(m_offset) }, { "reason", page.reason.reason } });
    }
}

void feed_watcher::readNewest(const std::string &after)
{
    m_store.readLatest(m_which, after, m_lifetime.guard([this, after](const feed_page &page, instant now) {
        if (!m_stopped) {
            onNewest(page, after, now);
        }
    }));
}

void feed_watcher::onNewest(const feed_page &page, const std::string &after, instant now)
{
    logAvailability(page);
    if (!page.answered) {
        // The pages before this one stay valid: what changes after the first page is read later.
        m_timers.after(RETRY_DELAY, m_lifetime.guard([this, after](instant) { readNewest(after); }));
        return;
    }
    if (after.empty()) {
        // Later pages may already contain later changes. Reading on from the end offset of the first page misses none of them.
        m_offset = page.endOffset;
        m_keysSeen.clear();
    }
    for (const ledger_entry &entry : page.entries) {
        m_keysSeen.insert(entry.key);
        m_entry(entry, now);
    }
    if (page.continueAfterKey) {
        readNewest(*page.continueAfterKey);
        return;
    }
    for (const std::string &key : std::exchange(m_keys, m_keysSeen)) {
        if (m_keysSeen.count(key) == 0) {
            m_entry({ key, std::nullopt }, now);
        }
    }
    m_caughtUp = true;
    m_onCaughtUp(now);
    readNext();
}

void feed_watcher::readNext()
{
    m_store.read(m_which, m_offset, m_timing.longPollWait, m_lifetime.guard([this](const feed_page &page, instant now) {
        if (!m_stopped) {
            onRead(page, now);
        }
    }));
}

void feed_watcher::onRead(const feed_page &page, instant now)
{
    logAvailability(page);
    if (page.historyTruncated) {
        readNewest({});
        return;
    }
    if (!page.answered) {
        m_timers.after(RETRY_DELAY, m_lifetime.guard([this](instant) { readNext(); }));
        return;
    }
    m_offset = page.nextOffset;
    for (const ledger_entry &entry : page.entries) {
        if (entry.value) {
            m_keys.insert(entry.key);
        } else {
            m_keys.erase(entry.key);
        }
        m_entry(entry, now);
    }
    m_onCaughtUp(now);
    if (m_timing.pollInterval.count() > 0) {
        m_timers.after(m_timing.pollInterval, m_lifetime.guard([this](instant) { readNext(); }));
    } else {
        readNext();
    }
}

} // namespace jujubespool

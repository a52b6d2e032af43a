#include <jujubespool/manager/member_registration.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr milliseconds RETRY_DELAY{ 300 };
// Time in which the list shows an entry that the store has acknowledged.
constexpr milliseconds READ_BACK_TIME{ 1000 };

} // namespace

member_registration::member_registration(feed_store &store, timer_service &timers, wire::member_image own,
                                         std::function<wall_ms()> wallClock, event_log &log)
    : m_store(store)
    , m_timers(timers)
    , m_own(std::move(own))
    , m_wallClock(std::move(wallClock))
    , m_log(log)
{
}

void member_registration::onEntry(const std::optional<wire::member_image> &image)
{
    m_listed = image;
    if (image && (image->incarnation() != m_own.incarnation() || image->ended() || image->asked_by_epoch() != 0)) {
        // Whoever takes this start for ended, or asks whether it is, learns from a later number that it lives.
        m_leastNumber = std::max(m_leastNumber, image->started_ms() + 1);
    }
}

void member_registration::onCaughtUp(instant)
{
    if (!m_writing && !m_stopped && !isListed()) {
        write();
    }
}

bool member_registration::isListed() const
{
    return m_listed && m_listed->incarnation() == m_own.incarnation() && m_listed->started_ms() == m_own.started_ms()
        && m_own.started_ms() >= m_leastNumber;
}

void member_registration::write()
{
    m_writing = true;
    // The time of day is only the first number of a start. What has been seen under the name decides from then on.
    const std::uint64_t number = m_own.started_ms() == 0 ? m_wallClock() : m_own.started_ms();
    m_own.set_started_ms(std::max(number, m_leastNumber));
    m_log.write("registered",
                { { "node", m_own.node() },
                  { "start_number", std::to_string(m_own.started_ms()) },
                  { "listed_incarnation", m_listed ? std::to_string(m_listed->incarnation()) : "none" } });
    const ledger_entry entry{ m_own.node(), m_own.SerializeAsString() };
    m_store.put(feed::members, entry, m_lifetime.guard([this](const ledger_append_result &outcome, instant) { onWritten(outcome); }));
}

void member_registration::end(std::function<void(instant now)> done)
{
    m_stopped = true;
    wire::member_image image = m_own;
    image.set_ended(true);
    image.set_started_ms(std::max(m_own.started_ms(), m_leastNumber));
    m_log.write("deregistered", { { "node", m_own.node() }, { "start_number", std::to_string(image.started_ms()) } });
    const ledger_entry entry{ m_own.node(), image.SerializeAsString() };
    m_store.put(feed::members, entry, m_lifetime.guard([done = std::move(done)](const ledger_append_result &, instant now) { done(now); }));
}

void member_registration::onWritten(const ledger_append_result &outcome)
{
    const bool done = outcome.status == append_status::done;
    m_timers.after(done ? READ_BACK_TIME : RETRY_DELAY, m_lifetime.guard([this](instant now) {
        m_writing = false;
        onCaughtUp(now);
    }));
}

} // namespace jujubespool

#include <jujubespool/jobs/ledger_writer.h>

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace jujubespool {

namespace {

constexpr milliseconds FIRST_APPEND_TIMEOUT{ 500 };
// A store that is back has to be found soon; a repeat of an append that was done is answered at once.
constexpr milliseconds LONGEST_APPEND_TIMEOUT{ 800 };
constexpr milliseconds RETRY_DELAY{ 60 };
constexpr milliseconds LONGEST_RETRY_DELAY{ 250 };
// An append has a bound on its size; larger batches are split between appends.
constexpr std::size_t MAX_APPEND_BYTES = 1048576;

} // namespace

ledger_writer::ledger_writer(ledger_store &store, timer_service &clock, event_log &log, std::uint64_t epoch, std::uint64_t firstSequence)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_epoch(epoch)
    , m_nextSequence(firstSequence)
{
}

void ledger_writer::put(ledger_entry entry)
{
    m_pending[std::move(entry.key)] = std::move(entry.value);
}

void ledger_writer::whenDurable(durable_callback call, instant now)
{
    if (!m_pending.empty()) {
        m_waiting.push_back(std::move(call));
    } else if (m_inFlight) {
        m_callWaiting.push_back(std::move(call));
    } else if (!m_fenced) {
        call(now);
    }
}

void ledger_writer::flush(instant now)
{
    if (m_inFlight || m_fenced || m_pending.empty()) {
        return;
    }
    m_call = { m_epoch, m_nextSequence++, std::nullopt, {}, FIRST_APPEND_TIMEOUT };
    std::size_t bytes = 0;
    while (!m_pending.empty() && bytes < MAX_APPEND_BYTES) {
        auto item = m_pending.extract(m_pending.begin());
        bytes += item.key().size() + (item.mapped() ? item.mapped()->size() : 0);
        m_call.entries.push_back({ item.key(), std::move(item.mapped()) });
    }
    if (m_pending.empty()) {
        m_callWaiting = std::move(m_waiting);
        m_waiting.clear();
    }
    m_inFlight = true;
    m_attempts = 0;
    m_sentAt = now;
    send(now);
}

void ledger_writer::send(instant)
{
    ++m_attempts;
    m_store.append(m_call, m_lifetime.guard([this](const ledger_append_result &outcome, instant now) { finish(outcome, now); }));
}

void ledger_writer::finish(const ledger_append_result &outcome, instant now)
{
    m_log.count("ledger_appends_total", nameOf(outcome.status));
    if (outcome.status == append_status::done) {
        m_log.observe("ledger_append", "", now - m_sentAt);
        m_inFlight = false;
        m_lastDurableAt = now;
        std::vector<durable_callback> calls = std::move(m_callWaiting);
        m_callWaiting.clear();
        for (const durable_callback &call : calls) {
            call(now);
        }
        if (!m_inFlight) {
            m_onBetweenAppends(now);
        }
        flush(now);
        return;
    }
    logFailedAttempt(outcome);
    if (outcome.status == append_status::fenced || outcome.status == append_status::wrong_offset) {
        m_fenced = true;
        m_onFenced(now);
        return;
    }
    m_call.timeout = std::min(m_call.timeout * 2, LONGEST_APPEND_TIMEOUT);
    const milliseconds delay = std::min(RETRY_DELAY * m_attempts, LONGEST_RETRY_DELAY);
    m_clock.after(delay, m_lifetime.guard([this](instant then) { send(then); }));
}

// One line for each doubling of the attempts, so that an outage does not fill the log.
void ledger_writer::logFailedAttempt(const ledger_append_result &outcome)
{
    if (std::has_single_bit(static_cast<unsigned>(m_attempts))) {
        m_log.write("ledger-append-failed",
                    { { "epoch", std::to_string(m_epoch) },
                      { "sequence", std::to_string(m_call.sequence) },
                      { "attempt", std::to_string(m_attempts) },
                      { "outcome", std::string(nameOf(outcome.status)) },
                      { "reason", outcome.reason.reason } });
    }
}

duration ledger_writer::unresponsiveFor(instant now) const
{
    return m_inFlight ? now - m_sentAt : duration(0);
}

} // namespace jujubespool

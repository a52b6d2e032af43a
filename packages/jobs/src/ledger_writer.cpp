#include <jujubespool/jobs/ledger_writer.h>

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace jujubespool {

namespace {

constexpr milliseconds FIRST_APPEND_TIMEOUT{ 500 };
// Keeps retries frequent, so that a store which is available again is detected soon. A retry of an append that was
// already carried out is answered immediately.
constexpr milliseconds MAX_APPEND_TIMEOUT{ 800 };
constexpr milliseconds RETRY_DELAY{ 60 };
constexpr milliseconds MAX_RETRY_DELAY{ 250 };
// The store limits the size of an append; larger batches are split.
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
    m_pending[std::move(entry.key)] = [value = std::move(entry.value)] {
        return value;
    };
}

void ledger_writer::putLazily(const std::string &key, value_function value)
{
    m_pending[key] = std::move(value);
}

void ledger_writer::whenDurable(durable_callback callback, instant now)
{
    if (!m_pending.empty()) {
        m_pendingCallbacks.push_back(std::move(callback));
    } else if (m_inFlight) {
        m_appendCallbacks.push_back(std::move(callback));
    } else if (!m_fenced) {
        callback(now);
    }
}

void ledger_writer::flush(instant now)
{
    if (m_inFlight || m_fenced || m_pending.empty()) {
        return;
    }
    m_append = { m_epoch, m_nextSequence++, std::nullopt, {}, FIRST_APPEND_TIMEOUT };
    std::size_t bytes = 0;
    while (!m_pending.empty() && bytes < MAX_APPEND_BYTES) {
        const auto pending = m_pending.extract(m_pending.begin());
        ledger_entry entry{ pending.key(), pending.mapped()() };
        bytes += entry.key.size() + (entry.value ? entry.value->size() : 0);
        m_append.entries.push_back(std::move(entry));
    }
    if (m_pending.empty()) {
        m_appendCallbacks = std::move(m_pendingCallbacks);
        m_pendingCallbacks.clear();
    }
    m_inFlight = true;
    m_attempts = 0;
    m_sentAt = now;
    send(now);
}

void ledger_writer::send(instant)
{
    ++m_attempts;
    m_store.append(m_append, m_lifetime.guard([this](const ledger_append_result &result, instant now) { onAppendResult(result, now); }));
}

void ledger_writer::onAppendResult(const ledger_append_result &result, instant now)
{
    m_log.count("ledger_appends_total", nameOf(result.status));
    if (result.status == append_status::done) {
        m_log.observe("ledger_append", "", now - m_sentAt);
        m_inFlight = false;
        m_confirmedAt = m_sentAt;
        std::vector<durable_callback> callbacks = std::move(m_appendCallbacks);
        m_appendCallbacks.clear();
        for (const durable_callback &callback : callbacks) {
            callback(now);
        }
        if (!m_inFlight) {
            m_onReadyForNextAppend(now);
        }
        flush(now);
        return;
    }
    logFailedAttempt(result);
    if (result.status == append_status::fenced || result.status == append_status::wrong_offset) {
        m_fenced = true;
        m_onFenced(now);
        return;
    }
    m_append.timeout = std::min(m_append.timeout * 2, MAX_APPEND_TIMEOUT);
    const milliseconds delay = std::min(RETRY_DELAY * m_attempts, MAX_RETRY_DELAY);
    m_clock.after(delay, m_lifetime.guard([this](instant then) { send(then); }));
}

// Logs at each doubling of the attempts only, so that an outage does not fill the log.
void ledger_writer::logFailedAttempt(const ledger_append_result &result)
{
    if (std::has_single_bit(static_cast<unsigned>(m_attempts))) {
        m_log.write("ledger-append-failed",
                    { { "epoch", std::to_string(m_epoch) },
                      { "sequence", std::to_string(m_append.sequence) },
                      { "attempt", std::to_string(m_attempts) },
                      { "outcome", std::string(nameOf(result.status)) },
                      { "reason", result.reason.reason } });
    }
}

duration ledger_writer::unresponsiveFor(instant now) const
{
    return m_inFlight ? now - m_sentAt : duration(0);
}

} // namespace jujubespool

// Writes changed entries to the ledger, one append at a time, and reports when they are durable.
//
//     writer.put({ "job/5c0e", bytes });
//     writer.whenDurable([](instant now) { reply(); }, now);
//     writer.flush(now);
//
// Changes made while an append is in flight are batched into the next one. An append without an answer is retried
// with the same sequence number until it is answered, which makes it idempotent.
#pragma once

#include <deque>
#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/jobs/timer_service.h>

namespace jujubespool {

class ledger_writer
{
public:
    using durable_callback = std::function<void(instant now)>;

    // The epoch must have been claimed by the append whose sequence number precedes firstSequence.
    ledger_writer(ledger_store &store, timer_service &clock, event_log &log, std::uint64_t epoch, std::uint64_t firstSequence);

    void put(ledger_entry entry);
    // Puts an entry whose value is computed when it is sent, so that several changes in the meantime cost one computation.
    using value_function = std::function<std::optional<std::string>()>;
    void putLazily(const std::string &key, value_function value);
    // Calls back when all entries put before are durable; immediately if they already are.
    void whenDurable(durable_callback callback, instant now);
    bool appending() const
    {
        return m_inFlight;
    }
    // Sends the pending entries, unless an append is in flight.
    void flush(instant now);
    // Time since the append in flight was first sent; 0 when none is in flight.
    duration unresponsiveFor(instant now) const;
    // Latest time at which the ledger is known to have accepted this owner: when the last confirmed append was sent first. The answer may
    // have waited through a pause, and a repeat gets the first answer, so neither proves a later time.
    instant confirmedAt() const
    {
        return m_confirmedAt;
    }
    // Registers that the ledger has confirmed the ownership in another way than by an append: by a request that was sent at this time.
    void confirm(instant sentAt)
    {
        m_confirmedAt = sentAt;
    }
    // Sets the function to call between two appends; entries that it puts go into the next append.
    void onReadyForNextAppend(std::function<void(instant now)> callback)
    {
        m_onReadyForNextAppend = std::move(callback);
    }
    // Sets the function to call when another owner has taken over.
    void onFenced(std::function<void(instant now)> callback)
    {
        m_onFenced = std::move(callback);
    }

private:
    void send(instant now);
    void logFailedAttempt(const ledger_append_result &result);
    void onAppendResult(const ledger_append_result &result, instant now);

    ledger_store &m_store;
    timer_service &m_clock;
    event_log &m_log;
    std::uint64_t m_epoch;
    std::uint64_t m_nextSequence;
    // Values by key: a later value replaces an earlier one that has not been sent.
    std::map<std::string, value_function> m_pending;
    std::vector<durable_callback> m_pendingCallbacks;
    ledger_append m_append;
    std::vector<durable_callback> m_appendCallbacks;
    bool m_inFlight = false;
    bool m_fenced = false;
    int m_attempts = 0;
    instant m_sentAt;
    instant m_confirmedAt;
    std::function<void(instant now)> m_onFenced;
    std::function<void(instant now)> m_onReadyForNextAppend = [](instant) {
    };
    lifetime m_lifetime;
};

} // namespace jujubespool

// Writes changed entries to the ledger, one append at a time, and says when they are durable.
//
//     writer.put({ "job/5c0e", bytes });
//     writer.whenDurable([](instant now) { reply(); });
//     writer.flush(now);
//
// What changes while an append is on its way is collected and goes with the next one. An append without an
// answer is repeated under its number until it is answered, so that nothing is written twice.
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

    // The epoch has been claimed by the append with the sequence number before firstSequence.
    ledger_writer(ledger_store &store, timer_service &clock, event_log &log, std::uint64_t epoch, std::uint64_t firstSequence);

    void put(ledger_entry entry);
    // Calls back once everything that was put before is durable; at once when it already is.
    void whenDurable(durable_callback call, instant now);
    bool appending() const
    {
        return m_inFlight;
    }
    // Sends what waits, unless an append is on its way.
    void flush(instant now);
    // Time since the store last answered an append, while one is on its way.
    duration unresponsiveFor(instant now) const;
    instant lastDurableAt() const
    {
        return m_lastDurableAt;
    }
    // The ledger has confirmed the ownership by other means.
    void confirmDurable(instant now)
    {
        m_lastDurableAt = now;
    }
    // Called between two appends: the next one takes what is put now.
    void onReadyForNextAppend(std::function<void(instant now)> call)
    {
        m_onBetweenAppends = std::move(call);
    }
    // Called when another owner has taken over.
    void onFenced(std::function<void(instant now)> call)
    {
        m_onFenced = std::move(call);
    }

private:
    void send(instant now);
    void logFailedAttempt(const ledger_append_result &outcome);
    void finish(const ledger_append_result &outcome, instant now);

    ledger_store &m_store;
    timer_service &m_clock;
    event_log &m_log;
    std::uint64_t m_epoch;
    std::uint64_t m_nextSequence;
    // Entries by key: a later value replaces an earlier one that was not sent.
    std::map<std::string, std::optional<std::string>> m_pending;
    std::vector<durable_callback> m_waiting;
    ledger_append m_call;
    std::vector<durable_callback> m_callWaiting;
    bool m_inFlight = false;
    bool m_fenced = false;
    int m_attempts = 0;
    instant m_sentAt;
    instant m_lastDurableAt;
    std::function<void(instant now)> m_onFenced;
    std::function<void(instant now)> m_onBetweenAppends = [](instant) {
    };
    lifetime m_lifetime;
};

} // namespace jujubespool

// One term of ownership of the jobs: reads the state from the store, claims the ledger and then manages the jobs.
//
//     owner_session session(clients, timers, log, settings, identity, wallClock);
//     session.begin([](session_event event, instant now) { ... });
//     session.handle(call, now, reply);
//
// A session is used only once. It ends when another owner takes over or when it resigns.
#pragma once

#include <jujubespool/manager/feed_watcher.h>
#include <jujubespool/manager/job_api_handler.h>
#include <jujubespool/manager/manager_settings.h>
#include <jujubespool/manager/owner_record_reader.h>
#include <jujubespool/manager/ownership_voters.h>
#include <jujubespool/manager/platform_clients.h>

namespace jujubespool {

struct process_identity
{
    std::string node;
    // Random number that identifies this start of the process.
    std::uint64_t incarnation = 0;
};

enum class session_event { claimed, claim_failed, lost };

template <> struct enum_names<session_event>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "claimed", "claim-failed", "lost" };
};

class owner_session
{
public:
    using event_callback = std::function<void(session_event event, instant now)>;
    owner_session(const platform_clients &clients, timer_service &timers, event_log &log, const manager_settings &settings,
                  const process_identity &identity, std::function<wall_ms()> wallClock);

    // Starts to read the store and then claims the ownership; reports the result as an event. The claim fails if the ledger
    // shows a later owner than the one of `ownerEpochSeen`, on which the decision to claim was based; without it, the session
    // reads the present owner first.
    void begin(event_callback onEvent, std::optional<std::uint64_t> ownerEpochSeen = std::nullopt);
    // Starts to read the store like begin(), but claims only after allowClaim(). A process that expects to replace the owner saves the time
    // for reading.
    void prepare(event_callback onEvent);
    // Claims the ownership, based on the present end of the ledger. See begin() for `ownerEpochSeen`.
    void allowClaim(std::optional<std::uint64_t> ownerEpochSeen);
    // See job_manager::setPeerConfirmation().
    void setPeerConfirmation(std::function<bool(instant now)> confirmed)
    {
        m_confirmedByPeers = std::move(confirmed);
    }
    // See job_manager::setTakeOverCheck().
    void setTakeOverCheck(std::function<bool()> known)
    {
        m_takeOverKnown = std::move(known);
    }
    // Ends the session without any further event; used before the session is destroyed.
    void deactivate()
    {
        m_ended = true;
        m_active = false;
    }
    // Whether this process owns the jobs.
    bool active() const
    {
        return m_active;
    }
    std::uint64_t epoch() const
    {
        return m_epoch;
    }
    // See job_manager::isOwnershipConfirmed(). False unless the session is active.
    bool isOwnershipConfirmed(instant now) const
    {
        return m_active && m_manager->isOwnershipConfirmed(now);
    }
    // The processes that count for this ownership; the set of the ledger from the claim on.
    const ownership_voters &voters() const
    {
        return m_voters;
    }
    // Records these processes as the voters, if that is allowed and they are others than before. Call it periodically.
    void updateVoters(const std::vector<voter> &wanted, instant now);
    // Handles a request of a caller. Call it only after the `claimed` event.
    void handle(const http_call &call, instant now, const http_reply_callback &reply);
    // Refuses a new job because this process is out of processor time. A job that is known already is handled.
    void refuseWhileBusy(const http_call &call, instant now, const http_reply_callback &reply);
    // Advances the job manager and renews the ownership; call it periodically.
    void tick(instant now);
    // Gives the ownership up and calls `done` once that is recorded in the ledger.
    void resign(std::function<void(instant now)> done, instant now);
    // Time for which the store has not answered a pending append; zero until the ownership is claimed.
    duration storeUnresponsiveFor(instant now) const;
    // Returns a null pointer until the ownership is claimed.
    const job_manager *manager() const
    {
        return m_manager.get();
    }

private:
    void onFeedCaughtUp(instant now);
    void readLedger(const std::string &after);
    void readLedgerTail();
    void applyLedger(const feed_page &page);
    std::uint64_t claimSequence() const;
    // Fails if another process has claimed the ownership since this session began.
    void claim(instant now);
    void onClaim(const ledger_append_result &outcome, instant now);
    void activate(instant now);
    void restoreVoters();
    void failClaim(const std::string &cause, instant now);
    void applyOperatorEntry(const ledger_entry &entry, instant now);
    void applyEvacuation(const evacuation_request &request, instant now);
    void applyWorkerEntry(const ledger_entry &entry, instant now);
    ledger_entry ownerEntry(instant now) const;
    ledger_entry resignedEntry(instant now) const;
    static ledger_entry entryOf(const wire::owner_image &image);
    wire::owner_image ownerImage(instant now) const;
    void refuse(const http_call &call, const std::string &reason, const http_reply_callback &reply);

    platform_clients m_clients;
    timer_service &m_timers;
    event_log &m_log;
    manager_settings m_settings;
    process_identity m_identity;
    std::function<wall_ms()> m_wallClock;
    event_callback m_onEvent;
    std::function<bool(instant now)> m_confirmedByPeers = [](instant) {
        return false;
    };
    std::function<bool()> m_takeOverKnown = [] {
        return false;
    };
    owner_record_reader m_ownerRecordReader;
    feed_watcher m_operators;
    feed_watcher m_workers;
    std::map<std::string, std::string> m_ledger;
    std::uint64_t m_ledgerEnd = 0;
    bool m_ledgerStarted = false;
    // Epoch of the ownership that this session is to replace; empty until it is known.
    std::optional<std::uint64_t> m_ownerEpochSeen;
    std::uint64_t m_epoch = 0;
    // The clock of the ledger in the record of the owner before this one, in ms.
    std::uint64_t m_ledgerTimeRead = 0;
    int m_claimAttempts = 0;
    // When the claim was sent first.
    instant m_claimSentAt;
    bool m_claimAllowed = true;
    // The store has been read, and the claim is not allowed yet.
    bool m_readyToClaim = false;
    bool m_active = false;
    bool m_ended = false;
    bool m_resigning = false;
    instant m_lastRenewal;
    ownership_voters m_voters;
    // The owner before this one counted the recorded voters, or there was none.
    bool m_votersTrusted = false;
    std::shared_ptr<const fleet_config> m_config;
    std::map<std::uint64_t, host_maintenance_wave> m_waves;
    // Data centres that operators evacuate.
    std::set<std::string> m_evacuated;
    std::map<std::string, worker_report> m_reports;
    std::unique_ptr<job_manager> m_manager;
    std::unique_ptr<job_api_handler> m_apiHandler;
    lifetime m_lifetime;
};

} // namespace jujubespool

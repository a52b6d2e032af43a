// The replicated state that every entry host derives from the platform's log.
//
// Each replica applies the same records in the same order, and accepts or rejects each record in the same way:
//
//     fleet_state state;
//     const apply_result result = state.apply(offset, record);
//     if (result.verdict == apply_verdict::rejected) {
//         report(result.reason);
//     }
//
// The state does not depend on the clock, the address or the session of the replica. apply() repeats every
// check that a writer makes before it proposes a record, because other records may be applied in between.
#pragma once

#include <jujubespool/core/configuration.h>
#include <jujubespool/core/failure.h>
#include <jujubespool/core/permit_allocations.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubespool {

using log_offset = std::uint64_t;

enum class apply_verdict { accepted, duplicate, rejected };

template <> struct enum_names<apply_verdict>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "accepted", "duplicate", "rejected" };
};

struct apply_result
{
    apply_verdict verdict = apply_verdict::accepted;
    // Why the record is a duplicate or was rejected; empty when it was accepted.
    std::string reason;
};

enum class host_state { active, draining, drained, rebooting, failed };

template <> struct enum_names<host_state>
{
    static constexpr std::array<std::string_view, 5> NAMES{ "active", "draining", "drained", "rebooting", "failed" };
};

struct host_status
{
    // Pool to which the host belongs. A host belongs to exactly one pool.
    std::string pool;
    host_state state = host_state::active;
    // Pool that the host joins when its drain completes; empty when the host stays in its pool.
    std::string moveToPool;
    // Wave that currently processes the host; empty when no wave does.
    std::string wave;
    // Pool to which the current edition assigns the host; empty when the host is in that pool or when an operator
    // has moved it.
    std::string wantedPool;
    // Version installed by the last roll-out.
    std::string version;
    // Whether the host is no longer in the configuration. It is deleted when no session holds any of its slots.
    bool removed = false;
};

enum class wave_state { running, paused, cancelled, finished };

template <> struct enum_names<wave_state>
{
    static constexpr std::array<std::string_view, 4> NAMES{ "running", "paused", "cancelled", "finished" };
};

struct wave_status
{
    wire::wave_start start;
    wave_state state = wave_state::running;
    // Why the wave is paused or cancelled.
    std::string reason;
    // Hosts whose maintenance is done.
    std::set<std::string> done;
    // Hosts whose maintenance failed.
    std::set<std::string> failed;
    // Hosts that an operator has excluded from the wave.
    std::set<std::string> excluded;

    // Whether the host needs no further work in this wave.
    bool isHostResolved(const std::string &host) const
    {
        return done.count(host) + failed.count(host) + excluded.count(host) > 0;
    }
};

struct session_status
{
    wire::session_open open;
    // Sequence number of the last record of the session that was applied.
    std::uint64_t lastSequence = 0;
    bool ended = false;
};

class fleet_state
{
public:
    fleet_state();

    // Applies the record at the offset. Offsets must be passed in ascending order without gaps.
    apply_result apply(log_offset offset, const wire::record &record);

    // Advances past a record that does not decode. The rest of the state does not change.
    void skipRecord(log_offset offset);

    // Offset of the next record to apply.
    log_offset nextOffset() const
    {
        return m_nextOffset;
    }

    const configuration &config() const
    {
        return m_config;
    }

    // Offset of the current edition; 0 before the first edition.
    log_offset editionOffset() const
    {
        return m_editionOffset;
    }

    // Configuration text of the current edition.
    std::string editionText() const;
    // The same text, split by splitLines().
    const std::vector<std::string> &editionLines() const
    {
        return m_editionLines;
    }

    const permit_allocations &permitAllocations() const
    {
        return m_permitAllocations;
    }

    const std::map<session_id, session_status> &sessions() const
    {
        return m_sessions;
    }

    // Whether the session is open and has not ended.
    bool isLive(session_id session) const;
    // Whether the session holds a range of idempotency keys.
    bool holdsClaimRanges(session_id session) const;
    // Returns the sessions that have not ended, sorted by id.
    std::vector<session_id> liveSessions() const;

    const std::map<std::string, host_status> &hosts() const
    {
        return m_hosts;
    }

    const std::map<std::string, wave_status> &waves() const
    {
        return m_waves;
    }

    // Offset after the last record that changed the pool, the state or the slot limit of a host.
    log_offset hostsChangedOffset() const
    {
        return m_hostsChangedOffset;
    }

    // Returns the team of the API key with this hash, or nullptr when the key is unknown or withdrawn.
    const team_spec *teamOfKeyHash(const std::string &apiKeyHash) const;

    // Whether the last change to the API key on the log is its withdrawal.
    bool isKeyWithdrawn(const std::string &apiKeyHash) const;

    // Returns the claim of an idempotency key, or nullptr when there is none.
    const wire::claim *findClaim(const std::string &idempotencyKeyHash) const;
    std::size_t claimCount() const
    {
        return m_claims.size();
    }

    // Returns the fence of the range of idempotency keys. A request whose key was issued up to this time is not run
    // unless the claim of its key is known. 0 when the range has no fence.
    wall_ms claimRangeFence(std::uint32_t range) const;

    // Returns the start time of the last session of the host by the host's clock, or 0 when it had no session.
    wall_ms lastSessionStart(const std::string &host) const;

    // Returns why the budgets do not allow the host to leave service now, or std::nullopt when they do.
    std::optional<std::string> budgetViolation(const std::string &host) const;

    // Returns the number of hosts of the pool that may be out of service at the same time. It follows from the budgets
    // of the services in the pool and of the services that depend on them.
    std::uint32_t allowedUnavailable(const std::string &pool) const;
    // Returns the number of hosts in the pool.
    std::uint32_t poolSize(const std::string &pool) const;
    // Returns the number of hosts of the pool that are out of service.
    std::uint32_t unavailable(const std::string &pool) const;

    // Serializes the complete state. load() restores an equal state.
    std::string serialize() const;
    // Returns std::nullopt and sets the reason when the image is invalid.
    static std::optional<fleet_state> load(const std::string &image, failure &reason);

private:
    apply_result applyBody(log_offset offset, const wire::record &record);
    apply_result openSession(const wire::record &record);
    apply_result endSession(const wire::session_end &end, session_id writer);
    apply_result publishEdition(log_offset offset, const wire::edition &edition);
    apply_result changeKey(const wire::key_change &change);
    apply_result takePermits(const wire::permit_take &take, session_id writer);
    apply_result givePermits(const wire::permit_give &give, session_id writer);
    apply_result reclaimPermits(const wire::permit_reclaim &reclaim);
    apply_result recordClaims(const wire::claim_batch &batch, session_id writer);
    apply_result drainHost(const wire::host_drain &drain);
    apply_result undrainHost(const wire::host_undrain &undrain);
    apply_result applyMaintenanceStep(const wire::host_step &step);
    apply_result applyWaveStep(const wire::host_step &step, host_status &status);
    apply_result startWave(const wire::wave_start &start);
    apply_result controlWave(const wire::wave_control &control);

    void updateConfiguration(const wire::config_change &change);
    void updateTeams(const wire::config_change &change);
    void updateHost(const host_spec &host);
    void removeConfiguredKeys(const std::string &team);
    std::optional<std::string> removalBudgetViolation(const wire::config_change &change) const;
    void recountPools();
    void setHostState(const std::string &host, host_state state);
    void updateSlotLimit(const std::string &host);
    void completeDrainIfIdle(const std::string &host);
    void onPermitsReleased(const std::string &resource);
    void updateWaveState(wave_status &wave);
    bool recordClaim(const wire::claim &claim, session_id writer);
    void removeExpiredClaims();

    log_offset m_nextOffset = 0;
    log_offset m_editionOffset = 0;
    log_offset m_hostsChangedOffset = 0;
    std::vector<std::string> m_editionLines;
    configuration m_config;
    permit_allocations m_permitAllocations;
    std::map<session_id, session_status> m_sessions;
    std::map<std::string, std::uint64_t> m_lastSessionStart;
    std::map<std::string, host_status> m_hosts;
    std::map<std::string, wave_status> m_waves;
    // Last change to each API key on the log, by the hash of the key. It overrides the configuration.
    std::unordered_map<std::string, wire::key_change> m_keyChanges;
    // Name of the team of each API key in the configuration, by the hash of the key.
    std::unordered_map<std::string, std::string> m_teamOfConfiguredKey;
    // By the hash of the idempotency key.
    std::unordered_map<std::string, wire::claim> m_claims;
    // Issue time and hash of each idempotency key in m_claims, oldest first.
    std::set<std::pair<wall_ms, std::string>> m_claimsByIssueTime;
    std::map<std::uint32_t, wall_ms> m_claimRangeFences;
    wall_ms m_newestIssueTime = 0;

    // Counts and budget of a pool, derived from m_hosts and the configuration.
    struct pool_counts
    {
        std::uint32_t size = 0;
        std::uint32_t unavailable = 0;
        // Percentage of the hosts that may be out of service at the same time.
        std::uint32_t percent = 100;
    };
    std::map<std::string, pool_counts> m_poolCounts;
};

} // namespace jujubespool

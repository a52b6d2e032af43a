// The state that every entry host derives from the platform's log.
//
// Each reader applies the same records in the same order and accepts or rejects each alike:
//
//     fleet_state state;
//     const apply_result result = state.apply(offset, record);
//     if (result.verdict == apply_verdict::rejected) {
//         report(result.reason);
//     }
//
// Nothing here depends on the reader's clock, address or session. Whoever proposes a record checks
// nothing that apply() does not check again, because another record may come first.
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
    std::string reason;
};

enum class host_state { active, draining, drained, rebooting, failed };

template <> struct enum_names<host_state>
{
    static constexpr std::array<std::string_view, 5> NAMES{ "active", "draining", "drained", "rebooting", "failed" };
};

struct host_status
{
    // The one pool that the host belongs to.
    std::string pool;
    host_state state = host_state::active;
    // Pool that the host joins once it is drained; empty when it keeps its pool.
    std::string moveToPool;
    // Wave that drains the host; empty when an operator does.
    std::string wave;
    // Pool that the last edition puts the host into; empty when it is there or an operator has moved it.
    std::string wantedPool;
    // Version that the last roll-out has installed.
    std::string version;
    // The configuration names the host no longer; it is forgotten once it is drained.
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
    std::string reason;
    std::set<std::string> done;
    std::set<std::string> failed;
    std::set<std::string> excluded;

    bool isHostResolved(const std::string &host) const
    {
        return done.count(host) + failed.count(host) + excluded.count(host) > 0;
    }
};

struct session_status
{
    wire::session_open open;
    std::uint64_t lastSequence = 0;
    bool ended = false;
};

class fleet_state
{
public:
    fleet_state();

    // Applies the record at offset. Offsets must be given in order, without a gap.
    apply_result apply(log_offset offset, const wire::record &record);

    // Counts a record that does not decode; it changes nothing.
    void skipRecord(log_offset offset);

    log_offset nextOffset() const
    {
        return m_nextOffset;
    }

    const configuration &config() const
    {
        return m_config;
    }

    // Offset of the edition in force; 0 before the first one.
    log_offset editionOffset() const
    {
        return m_editionOffset;
    }

    std::string editionText() const;
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

    bool isLive(session_id session) const;
    // Whether the session holds a range of idempotency keys.
    bool holdsClaimRanges(session_id session) const;
    // Sessions that have not ended, in the order of their ids.
    std::vector<session_id> liveSessions() const;

    const std::map<std::string, host_status> &hosts() const
    {
        return m_hosts;
    }

    const std::map<std::string, wave_status> &waves() const
    {
        return m_waves;
    }

    // Offset after the last record that changed a host's pool or state.
    log_offset hostsChangedOffset() const
    {
        return m_hostsChangedAt;
    }

    // Team of a key's hash, unless the key is unknown or withdrawn.
    const team_spec *teamOfKeyHash(const std::string &keyHash) const;

    // Whether the log holds the withdrawal of the key as the last change to it.
    bool isKeyWithdrawn(const std::string &keyHash) const;

    const wire::claim *findClaim(const std::string &keyHash) const;
    std::size_t claimCount() const
    {
        return m_claims.size();
    }

    // Wall time up to which issued keys of the range are not run unless their claim is known.
    wall_ms claimRangeFence(std::uint32_t range) const;

    // Start of the host's last session, by its own clock; 0 when it had none.
    wall_ms lastSessionStart(const std::string &host) const;

    // Why the host may not leave service now, or nothing when the budgets allow it.
    std::optional<std::string> budgetViolation(const std::string &host) const;

    // Hosts of the pool that may be out of service at once under the budgets of its services and their dependants.
    std::uint32_t allowedUnavailable(const std::string &pool) const;
    std::uint32_t poolSize(const std::string &pool) const;
    std::uint32_t unavailable(const std::string &pool) const;

    // A complete image; load() on it gives an equal state.
    std::string serialize() const;
    static std::optional<fleet_state> load(const std::string &image, failure &reason);

private:
    apply_result applyBody(log_offset offset, const wire::record &record);
    apply_result openSession(const wire::record &record);
    apply_result endSession(const wire::session_end &end, session_id writer);
    apply_result publish(log_offset offset, const wire::edition &edition);
    apply_result changeKey(const wire::key_change &change);
    apply_result takePermits(const wire::permit_take &take, session_id writer);
    apply_result givePermits(const wire::permit_give &give, session_id writer);
    apply_result reclaimPermits(const wire::permit_reclaim &reclaim);
    apply_result recordClaims(const wire::claim_batch &batch, session_id writer);
    apply_result drainHost(const wire::host_drain &drain);
    apply_result undrainHost(const wire::host_undrain &undrain);
    apply_result stepHost(const wire::host_step &step);
    apply_result stepWaveHost(const wire::host_step &step, host_status &status);
    apply_result startWave(const wire::wave_start &start);
    apply_result controlWave(const wire::wave_control &control);

    void adoptChange(const wire::config_change &change);
    void adoptTeams(const wire::config_change &change);
    void adoptHost(const host_spec &host);
    void forgetKeys(const std::string &team);
    std::optional<std::string> removalObjection(const wire::config_change &change) const;
    void indexPools();
    void setState(const std::string &host, host_state state);
    void limitSlots(const std::string &host);
    void settleHost(const std::string &host);
    void settleResource(const std::string &resource);
    void settleWave(wave_status &wave);
    bool recordClaim(const wire::claim &claim, session_id writer);
    void forgetOldClaims();

    log_offset m_nextOffset = 0;
    log_offset m_editionOffset = 0;
    log_offset m_hostsChangedAt = 0;
    std::vector<std::string> m_editionLines;
    configuration m_config;
    permit_allocations m_permitAllocations;
    std::map<session_id, session_status> m_sessions;
    std::map<std::string, std::uint64_t> m_lastStart;
    std::map<std::string, host_status> m_hosts;
    std::map<std::string, wave_status> m_waves;
    std::unordered_map<std::string, wire::key_change> m_keys;
    std::unordered_map<std::string, std::string> m_configKeys;
    std::unordered_map<std::string, wire::claim> m_claims;
    std::set<std::pair<wall_ms, std::string>> m_claimAges;
    std::map<std::uint32_t, wall_ms> m_fences;
    wall_ms m_newestIssued = 0;

    // Counts per pool, derived from m_hosts and the configuration.
    struct pool_counts
    {
        std::uint32_t size = 0;
        std::uint32_t unavailable = 0;
        std::uint32_t percent = 100;
    };
    std::map<std::string, pool_counts> m_poolCounts;
};

} // namespace jujubespool

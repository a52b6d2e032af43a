#include <jujubespool/core/permit_planner.h>

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace jujubespool {

namespace {

std::uint64_t rendezvousWeight(const std::string &resource, session_id session)
{
    return XXH3_64bits_withSeed(resource.data(), resource.size(), session);
}

// Builds one plan, with one transfer message for each receiver.
class plan_builder
{
public:
    plan_builder(const fleet_state &state, session_id self, const permit_tracker &permits, bool leaving, instant now)
        : m_self(self)
        , m_permits(permits)
        , m_leaving(leaving)
        , m_now(now)
    {
        for (const session_id id : state.liveSessions()) {
            if (id != self || !leaving) {
                m_sessions.push_back(id);
                m_byDataCenter[state.sessions().at(id).open.data_center()].push_back(id);
            }
        }
    }

    void add(const std::string &resource, const resource_allocation &allocation)
    {
        const std::vector<session_id> &eligible = allocation.dataCenter.empty() ? m_sessions : m_byDataCenter[allocation.dataCenter];
        const std::uint32_t held = allocation.heldBy(m_self);
        const bool selfIsEligible = std::find(eligible.begin(), eligible.end(), m_self) != eligible.end();
        const std::uint32_t target = selfIsEligible ? permitTarget(resource, allocation.limit, eligible, m_self) : 0;
        const std::int64_t unassigned = allocation.unassigned();
        if (held < target && unassigned > 0) {
            const auto count = std::min<std::int64_t>(target - held, unassigned);
            addEntry(m_plan.take, resource, static_cast<std::uint32_t>(count));
        }
        if (held > target) {
            transferSurplus(resource, allocation, eligible, held - target);
        }
    }

    permit_plan finish()
    {
        for (auto &[receiver, give] : m_gives) {
            give.set_to_session(receiver);
            m_plan.gives.push_back(std::move(give));
        }
        return std::move(m_plan);
    }

private:
    template <typename Message> static void addEntry(Message &message, const std::string &resource, std::uint32_t count)
    {
        wire::permit_entry &entry = *message.add_entries();
        entry.set_resource(resource);
        entry.set_count(count);
    }

    // Number of permits that are not used for work, lent or in transfer. Slots of a drained host count too, although no work
    // may start on them.
    std::uint32_t idle(const std::string &resource, const resource_allocation &allocation) const
    {
        const std::uint32_t unavailable
            = m_permits.inUse(resource) + m_permits.lentOut(resource, m_now) + m_permits.pendingTransfer(resource);
        const std::uint32_t held = allocation.heldBy(m_self);
        return held - std::min(held, unavailable);
    }

    void transferSurplus(const std::string &resource, const resource_allocation &allocation, const std::vector<session_id> &eligible,
                         std::uint32_t surplus)
    {
        std::uint32_t remaining = std::min(surplus, idle(resource, allocation));
        // Permits beyond a lowered limit are released first; only the remaining ones are transferred to other sessions.
        const std::uint32_t total = allocation.totalHeld();
        const std::uint32_t excess = total - std::min(total, allocation.limit);
        remaining -= addTransfer(NO_SESSION, resource, std::min(remaining, excess));
        for (const session_id id : eligible) {
            const std::uint32_t target = permitTarget(resource, allocation.limit, eligible, id);
            const std::uint32_t held = allocation.heldBy(id);
            if (id != m_self && held < target) {
                remaining -= addTransfer(id, resource, std::min(remaining, target - held));
            }
        }
        if (m_leaving) {
            addTransfer(NO_SESSION, resource, remaining);
        }
    }

    std::uint32_t addTransfer(session_id receiver, const std::string &resource, std::uint32_t count)
    {
        if (count > 0) {
            addEntry(m_gives[receiver], resource, count);
        }
        return count;
    }

    session_id m_self;
    const permit_tracker &m_permits;
    bool m_leaving;
    instant m_now;
    std::vector<session_id> m_sessions;
    std::map<std::string, std::vector<session_id>> m_byDataCenter;
    permit_plan m_plan;
    std::map<session_id, wire::permit_give> m_gives;
};

} // namespace

std::uint32_t permitTarget(const std::string &resource, std::uint32_t limit, const std::vector<session_id> &eligible, session_id session)
{
    const auto count = static_cast<std::uint32_t>(eligible.size());
    const std::uint32_t remainder = limit % count;
    const std::uint64_t mine = rendezvousWeight(resource, session);
    std::uint32_t rank = 0;
    if (remainder > 0) {
        rank = static_cast<std::uint32_t>(std::count_if(eligible.begin(), eligible.end(), [&](session_id id) {
            const std::uint64_t weight = rendezvousWeight(resource, id);
            return weight > mine || (weight == mine && id < session);
        }));
    }
    return limit / count + (rank < remainder ? 1 : 0);
}

permit_plan planPermits(const fleet_state &state, session_id self, const permit_tracker &permits, bool leaving, instant now)
{
    if (!state.isLive(self)) {
        return {};
    }
    plan_builder builder(state, self, permits, leaving, now);
    for (const auto &[resource, allocation] : state.permitAllocations().resources()) {
        builder.add(resource, allocation);
    }
    return builder.finish();
}

} // namespace jujubespool

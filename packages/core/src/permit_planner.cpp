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

// Collects the entries of one plan, one message for each receiver.
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
                m_all.push_back(id);
                m_byDataCenter[state.sessions().at(id).open.data_center()].push_back(id);
            }
        }
    }

    void add(const std::string &resource, const resource_allocation &account)
    {
        const std::vector<session_id> &eligible = account.dataCenter.empty() ? m_all : m_byDataCenter[account.dataCenter];
        const std::uint32_t held = account.heldBy(m_self);
        const bool eligibleSelf = std::find(eligible.begin(), eligible.end(), m_self) != eligible.end();
        const std::uint32_t target = eligibleSelf ? permitTarget(resource, account.limit, eligible, m_self) : 0;
        const std::int64_t unassigned = account.unassigned();
        if (held < target && unassigned > 0) {
            const auto count = std::min<std::int64_t>(target - held, unassigned);
            addEntry(m_plan.take, resource, static_cast<std::uint32_t>(count));
        }
        if (held > target) {
            giveSurplus(resource, account, eligible, held - target);
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

    // Permits that neither run work nor are lent. A drained host's slots count too, although no work may start on them.
    std::uint32_t idle(const std::string &resource, const resource_allocation &account) const
    {
        const std::uint32_t bound = m_permits.inUse(resource) + m_permits.lentOut(resource, m_now) + m_permits.pendingTransfer(resource);
        const std::uint32_t held = account.heldBy(m_self);
        return held - std::min(held, bound);
    }

    void giveSurplus(const std::string &resource, const resource_allocation &account, const std::vector<session_id> &eligible,
                     std::uint32_t surplus)
    {
        std::uint32_t left = std::min(surplus, idle(resource, account));
        // A lowered limit takes back first; only what still fits under it passes to others.
        const std::uint32_t total = account.totalHeld();
        const std::uint32_t excess = total - std::min(total, account.limit);
        left -= giveTo(NO_SESSION, resource, std::min(left, excess));
        for (const session_id id : eligible) {
            const std::uint32_t target = permitTarget(resource, account.limit, eligible, id);
            const std::uint32_t held = account.heldBy(id);
            if (id != m_self && held < target) {
                left -= giveTo(id, resource, std::min(left, target - held));
            }
        }
        if (m_leaving) {
            giveTo(NO_SESSION, resource, left);
        }
    }

    std::uint32_t giveTo(session_id receiver, const std::string &resource, std::uint32_t count)
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
    std::vector<session_id> m_all;
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
    for (const auto &[resource, account] : state.permitAllocations().accounts()) {
        builder.add(resource, account);
    }
    return builder.finish();
}

} // namespace jujubespool

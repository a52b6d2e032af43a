#include <jujubespool/core/fair_queue.h>

#include <algorithm>

namespace jujubespool {

namespace {

std::size_t indexOf(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

void fair_queue::push(const queued_request &request, std::uint32_t share)
{
    insert(request, share, false);
}

void fair_queue::insert(const queued_request &request, std::uint32_t share, bool front)
{
    team_queue &queue = m_teams[request.team];
    queue.share = share;
    if (queue.idle()) {
        // A team that was idle does not save its unused share up.
        queue.virtualTime = std::max(queue.virtualTime, m_systemTime);
    }
    const std::size_t index = indexOf(request.priority);
    std::list<request_id> &requests = queue.requests[index];
    if (requests.empty()) {
        m_order[index].emplace(queue.virtualTime, request.team);
    }
    const auto entry = requests.insert(front ? requests.begin() : requests.end(), request.id);
    m_positions[request.id] = { request.team, request.priority, entry };
}

void fair_queue::remove(const position &where)
{
    team_queue &queue = m_teams.at(where.team);
    const std::size_t index = indexOf(where.priority);
    queue.requests[index].erase(where.entry);
    if (queue.requests[index].empty()) {
        m_order[index].erase({ queue.virtualTime, where.team });
    }
}

bool fair_queue::cancel(request_id id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return false;
    }
    remove(found->second);
    m_positions.erase(found);
    return true;
}

void fair_queue::setVirtualTime(const std::string &team, team_queue &queue, double value)
{
    for (std::size_t index = 0; index < 2; ++index) {
        if (!queue.requests[index].empty()) {
            m_order[index].erase({ queue.virtualTime, team });
            m_order[index].emplace(value, team);
        }
    }
    queue.virtualTime = value;
}

std::optional<queued_request> fair_queue::pop(const std::function<bool(const std::string &)> &eligible, duration estimate)
{
    const bool yield = m_urgentInRow >= URGENT_BURST && !m_order[indexOf(request_class::normal)].empty();
    if (!yield) {
        if (auto urgent = popFrom(request_class::urgent, eligible, estimate)) {
            ++m_urgentInRow;
            return urgent;
        }
    }
    if (auto normal = popFrom(request_class::normal, eligible, estimate)) {
        m_urgentInRow = 0;
        return normal;
    }
    return yield ? popFrom(request_class::urgent, eligible, estimate) : std::nullopt;
}

std::optional<queued_request> fair_queue::popFrom(request_class priority, const std::function<bool(const std::string &)> &eligible,
                                                  duration estimate)
{
    for (const auto &[virtualTime, team] : m_order[indexOf(priority)]) {
        if (!eligible(team)) {
            continue;
        }
        const queued_request request{ m_teams.at(team).requests[indexOf(priority)].front(), team, priority };
        team_queue &queue = m_teams.at(request.team);
        m_systemTime = std::max(m_systemTime, virtualTime);
        cancel(request.id);
        charge(request.team, queue.share, estimate);
        return request;
    }
    return std::nullopt;
}

void fair_queue::putBack(const queued_request &request, std::uint32_t share, duration estimate)
{
    insert(request, share, true);
    charge(request.team, share, -estimate);
}

void fair_queue::charge(const std::string &team, std::uint32_t share, duration runTime)
{
    team_queue &queue = m_teams[team];
    setVirtualTime(team, queue, queue.virtualTime + static_cast<double>(runTime.count()) / share);
}

std::optional<double> fair_queue::headVirtualTime() const
{
    std::optional<double> lowest;
    for (const order &waiting : m_order) {
        if (!waiting.empty()) {
            lowest = std::min(lowest.value_or(waiting.begin()->first), waiting.begin()->first);
        }
    }
    return lowest;
}

std::string fair_queue::headTeam() const
{
    const auto &urgent = m_order[0];
    const auto &normal = m_order[1];
    if (urgent.empty() || (!normal.empty() && normal.begin()->first < urgent.begin()->first)) {
        return normal.empty() ? std::string() : normal.begin()->second;
    }
    return urgent.begin()->second;
}

std::size_t fair_queue::waiting(const std::string &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.requests[0].size() + found->second.requests[1].size();
}

std::map<std::string, std::size_t> fair_queue::waitingTeams() const
{
    std::map<std::string, std::size_t> teams;
    for (const order &waitingOrder : m_order) {
        for (const auto &[virtualTime, team] : waitingOrder) {
            teams[team] = waiting(team);
        }
    }
    return teams;
}

} // namespace jujubespool

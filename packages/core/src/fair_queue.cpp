#include <jujubespool/core/fair_queue.h>

#include <algorithm>
#include <cmath>

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
    if (queue.empty()) {
        // A team that was idle does not accumulate its unused share.
        queue.virtualTime = std::max(queue.virtualTime, m_virtualTime);
        queue.fleetTime = std::max(queue.fleetTime, m_meanFleetTime);
    }
    const std::size_t index = indexOf(request.priority);
    std::list<request_id> &requests = queue.requests[index];
    if (requests.empty()) {
        m_order[index].emplace(queue.virtualTime, request.team);
    }
    const auto entry = requests.insert(front ? requests.begin() : requests.end(), request.id);
    m_positions[request.id] = { request.team, request.priority, entry };
}

void fair_queue::remove(const position &entryPosition)
{
    team_queue &queue = m_teams.at(entryPosition.team);
    const std::size_t index = indexOf(entryPosition.priority);
    queue.requests[index].erase(entryPosition.entry);
    if (queue.requests[index].empty()) {
        m_order[index].erase({ queue.virtualTime, entryPosition.team });
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
    const bool normalIsDue = m_consecutiveUrgent >= URGENT_BURST && !m_order[indexOf(request_class::normal)].empty();
    if (!normalIsDue) {
        if (auto urgent = popFrom(request_class::urgent, eligible, estimate)) {
            ++m_consecutiveUrgent;
            return urgent;
        }
    }
    if (auto normal = popFrom(request_class::normal, eligible, estimate)) {
        m_consecutiveUrgent = 0;
        return normal;
    }
    return normalIsDue ? popFrom(request_class::urgent, eligible, estimate) : std::nullopt;
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
        m_virtualTime = std::max(m_virtualTime, virtualTime);
        cancel(request.id);
        charge(request.team, queue.share, estimate);
        return request;
    }
    return std::nullopt;
}

void fair_queue::requeue(const queued_request &request, std::uint32_t share, duration estimate)
{
    insert(request, share, true);
    charge(request.team, share, -estimate);
}

void fair_queue::charge(const std::string &team, std::uint32_t share, duration runTime)
{
    team_queue &queue = m_teams[team];
    const double time = static_cast<double>(runTime.count()) / share;
    queue.fleetTime += time;
    setVirtualTime(team, queue, queue.virtualTime + time / queue.weightFactor);
}

void fair_queue::chargeRemote(const std::string &team, std::uint32_t share, duration runTime)
{
    m_teams[team].fleetTime += static_cast<double>(runTime.count()) / share;
}

void fair_queue::adjustWeights(duration elapsed)
{
    double shares = 0;
    double times = 0;
    for (const auto &[team, queue] : m_teams) {
        if (!queue.empty()) {
            shares += queue.share;
            times += queue.share * queue.fleetTime;
        }
    }
    if (shares == 0) {
        return;
    }
    const double mean = times / shares;
    constexpr double SMOOTHING = 0.2;
    const double rate = std::max(0.0, mean - m_meanFleetTime) / static_cast<double>(elapsed.count());
    m_fleetTimeRate += SMOOTHING * (rate - m_fleetTimeRate);
    m_meanFleetTime = std::max(m_meanFleetTime, mean);
    const double catchUpRange = std::max(1.0, m_fleetTimeRate * static_cast<double>(duration(CATCH_UP_TIME).count()));
    for (auto &[team, queue] : m_teams) {
        queue.weightFactor
            = queue.empty() ? 1 : std::clamp(std::exp((mean - queue.fleetTime) / catchUpRange), 1 / MAX_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR);
    }
}

const std::pair<const std::string, fair_queue::team_queue> *fair_queue::head() const
{
    const std::pair<const std::string, team_queue> *lowest = nullptr;
    for (const auto &item : m_teams) {
        if (!item.second.empty() && (lowest == nullptr || item.second.fleetTime < lowest->second.fleetTime)) {
            lowest = &item;
        }
    }
    return lowest;
}

std::optional<double> fair_queue::headVirtualTime() const
{
    const auto *lowest = head();
    return lowest == nullptr ? std::nullopt : std::optional(lowest->second.fleetTime);
}

std::string fair_queue::headTeam() const
{
    const auto *lowest = head();
    return lowest == nullptr ? std::string() : lowest->first;
}

std::size_t fair_queue::waiting(const std::string &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.requests[0].size() + found->second.requests[1].size();
}

std::map<std::string, std::size_t> fair_queue::waitingTeams() const
{
    std::map<std::string, std::size_t> teams;
    for (const team_order &waitingOrder : m_order) {
        for (const auto &[virtualTime, team] : waitingOrder) {
            teams[team] = waiting(team);
        }
    }
    return teams;
}

} // namespace jujubespool

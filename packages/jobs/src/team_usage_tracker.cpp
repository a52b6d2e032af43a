#include <jujubespool/jobs/team_usage_tracker.h>

namespace jujubespool {

namespace {

bool within(std::int64_t running, std::int64_t more, std::int64_t limit)
{
    return limit == 0 || more == 0 || running + more <= limit;
}

} // namespace

bool team_usage_tracker::allows(const team_config &team, const resources &more) const
{
    const resources running = of(team.name);
    return within(running.cpuMillis, more.cpuMillis, team.limit.cpuMillis) && within(running.memoryMb, more.memoryMb, team.limit.memoryMb)
        && within(running.gpus, more.gpus, team.limit.gpus);
}

void team_usage_tracker::add(const std::string &team, const resources &need)
{
    m_running[team] += need;
}

void team_usage_tracker::remove(const std::string &team, const resources &need)
{
    m_running[team] -= need;
}

resources team_usage_tracker::of(const std::string &team) const
{
    const auto found = m_running.find(team);
    return found == m_running.end() ? resources() : found->second;
}

} // namespace jujubespool

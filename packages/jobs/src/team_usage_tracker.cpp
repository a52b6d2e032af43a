#include <jujubespool/jobs/team_usage_tracker.h>

namespace jujubespool {

namespace {

bool isWithinLimit(std::int64_t running, std::int64_t additional, std::int64_t limit)
{
    return limit == 0 || additional == 0 || running + additional <= limit;
}

} // namespace

bool team_usage_tracker::allows(const team_config &team, const resources &additional) const
{
    const resources running = of(team.name);
    return isWithinLimit(running.cpuMillis, additional.cpuMillis, team.limit.cpuMillis)
        && isWithinLimit(running.memoryMb, additional.memoryMb, team.limit.memoryMb)
        && isWithinLimit(running.gpus, additional.gpus, team.limit.gpus);
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

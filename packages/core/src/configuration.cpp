#include <jujubespool/core/configuration.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace jujubespool {

namespace {

template <typename T> const T *findByName(const std::vector<T> &items, std::string_view name)
{
    const auto found
        = std::lower_bound(items.begin(), items.end(), name, [](const T &item, std::string_view wanted) { return item.name < wanted; });
    return found == items.end() || found->name != name ? nullptr : &*found;
}

std::vector<std::string> linesOf(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

const service_spec *configuration::findService(std::string_view name) const
{
    return findByName(services, name);
}

const host_spec *configuration::findHost(std::string_view name) const
{
    return findByName(hosts, name);
}

const team_spec *configuration::findTeam(std::string_view name) const
{
    return findByName(teams, name);
}

const pool_spec *configuration::findPool(std::string_view name) const
{
    return findByName(pools, name);
}

milliseconds configuration::longestRun() const
{
    milliseconds longest{ 0 };
    for (const service_spec &service : services) {
        longest = std::max(longest, service.maxRun);
    }
    return longest;
}

std::string formatTextDiff(const std::string &before, const std::string &after)
{
    const auto old = linesOf(before);
    const auto fresh = linesOf(after);
    const std::multiset<std::string> oldSet(old.begin(), old.end());
    const std::multiset<std::string> freshSet(fresh.begin(), fresh.end());
    std::string difference;
    for (const std::string &line : old) {
        if (freshSet.count(line) < oldSet.count(line)) {
            difference += "- " + line + "\n";
        }
    }
    for (const std::string &line : fresh) {
        if (oldSet.count(line) < freshSet.count(line)) {
            difference += "+ " + line + "\n";
        }
    }
    return difference;
}

} // namespace jujubespool

#include <jujubespool/core/configuration.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace jujubespool {

namespace {

template <typename T> const T *findByName(const std::vector<T> &sorted, std::string_view name)
{
    const auto found
        = std::lower_bound(sorted.begin(), sorted.end(), name, [](const T &element, std::string_view key) { return element.name < key; });
    return found == sorted.end() || found->name != name ? nullptr : &*found;
}

std::vector<std::string> readLines(const std::string &text)
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
    const auto beforeLines = readLines(before);
    const auto afterLines = readLines(after);
    const std::multiset<std::string> beforeCounts(beforeLines.begin(), beforeLines.end());
    const std::multiset<std::string> afterCounts(afterLines.begin(), afterLines.end());
    std::string difference;
    for (const std::string &line : beforeLines) {
        if (afterCounts.count(line) < beforeCounts.count(line)) {
            difference += "- " + line + "\n";
        }
    }
    for (const std::string &line : afterLines) {
        if (beforeCounts.count(line) < afterCounts.count(line)) {
            difference += "+ " + line + "\n";
        }
    }
    return difference;
}

} // namespace jujubespool

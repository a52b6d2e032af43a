#include <jujubespool/core/config_change.h>

#include <algorithm>

namespace jujubespool {

namespace {

wire::service_image imageOf(const service_spec &service)
{
    wire::service_image image;
    image.set_name(service.name);
    image.set_pool(service.pool);
    image.mutable_depends_on()->Assign(service.dependsOn.begin(), service.dependsOn.end());
    image.set_normal(service.defaultClass == request_class::normal);
    image.set_repeatable(service.repeatable);
    image.set_max_unavailable_percent(service.maxUnavailablePercent);
    image.set_open(service.queue == queue_kind::open);
    image.set_max_run_ms(static_cast<std::uint32_t>(service.maxRun.count()));
    return image;
}

service_spec specOf(const wire::service_image &image)
{
    service_spec service;
    service.name = image.name();
    service.pool = image.pool();
    service.dependsOn.assign(image.depends_on().begin(), image.depends_on().end());
    service.defaultClass = image.normal() ? request_class::normal : request_class::urgent;
    service.repeatable = image.repeatable();
    service.maxUnavailablePercent = image.max_unavailable_percent();
    service.queue = image.open() ? queue_kind::open : queue_kind::keyed;
    service.maxRun = milliseconds(image.max_run_ms());
    return service;
}

wire::pool_image imageOf(const pool_spec &pool)
{
    wire::pool_image image;
    image.set_name(pool.name);
    image.set_spare(pool.spare);
    return image;
}

pool_spec specOf(const wire::pool_image &image)
{
    return { image.name(), image.spare() };
}

wire::host_place imageOf(const host_spec &host)
{
    wire::host_place image;
    image.set_name(host.name);
    image.set_pool(host.pool);
    image.set_data_center(host.dataCenter);
    image.set_rack(host.rack);
    image.set_address(host.address);
    image.set_slots(host.slots);
    image.set_connections(host.connections);
    return image;
}

host_spec specOf(const wire::host_place &image)
{
    return { image.name(), image.pool(), image.data_center(), image.rack(), image.address(), image.slots(), image.connections() };
}

wire::team_image imageOf(const team_spec &team)
{
    wire::team_image image;
    image.set_name(team.name);
    image.set_share(team.share);
    image.set_limit(team.limit);
    image.mutable_key_hashes()->Assign(team.keyHashes.begin(), team.keyHashes.end());
    return image;
}

team_spec specOf(const wire::team_image &image)
{
    return { image.name(), image.share(), image.limit(), { image.key_hashes().begin(), image.key_hashes().end() } };
}

using name_list = google::protobuf::RepeatedPtrField<std::string>;

// Walks two lists that are sorted by name and notes what was added, changed and removed.
template <typename Spec, typename Image>
void compare(const std::vector<Spec> &before, const std::vector<Spec> &after, google::protobuf::RepeatedPtrField<Image> &changed,
             name_list &removed)
{
    auto old = before.begin();
    for (const Spec &item : after) {
        while (old != before.end() && old->name < item.name) {
            *removed.Add() = old->name;
            ++old;
        }
        const bool same = old != before.end() && *old == item;
        if (!same) {
            *changed.Add() = imageOf(item);
        }
        if (old != before.end() && old->name == item.name) {
            ++old;
        }
    }
    for (; old != before.end(); ++old) {
        *removed.Add() = old->name;
    }
}

template <typename Spec, typename Image>
void merge(std::vector<Spec> &items, const google::protobuf::RepeatedPtrField<Image> &changed, const name_list &removed)
{
    const auto positionOf = [&items](const std::string &name) {
        return std::lower_bound(items.begin(), items.end(), name,
                                [](const Spec &item, const std::string &wanted) { return item.name < wanted; });
    };
    for (const std::string &name : removed) {
        const auto position = positionOf(name);
        if (position != items.end() && position->name == name) {
            items.erase(position);
        }
    }
    for (const Image &image : changed) {
        const auto position = positionOf(image.name());
        if (position != items.end() && position->name == image.name()) {
            *position = specOf(image);
        } else {
            items.insert(position, specOf(image));
        }
    }
}

} // namespace

wire::config_change diffConfigurations(const configuration &before, const configuration &after)
{
    wire::config_change change;
    compare(before.services, after.services, *change.mutable_services(), *change.mutable_removed_services());
    compare(before.pools, after.pools, *change.mutable_pools(), *change.mutable_removed_pools());
    compare(before.hosts, after.hosts, *change.mutable_hosts(), *change.mutable_removed_hosts());
    compare(before.teams, after.teams, *change.mutable_teams(), *change.mutable_removed_teams());
    change.mutable_data_centers()->Assign(after.dataCenters.begin(), after.dataCenters.end());
    change.set_claim_retention_ms(static_cast<std::uint64_t>(after.claimRetention.count()));
    change.set_key_grace_ms(static_cast<std::uint64_t>(after.keyGrace.count()));
    return change;
}

void applyConfigChange(configuration &config, const wire::config_change &change)
{
    merge(config.services, change.services(), change.removed_services());
    merge(config.pools, change.pools(), change.removed_pools());
    merge(config.hosts, change.hosts(), change.removed_hosts());
    merge(config.teams, change.teams(), change.removed_teams());
    config.dataCenters.assign(change.data_centers().begin(), change.data_centers().end());
    config.claimRetention = milliseconds(change.claim_retention_ms());
    config.keyGrace = milliseconds(change.key_grace_ms());
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    lines.push_back(text.substr(begin));
    return lines;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        text += lines[i];
        if (i + 1 < lines.size()) {
            text += '\n';
        }
    }
    return text;
}

wire::line_patch diffLines(const std::vector<std::string> &before, const std::vector<std::string> &after)
{
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t first = 0;
    while (first < shorter && before[first] == after[first]) {
        ++first;
    }
    std::size_t tail = 0;
    while (tail < shorter - first && before[before.size() - 1 - tail] == after[after.size() - 1 - tail]) {
        ++tail;
    }
    wire::line_patch patch;
    patch.set_first(static_cast<std::uint32_t>(first));
    patch.set_removed(static_cast<std::uint32_t>(before.size() - first - tail));
    for (std::size_t i = first; i < after.size() - tail; ++i) {
        patch.add_added(after[i]);
    }
    return patch;
}

bool applyLinePatch(std::vector<std::string> &lines, const wire::line_patch &patch)
{
    const std::size_t end = static_cast<std::size_t>(patch.first()) + patch.removed();
    if (end > lines.size()) {
        return false;
    }
    const auto begin = lines.begin() + patch.first();
    const std::size_t common = std::min<std::size_t>(patch.removed(), static_cast<std::size_t>(patch.added_size()));
    std::copy_n(patch.added().begin(), common, begin);
    if (patch.removed() > common) {
        lines.erase(begin + static_cast<std::ptrdiff_t>(common), lines.begin() + static_cast<std::ptrdiff_t>(end));
    } else {
        lines.insert(begin + static_cast<std::ptrdiff_t>(common), patch.added().begin() + static_cast<int>(common), patch.added().end());
    }
    return true;
}

} // namespace jujubespool

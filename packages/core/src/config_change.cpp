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

// Compares two lists sorted by name. Collects the elements that were added or changed, and the names of those removed.
template <typename Spec, typename Image>
void diffLists(const std::vector<Spec> &before, const std::vector<Spec> &after, google::protobuf::RepeatedPtrField<Image> &changed,
               name_list &removed)
{
    auto previous = before.begin();
    for (const Spec &spec : after) {
        while (previous != before.end() && previous->name < spec.name) {
            *removed.Add() = previous->name;
            ++previous;
        }
        const bool unchanged = previous != before.end() && *previous == spec;
        if (!unchanged) {
            *changed.Add() = imageOf(spec);
        }
        if (previous != before.end() && previous->name == spec.name) {
            ++previous;
        }
    }
    for (; previous != before.end(); ++previous) {
        *removed.Add() = previous->name;
    }
}

template <typename Spec, typename Image>
void applyListChange(std::vector<Spec> &specs, const google::protobuf::RepeatedPtrField<Image> &changed, const name_list &removed)
{
    const auto positionOf = [&specs](const std::string &name) {
        return std::lower_bound(specs.begin(), specs.end(), name, [](const Spec &spec, const std::string &key) { return spec.name < key; });
    };
    for (const std::string &name : removed) {
        const auto position = positionOf(name);
        if (position != specs.end() && position->name == name) {
            specs.erase(position);
        }
    }
    for (const Image &image : changed) {
        const auto position = positionOf(image.name());
        if (position != specs.end() && position->name == image.name()) {
            *position = specOf(image);
        } else {
            specs.insert(position, specOf(image));
        }
    }
}

} // namespace

wire::config_change diffConfigurations(const configuration &before, const configuration &after)
{
    wire::config_change change;
    diffLists(before.services, after.services, *change.mutable_services(), *change.mutable_removed_services());
    diffLists(before.pools, after.pools, *change.mutable_pools(), *change.mutable_removed_pools());
    diffLists(before.hosts, after.hosts, *change.mutable_hosts(), *change.mutable_removed_hosts());
    diffLists(before.teams, after.teams, *change.mutable_teams(), *change.mutable_removed_teams());
    change.mutable_data_centers()->Assign(after.dataCenters.begin(), after.dataCenters.end());
    change.set_claim_retention_ms(static_cast<std::uint64_t>(after.claimRetention.count()));
    change.set_key_grace_ms(static_cast<std::uint64_t>(after.keyGrace.count()));
    return change;
}

void applyConfigChange(configuration &config, const wire::config_change &change)
{
    applyListChange(config.services, change.services(), change.removed_services());
    applyListChange(config.pools, change.pools(), change.removed_pools());
    applyListChange(config.hosts, change.hosts(), change.removed_hosts());
    applyListChange(config.teams, change.teams(), change.removed_teams());
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
    const std::size_t shorterSize = std::min(before.size(), after.size());
    std::size_t commonPrefix = 0;
    while (commonPrefix < shorterSize && before[commonPrefix] == after[commonPrefix]) {
        ++commonPrefix;
    }
    std::size_t commonSuffix = 0;
    while (commonSuffix < shorterSize - commonPrefix
           && before[before.size() - 1 - commonSuffix] == after[after.size() - 1 - commonSuffix]) {
        ++commonSuffix;
    }
    wire::line_patch patch;
    patch.set_first(static_cast<std::uint32_t>(commonPrefix));
    patch.set_removed(static_cast<std::uint32_t>(before.size() - commonPrefix - commonSuffix));
    for (std::size_t i = commonPrefix; i < after.size() - commonSuffix; ++i) {
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
    const std::size_t overwritten = std::min<std::size_t>(patch.removed(), static_cast<std::size_t>(patch.added_size()));
    std::copy_n(patch.added().begin(), overwritten, begin);
    if (patch.removed() > overwritten) {
        lines.erase(begin + static_cast<std::ptrdiff_t>(overwritten), lines.begin() + static_cast<std::ptrdiff_t>(end));
    } else {
        lines.insert(begin + static_cast<std::ptrdiff_t>(overwritten), patch.added().begin() + static_cast<int>(overwritten),
                     patch.added().end());
    }
    return true;
}

} // namespace jujubespool

#include <jujubespool/manager/peer_tracker.h>

#include <algorithm>
#include <jujubespool/jobs/fleet_model.h>
#include <jujubespool/jobs/owner_election.h>
#include <tuple>

namespace jujubespool {

namespace {

// Ratio of CPU or network capacity from which a change of owner is worthwhile.
constexpr double MUCH_MORE_CAPACITY_FACTOR = 1.5;
// A host with less CPU than this share of the strongest host's serves callers only.
constexpr double MIN_HELPER_CPU_RATIO = 0.5;
// Longer than any interval between heartbeats, so that only connections of a former owner are closed.
constexpr seconds UNUSED_CONNECTION_TIMEOUT{ 10 };

} // namespace

peer_tracker::peer_tracker(peer_transport &link, std::uint64_t self, event_log &log)
    : m_link(link)
    , m_self(self)
    , m_log(log)
{
}

void peer_tracker::updateMember(const std::string &node, const wire::member_image &image, instant now)
{
    const auto found = m_members.find(node);
    if (found != m_members.end() && found->second.image.started_ms() > image.started_ms()) {
        // A registration that the store has carried out late. The process that it names has ended.
        m_log.write("member-outdated",
                    { { "node", node },
                      { "incarnation", std::to_string(image.incarnation()) },
                      { "known", std::to_string(found->second.image.incarnation()) } });
        return;
    }
    if (image.ended()) {
        if (found != m_members.end()) {
            m_log.write("member-gone",
                        { { "node", node },
                          { "incarnation", std::to_string(found->second.image.incarnation()) },
                          { "ended_incarnation", std::to_string(image.incarnation()) },
                          { "start_number", std::to_string(image.started_ms()) },
                          { "by_epoch", std::to_string(image.ended_by_epoch()) } });
            removeMember(node);
        }
        return;
    }
    if (found != m_members.end() && found->second.image.incarnation() == image.incarnation()) {
        updateNumber(found->second, image, now);
        return;
    }
    removeMember(node);
    m_members[node].image = image;
    m_members[node].addedAt = now;
    m_members[node].registeredAt = now;
    m_nodes[image.incarnation()] = node;
    chooseCandidates();
    if (image.incarnation() != m_self) {
        m_log.write("member-known", { { "node", node }, { "endpoint", image.endpoint() } });
    }
}

void peer_tracker::updateNumber(member &entry, const wire::member_image &image, instant now)
{
    if (image.started_ms() > entry.image.started_ms()) {
        entry.registeredAt = now;
    }
    if (image.asked_by_epoch() == 0) {
        entry.askedAt.reset();
    } else if (!entry.askedAt) {
        entry.askedAt = now;
    }
    entry.image.set_started_ms(image.started_ms());
}

void peer_tracker::removeMember(const std::string &node)
{
    const auto found = m_members.find(node);
    if (found != m_members.end()) {
        m_link.disconnect(found->second.image.incarnation());
        m_nodes.erase(found->second.image.incarnation());
        m_members.erase(found);
        chooseCandidates();
    }
}

// Among hosts of equal capacity the random incarnation decides, so that the candidates are spread over the data centres.
void peer_tracker::chooseCandidates()
{
    std::vector<member *> order;
    for (auto &[node, entry] : m_members) {
        entry.candidate = false;
        order.push_back(&entry);
    }
    const std::size_t count = std::min<std::size_t>(order.size(), MAX_CANDIDATES);
    const auto last = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), last, order.end(), [](const member *left, const member *right) {
        const auto key = [](const wire::member_image &image) {
            return std::make_tuple(image.cpu_share_percent(), image.link_mbps(), image.incarnation());
        };
        return key(left->image) > key(right->image);
    });
    std::for_each(order.begin(), last, [](member *entry) { entry->candidate = true; });
}

bool peer_tracker::isForThisProcess(const wire::peer_message &message) const
{
    return message.to_session() == 0 || message.to_session() == m_self;
}

void peer_tracker::recordMessage(std::uint64_t incarnation, instant now)
{
    member *entry = find(incarnation);
    if (entry != nullptr) {
        entry->lastMessageAt = now;
        entry->messageReceived = true;
    }
}

void peer_tracker::recordStatement(std::uint64_t incarnation, const peer_statement &statement)
{
    member *entry = find(incarnation);
    if (entry != nullptr) {
        entry->statement = statement;
    }
}

std::vector<relay_helper> peer_tracker::relayHelpers(instant now) const
{
    std::uint32_t mostCpu = 0;
    for (const auto &[node, entry] : m_members) {
        mostCpu = std::max(mostCpu, entry.image.cpu_share_percent());
    }
    std::vector<relay_helper> helpers;
    for (const auto &[node, entry] : m_members) {
        const bool alive = entry.messageReceived && isAlive(entry, now) && !entry.statement.stopping;
        const bool hasCapacity = entry.image.cpu_share_percent() >= MIN_HELPER_CPU_RATIO * mostCpu;
        if (entry.candidate && alive && hasCapacity && entry.image.incarnation() != m_self) {
            helpers.push_back({ entry.image.incarnation(), entry.image.data_center() });
        }
    }
    return helpers;
}

bool peer_tracker::confirms(const voter &asked, std::uint64_t epoch, instant now) const
{
    if (asked.incarnation == m_self) {
        return true;
    }
    const member *entry = find(asked.incarnation);
    if (entry == nullptr) {
        return false;
    }
    const std::optional<instant> &sentAt = entry->statement.ownerSentAt;
    return entry->statement.epoch == epoch && sentAt && *sentAt <= now && now - *sentAt < PEER_CONFIRMATION_VALIDITY;
}

bool peer_tracker::knows(const voter &asked, std::uint64_t epoch) const
{
    const auto found = m_members.find(asked.node);
    return found != m_members.end() && (found->second.image.incarnation() == m_self || found->second.statement.epoch >= epoch);
}

std::vector<voter> peer_tracker::candidates() const
{
    std::vector<voter> chosen;
    for (const auto &[node, entry] : m_members) {
        if (entry.candidate) {
            chosen.push_back({ node, entry.image.incarnation() });
        }
    }
    return chosen;
}

std::vector<silent_member> peer_tracker::silentMembers(duration silence, instant now) const
{
    std::vector<silent_member> silent;
    for (const auto &[node, entry] : m_members) {
        const instant lastSignAt = std::max(entry.registeredAt, entry.messageReceived ? entry.lastMessageAt : entry.registeredAt);
        if (entry.image.incarnation() != m_self && now - lastSignAt >= silence) {
            silent.push_back({ entry.image, entry.askedAt });
        }
    }
    return silent;
}

bool peer_tracker::isCandidate(std::uint64_t incarnation) const
{
    const member *entry = find(incarnation);
    return entry != nullptr && entry->candidate;
}

void peer_tracker::sendToCandidates(const wire::peer_message &message, instant now)
{
    sendToAll(true, message, now);
}

void peer_tracker::sendToOthers(const wire::peer_message &message, instant now)
{
    sendToAll(false, message, now);
}

void peer_tracker::sendToAll(bool candidates, wire::peer_message message, instant now)
{
    message.set_from_session(m_self);
    for (auto &[node, entry] : m_members) {
        if (entry.candidate == candidates && entry.image.incarnation() != m_self) {
            connect(entry, now);
            m_link.send(entry.image.incarnation(), message);
        }
    }
}

bool peer_tracker::send(std::uint64_t incarnation, wire::peer_message message, instant now)
{
    member *entry = find(incarnation);
    if (entry == nullptr) {
        return false;
    }
    connect(*entry, now);
    message.set_from_session(m_self);
    message.set_to_session(incarnation);
    return m_link.send(incarnation, message);
}

void peer_tracker::connect(member &entry, instant now)
{
    // Has no effect while there is a connection. One that could not be opened is tried again.
    m_link.connect(entry.image.incarnation(), entry.image.endpoint());
    entry.lastUsedAt = std::max(entry.lastUsedAt.value_or(now), now);
}

void peer_tracker::connectAll(instant now)
{
    for (auto &[node, entry] : m_members) {
        if (entry.image.incarnation() != m_self) {
            connect(entry, now);
        }
    }
}

void peer_tracker::closeUnusedConnections(instant now)
{
    for (auto &[node, entry] : m_members) {
        if (entry.lastUsedAt && now - *entry.lastUsedAt >= UNUSED_CONNECTION_TIMEOUT) {
            m_link.disconnect(entry.image.incarnation());
            entry.lastUsedAt.reset();
        }
    }
}

// Processes with more CPU come first, then those with more network capacity, then those that started last: in a rolling
// restart they are the last to be stopped again.
bool peer_tracker::isPreferredOwner(const wire::member_image &left, const wire::member_image &right)
{
    return std::make_tuple(left.cpu_share_percent(), left.link_mbps(), left.started_ms(), left.incarnation())
        > std::make_tuple(right.cpu_share_percent(), right.link_mbps(), right.started_ms(), right.incarnation());
}

peer_tracker::member *peer_tracker::find(std::uint64_t incarnation)
{
    const auto found = m_nodes.find(incarnation);
    return found == m_nodes.end() ? nullptr : &m_members.at(found->second);
}

const peer_tracker::member *peer_tracker::find(std::uint64_t incarnation) const
{
    const auto found = m_nodes.find(incarnation);
    return found == m_nodes.end() ? nullptr : &m_members.at(found->second);
}

// A member that has never sent a message may have ended before this process started, so its time counts from when it was added.
bool peer_tracker::isAlive(const member &entry, instant now) const
{
    return now - (entry.messageReceived ? entry.lastMessageAt : entry.addedAt) < PEER_TIMEOUT;
}

std::optional<int> peer_tracker::rank(instant now, std::uint64_t suspectedOwner) const
{
    const member *self = find(m_self);
    if (self == nullptr) {
        return std::nullopt;
    }
    // Processes that are not candidates exchange no heartbeats, so each of them is assumed to be alive.
    const auto claimsEarlier = [&](const member &other) {
        if (other.image.incarnation() == suspectedOwner) {
            return false;
        }
        if (other.candidate != self->candidate) {
            return other.candidate;
        }
        return (!other.candidate || isAlive(other, now)) && isPreferredOwner(other.image, self->image);
    };
    return static_cast<int>(std::count_if(m_members.begin(), m_members.end(),
                                          [&](const auto &listed) { return &listed.second != self && claimsEarlier(listed.second); }));
}

bool peer_tracker::hasMuchMoreCapacity(std::uint64_t process, std::uint64_t other) const
{
    const member *processMember = find(process);
    const member *otherMember = find(other);
    if (processMember == nullptr || otherMember == nullptr) {
        return false;
    }
    const auto exceeds = [](std::uint32_t left, std::uint32_t right) {
        return left >= MUCH_MORE_CAPACITY_FACTOR * right;
    };
    const bool moreCpu = exceeds(processMember->image.cpu_share_percent(), otherMember->image.cpu_share_percent());
    const bool moreNetwork = exceeds(processMember->image.link_mbps(), otherMember->image.link_mbps());
    const bool notLessCpu = processMember->image.cpu_share_percent() >= otherMember->image.cpu_share_percent();
    return moreCpu || (moreNetwork && notLessCpu);
}

std::uint64_t peer_tracker::preferredSuccessor(instant now) const
{
    const wire::member_image *best = nullptr;
    for (const auto &[node, entry] : m_members) {
        const bool isCandidate = entry.messageReceived && now - entry.lastMessageAt < PEER_TIMEOUT && entry.image.incarnation() != m_self;
        if (isCandidate && (best == nullptr || isPreferredOwner(entry.image, *best))) {
            best = &entry.image;
        }
    }
    return best == nullptr ? 0 : best->incarnation();
}

} // namespace jujubespool

#include <jujubespool/entry/client_budget.h>

#include <algorithm>
#include <tuple>

namespace jujubespool {

namespace {

bool isInProgress(client_phase phase)
{
    return phase == client_phase::serving || phase == client_phase::answering;
}

} // namespace

client_budget::client_budget(const client_limits &limits)
    : m_limits(limits)
{
}

client_budget::client *client_budget::find(client_number connection)
{
    const auto found = m_clients.find(connection);
    return found == m_clients.end() ? nullptr : &found->second;
}

void client_budget::update(client &changed, client_phase phase, std::size_t bytes)
{
    m_bytesInProgress -= isInProgress(changed.phase) ? changed.bytes : 0;
    m_bytesInProgress += isInProgress(phase) ? bytes : 0;
    m_heldBytes += bytes - changed.bytes;
    m_addresses.at(changed.address).bytes += bytes - changed.bytes;
    changed.phase = phase;
    changed.bytes = bytes;
}

void client_budget::open(client_number connection, instant now)
{
    client opened;
    opened.since = now;
    opened.activeAt = now;
    if (m_clients.emplace(connection, std::move(opened)).second) {
        ++m_addresses[{}].connections;
    }
}

void client_budget::setAddress(client_number connection, const std::string &address)
{
    client *named = find(connection);
    if (named != nullptr && named->address != address) {
        leaveAddress(*named);
        named->address = address;
        ++m_addresses[address].connections;
        m_addresses[address].bytes += named->bytes;
    }
}

void client_budget::leaveAddress(const client &leaving)
{
    const auto use = m_addresses.find(leaving.address);
    use->second.bytes -= leaving.bytes;
    if (--use->second.connections == 0) {
        m_addresses.erase(use);
    }
}

void client_budget::close(client_number connection)
{
    const auto found = m_clients.find(connection);
    if (found != m_clients.end()) {
        update(found->second, client_phase::idle, 0);
        leaveAddress(found->second);
        m_clients.erase(found);
    }
}

void client_budget::receive(client_number connection, std::size_t bytes, instant now)
{
    client *receiving = find(connection);
    if (receiving == nullptr) {
        return;
    }
    const bool inProgress = isInProgress(receiving->phase);
    receiving->activeAt = now;
    receiving->since = receiving->phase == client_phase::idle ? now : receiving->since;
    receiving->bytesOfNext += inProgress ? bytes : 0;
    update(*receiving, inProgress ? receiving->phase : client_phase::receiving, receiving->bytes + bytes);
}

bool client_budget::serve(client_number connection, std::size_t bytes, std::size_t bytesAhead, instant now)
{
    client *served = find(connection);
    if (served == nullptr) {
        return true;
    }
    served->activeAt = now;
    served->hasBeenServed = true;
    served->bytesOfNext = bytesAhead;
    update(*served, client_phase::serving, bytes + bytesAhead);
    return m_bytesInProgress <= m_limits.heldBytes;
}

void client_budget::send(client_number connection, std::size_t unsentBytes, instant now)
{
    client *answered = find(connection);
    if (answered == nullptr || (answered->phase == client_phase::serving && unsentBytes == 0)) {
        return;
    }
    answered->activeAt = now;
    if (unsentBytes > 0) {
        update(*answered, client_phase::answering, unsentBytes + answered->bytesOfNext);
    } else if (answered->phase == client_phase::answering) {
        answered->since = now;
        update(*answered, answered->bytesOfNext > 0 ? client_phase::receiving : client_phase::idle, answered->bytesOfNext);
        answered->bytesOfNext = 0;
    }
}

std::size_t client_budget::connectionsIn(client_phase phase) const
{
    return static_cast<std::size_t>(
        std::count_if(m_clients.begin(), m_clients.end(), [phase](const auto &entry) { return entry.second.phase == phase; }));
}

bool client_budget::isOverdue(const client &examined, instant now) const
{
    const milliseconds extension(examined.bytes * 1000 / m_limits.minBytesPerSecond);
    return examined.phase == client_phase::receiving && now - examined.since > m_limits.requestTime + extension;
}

ended_client client_budget::end(client_position position, client_end reason)
{
    const ended_client ended{ position->first, reason, position->second.phase == client_phase::receiving };
    close(position->first);
    return ended;
}

client_budget::client_position client_budget::first(std::initializer_list<client_phase> phases, client_end reason)
{
    const auto rankOf = [&](const client_position &position) {
        const client &ranked = position->second;
        const address_use &use = m_addresses.at(ranked.address);
        const std::size_t most = reason == client_end::too_many_connections ? use.connections : use.bytes;
        return std::make_tuple(most, !ranked.hasBeenServed, -ranked.activeAt.time_since_epoch().count(), position->first);
    };
    client_position chosen = m_clients.end();
    for (auto position = m_clients.begin(); position != m_clients.end(); ++position) {
        const bool eligible = std::find(phases.begin(), phases.end(), position->second.phase) != phases.end();
        if (eligible && (chosen == m_clients.end() || rankOf(position) > rankOf(chosen))) {
            chosen = position;
        }
    }
    return chosen;
}

void client_budget::endExcess(client_end reason, std::vector<ended_client> &ended)
{
    const bool tooMany = reason == client_end::too_many_connections;
    const auto isExceeded = [&] {
        return tooMany ? m_clients.size() > m_limits.connections : m_heldBytes > m_limits.heldBytes;
    };
    while (isExceeded()) {
        client_position next
            = tooMany ? first({ client_phase::idle, client_phase::receiving }, reason) : first({ client_phase::receiving }, reason);
        next = next == m_clients.end() ? first({ client_phase::answering }, reason) : next;
        if (next == m_clients.end()) {
            return;
        }
        ended.push_back(end(next, reason));
    }
}

std::vector<ended_client> client_budget::takeExcess(instant now)
{
    std::vector<ended_client> ended;
    for (auto position = m_clients.begin(); position != m_clients.end();) {
        const auto examined = position++;
        if (isOverdue(examined->second, now)) {
            ended.push_back(end(examined, client_end::too_slow));
        }
    }
    endExcess(client_end::too_much_held, ended);
    endExcess(client_end::too_many_connections, ended);
    return ended;
}

} // namespace jujubespool

// The other processes of the system: where they are, whether they are heard, and who owns the jobs.
//
//     peer_tracker peers(link, identity);
//     peers.updateMember(image, now);
//     peers.broadcast(message);
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/wire/peer_transport.h>

namespace jujubespool {

class peer_tracker
{
public:
    peer_tracker(peer_transport &link, std::uint64_t self, event_log &log);

    // A process has appeared, or has started again under the same name.
    void updateMember(const std::string &node, const wire::member_image &image, instant now);
    void removeMember(const std::string &node);
    void recordMessage(std::uint64_t incarnation, instant now);
    // The process says that it does not own the jobs.
    void recordNotOwner(std::uint64_t incarnation, instant now);
    // Every other process has said of late that it does not own the jobs.
    bool allPeersDenyOwnership(instant now) const;
    void broadcast(wire::peer_message message);
    bool send(std::uint64_t incarnation, wire::peer_message message);
    // Place of this process in the order in which processes claim the ownership, among those that are heard; nothing
    // before this process has found itself among the members.
    std::optional<int> rank(instant now) const;
    // The one process has much more processor or network than the other.
    bool hasMuchMoreCapacity(std::uint64_t one, std::uint64_t other) const;
    // The process best suited to own the jobs next; 0 if none is heard.
    std::uint64_t preferredSuccessor(instant now) const;

private:
    struct member
    {
        wire::member_image image;
        instant addedAt;
        instant lastMessageAt;
        bool heard = false;
        std::optional<instant> notOwnerAt;
    };
    const member *find(std::uint64_t incarnation) const;
    bool isAlive(const member &entry, instant now) const;
    static bool isPreferredOwner(const wire::member_image &left, const wire::member_image &right);

    peer_transport &m_link;
    std::uint64_t m_self;
    event_log &m_log;
    std::map<std::string, member> m_members;
};

} // namespace jujubespool

// Tracks the processes of the system: their addresses, whether messages arrive from them, and their suitability as owner.
//
//     peer_tracker peers(link, incarnation, log);
//     peers.updateMember(node, image, now);
//     peers.broadcast(message);
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/wire/peer_transport.h>

namespace jujubespool {

class peer_tracker
{
public:
    peer_tracker(peer_transport &link, std::uint64_t self, event_log &log);

    // Adds a process, or replaces it if it was restarted under the same node name.
    void updateMember(const std::string &node, const wire::member_image &image, instant now);
    void removeMember(const std::string &node);
    // Records that a message from the process was received.
    void recordMessage(std::uint64_t incarnation, instant now);
    // Records that the process stated that it does not own the jobs.
    void recordNotOwner(std::uint64_t incarnation, instant now);
    // Whether every other process has recently stated that it does not own the jobs.
    bool allPeersDenyOwnership(instant now) const;
    // Sends the message to all other processes.
    void broadcast(wire::peer_message message);
    bool send(std::uint64_t incarnation, wire::peer_message message);
    // Position of this process in the order in which live processes claim the ownership, from 0. Empty until this
    // process is listed among the members.
    std::optional<int> rank(instant now) const;
    // Whether the host of `process` has much more CPU or network capacity than the host of `other`.
    bool hasMuchMoreCapacity(std::uint64_t process, std::uint64_t other) const;
    // The live process that is best suited as the next owner; 0 if there is none.
    std::uint64_t preferredSuccessor(instant now) const;

private:
    struct member
    {
        wire::member_image image;
        instant addedAt;
        instant lastMessageAt;
        bool messageReceived = false;
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

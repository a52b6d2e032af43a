// Tracks the processes of the system: their addresses, whether messages arrive from them, and their suitability as owner.
//
//     peer_tracker peers(link, incarnation, log);
//     peers.updateMember(node, image, now);
//     if (peers.isCandidate(incarnation)) { peers.sendToCandidates(message, now); }
//
// Only a few processes, the candidates, exchange heartbeats with each other and compete for the ownership. Every other
// process exchanges heartbeats with the owner alone, so that its cost does not depend on the number of processes. A
// connection is opened when the first message is sent to a process, and closed when it has not been used for some time.
#pragma once

#include <functional>
#include <jujubespool/manager/ownership_voters.h>
#include <jujubespool/manager/relay_helper.h>
#include <jujubespool/wire/peer_transport.h>
#include <unordered_map>

namespace jujubespool {

// What a process that does not own the jobs says in its heartbeat.
struct peer_statement
{
    // Highest epoch that the process knows.
    std::uint64_t epoch = 0;
    // When the owner of that epoch sent the last heartbeat that the process has received; empty if there was none.
    std::optional<instant> ownerSentAt;
    // The process is about to end.
    bool stopping = false;
};

// A member that gives no sign of life to this process.
struct silent_member
{
    wire::member_image image;
    // When this process read that the member is asked for a sign of life; empty if nobody has asked.
    std::optional<instant> askedAt;
};

class peer_tracker
{
public:
    peer_tracker(peer_transport &link, std::uint64_t self, event_log &log);

    // Adds a process, or replaces it if it was restarted under the same node name. An earlier start never replaces a later one. An entry
    // that says that its start has ended removes the process, unless it has registered under a later number.
    void updateMember(const std::string &node, const wire::member_image &image, instant now);
    void removeMember(const std::string &node);
    // False if the message was sent to a former process at this address, whose numbers of calls and orders mean nothing here.
    bool isForThisProcess(const wire::peer_message &message) const;
    // Records that a message from the process was received.
    void recordMessage(std::uint64_t incarnation, instant now);
    void recordStatement(std::uint64_t incarnation, const peer_statement &statement);
    // The candidates that can send orders on behalf of this process: those that are alive and have enough capacity.
    std::vector<relay_helper> relayHelpers(instant now) const;
    // Whether the process confirms that it knows this process as the owner of the epoch and none later. The age of a confirmation counts
    // from the heartbeat that it answers, so a message that was delayed or that waited through a pause proves nothing.
    bool confirms(const voter &asked, std::uint64_t epoch, instant now) const;
    // Whether the process that runs on the voter's node now knows of this epoch, so that it confirms no owner before it any more. If it is
    // a later start, the voter has ended.
    bool knows(const voter &asked, std::uint64_t epoch) const;
    // The candidates, in the order of their nodes.
    std::vector<voter> candidates() const;
    // Members from which no message has come for this long, nor a registration.
    std::vector<silent_member> silentMembers(duration silence, instant now) const;
    std::size_t memberCount() const
    {
        return m_members.size();
    }
    // Whether the process is listed as a member.
    bool isMember(std::uint64_t incarnation) const
    {
        return find(incarnation) != nullptr;
    }
    // Whether the process is one of the candidates for the ownership: those on the hosts with the most capacity.
    bool isCandidate(std::uint64_t incarnation) const;
    // Sends the message to all other candidates, or to all processes that are not candidates.
    void sendToCandidates(const wire::peer_message &message, instant now);
    void sendToOthers(const wire::peer_message &message, instant now);
    // Returns false if the message cannot be sent now; it is not sent later either.
    bool send(std::uint64_t incarnation, wire::peer_message message, instant now);
    // Opens the connections to all processes, so that the next message to any of them is not delayed.
    void connectAll(instant now);
    // Closes the connections that have not been used for some time.
    void closeUnusedConnections(instant now);
    // Position of this process in the order in which processes claim the ownership, from 0. Candidates come first, and
    // those from which no messages arrive are not counted, nor is an owner that is suspected (0 if there is none). Empty until this process
    // is listed among the members.
    std::optional<int> rank(instant now, std::uint64_t suspectedOwner = 0) const;
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
        // When the process registered under its present number, as read here, and when it was asked to do so again.
        instant registeredAt;
        std::optional<instant> askedAt;
        peer_statement statement;
        bool candidate = false;
        // Time of the last message to the process; empty while there is no connection to it.
        std::optional<instant> lastUsedAt;
    };
    member *find(std::uint64_t incarnation);
    const member *find(std::uint64_t incarnation) const;
    bool isAlive(const member &entry, instant now) const;
    static bool isPreferredOwner(const wire::member_image &left, const wire::member_image &right);
    void chooseCandidates();
    void updateNumber(member &entry, const wire::member_image &image, instant now);
    void sendToAll(bool candidates, wire::peer_message message, instant now);
    void connect(member &entry, instant now);

    peer_transport &m_link;
    std::uint64_t m_self;
    event_log &m_log;
    std::map<std::string, member> m_members;
    // Name of the node by the incarnation of its process.
    std::unordered_map<std::uint64_t, std::string> m_nodes;
};

} // namespace jujubespool

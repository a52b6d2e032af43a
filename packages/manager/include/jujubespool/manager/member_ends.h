// Ends the entries of members that are gone, on behalf of the owner.
//
//     member_ends ends(store, peers, log);
//     ends.onEntry(node, image, now);       // for each entry of the list of members
//     ends.tick(epoch, now);                // by the owner, while the store confirms its ownership
//
// A process that stops records its own end. One that is lost without notice cannot, so the owner does, but not for silence alone: a member
// that has been silent for MEMBER_SILENCE is asked in the list of members for a sign of life, and a live one registers again under a later
// number, whether or not messages between the two arrive. If it has not after MEMBER_ANSWER_TIME, its end is recorded, and readers in the
// order of the list apply it only to the number that it names. So an end that is carried out late, or that meets an answer, has no effect,
// and a process that was only cut off reads its end and registers again. Ends are deleted from the list after MEMBER_END_KEPT.
//
// Nothing here decides how an ownership is confirmed: see ownership_voters.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/lifetime.h>
#include <jujubespool/manager/peer_tracker.h>

namespace jujubespool {

// A member is asked when it has been silent for this long. Longer than MAX_TIME_WITHOUT_RECORD, so an owner that is cut off has lost the
// ownership before the members that it may count on are ended.
constexpr milliseconds MEMBER_SILENCE{ 15000 };
// A live member answers within one read of the list and one write.
constexpr milliseconds MEMBER_ANSWER_TIME{ 3000 };
// Longer than the store may take to carry out a registration late, so that the number of an end is still there to outdate it.
constexpr milliseconds MEMBER_END_KEPT{ 20000 };

class member_ends
{
public:
    member_ends(feed_store &store, peer_tracker &peers, event_log &log);

    // An entry as it stands in the list now; empty if it was removed.
    void onEntry(const std::string &node, const std::optional<wire::member_image> &image, instant now);
    // Call periodically while this process is the owner of the epoch. Members count as silent at the earliest from `ownerSince`.
    void tick(std::uint64_t epoch, instant ownerSince, instant now);

private:
    void ask(const silent_member &silent, std::uint64_t epoch, instant now);
    void end(const silent_member &silent, std::uint64_t epoch, instant now);
    void deleteEnds(instant now);
    // Writes unless that was done lately or too many writes have no answer yet. Returns whether it did.
    bool write(const std::string &node, const std::optional<wire::member_image> &image, instant now);

    feed_store &m_store;
    peer_tracker &m_peers;
    event_log &m_log;
    // Nodes whose entry in the list is an end, and when that was read.
    std::map<std::string, instant> m_endReadAt;
    // When an entry of a node was written last; forgotten once that is long ago.
    std::map<std::string, instant> m_writtenAt;
    int m_inFlight = 0;
    instant m_nextStepAt;
    lifetime m_lifetime;
};

} // namespace jujubespool

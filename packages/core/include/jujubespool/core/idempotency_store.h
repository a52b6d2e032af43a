// The answers of requests that this host has run under idempotency keys.
//
//     store.begin(keyHash, fingerprint, nonce);
//     if (store.markDispatched(keyHash)) { ... send ... }
//     store.finish(keyHash, answer);
//     const idempotency_record *kept = store.find(keyHash);   // the first answer, for repeats
//
// The store is bounded in bytes. A repeat whose answer was dropped is told `unknown`, never run.
#pragma once

#include <deque>
#include <jujubespool/core/failure.h>
#include <jujubespool/core/permit_allocations.h>
#include <jujubespool/core/time.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <string>
#include <unordered_map>

namespace jujubespool {

struct idempotency_record
{
    std::string fingerprint;
    bool running = true;
    // The request is sent to an upstream at most once, so begin() refuses it from then on.
    bool dispatched = false;
    wire::kept_answer answer;
    // Session that may run the request in this host's place, because it did not run here.
    session_id reassignedTo = NO_SESSION;

    // Whether the owner of the key's range has granted the claim to this host.
    bool granted = false;
    // Sent with the claim; asking again with the same one is not a repeat.
    std::uint64_t nonce = 0;

    // Whether the request is known not to have run here and may be tried again under its key.
    bool retryable() const;
};

class idempotency_store
{
public:
    explicit idempotency_store(std::size_t maxBytes);

    // Notes that this host asks for the key's claim, or tries again what did not run.
    // Fails when the key's request runs, has run or was handed to another host.
    // The nonce counts for a new key; one that is tried again keeps its own.
    bool begin(const std::string &keyHash, const std::string &fingerprint, std::uint64_t nonce);

    // The claim was granted to this host.
    void markClaimGranted(const std::string &keyHash);

    // Marks the one dispatch. Fails when the request was dispatched before or was finished.
    bool markDispatched(const std::string &keyHash);

    // The dispatched request has certainly reached no upstream.
    void unmarkDispatched(const std::string &keyHash);

    void finish(const std::string &keyHash, wire::kept_answer answer);

    // Lets another session run a request that did not run here. Returns the session that may, which
    // is an earlier receiver when there was one, or NO_SESSION when the request may have run.
    session_id reassign(const std::string &keyHash, session_id receiver);

    // Forgets a key whose claim went to another host.
    void remove(const std::string &keyHash);

    const idempotency_record *find(const std::string &keyHash) const;

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, idempotency_record> m_requests;
    std::deque<std::string> m_finished;
};

} // namespace jujubespool

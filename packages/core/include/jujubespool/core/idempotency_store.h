// Stores the requests that this host runs under idempotency keys, with their responses.
//
//     store.begin(keyHash, fingerprint, nonce);
//     store.markClaimGranted(keyHash);
//     if (store.markDispatched(keyHash)) { ... send ... }
//     store.finish(keyHash, answer);
//     const idempotency_record *record = store.find(keyHash);   // holds the first response, for repeats
//
// The store is bounded in bytes; the oldest finished requests are evicted first. A repeat of a request whose
// response was evicted gets the outcome `unknown` and is never run again.
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
    // False once a response is stored.
    bool running = true;
    // Whether the request was sent to an upstream, which happens at most once. begin() fails from then on, unless the request
    // turns out not to have run.
    bool dispatched = false;
    wire::kept_answer answer;
    // Session that may run the request instead of this host, because it did not run here.
    session_id reassignedTo = NO_SESSION;

    // Whether the owner of the key's range has granted the claim to this host.
    bool granted = false;
    // Sent with the claim. A second claim with the same nonce is a retry of the first and not a repeated request.
    std::uint64_t nonce = 0;

    // Whether the request certainly did not run here and may be retried under its key.
    bool retryable() const;
};

class idempotency_store
{
public:
    explicit idempotency_store(std::size_t maxBytes);

    // Starts a record before the key is claimed, or restarts the record of a request that did not run.
    // Fails when the request is running, has run or was reassigned to another host.
    // A record that is restarted keeps its previous nonce.
    bool begin(const std::string &keyHash, const std::string &fingerprint, std::uint64_t nonce);

    // Records that the owner of the key's range granted the claim to this host.
    void markClaimGranted(const std::string &keyHash);

    // Marks the request as sent to an upstream. Fails when it was dispatched before, when it has finished or when its
    // claim was not granted.
    bool markDispatched(const std::string &keyHash);

    // Clears the mark of a request that certainly reached no upstream.
    void unmarkDispatched(const std::string &keyHash);

    // Stores the response, then evicts the oldest responses beyond the bound. Does nothing when the request is not running.
    void finish(const std::string &keyHash, wire::kept_answer answer);

    // Lets another session run a request that did not run here. Returns the session that may run it: the session of an
    // earlier call if there was one, or NO_SESSION when the request may have run here or has no record.
    session_id reassign(const std::string &keyHash, session_id receiver);

    // Removes the record of a key whose claim was granted to another host.
    void remove(const std::string &keyHash);

    // Returns nullptr when the key has no record.
    const idempotency_record *find(const std::string &keyHash) const;

    // Size of the stored responses.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, idempotency_record> m_records;
    // Keys with a stored response, oldest first.
    std::deque<std::string> m_finishedKeys;
};

} // namespace jujubespool

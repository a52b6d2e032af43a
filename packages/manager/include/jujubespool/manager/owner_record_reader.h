// Reads who owns the jobs and where the ledger ends, without the jobs in it.
//
//     owner_record_reader reader(feeds);
//     reader.read([](const owner_record &record, instant now) { ... });
//
// Every process reads this when it suspects the owner, so that the size of the answer must not depend on what was written.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/lifetime.h>

namespace jujubespool {

struct owner_record
{
    // Offset after the last record of the ledger.
    std::uint64_t ledgerEnd = 0;
    // The ledger contains an ownership record.
    bool known = false;
    bool resigned = false;
    // Epoch of the owner; 0 if there is none.
    std::uint64_t epoch = 0;
};

class owner_record_reader
{
public:
    explicit owner_record_reader(feed_store &store);

    // Calls back if the store answers. Does nothing while an earlier read is in flight.
    void read(std::function<void(const owner_record &record, instant now)> done);

private:
    feed_store &m_store;
    bool m_inFlight = false;
    lifetime m_lifetime;
};

} // namespace jujubespool

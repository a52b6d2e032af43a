#include <jujubespool/manager/owner_record_reader.h>

#include <jujubespool/jobs/ledger_keys.h>

namespace jujubespool {

owner_record_reader::owner_record_reader(feed_store &store)
    : m_store(store)
{
}

void owner_record_reader::read(std::function<void(const owner_record &record, instant now)> done)
{
    if (m_inFlight) {
        return;
    }
    m_inFlight = true;
    // Only the waves follow after the ownership record in the order of the keys.
    m_store.readLatest(feed::ledger, ledgerKey(ledger_kind::owner, ""),
                       m_lifetime.guard([this, done = std::move(done)](const feed_page &page, instant now) {
                           m_inFlight = false;
                           if (!page.answered) {
                               return;
                           }
                           owner_record record;
                           record.ledgerEnd = page.endOffset;
                           for (const ledger_entry &entry : page.entries) {
                               wire::owner_image image;
                               if (parseLedgerKey(entry.key).kind == ledger_kind::owner && entry.value
                                   && image.ParseFromString(*entry.value)) {
                                   record.known = true;
                                   record.resigned = image.resigned();
                                   record.epoch = image.epoch();
                               }
                           }
                           done(record, now);
                       }));
}

} // namespace jujubespool

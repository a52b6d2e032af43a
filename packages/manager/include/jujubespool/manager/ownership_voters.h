// The processes that count when an ownership is confirmed without the store, and when a former one is excluded.
//
//     ownership_voters voters;
//     voters.restore(image, trusted);                                      // what the ledger held at the claim
//     voters.confirm([&](const voter &asked) { return ...; });             // by the owner, while the store does not answer
//     voters.excludeFormer([&](const voter &asked) { return ...; });       // by the next owner
//
// Only the owner changes the voters, by a record in the ledger, where an owner that was replaced can write nothing any more. A new owner
// reads at its claim the very set that the former one counts, whatever either has seen of the list of members. While a change is not
// durable, the owner needs the old set and the new one, because the ledger may hold either. Voters change only once no former owner can be
// confirmed any more, so each owner whose leases may be left counts the set that the present one has inherited. Two thirds and half of one
// set share a voter; that is why any number of voters may change at once, for any reason.
#pragma once

#include <cstdint>
#include <functional>
#include <jujubespool/wire/jujubespool.pb.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

// One start of a process.
struct voter
{
    std::string node;
    std::uint64_t incarnation = 0;

    bool operator==(const voter &other) const = default;
};

class ownership_voters
{
public:
    using condition = std::function<bool(const voter &asked)>;

    // Takes over the voters of the ledger as it was at the claim. They are trusted if the former owner counted them, or if there was none.
    void restore(const wire::voters_image &image, bool trusted);
    // Whether the recorded voters are the ones that this owner, and each one before it whose leases may be left, counts.
    bool trusted() const
    {
        return m_trusted;
    }
    // Returns the record to write so that these processes become the voters; empty if nothing is to be written now. After the record is
    // durable, call onRecorded().
    std::optional<wire::voters_image> change(const std::vector<voter> &wanted, std::uint64_t epoch, bool formerOwnersOver);
    void onRecorded();
    // Whether two thirds of the voters meet the condition.
    bool confirm(const condition &confirms) const;
    // Whether half of the voters meet the condition, so that too few are left to confirm a former owner.
    bool excludeFormer(const condition &knows) const;
    const std::vector<voter> &recorded() const
    {
        return m_recorded;
    }

private:
    std::vector<voter> m_recorded;
    // A change that may or may not be in the ledger.
    std::optional<std::vector<voter>> m_pending;
    bool m_trusted = false;
};

} // namespace jujubespool

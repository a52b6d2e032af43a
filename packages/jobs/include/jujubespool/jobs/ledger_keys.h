// Formats and parses the keys of ledger entries.
//
//     ledgerKey(ledger_kind::job, id);             // "job/5c0e7a21d94b36f8"
//     parseLedgerKey("wave/3").kind;               // ledger_kind::wave
#pragma once

#include <jujubespool/core/enum_names.h>
#include <string>

namespace jujubespool {

enum class ledger_kind { job, wave, owner, host, queue, voters, unknown };

template <> struct enum_names<ledger_kind>
{
    static constexpr std::array<std::string_view, 7> NAMES{ "job", "wave", "owner", "host", "queue", "voters", "unknown" };
};

struct ledger_key
{
    ledger_kind kind = ledger_kind::unknown;
    std::string name;
};

std::string ledgerKey(ledger_kind kind, const std::string &name);
ledger_key parseLedgerKey(const std::string &key);

} // namespace jujubespool

#include <jujubespool/jobs/ledger_keys.h>

namespace jujubespool {

std::string ledgerKey(ledger_kind kind, const std::string &name)
{
    return std::string(nameOf(kind)) + "/" + name;
}

ledger_key parseLedgerKey(const std::string &key)
{
    const std::size_t slash = key.find('/');
    if (slash == std::string::npos) {
        return {};
    }
    const auto kind = valueOf<ledger_kind>(key.substr(0, slash));
    return kind ? ledger_key{ *kind, key.substr(slash + 1) } : ledger_key{};
}

} // namespace jujubespool

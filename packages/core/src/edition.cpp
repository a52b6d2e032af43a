#include <jujubespool/core/edition.h>

#include <jujubespool/core/config_change.h>

namespace jujubespool {

std::optional<wire::edition> makeEdition(const fleet_state &state, const std::string &text, std::vector<config_problem> &problems)
{
    const std::optional<configuration> next = parseConfiguration(text, problems);
    if (!next) {
        return std::nullopt;
    }
    wire::edition edition;
    edition.set_base(state.editionOffset());
    if (state.editionOffset() == 0) {
        edition.set_text(text);
        return edition;
    }
    *edition.mutable_patch() = diffLines(state.editionLines(), splitLines(text));
    *edition.mutable_change() = diffConfigurations(state.config(), *next);
    return edition;
}

} // namespace jujubespool

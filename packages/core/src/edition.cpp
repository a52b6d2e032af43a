#include <jujubespool/core/edition.h>

namespace jujubespool {

wire::edition editionFor(const fleet_state &state, const std::string &text)
{
    wire::edition edition;
    edition.set_base(state.editionOffset());
    edition.set_text(text);
    return edition;
}

} // namespace jujubespool

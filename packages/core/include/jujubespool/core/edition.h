// Makes and applies the records that publish an edition of the configuration.
//
//     *record.mutable_publish() = editionFor(state, newText);
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <string>

namespace jujubespool {

// The record's body that replaces the edition in force by the text.
wire::edition editionFor(const fleet_state &state, const std::string &text);

} // namespace jujubespool

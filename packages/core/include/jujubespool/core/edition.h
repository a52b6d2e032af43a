// Makes the record that publishes an edition of the configuration.
//
//     std::vector<config_problem> problems;
//     const auto edition = makeEdition(state, newText, problems);
//
// The first edition carries its whole text; later ones carry what they change, in the text and in the
// configuration, because a large fleet changes its configuration every half minute.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

// The body that replaces the edition in force by the text, or the text's problems.
std::optional<wire::edition> makeEdition(const fleet_state &state, const std::string &text, std::vector<config_problem> &problems);

} // namespace jujubespool

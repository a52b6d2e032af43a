// Creates the record body that publishes an edition, which is a version of the configuration.
//
//     std::vector<config_problem> problems;
//     const auto edition = makeEdition(state, newText, problems);
//
// The first edition contains the complete text. Later editions contain only the changes to the text and
// to the configuration, because a large fleet changes its configuration every half minute.
#pragma once

#include <jujubespool/core/fleet_state.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

// Returns an edition that replaces the current one with the text.
// When the text is invalid, returns std::nullopt and adds its problems.
std::optional<wire::edition> makeEdition(const fleet_state &state, const std::string &text, std::vector<config_problem> &problems);

} // namespace jujubespool

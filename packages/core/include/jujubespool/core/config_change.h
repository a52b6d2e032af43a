// The difference between two configurations.
//
//     const wire::config_change change = changeBetween(before, after);
//     applyChange(before, change);   // now equals after
#pragma once

#include <jujubespool/core/configuration.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <string>
#include <vector>

namespace jujubespool {

wire::config_change changeBetween(const configuration &before, const configuration &after);
void applyChange(configuration &config, const wire::config_change &change);

// Divides a text at its line ends; joinLines() gives the same text again.
std::vector<std::string> splitLines(const std::string &text);
std::string joinLines(const std::vector<std::string> &lines);

// The one run of lines in which two texts differ.
wire::line_patch patchBetween(const std::vector<std::string> &before, const std::vector<std::string> &after);
// Fails and changes nothing when the patch lies outside the lines.
bool applyPatch(std::vector<std::string> &lines, const wire::line_patch &patch);

} // namespace jujubespool

// The difference between two configurations.
//
//     const wire::config_change change = diffConfigurations(before, after);
//     applyConfigChange(before, change);   // now equals after
#pragma once

#include <jujubespool/core/configuration.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <string>
#include <vector>

namespace jujubespool {

wire::config_change diffConfigurations(const configuration &before, const configuration &after);
void applyConfigChange(configuration &config, const wire::config_change &change);

// Divides a text at its line ends; joinLines() gives the same text again.
std::vector<std::string> splitLines(const std::string &text);
std::string joinLines(const std::vector<std::string> &lines);

// The one run of lines in which two texts differ.
wire::line_patch diffLines(const std::vector<std::string> &before, const std::vector<std::string> &after);
// Fails and changes nothing when the patch lies outside the lines.
bool applyLinePatch(std::vector<std::string> &lines, const wire::line_patch &patch);

} // namespace jujubespool

// Computes and applies the difference between two configurations, and between their texts.
//
//     const wire::config_change change = diffConfigurations(before, after);
//     applyConfigChange(before, change);   // `before` now equals `after`
#pragma once

#include <jujubespool/core/configuration.h>
#include <jujubespool/wire/jujubespool.pb.h>
#include <string>
#include <vector>

namespace jujubespool {

wire::config_change diffConfigurations(const configuration &before, const configuration &after);
void applyConfigChange(configuration &config, const wire::config_change &change);

// Splits a text at its newlines. joinLines() restores the same text.
std::vector<std::string> splitLines(const std::string &text);
std::string joinLines(const std::vector<std::string> &lines);

// Returns a patch that replaces the smallest single range of lines in which the two texts differ.
wire::line_patch diffLines(const std::vector<std::string> &before, const std::vector<std::string> &after);
// Returns false and changes nothing when the patch refers to lines that do not exist.
bool applyLinePatch(std::vector<std::string> &lines, const wire::line_patch &patch);

} // namespace jujubespool

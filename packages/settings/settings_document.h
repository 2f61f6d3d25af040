// Splits a settings file into its document and the lines after it. These follow
// a line "---", hold one "key: value" each, and are parsed line by line: a line
// that cannot be read has no effect on the others or on the document. Template
// renderers differ in what they leave behind where a value is missing.
//
//   const SettingsText text = SplitSettings(file);
//   for (const YAML::Node& node : ParseLines(text, findings)) {
//     MapReader map(node, "a line", findings);
//   }
#pragma once

#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "base/findings.h"

namespace fuchsiaramp {

struct SettingsText
{
  std::string document;
  std::string lines;
  int linesBefore = 0; // number of lines before the first of them
};

SettingsText
SplitSettings(const std::string& aText);

// Returns a map with one key for each line, with its position in the whole
// file. Skips blank lines and comments; adds a finding for every other line
// that is not "key: value".
std::vector<YAML::Node>
ParseLines(const SettingsText& aText, Findings& aFindings);

} // namespace fuchsiaramp

// Splits a settings file into the document that a daemon requires and the
// optional settings after it. These follow a line "---", one "key: value" a
// line, and are parsed line by line: a line that cannot be read has no effect
// on the others or on the document. Template renderers differ in what they
// leave behind where a value is missing.
//
//   const SettingsText text = SplitSettings(file);
//   for (const YAML::Node& node : ParseOptionalLines(text, findings)) {
//     MapReader map(node, "the optional settings", findings);
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
  std::string optionalLines;
  int linesBefore = 0; // number of lines before the first optional line
};

SettingsText
SplitSettings(const std::string& aText);

// Returns a map with one key for each optional line, with positions in the
// whole file. Blank lines and comments are skipped; of every other line that is
// not "key: value", a finding is added.
std::vector<YAML::Node>
ParseOptionalLines(const SettingsText& aText, Findings& aFindings);

} // namespace fuchsiaramp

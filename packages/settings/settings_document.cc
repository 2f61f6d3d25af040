#include "settings/settings_document.h"

#include <optional>
#include <sstream>

#include "settings/yaml_reader.h"

namespace fuchsiaramp {
namespace internal {

static constexpr char kBlanks[] = " \t\r";

static std::string
WithoutTrailingBlanks(const std::string& aLine)
{
  return aLine.substr(0, aLine.find_last_not_of(kBlanks) + 1);
}

static bool
HasContent(const std::string& aLine)
{
  const std::size_t first = aLine.find_first_not_of(kBlanks);
  return first != std::string::npos && aLine[first] != '#';
}

static bool
IsKeyAndValue(const YAML::Node& aNode)
{
  return aNode.IsMap() && aNode.size() == 1 &&
         aNode.begin()->first.IsScalar() && aNode.begin()->second.IsScalar();
}

} // namespace internal

SettingsText
SplitSettings(const std::string& aText)
{
  SettingsText parts;
  std::istringstream lines(aText);
  std::string line;
  bool hasContent = false;
  bool hasEnded = false; // the document
  while (std::getline(lines, line)) {
    // A separator before all content only starts the document.
    const bool isSeparator = internal::WithoutTrailingBlanks(line) == "---";
    if (!hasEnded && isSeparator && hasContent) {
      hasEnded = true;
      ++parts.linesBefore;
      continue;
    }
    hasContent = hasContent || (!isSeparator && internal::HasContent(line));
    (hasEnded ? parts.lines : parts.document) += line + '\n';
    parts.linesBefore += hasEnded ? 0 : 1;
  }
  return parts;
}

std::vector<YAML::Node>
ParseLines(const SettingsText& aText, Findings& aFindings)
{
  std::vector<YAML::Node> nodes;
  std::istringstream lines(aText.lines);
  std::string line;
  // Precedes each line, so that the parser reports positions in the file.
  std::string padding(static_cast<std::size_t>(aText.linesBefore), '\n');
  for (; std::getline(lines, line); padding += '\n') {
    if (!internal::HasContent(line)) {
      continue;
    }
    Findings syntaxErrors("");
    const std::optional<YAML::Node> node =
      ParseYaml(padding + internal::WithoutTrailingBlanks(line), syntaxErrors);
    if (node && internal::IsKeyAndValue(*node)) {
      nodes.push_back(*node);
    } else {
      aFindings.Add({ static_cast<int>(padding.size()) + 1, 1 },
                    "a line after '---' must be 'key: value', not '" + line +
                      "'");
    }
  }
  return nodes;
}

} // namespace fuchsiaramp

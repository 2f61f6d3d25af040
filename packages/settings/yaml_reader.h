// Reads YAML documents strictly: every key must be asked for, every value must
// have its type and range, and all findings are collected with their position.
//
//   Findings findings("host.yaml");
//   std::optional<YAML::Node> root = ParseYaml(text, findings);
//   MapReader map(*root, "settings", findings);
//   std::string host = map.RequiredText("host");
//   map.Finish(); // reports unknown and repeated keys
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "base/findings.h"
#include "base/time.h"

namespace fuchsiaramp {

// Parses a document; a syntax error becomes a finding and an empty result.
std::optional<YAML::Node>
ParseYaml(const std::string& aText, Findings& aFindings);

SourcePosition
PositionOf(const YAML::Node& aNode);

// Reads the keys of one map.
class MapReader
{
public:
  MapReader(const YAML::Node& aNode, std::string aWhat, Findings& aFindings);

  bool Has(const std::string& aKey);
  // The position of a key's value, or of the map when the key is missing.
  SourcePosition PositionOfKey(const std::string& aKey) const;

  std::string RequiredText(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aDefault,
                       std::uint64_t aLowest,
                       std::uint64_t aHighest);
  double Real(const std::string& aKey,
              double aDefault,
              double aLowest,
              double aHighest);
  // A span such as 250ms, 3s, 10m or 72h.
  Duration Span(const std::string& aKey, Duration aDefault);

  // The items of a sequence; a missing key gives none.
  std::vector<YAML::Node> Items(const std::string& aKey);
  std::vector<std::string> Texts(const std::string& aKey);
  // The value of a key that holds a map; an undefined node when missing.
  YAML::Node Map(const std::string& aKey);

  // Reports keys that were not asked for and keys that stand twice.
  void Finish();

private:
  YAML::Node Find(const std::string& aKey);
  std::string Scalar(const std::string& aKey, const YAML::Node& aNode);

  YAML::Node m_node;
  std::string m_what;
  Findings& m_findings;
  std::set<std::string> m_asked;
};

} // namespace fuchsiaramp

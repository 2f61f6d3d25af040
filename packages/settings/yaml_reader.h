// Strict reader for YAML documents: unknown keys and values of a wrong type or
// outside the allowed range are errors. All errors are collected with their
// positions.
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

// Parses a document. On a syntax error, adds a finding and returns nullopt.
std::optional<YAML::Node>
ParseYaml(const std::string& aText, Findings& aFindings);

SourcePosition
PositionOf(const YAML::Node& aNode);

// Reads the keys of one map.
class MapReader
{
public:
  // aDescription denotes the map in the texts of findings.
  MapReader(const YAML::Node& aNode,
            std::string aDescription,
            Findings& aFindings);

  bool Has(const std::string& aKey);
  // Whether the key was read or asked for.
  bool IsKnown(const std::string& aKey) const;
  // Returns the position of the value of a key, or of the map if the key is
  // missing.
  SourcePosition PositionOfKey(const std::string& aKey) const;

  std::string RequiredText(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aDefault,
                       std::uint64_t aMin,
                       std::uint64_t aMax);
  double Real(const std::string& aKey,
              double aDefault,
              double aMin,
              double aMax);
  // Reads a duration such as 250ms, 3s, 10m or 72h.
  Duration Span(const std::string& aKey, Duration aDefault);

  // Returns the items of a sequence, or none if the key is missing.
  std::vector<YAML::Node> Items(const std::string& aKey);
  std::vector<std::string> Texts(const std::string& aKey);
  // Returns the value of a key that holds a map, or an undefined node if the
  // key is missing.
  YAML::Node Map(const std::string& aKey);

  // Counts the keys that another reader of the same map has read as read here.
  void MarkAsRead(const MapReader& aOther);

  // Reports keys that were not read (unknown keys) and duplicate keys.
  void Finish();

private:
  YAML::Node Find(const std::string& aKey);
  std::string Scalar(const std::string& aKey, const YAML::Node& aNode);

  YAML::Node m_node;
  std::string m_description;
  Findings& m_findings;
  std::set<std::string> m_readKeys;
};

} // namespace fuchsiaramp

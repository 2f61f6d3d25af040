#include "settings/yaml_reader.h"

#include <charconv>
#include <cmath>
#include <utility>

#include "base/text.h"

namespace fuchsiaramp {
namespace internal {

template<class T>
static std::optional<T>
ParseNumber(const std::string& aText)
{
  T value{};
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

struct DurationUnit
{
  const char* suffix;
  std::int64_t micros;
};

static constexpr DurationUnit kDurationUnits[] = {
  { "us", 1 },         { "ms", 1'000 },        { "s", 1'000'000 },
  { "m", 60'000'000 }, { "h", 3'600'000'000 },
};

static constexpr double kMaxDurationMicros = 400.0 * 24 * 3'600'000'000;

static std::optional<Duration>
ParseDuration(const std::string& aText)
{
  const std::size_t digits = aText.find_first_not_of("0123456789.");
  if (digits == 0 || digits == std::string::npos) {
    return std::nullopt;
  }
  const auto count = ParseNumber<double>(aText.substr(0, digits));
  for (const DurationUnit& unit : kDurationUnits) {
    if (aText.substr(digits) != unit.suffix || !count) {
      continue;
    }
    const double micros = *count * static_cast<double>(unit.micros);
    if (!(micros <= kMaxDurationMicros)) {
      return std::nullopt;
    }
    return Duration(static_cast<std::int64_t>(micros));
  }
  return std::nullopt;
}

} // namespace internal

std::optional<YAML::Node>
ParseYaml(const std::string& aText, Findings& aFindings)
{
  // The parser passes other bytes on, and messages cannot carry them.
  if (!IsUtf8(aText)) {
    aFindings.Add(SourcePosition(), "the text must be UTF-8");
    return std::nullopt;
  }
  try {
    return YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    aFindings.Add({ error.mark.line + 1, error.mark.column + 1 }, error.msg);
    return std::nullopt;
  }
}

SourcePosition
PositionOf(const YAML::Node& aNode)
{
  const YAML::Mark mark = aNode.Mark();
  return { mark.line + 1, mark.column + 1 };
}

MapReader::MapReader(const YAML::Node& aNode,
                     std::string aDescription,
                     Findings& aFindings)
  : m_node(aNode)
  , m_description(std::move(aDescription))
  , m_findings(aFindings)
{
  if (!m_node.IsMap()) {
    m_findings.Add(PositionOf(m_node), m_description + " must be a map");
    m_node = YAML::Node(YAML::NodeType::Map);
  }
}

YAML::Node
MapReader::Find(const std::string& aKey)
{
  m_readKeys.insert(aKey);
  for (const auto& item : m_node) {
    if (item.first.IsScalar() && item.first.Scalar() == aKey) {
      return item.second;
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

bool
MapReader::Has(const std::string& aKey)
{
  return Find(aKey).IsDefined();
}

bool
MapReader::IsKnown(const std::string& aKey) const
{
  return m_readKeys.count(aKey) != 0;
}

SourcePosition
MapReader::PositionOfKey(const std::string& aKey) const
{
  for (const auto& item : m_node) {
    if (item.first.IsScalar() && item.first.Scalar() == aKey) {
      return PositionOf(item.second);
    }
  }
  return PositionOf(m_node);
}

std::string
MapReader::Scalar(const std::string& aKey, const YAML::Node& aNode)
{
  if (!aNode.IsScalar()) {
    m_findings.Add(PositionOf(aNode),
                   "'" + aKey + "' of " + m_description + " must be a scalar");
    return "";
  }
  return aNode.Scalar();
}

std::string
MapReader::RequiredText(const std::string& aKey)
{
  const YAML::Node node = Find(aKey);
  if (!node.IsDefined()) {
    m_findings.Add(PositionOf(m_node),
                   m_description + " must contain '" + aKey + "'");
    return "";
  }
  std::string text = Scalar(aKey, node);
  if (text.empty() && node.IsScalar()) {
    m_findings.Add(PositionOf(node),
                   "'" + aKey + "' of " + m_description + " must not be empty");
  }
  return text;
}

std::string
MapReader::Text(const std::string& aKey, const std::string& aDefault)
{
  const YAML::Node node = Find(aKey);
  return node.IsDefined() ? Scalar(aKey, node) : aDefault;
}

bool
MapReader::Flag(const std::string& aKey, bool aDefault)
{
  const YAML::Node node = Find(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  const std::string text = Scalar(aKey, node);
  if (text != "true" && text != "false") {
    m_findings.Add(PositionOf(node),
                   "'" + aKey + "' of " + m_description +
                     " must be true or false");
  }
  return text == "true";
}

std::uint64_t
MapReader::Number(const std::string& aKey,
                  std::uint64_t aDefault,
                  std::uint64_t aMin,
                  std::uint64_t aMax)
{
  const YAML::Node node = Find(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  const auto value = internal::ParseNumber<std::uint64_t>(Scalar(aKey, node));
  if (!value || *value < aMin || *value > aMax) {
    m_findings.Add(PositionOf(node),
                   "'" + aKey + "' of " + m_description +
                     " must be an integer from " + std::to_string(aMin) +
                     " to " + std::to_string(aMax));
    return aDefault;
  }
  return *value;
}

double
MapReader::Real(const std::string& aKey,
                double aDefault,
                double aMin,
                double aMax)
{
  const YAML::Node node = Find(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  const auto value = internal::ParseNumber<double>(Scalar(aKey, node));
  if (!value || !(*value >= aMin) || !(*value <= aMax)) {
    m_findings.Add(PositionOf(node),
                   "'" + aKey + "' of " + m_description +
                     " must be a number from " + std::to_string(aMin) + " to " +
                     std::to_string(aMax));
    return aDefault;
  }
  return *value;
}

Duration
MapReader::Span(const std::string& aKey, Duration aDefault)
{
  const YAML::Node node = Find(aKey);
  if (!node.IsDefined()) {
    return aDefault;
  }
  const auto duration = internal::ParseDuration(Scalar(aKey, node));
  if (!duration || duration->count() == 0) {
    m_findings.Add(PositionOf(node),
                   "'" + aKey + "' of " + m_description +
                     " must be a duration such as 250ms, 3s, 10m or 72h");
    return aDefault;
  }
  return *duration;
}

std::vector<YAML::Node>
MapReader::Items(const std::string& aKey)
{
  const YAML::Node node = Find(aKey);
  std::vector<YAML::Node> items;
  if (!node.IsDefined()) {
    return items;
  }
  if (!node.IsSequence()) {
    m_findings.Add(PositionOf(node),
                   "'" + aKey + "' of " + m_description +
                     " must be a sequence");
    return items;
  }
  for (const auto& item : node) {
    items.push_back(item);
  }
  return items;
}

std::vector<std::string>
MapReader::Texts(const std::string& aKey)
{
  std::vector<std::string> texts;
  for (const YAML::Node& item : Items(aKey)) {
    texts.push_back(Scalar(aKey, item));
  }
  return texts;
}

YAML::Node
MapReader::Map(const std::string& aKey)
{
  return Find(aKey);
}

void
MapReader::MarkAsRead(const MapReader& aOther)
{
  m_readKeys.insert(aOther.m_readKeys.begin(), aOther.m_readKeys.end());
}

void
MapReader::Finish()
{
  std::set<std::string> seen;
  for (const auto& item : m_node) {
    const SourcePosition position = PositionOf(item.first);
    if (!item.first.IsScalar()) {
      m_findings.Add(position,
                     "a key of " + m_description + " must be a scalar");
      continue;
    }
    const std::string& key = item.first.Scalar();
    if (m_readKeys.count(key) == 0) {
      m_findings.Add(position, "unknown key '" + key + "' of " + m_description);
    }
    if (!seen.insert(key).second) {
      m_findings.Add(position,
                     "key '" + key + "' of " + m_description +
                       " is defined twice");
    }
  }
}

} // namespace fuchsiaramp

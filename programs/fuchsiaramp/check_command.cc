#include "fuchsiaramp/check_command.h"

#include <charconv>
#include <ostream>

#include <boost/json.hpp>

#include "base/findings.h"
#include "settings/settings.h"
#include "settings/yaml_reader.h"
#include "state/lists_check.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

namespace json = boost::json;

static std::optional<std::uint64_t>
ParseCount(const std::string& aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return !aText.empty() && parsed.ec == std::errc() && parsed.ptr == end
           ? std::optional(value)
           : std::nullopt;
}

static std::optional<Duration>
ParseSpan(const std::string& aText)
{
  Findings errors("");
  YAML::Node node;
  node["span"] = aText;
  const Duration span =
    MapReader(node, "the command line", errors).Span("span", Duration());
  return errors.IsEmpty() && span > Duration::zero() ? std::optional(span)
                                                     : std::nullopt;
}

// Returns why the options cannot be used; empty if they can.
static std::string
ReadFleetSize(const CheckOptions& aOptions, FleetSize& aFleet)
{
  for (const std::string& item : aOptions.servers) {
    const std::size_t equals = item.rfind('=');
    const auto count = equals == std::string::npos
                         ? std::nullopt
                         : ParseCount(item.substr(equals + 1));
    if (!count || equals == 0) {
      return "--servers needs SERVICE=COUNT, not '" + item + "'";
    }
    aFleet.servers[item.substr(0, equals)] = *count;
  }
  if (aOptions.slots.empty() != aOptions.serviceTime.empty()) {
    return "--slots and --service-time are given together or not at all";
  }
  if (aOptions.slots.empty()) {
    return "";
  }
  aFleet.slots = ParseCount(aOptions.slots);
  if (!aFleet.slots) {
    return "--slots needs a number, not '" + aOptions.slots + "'";
  }
  aFleet.serviceTime = ParseSpan(aOptions.serviceTime);
  return aFleet.serviceTime
           ? ""
           : "--service-time needs a duration such as 150ms, not '" +
               aOptions.serviceTime + "'";
}

// Returns "IP:port" of "http://IP:port/" or "IP:port"; empty if it is neither.
static std::string
AddressOf(const std::string& aUrl)
{
  static const std::string kScheme = "http://";
  std::string address =
    aUrl.starts_with(kScheme) ? aUrl.substr(kScheme.size()) : aUrl;
  if (address.ends_with('/')) {
    address.pop_back();
  }
  return IsAddress(address) ? address : "";
}

// Reads the lists to compare with. Returns nothing, and reports why, if they
// cannot be read.
static std::optional<wire::ListsDelta>
ReadOtherLists(const CheckOptions& aOptions,
               const CheckHooks& aHooks,
               std::ostream& aErrors)
{
  std::string name = aOptions.against;
  std::optional<std::string> text;
  if (!aOptions.against.empty()) {
    text = aHooks.readFile(aOptions.against);
  } else {
    name = aOptions.host;
    const std::string address = AddressOf(aOptions.host);
    if (address.empty()) {
      aErrors << "--host needs http://IP:PORT, not '" << aOptions.host << "'\n";
      return std::nullopt;
    }
    text = aHooks.fetchLists(address);
  }
  if (!text) {
    return std::nullopt;
  }
  Findings errors(name);
  const wire::ListsDelta content = ReadLists(*text, errors);
  if (!errors.IsEmpty()) {
    aErrors << errors.Text();
    return std::nullopt;
  }
  return content;
}

static void
WriteJson(const CheckOptions& aOptions,
          const ListsCheck& aCheck,
          const std::optional<std::vector<ListsChange>>& aChanges,
          std::ostream& aOut)
{
  json::array findings;
  for (const ListsFinding& finding : aCheck.findings) {
    findings.push_back({ { "kind", ToText(finding.kind) },
                         { "line", finding.position.line },
                         { "column", finding.position.column },
                         { "text", finding.text } });
  }
  json::object report = { { "file", aOptions.file }, { "findings", findings } };
  if (aChanges) {
    json::array changes;
    for (const ListsChange& change : *aChanges) {
      changes.push_back({ { "change", ToText(change.kind) },
                          { "section", change.section },
                          { "name", change.name },
                          { "fields", json::value_from(change.fields) } });
    }
    report["changes"] = changes;
  }
  aOut << json::serialize(report) << '\n';
}

static void
WriteText(const CheckOptions& aOptions,
          const ListsCheck& aCheck,
          const std::optional<std::vector<ListsChange>>& aChanges,
          std::ostream& aOut)
{
  Findings lines(aOptions.file);
  for (const ListsFinding& finding : aCheck.findings) {
    lines.Add(finding.position,
              std::string(ToText(finding.kind)) + ": " + finding.text);
  }
  aOut << lines.Text();
  if (aChanges) {
    for (const ListsChange& change : *aChanges) {
      aOut << ToText(change.kind) << ' ' << change.section;
      if (!change.name.empty()) {
        aOut << ' ' << change.name;
      }
      std::string separator = ": ";
      for (const std::string& field : change.fields) {
        aOut << separator << field;
        separator = ", ";
      }
      aOut << '\n';
    }
  }
  if (aCheck.findings.empty()) {
    aOut << aOptions.file << ": no findings\n";
  }
}

int
RunCheck(const CheckOptions& aOptions,
         const CheckHooks& aHooks,
         std::ostream& aOut,
         std::ostream& aErrors)
{
  FleetSize fleet;
  std::string problem = ReadFleetSize(aOptions, fleet);
  if (!aOptions.against.empty() && !aOptions.host.empty()) {
    problem = "give either --against or --host";
  }
  if (!problem.empty()) {
    aErrors << problem << '\n';
    return kCheckUnreadable;
  }
  const auto text = aHooks.readFile(aOptions.file);
  if (!text) {
    return kCheckUnreadable;
  }
  const ListsCheck check = CheckLists(*text, fleet);
  std::optional<std::vector<ListsChange>> changes;
  if (!aOptions.against.empty() || !aOptions.host.empty()) {
    const auto other = ReadOtherLists(aOptions, aHooks, aErrors);
    if (!other) {
      return kCheckUnreadable;
    }
    // Invalid content is incomplete, so it would seem to remove entries.
    const bool isInvalid =
      !check.findings.empty() &&
      check.findings.front().kind == ListsFindingKind::kInvalid;
    if (!isInvalid) {
      changes = CompareLists(*other, check.content);
    }
  }
  (aOptions.json ? WriteJson : WriteText)(aOptions, check, changes, aOut);
  return check.findings.empty() ? kCheckClean : kCheckFindings;
}

} // namespace fuchsiaramp

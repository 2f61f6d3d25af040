#include "fuchsiaramp/commands.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

#include <boost/json.hpp>
#include <zmq.h>

#include "base/digest.h"
#include "base/findings.h"
#include "net/http_client.h"
#include "observe/timeline.h"
#include "settings/settings.h"
#include "state/lists.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

namespace json = boost::json;

static constexpr char kSystemPrefix[] = "/.well-known/fuchsiaramp/";
static constexpr std::uint32_t kOk = 200;
static constexpr std::uint32_t kMisdirected = 421;
static constexpr std::uint32_t kConflict = 409;
static constexpr std::uint32_t kUnavailable = 503;
static constexpr auto kRetryDelay = std::chrono::milliseconds(300);

static std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

static HttpCallRequest
MakeRequest(const CommandLine& aLine,
            const std::string& aAddress,
            const std::string& aPath)
{
  HttpCallRequest request;
  request.address = aAddress;
  request.target = kSystemPrefix + aPath;
  if (!aLine.token.empty()) {
    request.headers["Authorization"] = "Bearer " + aLine.token;
  }
  return request;
}

// Sends the request to the control hosts in turn until the leader responds or
// the timeout expires. Repeating a change is safe, since changes carry an id.
static std::optional<HttpCallResponse>
CallLeader(const CommandLine& aLine, const HttpCallRequest& aRequest)
{
  if (aLine.control.empty()) {
    std::cerr << "no control host is given; use --control IP:PORT\n";
    return std::nullopt;
  }
  const auto deadline = std::chrono::steady_clock::now() + aLine.timeout;
  std::string lastError = "no control host answered";
  do {
    for (const std::string& address : aLine.control) {
      HttpCallRequest request = aRequest;
      request.address = address;
      std::error_code error;
      HttpCallResponse response = HttpCall(request, error);
      if (error) {
        lastError = address + ": " + error.message();
      } else if (response.status == kMisdirected ||
                 response.status == kUnavailable) {
        lastError = address + ": " + response.body;
      } else {
        return response;
      }
    }
    std::this_thread::sleep_for(kRetryDelay);
  } while (std::chrono::steady_clock::now() < deadline);
  std::cerr << lastError
            << "\nno leader responded within the timeout; check 'status'\n";
  return std::nullopt;
}

static json::value
ParseJson(const std::string& aText)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  return error ? json::value(json::object()) : value;
}

// Returns a member of a JSON object as text, whatever its type.
static std::string
MemberText(const json::value& aValue, const char* aKey)
{
  const json::value* item =
    aValue.is_object() ? aValue.as_object().if_contains(aKey) : nullptr;
  if (item == nullptr) {
    return "";
  }
  return item->is_string() ? std::string(item->as_string())
                           : json::serialize(*item);
}

static json::array
MemberArray(const json::value& aValue, const char* aKey)
{
  const json::value* item =
    aValue.is_object() ? aValue.as_object().if_contains(aKey) : nullptr;
  return item != nullptr && item->is_array() ? item->as_array() : json::array();
}

static int
ReportFailure(const HttpCallResponse& aResponse)
{
  const std::string error = MemberText(ParseJson(aResponse.body), "error");
  std::cerr << (error.empty() ? aResponse.body : error) << '\n';
  return aResponse.status == kConflict ? kExitConflict : kExitFailed;
}

// Prints a table with one row per item and one column per field.
static void
PrintTable(const json::array& aItems, const std::vector<const char*>& aFields)
{
  std::vector<std::vector<std::string>> rows = { {} };
  for (const char* field : aFields) {
    rows[0].push_back(field);
  }
  for (const json::value& item : aItems) {
    rows.emplace_back();
    for (const char* field : aFields) {
      rows.back().push_back(MemberText(item, field));
    }
  }
  std::vector<std::size_t> widths(aFields.size(), 0);
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    std::cout << line << '\n';
  }
}

static int
Status(const CommandLine& aLine)
{
  json::array all;
  std::vector<std::string> addresses = aLine.control;
  addresses.insert(addresses.end(), aLine.entry.begin(), aLine.entry.end());
  if (addresses.empty()) {
    std::cerr << "no host is given; use --control and --entry IP:PORT\n";
    return kExitUsage;
  }
  bool failed = false;
  for (const std::string& address : addresses) {
    std::error_code error;
    const HttpCallResponse response =
      HttpCall(MakeRequest(aLine, address, "status"), error);
    if (error || response.status != kOk) {
      failed = true;
      std::cerr << address << ": "
                << (error ? error.message()
                          : MemberText(ParseJson(response.body), "error"))
                << '\n';
      continue;
    }
    all.push_back(ParseJson(response.body));
  }
  if (aLine.output == Output::kJson) {
    std::cout << json::serialize(all) << '\n';
    return failed ? kExitUnreachable : kExitSuccess;
  }
  PrintTable(all,
             { "host",
               "role",
               "lists_version",
               "serving",
               "in_flight",
               "requests",
               "answered",
               "not_run",
               "unknown" });
  for (const json::value& host : all) {
    const json::array groups = MemberArray(host, "groups");
    if (groups.empty()) {
      continue;
    }
    std::cout << "\ngroups of " << MemberText(host, "host") << '\n';
    PrintTable(groups,
               { "group",
                 "leader",
                 "leads",
                 "blank",
                 "term",
                 "committed",
                 "applied",
                 "ledger_records",
                 "ledger_bytes" });
  }
  return failed ? kExitUnreachable : kExitSuccess;
}

static int
Servers(const CommandLine& aLine)
{
  for (const std::string& address : aLine.entry) {
    std::error_code error;
    const HttpCallResponse response =
      HttpCall(MakeRequest(aLine, address, "backend-servers"), error);
    if (error) {
      std::cerr << address << ": " << error.message() << '\n';
      continue;
    }
    if (response.status != kOk) {
      return ReportFailure(response);
    }
    if (aLine.output == Output::kJson) {
      std::cout << response.body;
    } else {
      PrintTable(MemberArray(ParseJson(response.body), "servers"),
                 { "id",
                   "service",
                   "address",
                   "failure_domain",
                   "slots",
                   "state",
                   "cause",
                   "weight",
                   "seconds" });
    }
    return kExitSuccess;
  }
  std::cerr << "no entry host answered; use --entry IP:PORT\n";
  return kExitUnreachable;
}

static std::optional<HttpCallResponse>
GetLists(const CommandLine& aLine)
{
  return CallLeader(aLine, MakeRequest(aLine, "", "lists"));
}

static int
ListsGet(const CommandLine& aLine)
{
  const auto response = GetLists(aLine);
  if (!response) {
    return kExitUnreachable;
  }
  if (response->status != kOk) {
    return ReportFailure(*response);
  }
  std::cout << "# version " << response->headers.at("fuchsiaramp-lists-version")
            << '\n'
            << response->body;
  return kExitSuccess;
}

static int
ListsHistory(const CommandLine& aLine)
{
  const auto response =
    CallLeader(aLine, MakeRequest(aLine, "", "lists/history"));
  if (!response) {
    return kExitUnreachable;
  }
  if (response->status != kOk) {
    return ReportFailure(*response);
  }
  if (aLine.output == Output::kJson) {
    std::cout << response->body;
  } else {
    PrintTable(MemberArray(ParseJson(response->body), "changes"),
               { "version", "change_id", "operator", "accepted_at_us" });
  }
  return kExitSuccess;
}

static int
CheckLists(const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    return kExitUsage;
  }
  Findings findings(aFile);
  const wire::ListsDelta content = ReadLists(*text, findings);
  std::cerr << findings.Text();
  if (!findings.IsEmpty()) {
    return kExitFailed;
  }
  std::cout << aFile << ": valid; " << content.plans_size() << " plans, "
            << content.customers_size() << " customers\n";
  return kExitSuccess;
}

static int
CheckSettings(const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    return kExitUsage;
  }
  Findings findings(aFile);
  Findings ignored(aFile);
  ReadSettings(*text, findings, ignored);
  std::cerr << findings.Text() << ignored.Text();
  if (!findings.IsEmpty() || !ignored.IsEmpty()) {
    return kExitFailed;
  }
  std::cout << aFile << ": valid\n";
  return kExitSuccess;
}

static int
ListsDiff(const CommandLine& aLine, const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  const auto response = text ? GetLists(aLine) : std::nullopt;
  if (!text || !response) {
    return text ? kExitUnreachable : kExitUsage;
  }
  if (response->status != kOk) {
    return ReportFailure(*response);
  }
  Findings findings(aFile);
  const wire::ListsDelta desired = ReadLists(*text, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.Text();
    return kExitFailed;
  }
  Findings currentFindings("current");
  Lists current;
  current.Apply(
    Difference(current, ReadLists(response->body, currentFindings)));
  const wire::ListsDelta delta = Difference(current, desired);
  for (const wire::Plan& plan : delta.plans()) {
    const bool exists = current.FindPlan(PlanName(plan.name())) != nullptr;
    std::cout << (exists ? "changed plan " : "new plan ") << plan.name()
              << '\n';
  }
  for (const wire::Customer& customer : delta.customers()) {
    const bool exists =
      current.FindCustomer(CustomerId(customer.id())) != nullptr;
    std::cout << (exists ? "changed customer " : "new customer ")
              << customer.id() << '\n';
  }
  for (const std::string& name : delta.removed_plans()) {
    std::cout << "removed plan " << name << '\n';
  }
  for (const std::string& id : delta.removed_customers()) {
    std::cout << "removed customer " << id << '\n';
  }
  for (const wire::Team& team : delta.teams()) {
    const bool exists = current.FindTeam(TeamName(team.name())) != nullptr;
    std::cout << (exists ? "changed team " : "new team ") << team.name()
              << '\n';
  }
  for (const std::string& name : delta.removed_teams()) {
    std::cout << "removed team " << name << '\n';
  }
  return kExitSuccess;
}

// Waits until every entry host that reported within the last ten minutes has
// the version in force; prints the hosts that do not.
static int
WaitUntilInForce(const CommandLine& aLine, std::uint64_t aVersion)
{
  static constexpr double kReportExpirySeconds = 600.0;
  const auto deadline = std::chrono::steady_clock::now() + aLine.timeout;
  std::string lagging;
  do {
    const auto response =
      CallLeader(aLine, MakeRequest(aLine, "", "lists/in-force"));
    if (!response) {
      return kExitUnreachable;
    }
    lagging.clear();
    const json::array hosts = MemberArray(ParseJson(response->body), "hosts");
    for (const json::value& host : hosts) {
      const double age = std::stod("0" + MemberText(host, "seconds_ago"));
      const std::uint64_t version =
        std::stoull("0" + MemberText(host, "version"));
      if (version < aVersion && age < kReportExpirySeconds) {
        lagging += "  " + MemberText(host, "host") + " has version " +
                   std::to_string(version) + ", last reported " +
                   std::to_string(static_cast<int>(age)) + " s ago\n";
      }
    }
    if (lagging.empty() && !hosts.empty()) {
      std::cout << "in force on " << hosts.size() << " entry hosts\n";
      return kExitSuccess;
    }
    std::this_thread::sleep_for(kRetryDelay);
  } while (std::chrono::steady_clock::now() < deadline);
  std::cerr << "accepted, but not yet in force on:\n" << lagging;
  return kExitNotInForce;
}

static std::string
NewChangeId()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device();
  return text.str();
}

static int
ListsPut(const CommandLine& aLine, const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    return kExitUsage;
  }
  if (aLine.expectedVersion < 0) {
    std::cerr << "give the version that the change is based on with "
                 "--expected-version; 'lists get' shows the current one\n";
    return kExitUsage;
  }
  Findings findings(aFile);
  ReadLists(*text, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.Text();
    return kExitFailed;
  }
  const std::string changeId =
    aLine.changeId.empty() ? NewChangeId() : aLine.changeId;
  HttpCallRequest request = MakeRequest(
    aLine,
    "",
    "lists?expected-version=" + std::to_string(aLine.expectedVersion) +
      "&change-id=" + changeId + "&operator=" + aLine.operatorName);
  request.method = "PUT";
  request.body = *text;
  const auto response = CallLeader(aLine, request);
  if (!response) {
    std::cerr
      << "it is unknown whether the change was accepted; repeat it with "
         "--change-id "
      << changeId << '\n';
    return kExitUnreachable;
  }
  if (response->status != kOk) {
    return ReportFailure(*response);
  }
  const std::string version = MemberText(ParseJson(response->body), "version");
  std::cout << "accepted as version " << version << ", change id " << changeId
            << '\n';
  return aLine.wait ? WaitUntilInForce(aLine, std::stoull(version))
                    : kExitSuccess;
}

static int
CheckDocument(const CommandLine& aLine)
{
  CheckHooks hooks;
  hooks.readFile = ReadFile;
  hooks.fetchLists =
    [&aLine](const std::string& aAddress) -> std::optional<std::string> {
    CommandLine line = aLine;
    line.control = { aAddress };
    const auto response = GetLists(line);
    if (response && response->status != kOk) {
      ReportFailure(*response);
    }
    return response && response->status == kOk ? std::optional(response->body)
                                               : std::nullopt;
  };
  CheckOptions options = aLine.check;
  options.file = aLine.words.back();
  options.json = options.json || aLine.output == Output::kJson;
  return RunCheck(options, hooks, std::cout, std::cerr);
}

static int
ShowTimeline(const CommandLine& aLine)
{
  Timeline timeline;
  for (std::size_t i = 1; i < aLine.words.size(); ++i) {
    const auto text = ReadFile(aLine.words[i]);
    if (!text) {
      return kExitUsage;
    }
    timeline.AddLog(*text);
  }
  timeline.Sort();
  std::cout << (aLine.html ? timeline.Html(aLine.filter)
                           : timeline.Text(aLine.filter));
  return kExitSuccess;
}

static int
NewKeys()
{
  // 40 characters of Z85 and the terminating NUL.
  static constexpr std::size_t kKeyBufferBytes = 41;
  char publicKey[kKeyBufferBytes];
  char secretKey[kKeyBufferBytes];
  if (zmq_curve_keypair(publicKey, secretKey) != 0) {
    std::cerr << "the ZeroMQ library was built without CURVE\n";
    return kExitFailed;
  }
  std::cout << "public " << publicKey << "\nsecret " << secretKey << '\n';
  return kExitSuccess;
}

static int
TokenHash(const std::string& aToken)
{
  std::cout << Sha256Hex(aToken) << '\n';
  return kExitSuccess;
}

struct CommandEntry
{
  std::string words;
  std::size_t arguments = 0;
  std::string help;
  std::function<int(const CommandLine&)> run;
};

static std::vector<CommandEntry>
Commands()
{
  const auto lastWord = [](const CommandLine& aLine) {
    return aLine.words.back();
  };
  return {
    { "status",
      0,
      "prints hosts, roles, versions, leaders and members",
      Status },
    { "backend-servers",
      0,
      "prints the state of each backend server, its cause and duration",
      Servers },
    { "lists get", 0, "prints the lists in force", ListsGet },
    { "lists history",
      0,
      "prints accepted changes to the lists",
      ListsHistory },
    { "lists check",
      1,
      "FILE: checks a lists document",
      [lastWord](const CommandLine& aLine) {
        return CheckLists(lastWord(aLine));
      } },
    { "lists diff",
      1,
      "FILE: prints what the document would change",
      [lastWord](const CommandLine& aLine) {
        return ListsDiff(aLine, lastWord(aLine));
      } },
    { "lists put",
      1,
      "FILE: replaces the lists; needs --expected-version",
      [lastWord](const CommandLine& aLine) {
        return ListsPut(aLine, lastWord(aLine));
      } },
    { "check",
      1,
      "FILE: analyses a lists document; compares it with --against or --host",
      CheckDocument },
    { "check lists",
      1,
      "FILE: checks a lists document",
      [lastWord](const CommandLine& aLine) {
        return CheckLists(lastWord(aLine));
      } },
    { "check settings",
      1,
      "FILE: checks a settings document",
      [lastWord](const CommandLine& aLine) {
        return CheckSettings(lastWord(aLine));
      } },
    { "keys",
      0,
      "generates a key pair for a host",
      [](const CommandLine&) { return NewKeys(); } },
    { "token-hash",
      1,
      "TOKEN: prints its hash for the lists and settings",
      [lastWord](const CommandLine& aLine) {
        return TokenHash(lastWord(aLine));
      } },
  };
}

std::string
CommandHelp()
{
  std::string text;
  for (const CommandEntry& command : Commands()) {
    text += "  " + command.words + ": " + command.help + "\n";
  }
  return text + "  timeline: LOG...: prints the events of all processes in "
                "causal order\n";
}

int
RunCommand(const CommandLine& aLine)
{
  if (!aLine.words.empty() && aLine.words[0] == "timeline" &&
      aLine.words.size() > 1) {
    return ShowTimeline(aLine);
  }
  std::string words;
  for (const std::string& word : aLine.words) {
    words += (words.empty() ? "" : " ") + word;
  }
  for (const CommandEntry& command : Commands()) {
    const std::size_t nameWords =
      command.words.find(' ') == std::string::npos ? 1 : 2;
    const bool matches = (words + ' ').starts_with(command.words + ' ');
    if (matches && aLine.words.size() == nameWords + command.arguments) {
      return command.run(aLine);
    }
  }
  std::cerr << "unknown command '" << words << "'; commands are:\n"
            << CommandHelp();
  return kExitUsage;
}

} // namespace fuchsiaramp

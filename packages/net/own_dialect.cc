#include "net/own_dialect.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include "net/announcement.h"
#include "net/http_answers.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

namespace http = boost::beast::http;
namespace json = boost::json;

static constexpr char kDeadlineHeader[] = "Fuchsiaramp-Deadline-Ms";
static constexpr char kNotRunHeader[] = "Fuchsiaramp-Not-Run";
static constexpr char kLoadHeader[] = "Fuchsiaramp-Load";
static constexpr char kStateHeader[] = "Fuchsiaramp-State";
static constexpr std::uint32_t kMisdirected = 421;
static constexpr std::uint32_t kTooManyRequests = 429;
static constexpr std::uint32_t kFirstServerError = 500;
static constexpr std::uint32_t kServiceUnavailable = 503;
static constexpr std::int64_t kLongestPatienceMs = 3'600'000;

using Request = HttpExchange::Request;

static RefusedPage
Refused(std::uint32_t aStatus, const std::string& aText)
{
  return RefusedPage{ ErrorAnswer(aStatus, aText) };
}

// PUT announces or renews; state "leaving" says goodbye.
static EntryPage
FindAnnouncement(const Request& aRequest, const std::string& aId)
{
  if (aRequest.method() != http::verb::put) {
    return Refused(405, "a backend server announces itself with PUT");
  }
  std::string problem;
  const auto record = ReadAnnouncement(aId, aRequest.body(), problem);
  if (!record) {
    return Refused(400, problem);
  }
  return AnnouncementPage{ *record };
}

// Where the settings have an operator token, only it opens the operators'
// pages.
static EntryPage
FindEntryPage(const Settings& aSettings, const Request& aRequest)
{
  const std::string_view target = aRequest.target();
  if (target.substr(0, kSystemPrefix.size()) != kSystemPrefix) {
    return CallerRequest{};
  }
  const auto [path, query] = SplitTarget(target.substr(kSystemPrefix.size()));
  static constexpr std::string_view kServers = "backend-servers/";
  if (path == "entry-hosts") {
    const ServiceName service(QueryValue(query, "service"));
    if (service.IsEmpty()) {
      return Refused(400, "the query must be service=NAME");
    }
    return AddressPage{ service, {}, {} };
  }
  if (path.compare(0, kServers.size(), kServers) == 0) {
    return FindAnnouncement(aRequest, path.substr(kServers.size()));
  }
  if (path == "metrics") {
    return MetricsPage{};
  }
  if (path == "ready") {
    return ReadinessPage{};
  }
  if (path != "backend-servers" && path != "status") {
    return Refused(404, "no such system path");
  }
  if (!IsOperator(aRequest, aSettings)) {
    return Refused(401, "the operator token is missing or wrong");
  }
  if (path == "status") {
    return StatusPage{};
  }
  return ServersPage{};
}

static CallerHeaders
ReadCaller(const Request& aRequest)
{
  CallerHeaders caller;
  caller.token = BearerToken(aRequest);
  caller.key = IdempotencyKey(std::string(aRequest["Idempotency-Key"]));
  const auto text = aRequest[kDeadlineHeader];
  std::int64_t value = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (!text.empty() && parsed.ec == std::errc() && value > 0) {
    caller.patience =
      std::chrono::milliseconds(std::min(value, kLongestPatienceMs));
  }
  return caller;
}

static AnswerReading
ReadAnswer(const BackendResponse& aResponse, const BackendRequest&)
{
  AnswerReading reading;
  const std::uint32_t status = aResponse.result_int();
  const bool notRun = aResponse[kNotRunHeader] == "true";
  if (status == kServiceUnavailable || status == kTooManyRequests) {
    // Without the server's word that nothing ran, it is a plain failure.
    reading.outcome =
      notRun ? AttemptOutcome::kShed : AttemptOutcome::kServerError;
  } else if (notRun) {
    reading.outcome = AttemptOutcome::kNotRun;
  } else if (status >= kFirstServerError) {
    reading.outcome = AttemptOutcome::kServerError;
  }
  reading.serverIsLeaving = aResponse[kStateHeader] == "leaving";
  const auto load = aResponse[kLoadHeader];
  std::uint32_t value = 0;
  const auto parsed =
    std::from_chars(load.data(), load.data() + load.size(), value);
  if (!load.empty() && parsed.ec == std::errc()) {
    reading.reportedLoad = value;
  }
  return reading;
}

static HttpResponse
WriteAddresses(const AddressResponse& aFound, const AddressPage& aPage)
{
  json::array addresses;
  for (const std::string& address : aFound.addresses) {
    addresses.emplace_back(address);
  }
  const std::int64_t lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(aFound.lifetime)
      .count();
  return JsonAnswer(200,
                    { { "service", aPage.service.Value() },
                      { "addresses", addresses },
                      { "lifetime_ms", lifetime } });
}

static void
WriteOutcome(const Settings& aSettings,
             const FinalResponse& aFinal,
             HttpResponse& aAnswer)
{
  if (aFinal.stored) {
    aAnswer.headers.emplace_back("Fuchsiaramp-Replayed", "true");
  }
  aAnswer.headers.emplace_back("Fuchsiaramp-Outcome", ToText(aFinal.outcome));
  aAnswer.headers.emplace_back("Fuchsiaramp-Request",
                               aSettings.host.Value() + '/' +
                                 std::to_string(aFinal.request.Value()));
  if (aFinal.retryAfter) {
    const double wait = std::max(1.0, ToSeconds(*aFinal.retryAfter));
    aAnswer.headers.emplace_back(
      "Retry-After", std::to_string(static_cast<std::uint64_t>(wait + 0.999)));
  }
}

static ControlPage
FindChange(const Request& aRequest, const std::string& aQuery)
{
  ListsChange change;
  change.document = aRequest.body();
  change.changeId = QueryValue(aQuery, "change-id");
  change.operatorName = QueryValue(aQuery, "operator");
  const std::string expected = QueryValue(aQuery, "expected-version");
  const auto parsed = std::from_chars(
    expected.data(), expected.data() + expected.size(), change.expectedVersion);
  if (change.changeId.empty() || expected.empty() || parsed.ec != std::errc()) {
    return Refused(
      400, "the query must have change-id=ID and expected-version=NUMBER");
  }
  return ChangePage{ std::move(change) };
}

static ControlPage
FindControlPage(const Settings& aSettings, const Request& aRequest)
{
  const std::string_view target = aRequest.target();
  if (target.substr(0, kSystemPrefix.size()) != kSystemPrefix) {
    return Refused(404, "no such path");
  }
  const auto [path, query] = SplitTarget(target.substr(kSystemPrefix.size()));
  if (path == "metrics") {
    return MetricsPage{};
  }
  if (!IsOperator(aRequest, aSettings)) {
    return Refused(401, "the operator token is missing or wrong");
  }
  if (path == "status") {
    return StatusPage{};
  }
  if (path == "lists" && aRequest.method() == http::verb::put) {
    return FindChange(aRequest, query);
  }
  if (path == "lists") {
    return ListsPage{};
  }
  if (path == "lists/history") {
    return HistoryPage{};
  }
  if (path == "lists/in-force") {
    return InForcePage{};
  }
  return Refused(404, "no such path");
}

static HttpResponse
WriteListsPage(const Lists& aLists)
{
  HttpResponse answer;
  answer.contentType = "application/yaml";
  answer.body = WriteLists(aLists.ToFullDelta());
  answer.headers.emplace_back("Fuchsiaramp-Lists-Version",
                              std::to_string(aLists.Version().Value()));
  return answer;
}

static HttpResponse
WriteNotLeader(const HostId& aLeader, std::string_view)
{
  HttpResponse answer = ErrorAnswer(
    kMisdirected,
    aLeader.IsEmpty() ? "no control host leads at the moment; try again"
                      : "the lists are led by " + aLeader.Value());
  answer.headers.emplace_back("Fuchsiaramp-Leader", aLeader.Value());
  return answer;
}

static HttpResponse
WriteChange(const ListsChangeReply& aReply)
{
  const wire::CommandResult& result = aReply.result;
  switch (result.code()) {
    case wire::CommandResult::OK:
      return JsonAnswer(200, { { "version", result.version() } });
    case wire::CommandResult::VERSION_CONFLICT:
      return JsonAnswer(
        409, { { "error", result.text() }, { "version", result.version() } });
    case wire::CommandResult::INVALID:
      return JsonAnswer(
        422,
        { { "error",
            aReply.findings.empty() ? result.text() : aReply.findings } });
    default:
      return ErrorAnswer(503,
                         "the fate of the change is unknown; send it again "
                         "with the same change id");
  }
}

static HttpResponse
WriteAnnounced(const Settings& aSettings, bool aHeld)
{
  const std::int64_t lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aSettings.announcementLifetime)
      .count();
  return aHeld ? JsonAnswer(200, { { "lifetime_ms", lifetime } })
               : ErrorAnswer(503, "not held by a quorum yet; send it again");
}

// Headers that belong to this interface, and the callers' own secrets.
static bool
PassesHeader(std::string_view aName)
{
  static constexpr std::string_view kPrefix = "fuchsiaramp-";
  std::string name(aName);
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return name != "authorization" && name.compare(0, kPrefix.size(), kPrefix);
}

Dialect
OwnDialect(const Settings& aSettings)
{
  Dialect dialect;
  EntryDialect& entry = dialect.entry;
  entry.findPage = [aSettings](Listener, const Request& aRequest) {
    return FindEntryPage(aSettings, aRequest);
  };
  entry.readCaller = ReadCaller;
  entry.passesHeader = PassesHeader;
  entry.writeAttempt =
    [](BackendRequest& aRequest, const AttemptStart&, Duration aLeft) {
      const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(aLeft).count();
      aRequest.set(kDeadlineHeader,
                   std::to_string(std::max<std::int64_t>(milliseconds, 1)));
    };
  entry.readAnswer = ReadAnswer;
  entry.writeAddresses = WriteAddresses;
  entry.writeOutcome = [aSettings](const FinalResponse& aFinal,
                                   HttpResponse& aAnswer) {
    WriteOutcome(aSettings, aFinal, aAnswer);
  };
  ControlDialect& control = dialect.control;
  control.findPage = [aSettings](const Request& aRequest) {
    return FindControlPage(aSettings, aRequest);
  };
  control.writeLists = WriteListsPage;
  control.writeChange = WriteChange;
  control.writeNotLeader = WriteNotLeader;
  control.writeAnnounced = [aSettings](bool aHeld) {
    return WriteAnnounced(aSettings, aHeld);
  };
  return dialect;
}

} // namespace fuchsiaramp

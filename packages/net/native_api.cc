#include "net/native_api.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include "base/text.h"
#include "net/announcement.h"
#include "net/forwarding.h"
#include "net/http_responses.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

namespace http = boost::beast::http;
namespace json = boost::json;

static constexpr char kDeadlineHeader[] = "Fuchsiaramp-Deadline-Ms";
static constexpr char kNotRunHeader[] = "Fuchsiaramp-Not-Run";
static constexpr char kLoadHeader[] = "Fuchsiaramp-Load";
static constexpr char kStateHeader[] = "Fuchsiaramp-State";
static constexpr char kLimitHeader[] = "Fuchsiaramp-Request-Limit";
// The team of the caller, set for backend servers.
static constexpr char kTeamHeader[] = "Fuchsiaramp-Team";
static constexpr char kOutcomeHeader[] = "Fuchsiaramp-Outcome";
static constexpr std::uint32_t kMisdirected = 421;
static constexpr std::uint32_t kTooManyRequests = 429;
static constexpr std::uint32_t kFirstServerError = 500;
static constexpr std::uint32_t kServiceUnavailable = 503;
static constexpr std::int64_t kMaxCallerTimeoutMs = 3'600'000;

using Request = HttpExchange::Request;

static RejectedRequest
Reject(std::uint32_t aStatus, const std::string& aText)
{
  return RejectedRequest{ ErrorResponse(aStatus, aText) };
}

// PUT announces a server or renews its announcement; the state "leaving"
// announces that it leaves.
static EntryRequest
ParseAnnouncementRequest(const Request& aRequest, const std::string& aId)
{
  if (aRequest.method() != http::verb::put) {
    return Reject(405, "a backend server must announce itself with PUT");
  }
  std::string problem;
  const auto record = ParseAnnouncement(aId, aRequest.body(), problem);
  if (!record) {
    return Reject(400, problem);
  }
  return AnnouncementRequest{ *record };
}

// If the settings have an operator token, operators' paths require it.
static EntryRequest
ParseEntryRequest(const Settings& aSettings, const Request& aRequest)
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
      return Reject(400, "the query must be service=NAME");
    }
    return AddressRequest{ service, {}, {} };
  }
  if (path.compare(0, kServers.size(), kServers) == 0) {
    return ParseAnnouncementRequest(aRequest, path.substr(kServers.size()));
  }
  if (path == "metrics") {
    return MetricsRequest{};
  }
  if (path == "ready") {
    return ReadinessRequest{};
  }
  if (path != "backend-servers" && path != "status") {
    return Reject(404, "no such system path");
  }
  if (!IsOperator(aRequest, aSettings)) {
    return Reject(401, "the operator token is missing or wrong");
  }
  if (path == "status") {
    return StatusRequest{};
  }
  return ServersRequest{};
}

static CallerHeaders
ParseCallerHeaders(const Request& aRequest)
{
  CallerHeaders caller;
  caller.token = BearerToken(aRequest);
  caller.key = IdempotencyKey(std::string(aRequest["Idempotency-Key"]));
  const auto text = aRequest[kDeadlineHeader];
  std::int64_t value = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (!text.empty() && parsed.ec == std::errc() && value > 0) {
    caller.callerTimeout =
      std::chrono::milliseconds(std::min(value, kMaxCallerTimeoutMs));
  }
  return caller;
}

static ClassifiedResponse
ClassifyResponse(const BackendResponse& aResponse, const BackendRequest&)
{
  ClassifiedResponse classified;
  const std::uint32_t status = aResponse.result_int();
  const bool notRun = aResponse[kNotRunHeader] == "true";
  if (status == kServiceUnavailable || status == kTooManyRequests) {
    // Without the Not-Run header the request may have run, which counts as a
    // server error.
    classified.outcome =
      notRun ? AttemptOutcome::kShed : AttemptOutcome::kServerError;
  } else if (notRun) {
    classified.outcome = AttemptOutcome::kNotRun;
  } else if (status >= kFirstServerError) {
    classified.outcome = AttemptOutcome::kServerError;
  }
  classified.serverIsLeaving = aResponse[kStateHeader] == "leaving";
  classified.limitNotice = ParseLimitNotice(aResponse.count(kLimitHeader) != 0,
                                            aResponse[kLimitHeader]);
  const auto load = aResponse[kLoadHeader];
  std::uint32_t value = 0;
  const auto parsed =
    std::from_chars(load.data(), load.data() + load.size(), value);
  if (!load.empty() && parsed.ec == std::errc()) {
    classified.reportedLoad = value;
  }
  return classified;
}

static void
SetDeadline(BackendRequest& aRequest, Duration aRemaining)
{
  SetRemainingMs(aRequest, kDeadlineHeader, aRemaining);
}

static ClassifiedResponse
ClassifyPeerResponse(const BackendResponse& aResponse, const BackendRequest&)
{
  ClassifiedResponse classified;
  const auto outcome = aResponse[kOutcomeHeader];
  if (outcome == ToText(CallerOutcome::kNotRun)) {
    classified.outcome = AttemptOutcome::kNotRun;
  } else if (outcome != ToText(CallerOutcome::kAnswered)) {
    classified.outcome = AttemptOutcome::kServerError;
  }
  return classified;
}

static HttpResponse
WriteAddresses(const AddressResponse& aFound, const AddressRequest& aRequest)
{
  json::array addresses;
  for (const std::string& address : aFound.addresses) {
    addresses.emplace_back(address);
  }
  const std::int64_t lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(aFound.lifetime)
      .count();
  return JsonResponse(200,
                      { { "service", aRequest.service.Value() },
                        { "addresses", addresses },
                        { "lifetime_ms", lifetime } });
}

static void
WriteOutcome(const Settings& aSettings,
             const FinalResponse& aFinal,
             HttpResponse& aResponse)
{
  if (aFinal.stored) {
    aResponse.headers.emplace_back("Fuchsiaramp-Replayed", "true");
  }
  aResponse.headers.emplace_back(kOutcomeHeader, ToText(aFinal.outcome));
  aResponse.headers.emplace_back("Fuchsiaramp-Request",
                                 aSettings.host.Value() + '/' +
                                   std::to_string(aFinal.request.Value()));
  if (aFinal.retryAfter) {
    const double seconds = std::max(1.0, ToSeconds(*aFinal.retryAfter));
    aResponse.headers.emplace_back(
      "Retry-After",
      std::to_string(static_cast<std::uint64_t>(seconds + 0.999)));
  }
}

static ControlRequest
ParseChange(const Request& aRequest, const std::string& aQuery)
{
  ListsChange change;
  change.document = aRequest.body();
  change.changeId = QueryValue(aQuery, "change-id");
  change.operatorName = QueryValue(aQuery, "operator");
  const std::string expected = QueryValue(aQuery, "expected-version");
  const auto parsed = std::from_chars(
    expected.data(), expected.data() + expected.size(), change.expectedVersion);
  // The log stores both texts, and a snapshot with other bytes could not be
  // read again.
  if (!IsPrintable(change.changeId) || !IsPrintable(change.operatorName)) {
    return Reject(400, "change-id and operator must be printable UTF-8 text");
  }
  if (change.changeId.empty() || expected.empty() || parsed.ec != std::errc()) {
    return Reject(
      400, "the query must have change-id=ID and expected-version=NUMBER");
  }
  return ChangeRequest{ std::move(change) };
}

static ControlRequest
ParseControlRequest(const Settings& aSettings, const Request& aRequest)
{
  const std::string_view target = aRequest.target();
  if (target.substr(0, kSystemPrefix.size()) != kSystemPrefix) {
    return Reject(404, "no such path");
  }
  const auto [path, query] = SplitTarget(target.substr(kSystemPrefix.size()));
  if (path == "metrics") {
    return MetricsRequest{};
  }
  if (!IsOperator(aRequest, aSettings)) {
    return Reject(401, "the operator token is missing or wrong");
  }
  if (path == "status") {
    return StatusRequest{};
  }
  if (path == "lists" && aRequest.method() == http::verb::put) {
    return ParseChange(aRequest, query);
  }
  if (path == "lists") {
    return ListsRequest{};
  }
  if (path == "lists/history") {
    return HistoryRequest{};
  }
  if (path == "lists/in-force") {
    return InForceRequest{};
  }
  return Reject(404, "no such path");
}

static HttpResponse
ListsResponse(const Lists& aLists)
{
  HttpResponse response;
  response.contentType = "application/yaml";
  response.body = WriteLists(aLists.ToFullDelta());
  response.headers.emplace_back("Fuchsiaramp-Lists-Version",
                                std::to_string(aLists.Version().Value()));
  return response;
}

static HttpResponse
WriteNotLeader(const HostId& aLeader, std::string_view)
{
  HttpResponse response = ErrorResponse(
    kMisdirected,
    aLeader.IsEmpty()
      ? "there is currently no leader among the control hosts; try again"
      : "this host is not the leader; the leader is " + aLeader.Value());
  response.headers.emplace_back("Fuchsiaramp-Leader", aLeader.Value());
  return response;
}

static HttpResponse
WriteChange(const ListsChangeReply& aReply)
{
  const wire::CommandResult& result = aReply.result;
  switch (result.code()) {
    case wire::CommandResult::OK:
      return JsonResponse(200, { { "version", result.version() } });
    case wire::CommandResult::VERSION_CONFLICT:
      return JsonResponse(
        409, { { "error", result.text() }, { "version", result.version() } });
    case wire::CommandResult::INVALID:
      return JsonResponse(
        422,
        { { "error",
            aReply.findings.empty() ? result.text() : aReply.findings } });
    default:
      return ErrorResponse(
        503,
        "it is unknown whether the change was accepted; send it again "
        "with the same change id");
  }
}

static HttpResponse
WriteAnnouncementResult(const Settings& aSettings, bool aStored)
{
  const std::int64_t lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aSettings.announcementLifetime)
      .count();
  return aStored
           ? JsonResponse(200, { { "lifetime_ms", lifetime } })
           : ErrorResponse(
               503,
               "the announcement is not yet stored by a quorum; send it again");
}

// Forwards all headers but those of this API and the caller's token.
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

ExternalApi
NativeApi(const Settings& aSettings)
{
  ExternalApi api;
  EntryApi& entry = api.entry;
  entry.parseRequest = [aSettings](Listener, const Request& aRequest) {
    return ParseEntryRequest(aSettings, aRequest);
  };
  entry.parseCallerHeaders = ParseCallerHeaders;
  entry.passesHeader = PassesHeader;
  entry.setDeadline = SetDeadline;
  entry.setAttemptHeaders = [](BackendRequest& aRequest,
                               const AttemptStart& aStart,
                               Duration aRemaining) {
    SetDeadline(aRequest, aRemaining);
    if (!aStart.team.IsEmpty()) {
      aRequest.set(kTeamHeader, aStart.team.Value());
    }
  };
  entry.removeCredentials = [](BackendRequest& aRequest) {
    aRequest.erase(http::field::authorization);
    aRequest.erase(kTeamHeader);
  };
  entry.classifyResponse = ClassifyResponse;
  entry.classifyPeerResponse = ClassifyPeerResponse;
  entry.writeAddresses = WriteAddresses;
  entry.writeOutcome = [aSettings](const FinalResponse& aFinal,
                                   HttpResponse& aResponse) {
    WriteOutcome(aSettings, aFinal, aResponse);
  };
  ControlApi& control = api.control;
  control.parseRequest = [aSettings](const Request& aRequest) {
    return ParseControlRequest(aSettings, aRequest);
  };
  control.carriesDocument = [aSettings](const Request& aHeader) {
    const std::string_view target = aHeader.target();
    if (!target.starts_with(kSystemPrefix)) {
      return false;
    }
    const auto [path, query] = SplitTarget(target.substr(kSystemPrefix.size()));
    return path == "lists" && IsOperator(aHeader, aSettings);
  };
  control.writeLists = ListsResponse;
  control.writeChange = WriteChange;
  control.writeNotLeader = WriteNotLeader;
  control.writeAnnouncementResult = [aSettings](bool aStored, bool) {
    return WriteAnnouncementResult(aSettings, aStored);
  };
  return api;
}

} // namespace fuchsiaramp

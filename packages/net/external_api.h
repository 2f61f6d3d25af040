// The words that the daemons speak towards the outside: which headers and paths
// carry what, and how outcomes are written. Decisions, state and recovery know
// none of them.
//
// The product's own interface is NativeApi(); another one fills in the same
// hooks. Page hooks see the listener that a request came in on, since a path
// that is a page on one may be a caller's on another.
//
//   EntryService service(io, settings, secretKey, NativeApi(settings));
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "base/ids.h"
#include "base/time.h"
#include "control/control_node.h"
#include "entry/entry_node.h"
#include "net/backend_client.h"
#include "net/http_server.h"
#include "settings/settings.h"

namespace fuchsiaramp {

// What an entry host listens for.
enum class Listener
{
  kCallers,
  kReadiness,
  kDirectory,
};

// Pages of an entry host. A request that is for no page is a caller's.
struct CallerRequest
{};
struct ReadinessRequest
{};
struct StatusRequest
{};
struct MetricsRequest
{};
struct ServersRequest
{};
// Which entry hosts to use.
struct AddressRequest
{
  ServiceName service; // empty: any; the place decides
  Region region;
  FailureDomain domain;
};
struct AnnouncementRequest
{
  wire::BackendServerRecord record;
};
// The request is a page's, but wrong.
struct RejectedRequest
{
  HttpResponse response;
};

using EntryRequest = std::variant<CallerRequest,
                                  ReadinessRequest,
                                  StatusRequest,
                                  MetricsRequest,
                                  ServersRequest,
                                  AddressRequest,
                                  AnnouncementRequest,
                                  RejectedRequest>;

// Pages of a control host.
struct ListsRequest
{};
struct HistoryRequest
{};
struct InForceRequest
{};
struct ChangeRequest
{
  ListsChange change;
};

using ControlRequest = std::variant<StatusRequest,
                                    MetricsRequest,
                                    ListsRequest,
                                    HistoryRequest,
                                    InForceRequest,
                                    ChangeRequest,
                                    AnnouncementRequest,
                                    RejectedRequest>;

// What a caller's headers say.
struct CallerHeaders
{
  std::string token;
  IdempotencyKey key;
  std::string callerId;
  std::optional<Duration> callerTimeout; // how long the caller waits
  // Set when the headers are wrong.
  std::optional<HttpResponse> refusal;
};

struct EntryApi
{
  std::function<EntryRequest(Listener, const HttpExchange::Request&)>
    parseRequest;
  std::function<CallerHeaders(const HttpExchange::Request&)> parseCallerHeaders;
  // Whether a header of a caller or a server is passed on.
  std::function<bool(std::string_view aName)> passesHeader;
  // Adds to a forwarded request what differs by attempt.
  std::function<void(BackendRequest&, const AttemptStart&, Duration aLeft)>
    setAttemptHeaders;
  ResponseClassifier classifyResponse;
  bool acceptsUnframedResponses = false;
  bool tokenless = false;
  std::function<HttpResponse(const AddressAnswer&, const AddressRequest&)>
    writeAddresses;
  // Adds the outcome's headers; aResponse is relayed or an error.
  std::function<void(const FinalAnswer&, HttpResponse& aResponse)> writeOutcome;
};

struct ControlApi
{
  std::function<ControlRequest(const HttpExchange::Request&)> parseRequest;
  std::function<HttpResponse(const Lists&)> writeLists;
  std::function<HttpResponse(const ListsChangeReply&)> writeChange;
  // Another host leads, which may be unknown; aTarget is what was asked for.
  std::function<HttpResponse(const HostId& aLeader, std::string_view aTarget)>
    writeNotLeader;
  // aStored: whether the table holds what the server said.
  std::function<HttpResponse(bool aStored)> writeAnnouncementResult;
};

struct ExternalApi
{
  EntryApi entry;
  ControlApi control;
};

} // namespace fuchsiaramp

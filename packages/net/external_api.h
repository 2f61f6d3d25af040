// The HTTP API of the daemons as a set of hooks: how requests are parsed and
// how outcomes are written. Decisions on requests, shared state and recovery do
// not depend on the names of the API.
//
// NativeApi() is the project's own API; other APIs implement the same hooks.
// The hook that parses requests of an entry host is given the listener, since a
// path reserved by the system on one listener may belong to callers on another.
//
//   EntryService service(io, settings, secretKey, NativeApi(settings).entry);
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

// The listeners of an entry host, by the requests they accept.
enum class Listener
{
  kCallers,
  kReadiness,
  kDirectory,
};

// Requests to an entry host. A request that is not for the system itself is a
// CallerRequest, which is forwarded.
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
// Asks which entry hosts to use.
struct AddressRequest
{
  ServiceName service; // if empty, region and domain select the hosts
  Region region;
  FailureDomain domain;
};
struct AnnouncementRequest
{
  wire::BackendServerRecord record;
};
// A request for the system that is invalid; response says why.
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

// Requests to a control host.
struct ListsRequest
{};
struct HistoryRequest
{};
// Asks which version of the lists each entry host has in force.
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

// The parsed headers of a caller's request.
struct CallerHeaders
{
  std::string token;
  IdempotencyKey key;
  std::string callerRequestId;
  std::optional<Duration> callerTimeout; // how long the caller waits
  // Set when the headers are invalid.
  std::optional<HttpResponse> refusal;
};

struct EntryApi
{
  std::function<EntryRequest(Listener, const HttpExchange::Request&)>
    parseRequest;
  std::function<CallerHeaders(const HttpExchange::Request&)> parseCallerHeaders;
  // Whether a header of a request or response is forwarded.
  std::function<bool(std::string_view aName)> passesHeader;
  // Sets the headers of a forwarded request that differ between attempts.
  std::function<void(BackendRequest&, const AttemptStart&, Duration aRemaining)>
    setAttemptHeaders;
  // Removes the key of a caller and the name of its team, as the caller sent
  // them.
  std::function<void(BackendRequest&)> removeCredentials;
  // Sets for how long this host waits for the response to a request.
  std::function<void(BackendRequest&, Duration aRemaining)> setDeadline;
  ResponseClassifier classifyResponse;
  // Classifies the response of another entry host. kNotRun: the request did not
  // run and never will. Others are relayed as they are; kServerError: it is
  // unknown whether the request ran.
  ResponseClassifier classifyPeerResponse;
  bool acceptsUnframedResponses = false;
  // There are no customers, so that only open routes apply. Callers send a key
  // where the lists hold teams.
  bool tokenless = false;
  std::function<HttpResponse(const AddressResponse&, const AddressRequest&)>
    writeAddresses;
  // Adds the headers that describe the outcome. aResponse is a relayed or
  // stored response or an error, and may be replaced.
  std::function<void(const FinalResponse&, HttpResponse& aResponse)>
    writeOutcome;
};

struct ControlApi
{
  std::function<ControlRequest(const HttpExchange::Request&)> parseRequest;
  // Whether the body of the request with this header is a document with lists,
  // which may be large.
  std::function<bool(const HttpExchange::Request& aHeader)> carriesDocument;
  std::function<HttpResponse(const Lists&)> writeLists;
  std::function<HttpResponse(const ListsChangeReply&)> writeChange;
  // Used when this host does not lead or has no lease. aLeader is empty when no
  // other host is known to lead; aTarget is the target of the request.
  std::function<HttpResponse(const HostId& aLeader, std::string_view aTarget)>
    writeNotLeader;
  // aStored: whether the table of servers durably holds the announcement.
  // aStays: whether this host receives later ones, too.
  std::function<HttpResponse(bool aStored, bool aStays)>
    writeAnnouncementResult;
};

struct ExternalApi
{
  EntryApi entry;
  ControlApi control;
};

} // namespace fuchsiaramp

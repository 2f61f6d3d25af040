// The words that the daemons speak towards the outside: which headers and paths
// carry what, and how outcomes are written. Decisions, state and recovery know
// none of them.
//
// The product's own interface is OwnDialect(); another one fills in the same
// hooks. Page hooks see the listener that a request came in on, since a path
// that is a page on one may be a caller's on another.
//
//   EntryService service(io, settings, secretKey, OwnDialect(settings));
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
struct ReadinessPage
{};
struct StatusPage
{};
struct MetricsPage
{};
struct ServersPage
{};
// Which entry hosts to use.
struct AddressPage
{
  ServiceName service; // empty: any; the place decides
  Region region;
  FailureDomain domain;
};
struct AnnouncementPage
{
  wire::BackendServerRecord record;
};
// The request is a page's, but wrong.
struct RefusedPage
{
  HttpResponse answer;
};

using EntryPage = std::variant<CallerRequest,
                               ReadinessPage,
                               StatusPage,
                               MetricsPage,
                               ServersPage,
                               AddressPage,
                               AnnouncementPage,
                               RefusedPage>;

// Pages of a control host.
struct ListsPage
{};
struct HistoryPage
{};
struct InForcePage
{};
struct ChangePage
{
  ListsChange change;
};

using ControlPage = std::variant<StatusPage,
                                 MetricsPage,
                                 ListsPage,
                                 HistoryPage,
                                 InForcePage,
                                 ChangePage,
                                 AnnouncementPage,
                                 RefusedPage>;

// What a caller's headers say.
struct CallerHeaders
{
  std::string token;
  IdempotencyKey key;
  std::string callerRequestId;
  std::optional<Duration> patience; // how long the caller waits
  // Set when the headers are wrong.
  std::optional<HttpResponse> refusal;
};

struct EntryDialect
{
  std::function<EntryPage(Listener, const HttpExchange::Request&)> findPage;
  std::function<CallerHeaders(const HttpExchange::Request&)> readCaller;
  // Whether a header of a caller or a server is passed on.
  std::function<bool(std::string_view aName)> passesHeader;
  // Adds to a forwarded request what differs by attempt.
  std::function<void(BackendRequest&, const AttemptStart&, Duration aLeft)>
    writeAttempt;
  AnswerReader readAnswer;
  bool acceptsUnframedAnswers = false;
  bool tokenless = false;
  std::function<HttpResponse(const AddressResponse&, const AddressPage&)>
    writeAddresses;
  // Adds the outcome's headers; aAnswer is relayed or an error.
  std::function<void(const FinalResponse&, HttpResponse& aAnswer)> writeOutcome;
};

struct ControlDialect
{
  std::function<ControlPage(const HttpExchange::Request&)> findPage;
  std::function<HttpResponse(const Lists&)> writeLists;
  std::function<HttpResponse(const ListsChangeReply&)> writeChange;
  // Another host leads, which may be unknown; aTarget is what was asked for.
  std::function<HttpResponse(const HostId& aLeader, std::string_view aTarget)>
    writeNotLeader;
  // aHeld: whether the table holds what the server said.
  std::function<HttpResponse(bool aHeld)> writeAnnounced;
};

struct Dialect
{
  EntryDialect entry;
  ControlDialect control;
};

} // namespace fuchsiaramp

// All decisions of one entry host: membership, the lists in force, the routing
// of requests, limits, retries, and work that must not repeat.
//
// A request passes a chain of filters (authenticate, find its route,
// quarantine, plan limits), waits for a free slot of its service, claims its
// idempotency key if its route may not be repeated, and is then attempted on
// backend servers until it has a final answer.
//
//   EntryNode node(options, hooks, random, now);
//   node.OnRequest(head, now);        // hooks.startAttempt(...) follows
//   node.OnAttemptEnd(end, now);      // hooks.answer(...) follows
//   node.Tick(now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "control/command_client.h"
#include "entry/lists_follower.h"
#include "entry/request.h"
#include "entry/service_plane.h"
#include "limits/admission_queue.h"
#include "limits/concurrency_limit.h"
#include "limits/plan_limiter.h"
#include "membership/directory.h"
#include "membership/membership.h"
#include "routing/decayed_counts.h"
#include "settings/settings.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct EntryOptions
{
  Settings settings;
  std::uint64_t incarnation = 1; // grows with each start of the host
};

struct EntryHooks
{
  SendHook send;
  std::function<ConnectionKind(const AttemptStart&)> startAttempt;
  std::function<void(AttemptId)> cancelAttempt;
  std::function<void(const FinalResponse&)> answer;
  // A host was heard of or changed; the adapter keeps its address.
  std::function<void(const wire::HostRecord&)> hostChanged;
  EventHook record;
};

// Which entry hosts a caller may use for a service, best first.
struct AddressResponse
{
  std::vector<std::string> addresses; // IP:port
  Duration lifetime{};
};

// Counters since the start, for metrics and tests.
struct EntryCounters
{
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t shed = 0;
  std::uint64_t claims = 0;
};

class EntryNode
{
public:
  EntryNode(EntryOptions aOptions,
            EntryHooks aHooks,
            Random aRandom,
            TimePoint aNow);

  void OnRequest(const RequestHead& aHead, TimePoint aNow);
  void OnAttemptEnd(const AttemptEnd& aEnd, TimePoint aNow);
  // The caller closed its connection before it had an answer.
  void OnCallerDisconnected(RequestId aRequest, TimePoint aNow);
  void OnMessage(const HostId& aFrom,
                 const wire::Envelope& aMessage,
                 TimePoint aNow);
  // A backend server announced itself, renewed, or said that it leaves.
  void OnAnnouncement(const wire::BackendServerRecord& aRecord, TimePoint aNow);
  AddressResponse OnAddressQuery(const ServiceName& aService, TimePoint aNow);
  // Entry hosts near a caller, for any service.
  AddressResponse OnFailureDomainQuery(const Region& aRegion,
                                       const FailureDomain& aDomain,
                                       TimePoint aNow);
  // Hosts of new settings to look for.
  void AddControlHosts(const std::vector<HostId>& aHosts);
  void AddSeeds(const std::vector<HostId>& aSeeds);
  void Tick(TimePoint aNow);

  // Withdraws this host from address answers.
  void Leave(TimePoint aNow);
  // Whether every address answer that names this host has expired, and nothing
  // is in flight.
  bool MayExit(TimePoint aNow) const;
  bool IsLeaving() const { return m_leaving; }

  const ListsFollower& ListsInForce() const { return *m_lists; }
  const Membership& Members() const { return *m_membership; }
  const Directory& Servers() const { return m_directory; }
  ServicePlane& Services() { return *m_services; }
  const EntryCounters& Counters() const { return m_counters; }
  std::size_t InFlight() const { return m_requests.size(); }

private:
  enum class Stage
  {
    kQueued,
    kRetryDeferred, // waits a moment after servers shed it
    kClaiming,
    kAttempting,
    kFencing,
  };

  struct Request
  {
    RequestHead head;
    std::string customer;
    std::uint32_t priority = 0;
    bool repeatable = true;
    // Work that must not repeat is claimed by its key, unless it may run once
    // for each send of a caller: a send reaches one entry host only.
    bool needsClaim = false;
    bool usesOpenRoute = false; // found among the open routes
    int maxServers = kDefaultMaxServers;
    std::set<BackendServerId> reachedServers; // servers that it was sent to
    Stage stage = Stage::kQueued;
    TimePoint queueDeadline;
    TimePoint localOnlyUntil;
    std::set<BackendServerId> excludedServers;
    std::vector<AttemptId> runningAttempts; // running
    std::vector<BackendServerId> brokenServers;
    TimePoint arrivedAt;
    TimePoint firstAttemptAt = kNever; // first attempt
    Duration latencyObjective{};       // zero where the route has none
    int attemptsStarted = 0;
    int attemptsShed = 0; // attempts that servers refused for overload
    bool mayHaveRun = false;
    // The ledger said that no earlier request with the key ran or may run.
    bool keyIsFree = false;
    int hedges = 0;
    bool forceNewConnection = false;
    std::string claimAttempt; // set while this request holds its key
    std::optional<BackendServerId> reservedServer;
    bool callerDisconnected = false;
  };

  // A server that sheds has room again within about the time of one request,
  // and another may have it now.
  static constexpr Duration kRetryAfterShed = std::chrono::milliseconds(120);
  // A host that starts is confirmed within a second or two; well below a third
  // of the time that callers have, so that they come back at all.
  static constexpr Duration kRetryWhileStarting =
    std::chrono::milliseconds(400);
  // Servers that one request may be sent to where its route says nothing.
  static constexpr int kDefaultMaxServers = 4;

  struct Attempt
  {
    RequestId request;
    ServiceName service;
    BackendServerId server;
    TimePoint startedAt;
    ConnectionKind connection = ConnectionKind::kNew;
    // When the attempt next counts as too slow; the span doubles each time.
    TimePoint overdueAt;
    Duration overdueInterval{};
    int overdueCount = 0;
    bool countedAsSlow = false;
  };

  // Admission of one service.
  struct Admission
  {
    AdmissionQueue queue{ 1000 };
    ConcurrencyLimit limit;
  };

  enum class FilterResult
  {
    kContinue,
    kDone, // the request has its final answer
  };
  using Filter = FilterResult (EntryNode::*)(Request&, TimePoint);

  // Filters, in order.
  FilterResult CheckServing(Request& aRequest, TimePoint aNow);
  FilterResult Authenticate(Request& aRequest, TimePoint aNow);
  FilterResult FindRoute(Request& aRequest, TimePoint aNow);
  FilterResult FindOpenRoute(Request& aRequest, TimePoint aNow);
  ServiceName ChooseService(const wire::Route& aRoute);
  FilterResult CheckKey(Request& aRequest, TimePoint aNow);
  FilterResult CheckQuarantine(Request& aRequest, TimePoint aNow);
  FilterResult CheckService(Request& aRequest, TimePoint aNow);
  FilterResult CheckLimits(Request& aRequest, TimePoint aNow);

  // Admission.
  void Enqueue(Request& aRequest, TimePoint aNow);
  void StartQueuedRequests(const ServiceName& aService, TimePoint aNow);
  // When a refused caller should come back.
  Duration Jitter(Duration aSpan);
  Duration RetryAfterWait(Duration aWait);
  Duration EstimateWait(const ServiceName& aService);
  void ClaimOrStart(Request& aRequest,
                    const BackendServerId& aServer,
                    TimePoint aNow);

  // Claims.
  void StartClaim(Request& aRequest, TimePoint aNow);
  void OnClaimResult(RequestId aRequest,
                     const wire::CommandResult* aResult,
                     TimePoint aNow);
  void Fence(Request& aRequest, const FinalResponse& aAnswer, TimePoint aNow);
  void ReportFinished(const Request& aRequest,
                      const AttemptEnd& aEnd,
                      wire::LedgerRecord::State aState,
                      TimePoint aNow);
  wire::ClaimKey KeyOf(const Request& aRequest) const;
  void ReleaseReservation(Request& aRequest, TimePoint aNow);

  // Attempts.
  void StartAttempt(Request& aRequest,
                    const BackendServerId& aServer,
                    TimePoint aNow);
  void RecordEnded(const Attempt& aAttempt,
                   const AttemptEnd& aEnd,
                   Duration aLatency,
                   TimePoint aNow);
  void OnSuccess(Request& aRequest, const AttemptEnd& aEnd, TimePoint aNow);
  void OnFailure(Request& aRequest,
                 const Attempt& aAttempt,
                 const AttemptEnd& aEnd,
                 TimePoint aNow);
  bool Retry(Request& aRequest, bool aProvenNotRun, TimePoint aNow);
  void DeferRetry(Request& aRequest, TimePoint aNow);
  void ReleaseDeferredRetries(TimePoint aNow);
  bool Requeue(Request& aRequest, TimePoint aNow);
  bool OnBrokenConnection(Request& aRequest,
                          const Attempt& aAttempt,
                          TimePoint aNow);
  void FailRequest(Request& aRequest,
                   const AttemptEnd* aEnd,
                   const std::string& aReason,
                   Duration aRetryAfter,
                   TimePoint aNow);
  void CheckOverdue(TimePoint aNow);
  void OnOverdue(AttemptId aAttempt, TimePoint aNow);
  void Hedge(Request& aRequest, const Attempt& aLate, TimePoint aNow);
  void CancelAttempts(Request& aRequest, TimePoint aNow);
  void CheckDeadlines(TimePoint aNow);

  // Refuses a request that did not run. With a key whose earlier fate the
  // ledger has not told, the caller hears unknown.
  void Refuse(Request& aRequest,
              CallerOutcome aOutcome,
              std::uint32_t aStatus,
              const std::string& aReason,
              std::optional<Duration> aRetryAfter,
              TimePoint aNow);
  // Gives the final answer and forgets the request.
  void Respond(Request& aRequest, const FinalResponse& aAnswer, TimePoint aNow);
  void RecordResponse(const Request& aRequest,
                      const FinalResponse& aAnswer,
                      TimePoint aNow);

  // The entry hosts that callers of a failure domain are sent to, best first.
  std::vector<const wire::HostRecord*> AdvertisedHosts(
    const Region& aRegion,
    const FailureDomain& aDomain) const;
  void AddLoad(const ServiceName& aService, Event& aEvent) const;
  void CreateComponents(Random& aRandom, TimePoint aNow);

  EntryOptions m_options;
  EntryHooks m_hooks;
  Random m_random;
  TimePoint m_now; // time of the call that is running
  Directory m_directory;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ListsFollower> m_lists;
  std::unique_ptr<CommandClient> m_claims;
  std::unique_ptr<ServicePlane> m_services;
  std::unique_ptr<PlanLimiter> m_limiter;
  std::unordered_map<RequestId, Request> m_requests;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  std::unordered_map<ServiceName, Admission> m_admissions;
  std::multimap<TimePoint, RequestId> m_deferredRetries; // by release time
  AttemptId m_nextAttempt{ 1 };
  std::uint64_t m_nextClaim = 1;
  // What each service of a split is owed, by route.
  std::unordered_map<std::string, std::map<std::string, double>> m_splitCredits;
  std::uint64_t m_addressQueries = 0;
  DecayedCounts m_recentRequests;
  std::uint64_t m_timelyResponses = 0; // for the sample that is logged
  EntryCounters m_counters;
  bool m_leaving = false;
  TimePoint m_addressResponsesExpireAt;
};

} // namespace fuchsiaramp

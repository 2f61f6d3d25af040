// Makes the decisions of one entry host: membership, the lists in force,
// request routing, limits, retries, and claims of non-repeatable requests.
//
// A request passes a chain of filters (authentication, route lookup,
// quarantine, plan limits), waits for a free slot of its service, claims its
// idempotency key if its route is not repeatable, and is then attempted on
// backend servers until it has a final response.
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
#include "base/shutdown_plan.h"
#include "base/time.h"
#include "control/command_client.h"
#include "entry/extra_attempts.h"
#include "entry/lists_follower.h"
#include "entry/request.h"
#include "entry/service_plane.h"
#include "limits/admission_queue.h"
#include "limits/concurrency_limit.h"
#include "limits/plan_limiter.h"
#include "limits/quota_client.h"
#include "membership/directory.h"
#include "membership/membership.h"
#include "routing/decayed_counts.h"
#include "routing/server_reachability.h"
#include "settings/settings.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct EntryOptions
{
  Settings settings;
  std::uint64_t incarnation = 1;    // increases with each start of the host
  std::size_t queueCapacity = 1000; // waiting requests of one service
};

struct EntryHooks
{
  SendHook send;
  std::function<ConnectionKind(const AttemptStart&)> startAttempt;
  std::function<void(AttemptId)> cancelAttempt;
  // Opens and closes a connection to a server; OnProbeEnd must follow.
  std::function<void(ProbeId, const std::string& aAddress)> startProbe;
  std::function<void(const FinalResponse&)> answer;
  // A host was discovered or its record changed; the adapter keeps its address.
  std::function<void(const wire::HostRecord&)> hostChanged;
  EventHook record;
  // Flush is to be called at the end of this turn of the event loop. If empty,
  // Tick does it.
  std::function<void()> flushNeeded = {};
};

// Entry hosts that a caller may use, best first.
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
  std::uint64_t hedges = 0; // including extra attempts
  // Second attempts under the setting extra_attempts. Each request with a slow
  // first attempt is counted once at most under each cause of denial.
  std::uint64_t extraAttempts = 0;
  std::uint64_t extraAttemptsWon = 0;       // brought the response
  std::uint64_t extraAttemptsCancelled = 0; // since the first one won
  std::uint64_t extraAttemptsDeniedByTime = 0;
  std::uint64_t extraAttemptsDeniedByCapacity = 0;
  std::uint64_t extraAttemptsDeniedByShare = 0;
  std::uint64_t extraAttemptsDeniedByBudget = 0;
  std::uint64_t extraAttemptsDeniedByServers = 0;
  std::uint64_t shed = 0;
  // How often free slots were left to more urgent requests of other hosts.
  std::uint64_t slotsLeft = 0;
  std::uint64_t claims = 0;
  std::uint64_t forwarded = 0;      // to other entry hosts
  std::uint64_t refusedLeaving = 0; // since the host is being stopped
  // Of refusedLeaving, those that another entry host could have taken.
  std::uint64_t refusedLeavingWithPeer = 0;
  std::uint64_t refusedKey = 0; // without the key of a team
  // Since the host could not confirm that its keys are current.
  std::uint64_t refusedKeyLease = 0;
};

class EntryNode
{
public:
  EntryNode(EntryOptions aOptions,
            EntryHooks aHooks,
            Random aRandom,
            TimePoint aNow);

  void OnRequest(const RequestHead& aHead, TimePoint aNow);
  // The server responds, but this host has no room yet to read the response.
  void OnAttemptHeld(AttemptId aAttempt, TimePoint aNow);
  void OnAttemptEnd(const AttemptEnd& aEnd, TimePoint aNow);
  void OnProbeEnd(ProbeId aProbe, bool aConnected, TimePoint aNow);
  // The caller closed its connection before its response was sent.
  void OnCallerDisconnected(RequestId aRequest, TimePoint aNow);
  void OnMessage(const HostId& aFrom,
                 const wire::Envelope& aMessage,
                 TimePoint aNow);
  // A backend server sent its first announcement, a renewal or a leave message.
  void OnAnnouncement(const wire::BackendServerRecord& aRecord, TimePoint aNow);
  AddressResponse OnAddressQuery(const ServiceName& aService, TimePoint aNow);
  // Entry hosts for callers of a failure domain, for any service.
  AddressResponse OnFailureDomainQuery(const Region& aRegion,
                                       const FailureDomain& aDomain,
                                       TimePoint aNow);
  // Adds the control hosts and seeds that new settings name.
  void AddControlHosts(const std::vector<HostId>& aHosts);
  void AddSeeds(const std::vector<HostId>& aSeeds);
  void Tick(TimePoint aNow);
  // Sends what the calls in this turn of the event loop left to be sent.
  void Flush(TimePoint aNow);

  // Withdraws this host from address responses, and refuses the waiting
  // requests that may not end before the process is killed. The grace period
  // counts from aRequestedAt.
  void Leave(TimePoint aNow, TimePoint aRequestedAt);
  bool IsLeaving() const { return m_shutdown.HasBegun(); }
  const ShutdownPlan& Shutdown() const { return m_shutdown; }
  // Whether the host takes no new requests and none is in flight. Ledger
  // commands in flight are waited for within the grace period.
  bool MayExit(TimePoint aNow) const;
  // Whether this host reaches no backend server.
  bool IsCutOff() const { return m_reachability->IsCutOff(); }
  // The number of backend servers whose rate of requests is limited.
  std::size_t LimitedServers() const
  {
    return m_services->LimitedServers(m_now);
  }

  const ListsFollower& ListsInForce() const { return *m_lists; }
  const Membership& Members() const { return *m_membership; }
  const Directory& Servers() const { return m_directory; }
  ServicePlane& Services() { return *m_services; }
  const EntryCounters& Counters() const { return m_counters; }
  const QuotaClientCounters& QuotaCounters() const
  {
    return m_quotas->Counters();
  }
  std::size_t InFlight() const { return m_requests.size(); }

private:
  enum class Stage
  {
    kAwaitingQuota, // has no permit of its team yet, or one that expired
    kQueued,
    kRetryDeferred, // waits before a retry since servers shed it
    kClaiming,
    kAttempting,
    kFencing,
  };

  struct Request
  {
    RequestHead head;
    std::string route;    // with its plan, if it has one
    std::string customer; // or the team, on an open route
    TeamName team;        // whose key the request had
    // The lists held teams when the request arrived.
    bool removesCredentials = false;
    std::uint32_t priority = 0;
    bool repeatable = true;
    // Non-repeatable requests claim their idempotency key. Those of open routes
    // need no claim: they may run once for each send of the caller, and a send
    // reaches only one entry host.
    bool needsClaim = false;
    bool usesOpenRoute = false;
    int maxServers = kDefaultMaxServers;
    std::set<BackendServerId> reachedServers; // that may have received it
    int serversOfPeers = 0; // on which other entry hosts may have run it
    Stage stage = Stage::kQueued;
    // Set while the request holds a permit of its team.
    std::optional<TimePoint> permitUntil;
    bool wasQueued = false;
    TimePoint inTimeUntil; // an attempt that starts later ends late
    TimePoint startBy;     // an attempt that starts later ends too late
    TimePoint localOnlyUntil;
    std::set<BackendServerId> excludedServers;
    std::vector<AttemptId> runningAttempts;
    std::vector<BackendServerId> brokenServers;
    TimePoint arrivedAt;
    TimePoint firstAttemptAt = kNever;
    Duration latencyObjective{}; // zero where the route has none
    int attemptsStarted = 0;
    int attemptsShed = 0; // refused by overloaded servers
    bool mayHaveRun = false;
    // The ledger confirmed that no earlier request with the key ran or may run.
    bool keyIsFree = false;
    int hedges = 0;
    std::optional<AttemptId> extraAttempt; // ended or not
    std::set<ExtraAttemptDecision> extraAttemptDenials;
    bool forceNewConnection = false;
    std::string claimAttempt; // set while this request holds its key
    TimePoint fenceUntil = kNever;
    FinalResponse fencedResponse; // of a request that is being fenced
    std::optional<BackendServerId> reservedServer;
    TimePoint reservedAt;
    bool callerDisconnected = false;
    std::set<HostId> triedPeers; // entry hosts to which it was forwarded
  };

  // A server that sheds load has a free slot again after about the duration of
  // one request, and another server may have one now.
  static constexpr Duration kRetryAfterShed = std::chrono::milliseconds(120);
  // The lists of a starting host are confirmed within one or two seconds. The
  // delay is well below a third of the callers' time limit, so that they still
  // retry.
  static constexpr Duration kRetryWhileStarting =
    std::chrono::milliseconds(400);
  // Another entry host can serve the caller at once.
  static constexpr Duration kRetryAtOtherHost = std::chrono::milliseconds(50);
  // Maximum number of servers for one request if its route does not set one.
  static constexpr int kDefaultMaxServers = 4;

  struct Attempt
  {
    RequestId request;
    ServiceName service;
    BackendServerId server;
    bool forwards = false; // to an entry host; server is empty
    TimePoint startedAt;
    TimePoint deadline;
    ConnectionKind connection = ConnectionKind::kNew;
    // When the attempt is next counted as overdue; the interval doubles each
    // time.
    TimePoint overdueAt;
    // Since when its response waits for room in the buffers of this host.
    std::optional<TimePoint> heldAt;
    Duration overdueInterval{};
    int overdueCount = 0;
    bool countedAsSlow = false;
    // When a second attempt is due, or whether it may start is checked again.
    TimePoint extraAttemptAt = kNever;
  };

  // Half-life of the count of arrivals by which late requests are judged. Long
  // enough for a rate of a few requests per second, shorter than a burst.
  static constexpr Duration kArrivalHalfLife = std::chrono::seconds(1);

  static QueuedRequest QueuedFrom(const Request& aRequest)
  {
    return { aRequest.head.id,
             aRequest.priority,
             aRequest.inTimeUntil,
             aRequest.startBy };
  }

  // Queue and concurrency limit of one service.
  struct Admission
  {
    explicit Admission(std::size_t aQueueCapacity)
      : queue(aQueueCapacity)
    {
    }

    AdmissionQueue queue;
    // The lists by which the router knows what the routes of the service allow.
    ListsVersion routesVersion;
    ConcurrencyLimit limit;
    DecayedCounts arrivals{ kArrivalHalfLife };
    std::map<std::uint32_t, DecayedCounts> arrivalsByPriority;
    // While free slots are left to more urgent requests at other hosts: until
    // when.
    std::optional<TimePoint> yieldsUntil;
  };

  enum class FilterResult
  {
    kContinue,
    kDone, // the request has its final response or awaits a decision
  };
  using Filter = FilterResult (EntryNode::*)(Request&, TimePoint);

  void CountRequest(TimePoint aNow);
  bool ReceivesOutcomes() const;

  // Filters, in order.
  FilterResult CheckServing(Request& aRequest, TimePoint aNow);
  FilterResult Authenticate(Request& aRequest, TimePoint aNow);
  FilterResult FindRoute(Request& aRequest, TimePoint aNow);
  FilterResult CheckShutdown(Request& aRequest, TimePoint aNow);
  void RefuseUnlisted(Request& aRequest,
                      std::uint32_t aStatus,
                      const std::string& aReason,
                      TimePoint aNow);
  FilterResult FindOpenRoute(Request& aRequest, TimePoint aNow);
  // Returns false if the request has its final response.
  bool CheckTeamKey(Request& aRequest,
                    const wire::Route& aRoute,
                    TimePoint aNow);
  // Returns false and refuses the request if the keys of teams may be outdated.
  bool CheckKeyLease(Request& aRequest, TimePoint aNow);
  static std::string TokenHash(const Request& aRequest);
  static void AddCredentials(const Request& aRequest, AttemptStart& aStart);
  ServiceName ChooseService(const wire::Route& aRoute);
  FilterResult CheckKey(Request& aRequest, TimePoint aNow);
  FilterResult CheckQuarantine(Request& aRequest, TimePoint aNow);
  FilterResult ForwardIfCutOff(Request& aRequest, TimePoint aNow);
  FilterResult CheckService(Request& aRequest, TimePoint aNow);
  FilterResult CheckLimits(Request& aRequest, TimePoint aNow);
  FilterResult CheckQuota(Request& aRequest, TimePoint aNow);

  // Quotas of teams.
  std::optional<QuotaLimit> QuotaOf(const Request& aRequest) const;
  // Returns false if the request waits for a permit.
  bool TakePermit(Request& aRequest, TimePoint aNow);
  // Whether a request that starts now is within the quota of its team. If not,
  // it waits for another permit.
  bool RenewPermit(Request& aRequest, TimePoint aNow);
  void ReleasePermit(Request& aRequest, TimePoint aNow);
  void OnQuotaDecision(const QuotaDecision& aDecision, TimePoint aNow);
  void AdmitWithinQuota(Request& aRequest, TimePoint aNow);
  void RefuseOverQuota(Request& aRequest,
                       const QuotaDecision& aDecision,
                       TimePoint aNow);
  void FlushLater();
  // Whether nothing was sent for the request and nothing is awaited that must
  // be recorded.
  static bool IsWaiting(const Request& aRequest);

  // Admission.
  Admission& AdmissionOf(const ServiceName& aService);
  void Enqueue(Request& aRequest, TimePoint aNow);
  void StartQueuedRequests(const ServiceName& aService, TimePoint aNow);
  bool LeavesSlotToOthers(Admission& aAdmission,
                          const ServiceRouter& aRouter,
                          const Request& aRequest,
                          TimePoint aNow);
  void RefuseHopeless(const ServiceName& aService, TimePoint aNow);
  QueueRates RatesOf(const ServiceName& aService, TimePoint aNow);
  // Retry delays for refused callers.
  Duration Jitter(Duration aSpan);
  Duration RetryAfterWait(Duration aWait);
  Duration EstimateWait(const ServiceName& aService, TimePoint aNow);
  Duration WaitForLimits(const LimitedCapacity& aCapacity,
                         const QueueRates& aRates) const;
  void ClaimOrStart(Request& aRequest,
                    const BackendServerId& aServer,
                    TimePoint aNow);

  // Claims.
  void StartClaim(Request& aRequest, TimePoint aNow);
  // Starts a request that holds its key on the server reserved for it, or
  // queues it again if the server began to name a limit meanwhile.
  void StartReserved(Request& aRequest, TimePoint aNow);
  void OnClaimResult(RequestId aRequest,
                     const wire::CommandResult* aResult,
                     TimePoint aNow);
  void GiveUpClaim(Request& aRequest, TimePoint aNow);
  void Fence(Request& aRequest, const FinalResponse& aResponse, TimePoint aNow);
  // aKeyIsFree: the ledger confirmed that no attempt holds the key or ran.
  void EndFence(Request& aRequest, bool aKeyIsFree, TimePoint aNow);
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
  // Returns false if the retry would start too late.
  bool DeferRetry(Request& aRequest, TimePoint aNow);
  void ReleaseDeferredRetries(TimePoint aNow);
  bool Requeue(Request& aRequest, TimePoint aNow);
  void RecordCrashEvidence(Request& aRequest,
                           const Attempt& aAttempt,
                           AttemptOutcome aOutcome,
                           TimePoint aNow);
  bool IsQuarantined(const Request& aRequest, TimePoint aNow) const;
  void RefuseQuarantined(Request& aRequest, TimePoint aNow);
  void FailRequest(Request& aRequest,
                   const AttemptEnd* aEnd,
                   const std::string& aReason,
                   Duration aRetryAfter,
                   TimePoint aNow);
  void CheckOverdue(TimePoint aNow);
  void OnOverdue(AttemptId aAttempt, TimePoint aNow);
  void Hedge(Request& aRequest, const Attempt& aLate, TimePoint aNow);
  // Extra attempts under the setting extra_attempts.
  TimePoint ExtraAttemptAt(const Request& aRequest, TimePoint aNow);
  TimePoint EndBy(const Request& aRequest) const;
  void CheckExtraAttempt(AttemptId aAttempt, TimePoint aNow);
  ExtraAttemptDecision TryExtraAttempt(Request& aRequest,
                                       const Attempt& aFirst,
                                       TimePoint aNow);
  void DenyExtraAttempt(Request& aRequest,
                        const Attempt& aFirst,
                        ExtraAttemptDecision aDecision,
                        TimePoint aNow);
  void AddExtraAttemptInputs(const Request& aRequest,
                             const Attempt& aFirst,
                             Event& aEvent,
                             TimePoint aNow);
  void CancelAttempts(Request& aRequest, TimePoint aNow);
  // The time at which a request gets its final response in whatever stage.
  TimePoint AnswerBy(const Request& aRequest) const;
  void CheckDeadlines(TimePoint aNow);
  void AnswerDue(Request& aRequest, TimePoint aNow);

  // Forwarding to other entry hosts while this one reaches no server.
  void RecordReachability(const Attempt& aAttempt,
                          AttemptOutcome aOutcome,
                          TimePoint aNow);
  void OnReachabilityChanged();
  std::vector<ProbeTarget> ProbeTargets() const;
  static int ServersLeft(const Request& aRequest);
  // Returns whether the request was sent to another entry host.
  bool Forward(Request& aRequest, TimePoint aNow);
  void ForwardOrRefuse(Request& aRequest, TimePoint aNow);
  bool MayForwardAgain(const Request& aRequest);
  void OnForwardEnd(Request& aRequest, const AttemptEnd& aEnd, TimePoint aNow);

  // Refuses a request that did not run. If it has an idempotency key and the
  // ledger has not confirmed that no earlier request with the key ran, the
  // caller gets the outcome unknown.
  void Refuse(Request& aRequest,
              CallerOutcome aOutcome,
              std::uint32_t aStatus,
              const std::string& aReason,
              std::optional<Duration> aRetryAfter,
              TimePoint aNow);
  // Refuses a request that may not end before the process is killed.
  void RefuseLeaving(Request& aRequest, TimePoint aNow);
  // Sends the final response and removes the request.
  void Respond(Request& aRequest,
               const FinalResponse& aResponse,
               TimePoint aNow);
  void RecordResponse(const Request& aRequest,
                      const FinalResponse& aResponse,
                      TimePoint aNow);

  // The entry hosts advertised to callers of a failure domain, best first.
  std::vector<const wire::HostRecord*> AdvertisedHosts(
    const Region& aRegion,
    const FailureDomain& aDomain) const;
  void AddLoad(const ServiceName& aService, Event& aEvent) const;
  // In whole milliseconds; "never" if empty.
  static std::string ToMillisText(const std::optional<Duration>& aSpan);
  void CreateComponents(Random& aRandom, TimePoint aNow);

  EntryOptions m_options;
  EntryHooks m_hooks;
  Random m_random;
  TimePoint m_now; // time of the current call
  Directory m_directory;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ListsFollower> m_lists;
  std::unique_ptr<CommandClient> m_claims;
  std::unique_ptr<ServicePlane> m_services;
  std::unique_ptr<PlanLimiter> m_limiter;
  std::unique_ptr<QuotaClient> m_quotas;
  std::unique_ptr<ServerReachability> m_reachability;
  std::unordered_map<RequestId, Request> m_requests;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  std::unordered_map<ServiceName, Admission> m_admissions;
  std::multimap<TimePoint, RequestId> m_deferredRetries; // by release time
  AttemptId m_nextAttempt{ 1 };
  std::uint64_t m_nextClaim = 1;
  // Round-robin credits of the services of each traffic split, by route name.
  std::unordered_map<std::string, std::map<std::string, double>> m_splitCredits;
  bool m_keyLeaseExpired = false; // recorded as an event
  std::uint64_t m_addressQueries = 0;
  DecayedCounts m_recentRequests;
  DecayedCounts m_newestRequests;
  bool m_receivesOutcomes = false;     // when the last request arrived
  std::uint64_t m_timelyResponses = 0; // selects the logged sample
  EntryCounters m_counters;
  ShutdownPlan m_shutdown;
  TimePoint m_addressResponsesExpireAt;
};

} // namespace fuchsiaramp

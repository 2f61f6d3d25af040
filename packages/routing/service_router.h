// Chooses backend servers of one service on one entry host, and counts the
// evidence that goes to the service's arbiter.
//
//   ServiceRouter router(options, random, record);
//   router.SetServer(server, now);
//   if (auto id = router.Choose({ true, {} }, now)) {
//     router.OnStarted(*id);
//     ...
//     router.OnFinished(*id, { AttemptOutcome::kSuccess, latency }, now);
//   }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/directory.h"
#include "routing/health_estimate.h"
#include "routing/latency_tracker.h"
#include "routing/outlier_detector.h"
#include "routing/retry_budget.h"
#include "wire/messages.h"

namespace fuchsiaramp {

enum class AttemptOutcome
{
  kSuccess,        // a whole answer that is no server error
  kServerError,    // a whole answer with a 5xx status
  kShed,           // the server refused for overload
  kNotRun,         // the server said that it did not run the request
  kOtherServer,    // another server has the address; it ran nothing
  kRefused,        // no connection could be made
  kNothingWritten, // the connection failed before a byte was written
  kBroken,         // the connection broke after bytes were written
  kTimeout,        // no whole answer in time
  kSilent,         // no byte in time on a reused connection
  kCancelled,      // given up for another reason
};

// "success", "server-error" and so on, for logs.
const char*
ToText(AttemptOutcome aOutcome);

struct RouterOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  RetryBudgetOptions retryBudget;
  std::size_t subsetSize = 32; // servers that one entry host uses
  // Chooses by beliefs that hosts share, instead of an arbiter's verdicts.
  bool usesHealthEstimates = false;
  // What it costs to leave the failure domain or the region, as a share of the
  // worth of a request; traffic between them is billed.
  double domainCost = 0.2;
  double regionCost = 0.25;
};

struct ChoiceRequest
{
  bool repeatable = true;
  std::set<BackendServerId> excluded; // tried before by this request
  // Stays in the failure domain while a server there is fit for use, even if
  // none has a free slot now.
  bool staysNear = false;
};

struct AttemptReport
{
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  Duration latency{};
  // Requests that the server said it is running; empty when it said nothing.
  std::optional<std::uint32_t> reportedLoad;
  bool countedAsSlow = false; // OnOverdue was called for the attempt
};

class ServiceRouter
{
public:
  ServiceRouter(RouterOptions aOptions, Random aRandom, EventHook aRecord);

  void SetServer(const BackendServer& aServer, TimePoint aNow);
  void RemoveServer(const BackendServerId& aServer);

  // A server with a free slot; empty when none is free now.
  std::optional<BackendServerId> Choose(const ChoiceRequest& aRequest,
                                        TimePoint aNow);
  // Whether the server answered well a request that this host sent after aTime.
  bool AnsweredSince(const BackendServerId& aServer, TimePoint aTime) const;
  // As far as this host's own requests go.
  bool HasFreeSlot(const BackendServerId& aServer) const;
  void OnStarted(const BackendServerId& aServer);
  void OnFinished(const BackendServerId& aServer,
                  const AttemptReport& aReport,
                  TimePoint aNow);
  // The attempt already takes longer than a slow answer.
  void OnOverdue(const BackendServerId& aServer, TimePoint aNow);
  // A broken connection turned out not to be the request's own fault.
  void RecordBrokenConnection(const BackendServerId& aServer);

  // Restrictions by the arbiter; they hold until aUntil.
  void SetRestrictions(const std::vector<ServerHealth>& aHealth,
                       std::uint32_t aReporters,
                       TimePoint aUntil);
  bool HasRestrictions(TimePoint aNow) const { return aNow < m_verdictUntil; }

  // An outcome that another host saw.
  void OnSharedOutcome(const BackendServerId& aServer,
                       std::uint64_t aIncarnation,
                       bool aSuccess,
                       TimePoint aNow);
  // What another host has outstanding; holds until it says otherwise or falls
  // silent.
  void SetPeerLoad(const HostId& aPeer,
                   const std::map<BackendServerId, std::uint32_t>& aLoad,
                   TimePoint aNow);
  void ExpirePeerLoads(TimePoint aNow);
  // What this host has outstanding at servers of its failure domain.
  std::map<BackendServerId, std::uint32_t> OwnLoad() const;
  // Counts since the last call.
  std::vector<ReportedCounts> TakeEvidence();
  // The outcomes since the last call that other hosts should know of.
  std::vector<ReportedCounts> TakeSharedOutcomes();
  bool HasSharedOutcomes() const { return !m_shared.empty(); }
  // The probability that a server is sick.
  double UnhealthyProbability(const BackendServerId& aServer,
                              TimePoint aNow) const;
  // When an outcome last moved that belief, if ever.
  std::optional<TimePoint> LastOutcomeAt(const BackendServerId& aServer) const;
  bool HasEvidence() const { return m_hasEvidence; }
  // Bad outcomes since the last call: the report should not wait.
  bool HasBadEvidence() const { return m_hasBadEvidence; }

  std::vector<MonitoredServer> MonitoredServers() const;
  // From when on an answer of the server counts as slow.
  Duration SlowThreshold(const BackendServerId& aServer) const;
  Duration LatencyQuantile(double aShare) const
  {
    return m_latency.Quantile(aShare);
  }
  RetryBudget& Retries() { return m_retries; }
  bool HasServers() const { return !m_servers.empty(); }
  std::uint64_t TotalSlots() const;
  std::uint64_t Outstanding() const { return m_outstanding; }
  const BackendServer* Find(const BackendServerId& aServer) const;
  // What this host holds against a server; null when it is in full use.
  const ServerHealth* RestrictionOf(const BackendServerId& aServer) const;

private:
  struct ServerView
  {
    BackendServer server;
    TimePoint firstSeen;
    bool inSubset = true;
    std::uint32_t outstanding = 0;
    std::uint32_t peersOutstanding = 0; // of hosts that share their load
    TimePoint answeredStart;            // start of the newest good attempt
    double failureRate = 0.0;           // smoothed, this host's own requests
    double othersLoad = 0.0; // requests of other hosts, from reported load
    TimePoint othersLoadAt;
    TimePoint avoidUntil;
    bool broken = false;              // since the last report
    std::optional<TimePoint> trialAt; // empty until a trial has begun
    std::optional<ServerHealth> restriction;
    OutcomeCounts counts;
    HealthEstimate belief;              // of the server, shared
    HealthEstimate path{ kPathBelief }; // of this host's way to it
  };

  bool IsEligible(ServerView& aView,
                  const ChoiceRequest& aRequest,
                  TimePoint aNow);
  std::optional<BackendServerId> ChooseByBelief(const ChoiceRequest& aRequest,
                                                TimePoint aNow);
  void CountPeerLoad();
  bool HasFitServerNear(const ChoiceRequest& aRequest, TimePoint aNow) const;
  double Cost(const ServerView& aView, TimePoint aNow) const;
  void Believe(ServerView& aView, const AttemptReport& aReport, TimePoint aNow);
  void Learn(ServerView& aView, const AttemptReport& aReport, TimePoint aNow);
  void Share(const ServerView& aView, bool aSuccess);
  std::optional<BackendServerId> ChooseTrial(const ChoiceRequest& aRequest,
                                             TimePoint aNow);
  ServerView* BestOfTwo(const std::vector<ServerView*>& aViews, TimePoint aNow);
  double Load(const ServerView& aView, TimePoint aNow) const;
  double Score(const ServerView& aView, TimePoint aNow) const;
  void CountFailure(ServerView& aView);
  void UpdateSubset();

  RouterOptions m_options;
  Random m_random;
  EventHook m_record;
  std::unordered_map<BackendServerId, ServerView> m_servers;
  LatencyTracker m_latency; // all servers
  // Answers from far away take longer without their server being slow.
  std::map<Region, LatencyTracker> m_latencyByRegion;
  RetryBudget m_retries;
  std::uint64_t m_outstanding = 0;
  std::unordered_map<BackendServerId, ReportedCounts> m_shared;
  struct PeerLoad
  {
    TimePoint heardAt;
    std::map<BackendServerId, std::uint32_t> outstanding;
  };
  std::map<HostId, PeerLoad> m_peers;
  std::uint32_t m_reporters = 1;
  TimePoint m_verdictUntil;
  bool m_hasEvidence = false;
  bool m_hasBadEvidence = false;
};

} // namespace fuchsiaramp

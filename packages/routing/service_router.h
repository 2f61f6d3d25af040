// Selects backend servers of one service on one entry host, and counts the
// outcomes that are reported to the service's arbiter.
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
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/request_rate.h"
#include "base/time.h"
#include "membership/directory.h"
#include "routing/health_estimate.h"
#include "routing/host_cells.h"
#include "routing/latency_tracker.h"
#include "routing/outlier_detector.h"
#include "routing/overflow_limit.h"
#include "routing/retry_budget.h"
#include "routing/scaled_overflow_limit.h"
#include "routing/server_limit.h"
#include "wire/messages.h"

namespace fuchsiaramp {

enum class AttemptOutcome
{
  kSuccess,        // a complete response that is not a server error
  kServerError,    // a complete response with a 5xx status
  kShed,           // the server rejected the request because of overload
  kNotRun,         // the server reported that it did not run the request
  kOtherServer,    // another server has the address and did not run it
  kRefused,        // no connection could be established
  kNothingWritten, // the connection failed before a byte was written
  kBroken,         // the connection broke after bytes were written
  kTimeout,        // no complete response in time
  kSilent,         // a reused connection brought no response to the request
  kCancelled,      // cancelled for another reason
};

// Returns the name used in logs, such as "success" or "server-error".
const char*
ToText(AttemptOutcome aOutcome);

struct RouterOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  RetryBudgetOptions retryBudget;
  // Maximum number of servers per entry host, besides those of a cell that is
  // larger.
  std::size_t subsetSize = 32;
  // Selects servers by health estimates that hosts share, instead of the
  // ejection decisions of an arbiter.
  bool usesHealthEstimates = false;
  // Cost of leaving the failure domain or the region, as a share of the value
  // of a request. Traffic between them is billed.
  double domainCost = 0.2;
  double regionCost = 0.25;
  // The entry hosts that may share the limit of a server, used without health
  // estimates; with them, the hosts of the server's cell do. If unset, this
  // host is the only one.
  std::function<std::vector<HostId>(const BackendServer&)> limitHosts;
};

// A server began or ended to name a limit, or confirms it; sent to other hosts.
struct LimitReport
{
  BackendServerId server;
  std::uint64_t incarnation = 0;
  std::optional<RequestRate> rate; // empty: the limit ended
};

// What this host may send while all servers that it may use are limited.
struct LimitedCapacity
{
  RequestRate ownRate;
  RequestRate totalRate; // of all hosts
  TimePoint nextAt;      // when this host may send next
};

struct ChoiceRequest
{
  bool repeatable = true;
  std::set<BackendServerId> excluded; // already tried by this request
  // Selects only servers in this host's failure domain while one of them is
  // healthy, even if none has a free slot now.
  bool staysInDomain = false;
};

struct AttemptReport
{
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  Duration latency{};
  // Number of running requests reported by the server, if it reported one.
  std::optional<std::uint32_t> reportedLoad;
  bool countedAsSlow = false; // OnOverdue was called for the attempt
  // For how long the server wants no requests from this host, if it says so.
  std::optional<Duration> retryAfter;
  // Empty unless the server itself sent a response whose notice is valid.
  std::optional<LimitNotice> limitNotice;
};

class ServiceRouter
{
public:
  ServiceRouter(RouterOptions aOptions, Random aRandom, EventHook aRecord);

  void SetServer(const BackendServer& aServer, TimePoint aNow);
  void RemoveServer(const BackendServerId& aServer);

  // Selects a server with a free slot. Returns nothing if there is none now.
  std::optional<BackendServerId> Choose(const ChoiceRequest& aRequest,
                                        TimePoint aNow);
  // Whether a request that this host sent to the server after aTime succeeded.
  bool AnsweredSince(const BackendServerId& aServer, TimePoint aTime) const;
  // Whether the server takes requests now and has a free slot, considering only
  // this host's requests.
  bool IsAvailable(const BackendServerId& aServer, TimePoint aNow) const;
  void OnStarted(const BackendServerId& aServer, TimePoint aNow);
  // Whether the server began to name a limit after a slot was reserved at
  // aReservedAt, so that the reservation did not count towards the limit.
  bool WasLimitedSince(const BackendServerId& aServer,
                       TimePoint aReservedAt,
                       TimePoint aNow) const;
  void OnFinished(const BackendServerId& aServer,
                  const AttemptReport& aReport,
                  TimePoint aNow);
  // Records that a running attempt has exceeded the threshold for slow
  // responses.
  void OnOverdue(const BackendServerId& aServer, TimePoint aNow);
  // Records a broken connection that was not caused by the request itself.
  void RecordBrokenConnection(const BackendServerId& aServer);

  // Sets the restrictions decided by the arbiter. They are valid until aUntil.
  void SetRestrictions(const std::vector<ServerHealth>& aHealth,
                       std::uint32_t aReporters,
                       TimePoint aUntil);
  bool HasRestrictions(TimePoint aNow) const
  {
    return aNow < m_restrictionsUntil;
  }

  // Applies an outcome that another host observed.
  void OnSharedOutcome(const BackendServerId& aServer,
                       std::uint64_t aIncarnation,
                       bool aSuccess,
                       TimePoint aNow);
  // Sets the outstanding requests of another host per server, and those that
  // wait there in time, by priority. They are valid until its next update, or
  // until it stops sending updates.
  void SetPeerLoad(const HostId& aPeer,
                   const std::map<BackendServerId, std::uint32_t>& aLoad,
                   const std::map<std::uint32_t, std::uint32_t>& aWaiting,
                   TimePoint aNow);
  // The requests that wait at other hosts of the cell, by priority.
  std::map<std::uint32_t, std::uint32_t> WaitingAtPeers() const;
  // The slots of the cell that are free as far as this host knows, of servers
  // to which requests may go now.
  std::uint32_t FreeSlotsOfCell(TimePoint aNow) const;
  void ExpirePeerLoads(TimePoint aNow);
  // Forgets what requests showed about the paths from this host to servers.
  void ForgetPaths();
  // Outstanding requests of this host per server of its cell.
  std::map<BackendServerId, std::uint32_t> OwnLoad() const;
  // The servers in this host's failure domain that are up.
  std::vector<BackendServerId> ServersInDomain() const;
  // Sets the cell of this host in its failure domain. Until then, all servers
  // of the domain are in it.
  void SetCell(Cell aCell);
  const Cell& CurrentCell() const { return m_cell; }
  // Returns and resets the counts since the last call.
  std::vector<ReportedCounts> TakeEvidence();
  // Returns and resets the outcomes that are to be shared with other hosts.
  std::vector<ReportedCounts> TakeSharedOutcomes();
  bool HasSharedOutcomes() const { return !m_sharedOutcomes.empty(); }
  // Another host reports what a server says of its limit.
  void OnLimitReport(const LimitReport& aReport, TimePoint aNow);
  // Returns and resets the reports that are due to other hosts.
  std::vector<LimitReport> TakeLimitReports();
  // The hosts that may share limits changed.
  void LimitHostsChanged() { ++m_limitHostsVersion; }
  // Empty unless all servers that this host may use now are limited.
  std::optional<LimitedCapacity> CapacityIfAllLimited(TimePoint aNow) const;
  std::size_t LimitedServers(TimePoint aNow) const;
  // The probability that a server is unhealthy.
  double UnhealthyProbability(const BackendServerId& aServer,
                              TimePoint aNow) const;
  // Time of the last outcome that changed the server's health estimate, if any.
  std::optional<TimePoint> LastOutcomeAt(const BackendServerId& aServer) const;
  bool HasEvidence() const { return m_hasEvidence; }
  // Whether there were bad outcomes since the last TakeEvidence; the report
  // should then be sent without delay.
  bool HasBadEvidence() const { return m_hasBadEvidence; }

  std::vector<MonitoredServer> MonitoredServers() const;
  // Latency above which a response of the server counts as slow.
  Duration SlowThreshold(const BackendServerId& aServer) const;
  Duration LatencyQuantile(double aShare) const
  {
    return m_latency.Quantile(aShare);
  }
  RetryBudget& Retries() { return m_retries; }
  // Whether the hosts of the cell order the requests that wait at all of them,
  // so that what this host places elsewhere must not fill the queues there.
  void SetOrdersOverCell(bool aOrders) { m_ordersOverCell = aOrders; }
  // Whether the service may get requests that may run only once.
  void SetHasOnceOnly(bool aHasOnceOnly) { m_hasOnceOnly = aHasOnceOnly; }
  bool HasServers() const { return !m_servers.empty(); }
  std::uint64_t TotalSlots() const;
  // Share of the slots of the usable servers that are busy, of those whose load
  // this host knows: the servers of its cell, or all if the cell has none. 1 if
  // no server is usable.
  double BusyShare(TimePoint aNow) const;
  // How many requests this host can have running now: its share of the cell, or
  // what it uses if that is more, and what it may use outside.
  double Concurrency(TimePoint aNow) const;
  std::uint64_t Outstanding() const { return m_outstanding; }
  const BackendServer* Find(const BackendServerId& aServer) const;
  // The restriction on a server; null if it is in full use.
  const ServerHealth* RestrictionOf(const BackendServerId& aServer) const;

private:
  struct ServerView
  {
    BackendServer server;
    TimePoint firstSeen;
    bool inSubset = true;
    bool inCell = true;
    std::uint32_t outstanding = 0;
    std::uint32_t peerOutstanding = 0; // of hosts that report their load
    TimePoint lastSuccessStart;        // start of the newest successful attempt
    double failureRate = 0.0;          // smoothed, of this host's requests
    // Requests of other hosts, derived from reported load.
    double otherHostsLoad = 0.0;
    TimePoint otherHostsLoadAt;
    TimePoint avoidUntil;
    TimePoint freedAt; // when an attempt of this host ended
    // Its free slots are left to other hosts until then, counted from the last
    // change of the slots taken.
    TimePoint leftUntil;
    std::optional<std::uint32_t> takenWhenLeft;
    bool broken = false; // a connection broke since the last report
    // Earliest time of the next trial request; empty before the first one.
    std::optional<TimePoint> trialAt;
    std::optional<ServerHealth> restriction;
    ServerLimit limit;
    std::uint64_t limitHostsVersion = 0; // for which limit has this host's rank
    TimePoint nextLimitReportAt;
    OutcomeCounts counts;
    // Estimate for the server, from the outcomes of this and other hosts.
    HealthEstimate health;
    // Estimate for the path from this host, from its own outcomes only.
    HealthEstimate path{ kPathHealthOptions };
  };

  bool IsEligible(ServerView& aView,
                  const ChoiceRequest& aRequest,
                  TimePoint aNow);
  std::optional<BackendServerId> ChooseByHealth(const ChoiceRequest& aRequest,
                                                TimePoint aNow);
  void AddPeerLoad(const std::map<BackendServerId, std::uint32_t>& aLoad,
                   bool aAdd);
  bool IsInDomain(const ServerView& aView) const;
  // The slots of this host's cell, and what it has outstanding there and
  // outside.
  struct CellUsage
  {
    std::size_t slots = 0;
    std::size_t usableSlots = 0; // of servers that are healthy and not limited
    // Slots that this host's shares of limits keep busy.
    double limitedSlots = 0.0;
    std::size_t inside = 0;
    std::size_t outside = 0;
  };
  CellUsage UsageOfCell(TimePoint aNow) const;
  // Whether the server's free slots are left to other hosts of the cell.
  bool IsClaimedByPeer(ServerView& aView, TimePoint aNow) const;
  // Whether responses from the cell contain no wait at servers.
  bool HasRoomInCell(TimePoint aNow) const;
  std::size_t LimitOutsideCell(const CellUsage& aUsage) const;
  double BaseOutsideCell(const CellUsage& aUsage) const;
  // Whether this host may place a further request outside its cell.
  bool AdmitsOutsideCell(const CellUsage& aUsage, TimePoint aNow) const;
  bool HasHealthyServerInDomain(const ChoiceRequest& aRequest,
                                TimePoint aNow) const;
  static double UnhealthyProbability(const ServerView& aView, TimePoint aNow);
  double ExpectedCost(const ServerView& aView, TimePoint aNow) const;
  void RecordOutcome(ServerView& aView,
                     const AttemptReport& aReport,
                     TimePoint aNow);
  void UpdateOverflowLimit(const ServerView& aView,
                           const AttemptReport& aReport,
                           TimePoint aNow);
  void UpdateScaledOverflowLimit(const ServerView& aView,
                                 const AttemptReport& aReport,
                                 TimePoint aNow);
  void ApplyOutcome(ServerView& aView,
                    const AttemptReport& aReport,
                    TimePoint aNow);
  void QueueSharedOutcome(const ServerView& aView, bool aSuccess);
  std::optional<BackendServerId> ChooseTrial(const ChoiceRequest& aRequest,
                                             TimePoint aNow);
  ServerView* BestOfTwo(const std::vector<ServerView*>& aViews, TimePoint aNow);
  double Load(const ServerView& aView, TimePoint aNow) const;
  double Score(const ServerView& aView, TimePoint aNow) const;
  void RecordFailure(ServerView& aView);
  void OnLimitNotice(ServerView& aView,
                     const AttemptReport& aReport,
                     TimePoint aNow);
  void OnLimitChanged(ServerView& aView,
                      const LimitReport& aReport,
                      const char* aSource,
                      TimePoint aNow);
  void UpdateLimitRank(ServerView& aView, TimePoint aNow);
  std::vector<HostId> LimitHosts(const ServerView& aView) const;
  bool IsUsable(const ServerView& aView, TimePoint aNow) const;
  void UpdateSubset();
  void SelectSubset();

  RouterOptions m_options;
  Random m_random;
  EventHook m_record;
  std::unordered_map<BackendServerId, ServerView> m_servers;
  std::vector<ServerView*> m_subset; // the servers of m_servers in use
  bool m_subsetIsStale = false;
  Cell m_cell;
  bool m_hasCell = false;
  OverflowLimit m_overflowLimit;
  ScaledOverflowLimit m_scaledOverflowLimit; // used if m_ordersOverCell
  LatencyTracker m_latency;                  // all servers
  // Latency is tracked per region, since responses from other regions take
  // longer although their servers are not slow.
  std::map<Region, LatencyTracker> m_latencyByRegion;
  // Of responses from the cell while it has free slots.
  LatencyTracker m_latencyWithRoom;
  RetryBudget m_retries;
  bool m_hasOnceOnly = true;
  bool m_ordersOverCell = false;
  std::uint64_t m_outstanding = 0;
  std::unordered_map<BackendServerId, ReportedCounts> m_sharedOutcomes;
  std::unordered_map<BackendServerId, LimitReport> m_limitReports;
  std::uint64_t m_limitHostsVersion = 1;
  struct PeerLoad
  {
    TimePoint receivedAt;
    std::map<BackendServerId, std::uint32_t> outstanding;
    std::map<std::uint32_t, std::uint32_t> waiting; // by priority
  };
  std::map<HostId, PeerLoad> m_peers;
  std::uint32_t m_reporters = 1;
  TimePoint m_restrictionsUntil;
  bool m_hasEvidence = false;
  bool m_hasBadEvidence = false;
};

} // namespace fuchsiaramp

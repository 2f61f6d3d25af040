// Plays a load on many entry hosts before many backend servers, with the
// production decision logic of the entry hosts and in simulated time, and
// counts what callers get.
//
// Servers have a few slots and a short queue. A share of them is faulty at any
// time: a faulty server fails most of its requests at once. Callers pick a host
// at random. Host and server views are complete from the start, so that the
// result shows placement, queueing and refusing alone. A test may let servers
// name limits and disturb hosts at chosen times. By default there is one kind
// of requests for one service; LoadOptions::services and kinds name others.
// Callers that are refused do not come back.
//
//   LoadModel model(options);
//   model.At(std::chrono::seconds(2), [&] { model.PauseHost(3, span); });
//   LoadResult result = model.Run(std::chrono::seconds(10));
//   double inTime = result.inTime / result.requests;
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "entry/entry_node.h"
#include "testing/event_queue.h"
#include "testing/fake_network.h"
#include "testing/fake_server.h"

namespace fuchsiaramp {

// Settings of entry hosts that share outcomes and load.
RoutingSettings
SharedOutcomesRouting();

// A service with servers of its own, beside those of LoadOptions.
struct ServiceOfLoad
{
  std::string name;
  std::size_t servers = 0;
};

// Requests that have a route of their own.
struct KindOfLoad
{
  std::string name;
  std::string service;
  std::uint32_t priority = 0; // the highest is the most urgent
  Duration objective = std::chrono::milliseconds(800);
  double worth = 1.0; // of a request that is served in time
  double load = 0.0;  // share of the capacity of the service's slots
  double repeatableShare = 0.3;
  double burstFactor = 1.0; // of the load, between burstFrom and burstUntil
};

struct LoadOptions
{
  std::uint64_t seed = 1;
  std::size_t regions = 3;
  std::size_t domainsPerRegion = 2;
  std::size_t hosts = 130;
  std::size_t servers = 246;
  std::uint32_t slots = 2;
  std::uint32_t serverQueue = 8;
  double load = 0.5; // share of the capacity of all slots
  double meanServiceSeconds = 0.15;
  double repeatableShare = 0.3;
  double faultyShare = 0.0; // of the servers at any time
  double shedRate = 0.0;    // share of requests that all servers reject
  Duration objective = std::chrono::milliseconds(800);
  Duration timeout = std::chrono::milliseconds(2500);
  Duration callerTimeout = std::chrono::seconds(4);
  RoutingSettings routing = SharedOutcomesRouting();
  // If set, they replace `servers`, and `load`, `repeatableShare` and
  // `objective` respectively.
  // Teams compete for the servers, so that the hosts of a cell order the
  // requests that wait at all of them.
  bool hasTeams = false;
  std::vector<ServiceOfLoad> services;
  std::vector<KindOfLoad> kinds;
  // Counted from the end of the warm-up.
  Duration burstFrom{};
  Duration burstUntil{};
};

constexpr Duration kLoadStep = std::chrono::milliseconds(500);

struct KindResult
{
  double requests = 0.0;
  double inTime = 0.0;
  double late = 0.0;
  double refused = 0.0;
  double failed = 0.0;
  // Requests and those served in time, by the time of arrival in steps of
  // kLoadStep.
  std::vector<double> requestsByStep;
  std::vector<double> inTimeByStep;

  // The share served in time of the requests that arrived from aFrom to aUntil.
  double InTimeShare(Duration aFrom, Duration aUntil) const;
};

struct LoadResult
{
  double requests = 0.0;
  double inTime = 0.0;
  double late = 0.0;
  double refused = 0.0;             // not run
  double failed = 0.0;              // outcome unknown, or an error of a server
  double refusedAfterSeconds = 0.0; // sum over refused requests
  double retryAfterSeconds = 0.0;   // the same, of what callers are told
  double attempts = 0.0;
  double shed = 0.0;     // attempts that a server rejected
  double queued = 0.0;   // attempts that found all slots of a server taken
  double messages = 0.0; // between entry hosts
  double messageBytes = 0.0;
  double worth = 0.0;            // of the requests served in time
  std::vector<KindResult> kinds; // in the order of LoadOptions::kinds
};

// A burst of one kind for each of two services while some servers are faulty:
// "report" in "small", which has fewer slots than there are hosts and which the
// most urgent kind uses as well, and "page" in "large".
LoadOptions
CompetitionLoad(double aBurstFactor, double aFaultyShare);

// What one shared queue before all servers would serve in time, if it knew the
// service time of each request in advance and rejected those that would be
// late.
double
IdealInTimeShare(const LoadOptions& aOptions, Duration aSpan);

class LoadModel
{
public:
  explicit LoadModel(const LoadOptions& aOptions);

  // Plays aSpan after a warm-up, of which nothing is counted.
  LoadResult Run(Duration aSpan);

  // Calls aAction at a time after the start of the callers. Call it before Run.
  void At(Duration aAfterStart, std::function<void()> aAction);
  TimePoint Now() const { return m_queue.Now(); }
  // The server names the limit in its responses from now on, or none.
  void SetLimit(std::size_t aServer, std::optional<RequestRate> aLimit);
  // The host does nothing for aSpan, and then handles what has arrived.
  void PauseHost(std::size_t aHost, Duration aSpan);
  // The host loses its state and its requests, and starts again after aSpan.
  void RestartHost(std::size_t aHost, Duration aSpan);
  // All hosts restart, and control with them, which has no leader and gives no
  // lists until aLeaderAfter.
  void LosePower(Duration aSpan, Duration aLeaderAfter);
  // The host exchanges no messages with other hosts for aSpan. Callers and
  // servers still reach it.
  void IsolateHost(std::size_t aHost, Duration aSpan);

  // A request that reached a server.
  struct Arrival
  {
    TimePoint at;
    std::size_t host = 0;
  };
  const std::vector<Arrival>& ArrivalsAt(std::size_t aServer) const
  {
    return m_arrivals[aServer];
  }
  std::size_t DomainOfServer(std::size_t aServer) const
  {
    return aServer % DomainCount();
  }

private:
  struct Host
  {
    HostId id;
    std::size_t domain = 0;
    std::unique_ptr<EntryNode> node;
    std::uint64_t incarnation = 1;
    int viewsSent = 0; // of the entry hosts
    TimePoint pausedUntil;
    TimePoint isolatedUntil;
    bool down = false;
    bool absent = false; // control has no report of it
  };
  struct Pending
  {
    TimePoint startedAt;
    std::size_t host = 0;
    std::size_t kind = 0;
    bool counted = false;
  };
  struct Attempt
  {
    std::size_t server = 0;
    std::uint64_t serverRequest = 0;
  };

  std::size_t DomainCount() const
  {
    return m_options.regions * m_options.domainsPerRegion;
  }
  bool IsIsolated(std::size_t aHost) const
  {
    return !IsDue(m_hosts[aHost].isolatedUntil, m_queue.Now());
  }
  // Calls aAction now, or when the host's pause ends; not at all if the host
  // restarts before.
  void RunOnHost(std::size_t aHost, std::function<void()> aAction);
  void CreateNode(std::size_t aHost);
  void SetAbsent(std::size_t aHost, bool aAbsent);
  Region RegionOf(std::size_t aDomain) const;
  FailureDomain DomainOf(std::size_t aDomain) const;
  void AddServers();
  void AddHosts();
  EntryHooks HooksOf(std::size_t aHost);
  void SetDefaults();
  double ArrivalRate(const KindOfLoad& aKind) const;
  // Requests per second of a kind at this time.
  double CurrentRate(const KindOfLoad& aKind) const;
  void ScheduleArrival(std::size_t aKind);
  void ScheduleTick();
  void ScheduleFault(std::size_t aServer);
  void SetFaulty(std::size_t aServer, bool aFaulty);
  void SendRequest(std::size_t aKind);
  ConnectionKind StartAttempt(std::size_t aHost, const AttemptStart& aStart);
  void OnServerResponse(std::size_t aHost,
                        AttemptId aAttempt,
                        FakeResponse aResponse);
  void OnResponse(const FinalResponse& aResponse);
  void OnControlMessage(std::size_t aHost, const wire::Envelope& aMessage);
  wire::ListsPush MakePush(std::size_t aHost, const wire::ListsPull& aPull);
  void Deliver(std::size_t aHost,
               const HostId& aFrom,
               wire::Envelope aMessage,
               Duration aDelay);
  Duration Delay(std::size_t aFromDomain, std::size_t aToDomain) const;

  LoadOptions m_options;
  Random m_random;
  EventQueue m_queue;
  std::vector<std::unique_ptr<FakeServer>> m_servers;
  std::vector<std::string> m_serviceOfServer;
  std::unordered_map<BackendServerId, std::size_t> m_serverIndex;
  std::vector<std::vector<Arrival>> m_arrivals; // by server
  std::multimap<Duration, std::function<void()>> m_actions;
  std::vector<Host> m_hosts;
  TimePoint m_leaderlessUntil;
  std::unordered_map<HostId, std::size_t> m_hostIndex;
  std::unordered_map<RequestId, Pending> m_pending;
  std::map<std::pair<std::size_t, AttemptId>, Attempt> m_attempts;
  std::uint64_t m_nextRequest = 1;
  std::uint64_t m_nextServerRequest = 1;
  TimePoint m_countingFrom;
  bool m_counting = false;
  LoadResult m_result;
};

} // namespace fuchsiaramp

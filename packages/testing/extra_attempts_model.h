// Entry hosts before backend servers some of whose responses take much longer,
// in simulated time, with the production decision logic of the entry hosts.
// Shows what second attempts bring and cost.
//
//   ExtraAttemptsModel model(options);
//   ExtraAttemptsResult result = model.Run(std::chrono::seconds(30));
//   double p99 = result.Quantile(0.99);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "entry/entry_node.h"
#include "testing/event_queue.h"

namespace fuchsiaramp {

struct ExtraAttemptsModelOptions
{
  std::uint64_t seed = 1;
  std::size_t domains = 2; // failure domains of one region
  std::size_t hosts = 24;
  std::size_t servers = 60;
  std::uint32_t slots = 3;
  std::uint32_t serverQueue = 12;
  double load = 0.25; // share of the capacity of all slots
  double meanServiceSeconds = 0.12;
  double tailShare = 0.03; // of the requests
  double tailFactor = 7.0; // by which their service takes longer
  double repeatableShare = 0.8;
  Duration objective = std::chrono::milliseconds(600);
  Duration callerTimeout = std::chrono::seconds(4);
  std::optional<double> share; // of extra attempts; unset: the setting is unset
  double retrySlack = 64.0;    // of all hosts together
  // Servers stop running a request that is cancelled. Many do not notice it.
  bool stopsCancelled = true;
  // Hosts neither send nor receive messages of other hosts.
  bool isPartitioned = false;
};

struct ExtraAttemptsResult
{
  double requests = 0.0;
  double inTime = 0.0;
  double refused = 0.0;
  double failed = 0.0;
  double hedges = 0.0;
  double onceOnlyRuns = 0.0; // runs of requests that run once at most
  double onceOnlyRequests = 0.0;
  double busySeconds = 0.0;      // of all slots
  std::vector<double> latencies; // in seconds, of the requests with a response
  EntryCounters counters;        // of all hosts
  // The largest number of extra attempts in any 10 s beyond the share of the
  // requests in the same 10 s; negative if there was room at all times.
  double maxAboveLimit = 0.0;
  double sameServer = 0.0;  // requests with both attempts on one server
  double otherDomain = 0.0; // extra attempts outside the domain of their host
  std::map<std::string, int> events; // logged, by name

  double Quantile(double aShare) const;
};

class ExtraAttemptsModel
{
public:
  explicit ExtraAttemptsModel(const ExtraAttemptsModelOptions& aOptions);

  // Plays aSpan after a warm-up, of which nothing is counted.
  ExtraAttemptsResult Run(Duration aSpan);

private:
  struct Running
  {
    std::size_t host = 0;
    AttemptId attempt;
    TimePoint startedAt;
  };
  struct Server
  {
    std::map<std::uint64_t, Running> running;
    std::deque<std::pair<std::uint64_t, Running>> queued;
  };
  struct Pending
  {
    TimePoint startedAt;
    bool repeatable = true;
    bool counted = false;
    std::set<std::size_t> servers;
  };

  void CreateNode(std::size_t aHost);
  EntryHooks HooksOf(std::size_t aHost);
  void SendMessage(std::size_t aFrom,
                   const HostId& aTo,
                   const wire::Envelope& aMessage);
  wire::ListsPush MakePush(const wire::ListsPull& aPull);
  void Tick();
  void ScheduleArrival();
  void SendRequest();
  ConnectionKind StartAttempt(std::size_t aHost, const AttemptStart& aStart);
  void Arrive(std::size_t aServer, std::uint64_t aRun, const Running& aRunning);
  void StartRun(std::size_t aServer,
                std::uint64_t aRun,
                const Running& aRunning);
  void EndRun(std::size_t aServer, std::uint64_t aRun);
  void StartQueued(std::size_t aServer);
  void CancelAttempt(std::size_t aHost, AttemptId aAttempt);
  void EndAttempt(const Running& aRunning, AttemptOutcome aOutcome);
  void OnResponse(const FinalResponse& aResponse);
  void RecordEvent(std::size_t aHost, const Event& aEvent);
  void CountAboveLimit();
  EntryCounters SumOfCounters() const;
  FailureDomain DomainOf(std::size_t aIndex) const;

  ExtraAttemptsModelOptions m_options;
  Random m_random;
  EventQueue m_queue;
  std::vector<std::unique_ptr<EntryNode>> m_nodes;
  std::vector<int> m_viewsSent; // of the entry hosts, by host
  std::vector<Server> m_servers;
  std::map<std::pair<std::size_t, AttemptId>,
           std::pair<std::size_t, std::uint64_t>>
    m_runs; // server and run by host and attempt
  std::unordered_map<RequestId, Pending> m_pending;
  std::deque<TimePoint> m_recentRequests;
  std::deque<TimePoint> m_recentExtraAttempts;
  std::uint64_t m_nextRequest = 1;
  std::uint64_t m_nextRun = 1;
  bool m_counting = false;
  ExtraAttemptsResult m_result;
};

} // namespace fuchsiaramp

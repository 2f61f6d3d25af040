// Simulates entry hosts, fake backend servers and callers in one event queue,
// for seeded runs of the production decision logic.
//
// A fake control host confirms the lists and applies ledger commands to one
// GroupState, with a delay. A DriverFactory can replace the entry hosts by
// another policy.
//
//   EntryFleet fleet(AdzoaProfile(), FleetOptions{ seed });
//   fleet.Start();
//   fleet.Run(std::chrono::seconds(20));
//   fleet.Server(3).SetFaults({ 1.0 });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "entry/entry_node.h"
#include "state/group_state.h"
#include "testing/event_queue.h"
#include "testing/fake_network.h"
#include "testing/fake_server.h"

namespace fuchsiaramp {

// One service in one customer's deployment.
struct Deployment
{
  std::string name;
  std::size_t servers = 24;
  std::uint32_t slots = 2;
  std::size_t entryHosts = 30;
  std::size_t regions = 3;
  std::size_t domainsPerRegion = 2;
  Duration domainDelay = std::chrono::microseconds(500); // one way
  Duration regionDelay = std::chrono::milliseconds(20);  // one way
  double meanServiceSeconds = 0.025;
  RoutingSettings routing;
};

Deployment
AdzoaProfile();
Deployment
CalculosCalc();

// The entry-host functions that the fleet calls.
struct EntryDriver
{
  std::function<void(const RequestHead&, TimePoint)> onRequest;
  std::function<void(const AttemptEnd&, TimePoint)> onAttemptEnd;
  std::function<void(const HostId&, const wire::Envelope&, TimePoint)>
    onMessage;
  std::function<void(const wire::BackendServerRecord&, TimePoint)>
    onAnnouncement;
  std::function<void(ProbeId, bool, TimePoint)> onProbeEnd;
  std::function<void(RequestId, TimePoint)> onCallerDisconnected;
  std::function<void(TimePoint)> leave;
  std::function<void(TimePoint)> tick;
  // Returns whether the host sends no regular requests to the server.
  std::function<bool(const BackendServerId&)> isRestricted;
  std::shared_ptr<void> owner;
};

using DriverFactory = std::function<
  EntryDriver(const EntryOptions&, const EntryHooks&, Random, TimePoint)>;

// Creates the production EntryNode.
EntryDriver
MakeEntryNode(const EntryOptions& aOptions,
              const EntryHooks& aHooks,
              Random aRandom,
              TimePoint aNow);

struct FleetOptions
{
  std::uint64_t seed = 1;
  DriverFactory factory = MakeEntryNode;
  double load = 0.5;        // share of the capacity of all slots
  double keyedShare = 0.05; // share of requests with an idempotency key
  double poisonRate = 0.0;  // poison requests per second; callers resend them
  // A crash closes reused connections without a sign that the request ran.
  bool crashesAreSilent = false;
  double openShare = 0.0;           // share of requests of open routes
  double giveUpShare = 0.0;         // share of callers that disconnect early
  std::size_t queueCapacity = 1000; // of each entry host
  GracePeriod gracePeriod = Settings().gracePeriod;
};

// One finished request.
struct RequestResult
{
  std::size_t host = 0; // that the caller used
  CallerOutcome outcome = CallerOutcome::kNotRun;
  std::uint32_t status = 0;
  Duration latency{};
  // Latency minus the service time of the last attempt that ended.
  Duration addedLatency{};
  bool keyed = false;
  bool poison = false;
  std::string key;
};

class EntryFleet
{
public:
  EntryFleet(Deployment aDeployment, FleetOptions aOptions);

  // Starts the hosts, the announcements and the callers.
  void Start();
  void Run(Duration aSpan);

  EventQueue& Queue() { return m_queue; }
  FakeNetwork<wire::Envelope>& Network() { return m_network; }
  FakeServer& Server(std::size_t aIndex) { return *m_servers[aIndex]; }
  std::size_t ServerCount() const { return m_servers.size(); }
  HostId Host(std::size_t aIndex) const { return m_hosts[aIndex].id; }
  std::size_t HostCount() const { return m_hosts.size(); }
  Region RegionOfHost(std::size_t aIndex) const;

  void SetLoad(double aLoad) { m_options.load = aLoad; }
  void SetPoison(double aRate) { m_options.poisonRate = aRate; }
  // Drops the requests of the host to the server from now on.
  void CutPath(std::size_t aHost, std::size_t aServer);
  // The same from the host to all servers.
  void CutOffHost(std::size_t aHost);
  void HealPaths() { m_cutPaths.clear(); }
  // Makes all idle connections silent: requests on them are never delivered.
  // New connections work.
  void SilenceConnections();
  void KillHost(std::size_t aHost);
  void StartHost(std::size_t aHost);
  // Asks the host to leave; it goes on until it is killed.
  void LeaveHost(std::size_t aHost);
  void SetAnnouncing(std::size_t aServer, bool aAnnouncing);
  void SetLeaving(std::size_t aServer) { m_leaving.insert(aServer); }
  void SetControlReachable(bool aReachable) { m_controlUp = aReachable; }

  // Returns how many entry hosts send no regular requests to the server.
  std::size_t RestrictingHosts(std::size_t aServer) const;
  bool IsRestricted(std::size_t aHost, std::size_t aServer) const;
  const std::vector<RequestResult>& Results() const { return m_results; }
  std::vector<RequestResult> TakeResults();
  // Returns how many keys, or sends that may run once, ran more than once, over
  // all servers.
  std::size_t DoubleRuns() const;
  // Returns how many keys, or sends on open routes, ran although their last
  // outcome was not-run.
  std::size_t FalseNotRuns() const;
  // When poison requests began to run at servers.
  const std::vector<TimePoint>& PoisonRuns() const { return m_poisonRuns; }
  // Called for each event that a host records.
  std::function<void(const HostId&, const Event&)> onEvent;

private:
  struct Connection
  {
    bool silent = false;
  };

  struct RunningAttempt
  {
    std::size_t server = 0;
    std::uint64_t serverRequest = 0;
    TimePoint startedAt;
    Duration serviceTime{};
    std::optional<Connection> connection;
    bool isReused = false; // the connection
    bool forwards = false; // to another host; the other fields are unused
  };

  // The attempt by which another host forwarded a request.
  struct ForwardOrigin
  {
    std::size_t host = 0;
    std::uint64_t generation = 0;
    AttemptId attempt;
  };

  struct PendingRequest
  {
    TimePoint startedAt;
    bool poison = false;
    std::string key;
    std::string runId; // under which servers count the runs
    int sends = 0;
    RequestHead head;
    std::optional<ForwardOrigin> origin;
  };

  struct HostState
  {
    HostId id;
    Region region;
    FailureDomain domain;
    std::uint64_t incarnation = 1;
    bool up = false;
    std::uint64_t generation = 0;
    EntryDriver driver;
    std::map<std::size_t, std::vector<Connection>> idle;
    std::map<AttemptId, RunningAttempt> running;
    std::map<RequestId, PendingRequest> pending;
    Duration lastServiceTime{};
  };

  void Tick();
  void Announce(std::size_t aServer);
  void ScheduleCaller();
  void SchedulePoison();
  void SendRequest(const std::string& aKey, bool aPoison, int aSends);
  void SendOpenRequest();
  void SendTo(HostState& aHost, PendingRequest aPending);
  void GiveUpLater(std::size_t aHost, RequestId aRequest);
  ConnectionKind StartAttempt(std::size_t aHost, const AttemptStart& aStart);
  ConnectionKind ForwardRequest(std::size_t aHost, const AttemptStart& aStart);
  void EndForward(const ForwardOrigin& aOrigin, AttemptEnd aEnd);
  void StartProbe(std::size_t aHost,
                  ProbeId aProbe,
                  const std::string& aAddress);
  void DeliverRequest(std::size_t aHost, AttemptId aAttempt, bool aPoison);
  void EndAttempt(std::size_t aHost,
                  AttemptId aAttempt,
                  const AttemptEnd& aEnd);
  void CancelAttempt(std::size_t aHost, AttemptId aAttempt);
  void OnResponse(std::size_t aHost, const FinalResponse& aResponse);
  void OnControlMessage(const HostId& aFrom, const wire::Envelope& aMessage);
  void RelayEvidence(const HostId& aFrom, const wire::Envelope& aMessage);
  EntryHooks HooksOf(std::size_t aHost);
  EntryOptions OptionsOf(std::size_t aHost) const;
  Duration DelayTo(const HostState& aHost, const FakeServer& aServer) const;
  std::size_t IndexOf(const BackendServerId& aServer) const;
  static std::string AddressOf(std::size_t aServer);
  static std::string CallerAddressOf(std::size_t aHost);
  static std::size_t IndexAtAddress(const std::string& aAddress);

  Deployment m_deployment;
  FleetOptions m_options;
  Random m_random;
  EventQueue m_queue;
  FakeNetwork<wire::Envelope> m_network;
  std::vector<std::unique_ptr<FakeServer>> m_servers;
  std::map<BackendServerId, std::size_t> m_serverIndex;
  std::vector<HostState> m_hosts;
  GroupState m_lists{ LedgerOptions() };
  GroupState m_ledger{ LedgerOptions() };
  bool m_controlUp = true;
  std::set<std::pair<std::size_t, std::size_t>> m_cutPaths;
  std::set<std::size_t> m_notAnnouncing; // servers that send no announcements
  std::set<std::size_t> m_leaving;
  // Run ids of running attempts, by host and attempt.
  std::map<std::pair<std::size_t, AttemptId>, std::string> m_attemptRunIds;
  std::vector<RequestResult> m_results;
  std::vector<TimePoint> m_poisonRuns;
  std::map<std::string, CallerOutcome> m_lastOutcome; // by run id
  std::set<std::string> m_repeatableRunIds;
  std::uint64_t m_nextRequest = 1;
  std::uint64_t m_nextServerRequest = 1;
  std::uint64_t m_nextKey = 1;
};

} // namespace fuchsiaramp

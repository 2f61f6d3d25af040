// Entry hosts and control hosts of a fleet as far as quotas are concerned, over
// a simulated network: for seeded tests and benches without I/O.
//
// Each process has its own clock. A leader with a lease is modelled as the
// consensus group gives it: a lease ends 0.8 s after its leader last reached a
// majority, and the next term begins at least 0.2 s later.
//
//   QuotaFleet fleet(options, seed);
//   fleet.SetLimit("team", { 10, 10 });
//   fleet.Offer("team", entryIndex, at);
//   fleet.RunFor(std::chrono::seconds(5));
//   fleet.MostRunIn(std::chrono::seconds(5), "team");
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "limits/quota_allocator.h"
#include "limits/quota_broker.h"
#include "limits/quota_client.h"
#include "testing/event_queue.h"

namespace fuchsiaramp {

struct QuotaFleetOptions
{
  std::size_t controlHosts = 6;
  std::size_t entryHosts = 12;
  // Host i is in failure domain i % domains. Two domains are one region.
  std::size_t domains = 6;
  Duration domainDelay = std::chrono::microseconds(900); // one way
  Duration regionDelay = std::chrono::milliseconds(20);  // one way
  double loss = 0.0; // share of messages that are lost
  double late = 0.0; // share of messages that are delayed by up to lateBy
  Duration lateBy = std::chrono::seconds(2);
  // Share of granted requests that wait before they start, by up to queueTime.
  double queued = 0.0;
  Duration queueTime = std::chrono::milliseconds(800);
};

// What became of the requests offered for one team.
struct QuotaOutcomes
{
  std::uint64_t offered = 0;
  std::uint64_t run = 0;
  std::uint64_t denied = 0;
  std::uint64_t unknown = 0;
  Duration longestWait{}; // of a request that ran
};

class QuotaFleet
{
public:
  QuotaFleet(QuotaFleetOptions aOptions, std::uint64_t aSeed);
  ~QuotaFleet();

  TimePoint Now() const { return m_events.Now(); }
  void RunFor(Duration aSpan) { m_events.RunUntil(Now() + aSpan); }
  QuotaFleetOptions& Options() { return m_options; }

  // The control hosts that a majority reaches apply it within 100 ms, others
  // when they are connected again.
  void SetLimit(const std::string& aTeam, QuotaLimit aLimit);
  // A request of the team reaches the entry host at aAt.
  void Offer(const std::string& aTeam, std::size_t aEntry, TimePoint aAt);

  // Control hosts come first, then entry hosts.
  std::size_t HostCount() const { return m_hosts.size(); }
  std::size_t EntryIndex(std::size_t aEntry) const
  {
    return m_options.controlHosts + aEntry;
  }
  // The process does nothing for this long; messages wait.
  void Freeze(std::size_t aHost, Duration aSpan);
  void Restart(std::size_t aHost);
  void Kill(std::size_t aHost);
  // Hosts of different groups do not reach each other.
  void Partition(const std::vector<int>& aGroups) { m_groups = aGroups; }
  void Heal();
  std::optional<std::size_t> Leader() const;
  // The leader does not lead any longer.
  void ChangeLeader();

  const QuotaOutcomes& Outcomes(const std::string& aTeam)
  {
    return m_outcomes[aTeam];
  }
  // Times at which requests of the team ran, since aSince.
  std::vector<TimePoint> RunTimes(const std::string& aTeam, TimePoint aSince);
  // The most requests of the team that ran in any window that begins at aSince
  // or later.
  std::size_t MostRunIn(Duration aWindow,
                        const std::string& aTeam,
                        TimePoint aSince = TimePoint());
  std::uint64_t MessageCount() const { return m_messages; }
  std::uint64_t MessageBytes() const { return m_messageBytes; }
  QuotaClientCounters ClientCounters() const;
  QuotaBrokerCounters BrokerCounters() const;

private:
  struct Host;
  struct Waiting;

  void Start(std::size_t aHost);
  void Tick(std::size_t aHost);
  void Send(std::size_t aFrom,
            const HostId& aTo,
            const wire::Envelope& aMessage);
  void Deliver(std::size_t aTo,
               std::size_t aFrom,
               std::uint64_t aIncarnation,
               const wire::Envelope& aMessage);
  void Receive(Host& aHost,
               std::size_t aFrom,
               std::uint64_t aIncarnation,
               const wire::Envelope& aMessage);
  void Arrive(Host& aHost, const std::string& aTeam, TimePoint aOfferedAt);
  void OnDecision(Host& aHost, const QuotaDecision& aDecision);
  void StartRequest(Host& aHost, std::uint64_t aRequest, TimePoint aUntil);
  void RunRequest(Host& aHost, std::uint64_t aRequest);
  void FlushHost(Host& aHost);
  void Elect();
  bool HasMajority(std::size_t aHost) const;
  bool HasLease(std::size_t aHost) const;
  bool AreConnected(std::size_t aLeft, std::size_t aRight) const;
  Duration Delay(std::size_t aFrom, std::size_t aTo);
  std::size_t DomainOf(std::size_t aHost) const;
  TimePoint LocalTime(const Host& aHost) const;

  QuotaFleetOptions m_options;
  Random m_random;
  EventQueue m_events;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::map<HostId, std::size_t> m_indexes;
  std::vector<int> m_groups;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_lastDelivery;
  std::optional<std::size_t> m_leader;
  std::uint64_t m_term = 0;
  TimePoint m_leaseUntil;
  std::map<std::string, QuotaLimit> m_limits;
  std::map<std::string, QuotaOutcomes> m_outcomes;
  std::map<std::string, std::vector<TimePoint>> m_runs;
  std::uint64_t m_nextIncarnation = 1;
  std::uint64_t m_messages = 0;
  std::uint64_t m_messageBytes = 0;
};

} // namespace fuchsiaramp

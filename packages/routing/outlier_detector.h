// Judges the backend servers of one service by the outcomes of real requests,
// as the arbiter of that service.
//
// Entry hosts report counts per server. For each server a cumulative sum of
// log-likelihood ratios compares its failures and slow answers with those of
// the rest of the service as the same reporter sees it, leaving out the server
// that is judged. A sum over the threshold ejects the server, unless the
// evidence points to the path from some hosts, or the floor would be crossed.
//
//   OutlierDetector judge(options, record);
//   judge.SetServers(servers, now);
//   judge.OnReport(reporter, counts, now);
//   judge.Tick(now);
//   for (const ServerHealth& health : judge.RestrictedServers(now)) { ... }
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "routing/decayed_counts.h"

namespace fuchsiaramp {

struct OutlierDetectorOptions
{
  double threshold = 8.0; // log-likelihood ratio
  double floor = 0.6;     // share of slots that ejection leaves in use
  Duration firstEjection = std::chrono::seconds(8);
  Duration longestEjection = std::chrono::minutes(5);
  Duration flapMemory = std::chrono::minutes(10);
  Duration ramp = std::chrono::seconds(10);
  // A server that started within this span is not judged by latency.
  Duration coldStart = std::chrono::seconds(10);
};

// A server of the service that is announced and not leaving.
struct MonitoredServer
{
  BackendServerId id;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;
};

// Who reported: evidence is compared between hosts and between regions.
struct Reporter
{
  HostId host;
  Region region;
};

struct ReportedCounts
{
  BackendServerId server;
  std::uint64_t incarnation = 0;
  OutcomeCounts counts;
  // Whether connections broke under requests; not among the counts.
  bool broken = false;
};

enum class HealthState
{
  kInUse,
  kEjected,
  kTrial,
  kRamp,
};

enum class EjectionCause
{
  kNone,
  kFailures,
  kSlow,
};

// A server that is not in full use.
struct ServerHealth
{
  BackendServerId id;
  std::uint64_t incarnation = 0;
  HealthState state = HealthState::kInUse;
  EjectionCause cause = EjectionCause::kNone;
  double weight = 1.0; // share of its usual load
  TimePoint since;
};

class OutlierDetector
{
public:
  OutlierDetector(OutlierDetectorOptions aOptions, EventHook aRecord);

  // Replaces the servers; a new incarnation starts without history.
  void SetServers(const std::vector<MonitoredServer>& aServers, TimePoint aNow);
  void OnReport(const Reporter& aReporter,
                const std::vector<ReportedCounts>& aCounts,
                TimePoint aNow);
  void Tick(TimePoint aNow);
  // Takes over what another arbiter decided.
  void Adopt(const std::vector<ServerHealth>& aHealth, TimePoint aNow);

  std::vector<ServerHealth> RestrictedServers(TimePoint aNow) const;
  // Grows with each change of a state.
  std::uint64_t Version() const { return m_version; }

private:
  static constexpr std::size_t kAlternatives = 3;

  // Who accuses a server.
  enum class Accusation
  {
    kShared,    // several places, or nobody else can tell
    kPath,      // one place, and others see a healthy server
    kUndecided, // one place, and others have not said enough yet
  };

  // Counts over ten seconds and over the last second or so: a change that
  // strikes the whole service shows in the second first.
  struct Memory
  {
    DecayedCounts usual{ std::chrono::seconds(10) };
    DecayedCounts recent{ std::chrono::milliseconds(700) };

    void Add(const OutcomeCounts& aCounts, TimePoint aNow)
    {
      usual.Add(aCounts, aNow);
      recent.Add(aCounts, aNow);
    }
  };

  struct Testimony
  {
    double against = 0.0; // log-likelihood ratio
    OutcomeCounts counts;
  };

  struct ServerRecord
  {
    MonitoredServer server;
    TimePoint firstSeen;
    HealthState state = HealthState::kInUse;
    EjectionCause cause = EjectionCause::kNone;
    TimePoint since;
    TimePoint until; // end of the ejection or ramp
    int ejections = 0;
    TimePoint brokenCountedUntil;
    TimePoint accusedAt; // when the evidence began
    TimePoint forgetEjectionsAt;
    double trialScore = 0.0;
    double sickness = 0.0; // rate of bad outcomes when it was ejected
    std::array<double, kAlternatives> failureSums{};
    double slowSum = 0.0;
    // What each reporter said since the sums were last zero.
    std::map<HostId, Testimony> evidence;
    std::map<HostId, Memory> byReporter;
  };

  struct ReporterRecord
  {
    Region region;
    Memory total;
  };

  struct Baseline
  {
    double failures = 0.0;
    double slow = 0.0;
  };

  // The counts with broken connections among the failures.
  OutcomeCounts WithBroken(ServerRecord& aServer,
                           const ReportedCounts& aReported,
                           TimePoint aNow) const;
  Baseline BaselineFor(const HostId& aReporter,
                       const ServerRecord& aServer,
                       TimePoint aNow) const;
  Baseline BaselineFrom(DecayedCounts Memory::*aMemory,
                        const HostId& aReporter,
                        const ServerRecord& aServer,
                        TimePoint aNow) const;
  void AddEvidence(const HostId& aReporter,
                   ServerRecord& aServer,
                   const OutcomeCounts& aCounts,
                   TimePoint aNow);
  void AddTrialEvidence(ServerRecord& aServer, const OutcomeCounts& aCounts);
  double Score(const ServerRecord& aServer) const;
  bool IsSuspect(const ServerRecord& aServer) const;
  Accusation Weigh(const ServerRecord& aServer, TimePoint aNow) const;
  void Consider(ServerRecord& aServer, TimePoint aNow);
  void Eject(ServerRecord& aServer, TimePoint aNow);
  void Reinstate(ServerRecord& aServer, TimePoint aNow, const char* aWhy);
  void ClearEvidence(ServerRecord& aServer);
  void KeepFloor(TimePoint aNow);
  bool MakeRoom(const ServerRecord& aCandidate, TimePoint aNow);
  std::uint64_t TotalSlots() const;
  std::uint64_t RemovedSlots() const;
  std::uint64_t RemovableSlots() const;
  double BadRate(const ServerRecord& aServer, TimePoint aNow) const;

  OutlierDetectorOptions m_options;
  EventHook m_record;
  std::map<BackendServerId, ServerRecord> m_servers;
  std::map<HostId, ReporterRecord> m_reporters;
  Memory m_all;
  std::uint64_t m_version = 1;
};

} // namespace fuchsiaramp

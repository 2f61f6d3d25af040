// Outlier detection for the backend servers of one service, based on the
// outcomes of real requests. Runs on the arbiter of that service.
//
// Entry hosts report outcome counts per server. For each server, a cumulative
// sum (CUSUM) of log-likelihood ratios compares its failures and slow responses
// with those that the same reporter sees on the other servers of the service. A
// sum that reaches the threshold ejects the server, unless the evidence points
// to the network path from some hosts or the ejection would violate the floor.
//
//   OutlierDetector detector(options, record);
//   detector.SetServers(servers, now);
//   detector.OnReport(reporter, counts, now);
//   detector.Tick(now);
//   for (const ServerHealth& health : detector.RestrictedServers(now)) { ... }
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
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
  double floor = 0.6;     // minimum share of slots in use
  Duration initialEjection = std::chrono::seconds(8);
  Duration maxEjection = std::chrono::minutes(5);
  Duration flapWindow = std::chrono::minutes(10);
  Duration ramp = std::chrono::seconds(10);
  // Latency is not evaluated during this time after a server is first seen.
  Duration coldStart = std::chrono::seconds(10);
};

// A server of the service that is announced and not leaving.
struct MonitoredServer
{
  BackendServerId id;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;
};

// The origin of a report. Evidence is compared between hosts and between
// regions.
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
  // Whether connections broke while requests were in progress. Such requests
  // are not included in the counts.
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

// The state of a server that is not in full use.
struct ServerHealth
{
  BackendServerId id;
  std::uint64_t incarnation = 0;
  HealthState state = HealthState::kInUse;
  EjectionCause cause = EjectionCause::kNone;
  double weight = 1.0; // share of its normal load
  TimePoint since;
};

class OutlierDetector
{
public:
  OutlierDetector(OutlierDetectorOptions aOptions, EventHook aRecord);

  // Replaces the set of servers. A new incarnation starts without history.
  void SetServers(const std::vector<MonitoredServer>& aServers, TimePoint aNow);
  void OnReport(const Reporter& aReporter,
                const std::vector<ReportedCounts>& aCounts,
                TimePoint aNow);
  // Replaces the set of reporters that reach no server: their reports say
  // nothing about a server. What a reporter that is new in the set has brought
  // about until now is taken back.
  void SetCutOffReporters(const std::set<HostId>& aReporters, TimePoint aNow);
  void Tick(TimePoint aNow);
  // Adopts the ejection decisions of another arbiter.
  void Adopt(const std::vector<ServerHealth>& aHealth, TimePoint aNow);

  std::vector<ServerHealth> RestrictedServers(TimePoint aNow) const;
  // Increases with every change of a server's state.
  std::uint64_t Version() const { return m_version; }

private:
  static constexpr std::size_t kRateHypotheses = 3;

  // The likely location of a fault, derived from the origins of the evidence.
  enum class FaultSource
  {
    // The evidence has several origins, or no other origin can refute it.
    kServer,
    // The evidence has one origin, and others see a healthy server.
    kPath,
    // The evidence has one origin, and others have not reported enough yet.
    kUndecided,
  };

  // Counts with half-lives of 10 s and 0.7 s. A change that affects the whole
  // service appears in the short-term counts first.
  struct OutcomeWindows
  {
    DecayedCounts longTerm{ std::chrono::seconds(10) };
    DecayedCounts shortTerm{ std::chrono::milliseconds(700) };

    void Add(const OutcomeCounts& aCounts, TimePoint aNow)
    {
      longTerm.Add(aCounts, aNow);
      shortTerm.Add(aCounts, aNow);
    }
    void Subtract(const OutcomeWindows& aOther, TimePoint aNow)
    {
      longTerm.Subtract(aOther.longTerm, aNow);
      shortTerm.Subtract(aOther.shortTerm, aNow);
    }
  };

  struct ReporterEvidence
  {
    // Sum of the largest log-likelihood ratio of each report, where positive.
    double logRatio = 0.0;
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
    TimePoint suspectedSince; // time of the first evidence
    TimePoint forgetEjectionsAt;
    double trialScore = 0.0;
    double badRate = 0.0; // rate of bad outcomes when it was ejected
    std::array<double, kRateHypotheses> failureSums{};
    double slowSum = 0.0;
    // Evidence of each reporter since the sums were last zero.
    std::map<HostId, ReporterEvidence> evidence;
    // What ejected it, by reporter, as log-likelihood ratios.
    std::map<HostId, double> ejectedBy;
    std::map<HostId, OutcomeWindows> byReporter;
  };

  struct ReporterRecord
  {
    Region region;
    OutcomeWindows total;
  };

  struct Baseline
  {
    double failures = 0.0;
    double slow = 0.0;
  };

  // Returns the counts. If connections broke, adds one failure, at most once
  // per kBrokenConnectionWindow.
  OutcomeCounts AddBrokenConnections(ServerRecord& aServer,
                                     const ReportedCounts& aReported,
                                     TimePoint aNow) const;
  Baseline BaselineFor(const HostId& aReporter,
                       const ServerRecord& aServer,
                       TimePoint aNow) const;
  Baseline BaselineFrom(DecayedCounts OutcomeWindows::*aWindow,
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
  FaultSource LocateFault(const ServerRecord& aServer, TimePoint aNow) const;
  void Evaluate(ServerRecord& aServer, TimePoint aNow);
  void Eject(ServerRecord& aServer, TimePoint aNow);
  void Reinstate(ServerRecord& aServer, TimePoint aNow, const char* aWhy);
  void ClearEvidence(ServerRecord& aServer);
  void WithdrawEvidence(const HostId& aReporter, TimePoint aNow);
  void EnforceFloor(TimePoint aNow);
  bool MakeRoom(const ServerRecord& aCandidate, TimePoint aNow);
  std::uint64_t TotalSlots() const;
  std::uint64_t RemovedSlots() const;
  std::uint64_t RemovableSlots() const;
  double BadRate(const ServerRecord& aServer, TimePoint aNow) const;

  OutlierDetectorOptions m_options;
  EventHook m_record;
  std::map<BackendServerId, ServerRecord> m_servers;
  std::map<HostId, ReporterRecord> m_reporters;
  std::set<HostId> m_cutOffReporters;
  OutcomeWindows m_allReporters;
  std::uint64_t m_version = 1;
};

} // namespace fuchsiaramp

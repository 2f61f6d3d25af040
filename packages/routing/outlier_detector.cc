#include "routing/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/invariant.h"

namespace fuchsiaramp {

// Prior for the outcome rates of a healthy service: its weight, in requests,
// and the expected rates.
static constexpr double kPriorRequests = 20.0;
static constexpr double kPriorFailureRate = 0.005;
static constexpr double kPriorSlowRate = 0.03;
// Weight, in requests, of the rates of the whole service in the baseline.
static constexpr double kServicePriorRequests = 10.0;
static constexpr double kMinFailureRate = 0.005;
// Healthy servers also have bursts of slow responses.
static constexpr double kMinSlowRate = 0.1;
static constexpr double kMaxRate = 0.8;
// Hypotheses for the failure rate of an unhealthy server, as shares of the
// range between the failure rate of the rest of the service and 1.
static constexpr double kUnhealthyRateShares[] = { 0.08, 0.3, 0.85 };
static constexpr double kUnhealthySlowShare = 0.5;
// A trial succeeds after about ten good responses and fails after one bad one.
static constexpr double kTrialGoodScore = 0.35;
static constexpr double kTrialBadScore = -3.4;
static constexpr double kTrialPass = 3.4;
static constexpr double kTrialFail = -3.0;
// If this share of the evidence comes from one host or region, while others
// with enough recent requests see a healthy server, the path is at fault.
static constexpr double kSingleOriginShare = 0.8;
static constexpr double kMinRequestsFromOthers = 10.0;
static constexpr Duration kOtherReportersWait = std::chrono::seconds(1);
static constexpr double kMaxHealthyBadRate = 0.08;
static constexpr Duration kBrokenConnectionWindow =
  std::chrono::milliseconds(500);
static constexpr double kSwapMargin = 0.2;
static constexpr double kRampThresholdShare = 0.6;
// A reporter finds out within this time that it reaches no server.
static constexpr Duration kCutOffDetectionTime = std::chrono::seconds(5);

OutlierDetector::OutlierDetector(OutlierDetectorOptions aOptions,
                                 EventHook aRecord)
  : m_options(aOptions)
  , m_record(std::move(aRecord))
{
}

void
OutlierDetector::SetServers(const std::vector<MonitoredServer>& aServers,
                            TimePoint aNow)
{
  std::map<BackendServerId, ServerRecord> servers;
  for (const MonitoredServer& server : aServers) {
    const auto existing = m_servers.find(server.id);
    const bool same = existing != m_servers.end() &&
                      existing->second.server.incarnation == server.incarnation;
    if (same) {
      servers[server.id] = std::move(existing->second);
      servers[server.id].server = server;
      continue;
    }
    ServerRecord& record = servers[server.id];
    record.server = server;
    record.firstSeen = aNow;
  }
  m_servers = std::move(servers);
  EnforceFloor(aNow);
}

OutlierDetector::Baseline
OutlierDetector::BaselineFor(const HostId& aReporter,
                             const ServerRecord& aServer,
                             TimePoint aNow) const
{
  const Baseline longTerm =
    BaselineFrom(&OutcomeWindows::longTerm, aReporter, aServer, aNow);
  const Baseline shortTerm =
    BaselineFrom(&OutcomeWindows::shortTerm, aReporter, aServer, aNow);
  return { std::max(longTerm.failures, shortTerm.failures),
           std::max(longTerm.slow, shortTerm.slow) };
}

OutlierDetector::Baseline
OutlierDetector::BaselineFrom(DecayedCounts OutcomeWindows::*aWindow,
                              const HostId& aReporter,
                              const ServerRecord& aServer,
                              TimePoint aNow) const
{
  OutcomeCounts rest;
  OutcomeCounts all = (m_allReporters.*aWindow).At(aNow);
  const auto reporter = m_reporters.find(aReporter);
  if (reporter != m_reporters.end()) {
    rest = (reporter->second.total.*aWindow).At(aNow);
  }
  // Other suspected servers are left out too: they would raise the baseline and
  // hide the faults of this server.
  for (const auto& [id, other] : m_servers) {
    const bool excluded = &other == &aServer || IsSuspect(other);
    if (!excluded) {
      continue;
    }
    for (const auto& [host, counts] : other.byReporter) {
      const OutcomeCounts own = (counts.*aWindow).At(aNow);
      all -= own;
      if (host == aReporter) {
        rest -= own;
      }
    }
  }
  const auto rate =
    [&](double aRest, double aAll, double aPrior, double aLowest) {
      const double service = aAll / std::max(1.0, all.total);
      const double sum = std::max(0.0, aRest) +
                         kServicePriorRequests * std::clamp(service, 0.0, 1.0) +
                         kPriorRequests * aPrior;
      const double requests =
        std::max(0.0, rest.total) + kServicePriorRequests + kPriorRequests;
      return std::clamp(sum / requests, aLowest, kMaxRate);
    };
  return { rate(
             rest.failures, all.failures, kPriorFailureRate, kMinFailureRate),
           rate(rest.slow, all.slow, kPriorSlowRate, kMinSlowRate) };
}

void
OutlierDetector::OnReport(const Reporter& aReporter,
                          const std::vector<ReportedCounts>& aCounts,
                          TimePoint aNow)
{
  if (m_cutOffReporters.count(aReporter.host) != 0) {
    return;
  }
  ReporterRecord& reporter = m_reporters[aReporter.host];
  reporter.region = aReporter.region;
  // All counts are recorded before any server is evaluated, so that a fault of
  // the whole service or of the reporter is already part of the baseline.
  std::vector<std::pair<ServerRecord*, OutcomeCounts>> accepted;
  for (const ReportedCounts& reported : aCounts) {
    const auto it = m_servers.find(reported.server);
    if (it == m_servers.end() ||
        it->second.server.incarnation != reported.incarnation) {
      continue;
    }
    const OutcomeCounts counts =
      AddBrokenConnections(it->second, reported, aNow);
    it->second.byReporter[aReporter.host].Add(counts, aNow);
    reporter.total.Add(counts, aNow);
    m_allReporters.Add(counts, aNow);
    accepted.emplace_back(&it->second, counts);
  }
  for (const auto& [server, counts] : accepted) {
    AddEvidence(aReporter.host, *server, counts, aNow);
    Evaluate(*server, aNow);
  }
}

// A crash of a server breaks the requests of several hosts at about the same
// time. They count as one failure.
OutcomeCounts
OutlierDetector::AddBrokenConnections(ServerRecord& aServer,
                                      const ReportedCounts& aReported,
                                      TimePoint aNow) const
{
  OutcomeCounts counts = aReported.counts;
  if (aReported.broken && IsDue(aServer.brokenCountedUntil, aNow)) {
    aServer.brokenCountedUntil = aNow + kBrokenConnectionWindow;
    counts.total += 1.0;
    counts.failures += 1.0;
  }
  return counts;
}

static double
LogRatio(double aBad, double aGood, double aHealthy, double aUnhealthy)
{
  return aBad * std::log(aUnhealthy / aHealthy) +
         aGood * std::log((1.0 - aUnhealthy) / (1.0 - aHealthy));
}

void
OutlierDetector::AddEvidence(const HostId& aReporter,
                             ServerRecord& aServer,
                             const OutcomeCounts& aCounts,
                             TimePoint aNow)
{
  if (aServer.state == HealthState::kEjected) {
    return;
  }
  if (aServer.state == HealthState::kTrial) {
    AddTrialEvidence(aServer, aCounts);
    return;
  }
  const Baseline baseline = BaselineFor(aReporter, aServer, aNow);
  const double good = aCounts.total - aCounts.failures;
  double strongest = 0.0;
  for (std::size_t i = 0; i < kRateHypotheses; ++i) {
    const double unhealthy =
      baseline.failures + kUnhealthyRateShares[i] * (1.0 - baseline.failures);
    const double ratio =
      LogRatio(aCounts.failures, good, baseline.failures, unhealthy);
    double& sum = aServer.failureSums[i];
    sum = std::max(0.0, sum + ratio);
    strongest = std::max(strongest, ratio);
  }
  const bool cold = aNow < aServer.firstSeen + m_options.coldStart;
  if (!cold) {
    const double unhealthy =
      baseline.slow + kUnhealthySlowShare * (1.0 - baseline.slow);
    const double fast = std::max(0.0, aCounts.total - aCounts.slow);
    const double ratio = LogRatio(aCounts.slow, fast, baseline.slow, unhealthy);
    aServer.slowSum = std::max(0.0, aServer.slowSum + ratio);
    strongest = std::max(strongest, ratio);
  }
  if (Score(aServer) == 0.0) {
    aServer.evidence.clear();
    return;
  }
  if (aServer.evidence.empty()) {
    aServer.suspectedSince = aNow;
  }
  ReporterEvidence& reporterEvidence = aServer.evidence[aReporter];
  reporterEvidence.logRatio += std::max(0.0, strongest);
  reporterEvidence.counts += aCounts;
}

void
OutlierDetector::AddTrialEvidence(ServerRecord& aServer,
                                  const OutcomeCounts& aCounts)
{
  const double bad = aCounts.failures + aCounts.slow;
  const double good = std::max(0.0, aCounts.total - bad);
  aServer.trialScore += kTrialBadScore * bad + kTrialGoodScore * good;
}

double
OutlierDetector::Score(const ServerRecord& aServer) const
{
  const auto& sums = aServer.failureSums;
  return std::max(aServer.slowSum, *std::max_element(sums.begin(), sums.end()));
}

bool
OutlierDetector::IsSuspect(const ServerRecord& aServer) const
{
  return aServer.state != HealthState::kInUse ||
         Score(aServer) > m_options.threshold / 2;
}

// Returns whether the server or the path to it is at fault. It is the path if
// nearly all evidence comes from one host or one region while others that use
// the server see it healthy. If these others have reported too few requests
// since the first evidence, the decision is postponed for up to
// kOtherReportersWait.
OutlierDetector::FaultSource
OutlierDetector::LocateFault(const ServerRecord& aServer, TimePoint aNow) const
{
  double sum = 0.0;
  std::map<Region, double> byRegion;
  const auto regionOf = [this](const HostId& aHost) {
    const auto reporter = m_reporters.find(aHost);
    return reporter == m_reporters.end() ? Region() : reporter->second.region;
  };
  for (const auto& [host, reporterEvidence] : aServer.evidence) {
    sum += reporterEvidence.logRatio;
    byRegion[regionOf(host)] += reporterEvidence.logRatio;
  }
  const auto compareWithOthers = [&](const auto& aIsOrigin) {
    OutcomeCounts others;
    for (const auto& [host, reporterEvidence] : aServer.evidence) {
      if (!aIsOrigin(host)) {
        others += reporterEvidence.counts;
      }
    }
    double longTermRequests = 0.0;
    for (const auto& [host, windows] : aServer.byReporter) {
      longTermRequests +=
        aIsOrigin(host) ? 0.0 : windows.longTerm.At(aNow).total;
    }
    if (longTermRequests < kMinRequestsFromOthers) {
      return FaultSource::kServer; // no other origin can refute it
    }
    // The wait is limited, because others may have nothing to report: the
    // server may have no free slot for them.
    const bool waited =
      IsDue(aServer.suspectedSince + kOtherReportersWait, aNow);
    if (others.total < kMinRequestsFromOthers && !waited) {
      return FaultSource::kUndecided;
    }
    const bool healthy =
      others.total > 0.0 && std::max(others.failures, others.slow) <
                              kMaxHealthyBadRate * others.total;
    return healthy ? FaultSource::kPath : FaultSource::kServer;
  };
  FaultSource result = FaultSource::kServer;
  const auto combine = [&result](FaultSource aSource) {
    if (result == FaultSource::kServer || aSource == FaultSource::kPath) {
      result = aSource;
    }
  };
  for (const auto& [host, reporterEvidence] : aServer.evidence) {
    if (reporterEvidence.logRatio >= kSingleOriginShare * sum) {
      const HostId origin = host;
      combine(compareWithOthers(
        [&](const HostId& aHost) { return aHost == origin; }));
    }
  }
  for (const auto& [region, logRatio] : byRegion) {
    if (logRatio >= kSingleOriginShare * sum) {
      const Region origin = region;
      combine(compareWithOthers(
        [&](const HostId& aHost) { return regionOf(aHost) == origin; }));
    }
  }
  return result;
}

void
OutlierDetector::Evaluate(ServerRecord& aServer, TimePoint aNow)
{
  if (aServer.state == HealthState::kTrial) {
    if (aServer.trialScore >= kTrialPass) {
      Reinstate(aServer, aNow, "trial_passed");
    } else if (aServer.trialScore <= kTrialFail) {
      Eject(aServer, aNow);
    }
    return;
  }
  const double needed = aServer.state == HealthState::kRamp
                          ? m_options.threshold * kRampThresholdShare
                          : m_options.threshold;
  if (aServer.state == HealthState::kEjected || Score(aServer) < needed) {
    return;
  }
  const FaultSource source = LocateFault(aServer, aNow);
  if (source == FaultSource::kPath) {
    m_record(Event("path_trouble").With("server", aServer.server.id));
    ClearEvidence(aServer);
  }
  if (source != FaultSource::kServer) {
    return;
  }
  if (!MakeRoom(aServer, aNow)) {
    return;
  }
  Eject(aServer, aNow);
}

double
OutlierDetector::BadRate(const ServerRecord& aServer, TimePoint aNow) const
{
  OutcomeCounts counts;
  for (const auto& [host, windows] : aServer.byReporter) {
    counts += windows.longTerm.At(aNow);
  }
  return std::max(counts.failures, counts.slow) / std::max(1.0, counts.total);
}

void
OutlierDetector::Eject(ServerRecord& aServer, TimePoint aNow)
{
  if (IsDue(aServer.forgetEjectionsAt, aNow)) {
    aServer.ejections = 0;
  }
  if (aServer.state != HealthState::kTrial) {
    aServer.cause = aServer.slowSum >= Score(aServer)
                      ? EjectionCause::kSlow
                      : EjectionCause::kFailures;
    aServer.badRate = BadRate(aServer, aNow);
  }
  aServer.ejectedBy.clear();
  for (const auto& [host, reporterEvidence] : aServer.evidence) {
    aServer.ejectedBy[host] = reporterEvidence.logRatio;
  }
  const int doublings = std::min(aServer.ejections, 16);
  const Duration duration = std::min(
    m_options.maxEjection, m_options.initialEjection * (1 << doublings));
  ++aServer.ejections;
  aServer.forgetEjectionsAt = aNow + duration + m_options.flapWindow;
  aServer.state = HealthState::kEjected;
  aServer.since = aNow;
  aServer.until = aNow + duration;
  ++m_version;
  m_record(Event("backend_server_ejected")
             .With("server", aServer.server.id)
             .With("cause",
                   aServer.cause == EjectionCause::kSlow ? "slow" : "failures")
             .With("score", Score(aServer))
             .With("bad_rate", aServer.badRate)
             .With("reporters", aServer.evidence.size())
             .With("ejections", aServer.ejections)
             .With("seconds", ToSeconds(duration)));
  ClearEvidence(aServer);
  CheckInvariant(RemovedSlots() <= RemovableSlots(),
                 "ejection leaves the floor of a service in use");
}

void
OutlierDetector::Reinstate(ServerRecord& aServer,
                           TimePoint aNow,
                           const char* aWhy)
{
  aServer.state = HealthState::kRamp;
  aServer.since = aNow;
  aServer.until = aNow + m_options.ramp;
  ClearEvidence(aServer);
  aServer.byReporter.clear();
  ++m_version;
  m_record(Event("backend_server_returns")
             .With("server", aServer.server.id)
             .With("why", aWhy));
}

void
OutlierDetector::ClearEvidence(ServerRecord& aServer)
{
  aServer.failureSums.fill(0.0);
  aServer.slowSum = 0.0;
  aServer.trialScore = 0.0;
  aServer.evidence.clear();
}

std::uint64_t
OutlierDetector::TotalSlots() const
{
  std::uint64_t slots = 0;
  for (const auto& [id, server] : m_servers) {
    slots += server.server.slots;
  }
  return slots;
}

static bool
IsRemoved(HealthState aState)
{
  return aState == HealthState::kEjected || aState == HealthState::kTrial;
}

std::uint64_t
OutlierDetector::RemovedSlots() const
{
  std::uint64_t slots = 0;
  for (const auto& [id, server] : m_servers) {
    slots += IsRemoved(server.state) ? server.server.slots : 0;
  }
  return slots;
}

std::uint64_t
OutlierDetector::RemovableSlots() const
{
  const std::uint64_t total = TotalSlots();
  const auto kept = static_cast<std::uint64_t>(
    std::ceil(m_options.floor * static_cast<double>(total)));
  return total - std::min(total, kept);
}

// Returns whether the candidate can be ejected without violating the floor. If
// too few slots are in use for that, first reinstates the removed server with
// the lowest bad rate among those with enough slots, provided that the
// candidate's rate is higher by at least kSwapMargin.
bool
OutlierDetector::MakeRoom(const ServerRecord& aCandidate, TimePoint aNow)
{
  const std::uint64_t slots = aCandidate.server.slots;
  if (RemovedSlots() + slots <= RemovableSlots()) {
    return true;
  }
  ServerRecord* healthiest = nullptr;
  for (auto& [id, server] : m_servers) {
    const bool better =
      healthiest == nullptr || server.badRate < healthiest->badRate;
    if (IsRemoved(server.state) && server.server.slots >= slots && better) {
      healthiest = &server;
    }
  }
  const double badRate = BadRate(aCandidate, aNow);
  if (healthiest == nullptr || badRate < healthiest->badRate + kSwapMargin) {
    return false;
  }
  Reinstate(*healthiest, aNow, "floor_swap");
  return RemovedSlots() + slots <= RemovableSlots();
}

// Servers that left or stopped announcing themselves no longer count towards
// the floor, so too many of the remaining slots may be removed. Reinstates the
// servers with the lowest bad rate first.
void
OutlierDetector::EnforceFloor(TimePoint aNow)
{
  while (RemovedSlots() > RemovableSlots()) {
    ServerRecord* healthiest = nullptr;
    for (auto& [id, server] : m_servers) {
      const bool better =
        healthiest == nullptr || server.badRate < healthiest->badRate;
      if (IsRemoved(server.state) && better) {
        healthiest = &server;
      }
    }
    Reinstate(*healthiest, aNow, "floor");
  }
}

void
OutlierDetector::SetCutOffReporters(const std::set<HostId>& aReporters,
                                    TimePoint aNow)
{
  for (const HostId& host : aReporters) {
    if (m_cutOffReporters.insert(host).second) {
      WithdrawEvidence(host, aNow);
    }
  }
  m_cutOffReporters = aReporters;
}

// A server that was ejected lately returns to full use unless the evidence of
// the other reporters suffices.
void
OutlierDetector::WithdrawEvidence(const HostId& aReporter, TimePoint aNow)
{
  for (auto& [id, server] : m_servers) {
    server.byReporter.erase(aReporter);
    if (server.evidence.count(aReporter) != 0) {
      ClearEvidence(server);
    }
    if (server.state != HealthState::kEjected ||
        IsDue(server.since + kCutOffDetectionTime, aNow) ||
        server.ejectedBy.erase(aReporter) == 0) {
      continue;
    }
    double left = 0.0;
    for (const auto& [host, logRatio] : server.ejectedBy) {
      left += logRatio;
    }
    if (left < m_options.threshold) {
      --server.ejections;
      Reinstate(server, aNow, "reporters_cut_off");
      server.until = aNow; // no ramp: it was healthy all the time
    }
  }
  const auto reporter = m_reporters.find(aReporter);
  if (reporter == m_reporters.end()) {
    return;
  }
  m_allReporters.Subtract(reporter->second.total, aNow);
  m_reporters.erase(reporter);
}

void
OutlierDetector::Tick(TimePoint aNow)
{
  for (auto& [id, server] : m_servers) {
    if (server.state == HealthState::kEjected && IsDue(server.until, aNow)) {
      server.state = HealthState::kTrial;
      server.since = aNow;
      server.trialScore = 0.0;
      ++m_version;
    }
    if (server.state == HealthState::kRamp && IsDue(server.until, aNow)) {
      server.state = HealthState::kInUse;
      server.cause = EjectionCause::kNone;
      server.badRate = 0.0;
      ++m_version;
    }
  }
  for (auto it = m_reporters.begin(); it != m_reporters.end();) {
    const bool idle = it->second.total.longTerm.At(aNow).total < 0.01;
    it = idle ? m_reporters.erase(it) : ++it;
  }
}

void
OutlierDetector::Adopt(const std::vector<ServerHealth>& aHealth, TimePoint aNow)
{
  for (const ServerHealth& health : aHealth) {
    const auto it = m_servers.find(health.id);
    const bool adoptable =
      it != m_servers.end() &&
      it->second.server.incarnation == health.incarnation &&
      it->second.state == HealthState::kInUse;
    if (!adoptable || health.state == HealthState::kInUse) {
      continue;
    }
    ServerRecord& server = it->second;
    server.state = health.state;
    server.cause = health.cause;
    server.since = aNow;
    server.ejections = 1;
    server.forgetEjectionsAt = aNow + m_options.flapWindow;
    server.until =
      aNow + (health.state == HealthState::kRamp ? m_options.ramp
                                                 : m_options.initialEjection);
  }
  EnforceFloor(aNow);
}

std::vector<ServerHealth>
OutlierDetector::RestrictedServers(TimePoint aNow) const
{
  static constexpr double kFirstWeight = 0.1;
  std::vector<ServerHealth> restricted;
  for (const auto& [id, server] : m_servers) {
    if (server.state == HealthState::kInUse) {
      continue;
    }
    double weight = 0.0;
    if (server.state == HealthState::kRamp) {
      const double left = std::clamp(
        ToSeconds(server.until - aNow) / ToSeconds(m_options.ramp), 0.0, 1.0);
      weight = kFirstWeight + (1.0 - kFirstWeight) * (1.0 - left);
    }
    restricted.push_back({ id,
                           server.server.incarnation,
                           server.state,
                           server.cause,
                           weight,
                           server.since });
  }
  return restricted;
}

} // namespace fuchsiaramp

#include "routing/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/invariant.h"

namespace fuchsiaramp {

// Prior beliefs about a healthy service, in requests and rates.
static constexpr double kPriorRequests = 20.0;
static constexpr double kPriorFailureRate = 0.005;
static constexpr double kPriorSlowRate = 0.03;
static constexpr double kServiceWeight = 10.0; // requests of the whole service
static constexpr double kLowestRate = 0.005;
// Slow answers come in bursts also from healthy servers.
static constexpr double kLowestSlowRate = 0.1;
static constexpr double kHighestRate = 0.8;
// Failure rates that a sick server may have, as shares of what is left above
// the rate of the rest of the service.
static constexpr double kSickShares[] = { 0.08, 0.3, 0.85 };
static constexpr double kSlowShare = 0.5;
// Trials end well after about ten good answers, and badly after one bad one.
static constexpr double kTrialGood = 0.35;
static constexpr double kTrialBad = -3.4;
static constexpr double kTrialPass = 3.4;
static constexpr double kTrialFail = -3.0;
// Evidence from one place only, while another place with this many recent
// requests sees a healthy server, points to the path.
static constexpr double kOnePlaceShare = 0.8;
static constexpr double kEnoughRequests = 10.0;
static constexpr Duration kWitnessWait = std::chrono::seconds(1);
static constexpr double kHealthyRate = 0.08;
static constexpr Duration kBrokenBurst = std::chrono::milliseconds(500);
static constexpr double kSwapMargin = 0.2;
static constexpr double kRampThresholdShare = 0.6;

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
    const auto known = m_servers.find(server.id);
    const bool same = known != m_servers.end() &&
                      known->second.server.incarnation == server.incarnation;
    if (same) {
      servers[server.id] = std::move(known->second);
      servers[server.id].server = server;
      continue;
    }
    ServerRecord& record = servers[server.id];
    record.server = server;
    record.firstSeen = aNow;
  }
  m_servers = std::move(servers);
  KeepFloor(aNow);
}

OutlierDetector::Baseline
OutlierDetector::BaselineFor(const HostId& aReporter,
                             const ServerRecord& aServer,
                             TimePoint aNow) const
{
  const Baseline usual = BaselineFrom(&Memory::usual, aReporter, aServer, aNow);
  const Baseline recent =
    BaselineFrom(&Memory::recent, aReporter, aServer, aNow);
  return { std::max(usual.failures, recent.failures),
           std::max(usual.slow, recent.slow) };
}

OutlierDetector::Baseline
OutlierDetector::BaselineFrom(DecayedCounts Memory::*aMemory,
                              const HostId& aReporter,
                              const ServerRecord& aServer,
                              TimePoint aNow) const
{
  OutcomeCounts rest;
  OutcomeCounts all = (m_all.*aMemory).At(aNow);
  const auto reporter = m_reporters.find(aReporter);
  if (reporter != m_reporters.end()) {
    rest = (reporter->second.total.*aMemory).At(aNow);
  }
  // Servers that are suspected themselves would hide the others.
  for (const auto& [id, other] : m_servers) {
    const bool leftOut = &other == &aServer || IsSuspect(other);
    if (!leftOut) {
      continue;
    }
    for (const auto& [host, counts] : other.byReporter) {
      const OutcomeCounts own = (counts.*aMemory).At(aNow);
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
                         kServiceWeight * std::clamp(service, 0.0, 1.0) +
                         kPriorRequests * aPrior;
      const double requests =
        std::max(0.0, rest.total) + kServiceWeight + kPriorRequests;
      return std::clamp(sum / requests, aLowest, kHighestRate);
    };
  return { rate(rest.failures, all.failures, kPriorFailureRate, kLowestRate),
           rate(rest.slow, all.slow, kPriorSlowRate, kLowestSlowRate) };
}

void
OutlierDetector::OnReport(const Reporter& aReporter,
                          const std::vector<ReportedCounts>& aCounts,
                          TimePoint aNow)
{
  ReporterRecord& reporter = m_reporters[aReporter.host];
  reporter.region = aReporter.region;
  // All counts come in before any is judged, so that a fault of the whole
  // service or of the reporter shows in the baseline first.
  std::vector<std::pair<ServerRecord*, OutcomeCounts>> accepted;
  for (const ReportedCounts& reported : aCounts) {
    const auto it = m_servers.find(reported.server);
    if (it == m_servers.end() ||
        it->second.server.incarnation != reported.incarnation) {
      continue;
    }
    const OutcomeCounts counts = WithBroken(it->second, reported, aNow);
    it->second.byReporter[aReporter.host].Add(counts, aNow);
    reporter.total.Add(counts, aNow);
    m_all.Add(counts, aNow);
    accepted.emplace_back(&it->second, counts);
  }
  for (const auto& [server, counts] : accepted) {
    AddEvidence(aReporter.host, *server, counts, aNow);
    Consider(*server, aNow);
  }
}

// One crash breaks the requests of several hosts; together they are one piece
// of evidence.
OutcomeCounts
OutlierDetector::WithBroken(ServerRecord& aServer,
                            const ReportedCounts& aReported,
                            TimePoint aNow) const
{
  OutcomeCounts counts = aReported.counts;
  if (aReported.broken && IsDue(aServer.brokenCountedUntil, aNow)) {
    aServer.brokenCountedUntil = aNow + kBrokenBurst;
    counts.total += 1.0;
    counts.failures += 1.0;
  }
  return counts;
}

static double
LogRatio(double aBad, double aGood, double aHealthy, double aSick)
{
  return aBad * std::log(aSick / aHealthy) +
         aGood * std::log((1.0 - aSick) / (1.0 - aHealthy));
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
  for (std::size_t i = 0; i < kAlternatives; ++i) {
    const double sick =
      baseline.failures + kSickShares[i] * (1.0 - baseline.failures);
    const double ratio =
      LogRatio(aCounts.failures, good, baseline.failures, sick);
    double& sum = aServer.failureSums[i];
    sum = std::max(0.0, sum + ratio);
    strongest = std::max(strongest, ratio);
  }
  const bool cold = aNow < aServer.firstSeen + m_options.coldStart;
  if (!cold) {
    const double sick = baseline.slow + kSlowShare * (1.0 - baseline.slow);
    const double fast = std::max(0.0, aCounts.total - aCounts.slow);
    const double ratio = LogRatio(aCounts.slow, fast, baseline.slow, sick);
    aServer.slowSum = std::max(0.0, aServer.slowSum + ratio);
    strongest = std::max(strongest, ratio);
  }
  if (Score(aServer) == 0.0) {
    aServer.evidence.clear();
    return;
  }
  if (aServer.evidence.empty()) {
    aServer.accusedAt = aNow;
  }
  Testimony& testimony = aServer.evidence[aReporter];
  testimony.against += std::max(0.0, strongest);
  testimony.counts += aCounts;
}

void
OutlierDetector::AddTrialEvidence(ServerRecord& aServer,
                                  const OutcomeCounts& aCounts)
{
  const double bad = aCounts.failures + aCounts.slow;
  const double good = std::max(0.0, aCounts.total - bad);
  aServer.trialScore += kTrialBad * bad + kTrialGood * good;
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

// Nearly all evidence may come from one host or one region. While another one
// that uses the server sees it healthy, the path is at fault; while the others
// have said too little since the accusation began, they are waited for.
OutlierDetector::Accusation
OutlierDetector::Weigh(const ServerRecord& aServer, TimePoint aNow) const
{
  double sum = 0.0;
  std::map<Region, double> byRegion;
  const auto regionOf = [this](const HostId& aHost) {
    const auto reporter = m_reporters.find(aHost);
    return reporter == m_reporters.end() ? Region() : reporter->second.region;
  };
  for (const auto& [host, testimony] : aServer.evidence) {
    sum += testimony.against;
    byRegion[regionOf(host)] += testimony.against;
  }
  const auto hearOthers = [&](const auto& aIsAccuser) {
    OutcomeCounts said;
    for (const auto& [host, testimony] : aServer.evidence) {
      if (!aIsAccuser(host)) {
        said += testimony.counts;
      }
    }
    double usual = 0.0;
    for (const auto& [host, memory] : aServer.byReporter) {
      usual += aIsAccuser(host) ? 0.0 : memory.usual.At(aNow).total;
    }
    if (usual < kEnoughRequests) {
      return Accusation::kShared; // nobody else could tell
    }
    // Others may be silent because the server has no slot left for them.
    const bool waited = IsDue(aServer.accusedAt + kWitnessWait, aNow);
    if (said.total < kEnoughRequests && !waited) {
      return Accusation::kUndecided;
    }
    const bool healthy =
      said.total > 0.0 &&
      std::max(said.failures, said.slow) < kHealthyRate * said.total;
    return healthy ? Accusation::kPath : Accusation::kShared;
  };
  Accusation result = Accusation::kShared;
  const auto note = [&result](Accusation aFound) {
    if (result == Accusation::kShared || aFound == Accusation::kPath) {
      result = aFound;
    }
  };
  for (const auto& [host, testimony] : aServer.evidence) {
    if (testimony.against >= kOnePlaceShare * sum) {
      const HostId accuser = host;
      note(hearOthers([&](const HostId& aHost) { return aHost == accuser; }));
    }
  }
  for (const auto& [region, against] : byRegion) {
    if (against >= kOnePlaceShare * sum) {
      const Region accuser = region;
      note(hearOthers(
        [&](const HostId& aHost) { return regionOf(aHost) == accuser; }));
    }
  }
  return result;
}

void
OutlierDetector::Consider(ServerRecord& aServer, TimePoint aNow)
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
  const Accusation accusation = Weigh(aServer, aNow);
  if (accusation == Accusation::kPath) {
    m_record(Event("path_trouble").With("server", aServer.server.id));
    ClearEvidence(aServer);
  }
  if (accusation != Accusation::kShared) {
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
  for (const auto& [host, memory] : aServer.byReporter) {
    counts += memory.usual.At(aNow);
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
    aServer.sickness = BadRate(aServer, aNow);
  }
  const int doublings = std::min(aServer.ejections, 16);
  const Duration absence = std::min(m_options.longestEjection,
                                    m_options.firstEjection * (1 << doublings));
  ++aServer.ejections;
  aServer.forgetEjectionsAt = aNow + absence + m_options.flapMemory;
  aServer.state = HealthState::kEjected;
  aServer.since = aNow;
  aServer.until = aNow + absence;
  ++m_version;
  m_record(Event("backend_server_ejected")
             .With("server", aServer.server.id)
             .With("cause",
                   aServer.cause == EjectionCause::kSlow ? "slow" : "failures")
             .With("score", Score(aServer))
             .With("bad_rate", aServer.sickness)
             .With("reporters", aServer.evidence.size())
             .With("ejections", aServer.ejections)
             .With("seconds", ToSeconds(absence)));
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

// With the floor reached, a server that is clearly sicker than one that is out
// takes its place.
bool
OutlierDetector::MakeRoom(const ServerRecord& aCandidate, TimePoint aNow)
{
  const std::uint64_t slots = aCandidate.server.slots;
  if (RemovedSlots() + slots <= RemovableSlots()) {
    return true;
  }
  ServerRecord* mildest = nullptr;
  for (auto& [id, server] : m_servers) {
    const bool better =
      mildest == nullptr || server.sickness < mildest->sickness;
    if (IsRemoved(server.state) && server.server.slots >= slots && better) {
      mildest = &server;
    }
  }
  const double sickness = BadRate(aCandidate, aNow);
  if (mildest == nullptr || sickness < mildest->sickness + kSwapMargin) {
    return false;
  }
  Reinstate(*mildest, aNow, "floor_swap");
  return RemovedSlots() + slots <= RemovableSlots();
}

// Servers that left or stopped announcing count no more, so the floor may have
// moved up to what is ejected; the mildest cases come back first.
void
OutlierDetector::KeepFloor(TimePoint aNow)
{
  while (RemovedSlots() > RemovableSlots()) {
    ServerRecord* mildest = nullptr;
    for (auto& [id, server] : m_servers) {
      const bool better =
        mildest == nullptr || server.sickness < mildest->sickness;
      if (IsRemoved(server.state) && better) {
        mildest = &server;
      }
    }
    Reinstate(*mildest, aNow, "floor");
  }
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
      server.sickness = 0.0;
      ++m_version;
    }
  }
  for (auto it = m_reporters.begin(); it != m_reporters.end();) {
    const bool silent = it->second.total.usual.At(aNow).total < 0.01;
    it = silent ? m_reporters.erase(it) : ++it;
  }
}

void
OutlierDetector::Adopt(const std::vector<ServerHealth>& aHealth, TimePoint aNow)
{
  for (const ServerHealth& health : aHealth) {
    const auto it = m_servers.find(health.id);
    const bool fits = it != m_servers.end() &&
                      it->second.server.incarnation == health.incarnation &&
                      it->second.state == HealthState::kInUse;
    if (!fits || health.state == HealthState::kInUse) {
      continue;
    }
    ServerRecord& server = it->second;
    server.state = health.state;
    server.cause = health.cause;
    server.since = aNow;
    server.ejections = 1;
    server.forgetEjectionsAt = aNow + m_options.flapMemory;
    server.until =
      aNow + (health.state == HealthState::kRamp ? m_options.ramp
                                                 : m_options.firstEjection);
  }
  KeepFloor(aNow);
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

#include "routing/service_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/digest.h"
#include "routing/rendezvous.h"

namespace fuchsiaramp {

// Weight of the newest outcome.
static constexpr double kFailureRateSmoothing = 0.1;
static constexpr double kFailurePenalty = 10.0;
// Reported load decays with a half-life of a typical request's duration, but no
// less than this.
static constexpr double kMinLoadHalfLifeSeconds = 0.002;
static constexpr Duration kAvoidAfterShed = std::chrono::milliseconds(40);
static constexpr Duration kAvoidAfterRefused = std::chrono::milliseconds(500);
static constexpr Duration kDefaultWarmUp = std::chrono::seconds(10);
static constexpr double kInitialWarmUpWeight = 0.25;
// Trial requests per second to one server from all entry hosts together.
static constexpr double kTrialsPerSecond = 4.0;
// Servers in other regions are considered if the best server in this region has
// at least this load.
static constexpr double kRemoteLoadThreshold = 0.95;
static constexpr double kOtherDomainPenalty = 1.1;
// Within this time after an attempt ended, this host alone knows of the slot.
static constexpr Duration kOwnSlotTime = std::chrono::milliseconds(1);
// Two ticks of 20 ms: one until the other host hears of the slot, one until
// this host hears that the slot is taken.
static constexpr Duration kMaxLeaveTime = std::chrono::milliseconds(40);
// Servers in use besides those of the cell.
static constexpr std::size_t kMinServersOutsideCell = 16;

const char*
ToText(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      return "success";
    case AttemptOutcome::kServerError:
      return "server-error";
    case AttemptOutcome::kShed:
      return "shed";
    case AttemptOutcome::kNotRun:
      return "not-run";
    case AttemptOutcome::kOtherServer:
      return "other-server";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kNothingWritten:
      return "nothing-written";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimeout:
      return "timeout";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kCancelled:
      break;
  }
  return "cancelled";
}

ServiceRouter::ServiceRouter(RouterOptions aOptions,
                             Random aRandom,
                             EventHook aRecord)
  : m_options(std::move(aOptions))
  , m_random(aRandom)
  , m_record(std::move(aRecord))
  , m_retries(m_options.retryBudget)
{
}

void
ServiceRouter::SetServer(const BackendServer& aServer, TimePoint aNow)
{
  const auto existing = m_servers.find(aServer.id);
  const bool same = existing != m_servers.end() &&
                    existing->second.server.incarnation == aServer.incarnation;
  ServerView& view = m_servers[aServer.id];
  if (!same) {
    const std::uint32_t outstanding = view.outstanding;
    view = ServerView();
    view.outstanding = outstanding;
    view.firstSeen = aNow;
  }
  const std::optional<Duration> warmUpRemaining = view.server.warmUpRemaining;
  view.server = aServer;
  if (same) {
    // Measured from the time at which the server was first seen.
    view.server.warmUpRemaining = warmUpRemaining;
  }
  if (!same) {
    // In use at once; the next choice selects the subset again.
    view.inCell = IsInDomain(view);
    if (std::find(m_subset.begin(), m_subset.end(), &view) == m_subset.end()) {
      m_subset.push_back(&view);
    }
    m_subsetIsStale = true;
  }
}

void
ServiceRouter::RemoveServer(const BackendServerId& aServer)
{
  const auto it = m_servers.find(aServer);
  if (it == m_servers.end()) {
    return;
  }
  std::erase(m_subset, &it->second);
  m_servers.erase(it);
  m_subsetIsStale = true;
}

void
ServiceRouter::SetCell(Cell aCell)
{
  m_cell = std::move(aCell);
  m_hasCell = true;
  m_subsetIsStale = true;
}

bool
ServiceRouter::IsInDomain(const ServerView& aView) const
{
  return aView.server.failureDomain == m_options.failureDomain;
}

std::vector<BackendServerId>
ServiceRouter::ServersInDomain() const
{
  std::vector<BackendServerId> servers;
  for (const auto& [id, view] : m_servers) {
    if (IsInDomain(view) && view.server.state == ServerState::kUp) {
      servers.push_back(id);
    }
  }
  return servers;
}

// Each host uses a fixed subset of the servers of a large service, so that the
// connections to a server stay within its limit even with thousands of hosts.
void
ServiceRouter::UpdateSubset()
{
  if (!m_subsetIsStale) {
    return;
  }
  m_subsetIsStale = false;
  m_subset.clear();
  LimitHostsChanged();
  for (auto& [id, view] : m_servers) {
    view.inCell = IsInDomain(view) && (!m_hasCell || m_cell.cells == 1 ||
                                       m_cell.servers.count(id) != 0);
    view.inSubset = true;
  }
  if (m_servers.size() > m_options.subsetSize) {
    SelectSubset();
  }
  for (auto& [id, view] : m_servers) {
    if (view.inSubset) {
      m_subset.push_back(&view);
    }
  }
}

// The servers of the cell are always in the subset. The rest are servers for
// requests that the cell has no room for, half of them in the failure domain.
// Rendezvous hashing with the host's id distributes the hosts evenly.
void
ServiceRouter::SelectSubset()
{
  std::vector<BackendServerId> inDomain;
  std::vector<BackendServerId> elsewhere;
  std::size_t selected = 0;
  for (auto& [id, view] : m_servers) {
    view.inSubset = m_hasCell && view.inCell;
    selected += view.inSubset ? 1 : 0;
    if (!view.inSubset) {
      (m_hasCell && IsInDomain(view) ? inDomain : elsewhere).push_back(id);
    }
  }
  const std::size_t remaining =
    std::max(m_options.subsetSize, selected + kMinServersOutsideCell) -
    selected;
  const auto select = [this](std::vector<BackendServerId>& aIds,
                             std::size_t aCount) {
    std::sort(aIds.begin(), aIds.end());
    for (const BackendServerId& id :
         RendezvousTop(m_options.self.Value(), aIds, aCount)) {
      m_servers[id].inSubset = true;
    }
  };
  const std::size_t fromDomain = std::min(inDomain.size(), remaining / 2);
  select(inDomain, fromDomain);
  select(elsewhere, remaining - fromDomain);
}

// Hosts of a cell learn of a free slot at the same time. If all that have
// requests waiting took it, most of these would wait at the server. The hosts
// therefore take the free slots of a server in a fixed order that differs by
// server. The host whose own attempt just ended there takes the slot at once,
// before others know that it is free. A slot that stays free for some time is
// left to nobody: the other host may not reach the server.
bool
ServiceRouter::IsClaimedByPeer(ServerView& aView, TimePoint aNow) const
{
  if (!aView.inCell || !IsDue(aView.freedAt + kOwnSlotTime, aNow)) {
    return false;
  }
  const std::uint32_t taken = aView.outstanding + aView.peerOutstanding;
  const std::uint32_t free =
    aView.server.slots - std::min(taken, aView.server.slots);
  const auto rankOf = [&](const HostId& aHost) {
    return Hash64(aView.server.id.Value() + '/' + aHost.Value());
  };
  std::optional<std::uint64_t> own;
  std::uint32_t before = 0;
  for (const auto& [host, peer] : m_peers) {
    if (!peer.waiting.empty()) {
      own = own ? own : rankOf(m_options.self);
      before += rankOf(host) > *own ? 1 : 0;
    }
  }
  if (before == 0 || before < free) {
    return false;
  }
  if (aView.takenWhenLeft != taken) {
    aView.takenWhenLeft = taken;
    aView.leftUntil = aNow + kMaxLeaveTime;
  }
  return !IsDue(aView.leftUntil, aNow);
}

bool
ServiceRouter::IsEligible(ServerView& aView,
                          const ChoiceRequest& aRequest,
                          TimePoint aNow)
{
  if (aView.server.state != ServerState::kUp ||
      !IsDue(aView.avoidUntil, aNow) ||
      aView.outstanding + aView.peerOutstanding >= aView.server.slots ||
      IsClaimedByPeer(aView, aNow) || !aView.limit.MaySend(aNow) ||
      aRequest.excluded.count(aView.server.id) != 0) {
    return false;
  }
  double weight = 1.0;
  if (aView.restriction) {
    weight = aView.restriction->state == HealthState::kRamp
               ? aView.restriction->weight
               : 0.0;
  }
  const Duration age = aNow - aView.firstSeen;
  const Duration warmUp = aView.server.warmUpRemaining.value_or(kDefaultWarmUp);
  if (age < warmUp) {
    weight *= kInitialWarmUpWeight +
              (1.0 - kInitialWarmUpWeight) * ToSeconds(age) / ToSeconds(warmUp);
  }
  return weight >= 1.0 || m_random.Chance(weight);
}

std::optional<BackendServerId>
ServiceRouter::ChooseTrial(const ChoiceRequest& aRequest, TimePoint aNow)
{
  if (!aRequest.repeatable || !aRequest.excluded.empty()) {
    return std::nullopt;
  }
  for (ServerView* candidate : m_subset) {
    ServerView& view = *candidate;
    const bool trial = view.restriction &&
                       view.restriction->state == HealthState::kTrial &&
                       view.server.state == ServerState::kUp;
    if (!trial || view.outstanding > 0 || !IsDue(view.avoidUntil, aNow) ||
        !view.limit.MaySend(aNow)) {
      continue;
    }
    const double interval = static_cast<double>(m_reporters) / kTrialsPerSecond;
    if (!view.trialAt) {
      // All hosts learn of a trial at the same time. Spreading their first
      // requests over the interval avoids overloading the server.
      view.trialAt = aNow + FromSeconds(interval * m_random.Unit());
    }
    if (!IsDue(*view.trialAt, aNow)) {
      continue;
    }
    view.trialAt = aNow + FromSeconds(interval * (0.5 + m_random.Unit()));
    return view.server.id;
  }
  return std::nullopt;
}

std::optional<BackendServerId>
ServiceRouter::Choose(const ChoiceRequest& aRequest, TimePoint aNow)
{
  UpdateSubset();
  for (ServerView* view : m_subset) {
    UpdateLimitRank(*view, aNow);
  }
  if (m_options.usesHealthEstimates) {
    return ChooseByHealth(aRequest, aNow);
  }
  if (auto trial = ChooseTrial(aRequest, aNow)) {
    return trial;
  }
  std::vector<ServerView*> sameRegionServers;
  std::vector<ServerView*> otherRegionServers;
  for (ServerView* view : m_subset) {
    if (IsEligible(*view, aRequest, aNow)) {
      const bool sameRegion = view->server.region == m_options.region;
      (sameRegion ? sameRegionServers : otherRegionServers).push_back(view);
    }
  }
  ServerView* best = BestOfTwo(sameRegionServers, aNow);
  if (best == nullptr || Load(*best, aNow) >= kRemoteLoadThreshold) {
    ServerView* remote = BestOfTwo(otherRegionServers, aNow);
    const bool better =
      remote != nullptr &&
      (best == nullptr || Load(*remote, aNow) < Load(*best, aNow) - 0.5);
    best = better ? remote : best;
  }
  return best == nullptr ? std::nullopt
                         : std::optional<BackendServerId>(best->server.id);
}

ServiceRouter::ServerView*
ServiceRouter::BestOfTwo(const std::vector<ServerView*>& aViews, TimePoint aNow)
{
  if (aViews.empty()) {
    return nullptr;
  }
  ServerView* first = aViews[m_random.Below(aViews.size())];
  ServerView* second = aViews[m_random.Below(aViews.size())];
  return Score(*first, aNow) <= Score(*second, aNow) ? first : second;
}

// Share of the server's slots that are taken by the requests of this host, by
// those that peers report, and by an estimate of other requests that decays
// with its age.
double
ServiceRouter::Load(const ServerView& aView, TimePoint aNow) const
{
  const double age = ToSeconds(aNow - aView.otherHostsLoadAt);
  const double halfLife =
    std::max(kMinLoadHalfLifeSeconds, ToSeconds(m_latency.TypicalLatency()));
  const double others = aView.otherHostsLoad * std::exp2(-age / halfLife);
  return (aView.outstanding + aView.peerOutstanding + others) /
         aView.server.slots;
}

double
ServiceRouter::Score(const ServerView& aView, TimePoint aNow) const
{
  const double free = 1.0 / aView.server.slots;
  double score = Load(aView, aNow) + free;
  score *= 1.0 + kFailurePenalty * aView.failureRate;
  if (aView.server.failureDomain != m_options.failureDomain) {
    score *= kOtherDomainPenalty;
  }
  return score;
}

bool
ServiceRouter::AnsweredSince(const BackendServerId& aServer,
                             TimePoint aTime) const
{
  const auto it = m_servers.find(aServer);
  return it != m_servers.end() && it->second.lastSuccessStart > aTime;
}

bool
ServiceRouter::IsAvailable(const BackendServerId& aServer, TimePoint aNow) const
{
  const auto it = m_servers.find(aServer);
  return it != m_servers.end() && it->second.server.state == ServerState::kUp &&
         IsDue(it->second.avoidUntil, aNow) &&
         it->second.outstanding < it->second.server.slots &&
         it->second.limit.MaySend(aNow);
}

void
ServiceRouter::OnStarted(const BackendServerId& aServer, TimePoint aNow)
{
  ServerView& view = m_servers[aServer];
  ++view.outstanding;
  ++m_outstanding;
  view.limit.OnSent(aNow);
}

void
ServiceRouter::OnFinished(const BackendServerId& aServer,
                          const AttemptReport& aReport,
                          TimePoint aNow)
{
  m_outstanding -= m_outstanding > 0 ? 1 : 0;
  const auto it = m_servers.find(aServer);
  if (it == m_servers.end()) {
    return;
  }
  ServerView& view = it->second;
  view.outstanding -= view.outstanding > 0 ? 1 : 0;
  view.freedAt = aNow;
  RecordOutcome(view, aReport, aNow);
  if (aReport.retryAfter) {
    view.avoidUntil = std::max(view.avoidUntil, aNow + *aReport.retryAfter);
  }
  OnLimitNotice(view, aReport, aNow);
  if (aReport.reportedLoad) {
    const double own = view.outstanding + 1.0;
    view.otherHostsLoad = std::max(0.0, *aReport.reportedLoad - own);
    view.otherHostsLoadAt = aNow;
  }
  switch (aReport.outcome) {
    case AttemptOutcome::kSuccess: {
      view.failureRate *= 1.0 - kFailureRateSmoothing;
      view.lastSuccessStart =
        std::max(view.lastSuccessStart, aNow - aReport.latency);
      LatencyTracker& inRegion = m_latencyByRegion[view.server.region];
      const bool slow = aReport.latency > inRegion.SlowThreshold();
      if (!aReport.countedAsSlow) {
        view.counts.total += 1.0;
        view.counts.slow += slow ? 1.0 : 0.0;
        m_hasBadEvidence = m_hasBadEvidence || slow;
      }
      m_latency.Add(aReport.latency);
      if (m_ordersOverCell && view.inCell && HasRoomInCell(aNow)) {
        m_latencyWithRoom.Add(aReport.latency);
      }
      inRegion.Add(aReport.latency);
      m_hasEvidence = true;
      break;
    }
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kTimeout:
      RecordFailure(view);
      break;
    case AttemptOutcome::kOtherServer:
      view.avoidUntil = kNever; // until it restarts
      break;
    case AttemptOutcome::kRefused:
      view.avoidUntil = std::max(view.avoidUntil, aNow + kAvoidAfterRefused);
      RecordFailure(view);
      break;
    case AttemptOutcome::kShed:
      // The server is full, whatever load this host assumed, but not unhealthy.
      view.otherHostsLoad = view.server.slots;
      view.otherHostsLoadAt = aNow;
      if (m_options.usesHealthEstimates) {
        view.avoidUntil = std::max(view.avoidUntil, aNow + kAvoidAfterShed);
      }
      break;
    case AttemptOutcome::kBroken:
      // RecordBrokenConnection counts it once it is clear that the request did
      // not cause it.
      view.failureRate += kFailureRateSmoothing * (1.0 - view.failureRate);
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kNothingWritten:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kCancelled:
      break;
  }
}

Duration
ServiceRouter::SlowThreshold(const BackendServerId& aServer) const
{
  const BackendServer* server = Find(aServer);
  const auto inRegion = server == nullptr
                          ? m_latencyByRegion.end()
                          : m_latencyByRegion.find(server->region);
  return inRegion == m_latencyByRegion.end() ? LatencyTracker().SlowThreshold()
                                             : inRegion->second.SlowThreshold();
}

void
ServiceRouter::RecordFailure(ServerView& aView)
{
  aView.failureRate += kFailureRateSmoothing * (1.0 - aView.failureRate);
  aView.counts.total += 1.0;
  aView.counts.failures += 1.0;
  m_hasEvidence = true;
  m_hasBadEvidence = true;
}

void
ServiceRouter::OnOverdue(const BackendServerId& aServer, TimePoint aNow)
{
  const auto it = m_servers.find(aServer);
  if (it == m_servers.end()) {
    return;
  }
  it->second.counts.total += 1.0;
  it->second.counts.slow += 1.0;
  it->second.path.OnDelay(aNow);
  m_hasEvidence = true;
  m_hasBadEvidence = true;
}

void
ServiceRouter::RecordBrokenConnection(const BackendServerId& aServer)
{
  const auto it = m_servers.find(aServer);
  if (it != m_servers.end()) {
    it->second.broken = true;
    m_hasEvidence = true;
    m_hasBadEvidence = true;
  }
}

void
ServiceRouter::SetRestrictions(const std::vector<ServerHealth>& aHealth,
                               std::uint32_t aReporters,
                               TimePoint aUntil)
{
  m_reporters = std::max(1U, aReporters);
  m_restrictionsUntil = aUntil;
  for (auto& [id, view] : m_servers) {
    view.restriction.reset();
  }
  for (const ServerHealth& health : aHealth) {
    const auto it = m_servers.find(health.id);
    if (it != m_servers.end() &&
        it->second.server.incarnation == health.incarnation) {
      it->second.restriction = health;
    }
  }
  for (auto& [id, view] : m_servers) {
    const bool onTrial =
      view.restriction && view.restriction->state == HealthState::kTrial;
    if (!onTrial) {
      view.trialAt.reset();
    }
  }
}

std::vector<ReportedCounts>
ServiceRouter::TakeEvidence()
{
  std::vector<ReportedCounts> evidence;
  for (auto& [id, view] : m_servers) {
    const OutcomeCounts& counts = view.counts;
    if (counts.total != 0.0 || view.broken) {
      evidence.push_back({ id, view.server.incarnation, counts, view.broken });
      view.counts = OutcomeCounts();
      view.broken = false;
    }
  }
  m_hasEvidence = false;
  m_hasBadEvidence = false;
  return evidence;
}

std::vector<MonitoredServer>
ServiceRouter::MonitoredServers() const
{
  std::vector<MonitoredServer> servers;
  for (const auto& [id, view] : m_servers) {
    if (view.server.state == ServerState::kUp) {
      servers.push_back({ id, view.server.incarnation, view.server.slots });
    }
  }
  return servers;
}

std::uint64_t
ServiceRouter::TotalSlots() const
{
  std::uint64_t slots = 0;
  for (const ServerView* view : m_subset) {
    const bool used = view->server.state == ServerState::kUp;
    slots += used ? view->server.slots : 0;
  }
  return slots;
}

const BackendServer*
ServiceRouter::Find(const BackendServerId& aServer) const
{
  const auto it = m_servers.find(aServer);
  return it == m_servers.end() ? nullptr : &it->second.server;
}

const ServerHealth*
ServiceRouter::RestrictionOf(const BackendServerId& aServer) const
{
  const auto it = m_servers.find(aServer);
  const bool restricted = it != m_servers.end() && it->second.restriction;
  return restricted ? &*it->second.restriction : nullptr;
}

} // namespace fuchsiaramp

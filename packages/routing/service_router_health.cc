// Server selection by health estimates that hosts share, and the updates of
// these estimates.
#include <algorithm>

#include "routing/service_router.h"

namespace fuchsiaramp {

// Thresholds of the probability that a server is unhealthy. Above
// kSuspectThreshold a server may get a repeatable request as a trial; above
// kUnhealthyThreshold it gets no other requests.
static constexpr double kSuspectThreshold = 0.15;
static constexpr double kUnhealthyThreshold = 0.5;
static constexpr Duration kMinTrialInterval = std::chrono::milliseconds(800);
// A suspected server that is usable and has had no outcome for this long gets a
// trial even if a failed one could not be retried.
static constexpr Duration kMaxNeglect = std::chrono::seconds(1);
// Cost of a server whose slots are all taken, as a share of a request's value.
static constexpr double kLoadCost = 0.1;
// Peers send their load repeatedly while it is not zero.
static constexpr Duration kPeerLoadLifetime = std::chrono::milliseconds(600);
// Cost of a server of another cell, whose load is unknown.
static constexpr double kOtherCellCost = 0.1;
static constexpr double kTieNoise = 0.02;
static constexpr int kSlowOutsideFactor = 2;
// A cell has room while at least one of this many of its usable slots is free.
static constexpr std::size_t kRoomDivisor = 8;
// The start of a fault episode should be detected by a request that can be
// retried rather than by one that cannot. Repeatable requests therefore prefer
// the server in the failure domain that has had no outcome for longest, and
// other requests prefer servers with recent outcomes. Both values are shares of
// a request's value, for a server whose probability of being unhealthy is 1.
static constexpr double kProbeValue = 2.0;
static constexpr double kNonRepeatableRisk = 1.0;

// The probability that a request fails at the server or on the way to it.
double
ServiceRouter::UnhealthyProbability(const ServerView& aView, TimePoint aNow)
{
  return std::max(aView.health.UnhealthyProbability(aNow),
                  aView.path.UnhealthyProbability(aNow));
}

// Expected loss from sending a request to the server, as a share of its value.
double
ServiceRouter::ExpectedCost(const ServerView& aView, TimePoint aNow) const
{
  const double healthy = (1.0 - aView.health.UnhealthyProbability(aNow)) *
                         (1.0 - aView.path.UnhealthyProbability(aNow));
  double cost = 1.0 - healthy;
  if (aView.server.region != m_options.region) {
    cost += m_options.regionCost;
  } else if (!IsInDomain(aView)) {
    cost += m_options.domainCost;
  } else if (!aView.inCell) {
    cost += kOtherCellCost;
  }
  return cost + kLoadCost * Load(aView, aNow);
}

bool
ServiceRouter::HasHealthyServerInDomain(const ChoiceRequest& aRequest,
                                        TimePoint aNow) const
{
  return std::any_of(
    m_subset.begin(), m_subset.end(), [&](const ServerView* aView) {
      const ServerView& view = *aView;
      return IsInDomain(view) && view.server.state == ServerState::kUp &&
             IsDue(view.avoidUntil, aNow) &&
             aRequest.excluded.count(view.server.id) == 0 &&
             UnhealthyProbability(view, aNow) <= kSuspectThreshold;
    });
}

void
ServiceRouter::SetPeerLoad(
  const HostId& aPeer,
  const std::map<BackendServerId, std::uint32_t>& aLoad,
  const std::map<std::uint32_t, std::uint32_t>& aWaiting,
  TimePoint aNow)
{
  PeerLoad& peer = m_peers[aPeer];
  AddPeerLoad(peer.outstanding, false);
  peer = { aNow, aLoad, aWaiting };
  AddPeerLoad(aLoad, true);
}

std::map<std::uint32_t, std::uint32_t>
ServiceRouter::WaitingAtPeers() const
{
  std::map<std::uint32_t, std::uint32_t> waiting;
  for (const auto& [host, peer] : m_peers) {
    for (const auto& [priority, count] : peer.waiting) {
      waiting[priority] += count;
    }
  }
  return waiting;
}

std::uint32_t
ServiceRouter::FreeSlotsOfCell(TimePoint aNow) const
{
  std::uint32_t free = 0;
  for (const ServerView* view : m_subset) {
    const std::uint32_t taken = view->outstanding + view->peerOutstanding;
    if (view->inCell && IsUsable(*view, aNow) && view->limit.MaySend(aNow)) {
      free += view->server.slots - std::min(taken, view->server.slots);
    }
  }
  return free;
}

void
ServiceRouter::ExpirePeerLoads(TimePoint aNow)
{
  std::erase_if(m_peers, [&](const auto& aItem) {
    const bool expired =
      IsDue(aItem.second.receivedAt + kPeerLoadLifetime, aNow);
    if (expired) {
      AddPeerLoad(aItem.second.outstanding, false);
    }
    return expired;
  });
}

// Adds a peer's outstanding requests to the views of their servers, or removes
// them. A view that was created after the load was added does not contain it.
void
ServiceRouter::AddPeerLoad(
  const std::map<BackendServerId, std::uint32_t>& aLoad,
  bool aAdd)
{
  for (const auto& [id, outstanding] : aLoad) {
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
      continue;
    }
    std::uint32_t& total = it->second.peerOutstanding;
    total = aAdd ? total + outstanding : total - std::min(total, outstanding);
  }
}

std::map<BackendServerId, std::uint32_t>
ServiceRouter::OwnLoad() const
{
  std::map<BackendServerId, std::uint32_t> load;
  for (const ServerView* view : m_subset) {
    if (view->inCell && view->outstanding > 0) {
      load[view->server.id] = view->outstanding;
    }
  }
  return load;
}

// Whether requests may go to the server, whatever its slots and its limit say.
bool
ServiceRouter::IsUsable(const ServerView& aView, TimePoint aNow) const
{
  if (aView.server.state != ServerState::kUp ||
      !IsDue(aView.avoidUntil, aNow)) {
    return false;
  }
  return m_options.usesHealthEstimates
           ? UnhealthyProbability(aView, aNow) <= kUnhealthyThreshold
           : !aView.restriction ||
               aView.restriction->state == HealthState::kRamp;
}

ServiceRouter::CellUsage
ServiceRouter::UsageOfCell(TimePoint aNow) const
{
  CellUsage usage;
  for (const ServerView* view : m_subset) {
    if (!view->inCell) {
      usage.outside += view->outstanding;
      continue;
    }
    const bool usable = IsUsable(*view, aNow);
    const bool limited = view->limit.IsInForce(aNow);
    usage.slots += view->server.slots;
    usage.usableSlots += usable && !limited ? view->server.slots : 0;
    if (usable && limited) {
      usage.limitedSlots +=
        std::min<double>(view->server.slots,
                         view->limit.OwnRate(aNow).perSecond *
                           ToSeconds(m_latency.TypicalLatency()));
    }
    usage.inside += view->outstanding;
  }
  return usage;
}

double
ServiceRouter::BusyShare(TimePoint aNow) const
{
  double busy = 0.0;
  double slots = 0.0;
  const auto add = [&](bool aAll) {
    for (const ServerView* view : m_subset) {
      if ((aAll || view->inCell) && IsUsable(*view, aNow)) {
        busy += std::min(view->outstanding + view->peerOutstanding,
                         view->server.slots);
        slots += view->server.slots;
      }
    }
  };
  add(false);
  if (slots == 0.0) {
    add(true);
  }
  return slots == 0.0 ? 1.0 : busy / slots;
}

bool
ServiceRouter::HasRoomInCell(TimePoint aNow) const
{
  return kRoomDivisor * FreeSlotsOfCell(aNow) >= UsageOfCell(aNow).usableSlots;
}

std::size_t
ServiceRouter::LimitOutsideCell(const CellUsage& aUsage) const
{
  return m_overflowLimit.Limit(
    OverflowFloor(aUsage.slots, aUsage.usableSlots, m_cell.peers.size() + 1));
}

bool
ServiceRouter::AdmitsOutsideCell(const CellUsage& aUsage, TimePoint aNow) const
{
  return m_ordersOverCell ? m_scaledOverflowLimit.Admits(
                              aUsage.outside, BaseOutsideCell(aUsage), aNow)
                          : aUsage.outside < LimitOutsideCell(aUsage);
}

double
ServiceRouter::BaseOutsideCell(const CellUsage& aUsage) const
{
  return OverflowBase(
    aUsage.slots, aUsage.usableSlots, m_cell.peers.size() + 1);
}

double
ServiceRouter::Concurrency(TimePoint aNow) const
{
  if (!m_options.usesHealthEstimates) {
    return static_cast<double>(m_outstanding);
  }
  const CellUsage usage = UsageOfCell(aNow);
  const double share =
    usage.limitedSlots + static_cast<double>(usage.usableSlots) /
                           static_cast<double>(m_cell.peers.size() + 1);
  const double limitOutside =
    m_ordersOverCell ? m_scaledOverflowLimit.Limit(BaseOutsideCell(usage))
                     : static_cast<double>(LimitOutsideCell(usage));
  return std::max(share, static_cast<double>(usage.inside)) +
         std::max(static_cast<double>(usage.outside), limitOutside);
}

// A response from outside the cell is slow if it takes twice as long as is
// typical for its region.
void
ServiceRouter::UpdateOverflowLimit(const ServerView& aView,
                                   const AttemptReport& aReport,
                                   TimePoint aNow)
{
  if (aView.inCell) {
    return;
  }
  if (m_ordersOverCell) {
    UpdateScaledOverflowLimit(aView, aReport, aNow);
    return;
  }
  const bool answered = aReport.outcome == AttemptOutcome::kSuccess;
  if (!answered && aReport.outcome != AttemptOutcome::kShed) {
    return;
  }
  const Duration typical =
    m_latencyByRegion[aView.server.region].TypicalLatency();
  const bool slow = !answered || aReport.latency > kSlowOutsideFactor * typical;
  m_overflowLimit.OnResponse(UsageOfCell(aNow).outside + 1, slow);
}

// Compares with responses from the cell while that has room, besides the way to
// the other region: in a lasting overload all responses contain the wait at
// servers, and the limit would grow although all servers are full.
void
ServiceRouter::UpdateScaledOverflowLimit(const ServerView& aView,
                                         const AttemptReport& aReport,
                                         TimePoint aNow)
{
  const bool answered = aReport.outcome == AttemptOutcome::kSuccess;
  const CellUsage usage = UsageOfCell(aNow);
  const double base = BaseOutsideCell(usage);
  const Duration here = m_latencyByRegion[m_options.region].TypicalLatency();
  const Duration there =
    m_latencyByRegion[aView.server.region].TypicalLatency();
  const Duration typical =
    m_latencyWithRoom.TypicalLatency() + std::max(Duration(), there - here);
  m_scaledOverflowLimit.OnEnded(base, typical, aNow);
  if (!answered && aReport.outcome != AttemptOutcome::kShed) {
    return;
  }
  const bool slow = !answered || aReport.latency > kSlowOutsideFactor * typical;
  m_scaledOverflowLimit.OnResponse(usage.outside + 1, base, slow);
}

// Selects the server with the lowest expected cost. A repeatable request may
// instead go to a suspected server as a trial, since it can be retried.
std::optional<BackendServerId>
ServiceRouter::ChooseByHealth(const ChoiceRequest& aRequest, TimePoint aNow)
{
  ServerView* best = nullptr;
  ServerView* suspect = nullptr;
  double bestCost = 0.0;
  const bool staysInDomain =
    aRequest.staysInDomain && HasHealthyServerInDomain(aRequest, aNow);
  const bool isFirstAttempt = aRequest.repeatable && aRequest.excluded.empty();
  // Probing protects once-only requests. Where there are none, it must not use
  // up the tokens for requests that fail unexpectedly.
  const bool mayProbe =
    isFirstAttempt &&
    (m_hasOnceOnly ? m_retries.MayRetry() : m_retries.HasSurplus());
  const CellUsage usage = UsageOfCell(aNow);
  const bool staysInCell = !AdmitsOutsideCell(usage, aNow);
  for (ServerView* candidate : m_subset) {
    ServerView& view = *candidate;
    const bool inDomain = IsInDomain(view);
    if ((staysInDomain && !inDomain) || (staysInCell && !view.inCell) ||
        !IsEligible(view, aRequest, aNow)) {
      continue;
    }
    const double unhealthy = UnhealthyProbability(view, aNow);
    const TimePoint lastOutcomeAt =
      std::max(view.health.UpdatedAt(), view.path.UpdatedAt());
    const bool recentlyTried =
      !IsDue(lastOutcomeAt + kMinTrialInterval, aNow) ||
      !IsDue(view.trialAt.value_or(aNow), aNow) || view.outstanding > 0;
    const bool neglected = isFirstAttempt && unhealthy <= kUnhealthyThreshold &&
                           IsDue(lastOutcomeAt + kMaxNeglect, aNow);
    const bool trial = (mayProbe || neglected) && inDomain &&
                       unhealthy > kSuspectThreshold && !recentlyTried;
    if (trial && (suspect == nullptr || m_random.Chance(0.5))) {
      suspect = &view;
    }
    // Requests wait rather than go to a server where they would more likely
    // fail than succeed. Only a repeatable request may go there, as a trial.
    if (unhealthy > kUnhealthyThreshold) {
      continue;
    }
    double cost = ExpectedCost(view, aNow) + kTieNoise * m_random.Unit();
    if (mayProbe && inDomain && unhealthy <= kSuspectThreshold) {
      cost -= kProbeValue * unhealthy;
    } else if (!aRequest.repeatable) {
      cost += kNonRepeatableRisk * unhealthy;
    }
    if (best == nullptr || cost < bestCost) {
      best = &view;
      bestCost = cost;
    }
  }
  if (suspect != nullptr) {
    suspect->trialAt = aNow + kMinTrialInterval;
    return suspect->server.id;
  }
  return best == nullptr ? std::nullopt
                         : std::optional<BackendServerId>(best->server.id);
}

// Logs only changes caused by this host's own attempts. Other hosts log theirs.
void
ServiceRouter::RecordOutcome(ServerView& aView,
                             const AttemptReport& aReport,
                             TimePoint aNow)
{
  UpdateOverflowLimit(aView, aReport, aNow);
  const double before = UnhealthyProbability(aView, aNow);
  ApplyOutcome(aView, aReport, aNow);
  const double after = UnhealthyProbability(aView, aNow);
  if ((before > kUnhealthyThreshold) == (after > kUnhealthyThreshold)) {
    return;
  }
  m_record(Event(after > before ? "server_suspected" : "server_trusted")
             .With("server", aView.server.id)
             .With("outcome", ToText(aReport.outcome))
             .With("sick_before", before)
             .With("sick", after)
             .With("path", aView.path.UnhealthyProbability(aNow)));
}

// Outcomes that the server itself caused are shared with all hosts. Outcomes
// that the path may have caused change only this host's estimate of the path.
void
ServiceRouter::ApplyOutcome(ServerView& aView,
                            const AttemptReport& aReport,
                            TimePoint aNow)
{
  switch (aReport.outcome) {
    case AttemptOutcome::kSuccess:
      if (aView.health.UnhealthyProbability(aNow) > kSuspectThreshold) {
        QueueSharedOutcome(aView, true);
      }
      aView.health.OnSuccess(aNow);
      aView.path.OnSuccess(aNow);
      break;
    case AttemptOutcome::kServerError:
      aView.health.OnFailure(aNow);
      QueueSharedOutcome(aView, false);
      break;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kTimeout:
    case AttemptOutcome::kSilent:
      aView.path.OnUnreachable(aNow);
      break;
    default:
      break;
  }
}

void
ServiceRouter::QueueSharedOutcome(const ServerView& aView, bool aSuccess)
{
  ReportedCounts& counts = m_sharedOutcomes[aView.server.id];
  counts.server = aView.server.id;
  counts.incarnation = aView.server.incarnation;
  counts.counts.total += 1.0;
  counts.counts.failures += aSuccess ? 0.0 : 1.0;
}

std::vector<ReportedCounts>
ServiceRouter::TakeSharedOutcomes()
{
  std::vector<ReportedCounts> outcomes;
  for (const auto& [id, counts] : m_sharedOutcomes) {
    outcomes.push_back(counts);
  }
  m_sharedOutcomes.clear();
  return outcomes;
}

void
ServiceRouter::OnSharedOutcome(const BackendServerId& aServer,
                               std::uint64_t aIncarnation,
                               bool aSuccess,
                               TimePoint aNow)
{
  const auto it = m_servers.find(aServer);
  if (it == m_servers.end() || it->second.server.incarnation != aIncarnation) {
    return;
  }
  if (aSuccess) {
    it->second.health.OnSuccess(aNow);
  } else {
    it->second.health.OnFailure(aNow);
  }
}

void
ServiceRouter::ForgetPaths()
{
  for (auto& [id, view] : m_servers) {
    view.path = HealthEstimate(kPathHealthOptions);
  }
}

std::optional<TimePoint>
ServiceRouter::LastOutcomeAt(const BackendServerId& aServer) const
{
  const auto it = m_servers.find(aServer);
  if (it == m_servers.end() || it->second.health.UpdatedAt() == TimePoint()) {
    return std::nullopt;
  }
  return it->second.health.UpdatedAt();
}

double
ServiceRouter::UnhealthyProbability(const BackendServerId& aServer,
                                    TimePoint aNow) const
{
  const auto it = m_servers.find(aServer);
  return it == m_servers.end() ? 0.0
                               : it->second.health.UnhealthyProbability(aNow);
}

} // namespace fuchsiaramp

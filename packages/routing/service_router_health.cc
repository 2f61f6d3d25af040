// The router's choice by beliefs that hosts share, and what feeds them.
#include <algorithm>

#include "routing/service_router.h"

namespace fuchsiaramp {

// Choice by belief. Above kSuspected a server is worth a trial by a repeatable
// request; above kMostSick work goes there only as a trial.
static constexpr double kSuspected = 0.15;
static constexpr double kMostSick = 0.5;
static constexpr Duration kTrialGap = std::chrono::milliseconds(800);
// Cost of a server whose slots are all taken, as a share of a request's worth.
static constexpr double kLoadCost = 0.1;
// Peers repeat their load while it is not zero.
static constexpr Duration kPeerSilence = std::chrono::milliseconds(600);
static constexpr double kTieNoise = 0.02;
// A request that can be sent once more is better the first to meet a sick spell
// than one that cannot: it goes to the server nearby that was not heard of for
// longest, and the others keep to those heard of lately. Both are shares of a
// request's worth for a server that is surely sick.
static constexpr double kLookWorth = 2.0;
static constexpr double kOnceRisk = 1.0;

// Share of a request's worth that is expected to be lost on the server.
double
ServiceRouter::Cost(const ServerView& aView, TimePoint aNow) const
{
  const double well = (1.0 - aView.belief.UnhealthyProbability(aNow)) *
                      (1.0 - aView.path.UnhealthyProbability(aNow));
  double cost = 1.0 - well;
  if (aView.server.region != m_options.region) {
    cost += m_options.regionCost;
  } else if (aView.server.failureDomain != m_options.failureDomain) {
    cost += m_options.domainCost;
  }
  return cost + kLoadCost * Load(aView, aNow);
}

bool
ServiceRouter::HasFitServerNear(const ChoiceRequest& aRequest,
                                TimePoint aNow) const
{
  return std::any_of(
    m_servers.begin(), m_servers.end(), [&](const auto& aItem) {
      const ServerView& view = aItem.second;
      return view.server.failureDomain == m_options.failureDomain &&
             view.server.state == ServerState::kUp &&
             IsDue(view.avoidUntil, aNow) &&
             aRequest.excluded.count(view.server.id) == 0 &&
             std::max(view.belief.UnhealthyProbability(aNow),
                      view.path.UnhealthyProbability(aNow)) <= kSuspected;
    });
}

void
ServiceRouter::SetPeerLoad(
  const HostId& aPeer,
  const std::map<BackendServerId, std::uint32_t>& aLoad,
  TimePoint aNow)
{
  m_peers[aPeer] = { aNow, aLoad };
  CountPeerLoad();
}

void
ServiceRouter::ExpirePeerLoads(TimePoint aNow)
{
  const auto forgotten = std::erase_if(m_peers, [&](const auto& aItem) {
    return IsDue(aItem.second.heardAt + kPeerSilence, aNow);
  });
  if (forgotten > 0) {
    CountPeerLoad();
  }
}

void
ServiceRouter::CountPeerLoad()
{
  for (auto& [id, view] : m_servers) {
    view.peersOutstanding = 0;
    for (const auto& [peer, load] : m_peers) {
      const auto server = load.outstanding.find(id);
      view.peersOutstanding +=
        server == load.outstanding.end() ? 0 : server->second;
    }
  }
}

std::map<BackendServerId, std::uint32_t>
ServiceRouter::OwnLoad() const
{
  std::map<BackendServerId, std::uint32_t> load;
  for (const auto& [id, view] : m_servers) {
    const bool near = view.server.failureDomain == m_options.failureDomain;
    if (near && view.outstanding > 0) {
      load[id] = view.outstanding;
    }
  }
  return load;
}

// The server that is expected to cost least. A repeatable request may first
// find out whether a suspected server is well again, since it can be sent once
// more.
std::optional<BackendServerId>
ServiceRouter::ChooseByBelief(const ChoiceRequest& aRequest, TimePoint aNow)
{
  ServerView* best = nullptr;
  ServerView* suspect = nullptr;
  double bestCost = 0.0;
  const bool staysNear = aRequest.staysNear && HasFitServerNear(aRequest, aNow);
  const bool mayLook =
    aRequest.repeatable && aRequest.excluded.empty() && m_retries.MayRetry();
  for (auto& [id, view] : m_servers) {
    if (staysNear && view.server.failureDomain != m_options.failureDomain) {
      continue;
    }
    if (!IsEligible(view, aRequest, aNow)) {
      continue;
    }
    const double sick = std::max(view.belief.UnhealthyProbability(aNow),
                                 view.path.UnhealthyProbability(aNow));
    const TimePoint seenAt =
      std::max(view.belief.UpdatedAt(), view.path.UpdatedAt());
    const bool near = view.server.failureDomain == m_options.failureDomain;
    const bool tried = !IsDue(seenAt + kTrialGap, aNow) ||
                       !IsDue(view.trialAt.value_or(aNow), aNow) ||
                       view.outstanding > 0;
    const bool trial = mayLook && near && sick > kSuspected && !tried;
    if (trial && (suspect == nullptr || m_random.Chance(0.5))) {
      suspect = &view;
    }
    // Work that cannot be sent again waits rather than goes where it would
    // more likely fail than not.
    if (sick > kMostSick) {
      continue;
    }
    double cost = Cost(view, aNow) + kTieNoise * m_random.Unit();
    if (mayLook && near && sick <= kSuspected) {
      cost -= kLookWorth * sick;
    } else if (!aRequest.repeatable) {
      cost += kOnceRisk * sick;
    }
    if (best == nullptr || cost < bestCost) {
      best = &view;
      bestCost = cost;
    }
  }
  if (suspect != nullptr) {
    suspect->trialAt = aNow + kTrialGap;
    return suspect->server.id;
  }
  return best == nullptr ? std::nullopt
                         : std::optional<BackendServerId>(best->server.id);
}

// Only what this host saw itself is recorded; others record what they saw.
void
ServiceRouter::Believe(ServerView& aView,
                       const AttemptReport& aReport,
                       TimePoint aNow)
{
  const auto sick = [&] {
    return std::max(aView.belief.UnhealthyProbability(aNow),
                    aView.path.UnhealthyProbability(aNow));
  };
  const double before = sick();
  Learn(aView, aReport, aNow);
  const double after = sick();
  if ((before > kMostSick) == (after > kMostSick)) {
    return;
  }
  m_record(Event(after > before ? "server_suspected" : "server_trusted")
             .With("server", aView.server.id)
             .With("outcome", ToText(aReport.outcome))
             .With("sick_before", before)
             .With("sick", after)
             .With("path", aView.path.UnhealthyProbability(aNow)));
}

// What the server itself did is told to all hosts; what may be the fault of the
// way to it is kept here.
void
ServiceRouter::Learn(ServerView& aView,
                     const AttemptReport& aReport,
                     TimePoint aNow)
{
  switch (aReport.outcome) {
    case AttemptOutcome::kSuccess:
      if (aView.belief.UnhealthyProbability(aNow) > kSuspected) {
        Share(aView, true);
      }
      aView.belief.OnSuccess(aNow);
      aView.path.OnSuccess(aNow);
      break;
    case AttemptOutcome::kServerError:
      aView.belief.OnFailure(aNow);
      Share(aView, false);
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
ServiceRouter::Share(const ServerView& aView, bool aSuccess)
{
  ReportedCounts& counts = m_shared[aView.server.id];
  counts.server = aView.server.id;
  counts.incarnation = aView.server.incarnation;
  counts.counts.total += 1.0;
  counts.counts.failures += aSuccess ? 0.0 : 1.0;
}

std::vector<ReportedCounts>
ServiceRouter::TakeSharedOutcomes()
{
  std::vector<ReportedCounts> outcomes;
  for (const auto& [id, counts] : m_shared) {
    outcomes.push_back(counts);
  }
  m_shared.clear();
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
    it->second.belief.OnSuccess(aNow);
  } else {
    it->second.belief.OnFailure(aNow);
  }
}

std::optional<TimePoint>
ServiceRouter::LastOutcomeAt(const BackendServerId& aServer) const
{
  const auto it = m_servers.find(aServer);
  if (it == m_servers.end() || it->second.belief.UpdatedAt() == TimePoint()) {
    return std::nullopt;
  }
  return it->second.belief.UpdatedAt();
}

double
ServiceRouter::UnhealthyProbability(const BackendServerId& aServer,
                                    TimePoint aNow) const
{
  const auto it = m_servers.find(aServer);
  return it == m_servers.end() ? 0.0
                               : it->second.belief.UnhealthyProbability(aNow);
}

} // namespace fuchsiaramp

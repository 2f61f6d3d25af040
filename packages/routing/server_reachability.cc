#include "routing/server_reachability.h"

#include <algorithm>
#include <utility>

namespace fuchsiaramp {

// A host that fails to reach fewer servers than this may be the victim of the
// servers.
static constexpr std::size_t kMinServers = 3;
// Enough that, while any considerable share of the servers is reachable, one of
// them is among those probed.
static constexpr std::size_t kProbesOnSuspicion = 8;
static constexpr std::size_t kProbesWhileCutOff = 3;
static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
static constexpr Duration kEvidenceLifetime = std::chrono::seconds(5);
// A host that established a connection within this time notices by itself.
static constexpr Duration kRecentlyConnected = std::chrono::seconds(1);

ServerReachability::ServerReachability(ServerReachabilityHooks aHooks,
                                       Random aRandom)
  : m_hooks(std::move(aHooks))
  , m_random(aRandom)
{
}

void
ServerReachability::OnConnected(TimePoint aStartedAt)
{
  m_connectedAt = std::max(m_connectedAt, aStartedAt);
  std::erase_if(m_unreachable, [this](const auto& aItem) {
    return aItem.second <= m_connectedAt;
  });
}

void
ServerReachability::OnUnreachable(const BackendServerId& aServer,
                                  TimePoint aStartedAt,
                                  TimePoint aNow)
{
  if (aStartedAt <= m_connectedAt) {
    return;
  }
  TimePoint& startedAt = m_unreachable[aServer];
  startedAt = std::max(startedAt, aStartedAt);
  Tick(aNow);
}

void
ServerReachability::OnPeerCutOff(TimePoint aNow)
{
  m_checkRequested =
    !m_cutOff && IsDue(m_connectedAt + kRecentlyConnected, aNow);
}

void
ServerReachability::Tick(TimePoint aNow)
{
  std::erase_if(m_unreachable, [&](const auto& aItem) {
    return IsDue(aItem.second + kEvidenceLifetime, aNow);
  });
  const bool suspected = m_unreachable.size() >= kMinServers;
  if ((m_cutOff || suspected || m_checkRequested) && m_probes.empty() &&
      IsDue(m_nextProbesAt, aNow)) {
    StartProbes(aNow);
  }
}

void
ServerReachability::StartProbes(TimePoint aNow)
{
  m_checkRequested = false;
  m_nextProbesAt = aNow + kProbeInterval;
  m_probesStartedAt = aNow;
  m_probesFailed = 0;
  std::vector<std::pair<ProbeId, std::string>> probes;
  for (const ProbeTarget& target :
       SelectTargets(m_cutOff ? kProbesWhileCutOff : kProbesOnSuspicion)) {
    probes.emplace_back(m_nextProbe, target.address);
    m_probes.insert(m_nextProbe);
    m_nextProbe = m_nextProbe.Next();
  }
  for (const auto& [probe, address] : probes) {
    m_hooks.startProbe(probe, address);
  }
}

// Random servers, with as equal a number of each service as possible.
std::vector<ProbeTarget>
ServerReachability::SelectTargets(std::size_t aCount)
{
  std::vector<ProbeTarget> servers = m_hooks.servers();
  m_random.Shuffle(servers);
  std::map<ServiceName, std::size_t> seen;
  std::vector<std::pair<std::size_t, ProbeTarget>> ranked;
  for (ProbeTarget& server : servers) {
    const std::size_t rank = seen[server.service]++;
    ranked.emplace_back(rank, std::move(server));
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<ProbeTarget> targets;
  for (auto& [rank, server] : ranked) {
    if (targets.size() < aCount) {
      targets.push_back(std::move(server));
    }
  }
  return targets;
}

void
ServerReachability::OnProbeEnd(ProbeId aProbe, bool aConnected, TimePoint aNow)
{
  if (m_probes.erase(aProbe) == 0) {
    return;
  }
  if (aConnected) {
    m_probes.clear();
    OnConnected(m_probesStartedAt);
    SetCutOff(false);
    return;
  }
  ++m_probesFailed;
  if (m_probes.empty() && m_probesFailed >= kMinServers &&
      m_connectedAt < m_probesStartedAt) {
    SetCutOff(true);
  }
  Tick(aNow);
}

void
ServerReachability::SetCutOff(bool aCutOff)
{
  if (m_cutOff == aCutOff) {
    return;
  }
  m_cutOff = aCutOff;
  m_hooks.changed();
}

} // namespace fuchsiaramp

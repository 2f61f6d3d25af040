// Decides whether a host has lost its connections to all backend servers.
//
// Failed connections to several servers since the last one that was established
// raise a suspicion. Connections to servers of all services then either refute
// or confirm it. While the host is cut off, further ones show when servers are
// reachable again.
//
//   ServerReachability reachability(hooks, random);
//   reachability.OnUnreachable(server, startedAt, now);
//   reachability.OnProbeEnd(probe, false, now);
//   if (reachability.IsCutOff()) { ... }
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace fuchsiaramp {

struct ProbeTarget
{
  ServiceName service;
  std::string address; // IP:port
};

struct ServerReachabilityHooks
{
  // The servers that take requests.
  std::function<std::vector<ProbeTarget>()> servers;
  // Opens and closes a connection; OnProbeEnd must follow.
  std::function<void(ProbeId, const std::string& aAddress)> startProbe;
  // IsCutOff changed.
  std::function<void()> changed;
};

class ServerReachability
{
public:
  ServerReachability(ServerReachabilityHooks aHooks, Random aRandom);

  // A new connection that was started at aStartedAt was established.
  void OnConnected(TimePoint aStartedAt);
  // A new connection that was started at aStartedAt could not be established.
  void OnUnreachable(const BackendServerId& aServer,
                     TimePoint aStartedAt,
                     TimePoint aNow);
  // Another host of the region is cut off, so this one may be, too.
  void OnPeerCutOff(TimePoint aNow);
  void OnProbeEnd(ProbeId aProbe, bool aConnected, TimePoint aNow);
  void Tick(TimePoint aNow);

  bool IsCutOff() const { return m_cutOff; }

private:
  void StartProbes(TimePoint aNow);
  std::vector<ProbeTarget> SelectTargets(std::size_t aCount);
  void SetCutOff(bool aCutOff);

  ServerReachabilityHooks m_hooks;
  Random m_random;
  bool m_cutOff = false;
  bool m_checkRequested = false;
  // Start of the last connection that was established.
  TimePoint m_connectedAt;
  // Servers that could not be reached since then, with the start of the last
  // connection.
  std::map<BackendServerId, TimePoint> m_unreachable;
  ProbeId m_nextProbe{ 1 };
  std::set<ProbeId> m_probes; // running
  TimePoint m_probesStartedAt;
  std::size_t m_probesFailed = 0;
  TimePoint m_nextProbesAt;
};

} // namespace fuchsiaramp

// Keeps the lists of one entry host in force.
//
// The host has no disk: after a start it serves only once a version is
// confirmed. A leader with a lease confirms, directly or relayed by another
// entry host. When control cannot be reached at all, a majority of the live
// entry hosts confirms in its place. After that the host keeps serving the
// newest version it knows, for as long as control is away.
//
//   ListsFollower follower(options, hooks, random, now);
//   follower.OnPush(from, push, now);
//   if (follower.IsServing()) follower.Current().FindByTokenHash(...);
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "state/lists.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct ListsFollowerOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  std::vector<HostId> controlHosts; // known at the start; answers name more
  // Doubles with each pull until the host serves.
  Duration startInterval = std::chrono::milliseconds(200);
  Duration longestStartInterval = std::chrono::seconds(1);
  Duration pullInterval = std::chrono::seconds(1);
  // Without any confirmation for this long after a start, peers may confirm.
  Duration peerFallback = std::chrono::seconds(10);
};

struct ListsFollowerHooks
{
  std::function<void(const HostId&, const wire::ListsPull&)> sendPull;
  std::function<void(const HostId&, const wire::ListsPush&)> sendPush;
  // Live entry hosts, this one included.
  std::function<std::vector<HostId>()> aliveHosts;
  std::function<void(const std::vector<std::string>&)> groupLeadersChanged;
  // The control hosts that are known now.
  std::function<void(const std::vector<HostId>&)> controlHostsChanged;
  // The entry hosts that control knows of: those of the region, and how many
  // each failure domain has.
  std::function<void(const std::vector<wire::HostRecord>&,
                     const std::vector<std::size_t>&)>
    entryHostsChanged;
  // What this host says of itself; empty where gossip does.
  std::function<std::optional<wire::HostRecord>()> ownRecord;
  // Whether this host needs to hear what others saw of the servers.
  std::function<bool()> receivesOutcomes;
  // Control says this of a backend server.
  std::function<void(const wire::BackendServerRecord&)> serverChanged;
  EventHook record;
};

class ListsFollower
{
public:
  ListsFollower(ListsFollowerOptions aOptions,
                ListsFollowerHooks aHooks,
                Random aRandom,
                TimePoint aNow);

  void Tick(TimePoint aNow);
  void OnPush(const HostId& aFrom,
              const wire::ListsPush& aPush,
              TimePoint aNow);
  // Another entry host asks for the lists or for a relay to control.
  void OnPull(const HostId& aFrom,
              const wire::ListsPull& aPull,
              TimePoint aNow);
  // Gossip says that a peer has this version.
  void OnPeerVersion(const HostId& aPeer, std::uint64_t aVersion);

  bool IsServing() const { return m_serving; }
  const Lists& Current() const { return m_lists; }
  // Pulls at once, to tell control of a change of this host.
  void PullNow() { m_pullAt = TimePoint(); }
  // More control hosts to ask, as from new settings.
  void AddControlHosts(const std::vector<HostId>& aHosts);
  std::uint64_t ServersVersion() const { return m_serversVersion; }
  // The control host that this host pulls from; empty until it serves.
  const HostId& CurrentControlHost() const { return m_currentControlHost; }
  // When a leader last confirmed the version; the origin when never.
  TimePoint ConfirmedAt() const { return m_confirmedAt; }

private:
  struct Relay
  {
    HostId requester;
    std::uint64_t pullId = 0;
    TimePoint expiresAt;
  };

  enum class Distance
  {
    kSameDomain,
    kSameRegion,
    kOtherRegion,
    kUnknown, // it has not answered yet
  };

  // What is known of one control host.
  struct ControlHost
  {
    Distance distance = Distance::kUnknown;
    TimePoint avoidUntil;            // after it did not answer
    std::uint64_t pendingPullId = 0; // that waits for its answer
    TimePoint pendingSince;
  };

  void ApplyServers(const wire::ServersDelta& aDelta);
  void UpdateControlHosts(const wire::ListsPush& aPush);
  void OnControlResponse(const HostId& aFrom,
                         const wire::ListsPush& aPush,
                         TimePoint aNow);
  void SendPull(const HostId& aTo, bool aSubscribes, TimePoint aNow);
  Distance DistanceOf(const wire::HostRecord& aRecord) const;
  // The nearest of those that are not avoided.
  HostId BestControlHost(TimePoint aNow) const;
  void ApplyLists(const wire::ListsPush& aPush);
  void StartServing(const char* aConfirmedBy);
  void PullFromControl(TimePoint aNow);
  void PullFromPeer(TimePoint aNow);
  void CountPeerResponse(const HostId& aPeer, const wire::ListsPush& aPush);
  wire::ListsPull MakePull(bool aConfirm);
  bool IsControlHost(const HostId& aHost) const;

  ListsFollowerOptions m_options;
  ListsFollowerHooks m_hooks;
  Random m_random;
  Lists m_lists;
  std::deque<wire::ListsDelta> m_history;
  bool m_serving = false;
  TimePoint m_startedAt;
  TimePoint m_confirmedAt;
  TimePoint m_pullAt;
  Duration m_startInterval;
  TimePoint m_lastControlResponseAt; // when control last answered
  HostId m_leader;
  std::map<HostId, ControlHost> m_controlHosts;
  std::uint64_t m_serversVersion = 0;
  std::map<std::string, wire::BackendServerRecord> m_servers; // not gone
  HostId m_currentControlHost;
  std::size_t m_nextControlIndex = 0;
  std::uint64_t m_nextPull = 1;
  std::map<std::uint64_t, Relay> m_relays;
  std::map<HostId, std::uint64_t> m_peerResponses;
};

} // namespace fuchsiaramp

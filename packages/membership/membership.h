// Gossip membership of the entry hosts: which entry hosts are alive and which
// backend servers are announced.
//
// Each host probes one other host per interval, first directly and then through
// other hosts, so its traffic does not grow with the fleet. Renewals of a
// backend server stay on the hosts that watch it; only its state changes are
// gossiped.
//
//   Membership membership(options, hooks, random, now);
//   membership.OnGossip(from, gossip, now);
//   membership.Watch(announcement, now);
//   membership.Tick(now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/record_table.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct MembershipOptions
{
  wire::HostRecord self;
  // If false, the control hosts provide the set of live hosts via SetHosts().
  bool gossipEnabled = true;
  std::vector<HostId> seeds;
  Duration probeInterval = std::chrono::milliseconds(500);
  Duration probeTimeout = std::chrono::milliseconds(150);
  Duration suspectTimeout = std::chrono::seconds(2);
  Duration gossipInterval = std::chrono::milliseconds(150);
  Duration syncInterval = std::chrono::seconds(2);
  Duration announcementLifetime = std::chrono::seconds(2);
  Duration deadHostRetention = std::chrono::hours(1);
  std::size_t indirectProbes = 3;
  std::size_t gossipFanout = 3;
  int updatesPerMessage = 24;
};

struct MembershipHooks
{
  std::function<void(const HostId&, const wire::Gossip&)> send;
  std::function<void(const wire::HostRecord&)> hostChanged;
  std::function<void(const wire::BackendServerRecord&)> serverChanged;
  // Returns the version of the lists on this host.
  std::function<std::uint64_t()> listsVersion;
  // Receives the version of the lists that a peer reports.
  std::function<void(const HostId&, std::uint64_t)> peerListsVersion;
  EventHook record;
};

class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MembershipHooks aHooks,
             Random aRandom,
             TimePoint aNow);

  void OnGossip(const HostId& aFrom,
                const wire::Gossip& aGossip,
                TimePoint aNow);
  void Tick(TimePoint aNow);

  // Handles an announcement or a renewal that a backend server sent to this
  // host.
  void Watch(wire::BackendServerRecord aAnnouncement, TimePoint aNow);
  // Replaces all other hosts by aHosts, as received from a control host.
  void SetHosts(const std::vector<wire::HostRecord>& aHosts, TimePoint aNow);
  // Adds seeds: hosts to contact while this host knows no other one.
  void AddSeeds(const std::vector<HostId>& aSeeds);
  // Announces whether this host has lost its connections to all servers.
  void SetCutOff(bool aCutOff, TimePoint aNow);
  // Announces that this host leaves the fleet.
  void Leave(TimePoint aNow);

  // The entry hosts that are alive or suspected, including this one; sorted.
  std::vector<HostId> AliveHosts() const;
  bool IsAlive(const HostId& aHost) const;
  const RecordTable& Table() const { return m_table; }
  // Records of servers and hosts that were left out since the start.
  std::uint64_t LeftOut() const { return m_leftOut; }
  const wire::HostRecord& Self() const { return m_options.self; }

private:
  struct PendingUpdate
  {
    int transmissions = 0;
  };

  struct Probe
  {
    HostId target;
    TimePoint indirectAt;
    TimePoint failsAt;
    bool indirectSent = false;
  };

  struct WatchState
  {
    TimePoint expiresAt;
    wire::BackendServerRecord record;
  };

  void StartProbe(TimePoint aNow);
  void CheckProbes(TimePoint aNow);
  void CheckSuspects(TimePoint aNow);
  void CheckWatches(TimePoint aNow);
  void SendUpdates();
  void Suspect(const HostId& aHost, TimePoint aNow);
  bool MergeHost(const wire::HostRecord& aRecord, TimePoint aNow);
  void MergeServer(const wire::BackendServerRecord& aRecord);
  void RecordOddCallerAddress(const wire::HostRecord& aRecord);
  void Refute(const wire::HostRecord& aRecord);
  void MergeAll(const HostId& aFrom,
                const wire::Gossip& aGossip,
                TimePoint aNow);
  void RequestSync(const HostId& aPeer, TimePoint aNow);
  void AnswerSync(const HostId& aPeer, const wire::Gossip& aRequest);
  void AttachUpdates(wire::Gossip& aGossip);
  void Send(const HostId& aTo, wire::Gossip aGossip);
  std::vector<HostId> RandomPeers(std::size_t aCount, const HostId& aExcept);
  int MaxTransmissions() const;
  void Publish(const wire::BackendServerRecord& aRecord);
  void PublishSelf(wire::HostRecord aRecord, TimePoint aNow);

  MembershipOptions m_options;
  MembershipHooks m_hooks;
  Random m_random;
  RecordTable m_table;
  std::unordered_map<std::string, PendingUpdate> m_hostUpdates;
  std::unordered_map<std::string, PendingUpdate> m_serverUpdates;
  std::unordered_map<std::string, TimePoint> m_suspectUntil;
  std::unordered_map<std::string, TimePoint> m_deadUntil;
  std::unordered_map<std::string, WatchState> m_watches;
  std::map<std::uint64_t, Probe> m_pendingProbes;
  std::vector<HostId> m_probeOrder;
  std::uint64_t m_nextProbe = 1;
  std::uint64_t m_leftOut = 0;
  std::uint64_t m_nextRevision = 1;
  TimePoint m_nextProbeAt;
  TimePoint m_nextGossipAt;
  TimePoint m_nextSyncAt;
};

} // namespace fuchsiaramp

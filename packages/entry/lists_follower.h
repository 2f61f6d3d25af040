// Keeps the lists of one entry host up to date.
//
// The host has no disk: after a start it serves only once a version is
// confirmed. A leader with a lease confirms it, directly or relayed by another
// entry host. If control cannot be reached at all, a majority of the live entry
// hosts confirms it instead. After that the host keeps serving the newest
// version that it has, for as long as control is unreachable.
//
// A push that is lost, or a control host that no longer learns of changes, must
// not leave this host with old lists. It therefore keeps track of the time up
// to which all changes are surely in force here, and asks further control hosts
// as soon as that time is too long ago.
//
//   ListsFollower follower(options, hooks, random, now);
//   follower.OnPush(from, push, now);
//   if (follower.IsServing()) follower.Current().FindByTokenHash(...);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "state/lists.h"
#include "state/lists_history.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct ListsFollowerOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  std::vector<HostId> controlHosts; // known initially; responses add more
  // Pull interval until the host serves; doubles with each pull while the host
  // has no lists and they may be on their way.
  Duration startInterval = std::chrono::milliseconds(200);
  Duration longestStartInterval = std::chrono::seconds(1);
  Duration pullInterval = std::chrono::seconds(1);
  // Peers may confirm a version if it is unconfirmed this long after the start.
  Duration peerFallback = std::chrono::seconds(10);
};

struct ListsFollowerHooks
{
  std::function<void(const HostId&, const wire::ListsPull&)> sendPull;
  std::function<void(const HostId&, const wire::ListsPush&)> sendPush;
  // Live entry hosts, this one included.
  std::function<std::vector<HostId>()> aliveHosts;
  std::function<void(const std::vector<std::string>&)> groupLeadersChanged;
  // All control hosts known now.
  std::function<void(const std::vector<HostId>&)> controlHostsChanged;
  // The entry hosts near this one that control reports.
  std::function<void(const std::vector<wire::HostRecord>&)> entryHostsChanged;
  // The number of entry hosts in each failure domain of the fleet.
  std::function<void(const std::vector<std::size_t>&)> domainSizesChanged;
  // This host's own record to send to control; empty where gossip sends it.
  std::function<std::optional<wire::HostRecord>()> ownRecord;
  // Whether this host needs the server outcomes that other hosts observe.
  std::function<bool()> receivesOutcomes;
  // Control sent a new record of a backend server.
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
  // Another entry host requests the lists or a relay to control.
  void OnPull(const HostId& aFrom,
              const wire::ListsPull& aPull,
              TimePoint aNow);
  // Gossip reported that a peer has this version.
  void OnPeerVersion(const HostId& aPeer,
                     std::uint64_t aVersion,
                     TimePoint aNow);

  bool IsServing() const { return m_serving && m_lists.Version().Value() > 0; }
  const Lists& Current() const { return m_lists; }
  const ListsHistory& History() const { return m_history; }
  // Pulls on the next tick, to send a change of this host's record to control.
  void PullNow() { m_pullAt = TimePoint(); }
  // Adds control hosts to pull from, such as those of new settings.
  void AddControlHosts(const std::vector<HostId>& aHosts);
  std::uint64_t ServersVersion() const { return m_serversVersion; }
  // The control host that this host pulls from; empty until this host serves
  // and one has confirmed its lists.
  const HostId& CurrentControlHost() const { return m_currentControlHost; }
  // The control hosts known now, the closest first; those to avoid come last.
  std::vector<HostId> ControlHostsByDistance(TimePoint aNow) const;
  // Records of servers and routes that were left out since the start.
  std::uint64_t LeftOut() const { return m_leftOut; }
  // How long ago everything that was acknowledged by then was surely in force
  // here; empty if control never confirmed it.
  std::optional<Duration> ConfirmedAge(TimePoint aNow) const;
  // The same of the lists alone, without the servers.
  std::optional<Duration> ListsConfirmedAge(TimePoint aNow) const;
  // Whether a change that must be in force by now may be missing here.
  bool MayBeOutdated(TimePoint aNow) const;

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
    kUnknown, // its region was not received yet
  };

  // State of one control host.
  struct ControlHost
  {
    Distance distance = Distance::kUnknown;
    TimePoint avoidUntil;            // set if it gives no confirmation
    std::uint64_t pendingPullId = 0; // unanswered; 0 if none
    TimePoint pendingSince;
    // Pulls up to this one got no response in time.
    std::uint64_t missedPullId = 0;
  };

  // A pull that was sent and may still be answered.
  struct SentPull
  {
    TimePoint sentAt;
    bool withServers = false;
  };

  void ApplyServers(const wire::ServersDelta& aDelta);
  // Applies the record of one server; returns whether it can be used.
  bool ApplyServer(const wire::BackendServerRecord& aRecord);
  wire::ListsDelta WithoutOddRoutes(const wire::ListsDelta& aDelta);
  void UpdateControlHosts(const wire::ListsPush& aPush);
  void UpdateDomainSizes(const wire::ListsPush& aPush);
  void OnControlResponse(const HostId& aFrom,
                         const wire::ListsPush& aPush,
                         TimePoint aNow);
  void PullSoonForLeader(TimePoint aNow);
  void SendPull(const HostId& aTo, bool aSubscribes, TimePoint aNow);
  void MarkMissedPulls(TimePoint aNow);
  void AskFurtherControlHosts(TimePoint aNow);
  Distance DistanceOf(const wire::HostRecord& aRecord) const;
  // The closest control host; those to avoid come last.
  HostId BestControlHost(TimePoint aNow) const;
  void ApplyLists(const wire::ListsPush& aPush);
  void StartServing(const char* aConfirmedBy, TimePoint aNow);
  TimePoint FreshSince() const;
  bool IsFresh(TimePoint aNow) const;
  void PullFromControl(TimePoint aNow);
  void PullFromPeers(std::size_t aCount, TimePoint aNow);
  void OnConfirmed(const wire::ListsPush& aPush, TimePoint aNow);
  void CountPeerResponse(const HostId& aPeer, const wire::ListsPush& aPush);
  wire::ListsPull MakePull(bool aConfirm, TimePoint aNow);
  bool IsControlHost(const HostId& aHost) const;

  ListsFollowerOptions m_options;
  ListsFollowerHooks m_hooks;
  Random m_random;
  Lists m_lists;
  ListsHistory m_history;
  bool m_serving = false;
  TimePoint m_servingSince;
  TimePoint m_startedAt;
  // All changes acknowledged until then are in force here.
  TimePoint m_currentAsOf;
  TimePoint m_listsCurrentAsOf;                  // the same of the lists alone
  std::map<std::uint64_t, SentPull> m_sentPulls; // by pull id
  // The live entry hosts as last received with a confirmation; empty if hosts
  // learn of each other by gossip. A control host that is cut off from the
  // others soon takes theirs for dead.
  std::vector<HostId> m_peers;
  // Sizes of the failure domains that no confirmation came with or after yet.
  std::vector<std::size_t> m_unconfirmedSizes;
  TimePoint m_askFurtherAt;
  Duration m_furtherInterval{};
  std::size_t m_furtherPulls = 0; // rounds since the last confirmation in time
  bool m_unconfirmed = false;     // recorded as an event
  TimePoint m_pullAt;
  Duration m_startInterval;
  HostId m_leader;
  std::map<HostId, ControlHost> m_controlHosts;
  std::uint64_t m_serversVersion = 0;
  std::map<std::string, wire::BackendServerRecord> m_servers; // excludes GONE
  std::set<std::string> m_oddServers; // left out and logged
  std::uint64_t m_leftOut = 0;
  HostId m_currentControlHost;
  std::size_t m_nextControlIndex = 0;
  std::uint64_t m_nextPull = 1;
  std::map<std::uint64_t, Relay> m_relays;
  std::map<HostId, std::uint64_t> m_peerResponses;
};

} // namespace fuchsiaramp

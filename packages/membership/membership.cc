#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "membership/record_check.h"

namespace fuchsiaramp {

static constexpr int kSyncRecordsPerMessage = 400;
static constexpr double kTransmissionFactor = 3.0;

static bool
IsLive(const wire::HostRecord& aRecord)
{
  return aRecord.state() == wire::HostRecord::ALIVE ||
         aRecord.state() == wire::HostRecord::SUSPECT;
}

Membership::Membership(MembershipOptions aOptions,
                       MembershipHooks aHooks,
                       Random aRandom,
                       TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
  , m_random(aRandom)
  , m_nextProbeAt(aNow)
  , m_nextGossipAt(aNow)
  , m_nextSyncAt(aNow)
{
  m_table.Merge(m_options.self);
  m_hostUpdates[m_options.self.host()] = {};
}

void
Membership::Tick(TimePoint aNow)
{
  CheckProbes(aNow);
  CheckSuspects(aNow);
  CheckWatches(aNow);
  if (!m_options.gossipEnabled) {
    return;
  }
  if (IsDue(m_nextProbeAt, aNow)) {
    m_nextProbeAt = aNow + m_options.probeInterval;
    StartProbe(aNow);
  }
  if (IsDue(m_nextGossipAt, aNow)) {
    m_nextGossipAt = aNow + m_options.gossipInterval;
    SendUpdates();
  }
}

void
Membership::StartProbe(TimePoint aNow)
{
  const bool alone = AliveHosts().size() <= 1;
  if (alone) {
    // While no other host is known, request a full sync from each seed.
    for (const HostId& seed : m_options.seeds) {
      if (seed.Value() != m_options.self.host()) {
        RequestSync(seed, aNow);
        m_nextSyncAt = aNow;
      }
    }
    return;
  }
  if (m_probeOrder.empty()) {
    m_probeOrder = AliveHosts();
    m_random.Shuffle(m_probeOrder);
    // Probe dead seeds once per round as well, so that both sides of a
    // partition rejoin after it heals.
    for (const HostId& seed : m_options.seeds) {
      if (!IsAlive(seed)) {
        m_probeOrder.push_back(seed);
      }
    }
  }
  const HostId target = m_probeOrder.back();
  m_probeOrder.pop_back();
  if (target.Value() == m_options.self.host()) {
    return;
  }
  const std::uint64_t id = m_nextProbe++;
  m_pendingProbes[id] = {
    target, aNow + m_options.probeTimeout, aNow + m_options.probeInterval, false
  };
  wire::Gossip ping;
  ping.set_kind(wire::Gossip::PING);
  ping.set_probe_id(id);
  ping.set_origin(m_options.self.host());
  Send(target, std::move(ping));
}

void
Membership::CheckProbes(TimePoint aNow)
{
  for (auto it = m_pendingProbes.begin(); it != m_pendingProbes.end();) {
    Probe& probe = it->second;
    if (!probe.indirectSent && IsDue(probe.indirectAt, aNow)) {
      probe.indirectSent = true;
      for (const HostId& peer :
           RandomPeers(m_options.indirectProbes, probe.target)) {
        wire::Gossip request;
        request.set_kind(wire::Gossip::PING_REQUEST);
        request.set_probe_id(it->first);
        request.set_target(probe.target.Value());
        request.set_origin(m_options.self.host());
        Send(peer, std::move(request));
      }
    }
    if (IsDue(probe.failsAt, aNow)) {
      Suspect(probe.target, aNow);
      it = m_pendingProbes.erase(it);
    } else {
      ++it;
    }
  }
}

void
Membership::Suspect(const HostId& aHost, TimePoint aNow)
{
  const wire::HostRecord* existing = m_table.FindHost(aHost);
  if (existing == nullptr || existing->state() != wire::HostRecord::ALIVE) {
    return;
  }
  wire::HostRecord suspect = *existing;
  suspect.set_state(wire::HostRecord::SUSPECT);
  MergeHost(suspect, aNow);
}

void
Membership::CheckSuspects(TimePoint aNow)
{
  std::vector<wire::HostRecord> dead;
  for (const auto& [host, deadline] : m_suspectUntil) {
    const wire::HostRecord* existing = m_table.FindHost(HostId(host));
    if (IsDue(deadline, aNow) && existing != nullptr) {
      wire::HostRecord record = *existing;
      record.set_state(wire::HostRecord::DEAD);
      dead.push_back(record);
    }
  }
  for (const wire::HostRecord& record : dead) {
    MergeHost(record, aNow);
  }
  for (auto it = m_deadUntil.begin(); it != m_deadUntil.end();) {
    if (!IsDue(it->second, aNow)) {
      ++it;
      continue;
    }
    m_table.EraseHost(HostId(it->first));
    m_table.EraseServersOf(HostId(it->first));
    it = m_deadUntil.erase(it);
  }
}

void
Membership::CheckWatches(TimePoint aNow)
{
  for (auto it = m_watches.begin(); it != m_watches.end();) {
    if (!IsDue(it->second.expiresAt, aNow)) {
      ++it;
      continue;
    }
    wire::BackendServerRecord record = it->second.record;
    record.set_state(wire::BackendServerRecord::GONE);
    m_hooks.record(Event("announcement_lapsed").With("server", record.id()));
    Publish(record);
    it = m_watches.erase(it);
  }
}

void
Membership::Watch(wire::BackendServerRecord aAnnouncement, TimePoint aNow)
{
  aAnnouncement.set_watcher(m_options.self.host());
  WatchState& watch = m_watches[aAnnouncement.id()];
  watch.expiresAt = aNow + m_options.announcementLifetime;
  // Copy the fields that an announcement does not carry, so that a renewal
  // without changes compares equal and is not gossiped.
  aAnnouncement.set_revision(watch.record.revision());
  aAnnouncement.set_watcher_incarnation(watch.record.watcher_incarnation());
  const bool renewal =
    !watch.record.id().empty() &&
    aAnnouncement.SerializeAsString() == watch.record.SerializeAsString();
  if (renewal || aAnnouncement.incarnation() < watch.record.incarnation()) {
    return;
  }
  Publish(aAnnouncement);
  const auto published =
    m_table.Servers().find(RecordTable::KeyOf(aAnnouncement));
  if (published != m_table.Servers().end()) {
    watch.record = published->second;
  }
}

void
Membership::Publish(const wire::BackendServerRecord& aRecord)
{
  wire::BackendServerRecord record = aRecord;
  record.set_watcher_incarnation(m_options.self.incarnation());
  record.set_revision(m_nextRevision++);
  MergeServer(record);
}

// Keeps this host's own record, even if aHosts holds another one for it.
void
Membership::SetHosts(const std::vector<wire::HostRecord>& aHosts,
                     TimePoint aNow)
{
  std::set<std::string> named{ m_options.self.host() };
  for (const wire::HostRecord& record : aHosts) {
    if (named.insert(record.host()).second) {
      MergeHost(record, aNow);
    }
  }
  std::vector<wire::HostRecord> gone;
  for (const auto& [host, record] : m_table.Hosts()) {
    if (named.count(host) == 0) {
      gone.push_back(record);
    }
  }
  for (wire::HostRecord& record : gone) {
    m_table.EraseHost(HostId(record.host()));
    record.set_state(wire::HostRecord::DEAD);
    m_hooks.hostChanged(record);
  }
  m_hostUpdates.clear();
}

void
Membership::AddSeeds(const std::vector<HostId>& aSeeds)
{
  for (const HostId& seed : aSeeds) {
    if (std::find(m_options.seeds.begin(), m_options.seeds.end(), seed) ==
        m_options.seeds.end()) {
      m_options.seeds.push_back(seed);
    }
  }
}

void
Membership::Leave(TimePoint aNow)
{
  wire::HostRecord record = m_options.self;
  record.set_state(wire::HostRecord::LEAVING);
  PublishSelf(std::move(record), aNow);
}

void
Membership::SetCutOff(bool aCutOff, TimePoint aNow)
{
  wire::HostRecord record = m_options.self;
  record.set_cut_off(aCutOff);
  PublishSelf(std::move(record), aNow);
}

void
Membership::PublishSelf(wire::HostRecord aRecord, TimePoint aNow)
{
  aRecord.set_revision(aRecord.revision() + 1);
  m_options.self = aRecord;
  MergeHost(aRecord, aNow);
}

bool
Membership::MergeHost(const wire::HostRecord& aRecord, TimePoint aNow)
{
  if (!FindProblem(aRecord).empty()) {
    ++m_leftOut;
    return false;
  }
  const bool self = aRecord.host() == m_options.self.host();
  if (self && (aRecord.incarnation() > m_options.self.incarnation() ||
               aRecord.state() == wire::HostRecord::SUSPECT ||
               aRecord.state() == wire::HostRecord::DEAD)) {
    Refute(aRecord);
    return true;
  }
  if (!m_table.Merge(aRecord)) {
    return false;
  }
  m_hostUpdates[aRecord.host()] = {};
  m_suspectUntil.erase(aRecord.host());
  m_deadUntil.erase(aRecord.host());
  if (aRecord.state() == wire::HostRecord::SUSPECT) {
    m_suspectUntil[aRecord.host()] = aNow + m_options.suspectTimeout;
  } else if (!IsLive(aRecord)) {
    m_deadUntil[aRecord.host()] = aNow + m_options.deadHostRetention;
  }
  if (!self) {
    m_hooks.record(
      Event("host_changed")
        .With("peer", aRecord.host())
        .With("state", wire::HostRecord::State_Name(aRecord.state()))
        .With("peer_incarnation", aRecord.incarnation()));
    RecordOddCallerAddress(aRecord);
    m_hooks.hostChanged(aRecord);
  }
  return true;
}

// Control hosts have no address for callers.
void
Membership::RecordOddCallerAddress(const wire::HostRecord& aRecord)
{
  const std::string& address = aRecord.caller_address();
  if (address.empty() || IsConnectableAddress(address)) {
    return;
  }
  ++m_leftOut;
  m_hooks.record(Event("caller_address_left_out")
                   .With("peer", aRecord.host())
                   .With("bytes", address.size()));
}

// Overrides a false record about this host by one with a higher revision. If
// that record has a higher incarnation, the clock of this host went back across
// a restart; the host then adopts an incarnation above it.
void
Membership::Refute(const wire::HostRecord& aRecord)
{
  wire::HostRecord& self = m_options.self;
  if (aRecord.incarnation() < self.incarnation()) {
    return;
  }
  if (aRecord.incarnation() > self.incarnation()) {
    self.set_incarnation(aRecord.incarnation() + 1);
    self.set_revision(1);
  } else {
    if (aRecord.revision() < self.revision()) {
      return;
    }
    self.set_revision(aRecord.revision() + 1);
  }
  m_table.Merge(self);
  m_hostUpdates[self.host()] = {};
  m_hooks.record(Event("suspicion_refuted").With("revision", self.revision()));
}

void
Membership::MergeServer(const wire::BackendServerRecord& aRecord)
{
  const std::string key = RecordTable::KeyOf(aRecord);
  const auto existing = m_table.Servers().find(key);
  const bool existed = existing != m_table.Servers().end();
  const wire::BackendServerRecord former =
    existed ? existing->second : wire::BackendServerRecord();
  if (!m_table.Merge(aRecord)) {
    return;
  }
  m_serverUpdates[key] = {};
  const std::string problem = FindProblem(aRecord);
  if (problem.empty()) {
    m_hooks.serverChanged(aRecord);
    return;
  }
  // The table holds the record as it is, so that the digests of all hosts
  // agree; only its use is refused.
  ++m_leftOut;
  if (!existed || FindProblem(former).empty()) {
    m_hooks.record(Event("server_left_out")
                     .With("server", aRecord.id())
                     .With("watcher", aRecord.watcher())
                     .With("reason", problem));
  }
  if (existed && FindProblem(former).empty()) {
    wire::BackendServerRecord gone = former;
    gone.set_state(wire::BackendServerRecord::GONE);
    m_hooks.serverChanged(gone);
  }
}

void
Membership::OnGossip(const HostId& aFrom,
                     const wire::Gossip& aGossip,
                     TimePoint aNow)
{
  MergeAll(aFrom, aGossip, aNow);
  switch (aGossip.kind()) {
    case wire::Gossip::PING: {
      wire::Gossip ack;
      ack.set_kind(wire::Gossip::ACK);
      ack.set_probe_id(aGossip.probe_id());
      ack.set_origin(aGossip.origin());
      // An indirect ping is acknowledged both to the host that started the
      // probe and to the relay, since the direct path back may be cut.
      if (aGossip.origin() != aFrom.Value()) {
        Send(HostId(aGossip.origin()), ack);
      }
      Send(aFrom, std::move(ack));
      break;
    }
    case wire::Gossip::PING_REQUEST: {
      wire::Gossip ping;
      ping.set_kind(wire::Gossip::PING);
      ping.set_probe_id(aGossip.probe_id());
      ping.set_origin(aGossip.origin());
      Send(HostId(aGossip.target()), std::move(ping));
      break;
    }
    case wire::Gossip::ACK:
      if (aGossip.origin() == m_options.self.host()) {
        m_pendingProbes.erase(aGossip.probe_id());
      } else {
        Send(HostId(aGossip.origin()), aGossip);
      }
      break;
    case wire::Gossip::SYNC_REQUEST:
      AnswerSync(aFrom, aGossip);
      return;
    default:
      return;
  }
  if (aGossip.digest() != m_table.TotalDigest()) {
    RequestSync(aFrom, aNow);
  }
}

void
Membership::MergeAll(const HostId& aFrom,
                     const wire::Gossip& aGossip,
                     TimePoint aNow)
{
  for (const wire::HostRecord& record : aGossip.hosts()) {
    MergeHost(record, aNow);
  }
  for (const wire::BackendServerRecord& record : aGossip.servers()) {
    MergeServer(record);
  }
  if (aGossip.lists_version() != 0) {
    m_hooks.peerListsVersion(aFrom, aGossip.lists_version());
  }
}

void
Membership::RequestSync(const HostId& aPeer, TimePoint aNow)
{
  if (!IsDue(m_nextSyncAt, aNow)) {
    return;
  }
  m_nextSyncAt = aNow + m_options.syncInterval;
  wire::Gossip request;
  request.set_kind(wire::Gossip::SYNC_REQUEST);
  for (std::uint64_t digest : m_table.Digests()) {
    request.add_digests(digest);
  }
  Send(aPeer, std::move(request));
}

void
Membership::AnswerSync(const HostId& aPeer, const wire::Gossip& aRequest)
{
  if (aRequest.digests_size() != static_cast<int>(kDigestBuckets)) {
    return;
  }
  BucketDigests other{};
  std::copy(
    aRequest.digests().begin(), aRequest.digests().end(), other.begin());
  std::vector<wire::HostRecord> hosts;
  std::vector<wire::BackendServerRecord> servers;
  m_table.CollectDiffering(other, hosts, servers);
  wire::Gossip sync;
  sync.set_kind(wire::Gossip::SYNC);
  for (wire::HostRecord& record : hosts) {
    *sync.add_hosts() = std::move(record);
  }
  for (wire::BackendServerRecord& record : servers) {
    *sync.add_servers() = std::move(record);
    if (sync.servers_size() >= kSyncRecordsPerMessage) {
      m_hooks.send(aPeer, sync);
      sync.clear_servers();
      sync.clear_hosts();
    }
  }
  m_hooks.send(aPeer, sync);
}

void
Membership::SendUpdates()
{
  if (m_hostUpdates.empty() && m_serverUpdates.empty()) {
    return;
  }
  for (const HostId& peer : RandomPeers(m_options.gossipFanout, HostId())) {
    wire::Gossip message;
    message.set_kind(wire::Gossip::SYNC);
    Send(peer, std::move(message));
  }
}

int
Membership::MaxTransmissions() const
{
  const double hosts = static_cast<double>(m_table.Hosts().size()) + 1;
  return static_cast<int>(std::ceil(kTransmissionFactor * std::log2(hosts))) +
         1;
}

// Adds the pending updates that were sent the fewest times, and drops those
// that were sent often enough to have reached all hosts.
void
Membership::AttachUpdates(wire::Gossip& aGossip)
{
  const auto pick = [this](auto& aUpdates, const auto& aAdd) {
    std::vector<std::pair<int, std::string>> order;
    order.reserve(aUpdates.size());
    for (const auto& [key, update] : aUpdates) {
      order.emplace_back(update.transmissions, key);
    }
    const std::size_t count = std::min<std::size_t>(
      order.size(), static_cast<std::size_t>(m_options.updatesPerMessage));
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    for (std::size_t i = 0; i < count; ++i) {
      const std::string& key = order[i].second;
      aAdd(key);
      if (++aUpdates[key].transmissions >= MaxTransmissions()) {
        aUpdates.erase(key);
      }
    }
  };
  pick(m_hostUpdates, [&](const std::string& aKey) {
    if (const wire::HostRecord* record = m_table.FindHost(HostId(aKey))) {
      *aGossip.add_hosts() = *record;
    }
  });
  pick(m_serverUpdates, [&](const std::string& aKey) {
    const auto it = m_table.Servers().find(aKey);
    if (it != m_table.Servers().end()) {
      *aGossip.add_servers() = it->second;
    }
  });
}

void
Membership::Send(const HostId& aTo, wire::Gossip aGossip)
{
  AttachUpdates(aGossip);
  aGossip.set_lists_version(m_hooks.listsVersion());
  aGossip.set_digest(m_table.TotalDigest());
  m_hooks.send(aTo, aGossip);
}

std::vector<HostId>
Membership::AliveHosts() const
{
  std::vector<HostId> hosts;
  for (const auto& [host, record] : m_table.Hosts()) {
    if (IsLive(record)) {
      hosts.push_back(HostId(host));
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

bool
Membership::IsAlive(const HostId& aHost) const
{
  const wire::HostRecord* record = m_table.FindHost(aHost);
  return record != nullptr && IsLive(*record);
}

std::vector<HostId>
Membership::RandomPeers(std::size_t aCount, const HostId& aExcept)
{
  std::vector<HostId> peers = AliveHosts();
  peers.erase(std::remove_if(peers.begin(),
                             peers.end(),
                             [&](const HostId& aHost) {
                               return aHost == aExcept ||
                                      aHost.Value() == m_options.self.host();
                             }),
              peers.end());
  m_random.Shuffle(peers);
  peers.resize(std::min(peers.size(), aCount));
  return peers;
}

} // namespace fuchsiaramp

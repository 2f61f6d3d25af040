#include "entry/lists_follower.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>

#include "base/invariant.h"
#include "membership/record_check.h"
#include "state/route_check.h"

namespace fuchsiaramp {

static constexpr std::size_t kMaxHistoryDeltas = 256;
static constexpr Duration kRelayLifetime = std::chrono::seconds(5);
// After this time without a response, the host pulls from another control host.
// Allows several round trips between regions.
static constexpr Duration kPullTimeout = std::chrono::milliseconds(400);
static constexpr Duration kAvoidSilentTime = std::chrono::seconds(4);
// Longer than a pull interval, so that other control hosts are tried.
static constexpr Duration kAvoidUnconfirmedTime = std::chrono::seconds(3);

// A change must be in force at most 2.5 s after its acknowledgement. The state
// here is known to be current up to a time that is normally at most one pull
// interval and two heartbeats of the leader ago. If it is longer ago than
// kFreshFor, further control hosts are asked, the leader among them; the rest
// of the 2.5 s is for two of them that do not respond, the network and the
// processor.
static constexpr Duration kFreshFor = std::chrono::milliseconds(1300);
static constexpr Duration kFurtherInterval = std::chrono::milliseconds(200);
// While control cannot confirm anything, asking on that often would only add
// load: when the leader is slow, all entry hosts ask at once. After the quick
// rounds the interval doubles.
static constexpr std::size_t kQuickRounds = 2;
static constexpr Duration kSlowFurtherInterval = std::chrono::seconds(2);
static constexpr std::size_t kControlHostsPerRound = 3;
static constexpr std::size_t kPeersPerPull = 3;
// A starting host begins with any of this many turns of the control hosts.
static constexpr std::uint64_t kControlTurns = 1'000;
// Without a leader, a starting host pulls again after this part of the time
// since its start.
static constexpr int kPartOfWait = 10;
// Confirmations of an earlier build do not say how old they are. This is their
// age where no message is lost.
static constexpr Duration kUnknownConfirmationAge =
  std::chrono::milliseconds(700);
static constexpr Duration kMaxConfirmationAge = std::chrono::hours(1);
// A response that takes longer confirms nothing of use.
static constexpr Duration kSentPullLifetime = std::chrono::seconds(3);
static constexpr Duration kOverdueConfirmation =
  std::chrono::milliseconds(1500);
// Shorter than the 2.5 s in which a change must be in force.
static constexpr Duration kOutdatedAfter = std::chrono::seconds(2);

ListsFollower::ListsFollower(ListsFollowerOptions aOptions,
                             ListsFollowerHooks aHooks,
                             Random aRandom,
                             TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
  , m_random(aRandom)
  , m_history(kMaxHistoryDeltas)
  , m_startedAt(aNow)
  , m_pullAt(aNow)
  , m_startInterval(m_options.startInterval)
{
  AddControlHosts(m_options.controlHosts);
  // Hosts that start together ask different control hosts.
  m_nextControlIndex = 2 * m_random.Below(kControlTurns);
}

void
ListsFollower::AddControlHosts(const std::vector<HostId>& aHosts)
{
  for (const HostId& host : aHosts) {
    m_controlHosts.try_emplace(host);
  }
}

wire::ListsPull
ListsFollower::MakePull(bool aConfirm, TimePoint aNow)
{
  wire::ListsPull pull;
  pull.set_have_version(m_lists.Version().Value());
  pull.set_confirm(aConfirm);
  pull.set_have_servers_version(m_serversVersion);
  pull.set_pull_id(m_nextPull++);
  m_sentPulls[pull.pull_id()] = { aNow, true };
  return pull;
}

void
ListsFollower::Tick(TimePoint aNow)
{
  for (auto it = m_relays.begin(); it != m_relays.end();) {
    it = IsDue(it->second.expiresAt, aNow) ? m_relays.erase(it) : ++it;
  }
  std::erase_if(m_sentPulls, [aNow](const auto& aEntry) {
    return IsDue(aEntry.second.sentAt + kSentPullLifetime, aNow);
  });
  const bool overdue =
    m_serving && IsDue(FreshSince() + kOverdueConfirmation, aNow);
  if (overdue && !std::exchange(m_unconfirmed, true)) {
    m_hooks.record(
      Event("lists_unconfirmed")
        .With("version", m_lists.Version())
        .With("from", m_currentControlHost)
        .With("confirmed_ms_ago", (aNow - FreshSince()).count() / 1000));
  }
  AskFurtherControlHosts(aNow);
  if (!IsDue(m_pullAt, aNow)) {
    return;
  }
  m_pullAt = aNow + (m_serving ? m_options.pullInterval : m_startInterval);
  // The first response may carry the full lists, so a host without lists pulls
  // at growing intervals. Once it has them, only the short confirmation is
  // missing.
  if (m_lists.Version().Value() == 0) {
    m_startInterval =
      std::min(2 * m_startInterval, m_options.longestStartInterval);
  } else {
    m_startInterval = m_options.startInterval;
  }
  PullFromControl(aNow);
  if (!m_serving) {
    // All peers are needed only for confirmation by their majority. By then
    // this host has the lists, so that the responses are short.
    const bool needsAll = IsDue(m_startedAt + m_options.peerFallback, aNow);
    PullFromPeers(needsAll ? m_hooks.aliveHosts().size() : kPeersPerPull, aNow);
  }
}

// Until this host serves, it pulls from the control hosts in turn, and from the
// closest one between them, which alone sends the servers: the whole table from
// each of them would fill the links of a large fleet. From then on
// it stays with the closest one that confirms that its lists are current. It
// moves to another one only after that one has confirmed: while none can, no
// entry host moves, since each move is an update for the whole fleet.
void
ListsFollower::PullFromControl(TimePoint aNow)
{
  MarkMissedPulls(aNow);
  if (!m_serving) {
    const std::size_t turn = m_nextControlIndex++;
    auto it = m_controlHosts.begin();
    std::advance(it, turn / 2 % m_controlHosts.size());
    SendPull(turn % 2 == 0 ? BestControlHost(aNow) : it->first, false, aNow);
    return;
  }
  if (!m_currentControlHost.IsEmpty()) {
    SendPull(m_currentControlHost, true, aNow);
  }
  const HostId best = BestControlHost(aNow);
  if (!best.IsEmpty() && best != m_currentControlHost) {
    SendPull(best, false, aNow);
  }
}

void
ListsFollower::MarkMissedPulls(TimePoint aNow)
{
  for (auto& [host, control] : m_controlHosts) {
    const bool missed = control.pendingPullId != 0 &&
                        IsDue(control.pendingSince + kPullTimeout, aNow);
    if (missed) {
      control.pendingPullId = 0;
      control.missedPullId = m_nextPull - 1;
      control.avoidUntil = aNow + kAvoidSilentTime;
    }
  }
}

// Asks control hosts other than the current one until one of them confirms that
// the state here is current. The first round includes the leader, whose word is
// the newest; each round goes on with the next control hosts. Peers relay the
// question to the leader: this host may be cut off from control together with a
// control host that still responds.
void
ListsFollower::AskFurtherControlHosts(TimePoint aNow)
{
  if (!m_serving || IsFresh(aNow)) {
    m_furtherPulls = 0;
    return;
  }
  if (!IsDue(m_askFurtherAt, aNow)) {
    return;
  }
  MarkMissedPulls(aNow);
  m_furtherInterval = m_furtherPulls < kQuickRounds
                        ? kFurtherInterval
                        : std::min(2 * m_furtherInterval, kSlowFurtherInterval);
  m_askFurtherAt = aNow + m_furtherInterval;
  std::vector<HostId> others;
  bool anyResponds = false;
  for (const auto& [host, control] : m_controlHosts) {
    if (host == m_currentControlHost) {
      continue;
    }
    anyResponds = anyResponds || IsDue(control.avoidUntil, aNow);
    if (host != m_leader) {
      others.push_back(host);
    }
  }
  if (!others.empty()) {
    const std::size_t first =
      m_furtherPulls * kControlHostsPerRound % others.size();
    std::rotate(others.begin(),
                std::next(others.begin(), static_cast<std::ptrdiff_t>(first)),
                others.end());
  }
  const bool asksLeader = m_furtherPulls == 0 && IsControlHost(m_leader) &&
                          m_leader != m_currentControlHost;
  if (asksLeader) {
    others.insert(others.begin(), m_leader);
  }
  others.resize(std::min(others.size(), kControlHostsPerRound));
  for (const HostId& host : others) {
    SendPull(host, false, aNow);
  }
  // One peer at first: while all control hosts are slow, every relay is one
  // more pull at the leader.
  const bool onePeer = m_furtherPulls == 0 && anyResponds;
  PullFromPeers(onePeer ? 1 : kPeersPerPull, aNow);
  ++m_furtherPulls;
}

void
ListsFollower::SendPull(const HostId& aTo, bool aSubscribes, TimePoint aNow)
{
  wire::ListsPull pull = MakePull(true, aNow);
  pull.set_subscribes(aSubscribes);
  pull.set_without_servers(!m_serving && aTo != BestControlHost(aNow));
  m_sentPulls[pull.pull_id()].withServers = !pull.without_servers();
  pull.set_hears_outcomes(m_hooks.receivesOutcomes());
  const auto ownRecord = m_hooks.ownRecord();
  if (aSubscribes && ownRecord) {
    *pull.mutable_self() = *ownRecord;
  }
  ControlHost& control = m_controlHosts[aTo];
  if (control.pendingPullId == 0) {
    control.pendingPullId = pull.pull_id();
    control.pendingSince = aNow;
  }
  m_hooks.sendPull(aTo, pull);
}

HostId
ListsFollower::BestControlHost(TimePoint aNow) const
{
  const auto rank = [&](const auto& aItem) {
    return std::pair(!IsDue(aItem.second.avoidUntil, aNow),
                     aItem.second.distance);
  };
  const auto it = std::min_element(m_controlHosts.begin(),
                                   m_controlHosts.end(),
                                   [&](const auto& aLeft, const auto& aRight) {
                                     return rank(aLeft) < rank(aRight);
                                   });
  return it == m_controlHosts.end() ? HostId() : it->first;
}

std::vector<HostId>
ListsFollower::ControlHostsByDistance(TimePoint aNow) const
{
  std::vector<std::tuple<bool, Distance, HostId>> ranked;
  for (const auto& [host, control] : m_controlHosts) {
    ranked.emplace_back(
      !IsDue(control.avoidUntil, aNow), control.distance, host);
  }
  std::ranges::sort(ranked);
  std::vector<HostId> hosts;
  hosts.reserve(ranked.size());
  for (auto& [avoided, distance, host] : ranked) {
    hosts.push_back(std::move(host));
  }
  return hosts;
}

void
ListsFollower::OnControlResponse(const HostId& aFrom,
                                 const wire::ListsPush& aPush,
                                 TimePoint aNow)
{
  const auto it = m_controlHosts.find(aFrom);
  if (it == m_controlHosts.end() || aPush.pull_id() == 0) {
    return;
  }
  ControlHost& control = it->second;
  if (aPush.pull_id() <= control.missedPullId) {
    return;
  }
  control.pendingPullId = 0;
  // A control host that lost its leader cannot confirm that its lists are
  // current.
  if (aPush.confirmed()) {
    control.avoidUntil = aNow;
    if (m_serving && aFrom != m_currentControlHost &&
        aFrom == BestControlHost(aNow)) {
      m_currentControlHost = aFrom;
      m_unconfirmedSizes.clear();
      m_pullAt = aNow;
    }
    return;
  }
  // After the first unconfirmed response the host pulls again immediately,
  // after further ones at the normal interval, since no host of a group without
  // a leader can confirm.
  const bool confirmedBefore = IsDue(control.avoidUntil, aNow);
  control.avoidUntil = aNow + kAvoidUnconfirmedTime;
  const bool hasLists = aPush.current_version() > 0;
  if (!m_serving && !hasLists && aPush.leader().empty()) {
    PullSoonForLeader(aNow);
  }
  if (m_serving && aFrom == m_currentControlHost && confirmedBefore) {
    m_pullAt = aNow;
  }
}

// After a restart of all control hosts none of them knows the lists until there
// is a leader. A response without lists shows that none are on their way, so
// this host does not wait at growing intervals, only for a share of the time
// that it has waited so far.
void
ListsFollower::PullSoonForLeader(TimePoint aNow)
{
  m_startInterval = std::clamp((aNow - m_startedAt) / kPartOfWait,
                               m_options.startInterval,
                               m_options.longestStartInterval);
  m_pullAt = std::min(m_pullAt, aNow + m_startInterval);
}

ListsFollower::Distance
ListsFollower::DistanceOf(const wire::HostRecord& aRecord) const
{
  if (aRecord.region().empty()) {
    return Distance::kUnknown;
  }
  if (aRecord.failure_domain() == m_options.failureDomain.Value()) {
    return Distance::kSameDomain;
  }
  return aRecord.region() == m_options.region.Value() ? Distance::kSameRegion
                                                      : Distance::kOtherRegion;
}

// Control hosts that control no longer reports are kept: they may return, and
// while control is unreachable any of them may be the one that responds.
void
ListsFollower::UpdateControlHosts(const wire::ListsPush& aPush)
{
  std::vector<HostId> hosts;
  const std::size_t before = m_controlHosts.size();
  for (const wire::HostRecord& record : aPush.control_hosts()) {
    m_controlHosts[HostId(record.host())].distance = DistanceOf(record);
  }
  if (m_controlHosts.size() != before) {
    for (const auto& [host, control] : m_controlHosts) {
      hosts.push_back(host);
    }
    m_hooks.controlHostsChanged(hosts);
  }
}

// A control host that is cut off from the others knows too few hosts, so sizes
// wait for a confirmation. Control sends them only when they change.
void
ListsFollower::UpdateDomainSizes(const wire::ListsPush& aPush)
{
  if (aPush.domain_sizes_size() > 0) {
    m_unconfirmedSizes.assign(aPush.domain_sizes().begin(),
                              aPush.domain_sizes().end());
  }
  if (aPush.confirmed() && !m_unconfirmedSizes.empty()) {
    m_hooks.domainSizesChanged(std::exchange(m_unconfirmedSizes, {}));
  }
}

// A peer relays the pull to control, so that a one-way network failure between
// this host and control does not block it, and responds with its own lists.
void
ListsFollower::PullFromPeers(std::size_t aCount, TimePoint aNow)
{
  std::vector<HostId> peers =
    m_serving && !m_peers.empty() ? m_peers : m_hooks.aliveHosts();
  std::erase(peers, m_options.self);
  m_random.Shuffle(peers);
  const std::size_t count = std::min(peers.size(), aCount);
  for (std::size_t i = 0; i < count; ++i) {
    wire::ListsPull pull = MakePull(true, aNow);
    pull.set_relay_for(m_options.self.Value());
    m_hooks.sendPull(peers[i], pull);
  }
}

bool
ListsFollower::IsControlHost(const HostId& aHost) const
{
  return m_controlHosts.count(aHost) != 0;
}

void
ListsFollower::OnPush(const HostId& aFrom,
                      const wire::ListsPush& aPush,
                      TimePoint aNow)
{
  const auto relay = m_relays.find(aPush.pull_id());
  if (relay != m_relays.end() && IsControlHost(aFrom)) {
    wire::ListsPush forwarded = aPush;
    forwarded.set_pull_id(relay->second.pullId);
    m_hooks.sendPush(relay->second.requester, forwarded);
    m_relays.erase(relay);
    return;
  }
  ApplyLists(aPush);
  ApplyServers(aPush.servers());
  const bool control = IsControlHost(aFrom);
  if (control) {
    OnControlResponse(aFrom, aPush, aNow);
    UpdateControlHosts(aPush);
    // Only the view of the current control host is used: another one may know
    // fewer entry hosts, and the two views would alternate.
    const bool current = aFrom == m_currentControlHost;
    if (current && aPush.has_hosts()) {
      m_hooks.entryHostsChanged({ aPush.hosts().begin(), aPush.hosts().end() });
      if (aPush.confirmed()) {
        m_peers = m_hooks.aliveHosts();
      }
    }
    if (current) {
      UpdateDomainSizes(aPush);
    }
    m_leader = HostId(aPush.leader());
    m_hooks.groupLeadersChanged(
      { aPush.group_leaders().begin(), aPush.group_leaders().end() });
  } else if (aPush.group_leaders_size() > 0) {
    m_hooks.groupLeadersChanged(
      { aPush.group_leaders().begin(), aPush.group_leaders().end() });
  }
  if (aPush.confirmed() &&
      m_lists.Version().Value() >= aPush.current_version()) {
    OnConfirmed(aPush, aNow);
    StartServing(control ? "leader" : "relayed", aNow);
    return;
  }
  // The response named the leader. This host has the lists by now, so the
  // leader's confirmation is short.
  if (control && !m_serving && !m_leader.IsEmpty() && m_leader != aFrom) {
    m_hooks.sendPull(m_leader, MakePull(true, aNow));
  }
  if (!control && aPush.serving()) {
    CountPeerResponse(aFrom, aPush);
    const bool late = IsDue(m_startedAt + m_options.peerFallback, aNow);
    const std::size_t alive = m_hooks.aliveHosts().size();
    // This host itself cannot confirm a version yet.
    if (late && m_peerResponses.size() > (alive - 1) / 2) {
      StartServing("peers", aNow);
    }
  }
}

// A host that has just begun to serve may not have received the servers yet.
TimePoint
ListsFollower::FreshSince() const
{
  return std::max(m_currentAsOf, m_servingSince);
}

bool
ListsFollower::IsFresh(TimePoint aNow) const
{
  return m_serving && !IsDue(FreshSince() + kFreshFor, aNow);
}

bool
ListsFollower::MayBeOutdated(TimePoint aNow) const
{
  return IsDue(FreshSince() + kOutdatedAfter, aNow);
}

std::optional<Duration>
ListsFollower::ConfirmedAge(TimePoint aNow) const
{
  const bool never = m_currentAsOf == TimePoint();
  return never ? std::nullopt : std::optional(aNow - m_currentAsOf);
}

std::optional<Duration>
ListsFollower::ListsConfirmedAge(TimePoint aNow) const
{
  const bool never = m_listsCurrentAsOf == TimePoint();
  return never ? std::nullopt : std::optional(aNow - m_listsCurrentAsOf);
}

// What a control host confirmed was current before the pull was sent. Nothing
// is known of the age of a message that answers no pull, or of one that may
// have been on its way for seconds.
void
ListsFollower::OnConfirmed(const wire::ListsPush& aPush, TimePoint aNow)
{
  const auto sent = m_sentPulls.find(aPush.pull_id());
  if (sent == m_sentPulls.end()) {
    return;
  }
  const Duration age = aPush.has_confirmed_age_us()
                         ? std::clamp(Duration(aPush.confirmed_age_us()),
                                      Duration::zero(),
                                      kMaxConfirmationAge)
                         : kUnknownConfirmationAge;
  const TimePoint before = FreshSince();
  const TimePoint asOf = sent->second.sentAt - age;
  m_listsCurrentAsOf = std::max(m_listsCurrentAsOf, asOf);
  if (!sent->second.withServers) {
    return;
  }
  m_currentAsOf = std::max(m_currentAsOf, asOf);
  m_sentPulls.erase(sent);
  const bool current = !IsDue(m_currentAsOf + kOverdueConfirmation, aNow);
  if (current && std::exchange(m_unconfirmed, false)) {
    m_hooks.record(Event("lists_confirmed_again")
                     .With("version", m_lists.Version())
                     .With("from", m_currentControlHost)
                     .With("unconfirmed_ms", (aNow - before).count() / 1000));
  }
}

void
ListsFollower::CountPeerResponse(const HostId& aPeer,
                                 const wire::ListsPush& aPush)
{
  if (m_lists.Version().Value() >= aPush.current_version()) {
    m_peerResponses[aPeer] = aPush.current_version();
  }
}

void
ListsFollower::ApplyLists(const wire::ListsPush& aPush)
{
  for (const wire::ListsDelta& received : aPush.deltas()) {
    const std::uint64_t before = m_lists.Version().Value();
    if (!m_lists.CanApply(received)) {
      continue;
    }
    wire::ListsDelta delta = WithoutOddRoutes(received);
    // Control sends hashes only; no other sender may make this host hold keys.
    RemoveKeyTexts(delta);
    m_lists.Apply(delta);
    CheckInvariant(m_lists.Version().Value() > before,
                   "an entry host never goes back to an older version");
    if (delta.full()) {
      m_history.Clear();
    } else {
      m_history.Add(std::move(delta), m_lists);
    }
    m_hooks.record(Event("lists_in_force").With("version", m_lists.Version()));
  }
}

// Control may hold routes that an earlier build accepted. One that serves
// nothing is left out, and the version that it replaces is removed.
wire::ListsDelta
ListsFollower::WithoutOddRoutes(const wire::ListsDelta& aDelta)
{
  wire::ListsDelta delta = aDelta;
  auto* routes = delta.mutable_open_routes();
  for (auto it = routes->begin(); it != routes->end();) {
    const std::string problem = FindProblem(*it);
    if (problem.empty()) {
      ++it;
      continue;
    }
    ++m_leftOut;
    m_hooks.record(Event("route_left_out")
                     .With("route", it->name())
                     .With("reason", problem));
    delta.add_removed_open_routes(it->name());
    it = routes->erase(it);
  }
  return delta;
}

void
ListsFollower::ApplyServers(const wire::ServersDelta& aDelta)
{
  const bool follows =
    aDelta.full() || aDelta.from_version() <= m_serversVersion;
  if (aDelta.to_version() <= m_serversVersion || !follows) {
    return;
  }
  m_serversVersion = aDelta.to_version();
  std::map<std::string, wire::BackendServerRecord> missing;
  if (aDelta.full()) {
    missing.swap(m_servers);
  }
  for (const wire::BackendServerRecord& record : aDelta.servers()) {
    if (ApplyServer(record)) {
      missing.erase(record.id());
    }
  }
  for (auto& [id, record] : missing) {
    record.set_state(wire::BackendServerRecord::GONE);
    record.set_lapsed(true);
    m_hooks.serverChanged(record);
  }
}

// Another writer or an earlier build may have stored a record that cannot be
// used. Its server is not in use then, and the others stay.
bool
ListsFollower::ApplyServer(const wire::BackendServerRecord& aRecord)
{
  const std::string problem = FindProblem(aRecord);
  if (problem.empty()) {
    m_oddServers.erase(aRecord.id());
    if (aRecord.state() == wire::BackendServerRecord::GONE) {
      m_servers.erase(aRecord.id());
    } else {
      m_servers[aRecord.id()] = aRecord;
    }
    m_hooks.serverChanged(aRecord);
    return true;
  }
  ++m_leftOut;
  if (m_oddServers.insert(aRecord.id()).second) {
    m_hooks.record(Event("server_left_out")
                     .With("server", aRecord.id())
                     .With("reason", problem));
  }
  const auto former = m_servers.extract(aRecord.id());
  if (!former.empty()) {
    wire::BackendServerRecord gone = former.mapped();
    gone.set_state(wire::BackendServerRecord::GONE);
    gone.set_lapsed(true);
    m_hooks.serverChanged(gone);
  }
  return false;
}

void
ListsFollower::StartServing(const char* aConfirmedBy, TimePoint aNow)
{
  if (m_serving) {
    return;
  }
  m_serving = true;
  m_servingSince = aNow;
  // The confirmation may have come from a control host that was not asked for
  // the servers.
  m_pullAt = aNow;
  m_hooks.record(Event("serving_started")
                   .With("confirmed_by", aConfirmedBy)
                   .With("version", m_lists.Version()));
}

void
ListsFollower::OnPull(const HostId& aFrom,
                      const wire::ListsPull& aPull,
                      TimePoint aNow)
{
  wire::ListsPush push;
  push.set_pull_id(aPull.pull_id());
  push.set_current_version(m_lists.Version().Value());
  push.set_serving(m_serving);
  const ListsVersion have(aPull.have_version());
  if (have < m_lists.Version()) {
    if (m_history.Reaches(have)) {
      for (wire::ListsDelta& delta : m_history.Since(have)) {
        *push.add_deltas() = std::move(delta);
      }
    } else {
      *push.add_deltas() = m_lists.ToFullDelta();
    }
  }
  m_hooks.sendPush(aFrom, push);
  // A host that hears from no leader itself would only add to the load of one
  // that is slow.
  if (aPull.relay_for().empty() || m_leader.IsEmpty() || !IsFresh(aNow)) {
    return;
  }
  wire::ListsPull relayed = aPull;
  relayed.set_pull_id(m_nextPull++);
  m_relays[relayed.pull_id()] = { aFrom,
                                  aPull.pull_id(),
                                  aNow + kRelayLifetime };
  m_hooks.sendPull(m_leader, relayed);
}

void
ListsFollower::OnPeerVersion(const HostId& aPeer,
                             std::uint64_t aVersion,
                             TimePoint aNow)
{
  if (aVersion > m_lists.Version().Value()) {
    m_hooks.sendPull(aPeer, MakePull(false, aNow));
  }
}

} // namespace fuchsiaramp

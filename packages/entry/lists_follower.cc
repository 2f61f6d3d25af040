#include "entry/lists_follower.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace fuchsiaramp {

static constexpr std::size_t kMaxHistory = 256; // deltas
static constexpr Duration kRelayKept = std::chrono::seconds(5);
static constexpr Duration kLeaderSilence = std::chrono::seconds(2);

ListsFollower::ListsFollower(ListsFollowerOptions aOptions,
                             ListsFollowerHooks aHooks,
                             Random aRandom,
                             TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
  , m_random(aRandom)
  , m_startedAt(aNow)
  , m_pullAt(aNow)
  , m_startInterval(m_options.startInterval)
  , m_answeredAt(aNow)
{
}

wire::ListsPull
ListsFollower::Pull(bool aConfirm)
{
  wire::ListsPull pull;
  pull.set_have_version(m_lists.Version().Value());
  pull.set_confirm(aConfirm);
  pull.set_pull_id(m_nextPull++);
  return pull;
}

void
ListsFollower::Tick(TimePoint aNow)
{
  for (auto it = m_relays.begin(); it != m_relays.end();) {
    it = IsDue(it->second.forgetAt, aNow) ? m_relays.erase(it) : ++it;
  }
  if (!IsDue(m_pullAt, aNow)) {
    return;
  }
  m_pullAt = aNow + (m_serving ? m_options.pullInterval : m_startInterval);
  // The first answer may carry the whole lists, so a host that waits for them
  // asks less and less often.
  m_startInterval =
    std::min(2 * m_startInterval, m_options.longestStartInterval);
  PullFromControl(aNow);
  const bool controlSilent = IsDue(m_answeredAt + kLeaderSilence, aNow);
  if (controlSilent || !m_serving) {
    PullFromPeer(aNow);
  }
}

void
ListsFollower::PullFromControl(TimePoint aNow)
{
  const bool leaderSilent = IsDue(m_answeredAt + kLeaderSilence, aNow);
  if (!m_leader.IsEmpty() && !leaderSilent) {
    m_hooks.sendPull(m_leader, Pull(true));
    return;
  }
  const std::size_t index = m_nextControl++ % m_options.controlHosts.size();
  m_hooks.sendPull(m_options.controlHosts[index], Pull(true));
}

// A peer relays the pull to control, so that a host with a one-way cut to
// control is not held back, and answers with what it has itself.
void
ListsFollower::PullFromPeer(TimePoint aNow)
{
  std::vector<HostId> peers = m_hooks.aliveHosts();
  peers.erase(std::remove(peers.begin(), peers.end(), m_options.self),
              peers.end());
  m_random.Shuffle(peers);
  static constexpr std::size_t kPeersAsked = 3;
  // Only their majority needs all of them, and by then this host has the lists,
  // so that the answers are short.
  const bool needsAll =
    !m_serving && IsDue(m_startedAt + m_options.peerFallback, aNow);
  const std::size_t count =
    needsAll ? peers.size() : std::min(peers.size(), kPeersAsked);
  for (std::size_t i = 0; i < count; ++i) {
    wire::ListsPull pull = Pull(true);
    pull.set_relay_for(m_options.self.Value());
    m_hooks.sendPull(peers[i], pull);
  }
}

bool
ListsFollower::IsControlHost(const HostId& aHost) const
{
  return std::find(m_options.controlHosts.begin(),
                   m_options.controlHosts.end(),
                   aHost) != m_options.controlHosts.end();
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
    m_hooks.sendPush(relay->second.asker, forwarded);
    m_relays.erase(relay);
    return;
  }
  Adopt(aPush);
  const bool control = IsControlHost(aFrom);
  if (control) {
    m_answeredAt = aNow;
    m_leader = HostId(aPush.leader());
    m_hooks.groupLeaders(
      { aPush.group_leaders().begin(), aPush.group_leaders().end() });
  } else if (aPush.group_leaders_size() > 0) {
    m_hooks.groupLeaders(
      { aPush.group_leaders().begin(), aPush.group_leaders().end() });
  }
  if (aPush.confirmed() &&
      m_lists.Version().Value() >= aPush.current_version()) {
    m_confirmedAt = aNow;
    Serve(control ? "leader" : "relayed");
    return;
  }
  // The answer named the leader; by now this host has the lists, so the
  // leader's word is short.
  if (control && !m_serving && !m_leader.IsEmpty() && m_leader != aFrom) {
    m_hooks.sendPull(m_leader, Pull(true));
  }
  if (!control && aPush.serving()) {
    CountPeerAnswer(aFrom, aPush);
    const bool late = IsDue(m_startedAt + m_options.peerFallback, aNow);
    const std::size_t alive = m_hooks.aliveHosts().size();
    // This host itself cannot vouch for anything yet.
    if (late && m_peerAnswers.size() > (alive - 1) / 2) {
      Serve("peers");
    }
  }
}

void
ListsFollower::CountPeerAnswer(const HostId& aPeer,
                               const wire::ListsPush& aPush)
{
  if (m_lists.Version().Value() >= aPush.current_version()) {
    m_peerAnswers[aPeer] = aPush.current_version();
  }
}

void
ListsFollower::Adopt(const wire::ListsPush& aPush)
{
  for (const wire::ListsDelta& delta : aPush.deltas()) {
    const std::uint64_t before = m_lists.Version().Value();
    if (!m_lists.Apply(delta)) {
      continue;
    }
    CheckInvariant(m_lists.Version().Value() > before,
                   "an entry host never goes back to an older version");
    if (delta.full()) {
      m_history.clear();
    } else {
      m_history.push_back(delta);
    }
    if (m_history.size() > kMaxHistory) {
      m_history.pop_front();
    }
    m_hooks.record(Event("lists_in_force").With("version", m_lists.Version()));
  }
}

void
ListsFollower::Serve(const char* aWhy)
{
  if (m_serving) {
    return;
  }
  m_serving = true;
  m_hooks.record(Event("serving_started")
                   .With("confirmed_by", aWhy)
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
  const std::uint64_t have = aPull.have_version();
  if (have < m_lists.Version().Value()) {
    const bool reaches =
      !m_history.empty() && m_history.front().from_version() <= have;
    if (reaches) {
      for (const wire::ListsDelta& delta : m_history) {
        if (delta.from_version() >= have) {
          *push.add_deltas() = delta;
        }
      }
    } else {
      *push.add_deltas() = m_lists.Full();
    }
  }
  m_hooks.sendPush(aFrom, push);
  if (aPull.relay_for().empty() || m_leader.IsEmpty()) {
    return;
  }
  wire::ListsPull relayed = aPull;
  relayed.set_pull_id(m_nextPull++);
  m_relays[relayed.pull_id()] = { aFrom, aPull.pull_id(), aNow + kRelayKept };
  m_hooks.sendPull(m_leader, relayed);
}

void
ListsFollower::OnPeerVersion(const HostId& aPeer, std::uint64_t aVersion)
{
  if (aVersion > m_lists.Version().Value()) {
    m_hooks.sendPull(aPeer, Pull(false));
  }
}

} // namespace fuchsiaramp

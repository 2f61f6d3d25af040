#include <algorithm>

#include "base/invariant.h"
#include "consensus/node.h"

namespace fuchsiaramp {

static constexpr Duration kJoinRequestLifetime = std::chrono::seconds(2);
static constexpr std::uint64_t kBootstrapIndex = 1;
static constexpr std::uint64_t kBootstrapTerm = 1;
// Largest lag at which a learner may become a voter.
static constexpr std::uint64_t kMaxCaughtUpLagEntries = 64;

void
Node::OnBlankProbe(const HostId& aFrom,
                   const wire::RaftMessage& aMessage,
                   TimePoint aNow)
{
  m_joinRequests[aFrom] = { aMessage.from_disk(), aNow + kJoinRequestLifetime };
  wire::RaftMessage reply = Message(wire::RaftMessage::BLANK_REPLY);
  // A member that holds only the initial configuration includes it in the
  // reply, in case no other host received replies from all hosts.
  if (!HasEmptyDisk() && m_snapshotMeta.index() == kBootstrapIndex) {
    *reply.mutable_snapshot() = m_snapshotMeta;
  }
  // Only the leader adds the host, which may know none but followers.
  for (const wire::Member& member : m_configuration.members()) {
    reply.add_member_hosts(member.host());
  }
  Send(aFrom, aMessage.from_disk(), reply);
}

void
Node::OnBlankReply(const HostId& aFrom,
                   const wire::RaftMessage& aMessage,
                   TimePoint aNow)
{
  m_bootstrap.OnReply(aFrom, aMessage, aNow);
  if (aMessage.to_disk() == m_hardState.disk_id()) {
    for (const std::string& host : aMessage.member_hosts()) {
      m_hostsOfGroup.insert(HostId(host));
    }
  }
  const wire::Configuration& initial = aMessage.snapshot().configuration();
  if (HasEmptyDisk() && aMessage.to_disk() == m_hardState.disk_id() &&
      IsVoter(initial, Self())) {
    FormGroup(initial, aNow);
  }
}

// Whether the sender's group elected a leader, and so a majority formed the
// group. Until then, hosts with empty disks are needed to form it.
bool
Node::ShowsWorkingGroup(const wire::RaftMessage& aMessage)
{
  switch (aMessage.kind()) {
    case wire::RaftMessage::APPEND:
    case wire::RaftMessage::SNAPSHOT:
      return true;
    case wire::RaftMessage::PRE_VOTE:
    case wire::RaftMessage::VOTE:
      return aMessage.log_index() > kBootstrapIndex;
    default:
      return false;
  }
}

void
Node::FormGroup(const wire::Configuration& aConfiguration, TimePoint aNow)
{
  CheckInvariant(HasEmptyDisk(),
                 "only a member with an empty disk forms a new group");
  m_hardState.set_cluster_id(Bootstrap::ClusterIdOf(aConfiguration));
  m_hardState.set_term(kBootstrapTerm);
  m_snapshotMeta.set_index(kBootstrapIndex);
  m_snapshotMeta.set_term(kBootstrapTerm);
  *m_snapshotMeta.mutable_configuration() = aConfiguration;
  m_snapshotData = std::make_shared<std::string>();
  const std::error_code error = m_hooks.storage.saveSnapshot(
    m_hardState, m_snapshotMeta, *m_snapshotData, {});
  if (error) {
    Stop(error);
    return;
  }
  m_log.Reset(kBootstrapIndex, kBootstrapTerm);
  m_commit = kBootstrapIndex;
  m_applied = kBootstrapIndex;
  m_appliedConfiguration = aConfiguration;
  RecomputeConfiguration();
  ResetElectionDeadline(aNow);
  m_hooks.record(Event("group_formed")
                   .With("group", m_options.group)
                   .With("cluster", m_hardState.cluster_id())
                   .With("voters", aConfiguration.members_size()));
}

// Changes the members without an operator: a permitted host that reports an
// empty disk becomes a learner, then a voter, after the voter with its former
// disk is removed. Each change must be committed before the next one.
void
Node::ManageMembers(TimePoint aNow)
{
  const bool configurationCommitted = m_configurationIndex <= m_commit;
  const bool committedInTerm = m_log.TermAt(m_commit) == Term();
  if (!configurationCommitted || !committedInTerm || m_transferring) {
    return;
  }
  if (AddLearner(aNow) || PromoteCaughtUpLearner(aNow)) {
    return;
  }
  if (RemoveUnresponsive(aNow)) {
    return;
  }
  if (!m_options.openMembership) {
    RemoveUnconfiguredHost(aNow);
  }
}

bool
Node::IsConfiguredHost(const HostId& aHost) const
{
  return std::find(m_options.hosts.begin(), m_options.hosts.end(), aHost) !=
         m_options.hosts.end();
}

std::size_t
Node::VoterCount() const
{
  return static_cast<std::size_t>(
    std::count_if(m_configuration.members().begin(),
                  m_configuration.members().end(),
                  [](const wire::Member& aMember) { return aMember.voter(); }));
}

bool
Node::IsCaughtUp(const MemberId& aMember) const
{
  const auto progress = m_progress.find(aMember);
  return progress != m_progress.end() && progress->second.replied &&
         progress->second.match + kMaxCaughtUpLagEntries >= m_commit &&
         progress->second.match > 0;
}

bool
Node::IsUnresponsive(const MemberId& aMember,
                     Duration aLimit,
                     TimePoint aNow) const
{
  const auto progress = m_progress.find(aMember);
  if (aMember == Self() || progress == m_progress.end()) {
    return false;
  }
  const TimePoint lastContact =
    std::max(m_leaderSince, progress->second.ackedSendTime);
  return IsDue(lastContact + aLimit, aNow);
}

bool
Node::HasRecentContact(const HostId& aHost, TimePoint aNow) const
{
  if (aHost == m_options.self) {
    return true;
  }
  return std::any_of(
    m_progress.begin(), m_progress.end(), [&](const auto& aItem) {
      return aItem.first.host == aHost &&
             !IsUnresponsive(aItem.first, m_options.voterTimeout, aNow);
    });
}

bool
Node::HasUnresponsiveVoter(TimePoint aNow) const
{
  return std::any_of(m_configuration.members().begin(),
                     m_configuration.members().end(),
                     [&](const wire::Member& aMember) {
                       return aMember.voter() &&
                              IsUnresponsive(
                                IdOf(aMember), m_options.voterTimeout, aNow);
                     });
}

// An unresponsive voter is removed only after a learner was promoted in its
// place. Without it, the others would be one too few to outlive the loss of as
// many disks as the group tolerates. With closed membership, voters are
// replaced only by members on a new disk of the same host.
bool
Node::RemoveUnresponsive(TimePoint aNow)
{
  const bool replaced =
    m_options.openMembership && VoterCount() > m_options.maxVoters;
  for (const wire::Member& candidate : m_configuration.members()) {
    const Duration limit =
      candidate.voter() ? m_options.voterTimeout : m_options.learnerTimeout;
    const bool removable = IsUnresponsive(IdOf(candidate), limit, aNow) &&
                           (replaced || !candidate.voter());
    if (!removable) {
      continue;
    }
    wire::Configuration next;
    for (const wire::Member& member : m_configuration.members()) {
      if (IdOf(member) != IdOf(candidate)) {
        *next.add_members() = member;
      }
    }
    if (HasLiveQuorum(next, aNow)) {
      ProposeConfiguration(next, "silent_member_removed");
      return true;
    }
  }
  return false;
}

bool
Node::AddLearner(TimePoint aNow)
{
  for (const auto& [host, request] : m_joinRequests) {
    const MemberId joining{ host, request.diskId };
    const bool mayJoin = m_options.openMembership || IsConfiguredHost(host);
    if (!mayJoin || IsDue(request.validUntil, aNow) ||
        IsMember(m_configuration, joining)) {
      continue;
    }
    wire::Configuration next;
    for (const wire::Member& member : m_configuration.members()) {
      // A learner with an earlier disk of the same host can never reconnect.
      if (member.voter() || member.host() != host.Value()) {
        *next.add_members() = member;
      }
    }
    wire::Member* learner = next.add_members();
    learner->set_host(host.Value());
    learner->set_disk_id(request.diskId);
    ProposeConfiguration(next, "learner_added");
    return true;
  }
  return false;
}

bool
Node::PromoteCaughtUpLearner(TimePoint aNow)
{
  for (const wire::Member& learner : m_configuration.members()) {
    if (learner.voter() || !IsCaughtUp(IdOf(learner)) ||
        IsUnresponsive(IdOf(learner), m_options.electionTimeout, aNow)) {
      continue;
    }
    wire::Configuration next;
    bool replaces = false;
    for (const wire::Member& member : m_configuration.members()) {
      const bool isFormerVoter =
        member.voter() && member.host() == learner.host();
      replaces = replaces || isFormerVoter;
      if (!isFormerVoter) {
        *next.add_members() = member;
      }
    }
    if (!replaces) {
      // One voter more while an unresponsive one is replaced.
      const std::size_t maxVoters =
        m_options.maxVoters + (HasUnresponsiveVoter(aNow) ? 1 : 0);
      const bool full = m_options.openMembership && VoterCount() >= maxVoters;
      if (full) {
        continue;
      }
      for (wire::Member& member : *next.mutable_members()) {
        member.set_voter(member.voter() || IdOf(member) == IdOf(learner));
      }
    }
    if (HasLiveQuorum(next, aNow)) {
      ProposeConfiguration(next, replaces ? "voter_removed" : "voter_added");
      return true;
    }
  }
  return false;
}

bool
Node::RemoveUnconfiguredHost(TimePoint aNow)
{
  for (const wire::Member& candidate : m_configuration.members()) {
    if (IsConfiguredHost(HostId(candidate.host()))) {
      continue;
    }
    wire::Configuration next;
    for (const wire::Member& member : m_configuration.members()) {
      if (IdOf(member) != IdOf(candidate)) {
        *next.add_members() = member;
      }
    }
    if (HasLiveQuorum(next, aNow)) {
      ProposeConfiguration(next, "unnamed_host_removed");
      return true;
    }
  }
  return false;
}

bool
Node::HasLiveQuorum(const wire::Configuration& aConfiguration,
                    TimePoint aNow) const
{
  std::size_t live = 0;
  for (const wire::Member& member : aConfiguration.members()) {
    if (!member.voter()) {
      continue;
    }
    const auto it = m_progress.find(IdOf(member));
    const bool answered =
      it != m_progress.end() && it->second.replied &&
      aNow < it->second.ackedSendTime + 2 * m_options.electionTimeout;
    live += (IdOf(member) == Self() || answered) ? 1 : 0;
  }
  return live >= Quorum(aConfiguration);
}

void
Node::ProposeConfiguration(const wire::Configuration& aConfiguration,
                           const char* aEventName)
{
  wire::LogEntry entry;
  *entry.mutable_configuration() = aConfiguration;
  AppendLocal(std::move(entry));
  m_hooks.record(Event(aEventName)
                   .With("group", m_options.group)
                   .With("index", m_log.LastIndex())
                   .With("members", aConfiguration.members_size())
                   .With("quorum", Quorum(aConfiguration)));
}

// The newest configuration in the log is in effect even before it is committed.
void
Node::RecomputeConfiguration()
{
  m_configuration = m_snapshotMeta.configuration();
  m_configurationIndex = m_snapshotMeta.index();
  for (std::uint64_t i = m_log.LastIndex(); i > m_snapshotMeta.index(); --i) {
    if (m_log.At(i).has_configuration()) {
      m_configuration = m_log.At(i).configuration();
      m_configurationIndex = i;
      break;
    }
  }
}

void
Node::SyncProgress()
{
  std::map<MemberId, Progress> progress;
  for (const wire::Member& member : m_configuration.members()) {
    const MemberId id = IdOf(member);
    if (id == Self()) {
      continue;
    }
    const auto existing = m_progress.find(id);
    if (existing != m_progress.end()) {
      progress[id] = existing->second;
    } else {
      progress[id].next = m_log.LastIndex() + 1;
      progress[id].sentAfter = m_log.LastIndex();
    }
  }
  m_progress = std::move(progress);
}

} // namespace fuchsiaramp

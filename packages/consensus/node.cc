#include "consensus/node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/digest.h"
#include "base/error.h"
#include "base/invariant.h"

namespace fuchsiaramp {

static constexpr Duration kProbeInterval = std::chrono::milliseconds(300);
// Probe interval of a member without a leader; longer than with an empty disk.
static constexpr Duration kRejoinInterval = std::chrono::seconds(1);

Node::Node(NodeOptions aOptions,
           StoredState aStored,
           NodeHooks aHooks,
           Random aRandom,
           TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
  , m_hardState(std::move(aStored.hardState))
  // Hosts that start at the same moment may be given the same numbers. Equal
  // election timeouts would split every vote.
  , m_random(Hash64(ToText(Self()), aRandom.Bits()))
  , m_log(aStored.snapshotMeta.index(),
          aStored.snapshotMeta.term(),
          aStored.entries)
  , m_snapshotData(std::make_shared<std::string>(std::move(aStored.snapshot)))
  , m_snapshotMeta(std::move(aStored.snapshotMeta))
  // Before its restart, this voter may have extended the lease of a leader, so
  // it grants no votes for one election timeout.
  , m_leaderContactUntil(aNow + m_options.electionTimeout)
  , m_commit(m_snapshotMeta.index())
  , m_applied(m_snapshotMeta.index())
  , m_appliedConfiguration(m_snapshotMeta.configuration())
  , m_bootstrap(Self(), m_options.hosts)
  , m_joinTargets(m_options.hosts)
  , m_startedAt(aNow)
  , m_probeAt(aNow)
{
  RecomputeConfiguration();
  ResetElectionDeadline(aNow);
  if (m_applied > 0) {
    m_hooks.restore(*m_snapshotData);
  }
}

MemberId
Node::Self() const
{
  return { m_options.self, m_hardState.disk_id() };
}

void
Node::Step(const HostId& aFrom,
           const wire::RaftMessage& aMessage,
           TimePoint aNow)
{
  if (m_stopped) {
    return;
  }
  if (aMessage.kind() == wire::RaftMessage::BLANK_PROBE) {
    OnBlankProbe(aFrom, aMessage, aNow);
    return;
  }
  if (aMessage.kind() == wire::RaftMessage::BLANK_REPLY) {
    OnBlankReply(aFrom, aMessage, aNow);
    return;
  }
  const bool isJoining =
    HasEmptyDisk() && aMessage.cluster_id() != 0 && ShowsWorkingGroup(aMessage);
  if (aMessage.to_disk() != m_hardState.disk_id() ||
      (aMessage.cluster_id() != m_hardState.cluster_id() && !isJoining)) {
    return;
  }
  if (isJoining) {
    m_hardState.set_cluster_id(aMessage.cluster_id());
    m_hardStateDirty = true;
  }
  switch (aMessage.kind()) {
    case wire::RaftMessage::PRE_VOTE:
      return OnPreVote(aFrom, aMessage, aNow);
    case wire::RaftMessage::VOTE:
      return OnVote(aFrom, aMessage, aNow);
    case wire::RaftMessage::PRE_VOTE_REPLY:
    case wire::RaftMessage::VOTE_REPLY:
      return OnVoteReply(aFrom, aMessage, aNow);
    case wire::RaftMessage::APPEND:
      return OnAppend(aFrom, aMessage, aNow);
    case wire::RaftMessage::APPEND_REPLY:
      return OnAppendReply(aFrom, aMessage, aNow);
    case wire::RaftMessage::SNAPSHOT:
      return OnSnapshot(aFrom, aMessage, aNow);
    case wire::RaftMessage::SNAPSHOT_REPLY:
      return OnSnapshotReply(aFrom, aMessage, aNow);
    case wire::RaftMessage::TIMEOUT_NOW:
      if (aMessage.term() == Term() && IsVoter(m_configuration, Self())) {
        StartElection(aNow, true);
      }
      return;
    default:
      return;
  }
}

void
Node::Tick(TimePoint aNow)
{
  if (m_stopped) {
    return;
  }
  if (HasEmptyDisk()) {
    if (IsDue(m_probeAt, aNow)) {
      m_probeAt = aNow + kProbeInterval;
      ProbeHosts();
    }
    if (m_options.mayBootstrap && IsConfiguredHost(m_options.self) &&
        m_bootstrap.IsUnanimous(aNow)) {
      FormGroup(m_bootstrap.InitialConfiguration(), aNow);
    }
    return;
  }
  if (m_role == NodeRole::kLeader) {
    // The target may still start its election, which does not wait for this
    // leader's lease to expire, so the lease must not resume in this term.
    if (m_transferring && IsDue(m_transferUntil, aNow)) {
      BecomeFollower(Term(), HostId(), aNow);
      return;
    }
    if (IsDue(m_quorumCheckAt, aNow)) {
      m_quorumCheckAt = aNow + m_options.electionTimeout;
      if (!HasLiveQuorum(m_configuration, aNow)) {
        m_hooks.record(Event("leader_lost_quorum").With("term", Term()));
        BecomeFollower(Term(), HostId(), aNow);
        return;
      }
    }
    if (IsDue(m_heartbeatAt, aNow)) {
      m_heartbeatAt = aNow + m_options.heartbeatInterval;
      ManageMembers(aNow);
      BroadcastAppends(aNow);
    }
    return;
  }
  // A member that was removed while disconnected is not notified, since the
  // leader no longer sends to it. It probes other hosts in order to rejoin.
  const TimePoint missingSince =
    m_leaderContactUntil + m_options.electionTimeout;
  if (IsDue(missingSince, aNow) && IsDue(m_probeAt, aNow)) {
    m_probeAt = aNow + kRejoinInterval;
    ProbeHosts();
  }
  if (IsDue(m_electionDeadline, aNow)) {
    if (IsVoter(m_configuration, Self())) {
      StartPreVote(aNow);
    } else {
      ResetElectionDeadline(aNow);
    }
  }
}

void
Node::Propose(ProposalId aId, std::string aCommand)
{
  if (m_stopped || !IsLeader() || m_transferring) {
    m_hooks.finished(aId, ProposalOutcome::kNotLeader, "");
    return;
  }
  if (m_log.LastIndex() - m_commit >= m_options.maxUncommittedEntries ||
      m_log.Bytes(m_commit, m_log.LastIndex()) >=
        m_options.maxUncommittedBytes) {
    m_hooks.finished(aId, ProposalOutcome::kOverloaded, "");
    return;
  }
  wire::LogEntry entry;
  entry.set_command(std::move(aCommand));
  AppendLocal(std::move(entry));
  m_pending[m_log.LastIndex()] = { Term(), aId };
}

void
Node::Flush(TimePoint aNow)
{
  if (m_stopped) {
    return;
  }
  if (m_role == NodeRole::kLeader && m_broadcastPending) {
    BroadcastAppends(aNow);
  }
  if (!Persist()) {
    return;
  }
  std::vector<Outgoing> out;
  out.swap(m_out);
  for (const Outgoing& outgoing : out) {
    m_hooks.send(outgoing.to, outgoing.message);
  }
  if (m_role == NodeRole::kLeader) {
    AdvanceCommit();
  }
  ApplyCommitted();
  if (m_leasedCommit != 0 && m_applied >= m_leasedCommit) {
    m_currentAt = m_leasedAt;
    m_leasedCommit = 0;
  }
}

bool
Node::Persist()
{
  if (!m_hardStateDirty && m_unsyncedFrom == 0) {
    return true;
  }
  std::vector<wire::LogEntry> entries;
  if (m_unsyncedFrom != 0) {
    entries = m_log.EntriesFrom(m_unsyncedFrom);
  }
  const std::error_code error = m_hooks.storage.append(m_hardState, entries);
  if (error) {
    Stop(error);
    return false;
  }
  m_hardStateDirty = false;
  m_unsyncedFrom = 0;
  return true;
}

void
Node::Stop(std::error_code aError)
{
  m_stopped = true;
  m_out.clear();
  m_hooks.record(Event("storage_failed").With("error", aError.message()));
  FailPending();
  m_hooks.fatal(aError);
}

bool
Node::HasLease(TimePoint aNow) const
{
  if (m_stopped || m_role != NodeRole::kLeader || m_transferring) {
    return false;
  }
  // Until it commits an entry of its own term, a leader may not know of all
  // entries that earlier leaders committed.
  const auto committedTerm = m_log.TermAt(m_commit);
  if (!committedTerm || *committedTerm != Term() || m_applied < m_commit) {
    return false;
  }
  // Voters grant no vote for one election timeout after a message from the
  // leader. The lease is a fifth shorter to allow for clock drift.
  const Duration lease =
    m_options.electionTimeout - m_options.electionTimeout / 5;
  const auto sent = static_cast<std::int64_t>(QuorumSendTime());
  return aNow < FromMicros(sent) + lease;
}

TimePoint
Node::CurrentAsOf(TimePoint aNow) const
{
  if (HasLease(aNow)) {
    return aNow;
  }
  return m_stopped ? TimePoint() : m_currentAt;
}

bool
Node::IsCurrent(TimePoint aNow, Duration aAge) const
{
  const TimePoint asOf = CurrentAsOf(aNow);
  return asOf > TimePoint() && aNow < asOf + aAge;
}

void
Node::SetJoinTargets(std::vector<HostId> aHosts)
{
  m_joinTargets = std::move(aHosts);
}

std::set<HostId>
Node::OtherHosts() const
{
  std::set<HostId> hosts = m_hostsOfGroup;
  hosts.insert(m_joinTargets.begin(), m_joinTargets.end());
  for (const wire::Member& member : m_configuration.members()) {
    hosts.insert(HostId(member.host()));
  }
  hosts.erase(m_options.self);
  return hosts;
}

void
Node::ProbeHosts()
{
  for (const HostId& host : OtherHosts()) {
    Send(host, 0, Message(wire::RaftMessage::BLANK_PROBE));
  }
}

// The latest time T such that a majority acked a message sent at or after T.
std::uint64_t
Node::QuorumSendTime() const
{
  return QuorumValue(m_configuration, [this](const MemberId& aMember) {
    if (aMember == Self()) {
      return static_cast<std::uint64_t>(ToMicros(kNever) / 2);
    }
    const auto it = m_progress.find(aMember);
    const bool hasReplied = it != m_progress.end() && it->second.replied;
    return static_cast<std::uint64_t>(
      hasReplied ? ToMicros(it->second.ackedSendTime) : 0);
  });
}

wire::RaftMessage
Node::Message(wire::RaftMessage::Kind aKind) const
{
  wire::RaftMessage message;
  message.set_kind(aKind);
  message.set_group(m_options.group);
  message.set_cluster_id(m_hardState.cluster_id());
  message.set_from_disk(m_hardState.disk_id());
  message.set_term(Term());
  message.set_blank(HasEmptyDisk());
  return message;
}

void
Node::Send(const HostId& aTo, std::uint64_t aDisk, wire::RaftMessage aMessage)
{
  aMessage.set_to_disk(aDisk);
  m_out.push_back({ aTo, std::move(aMessage) });
}

} // namespace fuchsiaramp

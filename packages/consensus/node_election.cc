#include <algorithm>

#include "base/invariant.h"
#include "consensus/node.h"

namespace fuchsiaramp {

void
Node::ResetElectionDeadline(TimePoint aNow)
{
  const auto span =
    static_cast<std::uint64_t>(m_options.electionTimeout.count());
  m_electionDeadline =
    aNow + m_options.electionTimeout + Duration(m_random.Below(span));
}

void
Node::SetTerm(std::uint64_t aTerm)
{
  CheckInvariant(aTerm >= Term(), "the term never decreases");
  if (aTerm > Term()) {
    m_hardState.set_term(aTerm);
    m_hardState.clear_voted_for();
    m_hardStateDirty = true;
  }
}

void
Node::BecomeFollower(std::uint64_t aTerm, const HostId& aLeader, TimePoint aNow)
{
  const bool wasLeader = m_role == NodeRole::kLeader;
  SetTerm(aTerm);
  m_role = NodeRole::kFollower;
  m_leader = aLeader;
  m_votes.clear();
  m_progress.clear();
  ResetElectionDeadline(aNow);
  if (wasLeader) {
    m_hooks.record(Event("leader_stepped_down")
                     .With("group", m_options.group)
                     .With("term", Term()));
    FailPending();
  }
}

// For the leader itself: whether a majority of the voters is responsive.
bool
Node::HasRecentLeader(TimePoint aNow) const
{
  if (m_role == NodeRole::kLeader) {
    return HasLiveQuorum(m_configuration, aNow);
  }
  return !IsDue(m_leaderContactUntil, aNow);
}

bool
Node::IsUpToDate(const wire::RaftMessage& aMessage) const
{
  if (aMessage.log_term() != m_log.LastTerm()) {
    return aMessage.log_term() > m_log.LastTerm();
  }
  return aMessage.log_index() >= m_log.LastIndex();
}

// Pre-votes do not increment the term, so a member that was partitioned does
// not disrupt a working group when it reconnects.
void
Node::StartPreVote(TimePoint aNow)
{
  m_role = NodeRole::kPreCandidate;
  m_leader = HostId();
  m_votes.clear();
  ResetElectionDeadline(aNow);
  m_hooks.record(Event("pre_vote_started")
                   .With("group", m_options.group)
                   .With("term", Term() + 1)
                   .With("last_index", m_log.LastIndex())
                   .With("last_term", m_log.LastTerm())
                   .With("quorum", Quorum(m_configuration)));
  wire::RaftMessage request = Message(wire::RaftMessage::PRE_VOTE);
  request.set_term(Term() + 1);
  request.set_log_index(m_log.LastIndex());
  request.set_log_term(m_log.LastTerm());
  for (const wire::Member& member : m_configuration.members()) {
    if (member.voter() && IdOf(member) != Self()) {
      Send(HostId(member.host()), member.disk_id(), request);
    }
  }
  CountVote(Self(), aNow);
}

void
Node::StartElection(TimePoint aNow, bool aTransfer)
{
  m_role = NodeRole::kCandidate;
  m_leader = HostId();
  m_votes.clear();
  SetTerm(Term() + 1);
  m_hardState.set_voted_for(ToText(Self()));
  m_hardStateDirty = true;
  ResetElectionDeadline(aNow);
  m_hooks.record(Event("election_started")
                   .With("group", m_options.group)
                   .With("term", Term())
                   .With("transfer", aTransfer));
  wire::RaftMessage request = Message(wire::RaftMessage::VOTE);
  request.set_log_index(m_log.LastIndex());
  request.set_log_term(m_log.LastTerm());
  // Set on a leadership transfer: voters need not wait for the old leader's
  // lease to expire.
  request.set_granted(aTransfer);
  for (const wire::Member& member : m_configuration.members()) {
    if (member.voter() && IdOf(member) != Self()) {
      Send(HostId(member.host()), member.disk_id(), request);
    }
  }
  CountVote(Self(), aNow);
}

void
Node::CountVote(const MemberId& aFrom, TimePoint aNow)
{
  if (!IsVoter(m_configuration, aFrom)) {
    return;
  }
  m_votes[aFrom] = true;
  if (m_votes.size() < Quorum(m_configuration)) {
    return;
  }
  if (m_role == NodeRole::kPreCandidate) {
    StartElection(aNow, false);
  } else {
    BecomeLeader(aNow);
  }
}

void
Node::BecomeLeader(TimePoint aNow)
{
  m_role = NodeRole::kLeader;
  m_leader = m_options.self;
  m_votes.clear();
  m_progress.clear();
  m_transferring = false;
  m_heartbeatAt = aNow;
  m_leaderSince = aNow;
  // Members have one election timeout to send their first reply.
  m_quorumCheckAt = aNow + m_options.electionTimeout;
  SyncProgress();
  for (auto& [member, progress] : m_progress) {
    progress.next = m_log.LastIndex() + 1;
    progress.sentAfter = m_log.LastIndex();
  }
  AppendLocal(wire::LogEntry());
  m_hooks.record(Event("leader_elected")
                   .With("group", m_options.group)
                   .With("term", Term())
                   .With("last_index", m_log.LastIndex()));
}

void
Node::OnPreVote(const HostId& aFrom,
                const wire::RaftMessage& aMessage,
                TimePoint aNow)
{
  wire::RaftMessage reply = Message(wire::RaftMessage::PRE_VOTE_REPLY);
  const bool granted =
    aMessage.term() > Term() && IsUpToDate(aMessage) && !HasRecentLeader(aNow);
  reply.set_granted(granted);
  if (granted) {
    reply.set_term(aMessage.term());
    YieldTo({ aFrom, aMessage.from_disk() }, aMessage);
  }
  Send(aFrom, aMessage.from_disk(), reply);
}

// If two members start a pre-vote within the delay of a message, both would
// win it and split the votes of the election. The one with the older log gives
// way; with equal logs, the one with the later id.
void
Node::YieldTo(const MemberId& aCandidate, const wire::RaftMessage& aMessage)
{
  const bool sameLog = aMessage.log_term() == m_log.LastTerm() &&
                       aMessage.log_index() == m_log.LastIndex();
  const bool yields = IsUpToDate(aMessage) && !(sameLog && Self() < aCandidate);
  if (m_role == NodeRole::kPreCandidate && yields) {
    m_role = NodeRole::kFollower;
    m_votes.clear();
  }
}

void
Node::OnVote(const HostId& aFrom,
             const wire::RaftMessage& aMessage,
             TimePoint aNow)
{
  const bool transfer = aMessage.granted();
  if (!transfer && HasRecentLeader(aNow)) {
    return;
  }
  if (aMessage.term() > Term()) {
    BecomeFollower(aMessage.term(), HostId(), aNow);
  }
  const std::string candidate = ToText({ aFrom, aMessage.from_disk() });
  const bool canVote =
    m_hardState.voted_for().empty() || m_hardState.voted_for() == candidate;
  const bool granted =
    aMessage.term() == Term() && canVote && IsUpToDate(aMessage);
  if (granted) {
    m_hardState.set_voted_for(candidate);
    m_hardStateDirty = true;
    ResetElectionDeadline(aNow);
  }
  wire::RaftMessage reply = Message(wire::RaftMessage::VOTE_REPLY);
  reply.set_granted(granted);
  Send(aFrom, aMessage.from_disk(), reply);
}

void
Node::OnVoteReply(const HostId& aFrom,
                  const wire::RaftMessage& aMessage,
                  TimePoint aNow)
{
  const bool preVote = aMessage.kind() == wire::RaftMessage::PRE_VOTE_REPLY;
  if (!aMessage.granted()) {
    if (aMessage.term() > Term()) {
      BecomeFollower(aMessage.term(), HostId(), aNow);
    }
    return;
  }
  const bool counts =
    preVote ? m_role == NodeRole::kPreCandidate && aMessage.term() == Term() + 1
            : m_role == NodeRole::kCandidate && aMessage.term() == Term();
  if (counts) {
    CountVote({ aFrom, aMessage.from_disk() }, aNow);
  }
}

void
Node::TransferLeadership(TimePoint aNow)
{
  if (!IsLeader() || m_transferring) {
    return;
  }
  const MemberId* target = nullptr;
  for (const auto& [member, progress] : m_progress) {
    if (progress.match == m_log.LastIndex() &&
        IsVoter(m_configuration, member)) {
      target = &member;
    }
  }
  if (target == nullptr) {
    return;
  }
  m_transferring = true;
  m_transferUntil = aNow + m_options.electionTimeout;
  Send(target->host, target->diskId, Message(wire::RaftMessage::TIMEOUT_NOW));
}

} // namespace fuchsiaramp

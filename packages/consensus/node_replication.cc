#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "consensus/node.h"

namespace fuchsiaramp {

static constexpr std::uint64_t kMaxInFlightEntries = 8192; // per member
// The part of the log's maximum size that stays in memory after a snapshot.
static constexpr std::uint64_t kRetainedPart = 4;
static constexpr Duration kChunkRetryInterval = std::chrono::milliseconds(500);

void
Node::AppendLocal(wire::LogEntry aEntry)
{
  const std::uint64_t index = m_log.LastIndex() + 1;
  aEntry.set_index(index);
  aEntry.set_term(Term());
  if (aEntry.has_configuration()) {
    m_configuration = aEntry.configuration();
    m_configurationIndex = index;
    SyncProgress();
  }
  m_log.Append(std::move(aEntry));
  m_unsyncedFrom =
    m_unsyncedFrom == 0 ? index : std::min(m_unsyncedFrom, index);
  m_broadcastPending = true;
}

void
Node::BroadcastAppends(TimePoint aNow)
{
  m_broadcastPending = false;
  for (auto& [member, progress] : m_progress) {
    if (progress.snapshotOffset) {
      if (IsDue(progress.chunkRetryAt, aNow)) {
        SendSnapshotChunk(member, progress, aNow);
      }
    } else {
      SendAppend(member, progress, aNow);
    }
  }
}

void
Node::SendAppend(const MemberId& aTo, Progress& aProgress, TimePoint aNow)
{
  const std::uint64_t previous = aProgress.next - 1;
  const auto previousTerm = m_log.TermAt(previous);
  if (!previousTerm || aProgress.next < m_log.FirstIndex()) {
    aProgress.snapshotOffset = 0;
    SendSnapshotChunk(aTo, aProgress, aNow);
    return;
  }
  wire::RaftMessage message = Message(wire::RaftMessage::APPEND);
  message.set_log_index(previous);
  message.set_log_term(*previousTerm);
  message.set_commit(m_commit);
  message.set_leased(HasLease(aNow));
  message.set_sent_at_us(ToMicros(aNow));
  message.set_replied_at_us(aProgress.repliedAtUs);
  std::uint64_t bytes = 0;
  const std::uint64_t last =
    std::min(m_log.LastIndex(), aProgress.match + kMaxInFlightEntries);
  const std::uint64_t received = std::max(aProgress.match, aProgress.sentAfter);
  while (aProgress.next <= last && bytes < m_options.maxAppendBytes &&
         m_log.Bytes(received, aProgress.next - 1) <
           m_options.maxInFlightBytes) {
    const wire::LogEntry& entry = m_log.At(aProgress.next);
    bytes += entry.command().size() + 32;
    *message.add_entries() = entry;
    ++aProgress.next;
  }
  Send(aTo.host, aTo.diskId, std::move(message));
}

void
Node::OnAppend(const HostId& aFrom,
               const wire::RaftMessage& aMessage,
               TimePoint aNow)
{
  wire::RaftMessage reply = Message(wire::RaftMessage::APPEND_REPLY);
  reply.set_sent_at_us(aMessage.sent_at_us());
  reply.set_replied_at_us(ToMicros(aNow));
  if (aMessage.term() < Term()) {
    Send(aFrom, aMessage.from_disk(), reply);
    return;
  }
  CheckInvariant(!(IsLeader() && aMessage.term() == Term()),
                 "a term has at most one leader");
  BecomeFollower(aMessage.term(), aFrom, aNow);
  m_leaderContactUntil = aNow + m_options.electionTimeout;
  if (!m_configuration.members().empty()) {
    m_hostsOfGroup.clear();
  }
  reply.set_term(Term());
  const std::uint64_t previous = aMessage.log_index();
  const auto previousTerm = m_log.TermAt(previous);
  const bool beforeSnapshot = previous < m_log.SnapshotIndex();
  if (!beforeSnapshot &&
      (!previousTerm || *previousTerm != aMessage.log_term())) {
    reply.set_match_index(ConflictHint(previous));
    Send(aFrom, aMessage.from_disk(), reply);
    return;
  }
  MergeEntries(aMessage);
  const std::uint64_t matched = previous + aMessage.entries_size();
  m_commit = std::max(m_commit, std::min(aMessage.commit(), matched));
  RecordLease(aMessage);
  reply.set_granted(true);
  reply.set_match_index(std::max(matched, m_log.SnapshotIndex()));
  Send(aFrom, aMessage.from_disk(), reply);
}

// A message may arrive long after the leader sent it. The lease was certainly
// held when this member sent the reply that the message confirms.
void
Node::RecordLease(const wire::RaftMessage& aMessage)
{
  const TimePoint repliedAt = FromMicros(aMessage.replied_at_us());
  if (!aMessage.leased() || repliedAt < m_startedAt || repliedAt < m_leasedAt) {
    return;
  }
  m_leasedCommit = std::max<std::uint64_t>(aMessage.commit(), 1);
  m_leasedAt = repliedAt;
}

// The index after which the leader retries when the log does not match. Skips
// all entries of the conflicting term at once.
std::uint64_t
Node::ConflictHint(std::uint64_t aIndex) const
{
  if (aIndex > m_log.LastIndex()) {
    return m_log.LastIndex();
  }
  const auto term = m_log.TermAt(aIndex);
  std::uint64_t hint = aIndex;
  while (hint > m_commit && m_log.TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

void
Node::MergeEntries(const wire::RaftMessage& aMessage)
{
  bool configurationChanged = false;
  for (const wire::LogEntry& entry : aMessage.entries()) {
    const std::uint64_t index = entry.index();
    if (index <= m_log.SnapshotIndex()) {
      continue;
    }
    if (index <= m_log.LastIndex()) {
      if (m_log.TermAt(index) == entry.term()) {
        continue;
      }
      CheckInvariant(index > m_commit, "a committed entry is never replaced");
      m_log.TruncateFrom(index);
      configurationChanged = true;
    }
    m_log.Append(entry);
    configurationChanged = configurationChanged || entry.has_configuration();
    m_unsyncedFrom =
      m_unsyncedFrom == 0 ? index : std::min(m_unsyncedFrom, index);
  }
  if (configurationChanged) {
    RecomputeConfiguration();
  }
}

// Records that a member replied to this leader. Steps down if the reply has a
// later term. Returns null if the reply must be ignored.
Node::Progress*
Node::RecordReply(const MemberId& aFrom,
                  const wire::RaftMessage& aMessage,
                  TimePoint aNow)
{
  if (aMessage.term() > Term()) {
    BecomeFollower(aMessage.term(), HostId(), aNow);
    return nullptr;
  }
  const auto it = m_progress.find(aFrom);
  if (!IsLeader() || aMessage.term() < Term() || it == m_progress.end()) {
    return nullptr;
  }
  Progress& progress = it->second;
  progress.replied = true;
  progress.ackedSendTime =
    std::max(progress.ackedSendTime, FromMicros(aMessage.sent_at_us()));
  progress.repliedAtUs =
    std::max(progress.repliedAtUs, aMessage.replied_at_us());
  return &progress;
}

void
Node::OnAppendReply(const HostId& aFrom,
                    const wire::RaftMessage& aMessage,
                    TimePoint aNow)
{
  const MemberId member{ aFrom, aMessage.from_disk() };
  Progress* found = RecordReply(member, aMessage, aNow);
  if (found == nullptr) {
    return;
  }
  Progress& progress = *found;
  if (aMessage.granted()) {
    progress.match = std::max(progress.match, aMessage.match_index());
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.next <= m_log.LastIndex()) {
      SendAppend(member, progress, aNow);
    }
    return;
  }
  progress.next = std::max(progress.match, aMessage.match_index()) + 1;
  progress.next = std::min(progress.next, m_log.LastIndex() + 1);
  progress.sentAfter = progress.next - 1;
  SendAppend(member, progress, aNow);
}

void
Node::SendSnapshotChunk(const MemberId& aTo,
                        Progress& aProgress,
                        TimePoint aNow)
{
  const std::uint64_t offset =
    std::min<std::uint64_t>(*aProgress.snapshotOffset, m_snapshotData->size());
  wire::RaftMessage message = Message(wire::RaftMessage::SNAPSHOT);
  *message.mutable_snapshot() = m_snapshotMeta;
  message.set_offset(offset);
  message.set_data(
    m_snapshotData->substr(offset, m_options.snapshotChunkBytes));
  message.set_last_chunk(offset + message.data().size() ==
                         m_snapshotData->size());
  message.set_sent_at_us(ToMicros(aNow));
  aProgress.chunkRetryAt = aNow + kChunkRetryInterval;
  Send(aTo.host, aTo.diskId, std::move(message));
}

void
Node::OnSnapshot(const HostId& aFrom,
                 const wire::RaftMessage& aMessage,
                 TimePoint aNow)
{
  wire::RaftMessage reply = Message(wire::RaftMessage::SNAPSHOT_REPLY);
  reply.set_sent_at_us(aMessage.sent_at_us());
  if (aMessage.term() < Term()) {
    Send(aFrom, aMessage.from_disk(), reply);
    return;
  }
  BecomeFollower(aMessage.term(), aFrom, aNow);
  m_leaderContactUntil = aNow + m_options.electionTimeout;
  reply.set_term(Term());
  *reply.mutable_snapshot() = aMessage.snapshot();
  reply.mutable_snapshot()->clear_configuration();
  if (aMessage.snapshot().index() <= m_commit) {
    reply.set_granted(true);
    Send(aFrom, aMessage.from_disk(), reply);
    return;
  }
  if (!m_incoming || m_incoming->meta.index() != aMessage.snapshot().index() ||
      m_incoming->meta.term() != aMessage.snapshot().term()) {
    m_incoming = IncomingSnapshot{ aMessage.snapshot(), "" };
  }
  if (aMessage.offset() == m_incoming->data.size()) {
    m_incoming->data += aMessage.data();
    if (aMessage.last_chunk()) {
      InstallSnapshot();
      reply.set_granted(!m_stopped);
    }
  }
  reply.set_offset(m_incoming ? m_incoming->data.size() : 0);
  Send(aFrom, aMessage.from_disk(), reply);
}

void
Node::InstallSnapshot()
{
  const wire::SnapshotMeta meta = m_incoming->meta;
  m_snapshotData = std::make_shared<std::string>(std::move(m_incoming->data));
  m_incoming.reset();
  if (m_log.TermAt(meta.index()) == meta.term()) {
    m_log.Compact(meta.index(), meta.term(), meta.index() + 1);
  } else {
    m_log.Reset(meta.index(), meta.term());
  }
  m_snapshotMeta = meta;
  const std::error_code error = m_hooks.storage.saveSnapshot(
    m_hardState, meta, *m_snapshotData, m_log.EntriesFrom(meta.index() + 1));
  if (error) {
    Stop(error);
    return;
  }
  m_hardStateDirty = false;
  m_unsyncedFrom = 0;
  CheckInvariant(meta.index() > m_commit,
                 "an installed snapshot is newer than the commit index");
  m_commit = meta.index();
  m_applied = meta.index();
  m_appliedConfiguration = meta.configuration();
  RecomputeConfiguration();
  m_hooks.restore(*m_snapshotData);
  m_hooks.record(Event("snapshot_installed")
                   .With("group", m_options.group)
                   .With("index", meta.index())
                   .With("bytes", m_snapshotData->size()));
}

void
Node::OnSnapshotReply(const HostId& aFrom,
                      const wire::RaftMessage& aMessage,
                      TimePoint aNow)
{
  const MemberId member{ aFrom, aMessage.from_disk() };
  Progress* found = RecordReply(member, aMessage, aNow);
  if (found == nullptr) {
    return;
  }
  Progress& progress = *found;
  if (!progress.snapshotOffset) {
    return;
  }
  if (aMessage.granted()) {
    progress.snapshotOffset.reset();
    progress.match = std::max(progress.match, aMessage.snapshot().index());
    progress.next = progress.match + 1;
    SendAppend(member, progress, aNow);
    return;
  }
  const bool current = aMessage.snapshot().index() == m_snapshotMeta.index();
  progress.snapshotOffset = current ? aMessage.offset() : 0;
  SendSnapshotChunk(member, progress, aNow);
}

void
Node::AdvanceCommit()
{
  const std::uint64_t reached =
    QuorumValue(m_configuration, [this](const MemberId& aMember) {
      if (aMember == Self()) {
        return m_log.LastIndex();
      }
      const auto it = m_progress.find(aMember);
      return it == m_progress.end() ? 0 : it->second.match;
    });
  // Entries of earlier terms are committed only along with one of this term.
  if (reached > m_commit && m_log.TermAt(reached) == Term()) {
    m_commit = reached;
  }
}

void
Node::ApplyCommitted()
{
  while (m_applied < m_commit && !m_stopped) {
    const std::uint64_t index = m_applied + 1;
    const wire::LogEntry& entry = m_log.At(index);
    const std::uint64_t term = entry.term();
    std::string result;
    if (entry.has_configuration()) {
      m_appliedConfiguration = entry.configuration();
    } else if (!entry.command().empty()) {
      result = m_hooks.apply(index, entry.command());
    }
    m_applied = index;
    const auto pending = m_pending.find(index);
    if (pending != m_pending.end()) {
      const Pending proposal = pending->second;
      m_pending.erase(pending);
      m_hooks.finished(proposal.id,
                       proposal.term == term ? ProposalOutcome::kApplied
                                             : ProposalOutcome::kUnknown,
                       result);
    }
  }
  const bool removed = IsLeader() && m_configurationIndex <= m_commit &&
                       !IsVoter(m_configuration, Self());
  if (removed) {
    m_role = NodeRole::kFollower;
    m_progress.clear();
    FailPending();
  }
  const std::uint64_t sinceSnapshot = m_applied - m_snapshotMeta.index();
  if (sinceSnapshot >= m_options.snapshotAfterEntries ||
      (sinceSnapshot > 0 &&
       m_log.Bytes(0, m_applied) >= MaxLogBytes(m_snapshotData->size()))) {
    TakeSnapshot();
  }
}

// A snapshot costs as much as its state is large. A log that is at least as
// large keeps this cost in proportion to the commands.
std::uint64_t
Node::MaxLogBytes(std::uint64_t aSnapshotBytes) const
{
  return std::max(m_options.snapshotAfterBytes, aSnapshotBytes);
}

// The first entry that stays in memory after a snapshot of the applied state,
// for members that lag slightly.
std::uint64_t
Node::FirstRetainedIndex(std::uint64_t aMaxBytes) const
{
  std::uint64_t first = m_applied > m_options.retainedEntries
                          ? m_applied - m_options.retainedEntries
                          : 0;
  first = std::max(first, m_log.FirstIndex());
  while (first <= m_applied && m_log.Bytes(first - 1, m_applied) > aMaxBytes) {
    ++first;
  }
  return first;
}

void
Node::TakeSnapshot()
{
  wire::SnapshotMeta meta;
  meta.set_index(m_applied);
  meta.set_term(*m_log.TermAt(m_applied));
  *meta.mutable_configuration() = m_appliedConfiguration;
  auto data = std::make_shared<std::string>(m_hooks.snapshot());
  m_log.Compact(meta.index(),
                meta.term(),
                FirstRetainedIndex(MaxLogBytes(data->size()) / kRetainedPart));
  const std::error_code error = m_hooks.storage.saveSnapshot(
    m_hardState, meta, *data, m_log.EntriesFrom(m_log.FirstIndex()));
  if (error) {
    Stop(error);
    return;
  }
  m_hardStateDirty = false;
  m_unsyncedFrom = 0;
  m_snapshotMeta = meta;
  m_snapshotData = std::move(data);
  for (auto& [member, progress] : m_progress) {
    if (progress.snapshotOffset) {
      progress.snapshotOffset = 0;
    }
  }
  m_hooks.record(Event("snapshot_taken")
                   .With("group", m_options.group)
                   .With("index", meta.index())
                   .With("bytes", m_snapshotData->size()));
}

void
Node::FailPending()
{
  std::map<std::uint64_t, Pending> pending;
  pending.swap(m_pending);
  for (const auto& [index, proposal] : pending) {
    m_hooks.finished(proposal.id, ProposalOutcome::kUnknown, "");
  }
}

} // namespace fuchsiaramp

// One member of a consensus group: a replicated log with elections, voter
// changes and snapshots. It performs no I/O: the caller passes in messages and
// the time; messages, storage operations and results go out through hooks.
//
// Calls queue their output. Flush() syncs to storage before it sends, so one
// sync covers all input since the previous Flush().
//
//   Node node(options, stored, hooks, random, now);
//   node.Step(from, message, now);
//   node.Propose(ProposalId(7), command);
//   node.Tick(now);
//   node.Flush(now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "consensus/bootstrap.h"
#include "consensus/configuration.h"
#include "consensus/log.h"
#include "consensus/storage.h"
#include "wire/messages.h"

namespace fuchsiaramp {

using ProposalId = NumberId<struct ProposalTag>;

struct NodeOptions
{
  HostId self;
  std::vector<HostId> hosts; // the control hosts in the settings
  std::uint32_t group = 0;
  // Whether this host may bootstrap the group together with the other hosts.
  bool mayBootstrap = true;
  // Any control host may join as a learner, which is promoted if there are
  // fewer than maxVoters voters. Otherwise the hosts in the settings are the
  // members.
  bool openMembership = false;
  std::size_t maxVoters = 5; // with open membership; tolerates two failures
  // With open membership, a voter that has not replied for voterTimeout is
  // replaced by a learner, which becomes a voter first. A learner is removed
  // after learnerTimeout.
  Duration voterTimeout = std::chrono::seconds(3);
  Duration learnerTimeout = std::chrono::seconds(15);
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  std::uint64_t maxAppendBytes = 256 << 10;
  std::uint64_t snapshotChunkBytes = 256 << 10;
  std::uint64_t snapshotAfterEntries = 20'000;
  // A snapshot is also taken once the entries in memory take as many bytes as
  // this and as the last snapshot.
  std::uint64_t snapshotAfterBytes = 8 << 20;
  std::uint64_t retainedEntries = 4'000;
  std::uint64_t maxUncommittedEntries = 20'000;
  std::uint64_t maxUncommittedBytes = 16 << 20;
  // To one member; at least one entry is sent.
  std::uint64_t maxInFlightBytes = 4 << 20;
};

enum class ProposalOutcome
{
  kApplied,
  kNotLeader,  // not the leader; the command was not logged
  kOverloaded, // too much is uncommitted; the command was not logged
  kUnknown,    // leadership was lost; the command may still be applied
};

struct NodeHooks
{
  std::function<void(const HostId&, const wire::RaftMessage&)> send;
  StorageHooks storage;
  // Applies a committed command and returns its result.
  std::function<std::string(std::uint64_t aIndex, const std::string& aCommand)>
    apply;
  std::function<std::string()> snapshot;
  std::function<void(const std::string& aSnapshot)> restore;
  std::function<void(ProposalId, ProposalOutcome, const std::string& aResult)>
    finished;
  // Storage failed; the process must stop.
  std::function<void(std::error_code)> fatal;
  EventHook record;
};

class Node
{
public:
  // aRandom may yield the same numbers on several hosts.
  Node(NodeOptions aOptions,
       StoredState aStored,
       NodeHooks aHooks,
       Random aRandom,
       TimePoint aNow);

  void Step(const HostId& aFrom,
            const wire::RaftMessage& aMessage,
            TimePoint aNow);
  void Tick(TimePoint aNow);
  void Propose(ProposalId aId, std::string aCommand);
  void Flush(TimePoint aNow);
  // Transfers leadership to an up-to-date voter before a graceful shutdown.
  void TransferLeadership(TimePoint aNow);

  // Whether this leader has logged proposals that are not applied yet.
  bool HasPendingProposals() const { return !m_pending.empty(); }
  bool IsLeader() const { return m_role == NodeRole::kLeader; }
  bool HasEmptyDisk() const { return m_hardState.cluster_id() == 0; }
  // Whether a read of the applied state at aNow is linearizable.
  bool HasLease(TimePoint aNow) const;
  // The latest time for which all commands acknowledged until then are known to
  // be applied here; the clock's origin if unknown. Requires a lease of this
  // member or messages of a leader with a lease.
  TimePoint CurrentAsOf(TimePoint aNow) const;
  // Whether CurrentAsOf(aNow) is at most aAge ago.
  bool IsCurrent(TimePoint aNow, Duration aAge) const;
  // Whether this leader received a reply from the host within voterTimeout.
  bool HasRecentContact(const HostId& aHost, TimePoint aNow) const;
  // Hosts to probe in order to join the group, besides the current members.
  void SetJoinTargets(std::vector<HostId> aHosts);
  // The control hosts that this member knows, except itself.
  std::set<HostId> OtherHosts() const;
  const HostId& Leader() const { return m_leader; }
  std::uint64_t Term() const { return m_hardState.term(); }
  std::uint64_t Commit() const { return m_commit; }
  std::uint64_t Applied() const { return m_applied; }
  const Log& Entries() const { return m_log; }
  std::size_t SnapshotBytes() const { return m_snapshotData->size(); }
  const wire::Configuration& Members() const { return m_configuration; }
  MemberId Self() const;

private:
  enum class NodeRole
  {
    kFollower,
    kPreCandidate,
    kCandidate,
    kLeader,
  };

  // Replication state of another member, held by the leader.
  struct Progress
  {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    std::uint64_t sentAfter = 0; // later entries were sent by this leader
    TimePoint ackedSendTime; // leader's send time of the newest acked message
    // The member's own time of the newest reply received from it.
    std::int64_t repliedAtUs = 0;
    bool replied = false;
    std::optional<std::uint64_t> snapshotOffset;
    TimePoint chunkRetryAt;
  };

  // A snapshot that is being received.
  struct IncomingSnapshot
  {
    wire::SnapshotMeta meta;
    std::string data;
  };

  struct Outgoing
  {
    HostId to;
    wire::RaftMessage message;
  };

  struct Pending
  {
    std::uint64_t term = 0;
    ProposalId id;
  };

  // Elections.
  void StartPreVote(TimePoint aNow);
  void StartElection(TimePoint aNow, bool aTransfer);
  void CountVote(const MemberId& aFrom, TimePoint aNow);
  void OnPreVote(const HostId& aFrom,
                 const wire::RaftMessage& aMessage,
                 TimePoint aNow);
  void YieldTo(const MemberId& aCandidate, const wire::RaftMessage& aMessage);
  void OnVote(const HostId& aFrom,
              const wire::RaftMessage& aMessage,
              TimePoint aNow);
  void OnVoteReply(const HostId& aFrom,
                   const wire::RaftMessage& aMessage,
                   TimePoint aNow);
  void BecomeFollower(std::uint64_t aTerm,
                      const HostId& aLeader,
                      TimePoint aNow);
  void BecomeLeader(TimePoint aNow);
  bool HasRecentLeader(TimePoint aNow) const;
  bool IsUpToDate(const wire::RaftMessage& aMessage) const;
  void ResetElectionDeadline(TimePoint aNow);
  void SetTerm(std::uint64_t aTerm);

  // Replication.
  void SendAppend(const MemberId& aTo, Progress& aProgress, TimePoint aNow);
  void SendSnapshotChunk(const MemberId& aTo,
                         Progress& aProgress,
                         TimePoint aNow);
  void BroadcastAppends(TimePoint aNow);
  void OnAppend(const HostId& aFrom,
                const wire::RaftMessage& aMessage,
                TimePoint aNow);
  std::uint64_t ConflictHint(std::uint64_t aIndex) const;
  void MergeEntries(const wire::RaftMessage& aMessage);
  void RecordLease(const wire::RaftMessage& aMessage);
  Progress* RecordReply(const MemberId& aFrom,
                        const wire::RaftMessage& aMessage,
                        TimePoint aNow);
  void OnAppendReply(const HostId& aFrom,
                     const wire::RaftMessage& aMessage,
                     TimePoint aNow);
  void OnSnapshot(const HostId& aFrom,
                  const wire::RaftMessage& aMessage,
                  TimePoint aNow);
  void InstallSnapshot();
  void OnSnapshotReply(const HostId& aFrom,
                       const wire::RaftMessage& aMessage,
                       TimePoint aNow);
  void AppendLocal(wire::LogEntry aEntry);
  void AdvanceCommit();
  void ApplyCommitted();
  std::uint64_t MaxLogBytes(std::uint64_t aSnapshotBytes) const;
  std::uint64_t FirstRetainedIndex(std::uint64_t aMaxBytes) const;
  void TakeSnapshot();
  void FailPending();

  // Members.
  void OnBlankProbe(const HostId& aFrom,
                    const wire::RaftMessage& aMessage,
                    TimePoint aNow);
  void OnBlankReply(const HostId& aFrom,
                    const wire::RaftMessage& aMessage,
                    TimePoint aNow);
  static bool ShowsWorkingGroup(const wire::RaftMessage& aMessage);
  void FormGroup(const wire::Configuration& aConfiguration, TimePoint aNow);
  void ManageMembers(TimePoint aNow);
  bool AddLearner(TimePoint aNow);
  bool PromoteCaughtUpLearner(TimePoint aNow);
  bool RemoveUnconfiguredHost(TimePoint aNow);
  bool HasUnresponsiveVoter(TimePoint aNow) const;
  bool RemoveUnresponsive(TimePoint aNow);
  bool IsUnresponsive(const MemberId& aMember,
                      Duration aLimit,
                      TimePoint aNow) const;
  bool IsCaughtUp(const MemberId& aMember) const;
  bool IsConfiguredHost(const HostId& aHost) const;
  std::size_t VoterCount() const;
  void ProbeHosts();
  bool HasLiveQuorum(const wire::Configuration& aConfiguration,
                     TimePoint aNow) const;
  void ProposeConfiguration(const wire::Configuration& aConfiguration,
                            const char* aEventName);
  void RecomputeConfiguration();
  void SyncProgress();

  void Send(const HostId& aTo, std::uint64_t aDisk, wire::RaftMessage aMessage);
  wire::RaftMessage Message(wire::RaftMessage::Kind aKind) const;
  bool Persist();
  void Stop(std::error_code aError);
  std::uint64_t QuorumSendTime() const;

  const NodeOptions m_options;
  const NodeHooks m_hooks;
  bool m_stopped = false;

  wire::HardState m_hardState;
  Random m_random;
  bool m_hardStateDirty = false;
  std::uint64_t m_unsyncedFrom = 0; // first index to persist; 0: none
  Log m_log;
  std::shared_ptr<const std::string> m_snapshotData;
  wire::SnapshotMeta m_snapshotMeta;

  NodeRole m_role = NodeRole::kFollower;
  HostId m_leader;
  TimePoint m_leaderContactUntil; // no votes for other candidates until then
  TimePoint m_electionDeadline;
  TimePoint m_heartbeatAt;
  TimePoint m_quorumCheckAt;
  // During a leadership transfer, a leader has no lease and refuses proposals.
  bool m_transferring = false;
  TimePoint m_transferUntil;
  std::map<MemberId, bool> m_votes;

  std::uint64_t m_commit = 0;
  std::uint64_t m_applied = 0;
  std::uint64_t m_configurationIndex = 0;
  wire::Configuration m_configuration;
  wire::Configuration m_appliedConfiguration;
  std::map<MemberId, Progress> m_progress;
  std::map<std::uint64_t, Pending> m_pending;
  std::optional<IncomingSnapshot> m_incoming;
  bool m_broadcastPending = false;

  struct JoinRequest
  {
    std::uint64_t diskId = 0;
    TimePoint validUntil;
  };
  Bootstrap m_bootstrap;
  std::vector<HostId> m_joinTargets;
  // Members of the group, learned from replies to probes; used until a leader
  // is in contact.
  std::set<HostId> m_hostsOfGroup;
  TimePoint m_leaderSince; // when this member became leader
  // Commit index last sent by a leader with a lease, and the time of the reply
  // of this member that the leader had received by then.
  std::uint64_t m_leasedCommit = 0;
  TimePoint m_leasedAt;
  TimePoint m_currentAt; // m_leasedAt of the last applied m_leasedCommit
  TimePoint m_startedAt;
  TimePoint m_probeAt;
  std::map<HostId, JoinRequest> m_joinRequests;

  std::vector<Outgoing> m_out;
};

} // namespace fuchsiaramp

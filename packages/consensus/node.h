// One member of a consensus group: a replicated log with elections, voter
// changes and snapshots. It has no I/O: time and messages come in through
// calls, messages, storage and results go out through hooks.
//
// Calls collect output; Flush() syncs to storage first and only then sends, so
// one sync covers all that arrived since the last Flush().
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
  std::vector<HostId> hosts; // the control hosts of the settings
  std::uint32_t group = 0;
  // Whether this host may found the group together with the other hosts.
  bool mayBootstrap = true;
  // Any control host may join, as a learner that is promoted when a voter is
  // missing; otherwise the hosts of the settings are the members.
  bool openMembership = false;
  std::size_t maxVoters = 5; // with open membership; survives two losses
  // With open membership: a voter this long silent gives its place to a
  // learner, and a learner is forgotten.
  Duration voterSilence = std::chrono::seconds(3);
  Duration learnerSilence = std::chrono::seconds(15);
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  std::uint64_t maxAppendBytes = 256 << 10;
  std::uint64_t snapshotChunkBytes = 256 << 10;
  std::uint64_t snapshotAfterEntries = 20'000;
  std::uint64_t retainedEntries = 4'000;
  std::uint64_t maxUncommitted = 20'000; // entries
};

enum class ProposalOutcome
{
  kApplied,
  kNotLeader,  // not proposed here; it has not been logged
  kOverloaded, // not proposed here; it has not been logged
  kUnknown,    // leadership was lost; it may still be applied
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
  // Storage failed: the process must stop.
  std::function<void(std::error_code)> fatal;
  EventHook record;
};

class Node
{
public:
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
  // Hands leadership to the most up-to-date voter, for a graceful stop.
  void TransferLeadership(TimePoint aNow);

  bool IsLeader() const { return m_role == NodeRole::kLeader; }
  bool HasEmptyDisk() const { return m_hardState.cluster_id() == 0; }
  // Whether reads of applied state are linearizable at aNow.
  bool HasLease(TimePoint aNow) const;
  // Whether all that was acknowledged until aAge before aNow is applied here,
  // by this member's own lease or by the word of a leader with a lease.
  bool IsCurrent(TimePoint aNow, Duration aAge) const;
  // Whether this leader heard from the host within its silence limit.
  bool HasRecentContact(const HostId& aHost, TimePoint aNow) const;
  // Hosts to ask for a place in the group, besides the members known.
  void SetJoinTargets(std::vector<HostId> aHosts);
  const HostId& Leader() const { return m_leader; }
  std::uint64_t Term() const { return m_hardState.term(); }
  std::uint64_t Commit() const { return m_commit; }
  std::uint64_t Applied() const { return m_applied; }
  const Log& Entries() const { return m_log; }
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

  // What the leader knows of another member.
  struct Progress
  {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    TimePoint ackedSendTime; // leader's send time of the newest acked message
    bool heard = false;
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
  Progress* HearReply(const MemberId& aFrom,
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
  void TakeSnapshot();
  void FailPending();

  // Members.
  void OnBlankProbe(const HostId& aFrom,
                    const wire::RaftMessage& aMessage,
                    TimePoint aNow);
  void OnBlankReply(const HostId& aFrom,
                    const wire::RaftMessage& aMessage,
                    TimePoint aNow);
  void FormGroup(const wire::Configuration& aConfiguration, TimePoint aNow);
  void ManageMembers(TimePoint aNow);
  bool AddReplacedHost(TimePoint aNow);
  bool RemoveOrPromote(TimePoint aNow);
  bool RemoveUnnamedHost(TimePoint aNow);
  bool RemoveSilent(TimePoint aNow);
  bool IsSilent(const MemberId& aMember, Duration aLimit, TimePoint aNow) const;
  bool IsCaughtUp(const MemberId& aMember) const;
  bool IsNamed(const HostId& aHost) const;
  std::size_t VoterCount() const;
  void ProbeHosts();
  bool HasLiveQuorum(const wire::Configuration& aConfiguration,
                     TimePoint aNow) const;
  void ProposeConfiguration(const wire::Configuration& aConfiguration,
                            const char* aWhy);
  void RecomputeConfiguration();
  void SyncProgress();

  void Send(const HostId& aTo, std::uint64_t aDisk, wire::RaftMessage aMessage);
  wire::RaftMessage Message(wire::RaftMessage::Kind aKind) const;
  bool Persist();
  void Stop(std::error_code aError);
  std::uint64_t QuorumSendTime() const;

  const NodeOptions m_options;
  const NodeHooks m_hooks;
  Random m_random;
  bool m_stopped = false;

  wire::HardState m_hardState;
  bool m_hardStateDirty = false;
  std::uint64_t m_unsyncedFrom = 0; // first index to persist; 0: none
  Log m_log;
  std::shared_ptr<const std::string> m_snapshotData;
  wire::SnapshotMeta m_snapshotMeta;

  NodeRole m_role = NodeRole::kFollower;
  HostId m_leader;
  TimePoint m_leaderContactUntil; // no votes for others before this
  TimePoint m_electionDeadline;
  TimePoint m_heartbeatAt;
  TimePoint m_quorumCheckAt;
  // While leadership is being handed over there are no proposals and no lease.
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
  bool m_broadcast = false;

  struct BlankReport
  {
    std::uint64_t diskId = 0;
    TimePoint validUntil;
  };
  Bootstrap m_bootstrap;
  std::vector<HostId> m_knownHosts;
  TimePoint m_leaderSince; // of this member's own leadership
  // A leader with a lease said that this index was committed; when heard.
  std::uint64_t m_leasedCommit = 0;
  TimePoint m_leasedAt;
  TimePoint m_currentAt; // when m_applied last reached m_leasedCommit
  TimePoint m_probeAt;
  std::map<HostId, BlankReport> m_blankReports;

  std::vector<Outgoing> m_out;
};

} // namespace fuchsiaramp

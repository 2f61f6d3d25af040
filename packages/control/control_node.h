// The logic of one control host: runs the consensus groups for the lists and
// the ledger shards, and handles requests from entry hosts and changes from
// operators.
//
// Group 0 holds the lists and the table of backend servers; groups 1 to N hold
// the ledger shards.
//
//   ControlNode node(options, std::move(storage), hooks, random, now);
//   node.OnMessage(from, envelope, now);
//   node.Tick(now);
//   node.Flush(now); // after each batch of calls
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "base/event.h"
#include "base/findings.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "consensus/node.h"
#include "consensus/storage.h"
#include "control/command_client.h"
#include "control/evidence_relay.h"
#include "control/fleet_table.h"
#include "control/pull_queue.h"
#include "control/server_reports.h"
#include "control/server_watch.h"
#include "limits/quota_allocator.h"
#include "limits/quota_broker.h"
#include "state/group_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

inline constexpr std::uint32_t kListsGroup = 0;

struct ControlOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  std::vector<HostId> hosts; // control hosts named in the settings
  LedgerOptions ledger;
  EvidenceRelayOptions evidence;
  NodeOptions consensus; // self, hosts and group are filled in
  // A backend server that sends no report for this long is considered gone.
  Duration serverLifetime = std::chrono::seconds(12);
};

// The stored state that a group starts from, and the hooks to its storage.
struct GroupStorage
{
  StoredState stored;
  StorageHooks hooks;
};

struct ControlHooks
{
  SendHook send;
  // Called when this host first learns of another control host. The name of
  // that host is its message address.
  std::function<void(const HostId&)> hostDiscovered;
  // Returns the wall clock time in microseconds; used for retention and history
  // only.
  std::function<std::int64_t()> wallClock;
  std::function<void(std::error_code)> fatal;
  EventHook record;
};

// A change of the lists that an operator requests.
struct ListsChange
{
  std::string document; // YAML; unused where content is given
  std::uint64_t expectedVersion = 0;
  std::string changeId;
  std::string operatorName;
  std::optional<wire::ListsDelta> content = {}; // full
  // The version that the change creates; if empty, the next version.
  std::optional<ListsVersion> newVersion = {};
};

// The reply to a ListsChange.
struct ListsChangeReply
{
  wire::CommandResult result;
  std::string findings; // when the document is invalid
};

// The version of the lists that an entry host last reported, and the state of
// its subscription.
struct EntryHostStatus
{
  ListsVersion version;
  TimePoint reportedAt;
  // The versions last sent to the entry host.
  std::uint64_t sentLists = 0;
  std::uint64_t sentServers = 0;
  std::uint64_t sentHosts = 0;       // of the entry hosts near it
  std::uint64_t sentDomainSizes = 0; // version of the fleet
  // Whether the entry host pulls from this host directly and subscribes, so
  // that changes are pushed to it.
  bool subscribed = false;
  Region region;
  FailureDomain failureDomain;
  bool receivesOutcomes = false;
};

class ControlNode
{
public:
  using ChangeReplyHook = std::function<void(const ListsChangeReply&)>;

  // aStorage has one element per group, with the lists group first.
  ControlNode(ControlOptions aOptions,
              std::vector<GroupStorage> aStorage,
              ControlHooks aHooks,
              Random aRandom,
              TimePoint aNow);

  void OnMessage(const HostId& aFrom,
                 const wire::Envelope& aMessage,
                 TimePoint aNow);
  void Tick(TimePoint aNow);
  void Flush(TimePoint aNow);
  // Whether Flush() left updates for entry hosts, so that it is called again
  // once messages that have arrived meanwhile are handled.
  bool HasWaitingUpdates() const
  {
    return !m_pulls.IsEmpty() || !m_pushTargets.empty();
  }
  // Takes no new work from now on. Transfers the leadership of every group that
  // this host leads once the commands that it has logged are applied.
  void Leave(TimePoint aNow);
  bool IsLeaving() const { return m_leaving; }
  // Reports of backend servers that this host, as the leader, did not log.
  std::uint64_t RefusedReports() const { return m_refusedReports; }
  // The number of commands and reports whose outcome is awaited.
  std::size_t InHand() const;
  // Replies to all of them that the outcome is unknown.
  void GiveUp();

  // Calls aReply once the change is committed, refused, or has an unknown
  // outcome.
  void ChangeLists(const ListsChange& aChange,
                   TimePoint aNow,
                   const ChangeReplyHook& aReply);

  // Handles a report that a backend server sent about itself. Calls aReply with
  // true once the table durably holds the report or a newer one, or with false
  // if this is not confirmed in time.
  void ReportServer(const wire::BackendServerRecord& aRecord,
                    TimePoint aNow,
                    const std::function<void(bool aDurable)>& aReply);
  // Sets the control hosts to contact in addition to the members of the group.
  void SetJoinTargets(const std::vector<HostId>& aHosts);

  std::size_t GroupCount() const { return m_groups.size(); }
  const Node& GroupNode(std::size_t aGroup) const;
  const GroupState& State(std::size_t aGroup) const;
  // Of the quotas of teams that this host divides among entry hosts.
  const QuotaBrokerCounters& QuotaCounters() const
  {
    return m_quotaBroker.Counters();
  }
  // Evidence that was dropped to keep its rate within the limit.
  std::uint64_t DroppedEvidence() const { return m_evidence.Dropped(); }
  // Texts of the stored state that were not valid UTF-8.
  std::size_t EscapedTexts() const;
  const std::map<HostId, EntryHostStatus>& EntryHosts() const
  {
    return m_entryHosts;
  }

private:
  struct Group
  {
    GroupState state;
    std::unique_ptr<Node> node;
  };

  using ResultHook =
    std::function<void(ProposalOutcome, const wire::CommandResult&)>;

  void StartGroup(std::uint32_t aGroup,
                  GroupStorage aStorage,
                  Random aRandom,
                  TimePoint aNow);
  void Propose(std::uint32_t aGroup, wire::Command aCommand, ResultHook aDone);
  void OnRequest(const HostId& aFrom, const wire::ControlRequest& aRequest);
  void AnswerPull(const HostId& aFrom,
                  const wire::ListsPull& aPull,
                  TimePoint aNow);
  wire::ListsPush MakePush(EntryHostStatus& aEntryHost, TimePoint aNow) const;
  // Only replies to pulls name the control hosts.
  void AddControlHosts(wire::ListsPush& aPush) const;
  void AddEntryHosts(EntryHostStatus& aEntryHost, wire::ListsPush& aPush) const;
  void SendUpdates(TimePoint aNow);
  void SelectPushTargets(TimePoint aNow);
  bool IsBehind(const EntryHostStatus& aEntryHost, TimePoint aNow) const;
  void SendUpdate(const HostId& aTo, const wire::Envelope& aMessage);
  void RelayEvidence(const HostId& aFrom,
                     const wire::Evidence& aEvidence,
                     TimePoint aNow);
  std::set<HostId> OtherControlHosts() const;
  void OnFleetView(const HostId& aFrom,
                   const wire::FleetView& aView,
                   TimePoint aNow);
  void ShareFleetView(TimePoint aNow);
  void SendFleetView(const HostId& aTo, wire::FleetView aView);
  void LogReport(const wire::BackendServerRecord& aRecord,
                 TimePoint aDeadline,
                 TimePoint aNow,
                 const ServerReportsHooks::DoneHook& aDone);
  void ForwardReport(wire::Command aCommand,
                     TimePoint aDeadline,
                     TimePoint aNow,
                     const ServerReportsHooks::DoneHook& aDone);
  void ProposeReport(wire::Command aCommand, const ResultHook& aDone);
  bool EndsNothing(const wire::Command& aCommand,
                   const wire::CommandResult& aResult) const;
  void ExpireServers(TimePoint aNow);
  void RecordEscapedTexts();
  void UpdateLeaders();
  void HandOver(TimePoint aNow);
  QuotaAllocatorHooks MakeAllocatorHooks();
  QuotaBrokerHooks MakeBrokerHooks();
  std::optional<QuotaLimit> QuotaOf(const TeamName& aTeam) const;
  // Whether this host divides the quotas of teams now.
  bool LeadQuotas(TimePoint aNow);
  void TickQuotas(TimePoint aNow);
  void OnQuotaReport(const HostId& aFrom,
                     std::uint64_t aIncarnation,
                     const wire::QuotaReport& aReport,
                     TimePoint aNow);

  const ControlOptions m_options;
  const ControlHooks m_hooks;
  std::vector<std::unique_ptr<Group>> m_groups;
  std::map<ProposalId, ResultHook> m_pendingProposals;
  ProposalId m_nextProposal{ 1 };
  std::map<HostId, EntryHostStatus> m_entryHosts;
  CommandClient m_commands; // used while another host is the leader
  EvidenceRelay m_evidence;
  ServerWatch m_serverWatch;
  ServerReports m_reports;
  FleetTable m_fleet;
  QuotaAllocator m_quotaAllocator;
  QuotaBroker m_quotaBroker;
  TimePoint m_now; // time of the current call
  TimePoint m_nextPushAt;
  PullQueue m_pulls;
  std::deque<HostId> m_pushTargets;  // entry hosts that a change is pushed to
  std::size_t m_updateBytesSent = 0; // in this turn
  std::map<HostId, wire::HostRecord> m_controlHostLocations;
  std::set<HostId> m_discoveredHosts; // passed to hostDiscovered
  TimePoint m_nextExpiryAt;
  std::uint64_t m_refusedReports = 0;
  std::size_t m_recordedEscapedTexts = 0;
  bool m_leaving = false;
};

// Returns the result code that an entry host or operator receives for an
// outcome.
wire::CommandResult::Code
CodeOf(ProposalOutcome aOutcome, const wire::CommandResult& aResult);

} // namespace fuchsiaramp

// All decisions of one control host: the consensus groups for the lists and the
// ledger shards, the requests of entry hosts, and the changes of operators.
//
// Group 0 holds the lists and the table of backend servers, groups 1 to N the
// ledger shards.
//
//   ControlNode node(options, std::move(storage), hooks, random, now);
//   node.OnMessage(from, envelope, now);
//   node.Tick(now);
//   node.Flush(now);   // after a batch of calls
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
#include "base/findings.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "consensus/node.h"
#include "consensus/storage.h"
#include "control/command_client.h"
#include "control/fleet_table.h"
#include "control/server_watch.h"
#include "state/group_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

inline constexpr std::uint32_t kListsGroup = 0;

struct ControlOptions
{
  HostId self;
  Region region;
  FailureDomain failureDomain;
  std::vector<HostId> hosts; // the control hosts of the settings
  LedgerOptions ledger;
  NodeOptions consensus; // self, hosts and group are filled in
  // A backend server that is silent for this long is taken for gone.
  Duration serverLifetime = std::chrono::seconds(12);
};

// What one group starts with.
struct GroupStorage
{
  StoredState stored;
  StorageHooks hooks;
};

struct ControlHooks
{
  SendHook send;
  // Another control host was heard of, whose name is its message address.
  std::function<void(const HostId&)> hostDiscovered;
  // Microseconds of the wall clock; used for retention and history only.
  std::function<std::int64_t()> wallClock;
  std::function<void(std::error_code)> fatal;
  EventHook record;
};

// A change of the lists that an operator asks for.
struct ListsChange
{
  std::string document; // YAML; unused where content is given
  std::uint64_t expectedVersion = 0;
  std::string changeId;
  std::string operatorName;
  std::optional<wire::ListsDelta> content = {}; // full
  // The version that the change leads to; the next one when empty.
  std::optional<ListsVersion> newVersion = {};
};

// The answer to an operator's change.
struct ListsChangeReply
{
  wire::CommandResult result;
  std::string findings; // when the document is invalid
};

// What an entry host has in force, as it last reported.
struct EntryHostVersion
{
  ListsVersion version;
  TimePoint reportedAt;
  // What it was last sent.
  std::uint64_t sentLists = 0;
  std::uint64_t sentServers = 0;
  std::uint64_t sentFleet = 0;
  // Whether it pulls from this host itself, so that changes are pushed to it.
  bool direct = false;
  Region region; // it hears of the entry hosts there
  bool receivesOutcomes = false;
};

class ControlNode
{
public:
  using ChangeReplyHook = std::function<void(const ListsChangeReply&)>;

  // aStorage has one item per group, the lists group first.
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
  // Starts handing over the leadership of every group.
  void Leave(TimePoint aNow);

  // Replies once the change is committed, refused or its fate is unknown.
  void ChangeLists(const ListsChange& aChange,
                   TimePoint aNow,
                   const ChangeReplyHook& aReply);

  // What a backend server said of itself. Replies true once the table holds it
  // for good, false when that is not known in time.
  void ReportServer(const wire::BackendServerRecord& aRecord,
                    TimePoint aNow,
                    const std::function<void(bool aHeld)>& aReply);
  // Control hosts to look for, besides the members of the group.
  void SetJoinTargets(const std::vector<HostId>& aHosts);

  std::size_t GroupCount() const { return m_groups.size(); }
  const Node& GroupNode(std::size_t aGroup) const;
  const GroupState& State(std::size_t aGroup) const;
  const std::map<HostId, EntryHostVersion>& EntryHosts() const
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
  void OnListsPull(const HostId& aFrom,
                   const wire::ListsPull& aPull,
                   TimePoint aNow);
  wire::ListsPush MakePush(EntryHostVersion& aKnown, TimePoint aNow) const;
  void PushChanges(TimePoint aNow);
  void RelayEvidence(const HostId& aFrom,
                     const wire::Envelope& aMessage,
                     TimePoint aNow);
  std::set<HostId> OtherControlHosts() const;
  void OnFleetView(const HostId& aFrom,
                   const wire::FleetView& aView,
                   TimePoint aNow);
  void ShareFleet(TimePoint aNow);
  void SendFleetView(const HostId& aTo, wire::FleetView aView);
  void LapseServers(TimePoint aNow);
  void UpdateLeaders();

  const ControlOptions m_options;
  const ControlHooks m_hooks;
  std::vector<std::unique_ptr<Group>> m_groups;
  std::map<ProposalId, ResultHook> m_waiting;
  ProposalId m_nextProposal{ 1 };
  std::map<HostId, EntryHostVersion> m_entryHosts;
  CommandClient m_commands; // to the leader, when another host leads
  ServerWatch m_watch;
  FleetTable m_fleet;
  std::vector<HostId> m_knownHosts;
  std::map<HostId, wire::HostRecord> m_places; // of control hosts
  std::set<HostId> m_announcedHosts;           // passed to hooks.hostDiscovered
  TimePoint m_lapseAt;
};

// The result code that an entry host or operator sees for an outcome.
wire::CommandResult::Code
CodeOf(ProposalOutcome aOutcome, const wire::CommandResult& aResult);

} // namespace fuchsiaramp

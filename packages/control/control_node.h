// All decisions of one control host: the consensus groups for the lists and the
// ledger shards, the requests of entry hosts, and the changes of operators.
//
// Group 0 holds the lists, groups 1 to N the ledger shards.
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
#include "state/group_state.h"
#include "wire/messages.h"

namespace fuchsiaramp {

inline constexpr std::uint32_t kListsGroup = 0;

struct ControlOptions
{
  HostId self;
  std::vector<HostId> hosts; // the control hosts of the settings
  LedgerOptions ledger;
  NodeOptions consensus; // self, hosts and group are filled in
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
  // Microseconds of the wall clock; used for retention and history only.
  std::function<std::int64_t()> wallClock;
  std::function<void(std::error_code)> fatal;
  EventHook record;
};

// A change of the lists that an operator asks for.
struct ListsChange
{
  std::string document; // YAML
  std::uint64_t expectedVersion = 0;
  std::string changeId;
  std::string operatorName;
};

// The answer to an operator's change.
struct ListsChangeReply
{
  wire::CommandResult result;
  std::string findings; // when the document is invalid
};

// The version that an entry host has in force, as it last reported.
struct EntryHostVersion
{
  ListsVersion version;
  TimePoint reportedAt;
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

  const ControlOptions m_options;
  const ControlHooks m_hooks;
  std::vector<std::unique_ptr<Group>> m_groups;
  std::map<ProposalId, ResultHook> m_waiting;
  ProposalId m_nextProposal{ 1 };
  std::map<HostId, EntryHostVersion> m_entryHosts;
};

// The result code that an entry host or operator sees for an outcome.
wire::CommandResult::Code
CodeOf(ProposalOutcome aOutcome, const wire::CommandResult& aResult);

} // namespace fuchsiaramp

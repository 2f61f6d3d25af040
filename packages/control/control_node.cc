#include "control/control_node.h"

#include <utility>

#include "state/lists_document.h"

namespace fuchsiaramp {

wire::CommandResult::Code
CodeOf(ProposalOutcome aOutcome, const wire::CommandResult& aResult)
{
  switch (aOutcome) {
    case ProposalOutcome::kApplied:
      return aResult.code();
    case ProposalOutcome::kNotLeader:
      return wire::CommandResult::NOT_LEADER;
    case ProposalOutcome::kOverloaded:
      return wire::CommandResult::OVERLOADED;
    case ProposalOutcome::kUnknown:
      break;
  }
  return wire::CommandResult::RESULT_UNKNOWN;
}

ControlNode::ControlNode(ControlOptions aOptions,
                         std::vector<GroupStorage> aStorage,
                         ControlHooks aHooks,
                         Random aRandom,
                         TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_hooks(std::move(aHooks))
{
  for (std::size_t i = 0; i < aStorage.size(); ++i) {
    StartGroup(static_cast<std::uint32_t>(i),
               std::move(aStorage[i]),
               Random(aRandom.Bits()),
               aNow);
  }
}

void
ControlNode::StartGroup(std::uint32_t aGroup,
                        GroupStorage aStorage,
                        Random aRandom,
                        TimePoint aNow)
{
  m_groups.push_back(
    std::make_unique<Group>(Group{ GroupState(m_options.ledger), nullptr }));
  Group* group = m_groups.back().get();
  NodeOptions options = m_options.consensus;
  options.self = m_options.self;
  options.hosts = m_options.hosts;
  options.group = aGroup;
  NodeHooks hooks;
  hooks.send = [this](const HostId& aTo, const wire::RaftMessage& aMessage) {
    wire::Envelope envelope;
    *envelope.mutable_raft() = aMessage;
    m_hooks.send(aTo, envelope);
  };
  hooks.storage = std::move(aStorage.hooks);
  hooks.apply = [group](std::uint64_t, const std::string& aCommand) {
    wire::Command command;
    command.ParseFromString(aCommand);
    return group->state.Apply(command).SerializeAsString();
  };
  hooks.snapshot = [group] { return group->state.Snapshot(); };
  hooks.restore = [group](const std::string& aSnapshot) {
    group->state.Restore(aSnapshot);
  };
  hooks.finished = [this](ProposalId aId,
                          ProposalOutcome aOutcome,
                          const std::string& aResult) {
    const auto it = m_waiting.find(aId);
    if (it == m_waiting.end()) {
      return;
    }
    const ResultHook done = std::move(it->second);
    m_waiting.erase(it);
    wire::CommandResult result;
    result.ParseFromString(aResult);
    result.set_code(CodeOf(aOutcome, result));
    done(aOutcome, result);
  };
  hooks.fatal = m_hooks.fatal;
  hooks.record = m_hooks.record;
  group->node = std::make_unique<Node>(std::move(options),
                                       std::move(aStorage.stored),
                                       std::move(hooks),
                                       aRandom,
                                       aNow);
}

const Node&
ControlNode::GroupNode(std::size_t aGroup) const
{
  return *m_groups.at(aGroup)->node;
}

const GroupState&
ControlNode::State(std::size_t aGroup) const
{
  return m_groups.at(aGroup)->state;
}

void
ControlNode::OnMessage(const HostId& aFrom,
                       const wire::Envelope& aMessage,
                       TimePoint aNow)
{
  switch (aMessage.body_case()) {
    case wire::Envelope::kRaft:
      if (aMessage.raft().group() < m_groups.size()) {
        m_groups[aMessage.raft().group()]->node->Step(
          aFrom, aMessage.raft(), aNow);
      }
      break;
    case wire::Envelope::kControlRequest:
      OnRequest(aFrom, aMessage.control_request());
      break;
    case wire::Envelope::kListsPull:
      OnListsPull(aFrom, aMessage.lists_pull(), aNow);
      break;
    default:
      break;
  }
}

void
ControlNode::Tick(TimePoint aNow)
{
  for (const auto& group : m_groups) {
    group->node->Tick(aNow);
  }
}

void
ControlNode::Flush(TimePoint aNow)
{
  for (const auto& group : m_groups) {
    group->node->Flush(aNow);
  }
}

void
ControlNode::Leave(TimePoint aNow)
{
  for (const auto& group : m_groups) {
    group->node->TransferLeadership(aNow);
  }
}

void
ControlNode::Propose(std::uint32_t aGroup,
                     wire::Command aCommand,
                     ResultHook aDone)
{
  aCommand.set_leader_time_us(m_hooks.wallClock());
  const ProposalId id = m_nextProposal;
  m_nextProposal = m_nextProposal.Next();
  m_waiting[id] = std::move(aDone);
  m_groups[aGroup]->node->Propose(id, aCommand.SerializeAsString());
}

void
ControlNode::OnRequest(const HostId& aFrom,
                       const wire::ControlRequest& aRequest)
{
  const std::uint32_t group = aRequest.group();
  // The lists are changed by operators alone.
  const bool ledger =
    aRequest.command().has_claim() || aRequest.command().has_finish();
  if (group == kListsGroup || group >= m_groups.size() || !ledger) {
    return;
  }
  const std::uint64_t requestId = aRequest.request_id();
  Propose(group,
          aRequest.command(),
          [this, aFrom, group, requestId](ProposalOutcome,
                                          const wire::CommandResult& aResult) {
            wire::Envelope envelope;
            wire::ControlReply* reply = envelope.mutable_control_reply();
            reply->set_request_id(requestId);
            reply->set_group(group);
            reply->set_leader(m_groups[group]->node->Leader().Value());
            *reply->mutable_result() = aResult;
            m_hooks.send(aFrom, envelope);
          });
}

void
ControlNode::OnListsPull(const HostId& aFrom,
                         const wire::ListsPull& aPull,
                         TimePoint aNow)
{
  const Group& group = *m_groups[kListsGroup];
  const HostId asking =
    aPull.relay_for().empty() ? aFrom : HostId(aPull.relay_for());
  EntryHostVersion& known = m_entryHosts[asking];
  known = { ListsVersion(aPull.have_version()), aNow };
  wire::Envelope envelope;
  wire::ListsPush* push = envelope.mutable_lists_push();
  push->set_pull_id(aPull.pull_id());
  push->set_leader(group.node->Leader().Value());
  push->set_confirmed(group.node->HasLease(aNow));
  const ListsState& lists = group.state.ListsPart();
  push->set_current_version(lists.Current().Version().Value());
  for (const wire::ListsDelta& delta :
       lists.Since(ListsVersion(aPull.have_version()))) {
    *push->add_deltas() = delta;
  }
  for (const auto& other : m_groups) {
    push->add_group_leaders(other->node->Leader().Value());
  }
  m_hooks.send(aFrom, envelope);
}

void
ControlNode::ChangeLists(const ListsChange& aChange,
                         TimePoint aNow,
                         const ChangeReplyHook& aReply)
{
  const Group& group = *m_groups[kListsGroup];
  ListsChangeReply reply;
  Findings findings("lists");
  const wire::ListsDelta content = ReadLists(aChange.document, findings);
  if (!findings.IsEmpty()) {
    reply.result.set_code(wire::CommandResult::INVALID);
    reply.findings = findings.Text();
    aReply(reply);
    return;
  }
  if (!group.node->HasLease(aNow)) {
    reply.result.set_code(wire::CommandResult::NOT_LEADER);
    reply.result.set_text(group.node->Leader().Value());
    aReply(reply);
    return;
  }
  wire::Command command;
  wire::PutLists* put = command.mutable_put_lists();
  put->set_change_id(aChange.changeId);
  put->set_expected_version(aChange.expectedVersion);
  put->set_operator_name(aChange.operatorName);
  // The digest covers the document and not the difference, so that a resend
  // after the change took effect is recognised as the same change.
  put->set_digest(DigestOf(content));
  const Lists& current = group.state.ListsPart().Current();
  if (current.Version().Value() == aChange.expectedVersion) {
    *put->mutable_delta() = Difference(current, content);
  }
  Propose(kListsGroup,
          std::move(command),
          [aReply](ProposalOutcome, const wire::CommandResult& aResult) {
            ListsChangeReply done;
            done.result = aResult;
            aReply(done);
          });
}

} // namespace fuchsiaramp

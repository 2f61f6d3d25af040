#include "control/control_node.h"

#include <set>
#include <utility>

#include "state/lists_document.h"

namespace fuchsiaramp {

// A follower vouches for what it holds while the word of a leader with a lease
// is at most this old.
static constexpr Duration kFollowerFreshness = std::chrono::seconds(1);
// Changes are pushed to entry hosts that pulled within this time.
static constexpr Duration kSubscription = std::chrono::seconds(3);
static constexpr Duration kEntryHostKept = std::chrono::minutes(10);
static constexpr Duration kLapseInterval = std::chrono::seconds(1);
// Within the second that a backend server waits for its answer.
static constexpr Duration kReportTimeout = std::chrono::milliseconds(900);

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
  , m_commands(m_options.hosts, m_hooks.send)
  , m_watch(m_options.self, m_options.serverLifetime)
  , m_knownHosts(m_options.hosts)
  , m_lapseAt(aNow)
{
  wire::HostRecord& place = m_places[m_options.self];
  place.set_region(m_options.region.Value());
  place.set_failure_domain(m_options.failureDomain.Value());
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
    case wire::Envelope::kControlReply:
      m_commands.OnReply(aFrom, aMessage.control_reply(), aNow);
      break;
    case wire::Envelope::kFleetView:
      OnFleetView(aFrom, aMessage.fleet_view(), aNow);
      break;
    case wire::Envelope::kEvidence:
      RelayEvidence(aFrom, aMessage, aNow);
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
  UpdateLeaders();
  m_commands.Tick(aNow);
  ShareFleet(aNow);
  if (IsDue(m_lapseAt, aNow)) {
    m_lapseAt = aNow + kLapseInterval;
    LapseServers(aNow);
  }
}

void
ControlNode::SetJoinTargets(const std::vector<HostId>& aHosts)
{
  m_knownHosts = aHosts;
  for (const auto& group : m_groups) {
    group->node->SetJoinTargets(aHosts);
  }
}

std::set<HostId>
ControlNode::OtherControlHosts() const
{
  std::set<HostId> hosts(m_knownHosts.begin(), m_knownHosts.end());
  for (const wire::Member& member :
       m_groups[kListsGroup]->node->Members().members()) {
    hosts.insert(HostId(member.host()));
  }
  hosts.erase(m_options.self);
  return hosts;
}

// What an entry host saw goes once to each control host, which passes it on to
// the entry hosts that pull from it: one message between any two places,
// however many entry hosts there are.
void
ControlNode::RelayEvidence(const HostId& aFrom,
                           const wire::Envelope& aMessage,
                           TimePoint aNow)
{
  const std::set<HostId> others = OtherControlHosts();
  const bool fromEntry = others.count(aFrom) == 0;
  if (fromEntry) {
    for (const HostId& host : others) {
      m_hooks.send(host, aMessage);
    }
  }
  for (const auto& [host, known] : m_entryHosts) {
    const bool subscribed = !IsDue(known.reportedAt + kSubscription, aNow);
    const bool hears = known.direct && known.receivesOutcomes && subscribed;
    if (host != aFrom && hears) {
      m_hooks.send(host, aMessage);
    }
  }
}

void
ControlNode::UpdateLeaders()
{
  std::vector<std::string> leaders;
  for (const auto& group : m_groups) {
    leaders.push_back(group->node->Leader().Value());
  }
  m_commands.SetGroupLeaders(leaders);
  const std::set<HostId> hosts = OtherControlHosts();
  for (const HostId& host : hosts) {
    if (m_announcedHosts.insert(host).second && m_hooks.hostDiscovered) {
      m_hooks.hostDiscovered(host);
    }
  }
  m_commands.SetControlHosts({ hosts.begin(), hosts.end() });
}

void
ControlNode::Flush(TimePoint aNow)
{
  for (const auto& group : m_groups) {
    group->node->Flush(aNow);
  }
  PushChanges(aNow);
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
  const wire::Command& command = aRequest.command();
  const bool ledger = command.has_claim() || command.has_finish();
  const bool fits = group == kListsGroup ? command.has_server() : ledger;
  if (group >= m_groups.size() || !fits) {
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
  const bool direct = aPull.relay_for().empty();
  EntryHostVersion& known =
    m_entryHosts[direct ? aFrom : HostId(aPull.relay_for())];
  known.version = ListsVersion(aPull.have_version());
  known.reportedAt = aNow;
  known.sentLists = aPull.have_version();
  known.sentServers = aPull.have_servers_version();
  const bool subscribes = direct && aPull.subscribes();
  if (subscribes && !known.direct) {
    known.sentFleet = 0; // it may have heard of other hosts elsewhere since
  }
  known.direct = subscribes;
  known.receivesOutcomes = aPull.hears_outcomes();
  if (aPull.has_self()) {
    known.region = Region(aPull.self().region());
    m_fleet.Heard(aPull.self(), aNow);
  }
  wire::Envelope envelope;
  *envelope.mutable_lists_push() = MakePush(known, aNow);
  envelope.mutable_lists_push()->set_pull_id(aPull.pull_id());
  m_hooks.send(aFrom, envelope);
}

wire::ListsPush
ControlNode::MakePush(EntryHostVersion& aKnown, TimePoint aNow) const
{
  const Group& group = *m_groups[kListsGroup];
  wire::ListsPush push;
  push.set_leader(group.node->Leader().Value());
  push.set_confirmed(group.node->IsCurrent(aNow, kFollowerFreshness));
  const ListsState& lists = group.state.ListsPart();
  push.set_current_version(lists.Current().Version().Value());
  for (wire::ListsDelta& delta : lists.Since(ListsVersion(aKnown.sentLists))) {
    *push.add_deltas() = std::move(delta);
  }
  const ServersState& servers = group.state.ServersPart();
  if (aKnown.sentServers < servers.Version()) {
    *push.mutable_servers() = servers.Since(aKnown.sentServers);
  }
  for (const auto& other : m_groups) {
    push.add_group_leaders(other->node->Leader().Value());
  }
  for (const wire::Member& member : group.node->Members().members()) {
    wire::HostRecord* host = push.add_control_hosts();
    const auto place = m_places.find(HostId(member.host()));
    if (place != m_places.end()) {
      *host = place->second;
    }
    host->set_host(member.host());
  }
  if (aKnown.direct && aKnown.sentFleet != m_fleet.Version()) {
    aKnown.sentFleet = m_fleet.Version();
    push.set_has_hosts(true);
    for (const std::size_t size : m_fleet.DomainSizes()) {
      push.add_domain_sizes(static_cast<std::uint32_t>(size));
    }
    for (const wire::HostRecord& host : m_fleet.Near(aKnown.region)) {
      *push.add_hosts() = host;
    }
  }
  aKnown.sentLists = lists.Current().Version().Value();
  aKnown.sentServers = servers.Version();
  return push;
}

// A push that is lost is made up for by the next pull, which says what the
// entry host has. Entry hosts that come or die are told with the next pull:
// when all start, each would be news for all others.
void
ControlNode::PushChanges(TimePoint aNow)
{
  const GroupState& state = m_groups[kListsGroup]->state;
  const auto lists = state.ListsPart().Current().Version().Value();
  const std::uint64_t servers = state.ServersPart().Version();
  for (auto it = m_entryHosts.begin(); it != m_entryHosts.end();) {
    auto& [host, known] = *it;
    if (IsDue(known.reportedAt + kEntryHostKept, aNow)) {
      it = m_entryHosts.erase(it);
      continue;
    }
    const bool behind = known.sentLists < lists ||
                        known.sentServers < servers ||
                        known.sentFleet < m_fleet.LeavingVersion();
    const bool subscribed = !IsDue(known.reportedAt + kSubscription, aNow);
    if (behind && subscribed && known.direct) {
      wire::Envelope envelope;
      *envelope.mutable_lists_push() = MakePush(known, aNow);
      m_hooks.send(host, envelope);
    }
    ++it;
  }
}

void
ControlNode::ReportServer(const wire::BackendServerRecord& aRecord,
                          TimePoint aNow,
                          const std::function<void(bool)>& aReply)
{
  const Group& group = *m_groups[kListsGroup];
  wire::BackendServerRecord record = aRecord;
  record.set_watcher(m_options.self.Value());
  const wire::BackendServerRecord* known =
    group.state.ServersPart().Find(record.id());
  if (record.service().empty() && record.incarnation() == 0 &&
      known != nullptr) {
    record.set_incarnation(known->incarnation()); // a goodbye without one
  }
  m_watch.Heard(record, aNow);
  // What this member has applied is committed, so a quorum holds it.
  if (!group.state.ServersPart().WouldChange(record)) {
    aReply(true);
    return;
  }
  wire::Command command;
  *command.mutable_server() = record;
  if (group.node->IsLeader()) {
    Propose(kListsGroup,
            std::move(command),
            [aReply](ProposalOutcome aOutcome, const wire::CommandResult&) {
              aReply(aOutcome == ProposalOutcome::kApplied);
            });
    return;
  }
  m_commands.Submit(std::move(command),
                    aNow + kReportTimeout,
                    aNow,
                    [aReply](const wire::CommandResult* aResult) {
                      const bool held =
                        aResult != nullptr &&
                        (aResult->code() == wire::CommandResult::OK ||
                         aResult->code() == wire::CommandResult::STALE_ATTEMPT);
                      aReply(held);
                    });
}

void
ControlNode::OnFleetView(const HostId& aFrom,
                         const wire::FleetView& aView,
                         TimePoint aNow)
{
  wire::HostRecord& place = m_places[aFrom];
  place.set_region(aView.region());
  place.set_failure_domain(aView.failure_domain());
  if (aView.asks()) {
    SendFleetView(aFrom, m_fleet.OwnView());
    return;
  }
  if (m_fleet.HeardView(aFrom, aView, aNow)) {
    wire::FleetView question;
    question.set_asks(true);
    SendFleetView(aFrom, question);
  }
}

void
ControlNode::SendFleetView(const HostId& aTo, wire::FleetView aView)
{
  aView.set_region(m_options.region.Value());
  aView.set_failure_domain(m_options.failureDomain.Value());
  wire::Envelope envelope;
  *envelope.mutable_fleet_view() = std::move(aView);
  m_hooks.send(aTo, envelope);
}

void
ControlNode::ShareFleet(TimePoint aNow)
{
  m_fleet.Tick(aNow);
  const auto news = m_fleet.TakeNews(aNow);
  if (!news) {
    return;
  }
  for (const HostId& host : OtherControlHosts()) {
    SendFleetView(host, *news);
  }
}

void
ControlNode::LapseServers(TimePoint aNow)
{
  const Group& group = *m_groups[kListsGroup];
  if (!group.node->IsCurrent(aNow, kFollowerFreshness)) {
    return;
  }
  const auto standsIn = [&](const HostId& aWatcher) {
    return group.node->IsLeader() &&
           !group.node->HasRecentContact(aWatcher, aNow);
  };
  for (const wire::BackendServerRecord& record :
       m_watch.TakeSilent(group.state.ServersPart(), standsIn, aNow)) {
    m_hooks.record(Event("backend_server_lapsed")
                     .With("server", record.id())
                     .With("service", record.service())
                     .With("watcher", record.watcher()));
    wire::Command command;
    *command.mutable_server() = record;
    if (group.node->IsLeader()) {
      Propose(kListsGroup,
              std::move(command),
              [](ProposalOutcome, const wire::CommandResult&) {});
    } else {
      m_commands.Submit(std::move(command),
                        aNow + kReportTimeout,
                        aNow,
                        [](const wire::CommandResult*) {});
    }
  }
}

void
ControlNode::ChangeLists(const ListsChange& aChange,
                         TimePoint aNow,
                         const ChangeReplyHook& aReply)
{
  const Group& group = *m_groups[kListsGroup];
  ListsChangeReply reply;
  Findings findings("lists");
  const wire::ListsDelta content =
    aChange.content ? *aChange.content : ReadLists(aChange.document, findings);
  if (aChange.content) {
    CheckOpenRoutes(
      content, [](int) { return Place(); }, findings);
  }
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
    const ListsVersion next =
      aChange.newVersion.value_or(current.Version().Next());
    *put->mutable_delta() = Difference(current, content, next);
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

#include "control/control_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "control/report_admission.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

// Shortest interval between pushes of changes to entry hosts. It grows with
// their number, so that pushes take a bounded share of the processor while
// changes come all the time, as when all servers of a fleet start.
static constexpr Duration kPushInterval = std::chrono::milliseconds(50);
static constexpr Duration kPushIntervalPerHost =
  std::chrono::microseconds(1500);
// What one turn of the loop sends to entry hosts at most. Messages of the
// consensus groups that have arrived meanwhile are handled before the rest.
static constexpr std::size_t kMaxUpdatesPerTurn = 32;
static constexpr std::size_t kMaxUpdateBytesPerTurn = 128 << 10;
// A follower confirms that its state is current while the last confirmation
// from a leader with a lease is at most this old. That is up to two heartbeat
// intervals where no message is lost.
static constexpr Duration kMaxFollowerStaleness =
  std::chrono::milliseconds(1300);
// Changes are pushed only to entry hosts that pulled within this time.
static constexpr Duration kSubscriptionTimeout = std::chrono::seconds(3);
static constexpr Duration kEntryHostRetention = std::chrono::minutes(10);
static constexpr Duration kExpiryInterval = std::chrono::seconds(1);
// Must stay below the 1 s that a backend server waits for the reply.
static constexpr Duration kReportTimeout = std::chrono::milliseconds(900);

// Leaves room for the reports that a process sends after its random first one.
static constexpr int kReportIdShift = 16;

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
  , m_evidence(m_options.evidence,
               [this](const HostId& aTo, const wire::Evidence& aEvidence) {
                 wire::Envelope envelope;
                 *envelope.mutable_evidence() = aEvidence;
                 m_hooks.send(aTo, envelope);
               })
  , m_serverWatch(m_options.self, m_options.serverLifetime)
  , m_reports({ [this]() -> const ServersState& {
                 return m_groups[kListsGroup]->state.ServersPart();
               },
                [this](TimePoint aTime) {
                  return m_groups[kListsGroup]->node->CurrentAsOf(aTime);
                },
                [this](const wire::BackendServerRecord& aRecord,
                       TimePoint aDeadline,
                       TimePoint aTime,
                       const ServerReportsHooks::DoneHook& aDone) {
                  LogReport(aRecord, aDeadline, aTime, aDone);
                } },
              kMaxFollowerStaleness)
  , m_quotaAllocator(MakeAllocatorHooks())
  , m_quotaBroker(MakeBrokerHooks(), aRandom.Bits() >> kReportIdShift)
  , m_now(aNow)
  , m_nextExpiryAt(aNow)
{
  wire::HostRecord& location = m_controlHostLocations[m_options.self];
  location.set_region(m_options.region.Value());
  location.set_failure_domain(m_options.failureDomain.Value());
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
    return group->state.ApplySerialised(aCommand).SerializeAsString();
  };
  hooks.snapshot = [group] { return group->state.Snapshot(); };
  hooks.restore = [group](const std::string& aSnapshot) {
    group->state.Restore(aSnapshot);
  };
  hooks.finished = [this](ProposalId aId,
                          ProposalOutcome aOutcome,
                          const std::string& aResult) {
    const auto it = m_pendingProposals.find(aId);
    if (it == m_pendingProposals.end()) {
      return;
    }
    const ResultHook done = std::move(it->second);
    m_pendingProposals.erase(it);
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
  m_now = aNow;
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
      RelayEvidence(aFrom, aMessage.evidence(), aNow);
      break;
    case wire::Envelope::kListsPull:
      m_pulls.Add(aFrom, aMessage.lists_pull());
      break;
    case wire::Envelope::kQuotaRequest:
      m_quotaBroker.OnRequest(aFrom, aMessage.quota_request(), aNow);
      break;
    case wire::Envelope::kQuotaReport:
      OnQuotaReport(
        aFrom, aMessage.incarnation(), aMessage.quota_report(), aNow);
      break;
    case wire::Envelope::kQuotaLease:
      m_quotaBroker.OnLease(aFrom, aMessage.quota_lease(), aNow);
      break;
    default:
      break;
  }
}

void
ControlNode::Tick(TimePoint aNow)
{
  m_now = aNow;
  for (const auto& group : m_groups) {
    group->node->Tick(aNow);
  }
  RecordEscapedTexts();
  UpdateLeaders();
  TickQuotas(aNow);
  m_commands.Tick(aNow);
  m_reports.Poll(aNow);
  ShareFleetView(aNow);
  HandOver(aNow);
  if (!m_leaving && IsDue(m_nextExpiryAt, aNow)) {
    m_nextExpiryAt = aNow + kExpiryInterval;
    ExpireServers(aNow);
  }
}

std::size_t
ControlNode::EscapedTexts() const
{
  std::size_t escaped = 0;
  for (const auto& group : m_groups) {
    escaped += group->state.EscapedTexts();
  }
  return escaped;
}

void
ControlNode::RecordEscapedTexts()
{
  const std::size_t escaped = EscapedTexts();
  if (escaped == m_recordedEscapedTexts) {
    return;
  }
  m_hooks.record(Event("stored_text_escaped")
                   .With("count", escaped - m_recordedEscapedTexts));
  m_recordedEscapedTexts = escaped;
}

void
ControlNode::SetJoinTargets(const std::vector<HostId>& aHosts)
{
  for (const auto& group : m_groups) {
    group->node->SetJoinTargets(aHosts);
  }
}

std::set<HostId>
ControlNode::OtherControlHosts() const
{
  return m_groups[kListsGroup]->node->OtherHosts();
}

// Sends evidence from an entry host once to each other control host. Each
// control host forwards evidence to its own subscribed entry hosts that receive
// outcomes, so the traffic between control hosts does not grow with the number
// of receiving entry hosts. Evidence from a control host is not sent to other
// control hosts. All entry hosts hear of the limits of servers, since one that
// does not know of a limit would exceed it.
void
ControlNode::RelayEvidence(const HostId& aFrom,
                           const wire::Evidence& aEvidence,
                           TimePoint aNow)
{
  const std::set<HostId> others = OtherControlHosts();
  const bool fromEntry = others.count(aFrom) == 0;
  if (fromEntry) {
    for (const HostId& host : others) {
      m_evidence.Queue(host, aEvidence, aNow);
    }
  }
  for (const auto& [host, entryHost] : m_entryHosts) {
    const bool recent =
      !IsDue(entryHost.reportedAt + kSubscriptionTimeout, aNow);
    const bool concerned =
      entryHost.receivesOutcomes || aEvidence.limits_size() > 0;
    const bool receives = entryHost.subscribed && concerned && recent;
    if (host != aFrom && receives) {
      m_evidence.Queue(host, aEvidence, aNow);
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
    if (m_discoveredHosts.insert(host).second && m_hooks.hostDiscovered) {
      m_hooks.hostDiscovered(host);
    }
  }
  m_commands.SetControlHosts({ hosts.begin(), hosts.end() });
}

void
ControlNode::Flush(TimePoint aNow)
{
  m_now = aNow;
  // Permits need not wait for the disk.
  m_quotaBroker.Flush(aNow);
  for (const auto& group : m_groups) {
    group->node->Flush(aNow);
  }
  SendUpdates(aNow);
  m_evidence.Flush(aNow);
}

std::optional<QuotaLimit>
ControlNode::QuotaOf(const TeamName& aTeam) const
{
  const wire::Team* team =
    m_groups[kListsGroup]->state.ListsPart().Current().FindTeam(aTeam);
  return team == nullptr
           ? std::nullopt
           : MakeQuotaLimit(team->requests_per_second(), team->burst());
}

QuotaAllocatorHooks
ControlNode::MakeAllocatorHooks()
{
  QuotaAllocatorHooks hooks;
  hooks.limitOf = [this](const TeamName& aTeam) { return QuotaOf(aTeam); };
  hooks.send = [this](const HostId& aTo, const wire::QuotaLease& aLease) {
    if (aTo == m_options.self) {
      m_quotaBroker.OnLease(aTo, aLease, m_now);
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_quota_lease() = aLease;
    m_hooks.send(aTo, envelope);
  };
  hooks.record = m_hooks.record;
  return hooks;
}

QuotaBrokerHooks
ControlNode::MakeBrokerHooks()
{
  QuotaBrokerHooks hooks;
  hooks.limitOf = [this](const TeamName& aTeam) { return QuotaOf(aTeam); };
  hooks.hasLimits = [this] {
    return m_groups[kListsGroup]->state.ListsPart().Current().HasTeams();
  };
  hooks.sendReport = [this](const HostId& aTo,
                            const wire::QuotaReport& aReport) {
    if (aTo == m_options.self) {
      // Other processes of this host cannot have sent it.
      OnQuotaReport(aTo, 0, aReport, m_now);
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_quota_report() = aReport;
    m_hooks.send(aTo, envelope);
  };
  hooks.sendGrant = [this](const HostId& aTo, const wire::QuotaGrant& aGrant) {
    wire::Envelope envelope;
    *envelope.mutable_quota_grant() = aGrant;
    m_hooks.send(aTo, envelope);
  };
  return hooks;
}

bool
ControlNode::LeadQuotas(TimePoint aNow)
{
  const Node& node = *m_groups[kListsGroup]->node;
  if (!node.HasLease(aNow)) {
    return false;
  }
  std::set<HostId> hosts;
  for (const wire::Member& member : node.Members().members()) {
    hosts.insert(HostId(member.host()));
  }
  m_quotaAllocator.Lead(node.Term(), hosts, aNow);
  return true;
}

void
ControlNode::TickQuotas(TimePoint aNow)
{
  const Node& node = *m_groups[kListsGroup]->node;
  LeadQuotas(aNow);
  m_quotaBroker.SetLeader(node.Leader(), node.Term(), aNow);
  m_quotaBroker.Tick(aNow);
}

void
ControlNode::OnQuotaReport(const HostId& aFrom,
                           std::uint64_t aIncarnation,
                           const wire::QuotaReport& aReport,
                           TimePoint aNow)
{
  if (LeadQuotas(aNow)) {
    m_quotaAllocator.OnReport(aFrom, aIncarnation, aReport, aNow);
  }
}

void
ControlNode::Leave(TimePoint aNow)
{
  m_leaving = true;
  HandOver(aNow);
}

// A leader that steps down loses the outcome of the commands that it has not
// applied.
void
ControlNode::HandOver(TimePoint aNow)
{
  if (!m_leaving) {
    return;
  }
  for (const auto& group : m_groups) {
    if (!group->node->HasPendingProposals()) {
      group->node->TransferLeadership(aNow);
    }
  }
}

std::size_t
ControlNode::InHand() const
{
  return m_pendingProposals.size() + m_reports.PendingCount() +
         m_commands.PendingCount();
}

void
ControlNode::GiveUp()
{
  m_reports.GiveUp();
  std::map<ProposalId, ResultHook> proposals;
  proposals.swap(m_pendingProposals);
  for (const auto& [id, done] : proposals) {
    wire::CommandResult result;
    result.set_code(CodeOf(ProposalOutcome::kUnknown, result));
    done(ProposalOutcome::kUnknown, result);
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
  m_pendingProposals[id] = std::move(aDone);
  m_groups[aGroup]->node->Propose(id, aCommand.SerializeAsString());
}

void
ControlNode::OnRequest(const HostId& aFrom,
                       const wire::ControlRequest& aRequest)
{
  const std::uint32_t group = aRequest.group();
  // Only operators change the lists.
  const wire::Command& command = aRequest.command();
  const bool ledgerCommand = command.has_claim() || command.has_finish();
  const bool accepted =
    group == kListsGroup ? command.has_server() : ledgerCommand;
  if (group >= m_groups.size() || !accepted) {
    return;
  }
  const auto reply = [this, aFrom, group, id = aRequest.request_id()](
                       const wire::CommandResult& aResult) {
    wire::Envelope envelope;
    wire::ControlReply* message = envelope.mutable_control_reply();
    message->set_request_id(id);
    message->set_group(group);
    message->set_leader(m_groups[group]->node->Leader().Value());
    *message->mutable_result() = aResult;
    m_hooks.send(aFrom, envelope);
  };
  if (m_leaving) {
    wire::CommandResult result;
    result.set_code(wire::CommandResult::NOT_LEADER);
    reply(result);
    return;
  }
  const ResultHook done =
    [this, command, reply](ProposalOutcome,
                           const wire::CommandResult& aResult) {
      wire::CommandResult result = aResult;
      if (EndsNothing(command, aResult)) {
        result.set_code(wire::CommandResult::RESULT_UNKNOWN);
      }
      reply(result);
    };
  if (command.has_server()) {
    ProposeReport(command, done);
  } else {
    Propose(group, command, done);
  }
}

void
ControlNode::AnswerPull(const HostId& aFrom,
                        const wire::ListsPull& aPull,
                        TimePoint aNow)
{
  const bool direct = aPull.relay_for().empty();
  // What a peer relays leaves the subscription of the entry host as it is.
  EntryHostStatus relayed;
  EntryHostStatus& entryHost = direct ? m_entryHosts[aFrom] : relayed;
  entryHost.version = ListsVersion(aPull.have_version());
  entryHost.reportedAt = aNow;
  entryHost.sentLists = aPull.have_version();
  entryHost.sentServers =
    aPull.without_servers()
      ? m_groups[kListsGroup]->state.ServersPart().Version()
      : aPull.have_servers_version();
  const bool subscribes = direct && aPull.subscribes();
  if (subscribes && !entryHost.subscribed) {
    // Another control host may have sent it a different set of hosts meanwhile.
    entryHost.sentHosts = 0;
    entryHost.sentDomainSizes = 0;
  }
  entryHost.subscribed = subscribes;
  entryHost.receivesOutcomes = aPull.hears_outcomes();
  if (aPull.has_self()) {
    entryHost.region = Region(aPull.self().region());
    entryHost.failureDomain = FailureDomain(aPull.self().failure_domain());
    m_fleet.UpdateHost(aPull.self(), aNow);
  }
  wire::Envelope envelope;
  *envelope.mutable_lists_push() = MakePush(entryHost, aNow);
  envelope.mutable_lists_push()->set_pull_id(aPull.pull_id());
  AddControlHosts(*envelope.mutable_lists_push());
  SendUpdate(aFrom, envelope);
}

void
ControlNode::SendUpdate(const HostId& aTo, const wire::Envelope& aMessage)
{
  m_updateBytesSent += aMessage.ByteSizeLong();
  m_hooks.send(aTo, aMessage);
}

wire::ListsPush
ControlNode::MakePush(EntryHostStatus& aEntryHost, TimePoint aNow) const
{
  const Group& group = *m_groups[kListsGroup];
  wire::ListsPush push;
  push.set_leader(group.node->Leader().Value());
  push.set_confirmed(group.node->IsCurrent(aNow, kMaxFollowerStaleness));
  if (push.confirmed()) {
    push.set_confirmed_age_us((aNow - group.node->CurrentAsOf(aNow)).count());
  }
  const ListsState& lists = group.state.ListsPart();
  push.set_current_version(lists.Current().Version().Value());
  for (wire::ListsDelta& delta :
       lists.Since(ListsVersion(aEntryHost.sentLists))) {
    RemoveKeyTexts(delta);
    *push.add_deltas() = std::move(delta);
  }
  const ServersState& servers = group.state.ServersPart();
  if (aEntryHost.sentServers < servers.Version()) {
    *push.mutable_servers() = servers.Since(aEntryHost.sentServers);
  }
  for (const auto& other : m_groups) {
    push.add_group_leaders(other->node->Leader().Value());
  }
  if (aEntryHost.subscribed) {
    AddEntryHosts(aEntryHost, push);
  }
  aEntryHost.sentLists = lists.Current().Version().Value();
  aEntryHost.sentServers = servers.Version();
  return push;
}

void
ControlNode::AddControlHosts(wire::ListsPush& aPush) const
{
  const Node& node = *m_groups[kListsGroup]->node;
  for (const wire::Member& member : node.Members().members()) {
    wire::HostRecord* host = aPush.add_control_hosts();
    const auto location = m_controlHostLocations.find(HostId(member.host()));
    if (location != m_controlHostLocations.end()) {
      *host = location->second;
    }
    host->set_host(member.host());
  }
}

void
ControlNode::AddEntryHosts(EntryHostStatus& aEntryHost,
                           wire::ListsPush& aPush) const
{
  if (aEntryHost.sentDomainSizes != m_fleet.Version()) {
    aEntryHost.sentDomainSizes = m_fleet.Version();
    for (const std::size_t size : m_fleet.DomainSizes()) {
      aPush.add_domain_sizes(static_cast<std::uint32_t>(size));
    }
  }
  const std::uint64_t version =
    m_fleet.NearVersion(aEntryHost.region, aEntryHost.failureDomain);
  if (aEntryHost.sentHosts == version) {
    return;
  }
  aEntryHost.sentHosts = version;
  aPush.set_has_hosts(true);
  for (const wire::HostRecord& host :
       m_fleet.HostsNear(aEntryHost.region, aEntryHost.failureDomain)) {
    *aPush.add_hosts() = host;
  }
}

// Pulls go first: their answers carry all that a push would.
void
ControlNode::SendUpdates(TimePoint aNow)
{
  SelectPushTargets(aNow);
  m_updateBytesSent = 0;
  for (std::size_t sent = 0;
       sent < kMaxUpdatesPerTurn && m_updateBytesSent < kMaxUpdateBytesPerTurn;
       ++sent) {
    if (const auto waiting = m_pulls.Take()) {
      AnswerPull(waiting->from, waiting->pull, aNow);
      continue;
    }
    if (m_pushTargets.empty()) {
      return;
    }
    const HostId host = m_pushTargets.front();
    m_pushTargets.pop_front();
    const auto it = m_entryHosts.find(host);
    if (it != m_entryHosts.end() && IsBehind(it->second, aNow)) {
      wire::Envelope envelope;
      *envelope.mutable_lists_push() = MakePush(it->second, aNow);
      SendUpdate(host, envelope);
    }
  }
}

// Whether a change is pushed to this entry host. A lost push is repaired by the
// next pull, which reports the versions of the lists and of the table of
// backend servers that the entry host has. Entry hosts that join or fail cause
// no push: when all of them start at once, each would cause a push to all
// others. They are reported with the reply to the next pull at the latest.
bool
ControlNode::IsBehind(const EntryHostStatus& aEntryHost, TimePoint aNow) const
{
  const GroupState& state = m_groups[kListsGroup]->state;
  const bool behind =
    aEntryHost.sentLists < state.ListsPart().Current().Version().Value() ||
    aEntryHost.sentServers < state.ServersPart().FollowerVersion() ||
    aEntryHost.sentHosts <
      m_fleet.NearWithdrawnVersion(aEntryHost.region, aEntryHost.failureDomain);
  const bool recent =
    !IsDue(aEntryHost.reportedAt + kSubscriptionTimeout, aNow);
  return behind && recent && aEntryHost.subscribed;
}

void
ControlNode::SelectPushTargets(TimePoint aNow)
{
  // Many changes come together when servers or hosts start. One push then
  // carries all of them.
  if (!m_pushTargets.empty() || !IsDue(m_nextPushAt, aNow)) {
    return;
  }
  for (auto it = m_entryHosts.begin(); it != m_entryHosts.end();) {
    const auto& [host, entryHost] = *it;
    if (IsDue(entryHost.reportedAt + kEntryHostRetention, aNow)) {
      it = m_entryHosts.erase(it);
      continue;
    }
    if (IsBehind(entryHost, aNow)) {
      m_pushTargets.push_back(host);
    }
    ++it;
  }
  const auto targets = static_cast<std::int64_t>(m_pushTargets.size());
  m_nextPushAt = aNow + std::max(kPushInterval, targets * kPushIntervalPerHost);
}

void
ControlNode::ReportServer(const wire::BackendServerRecord& aRecord,
                          TimePoint aNow,
                          const std::function<void(bool)>& aReply)
{
  if (m_leaving) {
    aReply(false);
    return;
  }
  wire::BackendServerRecord record = aRecord;
  record.set_watcher(m_options.self.Value());
  if (record.state() != wire::BackendServerRecord::GONE) {
    m_serverWatch.RecordRenewal(record, aNow);
  }
  m_reports.Accept(record, aNow + kReportTimeout, aNow, aReply);
}

// A report may be logged twice, since its outcome is the same the second time.
void
ControlNode::LogReport(const wire::BackendServerRecord& aRecord,
                       TimePoint aDeadline,
                       TimePoint aNow,
                       const ServerReportsHooks::DoneHook& aDone)
{
  wire::Command command;
  *command.mutable_server() = aRecord;
  if (!m_groups[kListsGroup]->node->IsLeader()) {
    ForwardReport(std::move(command), aDeadline, aNow, aDone);
    return;
  }
  ProposeReport(
    command,
    [this, command, aDeadline, aNow, aDone](
      ProposalOutcome aOutcome, const wire::CommandResult& aResult) {
      if (aOutcome == ProposalOutcome::kNotLeader ||
          aOutcome == ProposalOutcome::kUnknown) {
        ForwardReport(command, aDeadline, aNow, aDone);
        return;
      }
      aDone(aResult.code());
    });
}

// Reports that other control hosts received are checked here, too: their tables
// may lag, and those of earlier builds log any report.
void
ControlNode::ProposeReport(wire::Command aCommand, const ResultHook& aDone)
{
  const Group& group = *m_groups[kListsGroup];
  const wire::BackendServerRecord& report = aCommand.server();
  if (!group.node->IsLeader()) {
    Propose(kListsGroup, std::move(aCommand), aDone);
    return;
  }
  const ReportAdmission admission =
    AdmitReport(group.state.ListsPart().Current(),
                group.state.ServersPart(),
                report,
                group.node->HasLease(m_now));
  if (admission.code != wire::CommandResult::OK) {
    ++m_refusedReports;
    m_hooks.record(
      Event("report_refused")
        .With("server", report.id())
        .With("service", report.service())
        .With("address", report.address())
        .With("incarnation", report.incarnation())
        .With("lists_version", group.state.ListsPart().Current().Version())
        .With("reason", admission.reason));
    wire::CommandResult result;
    result.set_code(admission.code);
    result.set_text(admission.reason);
    const bool unknown = admission.code == wire::CommandResult::RESULT_UNKNOWN;
    aDone(unknown ? ProposalOutcome::kUnknown : ProposalOutcome::kApplied,
          result);
    return;
  }
  if (admission.formerHolder) {
    m_hooks.record(
      Event("address_taken_over")
        .With("address", report.address())
        .With("server", report.id())
        .With("incarnation", report.incarnation())
        .With("former", admission.formerHolder->id())
        .With("former_service", admission.formerHolder->service())
        .With("former_incarnation", admission.formerHolder->incarnation()));
    wire::Command ending;
    *ending.mutable_server() = *admission.formerHolder;
    Propose(kListsGroup,
            std::move(ending),
            [](ProposalOutcome, const wire::CommandResult&) {});
  }
  Propose(kListsGroup, std::move(aCommand), aDone);
}

void
ControlNode::ForwardReport(wire::Command aCommand,
                           TimePoint aDeadline,
                           TimePoint aNow,
                           const ServerReportsHooks::DoneHook& aDone)
{
  m_commands.Submit(std::move(aCommand),
                    aDeadline,
                    aNow,
                    [aDone](const wire::CommandResult* aResult) {
                      if (aResult == nullptr) {
                        aDone(std::nullopt);
                        return;
                      }
                      aDone(aResult->code());
                    });
}

// Hosts of earlier versions take such a result for a deregistration that holds.
bool
ControlNode::EndsNothing(const wire::Command& aCommand,
                         const wire::CommandResult& aResult) const
{
  const bool isApplied = aResult.code() == wire::CommandResult::OK ||
                         aResult.code() == wire::CommandResult::STALE_ATTEMPT;
  if (!isApplied || !NamesNoIncarnation(aCommand.server())) {
    return false;
  }
  const wire::BackendServerRecord* existing =
    m_groups[kListsGroup]->state.ServersPart().Find(aCommand.server().id());
  return existing == nullptr ||
         existing->state() != wire::BackendServerRecord::GONE ||
         existing->lapsed();
}

void
ControlNode::OnFleetView(const HostId& aFrom,
                         const wire::FleetView& aView,
                         TimePoint aNow)
{
  wire::HostRecord& location = m_controlHostLocations[aFrom];
  location.set_region(aView.region());
  location.set_failure_domain(aView.failure_domain());
  if (aView.asks()) {
    SendFleetView(aFrom, m_fleet.OwnView());
    return;
  }
  if (m_fleet.UpdateView(aFrom, aView, aNow)) {
    wire::FleetView request;
    request.set_asks(true);
    SendFleetView(aFrom, request);
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
ControlNode::ShareFleetView(TimePoint aNow)
{
  m_fleet.Tick(aNow);
  const auto update = m_fleet.TakeUpdate(aNow);
  if (!update) {
    return;
  }
  for (const HostId& host : OtherControlHosts()) {
    SendFleetView(host, *update);
  }
}

void
ControlNode::ExpireServers(TimePoint aNow)
{
  const Group& group = *m_groups[kListsGroup];
  if (!group.node->IsCurrent(aNow, kMaxFollowerStaleness)) {
    return;
  }
  const auto watchesFor = [&](const HostId& aWatcher) {
    return group.node->IsLeader() &&
           !group.node->HasRecentContact(aWatcher, aNow);
  };
  for (const wire::BackendServerRecord& record :
       m_serverWatch.TakeExpired(group.state.ServersPart(), watchesFor, aNow)) {
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
    const auto nowhere = [](int) { return SourcePosition(); };
    CheckOpenRoutes(content, nowhere, findings);
    CheckTeams(content, nowhere, findings);
  }
  if (!findings.IsEmpty()) {
    reply.result.set_code(wire::CommandResult::INVALID);
    reply.findings = findings.Text();
    aReply(reply);
    return;
  }
  if (m_leaving || !group.node->HasLease(aNow)) {
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
  // The digest covers the content instead of the delta, so that a resend after
  // the change took effect is recognized as the same change.
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

#define BOOST_TEST_MODULE control_node
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include "control/control_node.h"
#include "testing/fake_network.h"

namespace fuchsiaramp {

// Three control hosts with disks in memory.
class ControlGroup
{
public:
  explicit ControlGroup(bool aOpenMembership = false)
    : m_openMembership(aOpenMembership)
    , m_network({}, Random(7))
    , m_now(FromMicros(1'000'000))
  {
    for (int i = 0; i < 3; ++i) {
      m_hosts.push_back(HostId("control-" + std::to_string(i)));
    }
    for (const HostId& host : m_hosts) {
      StartOnEmptyDisk(host, m_hosts, true);
    }
  }

  // aKnown: the control hosts in the settings of the host.
  void StartOnEmptyDisk(const HostId& aHost,
                        const std::vector<HostId>& aKnown,
                        bool aMayBootstrap)
  {
    std::vector<StoredState>& disk = m_disks[aHost];
    disk.assign(2, {});
    for (StoredState& group : disk) {
      group.hardState.set_disk_id(m_random.Bits());
    }
    Start(aHost, aKnown, aMayBootstrap);
  }

  // Ends all processes at once and starts them again.
  void RestartAll()
  {
    m_nodes.clear();
    for (const HostId& host : m_hosts) {
      Start(host, m_hosts, false);
    }
  }

  void Start(const HostId& aHost,
             const std::vector<HostId>& aKnown,
             bool aMayBootstrap)
  {
    std::vector<GroupStorage> storage;
    for (StoredState& disk : m_disks[aHost]) {
      GroupStorage& group = storage.emplace_back();
      group.stored = disk;
      group.hooks.append = [&disk](const wire::HardState& aHardState,
                                   const auto& aEntries) {
        disk.hardState = aHardState;
        while (!aEntries.empty() && !disk.entries.empty() &&
               disk.entries.back().index() >= aEntries.front().index()) {
          disk.entries.pop_back();
        }
        disk.entries.insert(
          disk.entries.end(), aEntries.begin(), aEntries.end());
        return std::error_code();
      };
      group.hooks.saveSnapshot = [&disk](const wire::HardState& aHardState,
                                         const wire::SnapshotMeta& aMeta,
                                         const std::string& aSnapshot,
                                         const auto& aRetained) {
        disk = { aHardState, aMeta, aSnapshot, aRetained };
        return std::error_code();
      };
    }
    ControlHooks hooks;
    hooks.send = [this, aHost](const HostId& aTo,
                               const wire::Envelope& aMessage) {
      if (aHost != m_isolated && aTo != m_isolated) {
        m_network.Send(aHost, aTo, aMessage, m_now);
      }
    };
    hooks.wallClock = [this] { return ToMicros(m_now); };
    hooks.fatal = [](std::error_code) {};
    hooks.record = [this](const Event& aEvent) {
      m_escapeEvents += aEvent.Name() == "stored_text_escaped" ? 1 : 0;
    };
    hooks.hostDiscovered = [this, aHost](const HostId& aOther) {
      m_discovered.emplace_back(aHost, aOther);
    };
    ControlOptions options;
    options.self = aHost;
    options.hosts = aKnown;
    options.consensus.openMembership = m_openMembership;
    options.consensus.mayBootstrap = aMayBootstrap;
    m_nodes[aHost] = std::make_unique<ControlNode>(
      options, std::move(storage), hooks, Random(m_random.Bits()), m_now);
  }

  void Run(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(5);
      while (auto delivery = m_network.Next(m_now)) {
        const auto it = m_nodes.find(delivery->to);
        if (it == m_nodes.end()) {
          m_toEntryHosts.push_back(delivery->message);
          continue;
        }
        it->second->OnMessage(delivery->from, delivery->message, m_now);
      }
      for (auto& [host, node] : m_nodes) {
        node->Tick(m_now);
        node->Flush(m_now);
      }
    }
  }

  ControlNode* Leader(std::size_t aGroup)
  {
    for (auto& [host, node] : m_nodes) {
      if (node->GroupNode(aGroup).HasLease(m_now)) {
        return node.get();
      }
    }
    return nullptr;
  }

  ListsChangeReply Put(const std::string& aDocument,
                       std::uint64_t aExpected,
                       const std::string& aChange)
  {
    std::optional<ListsChangeReply> reply;
    Leader(0)->ChangeLists(
      { aDocument, aExpected, aChange, "op" },
      m_now,
      [&](const ListsChangeReply& aReply) { reply = aReply; });
    Run(std::chrono::milliseconds(300));
    BOOST_REQUIRE(reply.has_value());
    return *reply;
  }

  bool m_openMembership;
  std::vector<std::pair<HostId, HostId>> m_discovered; // by a host, which host
  HostId m_isolated; // sends nothing and receives nothing from control hosts
  std::size_t m_escapeEvents = 0;
  std::vector<wire::Envelope> m_toEntryHosts;
  Random m_random{ 3 };
  FakeNetwork<wire::Envelope> m_network;
  TimePoint m_now;
  std::vector<HostId> m_hosts;
  std::map<HostId, std::unique_ptr<ControlNode>> m_nodes;
  std::map<HostId, std::vector<StoredState>> m_disks; // by group
};

static const char* const kDocument = "plans:\n  - {name: p}\n";
static const char* const kOther = "plans:\n  - {name: q}\n";

BOOST_AUTO_TEST_CASE(OneOfTwoConflictingChangesWinsAndResendsGetTheSameReply)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(group.Leader(0) != nullptr);
  const auto first = group.Put(kDocument, 0, "change-a");
  BOOST_TEST(first.result.code() == wire::CommandResult::OK);
  BOOST_TEST(group.Put(kOther, 0, "change-b").result.code() ==
             wire::CommandResult::VERSION_CONFLICT);
  const auto again = group.Put(kDocument, 0, "change-a");
  BOOST_TEST(again.result.code() == wire::CommandResult::OK);
  BOOST_TEST(again.result.version() == 1u);
  // The replies stay the same after a change of leader.
  ControlNode* old = group.Leader(0);
  old->Leave(group.m_now);
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(group.Leader(0) != nullptr);
  BOOST_TEST(group.Leader(0) != old);
  BOOST_TEST(group.Put(kDocument, 0, "change-a").result.version() == 1u);
  BOOST_TEST(group.Put(kOther, 0, "change-b").result.code() ==
             wire::CommandResult::VERSION_CONFLICT);
  BOOST_TEST(!group.Put("plans: 3\n", 1, "change-c").findings.empty());
}

static constexpr char kOdd[] = "o\xffp";

// What a control host of an earlier build stored for an odd change.
static std::string
OddCommand()
{
  wire::Command command;
  wire::PutLists* put = command.mutable_put_lists();
  put->set_change_id("odd-change");
  put->set_expected_version(1);
  put->set_operator_name(kOdd);
  put->mutable_delta()->set_from_version(1);
  put->mutable_delta()->set_to_version(2);
  put->mutable_delta()->add_plans()->set_name("r");
  put->mutable_delta()->add_plans()->set_name(kOdd);
  return command.SerializeAsString();
}

static std::string
OddSnapshot()
{
  GroupState state{ LedgerOptions() };
  wire::Command change;
  change.mutable_put_lists()->set_change_id("first");
  change.mutable_put_lists()->set_operator_name(kOdd);
  change.mutable_put_lists()->mutable_delta()->set_to_version(1);
  change.mutable_put_lists()->mutable_delta()->add_plans()->set_name("q");
  state.Apply(change);
  for (const char* id : { "i-1", kOdd, "i-2" }) {
    wire::Command report;
    report.mutable_server()->set_id(id);
    report.mutable_server()->set_service("profile");
    report.mutable_server()->set_address(std::string(id) + ":80");
    state.Apply(report);
  }
  return state.Snapshot();
}

static void
CheckThatNothingIsLost(const GroupState& aState)
{
  const ListsState& lists = aState.ListsPart();
  BOOST_TEST(lists.Current().Version().Value() == 2u);
  for (const char* plan : { "q", "r", "o%ffp" }) {
    BOOST_TEST(lists.Current().FindPlan(PlanName(plan)) != nullptr, plan);
  }
  BOOST_REQUIRE(lists.Changes().size() == 2u);
  BOOST_TEST(lists.Changes()[0].operator_name() == "o%ffp");
  BOOST_TEST(lists.Changes()[1].operator_name() == "o%ffp");
  for (const char* id : { "i-1", "i-2", "o%ffp" }) {
    BOOST_TEST(aState.ServersPart().Find(id) != nullptr, id);
  }
  wire::StateSnapshot snapshot;
  BOOST_TEST(snapshot.ParseFromString(aState.Snapshot()));
}

BOOST_AUTO_TEST_CASE(StoredTextThatIsNotUtf8EndsNoStart)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  for (auto& [host, disk] : group.m_disks) {
    StoredState& lists = disk[0];
    const std::uint64_t index = lists.entries.front().index();
    const std::uint64_t term = lists.hardState.term();
    lists.snapshot = OddSnapshot();
    lists.snapshotMeta.set_index(index + 100);
    lists.snapshotMeta.set_term(term);
    *lists.snapshotMeta.mutable_configuration() =
      group.m_nodes[host]->GroupNode(0).Members();
    lists.entries.clear();
    wire::LogEntry& entry = lists.entries.emplace_back();
    entry.set_index(index + 101);
    entry.set_term(term);
    entry.set_command(OddCommand());
  }
  group.RestartAll();
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(group.Leader(0) != nullptr);
  for (const auto& [host, node] : group.m_nodes) {
    CheckThatNothingIsLost(node->State(0));
  }
  const auto reply = group.Put(kOther, 2, "next");
  BOOST_TEST(reply.result.code() == wire::CommandResult::OK);
  BOOST_TEST(group.m_escapeEvents >= 3u);
}

// Pulls from every control host and returns the confirmed versions.
static std::vector<std::uint64_t>
ConfirmedVersions(ControlGroup& aGroup)
{
  aGroup.m_toEntryHosts.clear();
  wire::Envelope pull;
  pull.mutable_lists_pull()->set_confirm(true);
  for (const HostId& host : aGroup.m_hosts) {
    aGroup.m_network.Send(HostId("entry-1"), host, pull, aGroup.m_now);
  }
  aGroup.Run(std::chrono::milliseconds(200));
  std::vector<std::uint64_t> versions;
  for (const wire::Envelope& envelope : aGroup.m_toEntryHosts) {
    BOOST_TEST(envelope.lists_push().group_leaders_size() == 2);
    if (envelope.lists_push().confirmed()) {
      versions.push_back(envelope.lists_push().current_version());
    }
  }
  return versions;
}

// Entry hosts run on machines that many can read, and need no key to check one.
BOOST_AUTO_TEST_CASE(KeysOfTeamsDoNotLeaveTheControlHosts)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  group.Put("teams: [{name: shop, keys: [secret-1]}]\n", 0, "change-a");
  group.Put("teams: [{name: shop, keys: [secret-1, secret-2]}]\n", 1, "b");
  for (const auto& [host, node] : group.m_nodes) {
    const wire::Team* team =
      node->State(0).ListsPart().Current().FindTeam(TeamName("shop"));
    BOOST_REQUIRE(team != nullptr);
    BOOST_TEST(team->keys(1).text() == "secret-2");
  }
  // A full delta, a delta of the history, and pushes to a subscribed host.
  for (const std::uint64_t have : { 0, 1, 2 }) {
    wire::Envelope pull;
    pull.mutable_lists_pull()->set_have_version(have);
    pull.mutable_lists_pull()->set_subscribes(true);
    for (const HostId& host : group.m_hosts) {
      group.m_network.Send(HostId("entry-1"), host, pull, group.m_now);
    }
    group.Run(std::chrono::milliseconds(200));
  }
  group.Put("teams: [{name: shop, keys: [secret-3]}]\n", 2, "change-c");
  group.Run(std::chrono::milliseconds(500));
  int teams = 0;
  std::uint64_t newest = 0;
  for (const wire::Envelope& envelope : group.m_toEntryHosts) {
    BOOST_TEST(envelope.SerializeAsString().find("secret-") ==
               std::string::npos);
    for (const wire::ListsDelta& delta : envelope.lists_push().deltas()) {
      newest = std::max(newest, delta.to_version());
      teams += delta.teams_size();
      for (const wire::Team& team : delta.teams()) {
        BOOST_TEST(team.keys(0).hash().size() == 64u);
      }
    }
  }
  BOOST_TEST(teams > 0);
  BOOST_TEST(newest == 3u);
}

BOOST_AUTO_TEST_CASE(AChangeWithAKeyOfTwoTeamsIsRefused)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  ListsChange change;
  change.content = wire::ListsDelta();
  change.content->set_full(true);
  for (const char* name : { "one", "two" }) {
    wire::Team* team = change.content->add_teams();
    team->set_name(name);
    wire::TeamKey* key = team->add_keys();
    key->set_text("secret");
    key->set_hash("0123");
  }
  change.changeId = "change-a";
  std::string findings;
  group.Leader(0)->ChangeLists(
    change, group.m_now, [&](const ListsChangeReply& aReply) {
      BOOST_TEST(aReply.result.code() == wire::CommandResult::INVALID);
      findings = aReply.findings;
    });
  BOOST_TEST(findings.find("'one'") != std::string::npos);
  BOOST_TEST(findings.find("'two'") != std::string::npos);
}

// Not only the leader confirms the lists, but also a follower of a leader with
// a lease. While a follower is isolated, every confirmed version is the newest.
BOOST_AUTO_TEST_CASE(OnlyHostsWithTheNewestListsConfirmThem)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  group.Put(kDocument, 0, "change-a");
  group.Run(std::chrono::seconds(1));
  BOOST_TEST(ConfirmedVersions(group) ==
               (std::vector<std::uint64_t>{ 1, 1, 1 }),
             boost::test_tools::per_element());
  const ControlNode* leader = group.Leader(0);
  HostId follower;
  for (const HostId& host : group.m_hosts) {
    follower = group.m_nodes[host].get() != leader ? host : follower;
  }
  group.m_isolated = follower;
  group.Run(std::chrono::seconds(2));
  group.Put(kOther, 1, "change-b");
  group.m_toEntryHosts.clear();
  for (const std::uint64_t version : ConfirmedVersions(group)) {
    BOOST_TEST(version == 2u);
  }
}

BOOST_AUTO_TEST_CASE(AFollowerWhoseMessagesArriveLateDoesNotConfirmOldLists)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  group.Put(kDocument, 0, "change-a");
  const ControlNode* leader = group.Leader(0);
  HostId leading;
  HostId follower;
  for (const HostId& host : group.m_hosts) {
    (group.m_nodes[host].get() == leader ? leading : follower) = host;
  }
  FakeNetworkOptions options;
  options.extraDelay = [=](const HostId& aFrom, const HostId& aTo) {
    const bool late = aFrom == leading && aTo == follower;
    return late ? Duration(std::chrono::seconds(3)) : Duration();
  };
  group.m_network.SetOptions(options);
  group.Run(std::chrono::milliseconds(3500));
  group.Put(kOther, 1, "change-b");
  group.Run(std::chrono::seconds(1));
  for (int i = 0; i < 8; ++i) {
    for (const std::uint64_t version : ConfirmedVersions(group)) {
      BOOST_TEST(version == 2u);
    }
  }
}

// Entry hosts rely on the age to know which changes their state includes.
BOOST_AUTO_TEST_CASE(ConfirmationsSayHowOldTheyAre)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  const HostId leader = group.Leader(0)->GroupNode(0).Self().host;
  wire::Envelope pull;
  pull.mutable_lists_pull()->set_confirm(true);
  for (const HostId& host : group.m_hosts) {
    group.m_toEntryHosts.clear();
    group.m_network.Send(HostId("entry-1"), host, pull, group.m_now);
    group.Run(std::chrono::milliseconds(100));
    BOOST_REQUIRE(group.m_toEntryHosts.size() == 1u);
    const wire::ListsPush& push = group.m_toEntryHosts.front().lists_push();
    BOOST_REQUIRE(push.confirmed());
    BOOST_REQUIRE(push.has_confirmed_age_us());
    if (host == leader) {
      BOOST_TEST(push.confirmed_age_us() == 0);
    } else {
      // The leader returns the reply of a follower with its next heartbeat,
      // and that word serves until the one after it.
      BOOST_TEST(push.confirmed_age_us() > 0);
      BOOST_TEST(push.confirmed_age_us() <= 400'000);
    }
  }
}

// Pulls as entry host aHost of aRegion and returns the entry hosts that the
// reply names.
static std::vector<std::string>
PullHosts(ControlGroup& aGroup,
          const std::string& aHost,
          const std::string& aRegion,
          std::uint64_t aPull,
          bool aReceivesOutcomes = true)
{
  wire::Envelope pull;
  pull.mutable_lists_pull()->set_hears_outcomes(aReceivesOutcomes);
  pull.mutable_lists_pull()->set_pull_id(aPull);
  pull.mutable_lists_pull()->set_subscribes(true);
  wire::HostRecord* self = pull.mutable_lists_pull()->mutable_self();
  self->set_host(aHost);
  self->set_region(aRegion);
  self->set_incarnation(1);
  aGroup.m_toEntryHosts.clear();
  aGroup.m_network.Send(
    HostId(aHost), aGroup.m_hosts.front(), pull, aGroup.m_now);
  aGroup.Run(std::chrono::milliseconds(100));
  std::vector<std::string> received;
  for (const wire::Envelope& envelope : aGroup.m_toEntryHosts) {
    const wire::ListsPush& push = envelope.lists_push();
    if (push.pull_id() == aPull && push.has_hosts()) {
      for (const wire::HostRecord& host : push.hosts()) {
        received.push_back(host.host());
      }
    }
  }
  return received;
}

BOOST_AUTO_TEST_CASE(AnEntryHostReceivesTheHostsOfItsOwnRegion)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  const auto south = PullHosts(group, "entry-south", "south", 11);
  BOOST_TEST(south == std::vector<std::string>({ "entry-south" }),
             boost::test_tools::per_element());
  // Hosts that join together are merged together.
  group.Run(std::chrono::milliseconds(200));
  const auto north = PullHosts(group, "entry-north", "north", 12);
  BOOST_TEST(north == std::vector<std::string>({ "entry-north" }),
             boost::test_tools::per_element());
}

// An entry host that is not sure of its lists asks a peer as well, which relays
// to the leader. The leader may be the control host that it follows.
BOOST_AUTO_TEST_CASE(ARelayedPullDoesNotEndTheSubscriptionOfAnEntryHost)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  PullHosts(group, "entry-north", "north", 11);
  wire::Envelope relayed;
  relayed.mutable_lists_pull()->set_pull_id(12);
  relayed.mutable_lists_pull()->set_relay_for("entry-north");
  group.m_network.Send(
    HostId("entry-south"), group.m_hosts.front(), relayed, group.m_now);
  group.Run(std::chrono::milliseconds(100));
  group.m_toEntryHosts.clear();
  group.Put(kDocument, 0, "change-a");
  BOOST_TEST(std::any_of(group.m_toEntryHosts.begin(),
                         group.m_toEntryHosts.end(),
                         [](const wire::Envelope& aEnvelope) {
                           return aEnvelope.lists_push().deltas_size() == 1;
                         }));
}

BOOST_AUTO_TEST_CASE(PushesOfChangesDoNotRepeatTheControlHosts)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  PullHosts(group, "entry-north", "north", 11);
  BOOST_TEST(group.m_toEntryHosts.back().lists_push().control_hosts_size() ==
             3);
  group.m_toEntryHosts.clear();
  group.Put(kDocument, 0, "change-a");
  BOOST_REQUIRE(group.m_toEntryHosts.size() == 1u);
  const wire::ListsPush& push = group.m_toEntryHosts.front().lists_push();
  BOOST_TEST(push.deltas_size() == 1);
  BOOST_TEST(push.control_hosts_size() == 0);
}

// Sends evidence from an entry host; returns how many entry hosts receive it.
static int
CountEvidence(ControlGroup& aGroup, const wire::Envelope& aEvidence)
{
  aGroup.m_toEntryHosts.clear();
  aGroup.m_network.Send(
    HostId("entry-other"), aGroup.m_hosts.front(), aEvidence, aGroup.m_now);
  aGroup.Run(std::chrono::milliseconds(100));
  int received = 0;
  for (const wire::Envelope& envelope : aGroup.m_toEntryHosts) {
    received += envelope.has_evidence() ? 1 : 0;
  }
  return received;
}

BOOST_AUTO_TEST_CASE(OutcomesAreSentOnlyToHostsThatReceiveThem)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  PullHosts(group, "entry-busy", "north", 11, true);
  PullHosts(group, "entry-idle", "north", 12, false);
  wire::Envelope evidence;
  wire::EvidenceReport* report = evidence.mutable_evidence()->add_reports();
  report->set_service("s");
  report->add_counts()->set_server("a");
  BOOST_TEST(CountEvidence(group, evidence) == 1);
}

BOOST_AUTO_TEST_CASE(LimitsOfServersAreSentToAllHosts)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  PullHosts(group, "entry-busy", "north", 11, true);
  PullHosts(group, "entry-idle", "north", 12, false);
  wire::Envelope evidence;
  wire::ServerLimits* limits = evidence.mutable_evidence()->add_limits();
  limits->set_service("s");
  limits->add_servers()->set_server("a");
  BOOST_TEST(CountEvidence(group, evidence) == 2);
}

// A trouble that many entry hosts observe at once must leave control free to
// confirm the lists.
BOOST_AUTO_TEST_CASE(AFloodOfEvidenceDoesNotGrowWithSendersTimesReceivers)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  static constexpr int kEntryHosts = 20;
  const auto pull = [&] {
    for (int i = 0; i < kEntryHosts; ++i) {
      wire::Envelope message;
      message.mutable_lists_pull()->set_subscribes(true);
      message.mutable_lists_pull()->set_hears_outcomes(true);
      group.m_network.Send(HostId("entry-" + std::to_string(i)),
                           group.m_hosts.front(),
                           message,
                           group.m_now);
    }
  };
  pull();
  group.Run(std::chrono::milliseconds(200));
  group.m_toEntryHosts.clear();
  std::uint64_t fingerprint = 0;
  for (int tick = 0; tick < 50; ++tick) {
    for (int i = 0; i < kEntryHosts; ++i) {
      wire::Envelope evidence;
      wire::PoisonNotice* notice = evidence.mutable_evidence()->add_poison();
      notice->set_fingerprint(++fingerprint);
      notice->set_remaining_us(60'000'000);
      group.m_network.Send(HostId("entry-" + std::to_string(i)),
                           group.m_hosts.front(),
                           evidence,
                           group.m_now);
    }
    group.Run(std::chrono::milliseconds(20));
  }
  const auto relayed = std::count_if(
    group.m_toEntryHosts.begin(),
    group.m_toEntryHosts.end(),
    [](const wire::Envelope& aEnvelope) { return aEnvelope.has_evidence(); });
  // At most 20 messages a second to each entry host, in 1 s.
  BOOST_TEST(relayed <= 22 * kEntryHosts);
  BOOST_TEST(relayed > 0);
}

BOOST_AUTO_TEST_CASE(AHostWithAnEmptyDiskThatKnowsOnlyFollowersJoins)
{
  ControlGroup group(true);
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(group.Leader(0) != nullptr);
  const HostId leader = group.Leader(0)->GroupNode(0).Self().host;
  const HostId follower = group.m_hosts.front() == leader
                            ? group.m_hosts.back()
                            : group.m_hosts.front();
  const HostId joining("control-new");
  group.StartOnEmptyDisk(joining, { follower }, false);
  group.Run(std::chrono::seconds(3));
  const auto& members = group.Leader(0)->GroupNode(0).Members().members();
  BOOST_TEST(std::any_of(
    members.begin(), members.end(), [&](const wire::Member& aMember) {
      return aMember.host() == joining.Value();
    }));
  // The adapter needs to know of the leader in order to reach it.
  BOOST_TEST(std::count(group.m_discovered.begin(),
                        group.m_discovered.end(),
                        std::pair(joining, leader)) == 1);
}

// A report of server "s", which started at aIncarnation.
static wire::BackendServerRecord
ServerReport(
  std::uint64_t aIncarnation,
  std::uint64_t aSequence,
  wire::BackendServerRecord::State aState = wire::BackendServerRecord::UP)
{
  wire::BackendServerRecord record;
  record.set_id("s");
  record.set_state(aState);
  record.set_incarnation(aIncarnation);
  record.set_revision(aSequence);
  record.set_service("profile");
  record.set_address("10.0.0.1:80");
  return record;
}

static wire::BackendServerRecord
NamelessDeregistration()
{
  wire::BackendServerRecord record;
  record.set_id("s");
  record.set_state(wire::BackendServerRecord::GONE);
  return record;
}

// Reports to each host in turn, for a second each, until one acknowledges.
static bool
ReportUntilAcknowledged(ControlGroup& aGroup,
                        const wire::BackendServerRecord& aRecord)
{
  for (int i = 0; i < 12; ++i) {
    const HostId& host =
      aGroup.m_hosts[static_cast<std::size_t>(i) % aGroup.m_hosts.size()];
    bool acknowledged = false;
    aGroup.m_nodes.at(host)->ReportServer(
      aRecord, aGroup.m_now, [&](bool aDurable) { acknowledged = aDurable; });
    aGroup.Run(std::chrono::seconds(1));
    if (acknowledged) {
      return true;
    }
  }
  return false;
}

static wire::BackendServerRecord
CurrentServer(ControlGroup& aGroup)
{
  BOOST_REQUIRE(aGroup.Leader(0) != nullptr);
  const auto* record = aGroup.Leader(0)->State(0).ServersPart().Find("s");
  return record == nullptr ? wire::BackendServerRecord() : *record;
}

static HostId
AFollower(ControlGroup& aGroup)
{
  const HostId leader = aGroup.Leader(0)->GroupNode(0).Self().host;
  return aGroup.m_hosts.front() == leader ? aGroup.m_hosts.back()
                                          : aGroup.m_hosts.front();
}

BOOST_AUTO_TEST_CASE(ADeregistrationAcknowledgedAfterARestartOfAllHostsIsKept)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  group.RestartAll();
  BOOST_REQUIRE(ReportUntilAcknowledged(group, NamelessDeregistration()));
  group.Run(std::chrono::seconds(3));
  BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::GONE);
}

BOOST_AUTO_TEST_CASE(ADeregistrationAtANewLeaderThatHasNotAppliedItsLogIsKept)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  group.RestartAll();
  ControlNode* leader = nullptr;
  for (int i = 0; i < 1000 && leader == nullptr; ++i) {
    group.Run(std::chrono::milliseconds(5));
    for (auto& [host, node] : group.m_nodes) {
      leader = node->GroupNode(0).IsLeader() ? node.get() : leader;
    }
  }
  BOOST_REQUIRE(leader != nullptr);
  BOOST_REQUIRE(leader->State(0).ServersPart().Find("s") == nullptr);
  bool acknowledged = false;
  leader->ReportServer(NamelessDeregistration(),
                       group.m_now,
                       [&](bool aDurable) { acknowledged = aDurable; });
  group.Run(std::chrono::seconds(1));
  BOOST_TEST(acknowledged);
  BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::GONE);
}

// The follower has not seen the newest incarnation when it is told.
BOOST_AUTO_TEST_CASE(ADeregistrationAtAFollowerThatLagsEndsTheNewIncarnation)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  const HostId follower = AFollower(group);
  const HostId leader = group.Leader(0)->GroupNode(0).Self().host;
  for (const bool wasDeregistered : { false, true }) {
    const std::uint64_t first = wasDeregistered ? 20 : 5;
    BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(first, 1)));
    if (wasDeregistered) {
      BOOST_REQUIRE(ReportUntilAcknowledged(group, NamelessDeregistration()));
    }
    group.Run(std::chrono::seconds(1));
    group.m_network.Cut(leader, follower);
    group.m_nodes.at(leader)->ReportServer(
      ServerReport(first + 1, 1), group.m_now, [](bool) {});
    group.Run(std::chrono::milliseconds(100));
    BOOST_REQUIRE(CurrentServer(group).incarnation() == first + 1);
    bool acknowledged = false;
    group.m_nodes.at(follower)->ReportServer(
      NamelessDeregistration(), group.m_now, [&](bool aDurable) {
        acknowledged = aDurable;
      });
    group.m_network.HealAll();
    group.Run(std::chrono::seconds(1));
    BOOST_TEST(acknowledged);
    BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::GONE);
  }
}

// The leader receives a report as a host of an older build forwards it.
static void
ForwardFromOlderBuild(ControlGroup& aGroup,
                      const wire::BackendServerRecord& aRecord)
{
  wire::Envelope request;
  *request.mutable_control_request()->mutable_command()->mutable_server() =
    aRecord;
  aGroup.m_toEntryHosts.clear();
  aGroup.m_network.Send(HostId("older-build"),
                        aGroup.Leader(0)->GroupNode(0).Self().host,
                        request,
                        aGroup.m_now);
  aGroup.Run(std::chrono::milliseconds(300));
}

// A host of an older build sends what it found in a table that lags.
BOOST_AUTO_TEST_CASE(AForwardedDeregistrationThatEndsNothingIsNotConfirmed)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  ForwardFromOlderBuild(group, NamelessDeregistration());
  BOOST_REQUIRE(group.m_toEntryHosts.size() == 1u);
  BOOST_TEST(group.m_toEntryHosts.front().control_reply().result().code() ==
             wire::CommandResult::RESULT_UNKNOWN);
  BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::UP);
}

// The host of an older build would confirm and forget it.
BOOST_AUTO_TEST_CASE(AForwardedDeregistrationOfAnUnknownServerIsNotConfirmed)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  ForwardFromOlderBuild(group, NamelessDeregistration());
  BOOST_REQUIRE(group.m_toEntryHosts.size() == 1u);
  BOOST_TEST(group.m_toEntryHosts.front().control_reply().result().code() ==
             wire::CommandResult::RESULT_UNKNOWN);
}

BOOST_AUTO_TEST_CASE(ADrainingReportWithALateNumberIsAppliedWhenAcknowledged)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 9)));
  BOOST_REQUIRE(ReportUntilAcknowledged(
    group, ServerReport(5, 3, wire::BackendServerRecord::LEAVING)));
  BOOST_TEST(CurrentServer(group).state() ==
             wire::BackendServerRecord::LEAVING);
}

BOOST_AUTO_TEST_CASE(ALateReportOfAFormerIncarnationLeavesTheNewOne)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(9, 1)));
  wire::BackendServerRecord named = NamelessDeregistration();
  named.set_incarnation(5);
  for (const auto& late :
       { ServerReport(5, 7),
         ServerReport(5, 8, wire::BackendServerRecord::LEAVING),
         named }) {
    BOOST_TEST(ReportUntilAcknowledged(group, late));
    BOOST_TEST(CurrentServer(group).incarnation() == 9u);
    BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::UP);
  }
}

// Guards against requests to a server that deregistered before its first
// heartbeat arrived: the heartbeat brought it back.
BOOST_AUTO_TEST_CASE(ADeregistrationBeforeTheFirstHeartbeatHoldsAfterARestart)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  wire::BackendServerRecord deregistration = NamelessDeregistration();
  deregistration.set_ends_before(7);
  BOOST_REQUIRE(ReportUntilAcknowledged(group, deregistration));
  group.RestartAll();
  group.Run(std::chrono::seconds(6));
  for (const HostId& host : group.m_hosts) {
    group.m_nodes.at(host)->ReportServer(
      ServerReport(5, 1), group.m_now, [](bool) {});
    group.Run(std::chrono::seconds(1));
    BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::GONE);
  }
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(9, 1)));
  BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::UP);
}

// Puts lists that define the service "profile" into force.
static void
DefineProfileService(ControlGroup& aGroup)
{
  ListsChange change;
  change.changeId = "define";
  change.operatorName = "op";
  change.content.emplace().set_full(true);
  change.content->add_services()->set_name("profile");
  std::optional<ListsChangeReply> reply;
  aGroup.Leader(0)->ChangeLists(
    change, aGroup.m_now, [&](const ListsChangeReply& aReply) {
      reply = aReply;
    });
  aGroup.Run(std::chrono::milliseconds(300));
  BOOST_REQUIRE(reply.has_value());
  BOOST_REQUIRE(reply->result.code() == wire::CommandResult::OK);
}

static wire::BackendServerRecord
OddReport()
{
  wire::BackendServerRecord odd = ServerReport(900, 1);
  odd.set_id("odd");
  odd.set_service("agents");
  return odd;
}

// Guards against servers that get no requests any more, though they report that
// they are ready, since another program named their address once.
BOOST_AUTO_TEST_CASE(AReportOfAnUndefinedServiceEndsNoServerAtAnyHost)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  DefineProfileService(group);
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  for (const HostId& host : group.m_hosts) {
    std::optional<bool> durable;
    group.m_nodes.at(host)->ReportServer(
      OddReport(), group.m_now, [&](bool aDurable) { durable = aDurable; });
    group.Run(std::chrono::milliseconds(300));
    BOOST_TEST((durable == false));
    BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::UP);
  }
}

// The same report, as the leader receives it from a host of an earlier build.
BOOST_AUTO_TEST_CASE(AForwardedReportOfAnUndefinedServiceIsNotLogged)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  DefineProfileService(group);
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  ForwardFromOlderBuild(group, OddReport());
  BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::UP);
}

// Guards against a server that stays out for good after a record with a later
// start took its address and then stopped reporting.
BOOST_AUTO_TEST_CASE(AServerThatStillReportsReturnsWhenTheNewHolderHasGone)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  wire::BackendServerRecord other = ServerReport(900, 1);
  other.set_id("other");
  BOOST_REQUIRE(ReportUntilAcknowledged(group, other));
  BOOST_REQUIRE(CurrentServer(group).state() ==
                wire::BackendServerRecord::GONE);
  const HostId& host = group.m_hosts.front();
  for (std::uint64_t sequence = 2; sequence < 16; ++sequence) {
    group.m_nodes.at(host)->ReportServer(
      ServerReport(5, sequence), group.m_now, [](bool) {});
    group.Run(std::chrono::milliseconds(1500));
  }
  BOOST_TEST(CurrentServer(group).state() == wire::BackendServerRecord::UP);
}

// The leader takes over the servers of a host that it cannot reach, and their
// registrations expire.
BOOST_AUTO_TEST_CASE(AnIsolatedHostDoesNotAcknowledgeHeartbeats)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  const HostId follower = AFollower(group);
  const auto report = [&](std::uint64_t aSequence) {
    bool acknowledged = false;
    group.m_nodes.at(follower)->ReportServer(
      ServerReport(5, aSequence), group.m_now, [&](bool aDurable) {
        acknowledged = aDurable;
      });
    group.Run(std::chrono::seconds(1));
    return acknowledged;
  };
  BOOST_REQUIRE(report(1));
  BOOST_TEST(report(2));
  group.m_isolated = follower;
  group.Run(std::chrono::seconds(2));
  BOOST_TEST(!report(3));
  group.m_isolated = HostId();
  group.Run(std::chrono::seconds(3));
  BOOST_TEST(report(4));
}

static ListsChange
ChangeOf(const std::string& aDocument, const std::string& aId)
{
  return { aDocument, 0, aId, "op" };
}

BOOST_AUTO_TEST_CASE(ALeaderThatLeavesAnswersAChangeInHandBeforeItHandsOver)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  ControlNode* leader = group.Leader(0);
  std::optional<wire::CommandResult::Code> code;
  leader->ChangeLists(
    ChangeOf(kDocument, "change-a"),
    group.m_now,
    [&](const ListsChangeReply& aReply) { code = aReply.result.code(); });
  leader->Leave(group.m_now);
  BOOST_TEST(leader->InHand() == 1u);
  group.Run(std::chrono::milliseconds(300));
  BOOST_TEST((code == wire::CommandResult::OK));
  BOOST_TEST(leader->InHand() == 0u);
  BOOST_TEST(!leader->GroupNode(0).IsLeader());
  BOOST_REQUIRE(group.Leader(0) != nullptr);
  BOOST_TEST(
    group.Leader(0)->State(0).ListsPart().Current().Version().Value() == 1u);
}

BOOST_AUTO_TEST_CASE(AHostThatLeavesTakesNoNewWork)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(ReportUntilAcknowledged(group, ServerReport(5, 1)));
  ControlNode* leader = group.Leader(0);
  const HostId host = leader->GroupNode(0).Self().host;
  // The group does not commit what the leader has in hand.
  group.m_isolated = host;
  leader->ChangeLists(
    ChangeOf(kDocument, "change-a"), group.m_now, [](const auto&) {});
  leader->Leave(group.m_now);
  bool refused = false;
  leader->ReportServer(ServerReport(5, 2), group.m_now, [&](bool aDurable) {
    refused = !aDurable;
  });
  BOOST_TEST(refused);
  std::optional<wire::CommandResult::Code> code;
  leader->ChangeLists(
    ChangeOf(kOther, "change-b"),
    group.m_now,
    [&](const ListsChangeReply& aReply) { code = aReply.result.code(); });
  BOOST_TEST((code == wire::CommandResult::NOT_LEADER));
  wire::Envelope request;
  *request.mutable_control_request()->mutable_command()->mutable_server() =
    ServerReport(6, 1);
  leader->OnMessage(HostId("control-x"), request, group.m_now);
  BOOST_TEST(leader->InHand() == 1u);
}

BOOST_AUTO_TEST_CASE(WorkThatALeavingHostGivesUpHasAnUnknownOutcome)
{
  ControlGroup group;
  group.Run(std::chrono::seconds(6));
  ControlNode* leader = group.Leader(0);
  group.m_isolated = leader->GroupNode(0).Self().host;
  std::optional<wire::CommandResult::Code> code;
  leader->ChangeLists(
    ChangeOf(kDocument, "change-a"),
    group.m_now,
    [&](const ListsChangeReply& aReply) { code = aReply.result.code(); });
  std::optional<bool> durable;
  leader->ReportServer(ServerReport(5, 1), group.m_now, [&](bool aDurable) {
    durable = aDurable;
  });
  leader->Leave(group.m_now);
  leader->GiveUp();
  BOOST_TEST((code == wire::CommandResult::RESULT_UNKNOWN));
  BOOST_TEST((durable == false));
}

// Three control hosts and the quota of a team, as an entry host uses it.
class QuotaGroup : public ControlGroup
{
public:
  // aContent: replaces the lists.
  explicit QuotaGroup(const wire::ListsDelta& aContent)
  {
    Run(std::chrono::seconds(6));
    ListsChange change;
    change.content = aContent;
    change.changeId = "change-a";
    Leader(0)->ChangeLists(change, m_now, [](const ListsChangeReply& aReply) {
      BOOST_TEST(aReply.result.code() == wire::CommandResult::OK,
                 aReply.findings);
    });
    Run(std::chrono::seconds(1));
  }

  // The permits that the control host grants of 100 that are asked for.
  std::uint32_t Ask(const HostId& aControl)
  {
    m_toEntryHosts.clear();
    wire::Envelope message;
    wire::QuotaRequest* request = message.mutable_quota_request();
    request->set_request_id(++m_lastRequest);
    wire::QuotaWant* want = request->add_wants();
    want->set_team("t");
    want->set_count(100);
    want->set_waiting(100);
    m_nodes[aControl]->OnMessage(HostId("entry-1"), message, m_now);
    Run(std::chrono::milliseconds(100));
    std::uint32_t granted = 0;
    for (const wire::Envelope& reply : m_toEntryHosts) {
      for (const wire::QuotaPermits& permits : reply.quota_grant().permits()) {
        granted += permits.count();
      }
    }
    return granted;
  }

private:
  std::uint64_t m_lastRequest = 0;
};

static wire::ListsDelta
ListsWithTeam()
{
  wire::ListsDelta lists;
  lists.set_full(true);
  wire::Team* team = lists.add_teams();
  team->set_name("t");
  team->add_keys()->set_text("key1");
  team->set_requests_per_second(10.0);
  team->set_burst(20.0);
  return lists;
}

// All control hosts together grant the burst, kept by the leader for any of
// them, and after a change of leader no more than the limit either.
BOOST_AUTO_TEST_CASE(ControlHostsGrantTheQuotaOfATeamTogether)
{
  QuotaGroup group(ListsWithTeam());
  group.Run(std::chrono::seconds(3));
  std::uint32_t granted = 0;
  for (const HostId& host : group.m_hosts) {
    granted += group.Ask(host);
  }
  BOOST_TEST(granted >= 20u);
  BOOST_TEST(granted <= 20u + 8 + 3 + 2);
  ControlNode* old = group.Leader(0);
  old->Leave(group.m_now);
  group.Run(std::chrono::seconds(6));
  BOOST_REQUIRE(group.Leader(0) != nullptr);
  BOOST_TEST(group.Leader(0) != old);
  granted = 0;
  for (const HostId& host : group.m_hosts) {
    granted += group.Ask(host);
  }
  BOOST_TEST(granted > 0u);
  BOOST_TEST(granted <= 20u + 8 + 3 + 2);
}

// Guards against messages for quotas in deployments without teams.
BOOST_AUTO_TEST_CASE(WithoutTeamsNoMessageConcernsQuotas)
{
  wire::ListsDelta lists;
  lists.set_full(true);
  lists.add_plans()->set_name("p");
  QuotaGroup group(lists);
  group.Run(std::chrono::seconds(5));
  for (const HostId& host : group.m_hosts) {
    BOOST_TEST(group.m_nodes[host]->QuotaCounters().reports == 0u);
  }
}

} // namespace fuchsiaramp

// Randomised runs of one consensus group over fake disks and a fake network.
//
// Each run draws crashes, lost disks, pauses, one-way cuts, lost syncs and late
// messages from its seed. It checks throughout that a term has at most one
// leader, that all members apply the same command at the same index, that no
// acknowledged command is lost, and that lease reads are linearizable. Runs
// with open membership end with two lost disks while all other hosts lose
// power.
#define BOOST_TEST_MODULE consensus_run
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <set>

#include "base/invariant.h"
#include "consensus/node.h"
#include "disk/fake_files.h"
#include "disk/segment_log.h"
#include "testing/fake_network.h"
#include "testing/run_options.h"

namespace fuchsiaramp {

static constexpr Duration kStep = std::chrono::milliseconds(10);
static constexpr std::uint64_t kMaxSegment = 1 << 26;
static constexpr std::uint64_t kMaxLogBytes = 4'000; // about 40 commands

struct GroupOptions
{
  // With open membership, the first three hosts form the group and the others
  // join it, up to five voters.
  bool openMembership = false;
  // Whether all hosts draw the same random numbers after a loss of power, as if
  // the seed depended on the time of the start only.
  bool sameRandom = false;
  // Whether the log and the entries on their way are bounded by bytes instead
  // of by their number.
  bool boundedByBytes = false;
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  FakeNetworkOptions network;
};

class Group
{
public:
  Group(std::uint64_t aSeed, std::size_t aSize, GroupOptions aOptions = {})
    : m_options(std::move(aOptions))
    , m_random(aSeed)
    , m_network(m_options.network, Random(aSeed + 1))
    , m_now(FromMicros(1'000'000))
  {
    SetInvariantHandler(
      [](const std::string& aText) { throw std::logic_error(aText); });
    for (std::size_t i = 0; i < aSize; ++i) {
      m_hosts.push_back(HostId("control-" + std::to_string(i)));
    }
    for (const HostId& host : m_hosts) {
      m_members[host].disk = std::make_unique<FakeFiles>();
      Start(host);
    }
  }

  // Runs with faults for aFaultyTime, then without until all members have
  // caught up.
  void Run(Duration aFaultyTime)
  {
    const TimePoint end = m_now + aFaultyTime;
    while (m_now < end) {
      if (m_random.Chance(0.01)) {
        InjectFault();
      }
      Step();
    }
    Heal();
    const TimePoint limit = m_now + std::chrono::seconds(60);
    const std::size_t needed = m_acknowledged.size() + 10;
    while (m_now < limit &&
           !(HasConverged() && m_acknowledged.size() >= needed)) {
      Step();
    }
    Check(HasConverged(), "all members catch up after the faults end");
    Check(m_acknowledged.size() >= needed,
          "commands are acknowledged after the faults end");
    for (const auto& [host, member] : m_members) {
      const std::set<std::string> applied(member.applied.begin(),
                                          member.applied.end());
      for (const std::string& command : m_acknowledged) {
        Check(applied.count(command) != 0,
              "every member keeps every acknowledged command");
      }
    }
  }

  // One voter falls silent, so that another host replaces it. At a random
  // moment of that, two hosts lose their disks and all others lose power.
  void RunLossOfTwoDisks()
  {
    const Node* leader = RunUntilAllVotersJoined();
    HostId silent = leader->Self().host;
    while (silent == leader->Self().host) {
      const auto& members = leader->Members().members();
      const auto& member =
        members[static_cast<int>(m_random.Below(members.size()))];
      silent = member.voter() ? HostId(member.host()) : silent;
    }
    m_members[silent].paused = true;
    RunFor(std::chrono::milliseconds(2900 + m_random.Below(600)));
    const std::vector<HostId> hosts = LosePowerAndTwoDisks();
    for (const HostId& host : hosts) {
      Start(host);
    }
    const std::set<std::string> before = m_acknowledged;
    const TimePoint limit = m_now + std::chrono::seconds(30);
    while (m_now < limit && m_acknowledged.size() < before.size() + 10) {
      Step();
    }
    Check(m_acknowledged.size() >= before.size() + 10,
          "commands are acknowledged after the loss of two disks");
    RunFor(std::chrono::seconds(2));
    leader = NewestLeader();
    Check(leader != nullptr, "there is a leader after the loss of two disks");
    const std::vector<std::string>& applied =
      m_members[leader->Self().host].applied;
    const std::set<std::string> kept(applied.begin(), applied.end());
    for (const std::string& command : before) {
      Check(kept.count(command) != 0,
            "acknowledged commands outlive the loss of two disks");
    }
  }

  // All hosts lose power, two of them their disks as well. Returns the time
  // from the start of the last host until a leader serves reads.
  Duration TimeToLeaderAfterLossOfPower()
  {
    RunUntilAllVotersJoined();
    RunFor(std::chrono::milliseconds(m_random.Below(2000)));
    const std::vector<HostId> hosts = LosePowerAndTwoDisks();
    for (const HostId& host : hosts) {
      Start(host);
      if (!m_options.sameRandom) {
        RunFor(kStep * m_random.Below(5));
      }
    }
    const TimePoint started = m_now;
    const TimePoint limit = m_now + std::chrono::seconds(30);
    while (m_now < limit && !HasLeaderWithLease()) {
      Step();
    }
    return m_now - started;
  }

  // One host is silent from before it forms the group until another one has
  // lost its disk and the log no longer starts with the formation.
  void RunSilentFounderAndLostDisk()
  {
    // By now, each host has received the probes of the others.
    RunFor(3 * kStep);
    const auto blank =
      std::find_if(m_hosts.begin(), m_hosts.end(), [this](const HostId& aHost) {
        return m_members[aHost].node->HasEmptyDisk();
      });
    Check(blank != m_hosts.end(), "a host has not formed the group yet");
    const HostId silent = *blank;
    m_members[silent].paused = true;
    RunFor(std::chrono::seconds(20));
    HostId lost = silent;
    while (lost == silent) {
      lost = RandomHost();
    }
    Crash(lost);
    m_members[lost].disk->Wipe();
    ++m_lostDisks;
    Start(lost);
    Resume(m_members[silent]);
    RunUntilRepaired(std::chrono::seconds(10));
    Check(IsRepaired(), "a silent founder and a lost disk are repaired");
  }

  // The disks of all hosts are full for a few seconds, one after the other. A
  // process that ends by that is started again after a short delay.
  void RunFullDisks()
  {
    RunUntilAllVotersJoined();
    const std::size_t before = m_acknowledged.size();
    std::vector<HostId> hosts = m_hosts;
    m_random.Shuffle(hosts);
    for (const HostId& host : hosts) {
      FakeFiles& disk = *m_members[host].disk;
      disk.FillAfter(m_random.Below(kWritesOfSnapshot));
      RunWithRestarts(std::chrono::milliseconds(2000 + m_random.Below(1000)));
      disk.Free();
    }
    Check(m_acknowledged.size() > before,
          "commands are acknowledged while one disk after the other is full");
    const std::size_t needed = m_acknowledged.size() + 10;
    RunWithRestarts(std::chrono::seconds(4));
    Check(m_acknowledged.size() >= needed,
          "commands are acknowledged once all disks have room");
    RunUntilConverged();
  }

  // A probe that a host sent before it lost its disk arrives late.
  void RunLateProbeOfLostDisk()
  {
    RunFor(std::chrono::seconds(5));
    wire::RaftMessage probe;
    probe.set_kind(wire::RaftMessage::BLANK_PROBE);
    probe.set_from_disk(m_random.Bits());
    probe.set_blank(true);
    const Node* leader = NewestLeader();
    Check(leader != nullptr, "there is a leader");
    HostId from = leader->Self().host;
    while (from == leader->Self().host) {
      from = RandomHost();
    }
    m_network.Send(from, leader->Self().host, probe, m_now);
    RunFor(std::chrono::seconds(1));
    Check(NewestLeader() != nullptr &&
            NewestLeader()->Members().members_size() == 4,
          "the late probe adds a learner");
    RunUntilRepaired(std::chrono::seconds(20));
    Check(IsRepaired(), "a learner on a lost disk is removed");
  }

  // A voter is silent for much longer than learners may be.
  void RunSilentVoter()
  {
    RunFor(std::chrono::seconds(5));
    m_members[RandomHost()].paused = true;
    RunFor(std::chrono::seconds(30));
    const Node* leader = NewestLeader();
    Check(leader != nullptr &&
            VoterCount(*leader) == static_cast<int>(m_hosts.size()),
          "a silent voter stays a voter");
  }

  std::size_t AcknowledgedCount() const { return m_acknowledged.size(); }
  std::size_t LostDisks() const { return m_lostDisks; }

private:
  static constexpr std::size_t kFoundingHosts = 3;
  static constexpr int kMaxVoters = 5;
  // More than saving a snapshot and appending take together.
  static constexpr std::uint64_t kWritesOfSnapshot = 12;
  static constexpr Duration kRestartDelay = std::chrono::milliseconds(300);

  void RunWithRestarts(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      Step();
      for (const HostId& host : m_hosts) {
        Member& member = m_members[host];
        if (member.hasFailed) {
          member.hasFailed = false;
          member.node.reset();
          member.startAt = m_now + kRestartDelay;
        } else if (!member.node && IsDue(member.startAt, m_now)) {
          Start(host);
          member.startAt = m_now + kRestartDelay;
        }
      }
    }
  }

  // Checks that every host that runs applies what was acknowledged.
  void RunUntilConverged()
  {
    const TimePoint limit = m_now + std::chrono::seconds(30);
    const std::set<std::string> before = m_acknowledged;
    const auto keeps = [&before](const auto& aMember) {
      const std::set<std::string> applied(aMember.second.applied.begin(),
                                          aMember.second.applied.end());
      return aMember.second.node &&
             std::includes(
               applied.begin(), applied.end(), before.begin(), before.end());
    };
    while (m_now < limit &&
           !std::all_of(m_members.begin(), m_members.end(), keeps)) {
      RunWithRestarts(std::chrono::milliseconds(100));
    }
    Check(std::all_of(m_members.begin(), m_members.end(), keeps),
          "every member keeps every acknowledged command");
  }

  void RunFor(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      Step();
    }
  }

  void RunUntilRepaired(Duration aLimit)
  {
    const TimePoint limit = m_now + aLimit;
    while (m_now < limit && !IsRepaired()) {
      Step();
    }
  }

  // Returns the leader.
  const Node* RunUntilAllVotersJoined()
  {
    RunFor(std::chrono::seconds(12));
    const Node* leader = NewestLeader();
    Check(leader != nullptr && VoterCount(*leader) == kMaxVoters,
          "the group reaches its number of voters");
    return leader;
  }

  // Returns the hosts, all of them down, in random order.
  std::vector<HostId> LosePowerAndTwoDisks()
  {
    std::vector<HostId> hosts = m_hosts;
    m_random.Shuffle(hosts);
    for (const HostId& host : hosts) {
      Crash(host);
    }
    for (std::size_t i = 0; i < 2; ++i) {
      m_members[hosts[i]].disk->Wipe();
      ++m_lostDisks;
    }
    m_network = FakeNetwork<wire::RaftMessage>(m_options.network,
                                               Random(m_random.Bits()));
    m_lostPower = true;
    return hosts;
  }

  static int VoterCount(const Node& aNode)
  {
    const auto& members = aNode.Members().members();
    return static_cast<int>(std::count_if(
      members.begin(), members.end(), [](const wire::Member& aMember) {
        return aMember.voter();
      }));
  }

  struct Member
  {
    std::unique_ptr<FakeFiles> disk;
    std::unique_ptr<SegmentLog> log;
    std::unique_ptr<Node> node; // null while down
    bool paused = false;
    bool hasFailed = false; // its storage, so that the process ends
    TimePoint startAt;      // of a process that ended
    std::deque<FakeNetwork<wire::RaftMessage>::Delivery> heldMessages;
    std::vector<std::string> applied;
  };

  static void Check(bool aHolds, const char* aText)
  {
    if (!aHolds) {
      throw std::logic_error(aText);
    }
  }

  void Start(const HostId& aHost)
  {
    Member& member = m_members[aHost];
    member.heldMessages.clear();
    member.paused = false;
    StoredState stored;
    member.log = std::make_unique<SegmentLog>(
      member.disk->Hooks(), Random(m_random.Bits()), kMaxSegment);
    if (member.log->Open(stored)) {
      if (member.disk->IsFull()) {
        return; // the process ends again
      }
      // A corrupt log is replaced by an empty folder.
      member.disk->Wipe();
      ++m_lostDisks;
      stored = StoredState();
      member.log = std::make_unique<SegmentLog>(
        member.disk->Hooks(), Random(m_random.Bits()), kMaxSegment);
      Check(!member.log->Open(stored), "an empty folder opens");
    }
    NodeOptions options;
    options.self = aHost;
    options.hosts = m_hosts;
    options.electionTimeout = m_options.electionTimeout;
    options.heartbeatInterval = m_options.heartbeatInterval;
    if (m_options.openMembership) {
      options.openMembership = true;
      options.hosts.resize(kFoundingHosts);
      options.mayBootstrap =
        std::count(options.hosts.begin(), options.hosts.end(), aHost) != 0;
    }
    if (m_options.boundedByBytes) {
      options.snapshotAfterBytes = kMaxLogBytes;
      options.maxInFlightBytes = kMaxLogBytes / 4;
    } else {
      options.snapshotAfterEntries = 40;
      options.retainedEntries = 10;
    }
    options.snapshotChunkBytes = 64;
    member.applied.clear();
    const Random random(m_lostPower && m_options.sameRandom ? 1
                                                            : m_random.Bits());
    member.node =
      std::make_unique<Node>(options, stored, HooksOf(aHost), random, m_now);
  }

  NodeHooks HooksOf(const HostId& aHost)
  {
    Member& member = m_members[aHost];
    NodeHooks hooks;
    hooks.send = [this, aHost](const HostId& aTo,
                               const wire::RaftMessage& aMessage) {
      m_network.Send(aHost, aTo, aMessage, m_now);
    };
    hooks.storage = member.log->Hooks();
    hooks.apply = [this, &member](std::uint64_t aIndex,
                                  const std::string& aCommand) {
      const auto [it, inserted] = m_commandAtIndex.emplace(aIndex, aCommand);
      Check(inserted || it->second == aCommand,
            "members apply the same command at an index");
      member.applied.push_back(aCommand);
      return aCommand;
    };
    hooks.snapshot = [&member] {
      std::string text;
      for (const std::string& command : member.applied) {
        text += command + '\n';
      }
      return text;
    };
    hooks.restore = [&member](const std::string& aSnapshot) {
      member.applied.clear();
      std::istringstream lines(aSnapshot);
      for (std::string line; std::getline(lines, line);) {
        member.applied.push_back(line);
      }
    };
    hooks.finished =
      [this](ProposalId, ProposalOutcome aOutcome, const std::string& aResult) {
        if (aOutcome == ProposalOutcome::kApplied) {
          m_acknowledged.insert(aResult);
        }
      };
    hooks.fatal = [&member](std::error_code) { member.hasFailed = true; };
    hooks.record = [this, aHost](const Event& aEvent) {
      if (aEvent.Name() == "leader_elected") {
        const std::string& term = aEvent.Fields()[1].value;
        const auto [it, inserted] = m_leaderOfTerm.emplace(term, aHost);
        Check(inserted || it->second == aHost, "a term has one leader");
      }
    };
    return hooks;
  }

  void Step()
  {
    m_now += kStep;
    while (auto delivery = m_network.Next(m_now)) {
      Member& member = m_members[delivery->to];
      if (member.paused) {
        member.heldMessages.push_back(*delivery);
      } else if (member.node) {
        member.node->Step(delivery->from, delivery->message, m_now);
      }
    }
    for (const HostId& host : m_hosts) {
      Member& member = m_members[host];
      if (!member.node || member.paused) {
        continue;
      }
      member.node->Tick(m_now);
      if (m_random.Chance(0.1) && member.node->IsLeader()) {
        member.node->Propose(ProposalId(m_nextCommand),
                             "c" + std::to_string(m_nextCommand));
        ++m_nextCommand;
      }
      // A crash before the flush loses what has not been synced.
      if (m_random.Chance(m_crashChance)) {
        Crash(host);
        continue;
      }
      member.node->Flush(m_now);
      CheckLease(member);
    }
  }

  void CheckLease(const Member& aMember) const
  {
    if (!aMember.node->HasLease(m_now)) {
      return;
    }
    const std::set<std::string> applied(aMember.applied.begin(),
                                        aMember.applied.end());
    for (const std::string& command : m_acknowledged) {
      Check(applied.count(command) != 0,
            "a lease read sees every acknowledged command");
    }
  }

  HostId RandomHost() { return m_hosts[m_random.Below(m_hosts.size())]; }

  void Crash(const HostId& aHost)
  {
    Member& member = m_members[aHost];
    member.node.reset();
    member.disk->Crash(m_random);
  }

  void InjectFault()
  {
    const HostId host = RandomHost();
    Member& member = m_members[host];
    switch (m_random.Below(8)) {
      case 0:
        m_network.Cut(host, RandomHost());
        break;
      case 1:
        m_network.HealAll();
        break;
      case 2:
        Crash(host);
        break;
      case 3:
        if (!member.node) {
          Start(host);
        }
        break;
      case 4:
        member.paused = true;
        break;
      case 5:
        Resume(member);
        break;
      case 6:
        LoseDisk(host);
        break;
      default:
        m_network.SetOptions(RandomOptions());
        break;
    }
  }

  FakeNetworkOptions RandomOptions()
  {
    FakeNetworkOptions options;
    options.drop = m_random.Chance(0.5) ? 0.0 : 0.1;
    options.duplicate = m_random.Chance(0.5) ? 0.0 : 0.1;
    options.late = m_random.Chance(0.5) ? 0.0 : 0.05;
    m_crashChance = m_random.Chance(0.7) ? 0.0 : 0.001;
    return options;
  }

  static void Resume(Member& aMember) { aMember.paused = false; }

  // Loses the disk of a host by wiping it or by flipping a bit. A disk is lost
  // only when the group has recovered from every earlier loss.
  void LoseDisk(const HostId& aHost)
  {
    if (!IsRepaired()) {
      return;
    }
    Crash(aHost);
    if (m_random.Chance(0.5) && m_members[aHost].disk->FlipBit(m_random)) {
      Start(aHost);
    } else {
      m_members[aHost].disk->Wipe();
      ++m_lostDisks;
      Start(aHost);
    }
  }

  // Null if no member leads.
  const Node* NewestLeader() const
  {
    const Node* leader = nullptr;
    for (const auto& [host, member] : m_members) {
      const bool leads = member.node && member.node->IsLeader();
      if (leads && (!leader || member.node->Term() > leader->Term())) {
        leader = member.node.get();
      }
    }
    return leader;
  }

  bool HasLeaderWithLease() const
  {
    const Node* leader = NewestLeader();
    return leader != nullptr && leader->HasLease(m_now);
  }

  // Returns whether the newest leader holds a lease and has committed its whole
  // log, and all hosts are up and voters in its configuration.
  bool IsRepaired() const
  {
    const Node* leader = NewestLeader();
    if (!leader || !leader->HasLease(m_now) ||
        leader->Commit() != leader->Entries().LastIndex()) {
      return false;
    }
    for (const auto& [host, member] : m_members) {
      if (!member.node || !IsVoter(leader->Members(), member.node->Self())) {
        return false;
      }
    }
    return leader->Members().members_size() == static_cast<int>(m_hosts.size());
  }

  void Heal()
  {
    m_network.HealAll();
    m_network.SetOptions({});
    m_crashChance = 0.0;
    for (const HostId& host : m_hosts) {
      Resume(m_members[host]);
      if (!m_members[host].node) {
        Start(host);
      }
    }
  }

  bool HasConverged() const
  {
    if (!IsRepaired()) {
      return false;
    }
    const std::uint64_t applied = m_members.begin()->second.node->Applied();
    for (const auto& [host, member] : m_members) {
      if (member.node->Applied() != applied) {
        return false;
      }
    }
    return true;
  }

  const GroupOptions m_options;
  Random m_random;
  FakeNetwork<wire::RaftMessage> m_network;
  TimePoint m_now;
  std::vector<HostId> m_hosts;
  std::map<HostId, Member> m_members;
  std::map<std::uint64_t, std::string> m_commandAtIndex;
  std::map<std::string, HostId> m_leaderOfTerm;
  std::set<std::string> m_acknowledged;
  std::uint64_t m_nextCommand = 1;
  std::size_t m_lostDisks = 0;
  bool m_lostPower = false;
  double m_crashChance = 0.0;
};

static void
RunSeeds(std::size_t aSize,
         std::uint64_t aDefaultCount,
         const GroupOptions& aOptions = {})
{
  const SeedRange seeds = SeedRangeFromEnvironment(aDefaultCount);
  std::size_t acknowledged = 0;
  std::size_t lostDisks = 0;
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    try {
      Group group(seed, aSize, aOptions);
      group.Run(std::chrono::seconds(40));
      acknowledged += group.AcknowledgedCount();
      lostDisks += group.LostDisks();
    } catch (const std::exception& error) {
      BOOST_ERROR("seed " << seed << " size " << aSize << ": " << error.what());
      return;
    }
  }
  BOOST_TEST_MESSAGE("size " << aSize << ": " << seeds.count << " seeds, "
                             << acknowledged << " commands, " << lostDisks
                             << " lost disks");
  BOOST_TEST((seeds.count < 10 || lostDisks > 0));
}

BOOST_AUTO_TEST_CASE(ThreeMembers)
{
  RunSeeds(3, 600);
}

BOOST_AUTO_TEST_CASE(ThreeMembersWithALogThatIsBoundedByBytes)
{
  GroupOptions options;
  options.boundedByBytes = true;
  RunSeeds(3, 200, options);
}

BOOST_AUTO_TEST_CASE(FiveMembers)
{
  RunSeeds(5, 200);
}

BOOST_AUTO_TEST_CASE(TwoLostDisksWhileAllOtherHostsLosePower)
{
  const SeedRange seeds = SeedRangeFromEnvironment(300);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    try {
      GroupOptions options;
      options.openMembership = true;
      Group group(seed, 7, options);
      group.RunLossOfTwoDisks();
    } catch (const std::exception& error) {
      BOOST_ERROR("seed " << seed << ": " << error.what());
    }
  }
}

template<class Scenario>
static void
RunScenario(std::size_t aSize,
            std::uint64_t aDefaultCount,
            const Scenario& aScenario)
{
  const SeedRange seeds = SeedRangeFromEnvironment(aDefaultCount);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    try {
      Group group(seed, aSize);
      aScenario(group);
    } catch (const std::exception& error) {
      BOOST_ERROR("seed " << seed << ": " << error.what());
    }
  }
}

BOOST_AUTO_TEST_CASE(AFoundingHostThatNeverFormedTheGroupVotesAfterALostDisk)
{
  RunScenario(
    3, 20, [](Group& aGroup) { aGroup.RunSilentFounderAndLostDisk(); });
}

BOOST_AUTO_TEST_CASE(ALearnerOnALostDiskIsRemovedWithClosedMembership)
{
  RunScenario(3, 20, [](Group& aGroup) { aGroup.RunLateProbeOfLostDisk(); });
}

BOOST_AUTO_TEST_CASE(ASilentVoterIsNotRemovedWithClosedMembership)
{
  RunScenario(7, 5, [](Group& aGroup) { aGroup.RunSilentVoter(); });
}

// As deployed: six control hosts in regions 20 ms apart, disks that take 5 ms
// to sync.
static GroupOptions
DeployedOptions()
{
  GroupOptions options;
  options.openMembership = true;
  options.electionTimeout = std::chrono::milliseconds(900);
  options.heartbeatInterval = std::chrono::milliseconds(300);
  options.network.minDelay = std::chrono::milliseconds(20);
  options.network.maxDelay = std::chrono::milliseconds(30);
  return options;
}

// Other operators saw changes refused long after full disks had room again.
BOOST_AUTO_TEST_CASE(ChangesAreAcceptedAfterOneDiskAfterTheOtherWasFull)
{
  const SeedRange seeds = SeedRangeFromEnvironment(100);
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    try {
      Group group(seed, 6, DeployedOptions());
      group.RunFullDisks();
    } catch (const std::exception& error) {
      BOOST_ERROR("seed " << seed << ": " << error.what());
    }
  }
}

static void
CheckTimeToLeader(const GroupOptions& aOptions, std::uint64_t aDefaultCount)
{
  static constexpr Duration kLongestTime = std::chrono::seconds(4);
  const SeedRange seeds = SeedRangeFromEnvironment(aDefaultCount);
  std::vector<Duration> times;
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    try {
      Group group(seed, 6, aOptions);
      times.push_back(group.TimeToLeaderAfterLossOfPower());
      BOOST_TEST(times.back().count() <= kLongestTime.count(),
                 "seed " << seed << ": a leader serves after "
                         << times.back().count() << " us");
    } catch (const std::exception& error) {
      BOOST_ERROR("seed " << seed << ": " << error.what());
      return;
    }
  }
  std::sort(times.begin(), times.end());
  const auto quantile = [&times](double aShare) {
    const auto index = aShare * static_cast<double>(times.size() - 1);
    return times[static_cast<std::size_t>(index)].count() / 1000;
  };
  BOOST_TEST_MESSAGE("time to a leader, ms: median "
                     << quantile(0.5) << ", 90 % " << quantile(0.9) << ", 99 % "
                     << quantile(0.99) << ", longest " << quantile(1.0));
}

BOOST_AUTO_TEST_CASE(VotesAreNotSplitForeverIfHostsDrawTheSameNumbers)
{
  GroupOptions options = DeployedOptions();
  options.sameRandom = true;
  CheckTimeToLeader(options, 60);
}

BOOST_AUTO_TEST_CASE(VotersThatMustAllAgreeElectALeaderAfterALossOfPower)
{
  CheckTimeToLeader(DeployedOptions(), 200);
}

} // namespace fuchsiaramp

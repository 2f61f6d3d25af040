#define BOOST_TEST_MODULE lists_follower
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "entry/lists_follower.h"

namespace fuchsiaramp {

// A follower in failure domain "a" of region "r" with two control hosts, of
// which "near" is in its domain.
class FollowerTest
{
public:
  explicit FollowerTest(std::uint64_t aSeed = 1)
    : m_now(FromMicros(1'000'000))
    , m_follower(Options(), Hooks(), Random(aSeed), m_now)
  {
  }

  void RunFor(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(20);
      m_follower.Tick(m_now);
      std::vector<std::pair<HostId, wire::ListsPull>> pulls;
      pulls.swap(m_pulls);
      for (const auto& [host, pull] : pulls) {
        m_pullCounts[host] += 1;
        m_serverPullCounts[host] += pull.without_servers() ? 0 : 1;
        const auto delay = m_responseDelays.find(host);
        const bool delayed = delay != m_responseDelays.end();
        m_due.emplace(delayed ? m_now + delay->second : m_now,
                      std::pair(host, pull));
      }
      while (!m_due.empty() && IsDue(m_due.begin()->first, m_now)) {
        const auto [host, pull] = m_due.begin()->second;
        m_due.erase(m_due.begin());
        Respond(host, pull);
      }
    }
  }

  void Respond(const HostId& aHost, const wire::ListsPull& aPull)
  {
    if (m_silent.count(aHost) != 0) {
      return;
    }
    wire::ListsPush push;
    push.set_pull_id(aPull.pull_id());
    push.set_confirmed(!m_leaderless && m_stale.count(aHost) == 0);
    const std::uint64_t version =
      m_leaderless ? 0 : (push.confirmed() ? m_version : 1);
    push.set_current_version(version);
    if (m_ageOfConfirmations) {
      push.set_confirmed_age_us(*m_ageOfConfirmations);
    }
    if (aPull.have_version() < version) {
      wire::ListsDelta* delta = push.add_deltas();
      delta->set_full(true);
      delta->set_to_version(version);
    }
    if (!m_leaderless && !aPull.without_servers() &&
        aPull.have_servers_version() == 0) {
      push.mutable_servers()->set_full(true);
      push.mutable_servers()->set_to_version(1);
      wire::BackendServerRecord* server = push.mutable_servers()->add_servers();
      server->set_id("server");
      server->set_service("profile");
      server->set_address("10.0.0.1:80");
      server->set_incarnation(1);
    }
    for (const char* name : { "near", "far" }) {
      wire::HostRecord* host = push.add_control_hosts();
      host->set_host(name);
      host->set_region("r");
      host->set_failure_domain(std::string(name) == "near" ? "a" : "b");
    }
    m_follower.OnPush(aHost, push, m_now);
  }

  static ListsFollowerOptions Options()
  {
    ListsFollowerOptions options;
    options.self = HostId("entry");
    options.region = Region("r");
    options.failureDomain = FailureDomain("a");
    options.controlHosts = { HostId("far"), HostId("near") };
    options.pullInterval = std::chrono::milliseconds(500);
    return options;
  }

  ListsFollowerHooks Hooks()
  {
    ListsFollowerHooks hooks;
    hooks.sendPull = [this](const HostId& aTo, const wire::ListsPull& aPull) {
      m_pulls.emplace_back(aTo, aPull);
    };
    hooks.sendPush = [this](const HostId&, const wire::ListsPush& aPush) {
      m_pushes.push_back(aPush);
    };
    hooks.aliveHosts = [] { return std::vector<HostId>{ HostId("entry") }; };
    hooks.groupLeadersChanged = [](const std::vector<std::string>&) {};
    hooks.controlHostsChanged = [](const std::vector<HostId>&) {};
    hooks.entryHostsChanged = [this](const std::vector<wire::HostRecord>&) {
      ++m_hostUpdates;
    };
    hooks.domainSizesChanged = [this](const std::vector<std::size_t>& aSizes) {
      m_domainSizes = aSizes;
    };
    hooks.receivesOutcomes = [] { return true; };
    hooks.ownRecord = [] { return std::optional<wire::HostRecord>(); };
    hooks.serverChanged = [this](const wire::BackendServerRecord& aRecord) {
      if (aRecord.state() == wire::BackendServerRecord::GONE) {
        m_serversInUse.erase(aRecord.id());
      } else {
        m_serversInUse.insert(aRecord.id());
      }
    };
    hooks.record = [this](const Event& aEvent) {
      m_events.push_back(aEvent.Name());
    };
    return hooks;
  }

  TimePoint m_now;
  std::uint64_t m_version = 1;
  std::set<HostId> m_silent;
  std::set<HostId> m_stale; // cannot confirm their lists
  // All control hosts have restarted, have no leader and know no lists yet.
  bool m_leaderless = false;
  std::map<HostId, Duration> m_responseDelays;
  std::multimap<TimePoint, std::pair<HostId, wire::ListsPull>> m_due;
  std::map<HostId, int> m_pullCounts;
  std::map<HostId, int> m_serverPullCounts; // of those that ask for servers
  int m_hostUpdates = 0;
  std::set<std::string> m_serversInUse;
  std::optional<std::int64_t> m_ageOfConfirmations; // microseconds
  std::vector<std::string> m_events;
  std::vector<std::size_t> m_domainSizes;
  std::vector<wire::ListsPush> m_pushes;
  std::vector<std::pair<HostId, wire::ListsPull>> m_pulls;
  ListsFollower m_follower;
};

static const HostId kDomainControl("near");
static const HostId kOtherControl("far");

BOOST_AUTO_TEST_CASE(StaysWithTheControlHostOfItsFailureDomain)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  BOOST_TEST(test.m_follower.IsServing());
  BOOST_TEST(test.m_follower.CurrentControlHost() == kDomainControl);
  test.m_pullCounts.clear();
  test.RunFor(std::chrono::seconds(5));
  BOOST_TEST(test.m_pullCounts[kOtherControl] == 0);
  BOOST_TEST(test.m_pullCounts[kDomainControl] >= 9);
}

// A control host of the same failure domain may be cut off from the others and
// still respond. Entry hosts that stayed with it missed changes for seconds.
BOOST_AUTO_TEST_CASE(ImmediatelyLeavesAControlHostThatCannotConfirm)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  test.m_stale.insert(kDomainControl);
  test.m_version = 2;
  test.RunFor(std::chrono::milliseconds(1200));
  BOOST_TEST(test.m_follower.Current().Version().Value() == 2u);
  test.m_stale.clear();
  test.RunFor(std::chrono::seconds(6));
  BOOST_TEST(test.m_follower.CurrentControlHost() == kDomainControl);
}

BOOST_AUTO_TEST_CASE(LeavesAnUnresponsiveControlHost)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  test.m_silent.insert(kDomainControl);
  test.m_version = 2;
  test.RunFor(std::chrono::milliseconds(1500));
  BOOST_TEST(test.m_follower.Current().Version().Value() == 2u);
}

BOOST_AUTO_TEST_CASE(DoesNotReturnToAControlHostWhoseResponsesComeLate)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  test.m_responseDelays[kDomainControl] = std::chrono::milliseconds(1200);
  test.RunFor(std::chrono::seconds(2));
  int returns = 0;
  for (int i = 0; i < 300; ++i) {
    test.RunFor(std::chrono::milliseconds(20));
    returns += test.m_follower.CurrentControlHost() == kDomainControl ? 1 : 0;
  }
  BOOST_TEST(returns == 0);
  test.m_responseDelays.clear();
  test.RunFor(std::chrono::seconds(6));
  BOOST_TEST(test.m_follower.CurrentControlHost() == kDomainControl);
}

BOOST_AUTO_TEST_CASE(KeepsItsPullIntervalsIfNoControlHostConfirms)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  test.m_stale = { kDomainControl, kOtherControl };
  test.m_pullCounts.clear();
  test.RunFor(std::chrono::seconds(5));
  // One pull from the current control host and one from another in each of ten
  // intervals, and one more from each when its avoidance ends.
  BOOST_TEST(
    test.m_pullCounts[kDomainControl] + test.m_pullCounts[kOtherControl] <= 24);
}

// After a loss of power of the whole fleet no host serves until control has a
// leader again.
BOOST_AUTO_TEST_CASE(ServesSoonAfterControlHasItsFirstLeader)
{
  for (int wait = 200; wait <= 5000; wait += 100) {
    BOOST_TEST_CONTEXT("leader after " << wait << " ms")
    {
      FollowerTest test;
      test.m_leaderless = true;
      test.RunFor(std::chrono::milliseconds(wait));
      BOOST_REQUIRE(!test.m_follower.IsServing());
      test.m_leaderless = false;
      test.RunFor(std::max(std::chrono::milliseconds(240),
                           std::chrono::milliseconds(wait / 10 + 60)));
      BOOST_TEST(test.m_follower.IsServing());
    }
  }
}

BOOST_AUTO_TEST_CASE(WithoutALeaderAStartingHostSoonPullsAsRarelyAsBefore)
{
  FollowerTest test;
  test.m_leaderless = true;
  test.RunFor(std::chrono::seconds(10));
  test.m_pullCounts.clear();
  test.RunFor(std::chrono::seconds(10));
  BOOST_TEST(
    test.m_pullCounts[kDomainControl] + test.m_pullCounts[kOtherControl] <= 11);
}

// Lists may take longer to arrive than an interval; each further pull would
// bring them once more.
BOOST_AUTO_TEST_CASE(PullsAtGrowingIntervalsWhileListsMayBeOnTheirWay)
{
  FollowerTest test;
  test.m_responseDelays[kDomainControl] = std::chrono::seconds(3);
  test.m_responseDelays[kOtherControl] = std::chrono::seconds(3);
  test.RunFor(std::chrono::milliseconds(2900));
  BOOST_TEST(
    test.m_pullCounts[kDomainControl] + test.m_pullCounts[kOtherControl] <= 5);
}

// All hosts that started together asked the same control host at the same time,
// which sent the lists to one after the other.
BOOST_AUTO_TEST_CASE(HostsThatStartTogetherAskDifferentControlHosts)
{
  constexpr std::size_t kHosts = 60;
  constexpr std::size_t kControlHosts = 6;
  std::map<HostId, std::size_t> pulls;
  std::size_t all = 0;
  for (std::uint64_t seed = 1; seed <= kHosts; ++seed) {
    FollowerTest test(seed);
    for (std::size_t i = 2; i < kControlHosts; ++i) {
      const HostId host("other-" + std::to_string(i));
      test.m_follower.AddControlHosts({ host });
      test.m_silent.insert(host);
    }
    test.m_leaderless = true;
    // The first pull goes to the closest control host.
    test.RunFor(std::chrono::milliseconds(100));
    test.m_pullCounts.clear();
    test.RunFor(std::chrono::milliseconds(200));
    for (const auto& [host, count] : test.m_pullCounts) {
      pulls[host] += static_cast<std::size_t>(count);
      all += static_cast<std::size_t>(count);
    }
  }
  BOOST_TEST(all == kHosts);
  for (const auto& [host, count] : pulls) {
    BOOST_TEST(count <= 2 * kHosts / kControlHosts, host << ": " << count);
  }
}

// It was confirmed by a response that brings no servers, and waited a whole
// interval of pulls for them.
BOOST_AUTO_TEST_CASE(AHostThatBeginsToServeHasTheServersSoon)
{
  for (int wait = 100; wait <= 2000; wait += 50) {
    BOOST_TEST_CONTEXT("confirmed after " << wait << " ms")
    {
      FollowerTest test;
      test.m_leaderless = true;
      test.RunFor(std::chrono::milliseconds(wait));
      test.m_leaderless = false;
      for (int i = 0; i < 100 && !test.m_follower.IsServing(); ++i) {
        test.RunFor(std::chrono::milliseconds(20));
      }
      test.RunFor(std::chrono::milliseconds(40));
      BOOST_TEST(test.m_follower.IsServing());
      BOOST_TEST(test.m_serversInUse.size() == 1u);
    }
  }
}

BOOST_AUTO_TEST_CASE(AcceptsEntryHostsOnlyFromTheCurrentControlHost)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  BOOST_REQUIRE(test.m_follower.CurrentControlHost() == kDomainControl);
  wire::ListsPush push;
  push.set_has_hosts(true);
  test.m_hostUpdates = 0;
  test.m_follower.OnPush(kOtherControl, push, test.m_now);
  BOOST_TEST(test.m_hostUpdates == 0);
  test.m_follower.OnPush(kDomainControl, push, test.m_now);
  BOOST_TEST(test.m_hostUpdates == 1);
}

BOOST_AUTO_TEST_CASE(OnlyTheClosestControlHostSendsServersToAStartingHost)
{
  FollowerTest test;
  test.m_stale = { kDomainControl, kOtherControl };
  test.RunFor(std::chrono::milliseconds(500));
  test.m_serverPullCounts.clear();
  test.m_pullCounts.clear();
  test.RunFor(std::chrono::seconds(2));
  BOOST_TEST(!test.m_follower.IsServing());
  BOOST_TEST(test.m_pullCounts[kOtherControl] > 0);
  BOOST_TEST(test.m_serverPullCounts[kOtherControl] == 0);
  BOOST_TEST(test.m_serverPullCounts[kDomainControl] >= 4);
}

// The retry budget is split among the hosts of the fleet. A control host that
// is cut off from the others takes most of them for dead, and each entry host
// that follows such a one would use the budget of all.
BOOST_AUTO_TEST_CASE(TakesTheSizeOfTheFleetOnlyFromAControlHostThatConfirms)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  BOOST_REQUIRE(test.m_follower.CurrentControlHost() == kDomainControl);
  const std::vector<std::size_t> whole = { 13, 13 };
  const std::vector<std::size_t> own = { 1 };
  wire::ListsPush push;
  push.set_confirmed(true);
  push.set_current_version(1);
  push.mutable_domain_sizes()->Assign(whole.begin(), whole.end());
  test.m_follower.OnPush(kDomainControl, push, test.m_now);
  BOOST_TEST(test.m_domainSizes == whole, boost::test_tools::per_element());
  push.set_confirmed(false);
  push.mutable_domain_sizes()->Assign(own.begin(), own.end());
  test.m_follower.OnPush(kDomainControl, push, test.m_now);
  BOOST_TEST(test.m_domainSizes == whole, boost::test_tools::per_element());
  // It is sent once; a later confirmation makes it valid.
  push.set_confirmed(true);
  push.clear_domain_sizes();
  test.m_follower.OnPush(kDomainControl, push, test.m_now);
  BOOST_TEST(test.m_domainSizes == own, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RecordsWhenConfirmationsStopAndReturn)
{
  FollowerTest test;
  test.RunFor(std::chrono::seconds(2));
  test.m_events.clear();
  test.m_silent = { kDomainControl, kOtherControl };
  test.RunFor(std::chrono::seconds(5));
  test.m_silent.clear();
  test.RunFor(std::chrono::seconds(2));
  BOOST_TEST(test.m_events ==
               std::vector<std::string>(
                 { "lists_unconfirmed", "lists_confirmed_again" }),
             boost::test_tools::per_element());
}

static wire::BackendServerRecord
ServerRecord(const std::string& aId, const std::string& aAddress)
{
  wire::BackendServerRecord record;
  record.set_id(aId);
  record.set_service("profile");
  record.set_address(aAddress);
  record.set_incarnation(1);
  return record;
}

BOOST_AUTO_TEST_CASE(AnOddServerIsLeftOutOnceLoggedAndTheOthersStayInUse)
{
  FollowerTest test;
  wire::ListsPush push;
  wire::ServersDelta& servers = *push.mutable_servers();
  servers.set_full(true);
  for (std::uint64_t version = 1; version <= 3; ++version) {
    servers.clear_servers();
    servers.set_to_version(version);
    *servers.add_servers() = ServerRecord("port", "10.0.0.1:99999");
    *servers.add_servers() = ServerRecord("a", "10.0.0.2:80");
    *servers.add_servers() = ServerRecord("", "10.0.0.3:80");
    servers.add_servers()->set_id("empty");
    *servers.add_servers() = ServerRecord("state", "10.0.0.4:80");
    servers.mutable_servers(4)->set_state(
      static_cast<wire::BackendServerRecord::State>(7));
    *servers.add_servers() = ServerRecord("cold", "10.0.0.5:80");
    servers.mutable_servers(5)->set_cold_us(INT64_MAX);
    *servers.add_servers() = ServerRecord("b", "10.0.0.6:80");
    test.m_follower.OnPush(kDomainControl, push, test.m_now);
  }
  BOOST_TEST(test.m_serversInUse == std::set<std::string>({ "a", "b" }),
             boost::test_tools::per_element());
  BOOST_TEST(test.m_follower.ServersVersion() == 3u);
  BOOST_TEST(test.m_follower.LeftOut() == 15u);
  BOOST_TEST(std::count(test.m_events.begin(),
                        test.m_events.end(),
                        "server_left_out") == 5);
}

BOOST_AUTO_TEST_CASE(AServerWhoseRecordBecomesOddIsNotInUseUntilItIsValidAgain)
{
  FollowerTest test;
  wire::ListsPush push;
  wire::ServersDelta& servers = *push.mutable_servers();
  const auto send = [&](const std::string& aAddress) {
    servers.set_from_version(servers.to_version());
    servers.set_to_version(servers.to_version() + 1);
    servers.clear_servers();
    *servers.add_servers() = ServerRecord("a", aAddress);
    test.m_follower.OnPush(kDomainControl, push, test.m_now);
    return test.m_serversInUse.count("a") == 1;
  };
  BOOST_TEST(send("10.0.0.1:80"));
  BOOST_TEST(!send("10.0.0.1"));
  BOOST_TEST(!send("10.0.0.1:0"));
  BOOST_TEST(send("10.0.0.1:80"));
}

// A split without a weight above 0 ended the host with the first request.
BOOST_AUTO_TEST_CASE(AnOddRouteIsLeftOutAndTheOthersStayInForce)
{
  FollowerTest test;
  wire::ListsPush push;
  for (std::uint64_t version = 1; version <= 2; ++version) {
    push.clear_deltas();
    wire::ListsDelta& delta = *push.add_deltas();
    delta.set_from_version(version - 1);
    delta.set_to_version(version);
    for (const char* name : { "one", "two" }) {
      wire::Route* route = delta.add_open_routes();
      route->set_name(name);
      route->set_host("x.example");
      route->set_path_prefix(std::string("/") + name + "/");
      route->set_timeout_us(1'000'000);
      route->add_split()->set_weight(version == 2 && name[0] == 't' ? 0 : 1);
    }
    test.m_follower.OnPush(kDomainControl, push, test.m_now);
  }
  const Lists& lists = test.m_follower.Current();
  BOOST_TEST(lists.Version().Value() == 2u);
  BOOST_TEST(lists.FindOpenRoute("x.example", "/one/a") != nullptr);
  BOOST_TEST(lists.FindOpenRoute("x.example", "/two/a") == nullptr);
  BOOST_TEST(test.m_follower.LeftOut() == 1u);
}

BOOST_AUTO_TEST_CASE(AnAgeOfAConfirmationOutOfRangeIsBounded)
{
  for (const std::int64_t age : { INT64_MIN, INT64_MAX }) {
    FollowerTest test;
    test.m_ageOfConfirmations = age;
    test.RunFor(std::chrono::seconds(3));
    BOOST_TEST(test.m_follower.IsServing());
    const Duration confirmedAge =
      test.m_follower.ConfirmedAge(test.m_now).value_or(Duration());
    BOOST_TEST(confirmedAge.count() >= 0);
  }
}

// A starting host refused keys although its lists were confirmed, since the
// confirmation came from a control host that was not asked for the servers.
BOOST_AUTO_TEST_CASE(ListsAreConfirmedAsSoonAsTheHostServes)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FollowerTest test(seed);
    // The host that is asked for the servers does not respond.
    test.m_silent.insert(kOtherControl);
    for (int i = 0; i < 100 && !test.m_follower.IsServing(); ++i) {
      test.RunFor(std::chrono::milliseconds(20));
      BOOST_TEST(test.m_follower.IsServing() ==
                 test.m_follower.ListsConfirmedAge(test.m_now).has_value());
    }
    BOOST_TEST(test.m_follower.IsServing());
    const auto lists = test.m_follower.ListsConfirmedAge(test.m_now);
    const auto all = test.m_follower.ConfirmedAge(test.m_now);
    BOOST_TEST((!all || *all >= *lists));
  }
}

// No sender makes an entry host hold or pass on a key: neither a control host
// nor a peer of another build.
BOOST_AUTO_TEST_CASE(KeysOfTeamsAreDroppedAndTheirHashesPassedOn)
{
  for (const HostId& sender : { kDomainControl, HostId("peer") }) {
    FollowerTest test;
    wire::ListsPush push;
    push.set_current_version(2);
    push.add_deltas()->set_full(true);
    push.mutable_deltas(0)->set_to_version(1);
    push.add_deltas()->set_from_version(1);
    push.mutable_deltas(1)->set_to_version(2);
    wire::Team* team = push.mutable_deltas(1)->add_teams();
    team->set_name("shop");
    team->add_keys()->set_hash("0123");
    team->mutable_keys(0)->set_text("secret");
    test.m_follower.OnPush(sender, push, test.m_now);
    const wire::Team* held =
      test.m_follower.Current().FindTeamByKeyHash("0123");
    BOOST_REQUIRE(held != nullptr);
    BOOST_TEST(held->keys(0).text() == "");
    for (const std::uint64_t have : { 0, 1 }) {
      wire::ListsPull pull;
      pull.set_have_version(have);
      test.m_pushes.clear();
      test.m_follower.OnPull(HostId("peer"), pull, test.m_now);
      BOOST_REQUIRE(test.m_pushes.size() == 1u);
      Lists received;
      if (have == 1) {
        received.Apply(push.deltas(0));
      }
      for (const wire::ListsDelta& delta : test.m_pushes[0].deltas()) {
        BOOST_TEST(received.Apply(delta));
      }
      BOOST_TEST(received.FindTeamByKeyHash("0123") != nullptr);
      BOOST_TEST(test.m_pushes[0].SerializeAsString().find("secret") ==
                 std::string::npos);
    }
  }
}

// Control confirms empty lists until the operators' first change. No request
// can be judged by them.
BOOST_AUTO_TEST_CASE(DoesNotServeBeforeTheFirstLists)
{
  FollowerTest test;
  test.m_version = 0;
  test.RunFor(std::chrono::seconds(2));
  BOOST_TEST(!test.m_follower.IsServing());
  test.m_version = 1;
  test.RunFor(std::chrono::seconds(2));
  BOOST_TEST(test.m_follower.IsServing());
}

// Guards against entry hosts that outgrow their memory because the history that
// they hold for their peers was bounded only by the number of changes.
BOOST_AUTO_TEST_CASE(LargeChangesAreHeldForPeersOnlyUpToTheSizeOfTheLists)
{
  FollowerTest test;
  const auto apply = [&test](std::uint64_t aVersion) {
    wire::ListsPush push;
    wire::ListsDelta* delta = push.add_deltas();
    delta->set_from_version(aVersion - 1);
    delta->set_to_version(aVersion);
    for (int i = 0; i < 1400; ++i) {
      wire::Route* route = delta->add_open_routes();
      route->set_name("route-" + std::to_string(i));
      route->set_host("shop.example");
      route->set_path_prefix("/route-" + std::to_string(i) + '/');
      route->set_service("profile");
      route->set_max_servers(1 + static_cast<std::uint32_t>(aVersion % 2));
    }
    push.set_current_version(aVersion);
    test.m_follower.OnPush(HostId("near"), push, test.m_now);
    return delta->ByteSizeLong();
  };
  std::size_t bytesOfLists = 0;
  for (std::uint64_t version = 1; version <= 100; ++version) {
    bytesOfLists = apply(version);
  }
  const auto answerTo = [&test](std::uint64_t aHave) {
    wire::ListsPull pull;
    pull.set_have_version(aHave);
    test.m_follower.OnPull(HostId("peer"), pull, test.m_now);
    return test.m_pushes.back();
  };
  BOOST_TEST(answerTo(98).deltas_size() == 2);
  BOOST_TEST(answerTo(1).deltas_size() == 1);
  BOOST_TEST(answerTo(1).ByteSizeLong() < 2 * bytesOfLists);
}

} // namespace fuchsiaramp

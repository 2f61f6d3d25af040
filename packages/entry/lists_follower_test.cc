#define BOOST_TEST_MODULE lists_follower
#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

#include "entry/lists_follower.h"

namespace fuchsiaramp {

// A follower in failure domain "a" of region "r" with two control hosts, of
// which "near" is in its domain.
class Follower
{
public:
  Follower()
    : m_now(FromMicros(1'000'000))
    , m_follower(Options(), Hooks(), Random(1), m_now)
  {
  }

  void Run(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(20);
      m_follower.Tick(m_now);
      std::vector<std::pair<HostId, wire::ListsPull>> pulls;
      pulls.swap(m_pulls);
      for (const auto& [host, pull] : pulls) {
        m_asked[host] += 1;
        Answer(host, pull);
      }
    }
  }

  void Answer(const HostId& aHost, const wire::ListsPull& aPull)
  {
    if (m_silent.count(aHost) != 0) {
      return;
    }
    wire::ListsPush push;
    push.set_pull_id(aPull.pull_id());
    push.set_confirmed(m_stale.count(aHost) == 0);
    const std::uint64_t version = push.confirmed() ? m_version : 1;
    push.set_current_version(version);
    if (aPull.have_version() < version) {
      wire::ListsDelta* delta = push.add_deltas();
      delta->set_full(true);
      delta->set_to_version(version);
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
    hooks.sendPush = [](const HostId&, const wire::ListsPush&) {};
    hooks.aliveHosts = [] { return std::vector<HostId>{ HostId("entry") }; };
    hooks.groupLeaders = [](const std::vector<std::string>&) {};
    hooks.controlHostsChanged = [](const std::vector<HostId>&) {};
    hooks.entryHostsChanged = [this](const std::vector<wire::HostRecord>&,
                                     const std::vector<std::size_t>&) {
      ++m_hostsHeard;
    };
    hooks.receivesOutcomes = [] { return true; };
    hooks.self = [] { return std::optional<wire::HostRecord>(); };
    hooks.serverChanged = [](const wire::BackendServerRecord&) {};
    hooks.record = [](const Event&) {};
    return hooks;
  }

  TimePoint m_now;
  std::uint64_t m_version = 1;
  std::set<HostId> m_silent;
  std::set<HostId> m_stale; // cannot vouch for what they hold
  std::map<HostId, int> m_asked;
  int m_hostsHeard = 0;
  std::vector<std::pair<HostId, wire::ListsPull>> m_pulls;
  ListsFollower m_follower;
};

static const HostId kNear("near");
static const HostId kFar("far");

BOOST_AUTO_TEST_CASE(ItStaysWithTheControlHostOfItsDomain)
{
  Follower test;
  test.Run(std::chrono::seconds(2));
  BOOST_TEST(test.m_follower.IsServing());
  BOOST_TEST(test.m_follower.PullsFrom() == kNear);
  test.m_asked.clear();
  test.Run(std::chrono::seconds(5));
  BOOST_TEST(test.m_asked[kFar] == 0);
  BOOST_TEST(test.m_asked[kNear] >= 9);
}

// The near control host was cut off from the others and went on answering:
// entry hosts that stayed with it missed changes for seconds.
BOOST_AUTO_TEST_CASE(AControlHostThatCannotVouchIsLeftAtOnce)
{
  Follower test;
  test.Run(std::chrono::seconds(2));
  test.m_stale.insert(kNear);
  test.m_version = 2;
  test.Run(std::chrono::milliseconds(1200));
  BOOST_TEST(test.m_follower.Current().Version().Value() == 2u);
  test.m_stale.clear();
  test.Run(std::chrono::seconds(6));
  BOOST_TEST(test.m_follower.PullsFrom() == kNear);
}

BOOST_AUTO_TEST_CASE(ASilentControlHostIsLeft)
{
  Follower test;
  test.Run(std::chrono::seconds(2));
  test.m_silent.insert(kNear);
  test.m_version = 2;
  test.Run(std::chrono::milliseconds(1500));
  BOOST_TEST(test.m_follower.Current().Version().Value() == 2u);
}

BOOST_AUTO_TEST_CASE(WithoutAnyVoucherItAsksNoMoreOftenThanItsIntervals)
{
  Follower test;
  test.Run(std::chrono::seconds(2));
  test.m_stale = { kNear, kFar };
  test.m_asked.clear();
  test.Run(std::chrono::seconds(5));
  // The one that it pulls from and one other in each of ten intervals, and each
  // of them once more when an avoidance ends.
  BOOST_TEST(test.m_asked[kNear] + test.m_asked[kFar] <= 24);
}

BOOST_AUTO_TEST_CASE(OnlyTheControlHostThatIsPulledFromTellsOfEntryHosts)
{
  Follower test;
  test.Run(std::chrono::seconds(2));
  BOOST_REQUIRE(test.m_follower.PullsFrom() == kNear);
  wire::ListsPush push;
  push.set_has_hosts(true);
  test.m_hostsHeard = 0;
  test.m_follower.OnPush(kFar, push, test.m_now);
  BOOST_TEST(test.m_hostsHeard == 0);
  test.m_follower.OnPush(kNear, push, test.m_now);
  BOOST_TEST(test.m_hostsHeard == 1);
}

} // namespace fuchsiaramp

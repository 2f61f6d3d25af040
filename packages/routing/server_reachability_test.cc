#define BOOST_TEST_MODULE server_reachability
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/server_reachability.h"

namespace fuchsiaramp {

// A host before ten servers of service "a" and two of service "b".
class ReachabilityFixture
{
public:
  ReachabilityFixture()
    : m_now(FromMicros(1'000'000))
    , m_reachability(Hooks(), Random(5))
  {
    for (int i = 0; i < 12; ++i) {
      const ServiceName service(i < 10 ? "a" : "b");
      m_servers.push_back({ service, "server-" + std::to_string(i) });
    }
  }

  ServerReachabilityHooks Hooks()
  {
    ServerReachabilityHooks hooks;
    hooks.servers = [this] { return m_servers; };
    hooks.startProbe = [this](ProbeId aProbe, const std::string& aAddress) {
      m_started.emplace_back(aProbe, aAddress);
    };
    hooks.changed = [this] { ++m_changes; };
    return hooks;
  }

  // Requests to aCount servers fail to connect.
  void FailRequests(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      m_reachability.OnUnreachable(
        BackendServerId("server-" + std::to_string(i)), m_now, m_now);
    }
  }

  // Ends the running probes, of which those to m_reachable connect.
  std::size_t EndProbes()
  {
    std::vector<std::pair<ProbeId, std::string>> started;
    started.swap(m_started);
    for (const auto& [probe, address] : started) {
      m_reachability.OnProbeEnd(probe, m_reachable.count(address) != 0, m_now);
    }
    return started.size();
  }

  void Advance(Duration aSpan)
  {
    m_now += aSpan;
    m_reachability.Tick(m_now);
  }

  TimePoint m_now;
  std::vector<ProbeTarget> m_servers;
  std::set<std::string> m_reachable;
  std::vector<std::pair<ProbeId, std::string>> m_started;
  int m_changes = 0;
  ServerReachability m_reachability;
};

static constexpr Duration kLongPause = std::chrono::seconds(1);

BOOST_AUTO_TEST_CASE(AHostThatReachesNoServerOfAnyServiceIsCutOff)
{
  ReachabilityFixture test;
  test.FailRequests(3);
  BOOST_TEST(!test.m_reachability.IsCutOff());
  BOOST_TEST(test.EndProbes() == 8u);
  BOOST_TEST(test.m_reachability.IsCutOff());
  BOOST_TEST(test.m_changes == 1);
}

BOOST_AUTO_TEST_CASE(TwoUnreachableServersRaiseNoSuspicion)
{
  ReachabilityFixture test;
  test.FailRequests(2);
  test.FailRequests(2);
  BOOST_TEST(test.EndProbes() == 0u);
}

BOOST_AUTO_TEST_CASE(AHostThatIsCutOffFromOneServiceOnlyStaysInUse)
{
  ReachabilityFixture test;
  test.m_reachable = { "server-10", "server-11" };
  test.FailRequests(10);
  test.EndProbes();
  BOOST_TEST(!test.m_reachability.IsCutOff());
}

BOOST_AUTO_TEST_CASE(FailuresBeforeAnEstablishedConnectionDoNotCount)
{
  ReachabilityFixture test;
  test.FailRequests(2);
  test.m_now += std::chrono::milliseconds(10);
  test.m_reachability.OnConnected(test.m_now);
  test.m_now += std::chrono::milliseconds(10);
  test.FailRequests(2);
  BOOST_TEST(test.EndProbes() == 0u);
}

BOOST_AUTO_TEST_CASE(FailuresThatLieSecondsApartDoNotAddUp)
{
  ReachabilityFixture test;
  for (int i = 0; i < 6; ++i) {
    test.m_reachability.OnUnreachable(
      BackendServerId(std::to_string(i)), test.m_now, test.m_now);
    test.Advance(std::chrono::seconds(3));
  }
  BOOST_TEST(test.EndProbes() == 0u);
}

BOOST_AUTO_TEST_CASE(OneConnectionEndsTheCut)
{
  ReachabilityFixture test;
  test.FailRequests(3);
  test.EndProbes();
  for (int i = 0; i < 5; ++i) {
    test.Advance(kLongPause);
    BOOST_TEST(test.EndProbes() == 3u);
    BOOST_TEST(test.m_reachability.IsCutOff());
  }
  test.m_reachable = { "server-0", "server-1", "server-2",  "server-3",
                       "server-4", "server-5", "server-6",  "server-7",
                       "server-8", "server-9", "server-10", "server-11" };
  test.Advance(kLongPause);
  test.EndProbes();
  BOOST_TEST(!test.m_reachability.IsCutOff());
  BOOST_TEST(test.m_changes == 2);
  test.Advance(kLongPause);
  BOOST_TEST(test.EndProbes() == 0u);
}

BOOST_AUTO_TEST_CASE(AnIdleHostChecksItselfWhenAPeerIsCutOff)
{
  ReachabilityFixture test;
  test.m_reachability.OnPeerCutOff(test.m_now);
  test.Advance(kLongPause);
  test.EndProbes();
  BOOST_TEST(test.m_reachability.IsCutOff());
}

BOOST_AUTO_TEST_CASE(FewServersProveNothingAboutTheHost)
{
  ReachabilityFixture test;
  test.m_servers.resize(2);
  test.FailRequests(3);
  test.EndProbes();
  BOOST_TEST(!test.m_reachability.IsCutOff());
}

} // namespace fuchsiaramp

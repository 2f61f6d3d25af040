#define BOOST_TEST_MODULE outlier_detector
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "routing/outlier_detector.h"

namespace fuchsiaramp {

class OutlierDetectorFixture
{
public:
  OutlierDetectorFixture()
    : m_detector(OutlierDetectorOptions(), [this](const Event& aEvent) {
      m_events.push_back(aEvent.Name());
    })
  {
    for (int i = 0; i < 10; ++i) {
      m_servers.push_back({ Server(i), 1, 2 });
    }
    m_detector.SetServers(m_servers, m_now);
    // All hosts report good responses from every server for 20 s.
    for (int second = 0; second < 20; ++second) {
      for (const char* host : { "a", "b", "c" }) {
        Report(host, -1, 0, 0);
      }
      m_now += std::chrono::seconds(1);
    }
  }

  static BackendServerId Server(int aIndex)
  {
    return BackendServerId("s" + std::to_string(aIndex));
  }

  // Reports the given counts for aServer and four good responses from each of
  // the other servers.
  void Report(const std::string& aHost,
              int aServer,
              double aBad,
              double aGood,
              bool aBroken = false)
  {
    std::vector<ReportedCounts> counts;
    for (int i = 0; i < 10; ++i) {
      OutcomeCounts outcome{ 4.0, 0.0, 0.0 };
      if (i == aServer) {
        outcome = { aBad + aGood, aBad, 0.0 };
      }
      counts.push_back({ Server(i),
                         m_servers[static_cast<std::size_t>(i)].incarnation,
                         outcome,
                         aBroken && i == aServer });
    }
    m_detector.OnReport(
      { HostId(aHost), Region(aHost == "c" ? "r2" : "r1") }, counts, m_now);
  }

  HealthState StateOf(int aServer)
  {
    for (const ServerHealth& health : m_detector.RestrictedServers(m_now)) {
      if (health.id == Server(aServer)) {
        return health.state;
      }
    }
    return HealthState::kInUse;
  }

  std::size_t EjectedCount()
  {
    const auto all = m_detector.RestrictedServers(m_now);
    return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [](const ServerHealth& aHealth) {
        return aHealth.state == HealthState::kEjected;
      }));
  }

  void Advance(Duration aDuration)
  {
    m_now += aDuration;
    m_detector.Tick(m_now);
  }

  std::vector<std::string> m_events;
  TimePoint m_now = FromMicros(1'000'000'000);
  OutlierDetector m_detector;
  std::vector<MonitoredServer> m_servers;
};

BOOST_FIXTURE_TEST_CASE(EjectsServerThatFailsForSeveralHosts,
                        OutlierDetectorFixture)
{
  Report("a", 3, 1, 0);
  Report("b", 3, 1, 0);
  Report("c", 3, 1, 0);
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  BOOST_TEST(EjectedCount() == 1u);
}

BOOST_FIXTURE_TEST_CASE(DoesNotEjectOnPathFaultOfOneHost,
                        OutlierDetectorFixture)
{
  Report("a", 3, 6, 0);
  BOOST_TEST((StateOf(3) == HealthState::kInUse));
  Report("b", 3, 0, 12);
  Report("c", 3, 0, 12);
  Report("a", 3, 3, 0);
  BOOST_TEST((StateOf(3) == HealthState::kInUse));
  BOOST_TEST(
    (std::count(m_events.begin(), m_events.end(), "path_trouble") > 0));
}

BOOST_FIXTURE_TEST_CASE(DoesNotEjectOnFaultOfWholeService,
                        OutlierDetectorFixture)
{
  for (int round = 0; round < 20; ++round) {
    for (const char* host : { "a", "b", "c" }) {
      std::vector<ReportedCounts> counts;
      counts.reserve(10);
      for (int i = 0; i < 10; ++i) {
        counts.push_back({ Server(i), 1, { 4.0, 2.0, 0.0 }, false });
      }
      m_detector.OnReport({ HostId(host), Region("r1") }, counts, m_now);
    }
    Advance(std::chrono::milliseconds(200));
  }
  BOOST_TEST(EjectedCount() == 0u);
}

BOOST_FIXTURE_TEST_CASE(HostsThatReachNoServerDoNotKeepSoundServersOutOfUse,
                        OutlierDetectorFixture)
{
  for (int server = 0; server < 3; ++server) {
    Report("a", server, 2, 0);
    Report("c", server, 2, 0);
  }
  BOOST_TEST(EjectedCount() == 3u);
  Advance(std::chrono::seconds(2));
  m_detector.SetCutOffReporters({ HostId("a"), HostId("c") }, m_now);
  Advance(std::chrono::milliseconds(20));
  BOOST_TEST(m_detector.RestrictedServers(m_now).empty());
  for (int server = 0; server < 3; ++server) {
    Report("a", server, 6, 0);
    Report("c", server, 6, 0);
  }
  BOOST_TEST(m_detector.RestrictedServers(m_now).empty());
  // Back in touch, they are heard again.
  m_detector.SetCutOffReporters({}, m_now);
  Report("a", 3, 2, 0);
  Report("c", 3, 2, 0);
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
}

BOOST_FIXTURE_TEST_CASE(AHostThatReachesNoServerFreesNoServerThatIsSick,
                        OutlierDetectorFixture)
{
  // The others see it fail, too.
  Report("a", 3, 1, 0);
  Report("b", 3, 3, 0);
  Report("c", 3, 3, 0);
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  m_detector.SetCutOffReporters({ HostId("a") }, m_now);
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  // Long before the host lost the servers.
  Advance(std::chrono::seconds(6));
  m_detector.SetCutOffReporters({ HostId("a"), HostId("b"), HostId("c") },
                                m_now);
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
}

BOOST_FIXTURE_TEST_CASE(KeepsFloorWhenServersLeave, OutlierDetectorFixture)
{
  for (int server = 0; server < 8; ++server) {
    for (int i = 0; i < 4; ++i) {
      for (const char* host : { "a", "b", "c" }) {
        Report(host, server, 4, 0);
      }
    }
  }
  BOOST_TEST(EjectedCount() == 4u); // of 10, with a floor of 0.6
  m_servers.resize(5);
  m_detector.SetServers(m_servers, m_now);
  BOOST_TEST(EjectedCount() <= 2u);
}

BOOST_FIXTURE_TEST_CASE(OneCrashCountsAsOneFailure, OutlierDetectorFixture)
{
  for (const char* host : { "a", "b", "c" }) {
    Report(host, 3, 0, 0, true);
  }
  BOOST_TEST((StateOf(3) == HealthState::kInUse));
}

BOOST_FIXTURE_TEST_CASE(NewIncarnationStartsWithoutHistory,
                        OutlierDetectorFixture)
{
  for (const char* host : { "a", "b", "c" }) {
    Report(host, 3, 2, 0);
  }
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  m_servers[3].incarnation = 2;
  m_detector.SetServers(m_servers, m_now);
  BOOST_TEST((StateOf(3) == HealthState::kInUse));
}

BOOST_FIXTURE_TEST_CASE(
  ReturnsThroughTrialAndRampAndIsEjectedLongerWhenFlapping,
  OutlierDetectorFixture)
{
  const auto eject = [this] {
    for (int i = 0; i < 3; ++i) {
      for (const char* host : { "a", "b", "c" }) {
        Report(host, 3, 3, 0);
      }
    }
  };
  eject();
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  Advance(std::chrono::seconds(9));
  BOOST_TEST((StateOf(3) == HealthState::kTrial));
  Report("a", 3, 0, 12);
  BOOST_TEST((StateOf(3) == HealthState::kRamp));
  eject();
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  Advance(std::chrono::seconds(9));
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
  Advance(std::chrono::seconds(9));
  BOOST_TEST((StateOf(3) == HealthState::kTrial));
  Report("b", 3, 1, 0);
  BOOST_TEST((StateOf(3) == HealthState::kEjected));
}

} // namespace fuchsiaramp

#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>

#include "routing/quarantine.h"

namespace fuchsiaramp {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static const Fingerprint kRequest(7);

struct QuarantineTest
{
  // A run that took 100 ms broke at the server.
  bool Crash(const std::string& aServer, Fingerprint aRequest = kRequest)
  {
    return m_quarantine.OnBroken(
      aRequest,
      { BackendServerId(aServer), m_now - milliseconds(100), true },
      m_now);
  }
  bool IsQuarantined() const
  {
    return m_quarantine.IsQuarantined(kRequest, m_now);
  }
  void CrashThree()
  {
    for (const char* server : { "a", "b", "c" }) {
      Crash(server);
      m_now += seconds(1);
    }
  }

  Quarantine m_quarantine;
  TimePoint m_now = FromMicros(1'000'000'000);
};

BOOST_FIXTURE_TEST_CASE(CrashesOfThreeServersQuarantineARequest, QuarantineTest)
{
  BOOST_TEST(!Crash("a"));
  BOOST_TEST(!Crash("b"));
  BOOST_TEST(!IsQuarantined());
  BOOST_TEST(Crash("c"));
  BOOST_TEST(IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(OneServerThatKeepsCrashingIsAtFaultItself,
                        QuarantineTest)
{
  for (int i = 0; i < 10; ++i) {
    Crash("a");
    m_now += seconds(5);
  }
  BOOST_TEST(!IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(ThirdCrashOfTwoServersQuarantinesARequest,
                        QuarantineTest)
{
  Crash("a");
  m_now += seconds(2);
  Crash("b");
  m_now += seconds(2);
  BOOST_TEST(Crash("a"));
}

BOOST_FIXTURE_TEST_CASE(RunsThatOneCrashBreaksCountOnce, QuarantineTest)
{
  Crash("a");
  Crash("b");
  m_now += milliseconds(300);
  // Other hosts report the same crashes a little later.
  Crash("a");
  Crash("b");
  BOOST_TEST(!IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(ASuccessBetweenCrashesClearsTheRequest, QuarantineTest)
{
  for (const char* server : { "a", "b", "c", "d", "e" }) {
    Crash(server);
    m_now += milliseconds(10);
    m_quarantine.OnSuccess(kRequest, m_now);
    m_now += milliseconds(200);
  }
  BOOST_TEST(!IsQuarantined());
  BOOST_TEST(m_quarantine.size() == 0u);
}

BOOST_FIXTURE_TEST_CASE(CrashesOfManyServersAtOnceDoNotBlameAServedRequest,
                        QuarantineTest)
{
  m_quarantine.OnSuccess(kRequest, m_now - milliseconds(20));
  for (const char* server : { "a", "b", "c", "d", "e" }) {
    BOOST_TEST(!Crash(server));
  }
  BOOST_TEST(!IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(SuccessesBeforeTheCrashesDoNotProtectAPoisonRequest,
                        QuarantineTest)
{
  m_quarantine.OnSuccess(kRequest, m_now - seconds(1));
  CrashThree();
  BOOST_TEST(IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(OtherRequestsOfACrashedServerAreNotBlamed,
                        QuarantineTest)
{
  std::uint64_t other = 100;
  for (const char* server : { "a", "b", "c" }) {
    Crash(server);
    Crash(server, Fingerprint(++other));
    m_now += seconds(1);
  }
  BOOST_TEST(IsQuarantined());
  for (std::uint64_t request = 101; request <= other; ++request) {
    BOOST_TEST(!m_quarantine.IsQuarantined(Fingerprint(request), m_now));
  }
}

BOOST_FIXTURE_TEST_CASE(ASuccessEndsAQuarantine, QuarantineTest)
{
  CrashThree();
  BOOST_TEST(m_quarantine.OnSuccess(kRequest, m_now));
  BOOST_TEST(!IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(ASuccessAtAnotherHostEndsAQuarantine, QuarantineTest)
{
  CrashThree();
  BOOST_TEST(m_quarantine.OnSuccessElsewhere(kRequest, m_now));
  BOOST_TEST(!IsQuarantined());
  BOOST_TEST(!Crash("d"));
}

BOOST_FIXTURE_TEST_CASE(AnOlderSuccessElsewhereDoesNotEndAQuarantine,
                        QuarantineTest)
{
  const TimePoint before = m_now - seconds(1);
  CrashThree();
  m_quarantine.OnSuccessElsewhere(kRequest, before);
  BOOST_TEST(IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(ASuccessRefutesAQuarantineOfAnotherHost, QuarantineTest)
{
  m_quarantine.OnSuccess(kRequest, m_now);
  const TimePoint until = m_now + minutes(1);
  BOOST_TEST(!m_quarantine.Adopt(kRequest, m_now - seconds(1), until));
  BOOST_TEST(!IsQuarantined());
  BOOST_TEST(m_quarantine.Adopt(kRequest, m_now + seconds(1), until));
  BOOST_TEST(IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(OtherHostsAreToldOnlyIfTheyMayHoldEvidence,
                        QuarantineTest)
{
  BOOST_TEST(!m_quarantine.OnSuccess(kRequest, m_now));
  m_now += seconds(1);
  Crash("a");
  BOOST_TEST(m_quarantine.OnSuccess(kRequest, m_now));
  BOOST_TEST(!m_quarantine.OnSuccess(kRequest, m_now));
}

BOOST_FIXTURE_TEST_CASE(OneCrashAfterAQuarantineRenewsIt, QuarantineTest)
{
  CrashThree();
  m_now += minutes(2);
  m_quarantine.Tick(m_now);
  BOOST_TEST(!IsQuarantined());
  BOOST_TEST(Crash("d"));
  BOOST_TEST(IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(CrashesThatAreFarApartAreForgotten, QuarantineTest)
{
  for (const char* server : { "a", "b", "c", "d" }) {
    Crash(server);
    m_now += minutes(2);
    m_quarantine.Tick(m_now);
  }
  BOOST_TEST(!IsQuarantined());
}

BOOST_FIXTURE_TEST_CASE(AClosedConnectionIsACrashIfTheServerRefusesTheNext,
                        QuarantineTest)
{
  const SuspectedRun run{ ServiceName("s"),
                          kRequest,
                          { BackendServerId("a"), m_now } };
  m_quarantine.OnClosed(run, m_now);
  BOOST_TEST(m_quarantine.TakeClosed(BackendServerId("b"), m_now).empty());
  const auto broken = m_quarantine.TakeClosed(BackendServerId("a"), m_now);
  BOOST_REQUIRE(broken.size() == 1u);
  BOOST_TEST(broken[0].fingerprint == kRequest);
  BOOST_TEST(m_quarantine.TakeClosed(BackendServerId("a"), m_now).empty());
  m_quarantine.OnClosed(run, m_now);
  m_now += seconds(3);
  BOOST_TEST(m_quarantine.TakeClosed(BackendServerId("a"), m_now).empty());
}

} // namespace fuchsiaramp

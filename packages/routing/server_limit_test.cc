#define BOOST_TEST_MODULE server_limit
#include <boost/test/unit_test.hpp>

#include <vector>

#include "routing/server_limit.h"

namespace fuchsiaramp {

static constexpr Duration kStep = std::chrono::milliseconds(10);

class LimitFixture
{
public:
  // Sends whenever it is permitted; returns the number of requests.
  std::size_t SendFor(ServerLimit& aLimit, Duration aSpan)
  {
    std::size_t sent = 0;
    for (const TimePoint end = m_now + aSpan; m_now < end; m_now += kStep) {
      while (aLimit.MaySend(m_now)) {
        aLimit.OnSent(m_now);
        ++sent;
      }
    }
    return sent;
  }

  // The limits of aHosts hosts that all know the same.
  std::vector<ServerLimit> Fleet(std::size_t aHosts, double aRate)
  {
    std::vector<ServerLimit> limits(aHosts);
    for (std::size_t i = 0; i < aHosts; ++i) {
      limits[i].OnNamed({ aRate }, m_now);
      limits[i].SetRank(i, aHosts, m_now);
    }
    return limits;
  }

  std::size_t SendForAll(std::vector<ServerLimit>& aLimits, Duration aSpan)
  {
    const TimePoint start = m_now;
    std::size_t sent = 0;
    for (ServerLimit& limit : aLimits) {
      m_now = start;
      sent += SendFor(limit, aSpan);
    }
    return sent;
  }

  TimePoint m_now = FromMicros(1'000'000);
};

BOOST_FIXTURE_TEST_CASE(NothingIsRestrictedWithoutANotice, LimitFixture)
{
  ServerLimit limit;
  BOOST_TEST(!limit.IsInForce(m_now));
  BOOST_TEST(!limit.OnNotNamed(m_now, m_now));
  BOOST_TEST(limit.MaySend(m_now));
}

BOOST_FIXTURE_TEST_CASE(TheSumOfAllHostsIsTheRateFromTheFirstSecondOn,
                        LimitFixture)
{
  for (const double rate : { 0.2, 1.0, 1.4, 3.0, 12.0, 200.0 }) {
    for (const std::size_t hosts : { 1U, 5U, 30U, 450U }) {
      std::vector<ServerLimit> fleet = Fleet(hosts, rate);
      BOOST_TEST_CONTEXT("rate " << rate << " hosts " << hosts)
      {
        for (int window = 0; window < 2; ++window) {
          const auto sent =
            static_cast<double>(SendForAll(fleet, std::chrono::seconds(4)));
          BOOST_TEST(sent <= 1.5 * rate * 4 + 5);
          BOOST_TEST(sent >= (window == 0 ? 0.7 : 0.95) * rate * 4 - 1);
        }
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(AHostThatTakesOverWaitsForItsFirstRequest, LimitFixture)
{
  ServerLimit limit;
  limit.OnNamed({ 1.0 }, m_now);
  limit.SetRank(1, 5, m_now);
  BOOST_TEST(SendFor(limit, std::chrono::seconds(5)) == 0u);
  BOOST_TEST((limit.NextAt(m_now) == kNever));
  limit.SetRank(0, 5, m_now);
  BOOST_TEST(!limit.MaySend(m_now));
  BOOST_TEST((limit.NextAt(m_now) == m_now + std::chrono::seconds(1)));
}

BOOST_FIXTURE_TEST_CASE(AFallingRateHoldsAtOnce, LimitFixture)
{
  std::vector<ServerLimit> fleet = Fleet(10, 20.0);
  SendForAll(fleet, std::chrono::seconds(4));
  for (ServerLimit& limit : fleet) {
    BOOST_TEST(limit.OnNamed({ 1.0 }, m_now));
  }
  BOOST_TEST(SendForAll(fleet, std::chrono::seconds(4)) <= 11u);
}

BOOST_FIXTURE_TEST_CASE(ZeroLeavesOneTrialInTenSeconds, LimitFixture)
{
  std::vector<ServerLimit> fleet = Fleet(30, 0.0);
  BOOST_TEST(SendForAll(fleet, std::chrono::seconds(10)) <= 1u);
  for (ServerLimit& limit : fleet) {
    limit.OnNamed({ 0.0 }, m_now);
  }
  BOOST_TEST(SendForAll(fleet, std::chrono::seconds(10)) == 1u);
}

BOOST_FIXTURE_TEST_CASE(AnEnormousRateRestrictsNobodyAndEndsALimit,
                        LimitFixture)
{
  ServerLimit limit;
  BOOST_TEST(!limit.OnNamed({ 1e9 }, m_now));
  BOOST_TEST(!limit.IsInForce(m_now));
  limit.OnNamed({ 1.0 }, m_now);
  BOOST_TEST(limit.OnNamed({ 1e9 }, m_now));
  m_now += std::chrono::seconds(6);
  BOOST_TEST(!limit.IsInForce(m_now));
}

BOOST_FIXTURE_TEST_CASE(AResponseThatWasOvertakenDoesNotEndTheLimit,
                        LimitFixture)
{
  ServerLimit limit;
  const TimePoint sentAt = m_now;
  m_now += std::chrono::milliseconds(100);
  limit.OnNamed({ 1.0 }, m_now);
  m_now += std::chrono::milliseconds(100);
  BOOST_TEST(!limit.OnNotNamed(sentAt, m_now));
  const TimePoint later = m_now;
  m_now += std::chrono::milliseconds(100);
  BOOST_TEST(limit.OnNotNamed(later, m_now));
  BOOST_TEST(!limit.OnNotNamed(later, m_now));
}

BOOST_FIXTURE_TEST_CASE(AfterTheEndTheLoadReturnsStepByStep, LimitFixture)
{
  std::vector<ServerLimit> fleet = Fleet(30, 1.0);
  SendForAll(fleet, std::chrono::seconds(4));
  for (ServerLimit& limit : fleet) {
    BOOST_TEST(limit.OnEnded(m_now));
  }
  std::size_t before = 3;
  for (int second = 0; second < 5; ++second) {
    const std::size_t sent = SendForAll(fleet, std::chrono::seconds(1));
    BOOST_TEST(sent <= 3 * before);
    BOOST_TEST(sent >= 1u);
    before = std::max<std::size_t>(sent, 3);
  }
  m_now += std::chrono::seconds(2);
  BOOST_TEST(!fleet.back().IsInForce(m_now));
}

BOOST_FIXTURE_TEST_CASE(ALimitThatNobodyConfirmsExpires, LimitFixture)
{
  ServerLimit limit;
  limit.OnNamed({ 1.0 }, m_now);
  limit.SetRank(std::nullopt, 5, m_now);
  m_now += std::chrono::seconds(11);
  BOOST_TEST(limit.TotalRate(m_now).perSecond == 1.0);
  m_now += std::chrono::seconds(3);
  BOOST_TEST(limit.TotalRate(m_now).perSecond > 1.0);
  m_now += std::chrono::seconds(6);
  BOOST_TEST(!limit.IsInForce(m_now));
  // A limit that is named again is a new one.
  BOOST_TEST(limit.OnNamed({ 1.0 }, m_now));
  BOOST_TEST((limit.NamedSince() == m_now));
}

} // namespace fuchsiaramp

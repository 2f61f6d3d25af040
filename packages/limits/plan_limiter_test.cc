#define BOOST_TEST_MODULE plan_limiter
#include <boost/test/unit_test.hpp>

#include <memory>

#include "limits/plan_limiter.h"

namespace fuchsiaramp {

// Limiters that exchange messages without delay. A partition separates them
// into two groups.
class Limiters
{
public:
  explicit Limiters(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      m_hosts.push_back(HostId("entry-" + std::to_string(i)));
    }
    for (int i = 0; i < aCount; ++i) {
      PlanLimiterHooks hooks;
      const HostId self = m_hosts[static_cast<std::size_t>(i)];
      hooks.send = [this, i, self](const HostId& aTo,
                                   const wire::LimitReport& aReport) {
        for (std::size_t j = 0; j < m_hosts.size(); ++j) {
          if (m_hosts[j] == aTo && AreConnected(i, static_cast<int>(j))) {
            m_limiters[j]->OnReport(self, aReport, m_now);
          }
        }
      };
      hooks.aliveHosts = [this, i] {
        std::vector<HostId> alive;
        for (std::size_t j = 0; j < m_hosts.size(); ++j) {
          if (AreConnected(i, static_cast<int>(j))) {
            alive.push_back(m_hosts[j]);
          }
        }
        return alive;
      };
      m_limiters.push_back(std::make_unique<PlanLimiter>(self, hooks, m_now));
    }
  }

  // Sends aRates requests per second to the respective hosts. Returns the rate
  // of accepted requests over all hosts.
  double AcceptedRate(const std::vector<int>& aRates, int aSeconds)
  {
    int accepted = 0;
    for (int tick = 0; tick < aSeconds * 100; ++tick) {
      m_now += std::chrono::milliseconds(10);
      for (std::size_t i = 0; i < m_limiters.size(); ++i) {
        for (int j = tick * aRates[i] / 100; j < (tick + 1) * aRates[i] / 100;
             ++j) {
          accepted +=
            m_limiters[i]->TryTake("customer/a", 100.0, m_now) ? 1 : 0;
        }
        m_limiters[i]->Tick(m_now);
      }
    }
    return static_cast<double>(accepted) / aSeconds;
  }

  bool AreConnected(int aLeft, int aRight) const
  {
    return !m_partitioned || aLeft % 2 == aRight % 2;
  }

  bool m_partitioned = false;
  TimePoint m_now = FromMicros(1'000'000);
  std::vector<HostId> m_hosts;
  std::vector<std::unique_ptr<PlanLimiter>> m_limiters;
};

BOOST_AUTO_TEST_CASE(SharesFollowDemand)
{
  Limiters limiters(4);
  limiters.AcceptedRate({ 1000, 0, 0, 0 }, 10);
  const double accepted = limiters.AcceptedRate({ 1000, 0, 0, 0 }, 10);
  BOOST_TEST(accepted > 85.0);
  BOOST_TEST(accepted < 101.0);
}

BOOST_AUTO_TEST_CASE(LimitHoldsAcrossAllHosts)
{
  Limiters limiters(4);
  limiters.AcceptedRate({ 200, 300, 50, 400 }, 10);
  const double accepted = limiters.AcceptedRate({ 200, 300, 50, 400 }, 10);
  BOOST_TEST(accepted > 85.0);
  BOOST_TEST(accepted < 101.0);
}

BOOST_AUTO_TEST_CASE(EachSideOfPartitionAllocatesAtMostTheWholeLimit)
{
  Limiters limiters(4);
  limiters.AcceptedRate({ 200, 200, 200, 200 }, 10);
  limiters.m_partitioned = true;
  limiters.AcceptedRate({ 200, 200, 200, 200 }, 10);
  BOOST_TEST(limiters.AcceptedRate({ 200, 200, 200, 200 }, 10) < 201.0);
}

BOOST_AUTO_TEST_CASE(NextAtReturnsTimeOfNextToken)
{
  Limiters limiters(1);
  PlanLimiter& limiter = *limiters.m_limiters[0];
  while (limiter.TryTake("route/x", 2.0, limiters.m_now)) {
  }
  const TimePoint next = limiter.NextAt("route/x", limiters.m_now);
  BOOST_TEST(ToSeconds(next - limiters.m_now) == 0.5,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(limiter.TryTake("none", 0.0, limiters.m_now));
}

} // namespace fuchsiaramp

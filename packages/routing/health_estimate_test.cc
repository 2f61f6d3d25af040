#define BOOST_TEST_MODULE health_estimate
#include <boost/test/unit_test.hpp>

#include "routing/health_estimate.h"

namespace fuchsiaramp {

static const TimePoint kStart = FromMicros(1'000'000);

BOOST_AUTO_TEST_CASE(OneFailureIsEnoughToAvoidAServer)
{
  HealthEstimate belief;
  BOOST_TEST(belief.UnhealthyProbability(kStart) < 0.1);
  belief.OnFailure(kStart);
  BOOST_TEST(belief.UnhealthyProbability(kStart) > 0.5);
}

BOOST_AUTO_TEST_CASE(SuccessesClearIt)
{
  HealthEstimate belief;
  belief.OnFailure(kStart);
  belief.OnSuccess(kStart);
  belief.OnSuccess(kStart);
  BOOST_TEST(belief.UnhealthyProbability(kStart) < 0.1);
}

BOOST_AUTO_TEST_CASE(OneSuccessDoesNotClearRepeatedFailures)
{
  HealthEstimate belief;
  for (int i = 0; i < 4; ++i) {
    belief.OnFailure(kStart);
  }
  belief.OnSuccess(kStart);
  BOOST_TEST(belief.UnhealthyProbability(kStart) > 0.5);
}

BOOST_AUTO_TEST_CASE(TimeBringsItBack)
{
  HealthEstimate belief;
  belief.OnFailure(kStart);
  BOOST_TEST(belief.UnhealthyProbability(kStart + std::chrono::seconds(2)) >
             0.4);
  BOOST_TEST(belief.UnhealthyProbability(kStart + std::chrono::seconds(20)) <
             0.15);
}

BOOST_AUTO_TEST_CASE(ADelayIsWeakerThanAFailure)
{
  HealthEstimate belief;
  belief.OnDelay(kStart);
  BOOST_TEST(belief.UnhealthyProbability(kStart) < 0.5);
  belief.OnDelay(kStart);
  BOOST_TEST(belief.UnhealthyProbability(kStart) > 0.5);
}

} // namespace fuchsiaramp

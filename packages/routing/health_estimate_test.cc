#define BOOST_TEST_MODULE health_estimate
#include <boost/test/unit_test.hpp>

#include "routing/health_estimate.h"

namespace fuchsiaramp {

static const TimePoint kStart = FromMicros(1'000'000);

BOOST_AUTO_TEST_CASE(OneFailureMakesUnhealthyLikely)
{
  HealthEstimate estimate;
  BOOST_TEST(estimate.UnhealthyProbability(kStart) < 0.1);
  estimate.OnFailure(kStart);
  BOOST_TEST(estimate.UnhealthyProbability(kStart) > 0.5);
}

BOOST_AUTO_TEST_CASE(SuccessesAfterFailureRestoreEstimate)
{
  HealthEstimate estimate;
  estimate.OnFailure(kStart);
  estimate.OnSuccess(kStart);
  estimate.OnSuccess(kStart);
  BOOST_TEST(estimate.UnhealthyProbability(kStart) < 0.1);
}

BOOST_AUTO_TEST_CASE(OneSuccessDoesNotOutweighRepeatedFailures)
{
  HealthEstimate estimate;
  for (int i = 0; i < 4; ++i) {
    estimate.OnFailure(kStart);
  }
  estimate.OnSuccess(kStart);
  BOOST_TEST(estimate.UnhealthyProbability(kStart) > 0.5);
}

BOOST_AUTO_TEST_CASE(EstimateDecaysToPrior)
{
  HealthEstimate estimate;
  estimate.OnFailure(kStart);
  BOOST_TEST(estimate.UnhealthyProbability(kStart + std::chrono::seconds(2)) >
             0.4);
  BOOST_TEST(estimate.UnhealthyProbability(kStart + std::chrono::seconds(20)) <
             0.15);
}

BOOST_AUTO_TEST_CASE(DelayIsWeakerEvidenceThanFailure)
{
  HealthEstimate estimate;
  estimate.OnDelay(kStart);
  BOOST_TEST(estimate.UnhealthyProbability(kStart) < 0.5);
  estimate.OnDelay(kStart);
  BOOST_TEST(estimate.UnhealthyProbability(kStart) > 0.5);
}

} // namespace fuchsiaramp

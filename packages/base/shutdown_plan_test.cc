#define BOOST_TEST_MODULE shutdown_plan
#include <boost/test/unit_test.hpp>

#include "base/shutdown_plan.h"

namespace fuchsiaramp {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint kStart = FromMicros(1'000'000);

static ShutdownPlan
BegunPlan(Duration aGracePeriod, Duration aAddressLifetime)
{
  ShutdownPlan plan(aGracePeriod);
  plan.Begin(kStart, kStart + aAddressLifetime);
  return plan;
}

BOOST_AUTO_TEST_CASE(AdmitsAllRequestsBeforeTheStop)
{
  const ShutdownPlan plan{ seconds(6) };
  BOOST_TEST(!plan.HasBegun());
  BOOST_TEST(plan.Admits(kStart + std::chrono::hours(1), kStart));
  BOOST_TEST(!plan.IsClosed(kStart));
}

BOOST_AUTO_TEST_CASE(ServesWhatEndsInTimeWhileCallersHoldTheAddress)
{
  const ShutdownPlan plan = BegunPlan(seconds(6), seconds(4));
  for (Duration at{}; at < seconds(4); at += milliseconds(100)) {
    const TimePoint now = kStart + at;
    BOOST_TEST(plan.Admits(now + milliseconds(1200), now));
  }
}

BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatMayEndAfterTheGracePeriod)
{
  const ShutdownPlan plan = BegunPlan(seconds(6), seconds(4));
  BOOST_TEST(plan.Admits(kStart + seconds(4), kStart));
  BOOST_TEST(!plan.Admits(kStart + seconds(6), kStart));
  BOOST_TEST(
    !plan.Admits(kStart + seconds(3) + seconds(4), kStart + seconds(3)));
}

BOOST_AUTO_TEST_CASE(LeavesTimeToDeliverTheLastResponse)
{
  const ShutdownPlan plan = BegunPlan(seconds(6), seconds(4));
  BOOST_TEST(plan.EndsInTime(kStart + milliseconds(5500)));
  BOOST_TEST(!plan.EndsInTime(kStart + milliseconds(5501)));
  BOOST_TEST((plan.ExitBy() < kStart + seconds(6)));
}

BOOST_AUTO_TEST_CASE(AnswersTheRestWhileThereIsTimeToDeliver)
{
  const ShutdownPlan plan = BegunPlan(seconds(6), seconds(4));
  BOOST_TEST(!plan.IsEnding(kStart + milliseconds(5499)));
  BOOST_TEST(plan.IsEnding(kStart + milliseconds(5500)));
  BOOST_TEST(!ShutdownPlan(seconds(6)).IsEnding(kStart));
}

BOOST_AUTO_TEST_CASE(RefusesAllRequestsOnceNoCallerHoldsTheAddress)
{
  const ShutdownPlan plan = BegunPlan(seconds(6), seconds(4));
  const TimePoint now = kStart + seconds(4);
  BOOST_TEST(plan.IsClosed(now));
  BOOST_TEST(!plan.Admits(now + milliseconds(1), now));
}

BOOST_AUTO_TEST_CASE(ClosesInTimeWhenAddressesLiveLongerThanTheGracePeriod)
{
  const ShutdownPlan plan = BegunPlan(seconds(6), seconds(33));
  BOOST_TEST(!plan.IsClosed(kStart + seconds(5)));
  BOOST_TEST(plan.IsClosed(kStart + milliseconds(5500)));
}

BOOST_AUTO_TEST_CASE(DividesAShortGracePeriod)
{
  const ShutdownPlan plan = BegunPlan(milliseconds(400), seconds(4));
  BOOST_TEST(plan.Admits(kStart + milliseconds(300), kStart));
  BOOST_TEST(!plan.Admits(kStart + milliseconds(301), kStart));
}

BOOST_AUTO_TEST_CASE(ASecondRequestToStopMovesNoDeadline)
{
  ShutdownPlan plan = BegunPlan(seconds(6), seconds(4));
  plan.Begin(kStart + seconds(3), kStart + seconds(9));
  BOOST_TEST(plan.IsClosed(kStart + seconds(4)));
  BOOST_TEST(!plan.EndsInTime(kStart + seconds(6)));
}

// Work that is broken off earlier counts as lost.
BOOST_AUTO_TEST_CASE(BreaksNothingOffBeforeTheLastSixthOfAShortGracePeriod)
{
  for (const Duration grace : { seconds(1), seconds(2), seconds(6) }) {
    const ShutdownPlan plan = BegunPlan(grace, seconds(4));
    BOOST_TEST(!plan.IsEnding(kStart + grace * 5 / 6 - milliseconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(AnswersWhatIsInHandBeforeAHostEndsInAShortGracePeriod)
{
  for (const Duration grace : { milliseconds(400), milliseconds(1000) }) {
    const ShutdownPlan plan = BegunPlan(grace, seconds(4));
    const TimePoint answerBy = plan.AnswerBy(kNever);
    BOOST_TEST(plan.IsEnding(answerBy));
    BOOST_TEST((answerBy < plan.ExitBy()));
    BOOST_TEST((plan.ExitBy() < kStart + grace));
    BOOST_TEST((plan.AnswerBy(kStart) == kStart));
  }
}

// A host that is told no grace period took work until it was killed.
BOOST_AUTO_TEST_CASE(AdmitsOnlyWhatEndsInTheShortestOfTheLikelyGracePeriods)
{
  ShutdownPlan plan(GracePeriod(seconds(5), seconds(65)));
  plan.Begin(kStart, kStart + seconds(4));
  BOOST_TEST(plan.Admits(kStart + milliseconds(4500), kStart));
  BOOST_TEST(!plan.Admits(kStart + milliseconds(4501), kStart));
  BOOST_TEST(plan.IsClosed(kStart + seconds(4)));
}

BOOST_AUTO_TEST_CASE(BreaksNothingOffInTheShortestOfTheLikelyGracePeriods)
{
  ShutdownPlan plan(GracePeriod(seconds(5), seconds(65)));
  plan.Begin(kStart, kStart + seconds(4));
  BOOST_TEST(!plan.IsEnding(kStart + seconds(64)));
  BOOST_TEST((plan.AnswerBy(kStart + seconds(60)) == kStart + seconds(60)));
  BOOST_TEST((plan.ExitBy() > kStart + seconds(64)));
}

} // namespace fuchsiaramp

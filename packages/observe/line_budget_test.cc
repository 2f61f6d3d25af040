#define BOOST_TEST_MODULE line_budget
#include <boost/test/unit_test.hpp>

#include "observe/line_budget.h"

namespace fuchsiaramp {

static const TimePoint kStart = FromMicros(1'000'000);

BOOST_AUTO_TEST_CASE(LinesBeyondTheBudgetAreCounted)
{
  LineBudget budget({ 10.0, 5.0 });
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(budget.TryTake("failed", kStart).value() == 0u);
  }
  for (int i = 0; i < 7; ++i) {
    BOOST_TEST(!budget.TryTake("failed", kStart));
  }
  const TimePoint later = kStart + std::chrono::milliseconds(150);
  BOOST_TEST(budget.TryTake("failed", later).value() == 7u);
  BOOST_TEST(!budget.TryTake("failed", later));
}

BOOST_AUTO_TEST_CASE(OneKindDoesNotTakeTheLinesOfAnother)
{
  LineBudget budget({ 10.0, 1.0 });
  BOOST_TEST(budget.TryTake("failed", kStart).has_value());
  BOOST_TEST(!budget.TryTake("failed", kStart));
  BOOST_TEST(budget.TryTake("ejected", kStart).has_value());
}

BOOST_AUTO_TEST_CASE(ASecondHoldsNoMoreThanRateAndBurst)
{
  LineBudget budget({ 50.0, 200.0 });
  int written = 0;
  for (int i = 0; i < 10'000; ++i) {
    const TimePoint now = kStart + std::chrono::microseconds(100 * i);
    written += budget.TryTake("failed", now) ? 1 : 0;
  }
  BOOST_TEST(written >= 240);
  BOOST_TEST(written <= 250);
}

} // namespace fuchsiaramp

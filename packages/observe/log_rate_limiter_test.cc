#define BOOST_TEST_MODULE log_rate_limiter
#include <boost/test/unit_test.hpp>

#include "observe/log_rate_limiter.h"

namespace fuchsiaramp {

static const TimePoint kStart = FromMicros(1'000'000);

BOOST_AUTO_TEST_CASE(CountsSuppressedLines)
{
  LogRateLimiter limiter({ 10.0, 5.0 });
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(limiter.TryTake("failed", kStart).value() == 0u);
  }
  for (int i = 0; i < 7; ++i) {
    BOOST_TEST(!limiter.TryTake("failed", kStart));
  }
  const TimePoint later = kStart + std::chrono::milliseconds(150);
  BOOST_TEST(limiter.TryTake("failed", later).value() == 7u);
  BOOST_TEST(!limiter.TryTake("failed", later));
}

BOOST_AUTO_TEST_CASE(LimitsEachKindSeparately)
{
  LogRateLimiter limiter({ 10.0, 1.0 });
  BOOST_TEST(limiter.TryTake("failed", kStart).has_value());
  BOOST_TEST(!limiter.TryTake("failed", kStart));
  BOOST_TEST(limiter.TryTake("ejected", kStart).has_value());
}

BOOST_AUTO_TEST_CASE(LinesPerSecondAreLimitedToRateAndBurst)
{
  LogRateLimiter limiter({ 50.0, 200.0 });
  int written = 0;
  for (int i = 0; i < 10'000; ++i) {
    const TimePoint now = kStart + std::chrono::microseconds(100 * i);
    written += limiter.TryTake("failed", now) ? 1 : 0;
  }
  BOOST_TEST(written >= 240);
  BOOST_TEST(written <= 250);
}

} // namespace fuchsiaramp

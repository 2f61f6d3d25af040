#define BOOST_TEST_MODULE request_limits
#include <boost/test/unit_test.hpp>

#include "net/request_limits.h"

namespace fuchsiaramp {

static LimitSettings
Settings64K()
{
  LimitSettings settings;
  settings.requestBodyBytes = 64 << 10;
  settings.headerBytes = 16 << 10;
  settings.headerTimeout = std::chrono::seconds(3);
  settings.idleTimeout = std::chrono::seconds(15);
  return settings;
}

BOOST_AUTO_TEST_CASE(SettingsApplyWhenTheListsHaveNoLimits)
{
  const HttpLimits limits = EffectiveLimits(Settings64K(), {});
  BOOST_TEST(limits.bodyBytes == 64u << 10);
  BOOST_TEST(limits.headerBytes == 16u << 10);
  BOOST_TEST(ToSeconds(limits.headerTimeout) == 3.0);
  BOOST_TEST(ToSeconds(limits.idleTimeout) == 15.0);
}

BOOST_AUTO_TEST_CASE(TimeoutsOfTheListsFitATimer)
{
  wire::RequestLimits lists;
  lists.set_header_timeout_us(INT64_MAX);
  lists.set_idle_timeout_us(INT64_MIN);
  const HttpLimits limits = EffectiveLimits(Settings64K(), lists);
  BOOST_TEST(ToSeconds(limits.headerTimeout) == 86'400.0);
  BOOST_TEST(ToSeconds(limits.idleTimeout) == 15.0);
}

BOOST_AUTO_TEST_CASE(ListsCanLowerSizesAndSetTimeouts)
{
  wire::RequestLimits lists;
  lists.set_body_bytes(1000);
  lists.set_header_bytes(1 << 20);
  lists.set_header_timeout_us(5'000'000);
  lists.set_idle_timeout_us(40'000'000);
  const HttpLimits limits = EffectiveLimits(Settings64K(), lists);
  BOOST_TEST(limits.bodyBytes == 1000u);
  // The settings cap the size, since they reflect the memory of the host.
  BOOST_TEST(limits.headerBytes == 16u << 10);
  BOOST_TEST(ToSeconds(limits.headerTimeout) == 5.0);
  BOOST_TEST(ToSeconds(limits.idleTimeout) == 40.0);
}

} // namespace fuchsiaramp

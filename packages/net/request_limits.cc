#include "net/request_limits.h"

#include <algorithm>

namespace fuchsiaramp {

// Any longer one could overflow the nanoseconds of a timer.
static constexpr Duration kMaxTimeout = std::chrono::hours(24);

static std::uint64_t
CappedBySettings(std::uint64_t aSettings, std::uint64_t aLists)
{
  return aLists == 0 ? aSettings : std::min(aSettings, aLists);
}

static Duration
ListsOrSettings(Duration aSettings, std::int64_t aListsMicros)
{
  return aListsMicros <= 0 ? aSettings
                           : std::min(Duration(aListsMicros), kMaxTimeout);
}

HttpLimits
EffectiveLimits(const LimitSettings& aSettings,
                const wire::RequestLimits& aLists)
{
  HttpLimits limits;
  limits.bodyBytes =
    CappedBySettings(aSettings.requestBodyBytes, aLists.body_bytes());
  limits.headerBytes =
    CappedBySettings(aSettings.headerBytes, aLists.header_bytes());
  limits.headerTimeout =
    ListsOrSettings(aSettings.headerTimeout, aLists.header_timeout_us());
  limits.idleTimeout =
    ListsOrSettings(aSettings.idleTimeout, aLists.idle_timeout_us());
  limits.writeTimeout = aSettings.writeTimeout;
  return limits;
}

} // namespace fuchsiaramp

#include "observe/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace fuchsiaramp {

std::optional<std::uint64_t>
LogRateLimiter::TryTake(const std::string& aKind, TimePoint aNow)
{
  const auto [it, isNew] =
    m_kinds.try_emplace(aKind, Kind{ m_options.burst, aNow, 0 });
  Kind& kind = it->second;
  const double refill = m_options.rate * ToSeconds(aNow - kind.refilledAt);
  kind.tokens = std::min(m_options.burst, kind.tokens + refill);
  kind.refilledAt = aNow;
  if (kind.tokens < 1.0) {
    ++kind.suppressed;
    return std::nullopt;
  }
  kind.tokens -= 1.0;
  return std::exchange(kind.suppressed, 0);
}

} // namespace fuchsiaramp

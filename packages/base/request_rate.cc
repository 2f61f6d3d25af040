#include "base/request_rate.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fuchsiaramp {

// Larger rates mean the same, and this one fits into messages.
static constexpr double kMaxPerSecond = 1e9;

std::optional<RequestRate>
ParseRequestRate(std::string_view aText)
{
  double perSecond = 0.0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, perSecond);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     std::isfinite(perSecond) && perSecond >= 0.0;
  return valid
           ? std::optional(RequestRate{ std::min(perSecond, kMaxPerSecond) })
           : std::nullopt;
}

std::optional<LimitNotice>
ParseLimitNotice(bool aPresent, std::string_view aText)
{
  if (!aPresent) {
    return LimitNotice{};
  }
  const auto rate = ParseRequestRate(aText);
  return rate ? std::optional(LimitNotice{ rate }) : std::nullopt;
}

} // namespace fuchsiaramp

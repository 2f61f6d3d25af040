#include "base/request_rate.h"

#include <charconv>
#include <cmath>

namespace fuchsiaramp {

std::optional<RequestRate>
ParseRequestRate(std::string_view aText)
{
  double perSecond = 0.0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, perSecond);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     std::isfinite(perSecond) && perSecond >= 0.0;
  return valid ? std::optional(RequestRate{ perSecond }) : std::nullopt;
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

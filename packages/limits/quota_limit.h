// The limit of a team over all hosts, and the times that the quota components
// agree on.
//
// Permits are kept as numbers with fractions. On the wire they are multiples of
// a thousandth, rounded down, so that rounding never creates any.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

// Of a team without a burst, one request may still run at a time.
inline constexpr double kMinQuotaBurst = 1.0;

struct QuotaLimit
{
  double rate = 0.0;  // requests per second
  double burst = 0.0; // requests
};

// Returns the limit that the lists give a team. aBurst: 0 if they give none.
inline std::optional<QuotaLimit>
MakeQuotaLimit(double aRate, double aBurst)
{
  if (aRate <= 0.0) {
    return std::nullopt;
  }
  return QuotaLimit{ aRate, std::max(aBurst, kMinQuotaBurst) };
}

// Returns the limit of a team; empty if the lists know no team of this name or
// the team has no limit.
using QuotaLimitHook =
  std::function<std::optional<QuotaLimit>(const TeamName&)>;

// How long a control host may use a share after it sent the report that the
// lease replies to.
inline constexpr Duration kQuotaLeaseLifetime = std::chrono::seconds(3);
inline constexpr Duration kQuotaReportInterval = std::chrono::milliseconds(250);
// How long an entry host may use a permit after it sent the request for it.
inline constexpr Duration kPermitLifetime = std::chrono::milliseconds(500);

// The error of a sum of some values of a thousandth, in thousandths.
inline constexpr double kMilliRounding = 1e-6;

// Rounds down.
inline std::uint64_t
ToMilli(double aValue)
{
  return static_cast<std::uint64_t>(
    std::max(0.0, aValue * 1000.0 + kMilliRounding));
}

// Rounds up.
inline std::uint64_t
ToMilliUp(double aValue)
{
  return static_cast<std::uint64_t>(
    std::ceil(std::max(0.0, aValue * 1000.0 - kMilliRounding)));
}

inline double
FromMilli(std::uint64_t aMilli)
{
  return static_cast<double>(aMilli) / 1000.0;
}

} // namespace fuchsiaramp

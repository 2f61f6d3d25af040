// Adaptive limit on the requests that a host has outstanding outside its cell,
// as a multiple of its share of the slots there. Unlike OverflowLimit it may
// fall below one request. Used where teams compete for the servers.
//
// A limit below 1 means that the host has a request outstanding there for that
// share of the time. Otherwise the hosts of a service that has fewer slots than
// hosts would fill the queues of its servers with one request each.
//
//   ScaledOverflowLimit limit;
//   if (limit.Admits(outside, base, now)) { ... }
//   limit.OnResponse(outside, base, slow);
//   limit.OnEnded(base, latency, now);
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.h"

namespace fuchsiaramp {

// The number of requests that a host has outstanding outside its cell until
// responses from there show more: its share of the slots of the cell that it
// cannot use, and half of its share to level out differences between cells.
//
// aSlots: of the cell's servers. aUsableSlots: of those that are healthy.
double
OverflowBase(std::size_t aSlots, std::size_t aUsableSlots, std::size_t aHosts);

class ScaledOverflowLimit
{
public:
  double Limit(double aBase) const
  {
    return std::clamp(aBase * m_factor, kMinLimit, kMaxLimit);
  }

  // aOutside: requests outstanding outside the cell.
  bool Admits(std::size_t aOutside, double aBase, TimePoint aNow) const
  {
    const double limit = Limit(aBase);
    return limit < 1.0 ? aOutside == 0 && IsDue(m_nextAt, aNow)
                       : static_cast<double>(aOutside + 1) <= limit;
  }

  // A request outside the cell ended. aLatency: how long one usually takes.
  void OnEnded(double aBase, Duration aLatency, TimePoint aNow)
  {
    const double limit = Limit(aBase);
    if (limit < 1.0) {
      m_nextAt = aNow + FromSeconds(ToSeconds(aLatency) * (1.0 / limit - 1.0));
    }
  }

  // aOutside: requests outstanding outside the cell before the response.
  void OnResponse(std::size_t aOutside, double aBase, bool aSlow)
  {
    const double limit = Limit(aBase);
    if (aSlow) {
      m_factor *= kDecreaseFactor;
    } else if (static_cast<double>(aOutside) >= limit / 2) {
      // While less than half of the limit is in use, a response does not show
      // that there is room for more.
      m_factor *= kIncreaseFactor;
    }
    const double base = std::max(aBase, kMinLimit);
    m_factor = std::clamp(m_factor, kMinLimit / base, kMaxLimit / base);
  }

private:
  static constexpr double kMinLimit = 0.1;  // requests
  static constexpr double kMaxLimit = 64.0; // requests

  static constexpr double kIncreaseFactor = 1.2;
  static constexpr double kDecreaseFactor = 0.8;

  double m_factor = 1.0; // of the base
  TimePoint m_nextAt;
};

} // namespace fuchsiaramp

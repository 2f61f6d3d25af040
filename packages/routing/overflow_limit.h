// Adaptive limit on the requests that a host has outstanding at servers outside
// its cell, whose load it does not know. It grows while responses from there
// take no longer than usual, and shrinks when they are slow or requests are
// rejected there: then the servers are as loaded as those of the cell.
//
//   OverflowLimit limit;
//   if (outside < limit.Limit(floor)) { ... }
//   limit.OnResponse(outside, slow);
#pragma once

#include <algorithm>
#include <cstddef>

namespace fuchsiaramp {

// The number of requests that a host may always have outstanding outside its
// cell: its share of the slots of the cell that it cannot use, and half of its
// share to level out differences between cells; at least 1.
//
// aSlots: of the cell's servers. aUsableSlots: of those that are healthy.
std::size_t
OverflowFloor(std::size_t aSlots, std::size_t aUsableSlots, std::size_t aHosts);

class OverflowLimit
{
public:
  std::size_t Limit(std::size_t aFloor) const
  {
    return std::max(aFloor, static_cast<std::size_t>(m_limit));
  }

  // aOutside: requests outstanding outside the cell before the response.
  void OnResponse(std::size_t aOutside, bool aSlow)
  {
    if (aSlow) {
      m_limit = std::max(kMinLimit, m_limit * kDecreaseFactor);
    } else if (static_cast<double>(aOutside) >= m_limit / 2) {
      // While less than half of the limit is in use, a response does not show
      // that there is room for more.
      m_limit = std::min(kMaxLimit, m_limit + kIncrease / m_limit);
    }
  }

private:
  static constexpr double kMinLimit = 1.0;  // requests
  static constexpr double kMaxLimit = 64.0; // requests
  static constexpr double kIncrease = 1.0;
  static constexpr double kDecreaseFactor = 0.8;

  double m_limit = 4.0; // requests
};

} // namespace fuchsiaramp

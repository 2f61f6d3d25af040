#include "routing/overflow_limit.h"

#include <cmath>

namespace fuchsiaramp {

static constexpr double kLevellingShare = 0.5; // of the host's share of slots

std::size_t
OverflowFloor(std::size_t aSlots, std::size_t aUsableSlots, std::size_t aHosts)
{
  const std::size_t hosts = std::max<std::size_t>(aHosts, 1);
  const std::size_t unusable = aSlots - std::min(aUsableSlots, aSlots);
  const double share = (kLevellingShare * static_cast<double>(aSlots) +
                        static_cast<double>(unusable)) /
                       static_cast<double>(hosts);
  return std::max<std::size_t>(static_cast<std::size_t>(std::lround(share)), 1);
}

} // namespace fuchsiaramp

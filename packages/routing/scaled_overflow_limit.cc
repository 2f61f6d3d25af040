#include "routing/scaled_overflow_limit.h"

#include <algorithm>

namespace fuchsiaramp {

static constexpr double kLevellingShare = 0.5; // of the host's share of slots

double
OverflowBase(std::size_t aSlots, std::size_t aUsableSlots, std::size_t aHosts)
{
  const std::size_t hosts = std::max<std::size_t>(aHosts, 1);
  const std::size_t unusable = aSlots - std::min(aUsableSlots, aSlots);
  return (kLevellingShare * static_cast<double>(aSlots) +
          static_cast<double>(unusable)) /
         static_cast<double>(hosts);
}

} // namespace fuchsiaramp

// Reads the host's clocks; only adapters do.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace fuchsiaramp {

inline TimePoint
MonotonicNow()
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

// Microseconds since the Unix epoch.
inline std::int64_t
WallClockMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace fuchsiaramp

// Reads the clocks of the host. Only adapters to the environment call these
// functions.
#pragma once

#include <ctime>

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace fuchsiaramp {

// Uses CLOCK_BOOTTIME, which advances while the machine is suspended, so that a
// lease or a confirmation that expired meanwhile is seen as expired.
inline TimePoint
MonotonicNow()
{
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) +
    std::chrono::nanoseconds(time.tv_nsec)));
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

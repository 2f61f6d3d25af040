// Time points and durations of the decision logic.
//
// State machines receive the current time as an argument and never read a
// clock. A TimePoint is a number of microseconds on the monotonic clock of one
// host; time points of different hosts are not comparable.
//
//   TimePoint deadline = now + std::chrono::seconds(2);
//   if (IsDue(deadline, now)) { ... }
#pragma once

#include <chrono>
#include <cstdint>

namespace fuchsiaramp {

using Duration = std::chrono::microseconds;

// Clock type for TimePoint. It has no now(), since only adapters read a clock.
struct HostClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<HostClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = HostClock::time_point;

inline constexpr TimePoint kNever = TimePoint::max();

// Returns whether aDeadline has been reached at aNow.
constexpr bool
IsDue(TimePoint aDeadline, TimePoint aNow)
{
  return aDeadline <= aNow;
}

// Returns the microseconds since the epoch of the clock.
constexpr std::int64_t
ToMicros(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

constexpr TimePoint
FromMicros(std::int64_t aMicros)
{
  return TimePoint(Duration(aMicros));
}

constexpr double
ToSeconds(Duration aSpan)
{
  return static_cast<double>(aSpan.count()) / 1e6;
}

constexpr Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

} // namespace fuchsiaramp

// Bounds how many lines of one kind a process logs, and counts what it leaves
// out.
//
//   LogRateLimiter limiter(options);
//   if (const auto suppressed = limiter.TryTake("request_failed", now)) {
//     // write the line, with *suppressed as the number left out before it
//   }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace fuchsiaramp {

struct LogRateLimiterOptions
{
  // Lines a second of one kind: a fault that strikes every request of a busy
  // host must not fill the log.
  double rate = 50.0;
  // Lines that may come at once: the start of a host tells of all its peers.
  double burst = 200.0;
};

class LogRateLimiter
{
public:
  explicit LogRateLimiter(LogRateLimiterOptions aOptions)
    : m_options(aOptions)
  {
  }

  // How many lines of the kind were left out since the last one, or empty when
  // this one is to be left out too.
  std::optional<std::uint64_t> TryTake(const std::string& aKind,
                                       TimePoint aNow);

private:
  struct Kind
  {
    double tokens = 0.0;
    TimePoint countedAt;
    std::uint64_t suppressed = 0;
  };

  LogRateLimiterOptions m_options;
  std::unordered_map<std::string, Kind> m_kinds;
};

} // namespace fuchsiaramp

// Limits the rate at which a process logs lines of each kind, and counts the
// suppressed lines.
//
//   LogRateLimiter limiter(options);
//   if (const auto suppressed = limiter.TryTake("request_failed", now)) {
//     // write the line; *suppressed lines were suppressed before it
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
  // Lines per second of one kind. Bounds the log volume of a fault that affects
  // every request of a busy host.
  double rate = 50.0;
  // Maximum burst of lines: a host that starts logs one line for each peer.
  double burst = 200.0;
};

class LogRateLimiter
{
public:
  explicit LogRateLimiter(LogRateLimiterOptions aOptions)
    : m_options(aOptions)
  {
  }

  // Returns the number of lines of the kind that were suppressed since the last
  // one written, or nullopt if this line must be suppressed too.
  std::optional<std::uint64_t> TryTake(const std::string& aKind,
                                       TimePoint aNow);

private:
  struct Kind
  {
    double tokens = 0.0;
    TimePoint refilledAt;
    std::uint64_t suppressed = 0;
  };

  LogRateLimiterOptions m_options;
  std::unordered_map<std::string, Kind> m_kinds;
};

} // namespace fuchsiaramp

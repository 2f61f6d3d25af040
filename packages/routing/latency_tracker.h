// Tracks the latency of a service on one host and says from when on an answer
// counts as slow.
//
//   tracker.Add(latency);
//   if (latency > tracker.SlowThreshold()) { ... }
#pragma once

#include <array>
#include <cstddef>

#include "base/time.h"

namespace fuchsiaramp {

class LatencyTracker
{
public:
  void Add(Duration aLatency);
  // A multiple of the 40th percentile, which stays with the healthy servers
  // while up to half of them are slow. Before enough answers were seen, a
  // generous bound.
  Duration SlowThreshold() const;
  // The 40th percentile, as of the last update.
  Duration Usual() const { return m_usual; }
  // aShare in (0, 1).
  Duration Quantile(double aShare) const;

private:
  // Buckets grow by a factor of 2^(1/4) from 100 microseconds on.
  static constexpr std::size_t kBuckets = 80;
  static std::size_t BucketOf(Duration aLatency);
  static Duration UpperBound(std::size_t aBucket);

  std::array<double, kBuckets> m_weights{};
  double m_total = 0.0;
  Duration m_usual = std::chrono::milliseconds(100);
  Duration m_cached = std::chrono::seconds(1);
  int m_untilUpdate = 0;
};

} // namespace fuchsiaramp

// Tracks the latency of a service as seen by one host, and derives the
// threshold above which a response counts as slow.
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
  // A multiple of the 40th percentile, which still reflects the healthy servers
  // when up to half of the servers are slow. Before enough responses were seen,
  // a generous bound of 1 s.
  Duration SlowThreshold() const;
  // The 40th percentile, as of the last update.
  Duration TypicalLatency() const { return m_typicalLatency; }
  // aShare must be between 0 and 1, both excluded.
  Duration Quantile(double aShare) const;

private:
  // The upper bounds of the buckets start at 100 microseconds and grow by a
  // factor of 2^(1/4).
  static constexpr std::size_t kBuckets = 80;
  static std::size_t BucketOf(Duration aLatency);
  static Duration UpperBound(std::size_t aBucket);

  std::array<double, kBuckets> m_weights{};
  double m_totalWeight = 0.0;
  Duration m_typicalLatency = std::chrono::milliseconds(100);
  Duration m_slowThreshold = std::chrono::seconds(1);
  int m_responsesUntilUpdate = 0;
};

} // namespace fuchsiaramp

#include "routing/latency_tracker.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaramp {

static constexpr double kFirstBoundMicros = 100.0;
static constexpr double kBucketsPerOctave = 4.0;
static constexpr double kMaxWeight = 2000.0; // responses; older ones decay
static constexpr double kMinWeightForUpdate = 20.0; // responses
static constexpr int kUpdateInterval = 16;          // responses
static constexpr double kSlowFactor = 3.5;
static constexpr double kSlowQuantile = 0.4;

std::size_t
LatencyTracker::BucketOf(Duration aLatency)
{
  const double ratio =
    static_cast<double>(aLatency.count()) / kFirstBoundMicros;
  if (ratio <= 1.0) {
    return 0;
  }
  const auto bucket =
    static_cast<std::size_t>(std::ceil(std::log2(ratio) * kBucketsPerOctave));
  return std::min(bucket, kBuckets - 1);
}

Duration
LatencyTracker::UpperBound(std::size_t aBucket)
{
  const double micros =
    kFirstBoundMicros *
    std::exp2(static_cast<double>(aBucket) / kBucketsPerOctave);
  return Duration(static_cast<Duration::rep>(micros));
}

void
LatencyTracker::Add(Duration aLatency)
{
  m_weights[BucketOf(aLatency)] += 1.0;
  m_totalWeight += 1.0;
  if (m_totalWeight > kMaxWeight) {
    for (double& weight : m_weights) {
      weight /= 2.0;
    }
    m_totalWeight /= 2.0;
  }
  if (--m_responsesUntilUpdate <= 0 && m_totalWeight >= kMinWeightForUpdate) {
    m_responsesUntilUpdate = kUpdateInterval;
    m_typicalLatency = Quantile(kSlowQuantile);
    m_slowThreshold = Duration(static_cast<Duration::rep>(
      kSlowFactor * static_cast<double>(m_typicalLatency.count())));
  }
}

Duration
LatencyTracker::SlowThreshold() const
{
  return m_slowThreshold;
}

Duration
LatencyTracker::Quantile(double aShare) const
{
  double sum = 0.0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    sum += m_weights[i];
    if (sum >= aShare * m_totalWeight) {
      return UpperBound(i);
    }
  }
  return UpperBound(kBuckets - 1);
}

} // namespace fuchsiaramp

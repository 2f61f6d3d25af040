// Outcome counts that decay exponentially with a half-life.
//
//   DecayedCounts counts(std::chrono::seconds(10));
//   counts.Add({ 10, 1, 0 }, now);
//   double rate = counts.At(now).failures / counts.At(now).total;
#pragma once

#include <cmath>

#include "base/time.h"

namespace fuchsiaramp {

// Counts of request outcomes. Slow ones are included in the total, but not in
// the failures.
struct OutcomeCounts
{
  double total = 0.0;
  double failures = 0.0;
  double slow = 0.0;

  OutcomeCounts& operator+=(const OutcomeCounts& aOther)
  {
    total += aOther.total;
    failures += aOther.failures;
    slow += aOther.slow;
    return *this;
  }
  OutcomeCounts& operator-=(const OutcomeCounts& aOther)
  {
    total -= aOther.total;
    failures -= aOther.failures;
    slow -= aOther.slow;
    return *this;
  }
};

class DecayedCounts
{
public:
  explicit DecayedCounts(Duration aHalfLife = std::chrono::seconds(10))
    : m_halfLife(aHalfLife)
  {
  }

  void Add(const OutcomeCounts& aCounts, TimePoint aNow)
  {
    m_counts = At(aNow);
    m_updatedAt = aNow;
    m_counts += aCounts;
  }

  // aOther has the same half-life.
  void Subtract(const DecayedCounts& aOther, TimePoint aNow)
  {
    m_counts = At(aNow);
    m_updatedAt = aNow;
    m_counts -= aOther.At(aNow);
  }

  OutcomeCounts At(TimePoint aNow) const
  {
    const double factor =
      std::exp2(-ToSeconds(aNow - m_updatedAt) / ToSeconds(m_halfLife));
    return { m_counts.total * factor,
             m_counts.failures * factor,
             m_counts.slow * factor };
  }

private:
  Duration m_halfLife;
  OutcomeCounts m_counts;
  TimePoint m_updatedAt;
};

} // namespace fuchsiaramp

// Estimates the probability that a backend server is unhealthy from the
// outcomes of single requests.
//
// The server is modelled as a two-state process: fault episodes of some seconds
// in which most requests fail, and healthy periods in which few do. Each
// outcome multiplies the odds by its likelihood ratio. Without outcomes the
// estimate decays to its prior over the typical length of a fault episode.
//
//   HealthEstimate estimate;
//   estimate.OnFailure(now);
//   if (estimate.UnhealthyProbability(now) < 0.5) { ... }
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace fuchsiaramp {

struct HealthEstimateOptions
{
  double prior = 0.06;       // probability without any evidence
  double decaySeconds = 8.0; // time constant with which evidence decays
};

// For a server: fault episodes last about 5 s and up to 15 s, and take up to a
// tenth of the time.
inline constexpr HealthEstimateOptions kServerHealthOptions{ 0.06, 8.0 };
// For the path from a host to a server: it fails less often, but for longer.
inline constexpr HealthEstimateOptions kPathHealthOptions{ 0.03, 8.0 };

class HealthEstimate
{
public:
  explicit HealthEstimate(HealthEstimateOptions aOptions = kServerHealthOptions)
    : m_options(aOptions)
    , m_probability(aOptions.prior)
  {
  }

  // The probability that the server, or the path to it, is unhealthy.
  double UnhealthyProbability(TimePoint aNow) const
  {
    const double age = std::max(0.0, ToSeconds(aNow - m_updatedAt));
    return m_options.prior + (m_probability - m_options.prior) *
                               std::exp(-age / m_options.decaySeconds);
  }

  void OnSuccess(TimePoint aNow)
  {
    ApplyLikelihoodRatio(
      (1.0 - kUnhealthyFailureRate) / (1.0 - kHealthyFailureRate), aNow);
  }
  void OnFailure(TimePoint aNow)
  {
    ApplyLikelihoodRatio(kUnhealthyFailureRate / kHealthyFailureRate, aNow);
  }
  // Records that a response takes longer than usual, which is weaker evidence
  // than a failure.
  void OnDelay(TimePoint aNow)
  {
    ApplyLikelihoodRatio(kDelayLikelihoodRatio, aNow);
  }
  // Records that a request from this host got no response, which may be the
  // fault of the path.
  void OnUnreachable(TimePoint aNow)
  {
    ApplyLikelihoodRatio(kUnreachableLikelihoodRatio, aNow);
  }

  // The time of the last outcome; the clock's origin if there was none.
  TimePoint UpdatedAt() const { return m_updatedAt; }

private:
  // Shares of failed requests in each state: the users' unhealthy servers fail
  // nine in ten requests, healthy ones about one in eighty.
  static constexpr double kUnhealthyFailureRate = 0.9;
  static constexpr double kHealthyFailureRate = 0.015;
  static constexpr double kDelayLikelihoodRatio = 10.0;
  static constexpr double kUnreachableLikelihoodRatio = 60.0;
  static constexpr double kMinProbability = 0.005;
  static constexpr double kMaxProbability = 0.97;

  void ApplyLikelihoodRatio(double aLikelihoodRatio, TimePoint aNow)
  {
    const double before = UnhealthyProbability(aNow);
    const double odds = before / (1.0 - before) * aLikelihoodRatio;
    m_probability =
      std::clamp(odds / (1.0 + odds), kMinProbability, kMaxProbability);
    m_updatedAt = aNow;
  }

  HealthEstimateOptions m_options;
  double m_probability;
  TimePoint m_updatedAt;
};

} // namespace fuchsiaramp

// How likely it is that a backend server is sick, from single outcomes.
//
// The server is taken for a two-state process: sick spells of some seconds in
// which most requests fail, and well ones in which few do. Each outcome moves
// the odds by how much likelier it is in one state than in the other; without
// outcomes the belief returns to its base over the usual length of a spell.
//
//   HealthEstimate belief;
//   belief.OnFailure(now);
//   if (belief.UnhealthyProbability(now) < 0.5) { ... }
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace fuchsiaramp {

struct BeliefOptions
{
  double base = 0.06;        // belief without any evidence
  double spellSeconds = 8.0; // time over which evidence is forgotten
};

// Of a server: sick spells last some five seconds and up to fifteen, and a
// server is in one of them for up to a tenth of the time.
inline constexpr BeliefOptions kServerBelief{ 0.06, 8.0 };
// Of the way from a host to a server: it fails less often, and for longer.
inline constexpr BeliefOptions kPathBelief{ 0.03, 8.0 };

class HealthEstimate
{
public:
  explicit HealthEstimate(BeliefOptions aOptions = kServerBelief)
    : m_options(aOptions)
    , m_sick(aOptions.base)
  {
  }

  // The probability that the server is sick.
  double UnhealthyProbability(TimePoint aNow) const
  {
    const double age = std::max(0.0, ToSeconds(aNow - m_updatedAt));
    return m_options.base +
           (m_sick - m_options.base) * std::exp(-age / m_options.spellSeconds);
  }

  void OnSuccess(TimePoint aNow)
  {
    Update((1.0 - kFailsWhenSick) / (1.0 - kFailsWhenWell), aNow);
  }
  void OnFailure(TimePoint aNow)
  {
    Update(kFailsWhenSick / kFailsWhenWell, aNow);
  }
  // An answer that takes longer than usual; weaker than a failure.
  void OnDelay(TimePoint aNow) { Update(kDelayRatio, aNow); }
  // Nothing came through from this host, which may be its path's fault.
  void OnUnreachable(TimePoint aNow) { Update(kUnreachableRatio, aNow); }

  // When an outcome last counted; the origin when never.
  TimePoint UpdatedAt() const { return m_updatedAt; }

private:
  // Shares of failed requests in each state: sick servers of the users fail
  // nine in ten, well ones about one in eighty.
  static constexpr double kFailsWhenSick = 0.9;
  static constexpr double kFailsWhenWell = 0.015;
  static constexpr double kDelayRatio = 10.0;
  static constexpr double kUnreachableRatio = 60.0;
  static constexpr double kLowest = 0.005;
  static constexpr double kHighest = 0.97;

  void Update(double aRatio, TimePoint aNow)
  {
    const double before = UnhealthyProbability(aNow);
    const double odds = before / (1.0 - before) * aRatio;
    m_sick = std::clamp(odds / (1.0 + odds), kLowest, kHighest);
    m_updatedAt = aNow;
  }

  BeliefOptions m_options;
  double m_sick;
  TimePoint m_updatedAt;
};

} // namespace fuchsiaramp

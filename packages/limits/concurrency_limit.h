// Adapts how many attempts of a service one entry host runs at once: it grows
// while answers come and shrinks when servers shed.
//
//   if (running < limit.Limit()) { ... }
//   limit.OnAnswered(running);
//   limit.OnShed();
#pragma once

#include <algorithm>

namespace fuchsiaramp {

class ConcurrencyLimit
{
public:
  double Limit() const { return m_limit; }

  // aRunning: attempts that ran when the answer came.
  void OnAnswered(double aRunning, double aHighest)
  {
    // Unused room says nothing about what the service can take.
    if (aRunning >= m_limit / 2) {
      m_limit += kIncrease / m_limit;
    }
    m_limit = std::min(m_limit, std::max(kLowest, aHighest));
  }

  void OnShed() { m_limit = std::max(kLowest, m_limit * kDecrease); }

private:
  static constexpr double kLowest = 2.0; // attempts
  static constexpr double kStart = 64.0; // attempts
  static constexpr double kIncrease = 1.0;
  static constexpr double kDecrease = 0.95;

  double m_limit = kStart;
};

} // namespace fuchsiaramp

// Adaptive limit on the concurrent attempts of a service on one entry host. It
// grows as responses arrive and shrinks when servers shed requests.
//
//   if (running < limit.Limit()) { ... }
//   limit.OnAnswered(running, maxLimit);
//   limit.OnShed();
#pragma once

#include <algorithm>

namespace fuchsiaramp {

class ConcurrencyLimit
{
public:
  double Limit() const { return m_limit; }

  // aRunning: number of attempts running when the response arrived.
  // aMaxLimit: upper bound of the limit.
  void OnAnswered(double aRunning, double aMaxLimit)
  {
    // While less than half of the limit is in use, a response does not show
    // that the service can handle more attempts.
    if (aRunning >= m_limit / 2) {
      m_limit += kIncrease / m_limit;
    }
    m_limit = std::min(m_limit, std::max(kMinLimit, aMaxLimit));
  }

  void OnShed() { m_limit = std::max(kMinLimit, m_limit * kDecreaseFactor); }

private:
  static constexpr double kMinLimit = 2.0;      // attempts
  static constexpr double kInitialLimit = 64.0; // attempts
  static constexpr double kIncrease = 1.0;
  static constexpr double kDecreaseFactor = 0.95;

  double m_limit = kInitialLimit;
};

} // namespace fuchsiaramp

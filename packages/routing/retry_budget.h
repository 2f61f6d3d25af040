// Bounds retries to a share of the requests of a service.
//
//   budget.OnRequest();
//   if (budget.TryRetry()) { ... }
#pragma once

#include <algorithm>

namespace fuchsiaramp {

class RetryBudget
{
public:
  // aShare: retries per request, e.g. 0.1.
  explicit RetryBudget(double aShare)
    : m_share(aShare)
  {
  }

  void OnRequest() { m_tokens = std::min(kMaxTokens, m_tokens + m_share); }

  bool TryRetry()
  {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  static constexpr double kMaxTokens = 20.0; // retries

  double m_share;
  double m_tokens = kMaxTokens / 2;
};

} // namespace fuchsiaramp

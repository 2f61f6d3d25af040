// Limits retries to a share of the requests of a service. Requests earn tokens,
// and each retry takes one token.
//
//   RetryBudget budget({ 0.1 });
//   budget.OnRequest();
//   if (budget.TryRetry()) { ... }
#pragma once

#include <algorithm>

namespace fuchsiaramp {

struct RetryBudgetOptions
{
  double share = 0.1;          // tokens earned by each request
  double maxTokens = 20.0;     // maximum number of saved tokens
  double initialTokens = 10.0; // tokens at the start
};

class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : m_options(aOptions)
    , m_tokens(aOptions.initialTokens)
  {
  }

  // Called when the number of hosts that share a budget changes.
  void SetMaxTokens(double aMaxTokens)
  {
    m_options.maxTokens = aMaxTokens;
    m_tokens = std::min(m_tokens, aMaxTokens);
  }

  void OnRequest()
  {
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.share);
  }

  bool MayRetry() const { return m_tokens >= 1.0; }

  // Whether a token may be used for a request that need not be retried. It is
  // kept for one that fails unexpectedly otherwise.
  bool HasSurplus() const
  {
    const double reserve =
      std::clamp(kSurplusShare * m_options.maxTokens, 1.0, kMaxReserve);
    return m_tokens >= reserve;
  }

  bool TryRetry()
  {
    if (!MayRetry()) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  static constexpr double kSurplusShare = 0.6; // of the saved tokens
  static constexpr double kMaxReserve = 2.0;   // tokens

  RetryBudgetOptions m_options;
  double m_tokens;
};

} // namespace fuchsiaramp

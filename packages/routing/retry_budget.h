// Bounds retries to a share of the requests of a service.
//
//   RetryBudget budget({ 0.1 });
//   budget.OnRequest();
//   if (budget.TryRetry()) { ... }
#pragma once

#include <algorithm>

namespace fuchsiaramp {

struct RetryBudgetOptions
{
  double share = 0.1;          // retries for each request
  double maxTokens = 20.0;     // retries that may be saved up
  double initialTokens = 10.0; // at the start
};

class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : m_options(aOptions)
    , m_tokens(aOptions.initialTokens)
  {
  }

  // The hosts that share a budget may change in number.
  void SetMaxTokens(double aMostTokens)
  {
    m_options.maxTokens = aMostTokens;
    m_tokens = std::min(m_tokens, aMostTokens);
  }

  void OnRequest()
  {
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.share);
  }

  bool MayRetry() const { return m_tokens >= 1.0; }

  bool TryRetry()
  {
    if (!MayRetry()) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  RetryBudgetOptions m_options;
  double m_tokens;
};

} // namespace fuchsiaramp

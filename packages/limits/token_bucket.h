// A token bucket whose rate may change while it is in use.
//
//   TokenBucket bucket(100.0, now);   // 100 requests per second
//   if (!bucket.TryTake(now)) retryAfter = bucket.NextAt(now);
#pragma once

#include <algorithm>

#include "base/time.h"

namespace fuchsiaramp {

class TokenBucket
{
public:
  // aRate: tokens per second. The burst size is the tokens of one second, at
  // least 1.
  TokenBucket(double aRate, TimePoint aNow)
    : m_rate(aRate)
    , m_tokens(Burst())
    , m_refilledAt(aNow)
  {
  }

  void SetRate(double aRate, TimePoint aNow)
  {
    Refill(aNow);
    m_rate = aRate;
    m_tokens = std::min(m_tokens, Burst());
  }

  bool TryTake(TimePoint aNow)
  {
    Refill(aNow);
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  // Returns the time at which the next token is available, at most kMaxWait
  // from now.
  TimePoint NextAt(TimePoint aNow)
  {
    Refill(aNow);
    const double missing = std::max(0.0, 1.0 - m_tokens);
    return m_rate <= 0.0
             ? aNow + kMaxWait
             : aNow + std::min(kMaxWait, FromSeconds(missing / m_rate));
  }

  double Rate() const { return m_rate; }

private:
  static constexpr Duration kMaxWait = std::chrono::seconds(60);

  double Burst() const { return std::max(1.0, m_rate); }

  void Refill(TimePoint aNow)
  {
    m_tokens =
      std::min(Burst(), m_tokens + m_rate * ToSeconds(aNow - m_refilledAt));
    m_refilledAt = aNow;
  }

  double m_rate;
  double m_tokens;
  TimePoint m_refilledAt;
};

} // namespace fuchsiaramp

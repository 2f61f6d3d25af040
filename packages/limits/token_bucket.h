// A token bucket whose rate may change while it is in use.
//
//   TokenBucket bucket(100.0, now);   // 100 requests a second
//   if (!bucket.TryTake(now)) retryAfter = bucket.NextAt(now);
#pragma once

#include <algorithm>

#include "base/time.h"

namespace fuchsiaramp {

class TokenBucket
{
public:
  // aRate: tokens a second. One second's worth may be taken at once.
  TokenBucket(double aRate, TimePoint aNow)
    : m_rate(aRate)
    , m_tokens(Burst())
    , m_at(aNow)
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

  // When the next token is there.
  TimePoint NextAt(TimePoint aNow)
  {
    Refill(aNow);
    const double missing = std::max(0.0, 1.0 - m_tokens);
    return m_rate <= 0.0
             ? aNow + kLongestWait
             : aNow + std::min(kLongestWait, FromSeconds(missing / m_rate));
  }

  double Rate() const { return m_rate; }

private:
  static constexpr Duration kLongestWait = std::chrono::seconds(60);

  double Burst() const { return std::max(1.0, m_rate); }

  void Refill(TimePoint aNow)
  {
    m_tokens = std::min(Burst(), m_tokens + m_rate * ToSeconds(aNow - m_at));
    m_at = aNow;
  }

  double m_rate;
  double m_tokens;
  TimePoint m_at;
};

} // namespace fuchsiaramp

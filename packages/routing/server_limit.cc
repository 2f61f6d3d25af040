#include "routing/server_limit.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaramp {

// A server that takes nothing, or almost nothing, still gets a request now and
// then, since only its responses show that the limit has ended.
static constexpr double kMinRate = 0.1; // requests per second
// Limits above this rate restrict nobody.
static constexpr double kMaxRate = 1000.0; // requests per second
// A limit expires when it has not been confirmed for this long and for the time
// in which the server should have got this many requests.
static constexpr Duration kLifetime = std::chrono::seconds(10);
static constexpr double kLifetimeRequests = 2.0;
// After the end, the rate starts with at least this and doubles each second.
static constexpr double kMinRecoveryRate = 1.0; // requests per second
static constexpr Duration kRecoveryTime = std::chrono::seconds(6);
// A host with a share above one request per second may send the requests of
// this time at once.
static constexpr double kBurstSeconds = 0.5;
static constexpr double kMaxDebt = 5.0; // requests

bool
ServerLimit::OnNamed(RequestRate aRate, TimePoint aNow)
{
  if (aRate.perSecond > kMaxRate) {
    return End(aNow);
  }
  const RequestRate rate{ std::max(aRate.perSecond, kMinRate) };
  const bool isNew = !m_rate || !IsNamed(aNow);
  const bool changed = isNew || *m_rate != rate;
  UpdatePermits(aNow);
  if (isNew) {
    m_namedSince = aNow;
    m_permits = 0.0;
  }
  m_rate = rate;
  m_endedAt.reset();
  m_lastNamedAt = aNow;
  m_expiresAt =
    aNow + kLifetime + FromSeconds(kLifetimeRequests / rate.perSecond);
  UpdatePermits(aNow);
  return changed;
}

bool
ServerLimit::OnNotNamed(TimePoint aSentAt, TimePoint aNow)
{
  return aSentAt > m_lastNamedAt && End(aNow);
}

bool
ServerLimit::OnEnded(TimePoint aNow)
{
  return End(aNow);
}

bool
ServerLimit::End(TimePoint aNow)
{
  if (!m_rate || !IsNamed(aNow)) {
    return false;
  }
  UpdatePermits(aNow);
  m_endedAt = aNow;
  return true;
}

TimePoint
ServerLimit::EndedAt() const
{
  return m_endedAt.value_or(m_expiresAt);
}

void
ServerLimit::SetRank(std::optional<std::size_t> aRank,
                     std::size_t aHosts,
                     TimePoint aNow)
{
  UpdatePermits(aNow);
  m_rank = aRank;
  m_hosts = aHosts;
}

bool
ServerLimit::IsInForce(TimePoint aNow) const
{
  return m_rate && !IsDue(EndedAt() + kRecoveryTime, aNow);
}

RequestRate
ServerLimit::TotalRate(TimePoint aNow) const
{
  if (IsNamed(aNow)) {
    return *m_rate;
  }
  return { std::max(m_rate->perSecond, kMinRecoveryRate) *
           std::exp2(ToSeconds(aNow - EndedAt())) };
}

// Each host that has a share gets at least one request per second, or the whole
// rate: a host may send one request at once, so a share for each host would
// add up to one request a host.
RequestRate
ServerLimit::OwnRate(TimePoint aNow) const
{
  if (!m_rank) {
    return {};
  }
  const double total = TotalRate(aNow).perSecond;
  const std::size_t sharing =
    std::clamp<std::size_t>(static_cast<std::size_t>(total), 1, m_hosts);
  return { *m_rank < sharing ? total / static_cast<double>(sharing) : 0.0 };
}

double
ServerLimit::Permits(TimePoint aNow) const
{
  const double rate = OwnRate(aNow).perSecond;
  if (rate <= 0.0) {
    return std::min(m_permits, 0.0);
  }
  const double burst = std::max(1.0, rate * kBurstSeconds);
  return std::min(burst, m_permits + rate * ToSeconds(aNow - m_permitsAt));
}

void
ServerLimit::UpdatePermits(TimePoint aNow)
{
  if (IsInForce(aNow)) {
    m_permits = Permits(aNow);
  }
  m_permitsAt = aNow;
}

bool
ServerLimit::MaySend(TimePoint aNow) const
{
  return !IsInForce(aNow) || Permits(aNow) >= 1.0;
}

TimePoint
ServerLimit::NextAt(TimePoint aNow) const
{
  if (MaySend(aNow)) {
    return aNow;
  }
  const double rate = OwnRate(aNow).perSecond;
  return rate <= 0.0 ? kNever
                     : aNow + FromSeconds((1.0 - Permits(aNow)) / rate);
}

void
ServerLimit::OnSent(TimePoint aNow)
{
  UpdatePermits(aNow);
  if (IsInForce(aNow)) {
    m_permits = std::max(m_permits - 1.0, -kMaxDebt);
  }
}

} // namespace fuchsiaramp

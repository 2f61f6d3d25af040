#include "base/shutdown_plan.h"

#include <algorithm>

namespace fuchsiaramp {

// Time to deliver the last responses. A quarter of a shorter grace period is
// reserved instead.
static constexpr Duration kDeliveryTime = std::chrono::milliseconds(500);
static constexpr int kDeliveryFraction = 4;
// Of a shorter grace period, only the last sixth is taken from work in hand.
static constexpr int kBreakOffFraction = 6;

static Duration
DeliveryTime(Duration aGracePeriod)
{
  return std::min(kDeliveryTime, aGracePeriod / kDeliveryFraction);
}

ShutdownPlan::ShutdownPlan(GracePeriod aGracePeriod)
  : m_gracePeriod(aGracePeriod)
{
}

void
ShutdownPlan::Begin(TimePoint aRequestedAt, TimePoint aAddressesExpireAt)
{
  if (m_begun) {
    return;
  }
  m_begun = true;
  const auto [atLeast, atMost] = m_gracePeriod;
  m_finishBy = aRequestedAt + atLeast - DeliveryTime(atLeast);
  const TimePoint killedAt = aRequestedAt + atMost;
  m_breakOffAt = std::max(killedAt - DeliveryTime(atMost),
                          killedAt - atMost / kBreakOffFraction);
  m_exitBy = killedAt - DeliveryTime(atMost) / 2;
  m_closesAt = std::min(aAddressesExpireAt, m_finishBy);
}

bool
ShutdownPlan::IsClosed(TimePoint aNow) const
{
  return IsDue(m_closesAt, aNow);
}

bool
ShutdownPlan::Admits(TimePoint aDeadline, TimePoint aNow) const
{
  return !IsClosed(aNow) && EndsInTime(aDeadline);
}

bool
ShutdownPlan::IsEnding(TimePoint aNow) const
{
  return IsDue(m_breakOffAt, aNow);
}

TimePoint
ShutdownPlan::AnswerBy(TimePoint aDeadline) const
{
  return std::min(aDeadline, m_breakOffAt);
}

bool
ShutdownPlan::EndsInTime(TimePoint aDeadline) const
{
  return aDeadline <= m_finishBy;
}

} // namespace fuchsiaramp

#include "control/control_shutdown.h"

namespace fuchsiaramp {

// A group without another voter that can lead is left without a leader.
static constexpr Duration kHandoverTimeout = std::chrono::milliseconds(1500);
// For the last messages to other hosts, which another thread sends.
static constexpr Duration kMessageDelivery = std::chrono::milliseconds(100);

ControlShutdown::ControlShutdown(GracePeriod aGracePeriod)
  : m_plan(aGracePeriod)
{
}

void
ControlShutdown::Begin(TimePoint aNow, TimePoint aRequestedAt)
{
  if (HasBegun()) {
    return;
  }
  m_plan.Begin(aRequestedAt, kNever);
  m_handoverUntil = aNow + kHandoverTimeout;
}

void
ControlShutdown::Update(const ControlHeldWork& aHeld, TimePoint aNow)
{
  if (!HasBegun()) {
    return;
  }
  const bool isIdle = aHeld.commands + aHeld.requests == 0;
  const bool hasHandedOver =
    aHeld.ledGroups == 0 || IsDue(m_handoverUntil, aNow);
  if (!isIdle || !hasHandedOver) {
    m_deliveredAt = kNever;
  } else if (m_deliveredAt == kNever) {
    m_deliveredAt = aNow + kMessageDelivery;
  }
  m_closed = m_closed || (isIdle && hasHandedOver) || GivesUp(aNow);
  const bool isDelivered = IsDue(m_deliveredAt, aNow) && aHeld.connections == 0;
  m_mayExit = isDelivered || IsDue(m_plan.ExitBy(), aNow);
}

} // namespace fuchsiaramp

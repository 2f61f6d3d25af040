// Decides when a control host that is being stopped closes its connections and
// ends.
//
// It answers what it has in hand and hands over the groups that it leads. New
// work is left to other hosts. All deadlines follow from the grace period and
// are known when the stop begins.
//
//   ControlShutdown shutdown(gracePeriod);
//   shutdown.Begin(now, requestedAt);
//   shutdown.Update(held, now);
//   if (shutdown.GivesUp(now)) { ... }  // answer the rest: outcome unknown
//   if (shutdown.IsClosed()) { ... }    // close idle connections and listener
//   if (shutdown.MayExit()) { ... }
#pragma once

#include <cstddef>

#include "base/shutdown_plan.h"
#include "base/time.h"

namespace fuchsiaramp {

// What a process that ends now would cut off.
struct ControlHeldWork
{
  std::size_t commands = 0; // whose outcome is awaited
  std::size_t requests = 0; // read and not answered, or not written yet
  // Other open connections; a part of a request may have arrived.
  std::size_t connections = 0;
  std::size_t ledGroups = 0;
};

class ControlShutdown
{
public:
  explicit ControlShutdown(GracePeriod aGracePeriod);

  // The grace period counts from aRequestedAt.
  void Begin(TimePoint aNow, TimePoint aRequestedAt);
  bool HasBegun() const { return m_plan.HasBegun(); }
  // Must be called regularly.
  void Update(const ControlHeldWork& aHeld, TimePoint aNow);

  // Whether work in hand is answered now, with an unknown outcome.
  bool GivesUp(TimePoint aNow) const { return m_plan.IsClosed(aNow); }
  // Whether no further connections are accepted and idle ones are closed.
  bool IsClosed() const { return m_closed; }
  bool MayExit() const { return m_mayExit; }

private:
  ShutdownPlan m_plan;
  TimePoint m_handoverUntil = kNever;
  TimePoint m_deliveredAt = kNever; // messages have left by then
  bool m_closed = false;
  bool m_mayExit = false;
};

} // namespace fuchsiaramp

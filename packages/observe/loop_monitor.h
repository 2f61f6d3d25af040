// Measures how late the event loop of a process runs its periodic tick.
//
// A loop that is short of processor time handles everything late: messages,
// requests and timers.
//
//   monitor.Expect(now + interval); // when the tick is scheduled
//   monitor.OnTick(now);            // when it runs
//   Duration longest = monitor.TakeLongest();
#pragma once

#include "base/event.h"
#include "base/time.h"

namespace fuchsiaramp {

class LoopMonitor
{
public:
  explicit LoopMonitor(EventHook aRecord);

  void Expect(TimePoint aDueAt) { m_dueAt = aDueAt; }
  // Records an event if the tick runs so late that others wait for this host.
  void OnTick(TimePoint aNow);
  // The latest delay.
  Duration Last() const { return m_last; }
  // Returns the longest delay since the previous call.
  Duration TakeLongest();

private:
  EventHook m_record;
  TimePoint m_dueAt = kNever;
  Duration m_last{};
  Duration m_longest{};
};

} // namespace fuchsiaramp

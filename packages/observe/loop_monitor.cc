#include "observe/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace fuchsiaramp {

static constexpr Duration kLoggedDelay = std::chrono::milliseconds(300);

LoopMonitor::LoopMonitor(EventHook aRecord)
  : m_record(std::move(aRecord))
{
}

void
LoopMonitor::OnTick(TimePoint aNow)
{
  m_last = m_dueAt < aNow ? aNow - m_dueAt : Duration::zero();
  m_longest = std::max(m_longest, m_last);
  if (m_last >= kLoggedDelay) {
    m_record(Event("loop_delayed").With("ms", m_last.count() / 1000));
  }
}

Duration
LoopMonitor::TakeLongest()
{
  return std::exchange(m_longest, Duration::zero());
}

} // namespace fuchsiaramp

#include "control/pull_queue.h"

namespace fuchsiaramp {

// A repeated pull keeps its place.
void
PullQueue::Add(const HostId& aFrom, const wire::ListsPull& aPull)
{
  Key key{ aFrom, aPull.relay_for() };
  const auto [it, isNew] = m_pulls.try_emplace(key);
  const bool isLater = aPull.pull_id() >= it->second.pull_id();
  if (!isNew && !isLater) {
    return;
  }
  it->second = aPull;
  if (isNew) {
    m_order.push_back(std::move(key));
  }
}

std::optional<WaitingPull>
PullQueue::Take()
{
  if (m_order.empty()) {
    return std::nullopt;
  }
  const auto it = m_pulls.find(m_order.front());
  WaitingPull waiting{ it->first.first, std::move(it->second) };
  m_pulls.erase(it);
  m_order.pop_front();
  return waiting;
}

} // namespace fuchsiaramp

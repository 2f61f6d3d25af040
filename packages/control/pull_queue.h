// The pulls of entry hosts that a control host has received and not answered.
//
// A host that pulls again before it got its answer is answered once, from its
// latest pull: while a control host is slow, hosts ask again and again, and an
// answer to each would keep it slow. Pulls that a host relays for another one
// are kept apart from its own.
//
//   PullQueue queue;
//   queue.Add(from, pull);
//   while (auto waiting = queue.Take()) { ... answer *waiting ... }
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/ids.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct WaitingPull
{
  HostId from;
  wire::ListsPull pull;
};

class PullQueue
{
public:
  void Add(const HostId& aFrom, const wire::ListsPull& aPull);
  // Removes and returns the pull that has waited longest.
  std::optional<WaitingPull> Take();
  bool IsEmpty() const { return m_order.empty(); }
  std::size_t Size() const { return m_order.size(); }

private:
  // The host that sent the pull and the one that it was relayed for.
  using Key = std::pair<HostId, std::string>;

  std::map<Key, wire::ListsPull> m_pulls;
  std::deque<Key> m_order;
};

} // namespace fuchsiaramp

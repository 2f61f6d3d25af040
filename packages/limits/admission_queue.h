// A bounded queue of requests that wait for a free slot of a service.
//
// Requests are ordered by descending priority, then by deadline. A request that
// is not served by its deadline is removed at the deadline. When the queue is
// full, the last request in this order is dropped immediately.
//
//   AdmissionQueue queue(100);
//   std::optional<RequestId> dropped = queue.Push(id, priority, deadline);
//   std::optional<RequestId> next = queue.Pop();
//   for (RequestId late : queue.TakeExpired(now)) { ... }
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

class AdmissionQueue
{
public:
  explicit AdmissionQueue(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  // Returns the request that was dropped because the queue is full, if any. It
  // may be the new one.
  std::optional<RequestId> Push(RequestId aRequest,
                                std::uint32_t aPriority,
                                TimePoint aDeadline)
  {
    const Key key{ aPriority, aDeadline, aRequest };
    m_order.insert(key);
    m_keys.emplace(aRequest, key);
    if (m_order.size() <= m_capacity) {
      return std::nullopt;
    }
    const RequestId dropped = std::prev(m_order.end())->request;
    Remove(dropped);
    return dropped;
  }

  std::optional<RequestId> Pop()
  {
    if (m_order.empty()) {
      return std::nullopt;
    }
    const RequestId first = m_order.begin()->request;
    Remove(first);
    return first;
  }

  bool Remove(RequestId aRequest)
  {
    const auto it = m_keys.find(aRequest);
    if (it == m_keys.end()) {
      return false;
    }
    m_order.erase(it->second);
    m_keys.erase(it);
    return true;
  }

  std::vector<RequestId> TakeExpired(TimePoint aNow)
  {
    std::vector<RequestId> expired;
    for (const Key& key : m_order) {
      if (IsDue(key.deadline, aNow)) {
        expired.push_back(key.request);
      }
    }
    for (RequestId request : expired) {
      Remove(request);
    }
    return expired;
  }

  std::size_t size() const { return m_order.size(); }
  bool empty() const { return m_order.empty(); }

private:
  struct Key
  {
    std::uint32_t priority = 0;
    TimePoint deadline;
    RequestId request;

    friend bool operator<(const Key& aLeft, const Key& aRight)
    {
      if (aLeft.priority != aRight.priority) {
        return aLeft.priority > aRight.priority;
      }
      if (aLeft.deadline != aRight.deadline) {
        return aLeft.deadline < aRight.deadline;
      }
      return aLeft.request < aRight.request;
    }
  };

  std::size_t m_capacity;
  std::set<Key> m_order;
  std::unordered_map<RequestId, Key> m_keys;
};

} // namespace fuchsiaramp

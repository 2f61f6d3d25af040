// Runs callbacks in order of their scheduled times, for seeded tests. Callbacks
// of the same time run in the order in which they were added.
//
//   EventQueue queue(start);
//   queue.At(queue.Now() + std::chrono::milliseconds(5), [] { ... });
//   queue.RunUntil(end);
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.h"

namespace fuchsiaramp {

class EventQueue
{
public:
  explicit EventQueue(TimePoint aStart)
    : m_now(aStart)
  {
  }

  TimePoint Now() const { return m_now; }

  void At(TimePoint aTime, std::function<void()> aRun)
  {
    m_items.push({ aTime, m_next++, std::move(aRun) });
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!m_items.empty() && m_items.top().time <= aEnd) {
      const Item item = m_items.top();
      m_items.pop();
      m_now = std::max(m_now, item.time);
      item.run();
    }
    m_now = std::max(m_now, aEnd);
  }

private:
  struct Item
  {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator<(const Item& aLeft, const Item& aRight)
    {
      return aLeft.time != aRight.time ? aLeft.time > aRight.time
                                       : aLeft.order > aRight.order;
    }
  };

  std::priority_queue<Item> m_items;
  std::uint64_t m_next = 0;
  TimePoint m_now;
};

} // namespace fuchsiaramp

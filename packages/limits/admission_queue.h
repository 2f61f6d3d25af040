// A bounded queue of requests that wait for a free slot of a service.
//
// Requests that can still be answered within their latency objective are
// started first, by descending priority, then by the time until which they have
// to be started. Those that are already late follow in the same order. So, in
// a lasting overload, the requests that are served are served in time, and
// after a short burst late ones are still served with the capacity that is
// left.
//
// A request that will not be started in time to be answered at all is not kept:
// TakeHopeless() returns it as soon as this can be foreseen.
//
//   AdmissionQueue queue(100);
//   std::optional<RequestId> dropped = queue.Push({ id, priority, ... });
//   for (RequestId id : queue.TakeHopeless(rates, now)) { ... refuse ... }
//   std::optional<QueuedRequest> next = queue.Pop(now);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

struct QueuedRequest
{
  RequestId request;
  std::uint32_t priority = 0;
  TimePoint inTimeUntil; // start after this time is late
  TimePoint startBy;     // start after this time is of no use
};

// Requests per second.
struct QueueRates
{
  double arriving = 0.0;
  double starting = 0.0; // as many as the service has room for
  // Before this time no request is started; kNever if none will be.
  TimePoint nextStartAt{};
  // Of `arriving`, by priority.
  std::map<std::uint32_t, double> arrivingByPriority{};
  // This host's share of the requests that wait at other hosts.
  std::map<std::uint32_t, double> waitingElsewhere{};
};

class AdmissionQueue
{
public:
  explicit AdmissionQueue(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  // Returns the request that was dropped because the queue is full, if any. It
  // may be the new one.
  std::optional<RequestId> Push(const QueuedRequest& aRequest);
  std::optional<QueuedRequest> Pop(TimePoint aNow);
  bool Remove(RequestId aRequest);
  // Removes and returns the requests that will not be started by their startBy
  // at these rates.
  std::vector<RequestId> TakeHopeless(const QueueRates& aRates, TimePoint aNow);

  std::size_t size() const { return m_order.size(); }
  // The requests that can still be in time, by priority.
  std::map<std::uint32_t, std::uint32_t> WaitingInTime(TimePoint aNow) const;
  bool empty() const { return m_order.empty(); }

private:
  struct Key
  {
    bool late = false;
    QueuedRequest queued;

    bool operator<(const Key& aOther) const;
  };

  void MarkLate(TimePoint aNow);

  std::size_t m_capacity;
  std::set<Key> m_order;
  std::unordered_map<RequestId, Key> m_keys;
};

} // namespace fuchsiaramp

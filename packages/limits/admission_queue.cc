#include "limits/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace fuchsiaramp {

bool
AdmissionQueue::Key::operator<(const Key& aOther) const
{
  if (late != aOther.late) {
    return aOther.late;
  }
  const QueuedRequest& other = aOther.queued;
  if (queued.priority != other.priority) {
    return queued.priority > other.priority;
  }
  const TimePoint until = late ? queued.startBy : queued.inTimeUntil;
  const TimePoint otherUntil = aOther.late ? other.startBy : other.inTimeUntil;
  if (until != otherUntil) {
    return until < otherUntil;
  }
  return queued.request < other.request;
}

std::optional<RequestId>
AdmissionQueue::Push(const QueuedRequest& aRequest)
{
  const Key key{ false, aRequest };
  m_order.insert(key);
  m_keys.emplace(aRequest.request, key);
  if (m_order.size() <= m_capacity) {
    return std::nullopt;
  }
  const RequestId dropped = std::prev(m_order.end())->queued.request;
  Remove(dropped);
  return dropped;
}

std::optional<QueuedRequest>
AdmissionQueue::Pop(TimePoint aNow)
{
  MarkLate(aNow);
  if (m_order.empty()) {
    return std::nullopt;
  }
  const QueuedRequest first = m_order.begin()->queued;
  Remove(first.request);
  return first;
}

bool
AdmissionQueue::Remove(RequestId aRequest)
{
  const auto it = m_keys.find(aRequest);
  if (it == m_keys.end()) {
    return false;
  }
  m_order.erase(it->second);
  m_keys.erase(it);
  return true;
}

void
AdmissionQueue::MarkLate(TimePoint aNow)
{
  for (auto& [request, key] : m_keys) {
    if (!key.late && IsDue(key.queued.inTimeUntil, aNow)) {
      m_order.erase(key);
      key.late = true;
      m_order.insert(key);
    }
  }
}

std::map<std::uint32_t, std::uint32_t>
AdmissionQueue::WaitingInTime(TimePoint aNow) const
{
  std::map<std::uint32_t, std::uint32_t> waiting;
  for (const Key& key : m_order) {
    if (!key.late && !IsDue(key.queued.inTimeUntil, aNow)) {
      ++waiting[key.queued.priority];
    }
  }
  return waiting;
}

// The sum over the priorities above aPriority.
static double
SumAbove(const std::map<std::uint32_t, double>& aValues,
         std::uint32_t aPriority)
{
  double sum = 0.0;
  for (auto it = aValues.upper_bound(aPriority); it != aValues.end(); ++it) {
    sum += it->second;
  }
  return sum;
}

// A request that is in time, or will be, is started after those before it in
// the queue and more urgent ones, here, elsewhere, or still to arrive: only the
// difference of the rates is left for it. A late one waits for all that arrive.
std::vector<RequestId>
AdmissionQueue::TakeHopeless(const QueueRates& aRates, TimePoint aNow)
{
  static constexpr double kMinRate = 1e-3; // requests per second
  MarkLate(aNow);
  std::vector<RequestId> hopeless;
  std::size_t before = 0; // kept requests that are started earlier
  double waitingElsewhere = 0.0;
  for (const auto& [priority, count] : aRates.waitingElsewhere) {
    waitingElsewhere += count;
  }
  const TimePoint firstAt = std::max(aNow, aRates.nextStartAt);
  for (const Key& key : m_order) {
    if (firstAt == kNever) {
      hopeless.push_back(key.queued.request);
      continue;
    }
    const auto startAt = [&](double aElsewhere, double aRate) {
      return firstAt + FromSeconds((static_cast<double>(before) + aElsewhere) /
                                   std::max(aRate, kMinRate));
    };
    const std::uint32_t priority = key.queued.priority;
    const bool inTime =
      !key.late && startAt(SumAbove(aRates.waitingElsewhere, priority),
                           aRates.starting -
                             SumAbove(aRates.arrivingByPriority, priority)) <=
                     key.queued.inTimeUntil;
    const bool served =
      inTime || (startAt(waitingElsewhere, aRates.starting - aRates.arriving) <=
                   key.queued.startBy &&
                 !IsDue(key.queued.startBy, aNow));
    if (served) {
      ++before;
    } else {
      hopeless.push_back(key.queued.request);
    }
  }
  for (RequestId request : hopeless) {
    Remove(request);
  }
  return hopeless;
}

} // namespace fuchsiaramp

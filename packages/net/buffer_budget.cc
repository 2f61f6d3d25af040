#include "net/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace fuchsiaramp {

// Large requests may use 5/8 of the budget, large responses 7/8. Requests hold
// their bodies until they are answered, so the quarter between the two keeps
// room for the responses on which they wait: 10 MB of the 40 MB of a host with
// 160 MB, while a response has up to 8 MiB. The last eighth is for small
// bodies, which are served while large ones wait.
static constexpr std::uint64_t kShareParts = 8;
static constexpr std::uint64_t kRequestParts = 5;
static constexpr std::uint64_t kResponseParts = 7;

BufferReservation::BufferReservation(BufferReservation&& aOther) noexcept
  : m_budget(std::move(aOther.m_budget))
  , m_bytes(std::exchange(aOther.m_bytes, 0))
{
}

BufferReservation&
BufferReservation::operator=(BufferReservation&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    m_budget = std::move(aOther.m_budget);
    m_bytes = std::exchange(aOther.m_bytes, 0);
  }
  return *this;
}

void
BufferReservation::ShrinkTo(std::uint64_t aBytes)
{
  if (m_budget != nullptr && aBytes < m_bytes) {
    const std::uint64_t given = m_bytes - aBytes;
    m_bytes = aBytes;
    m_budget->Give(given);
  }
}

void
BufferReservation::Release()
{
  ShrinkTo(0);
  m_budget.reset();
}

BufferBudget::BufferBudget(BufferBudgetOptions aOptions)
  : m_options(std::move(aOptions))
{
}

BufferBudget::Queue
BufferBudget::QueueFor(BufferUse aUse, std::uint64_t aBytes)
{
  if (aBytes <= kSmallBytes) {
    return kSmall;
  }
  return aUse == BufferUse::kResponse ? kResponses : kRequests;
}

std::uint64_t
BufferBudget::LimitFor(Queue aQueue) const
{
  const std::uint64_t part = m_options.limit / kShareParts;
  switch (aQueue) {
    case kRequests:
      return part * kRequestParts;
    case kResponses:
      return part * kResponseParts;
    default:
      return m_options.limit;
  }
}

bool
BufferBudget::Fits(Queue aQueue, std::uint64_t aBytes) const
{
  const std::uint64_t limit = LimitFor(aQueue);
  return m_options.limit == 0 || (m_used <= limit && aBytes <= limit - m_used);
}

bool
BufferBudget::CanFit(BufferUse aUse, std::uint64_t aBytes) const
{
  return m_options.limit == 0 || aBytes <= LimitFor(QueueFor(aUse, aBytes));
}

bool
BufferBudget::HasWaiterUpTo(Queue aQueue) const
{
  return std::any_of(
    m_queues, m_queues + aQueue + 1, [](const std::list<Waiter>& aWaiters) {
      return !aWaiters.empty();
    });
}

std::size_t
BufferBudget::Waiting() const
{
  std::size_t count = 0;
  for (const std::list<Waiter>& queue : m_queues) {
    count += queue.size();
  }
  return count;
}

void
BufferBudget::Take(std::uint64_t aBytes, BufferReservation& aHeld)
{
  m_used += aBytes;
  m_peak = std::max(m_peak, m_used);
  BufferReservation held;
  held.m_budget = shared_from_this();
  held.m_bytes = aBytes;
  aHeld = std::move(held);
}

void
BufferBudget::Give(std::uint64_t aBytes)
{
  m_used -= aBytes;
  if (!m_roomAnnounced && m_options.onRoom && HasWaiterUpTo(kRequests)) {
    m_roomAnnounced = true;
    m_options.onRoom();
  }
}

bool
BufferBudget::TryReserve(BufferUse aUse,
                         std::uint64_t aBytes,
                         BufferReservation& aHeld)
{
  const Queue queue = QueueFor(aUse, aBytes);
  if (HasWaiterUpTo(queue) || !Fits(queue, aBytes)) {
    return false;
  }
  Take(aBytes, aHeld);
  return true;
}

BufferWaitId
BufferBudget::Wait(BufferRequest aRequest, WaitHook aHook)
{
  ++m_waits;
  const Queue queue = QueueFor(aRequest.use, aRequest.bytes);
  m_queues[queue].push_back(
    { ++m_lastWait, std::move(aRequest), std::move(aHook) });
  if (!std::exchange(m_isFull, true)) {
    Record("buffers_full", &m_queues[queue].back().request);
  }
  return m_lastWait;
}

void
BufferBudget::CancelWait(BufferWaitId aWait)
{
  for (std::list<Waiter>& queue : m_queues) {
    for (auto it = queue.begin(); it != queue.end(); ++it) {
      if (it->id == aWait) {
        // The hook may own what owns this call.
        std::list<Waiter> cancelled;
        cancelled.splice(cancelled.begin(), queue, it);
        // Those behind it may fit.
        Give(0);
        CheckAvailable();
        return;
      }
    }
  }
}

void
BufferBudget::ExpireWaits(TimePoint aNow, std::list<Waiter>& aEnded)
{
  for (std::list<Waiter>& queue : m_queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      const auto next = std::next(it);
      if (IsDue(it->request.deadline, aNow)) {
        aEnded.splice(aEnded.end(), queue, it);
      }
      it = next;
    }
  }
}

bool
BufferBudget::GrantNext(Waiter& aGranted, BufferReservation& aHeld)
{
  for (int i = kSmall; i < kQueues; ++i) {
    std::list<Waiter>& queue = m_queues[i];
    if (queue.empty()) {
      continue;
    }
    const std::uint64_t bytes = queue.front().request.bytes;
    if (!Fits(static_cast<Queue>(i), bytes)) {
      return false;
    }
    aGranted = std::move(queue.front());
    queue.pop_front();
    Take(bytes, aHeld);
    return true;
  }
  return false;
}

void
BufferBudget::ServeWaiting(TimePoint aNow)
{
  m_roomAnnounced = false;
  if (Waiting() == 0) {
    return;
  }
  // Hooks may release bytes, wait again or cancel other waits. One that waits
  // again does so behind the others, so that this ends.
  const auto self = shared_from_this();
  std::list<Waiter> ended;
  ExpireWaits(aNow, ended);
  for (Waiter& waiter : ended) {
    ++m_rejected;
    Record("buffer_wait_ended", &waiter.request);
    waiter.hook({});
  }
  Waiter granted;
  BufferReservation held;
  while (GrantNext(granted, held)) {
    granted.hook(std::move(held));
  }
  CheckAvailable();
}

void
BufferBudget::CheckAvailable()
{
  if (m_isFull && Waiting() == 0) {
    m_isFull = false;
    Record("buffers_available", nullptr);
  }
}

void
BufferBudget::Close()
{
  std::list<Waiter> dropped;
  for (std::list<Waiter>& queue : m_queues) {
    dropped.splice(dropped.end(), queue);
  }
}

void
BufferBudget::RecordRejected(const BufferRequest& aRequest)
{
  ++m_rejected;
  Record("buffer_rejected", &aRequest);
}

void
BufferBudget::Record(const char* aName, const BufferRequest* aRequest) const
{
  if (!m_options.record) {
    return;
  }
  Event event(aName);
  if (aRequest != nullptr) {
    event.Add("use",
              aRequest->use == BufferUse::kRequest ? "request" : "response");
    event.Add("bytes", aRequest->bytes);
    event.Add("for", aRequest->label);
  }
  event.Add("used", m_used);
  event.Add("limit", m_options.limit);
  event.Add("waiting", Waiting());
  m_options.record(event);
}

} // namespace fuchsiaramp

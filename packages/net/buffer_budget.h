// One bound on the bytes of request and response bodies that a host holds.
//
// A reservation counts bytes until it is destroyed. Bytes that do not fit are
// waited for until a deadline: small bodies first, then responses, then
// requests, each in the order in which they asked. The budget has no clock and
// no thread; its owner calls ServeWaiting() when OnRoom() was called and
// regularly for deadlines.
//
//   auto budget = std::make_shared<BufferBudget>(options);
//   BufferReservation held;
//   if (!budget->TryReserve(BufferUse::kRequest, bytes, held)) {
//     wait = budget->Wait(request, [](BufferReservation aHeld) { ... });
//   }
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "base/event.h"
#include "base/time.h"

namespace fuchsiaramp {

class BufferBudget;

// Bytes that count in a budget for the lifetime of the object.
class BufferReservation
{
public:
  BufferReservation() = default;
  BufferReservation(BufferReservation&& aOther) noexcept;
  BufferReservation& operator=(BufferReservation&& aOther) noexcept;
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;
  ~BufferReservation() { Release(); }

  std::uint64_t Bytes() const { return m_bytes; }
  // Whether it was granted, if only for zero bytes.
  bool IsHeld() const { return m_budget != nullptr; }
  // Returns the bytes beyond aBytes to the budget.
  void ShrinkTo(std::uint64_t aBytes);
  void Release();

private:
  friend class BufferBudget;

  std::shared_ptr<BufferBudget> m_budget;
  std::uint64_t m_bytes = 0;
};

// A body with its reservation, shared by all who send it.
struct BufferedBody
{
  std::string bytes;
  BufferReservation reservation;
};

using BufferedBodyPtr = std::shared_ptr<const BufferedBody>;

enum class BufferUse
{
  kRequest,  // a body that a caller sends
  kResponse, // a body that a server sends
};

struct BufferBudgetOptions
{
  std::uint64_t limit = 0; // in bytes; 0: no limit, bytes are only counted
  // Called once when a release may allow a waiting reservation, before
  // ServeWaiting(). It must not call the budget itself.
  std::function<void()> onRoom;
  std::function<void(const Event&)> record;
};

struct BufferRequest
{
  BufferUse use = BufferUse::kRequest;
  std::uint64_t bytes = 0;
  TimePoint deadline;
  std::string label; // names the body in log lines
};

using BufferWaitId = std::uint64_t; // 0: none

class BufferBudget : public std::enable_shared_from_this<BufferBudget>
{
public:
  // Bodies of up to this size may use the whole budget.
  static constexpr std::uint64_t kSmallBytes = 128 << 10;

  // aHeld is empty if the deadline passed.
  using WaitHook = std::function<void(BufferReservation aHeld)>;

  explicit BufferBudget(BufferBudgetOptions aOptions);

  // Whether the bytes fit while nothing else is held.
  bool CanFit(BufferUse aUse, std::uint64_t aBytes) const;
  // Returns false, and leaves aHeld, if the bytes do not fit now, or if others
  // wait that come first.
  bool TryReserve(BufferUse aUse,
                  std::uint64_t aBytes,
                  BufferReservation& aHeld);
  // The hook is called by ServeWaiting(), never by Wait().
  BufferWaitId Wait(BufferRequest aRequest, WaitHook aHook);
  // The hook of the wait is not called any more.
  void CancelWait(BufferWaitId aWait);
  void ServeWaiting(TimePoint aNow);
  // Drops all waits without calling their hooks.
  void Close();
  // Counts and logs a body that was rejected without a wait.
  void RecordRejected(const BufferRequest& aRequest);

  std::uint64_t Limit() const { return m_options.limit; }
  std::uint64_t Used() const { return m_used; }
  std::uint64_t Peak() const { return m_peak; }
  std::uint64_t Rejected() const { return m_rejected; }
  std::uint64_t Waits() const { return m_waits; }
  std::size_t Waiting() const;

private:
  friend class BufferReservation;

  enum Queue
  {
    kSmall,
    kResponses,
    kRequests,
    kQueues
  };

  struct Waiter
  {
    BufferWaitId id = 0;
    BufferRequest request;
    WaitHook hook;
  };

  static Queue QueueFor(BufferUse aUse, std::uint64_t aBytes);
  std::uint64_t LimitFor(Queue aQueue) const;
  bool Fits(Queue aQueue, std::uint64_t aBytes) const;
  bool HasWaiterUpTo(Queue aQueue) const;
  void Take(std::uint64_t aBytes, BufferReservation& aHeld);
  void Give(std::uint64_t aBytes);
  // Ends waits whose deadline passed, and grants those that fit.
  void ExpireWaits(TimePoint aNow, std::list<Waiter>& aEnded);
  bool GrantNext(Waiter& aGranted, BufferReservation& aHeld);
  // Logs the end of a time with waits.
  void CheckAvailable();
  void Record(const char* aName, const BufferRequest* aRequest) const;

  BufferBudgetOptions m_options;
  std::uint64_t m_used = 0;
  std::uint64_t m_peak = 0;
  std::uint64_t m_rejected = 0;
  std::uint64_t m_waits = 0;
  BufferWaitId m_lastWait = 0;
  bool m_roomAnnounced = false;
  bool m_isFull = false; // bodies have waited since the last time without waits
  std::list<Waiter> m_queues[kQueues];
};

} // namespace fuchsiaramp

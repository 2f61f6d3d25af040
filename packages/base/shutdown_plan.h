// Decides which work a host takes while it is being stopped. Control hosts use
// its deadlines only.
//
// Callers keep sending on open connections, and to an address that they were
// given before, until the host is gone, and the host is killed at the end of
// its grace period. So an entry host serves what is certain to end in time
// until no caller can hold its address any more, and refuses the rest at once,
// while another host can still serve it.
//
//   ShutdownPlan plan(gracePeriod);
//   plan.Begin(requestedAt, addressesExpireAt);
//   if (!plan.Admits(request.deadline, now)) { ... }  // refuse it
#pragma once

#include "base/time.h"

namespace fuchsiaramp {

// From the request to stop until the process is killed. Where the supervisor's
// time is not known, the process is killed within a range of times.
struct GracePeriod
{
  template<class Count, class Unit>
  GracePeriod(std::chrono::duration<Count, Unit> aKnown)
    : atLeast(aKnown)
    , atMost(aKnown)
  {
  }
  GracePeriod(Duration aAtLeast, Duration aAtMost)
    : atLeast(aAtLeast)
    , atMost(aAtMost)
  {
  }

  Duration atLeast; // new work is certain to end within this
  Duration atMost;  // work in hand is not broken off before its end
};

class ShutdownPlan
{
public:
  explicit ShutdownPlan(GracePeriod aGracePeriod);

  // aRequestedAt: the start of the grace period. aAddressesExpireAt: when no
  // caller holds the address of this host any more.
  void Begin(TimePoint aRequestedAt, TimePoint aAddressesExpireAt);
  bool HasBegun() const { return m_begun; }

  // Whether the host no longer takes new requests and connections.
  bool IsClosed(TimePoint aNow) const;
  // Whether a new request that ends at aDeadline at the latest is accepted.
  bool Admits(TimePoint aDeadline, TimePoint aNow) const;
  // Whether a request that ends at aDeadline at the latest is certain to end
  // before the process is killed. Others that are in hand are not started any
  // more.
  bool EndsInTime(TimePoint aDeadline) const;
  // Whether requests in hand are answered now, whatever their deadline.
  bool IsEnding(TimePoint aNow) const;
  // When a request in hand that ends at aDeadline at the latest is answered.
  TimePoint AnswerBy(TimePoint aDeadline) const;
  // When the host stops waiting for callers that neither complete their request
  // nor close their connection.
  TimePoint ExitBy() const { return m_exitBy; }

private:
  GracePeriod m_gracePeriod;
  bool m_begun = false;
  TimePoint m_closesAt = kNever;
  TimePoint m_finishBy = kNever; // the latest deadline that is accepted
  TimePoint m_breakOffAt = kNever;
  TimePoint m_exitBy = kNever;
};

} // namespace fuchsiaramp

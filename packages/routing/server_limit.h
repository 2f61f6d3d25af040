// The rate of requests that one backend server takes from all entry hosts
// together, as one entry host knows it.
//
// The rate is assigned to a few hosts, which send the server whole requests at
// equal shares of it; the others send it nothing. A limit ends when a response
// shows that the server no longer names it, when another host says so, or when
// nobody has confirmed it for some time. The permitted rate then doubles each
// second until the limit is lifted.
//
//   ServerLimit limit;
//   limit.OnNamed(RequestRate{ 1.4 }, now);
//   limit.SetRank(0, 5, now);   // this host ranks first of five
//   if (limit.MaySend(now)) { limit.OnSent(now); ... }
#pragma once

#include <cstddef>
#include <optional>

#include "base/request_rate.h"
#include "base/time.h"

namespace fuchsiaramp {

class ServerLimit
{
public:
  // A response or another host says that the server names aRate. Returns
  // whether that is news.
  bool OnNamed(RequestRate aRate, TimePoint aNow);
  // A response names no limit. aSentAt: when its request was sent. Returns
  // whether that ends the limit; an older response than the newest notice does
  // not.
  bool OnNotNamed(TimePoint aSentAt, TimePoint aNow);
  // Another host says that the limit ended. Returns whether that is news.
  bool OnEnded(TimePoint aNow);

  // aRank: the number of hosts that rank before this one among the aHosts that
  // may share the limit; empty if this host is not among them.
  void SetRank(std::optional<std::size_t> aRank,
               std::size_t aHosts,
               TimePoint aNow);

  // Whether the rate is restricted, including the time until it is lifted.
  bool IsInForce(TimePoint aNow) const;
  // When the server last began to name limits.
  TimePoint NamedSince() const { return m_namedSince; }
  // Whether this host may send a request now.
  bool MaySend(TimePoint aNow) const;
  // When MaySend is true next; kNever if this host has no share.
  TimePoint NextAt(TimePoint aNow) const;
  void OnSent(TimePoint aNow);

  // The rates of all hosts together and of this host. Call these only while the
  // limit is in force.
  RequestRate TotalRate(TimePoint aNow) const;
  RequestRate OwnRate(TimePoint aNow) const;

private:
  // When the server stopped naming the limit, as far as it is known.
  TimePoint EndedAt() const;
  bool IsNamed(TimePoint aNow) const { return !IsDue(EndedAt(), aNow); }
  bool End(TimePoint aNow);
  // The requests that this host may send now, with fractions; negative after
  // requests that were sent without permission.
  double Permits(TimePoint aNow) const;
  void UpdatePermits(TimePoint aNow);

  std::optional<RequestRate> m_rate;
  TimePoint m_namedSince;
  TimePoint m_lastNamedAt;
  TimePoint m_expiresAt; // unless the limit is confirmed before
  std::optional<TimePoint> m_endedAt;
  std::optional<std::size_t> m_rank = 0;
  std::size_t m_hosts = 1;
  double m_permits = 0.0;
  TimePoint m_permitsAt;
};

} // namespace fuchsiaramp

// Permits to run requests of teams on one entry host.
//
// A request takes a permit that is at hand or waits for one. Control hosts are
// asked nearest first; the next one is asked when there is no reply within
// 80 ms, or one that cannot decide.
//
//   switch (client.Take(team, request, now).state) { ... }
//   client.Flush(now); // at the end of the turn of the event loop
//   client.OnGrant(from, grant, now); // hooks.decided(...) follows
//   client.Tick(now);
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "limits/quota_limit.h"
#include "routing/decayed_counts.h"
#include "wire/messages.h"

namespace fuchsiaramp {

enum class QuotaState
{
  kGranted,
  kWaiting,
  kDenied,  // the quota is exceeded
  kUnknown, // no control host could decide
};

struct QuotaDecision
{
  QuotaState state = QuotaState::kWaiting;
  TeamName team;
  RequestId request;
  TimePoint permitUntil; // granted: the request must start before
  Duration retryAfter{}; // denied: when the team has a permit again
  HostId controlHost;    // denied: that refused
  Duration leaseAge{};   // denied: of its lease
};

struct QuotaClientHooks
{
  std::function<void(const HostId&, const wire::QuotaRequest&)> send;
  // Control hosts, best first.
  std::function<std::vector<HostId>(TimePoint)> controlHosts;
  // A request that waited no longer waits.
  std::function<void(const QuotaDecision&, TimePoint)> decided;
};

// Counters since the start.
struct QuotaClientCounters
{
  std::uint64_t granted = 0; // requests
  std::uint64_t denied = 0;  // requests
  std::uint64_t waited = 0;  // requests that had no permit at hand
  std::uint64_t unknown = 0; // requests that no control host decided on
  std::uint64_t expired = 0; // permits that were not used
  std::uint64_t messages = 0;
};

class QuotaClient
{
public:
  explicit QuotaClient(QuotaClientHooks aHooks);

  // Returns kGranted or kWaiting.
  QuotaDecision Take(const TeamName& aTeam, RequestId aRequest, TimePoint aNow);
  // The request no longer waits.
  void Cancel(const TeamName& aTeam, RequestId aRequest);
  // The request that took the permit did not start.
  void Return(const TeamName& aTeam, TimePoint aPermitUntil, TimePoint aNow);
  void OnGrant(const HostId& aFrom,
               const wire::QuotaGrant& aGrant,
               TimePoint aNow);
  void Tick(TimePoint aNow);
  // Sends what was asked for since the last call, in one message to each
  // control host, and passes on the decisions that Return led to.
  void Flush(TimePoint aNow);
  // Whether Flush is due at the end of this turn of the event loop.
  bool NeedsFlush() const { return !m_unsent.empty() || !m_decisions.empty(); }

  const QuotaClientCounters& Counters() const { return m_counters; }

private:
  struct Waiter
  {
    RequestId request;
    TimePoint giveUpAt;
    std::uint64_t askId = 0; // message that asks for it; 0: not sent
    TimePoint askedAt;
    std::size_t tried = 0; // control hosts
  };

  struct Permits
  {
    TimePoint until;
    std::uint32_t count = 0;
  };

  struct Team
  {
    std::deque<Waiter> waiters;
    std::deque<Permits> permits; // by time of expiry
    DecayedCounts demand;
    TimePoint usedAt;
    TimePoint askAheadAt; // permits for later requests are not asked for before

    explicit Team(TimePoint aNow);
  };

  struct SentRequest
  {
    HostId to;
    TimePoint sentAt;
  };

  std::uint32_t TakeExpired(Team& aTeam, TimePoint aNow);
  bool TakePermit(Team& aTeam, TimePoint& aUntil, TimePoint aNow);
  std::uint32_t CountAhead(Team& aTeam, TimePoint aNow) const;
  void GiveTo(const TeamName& aName,
              Team& aTeam,
              std::uint64_t aAskId,
              TimePoint aNow);
  void Retry(const std::string& aTeam, Waiter& aWaiter);
  void Report(TimePoint aNow);

  QuotaClientHooks m_hooks;
  std::unordered_map<std::string, Team> m_teams;
  std::set<std::string> m_unsent; // teams with something to ask for
  std::map<std::uint64_t, SentRequest> m_sent;
  std::vector<QuotaDecision> m_decisions; // passed on by Report
  std::uint64_t m_nextRequest = 1;
  QuotaClientCounters m_counters;
};

} // namespace fuchsiaramp

// Gives permits for requests of teams to entry hosts, out of the shares that
// the leader of the lists group leased to this control host.
//
// Requests that wait while this host has no permit cause a report to the leader
// at once. They get their reply when the leader's has arrived, at the latest
// after kHoldTime.
//
//   broker.SetLeader(leader, term, now);
//   broker.OnRequest(entryHost, request, now);
//   broker.OnLease(leader, lease, now);
//   broker.Tick(now);
//   broker.Flush(now); // after each batch of calls
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "limits/quota_limit.h"
#include "routing/decayed_counts.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct QuotaBrokerHooks
{
  std::function<void(const HostId&, const wire::QuotaReport&)> sendReport;
  std::function<void(const HostId&, const wire::QuotaGrant&)> sendGrant;
  QuotaLimitHook limitOf;
  // Whether any team has a limit. Without one, nothing is sent.
  std::function<bool()> hasLimits;
};

// Counters since the start.
struct QuotaBrokerCounters
{
  std::uint64_t granted = 0; // permits
  std::uint64_t denied = 0;  // requests that waited for a permit
  std::uint64_t unknown = 0; // requests that could not be decided
  std::uint64_t reports = 0; // to the leader
};

class QuotaBroker
{
public:
  // aFirstReportId differs between the processes of one host, so that a lease
  // for an earlier process is not taken.
  QuotaBroker(QuotaBrokerHooks aHooks, std::uint64_t aFirstReportId);

  // The leader of the lists group and its term; empty if none is known.
  void SetLeader(const HostId& aLeader, std::uint64_t aTerm, TimePoint aNow);
  void OnRequest(const HostId& aFrom,
                 const wire::QuotaRequest& aRequest,
                 TimePoint aNow);
  void OnLease(const HostId& aFrom,
               const wire::QuotaLease& aLease,
               TimePoint aNow);
  void Tick(TimePoint aNow);
  void Flush(TimePoint aNow);

  const QuotaBrokerCounters& Counters() const { return m_counters; }
  std::size_t TeamCount() const { return m_teams.size(); }

private:
  // Requests of one entry host that wait for permits.
  struct Waiter
  {
    HostId host;
    std::uint64_t requestId = 0;
    std::uint32_t missing = 0;
    TimePoint arrivedAt;
  };

  // Permits that a report asked for and its reply has not brought yet.
  struct Asked
  {
    std::uint64_t reportId = 0;
    double permits = 0.0;
    TimePoint until;
  };

  struct Team
  {
    double rate = 0.0;
    double burst = 0.0;
    double level = 0.0; // permits left
    TimePoint refilledAt;
    TimePoint expiresAt;   // of the lease
    TimePoint leaseSentAt; // when the report was sent that it replies to
    double returned = 0.0;
    DecayedCounts demand;
    TimePoint usedAt;
    std::deque<Waiter> waiters;
    std::deque<Asked> asked;
    bool askNow = false;          // the next Flush reports the team
    bool silenceReported = false; // since its last request
    // When the newest report was sent whose request for permits the leader
    // refused, whether it knew all shares, and when it expected a permit.
    TimePoint refusedAt;
    bool canTell = false;
    TimePoint nextAt;

    explicit Team(TimePoint aNow);
  };

  void Refill(Team& aTeam, const std::string& aName, TimePoint aNow);
  static double DecayedDemand(const Team& aTeam, TimePoint aNow);
  static bool IsSilent(const Team& aTeam, TimePoint aNow);
  static double DemandOf(const Team& aTeam, TimePoint aNow);
  static double Missing(const Team& aTeam);
  wire::QuotaPermits& ReplyTo(const Waiter& aWaiter, const std::string& aTeam);
  void Serve(Team& aTeam, const std::string& aName);
  bool IsLeaderSilent(TimePoint aNow) const;
  void Settle(Team& aTeam, const std::string& aName, TimePoint aNow);
  void Refuse(Team& aTeam,
              const std::string& aName,
              const Waiter& aWaiter,
              bool aUnknown,
              TimePoint aNow);
  TimePoint NextPermitHereAt(const Team& aTeam, TimePoint aNow) const;
  TimePoint NextPermitAt(const Team& aTeam, TimePoint aNow) const;
  // A partial report lists the teams to ask for now, and a regular one those
  // whose share may change.
  void Report(bool aPartial, bool aRegular, TimePoint aNow);

  QuotaBrokerHooks m_hooks;
  HostId m_leader;
  std::uint64_t m_term = 0;         // of the leader
  std::uint64_t m_reportedTerm = 0; // newest term of a report
  bool m_known = false;             // the leader replied in its term
  // When the oldest report was sent since the last reply of the leader.
  std::optional<TimePoint> m_unansweredSince;
  std::uint64_t m_nextReport;
  std::uint64_t m_newestLease = 0;
  std::map<std::uint64_t, TimePoint> m_sentReports;
  TimePoint m_reportAt;
  TimePoint m_fullReportAt;
  std::unordered_map<std::string, Team> m_teams;
  // Replies that the next Flush sends, by host and request.
  std::map<std::pair<HostId, std::uint64_t>, wire::QuotaGrant> m_replies;
  QuotaBrokerCounters m_counters;
};

} // namespace fuchsiaramp

// Divides the quotas of teams among the control hosts. Runs on the leader of
// the lists group while it has a lease.
//
// A team has a pool of permits that grows at the part of the rate that no
// control host holds. A control host with enough demand receives a share of the
// rate and of the burst; others receive single permits when requests wait. The
// permits in the pool and with all holders together are never more than the
// burst plus kMaxStandby, and grow at most at the rate.
//
//   allocator.Lead(term, controlHosts, now);      // on each tick with a lease
//   allocator.OnReport(from, incarnation, report, now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/event.h"
#include "base/ids.h"
#include "base/time.h"
#include "limits/quota_limit.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct QuotaAllocatorHooks
{
  std::function<void(const HostId&, const wire::QuotaLease&)> send;
  QuotaLimitHook limitOf;
  EventHook record;
};

class QuotaAllocator
{
public:
  explicit QuotaAllocator(QuotaAllocatorHooks aHooks);

  // This host leads in the term and has a lease at aNow. aHosts: the control
  // hosts that may hold shares, this one included.
  void Lead(std::uint64_t aTerm,
            const std::set<HostId>& aHosts,
            TimePoint aNow);
  // Requires a call of Lead at the same time. aIncarnation: of the sender.
  void OnReport(const HostId& aFrom,
                std::uint64_t aIncarnation,
                const wire::QuotaReport& aReport,
                TimePoint aNow);
  std::size_t TeamCount() const { return m_teams.size(); }

private:
  // A lease that its receiver may have taken, but has not reported yet.
  struct SentShare
  {
    std::uint64_t leaseId = 0;
    double rate = 0.0;
    double burst = 0.0;
    TimePoint expiresAt;
  };

  // What one control host may hold of a team.
  struct Holding
  {
    double rate = 0.0; // as reported
    double burst = 0.0;
    TimePoint expiresAt;
    std::vector<SentShare> sent;
    double demand = 0.0; // requests per second
    TimePoint demandUntil;

    double MaxRate() const;
    double MaxBurst() const;
  };

  struct Team
  {
    double pool = 0.0;
    // Permits beyond the burst, with which control hosts of little demand keep
    // one permit at hand.
    double standby = 0.0;
    TimePoint refilledAt;
    TimePoint usedAt;
    std::map<HostId, Holding> holdings;
  };

  struct Reporter
  {
    std::uint64_t incarnation = 0;
    std::uint64_t reportId = 0;
    bool complete = false; // reported all that it holds in this term
  };

  bool IsComplete(TimePoint aNow);
  Team& TeamOf(const std::string& aName, TimePoint aNow);
  void Refill(Team& aTeam, const QuotaLimit& aLimit, TimePoint aNow);
  static void Cap(Team& aTeam, const QuotaLimit& aLimit);
  static double UnassignedRate(const Team& aTeam, const QuotaLimit& aLimit);
  static double UnassignedBurst(const Team& aTeam, const QuotaLimit& aLimit);
  // Returns the share that aHost may hold from now on.
  wire::QuotaShare Divide(Team& aTeam,
                          const QuotaLimit& aLimit,
                          const HostId& aHost,
                          const wire::QuotaDemand& aDemand,
                          bool aComplete,
                          TimePoint aNow);
  void AcceptHeld(Holding& aHolding,
                  const wire::QuotaDemand& aDemand,
                  std::uint64_t aLeaseId,
                  TimePoint aNow);
  void RemoveIdle(TimePoint aNow);

  QuotaAllocatorHooks m_hooks;
  std::optional<std::uint64_t> m_term;
  TimePoint m_leadingSince;
  std::optional<TimePoint> m_completeSince;
  std::uint64_t m_nextLease = 1;
  std::set<HostId> m_hosts;
  std::map<HostId, Reporter> m_reporters;
  std::unordered_map<std::string, Team> m_teams;
  TimePoint m_removeIdleAt;
};

} // namespace fuchsiaramp

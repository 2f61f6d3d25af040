#include "limits/quota_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiaramp {

// A share counts for this long after it was sent. Longer than the lease by what
// clocks of different hosts may differ in that time.
static constexpr Duration kCountedLifetime =
  kQuotaLeaseLifetime + std::chrono::milliseconds(30);
// Longer than the interval of full reports.
static constexpr Duration kDemandLifetime = std::chrono::milliseconds(1'500);
// Control hosts receive their demand and this much more.
static constexpr double kHeadroom = 1.25;
// The part of the burst that control hosts hold. The rest stays in the pool,
// where it serves demand that moves to another control host.
static constexpr double kDividedBurst = 1.0 / 3.0;
// A control host with a smaller share of the burst receives no rate: its bucket
// would overflow between requests that are far apart, and the rate would be
// lost to the others.
static constexpr double kMinLocalBurst = 6.0;
// Permits that control hosts may hold beyond the burst. The bound allows for 20
// in any 5 s; the rest is for kFirstPermits.
static constexpr double kMaxStandby = 8.0;
// A new leader does not know how many permits were used just before. As no more
// than 5 terms have a lease in 5.5 s, this stays within the allowance of the
// bound.
static constexpr double kFirstPermits = 2.0;
static constexpr Duration kMinNext = std::chrono::milliseconds(1);
static constexpr Duration kMaxNext = std::chrono::seconds(1);
static constexpr Duration kIdleInterval = std::chrono::seconds(1);
static constexpr double kRounding = 1e-6;   // permits
static constexpr double kMinDemand = 0.001; // requests per second

double
QuotaAllocator::Holding::MaxRate() const
{
  double max = rate;
  for (const SentShare& share : sent) {
    max = std::max(max, share.rate);
  }
  return max;
}

double
QuotaAllocator::Holding::MaxBurst() const
{
  double max = burst;
  for (const SentShare& share : sent) {
    max = std::max(max, share.burst);
  }
  return max;
}

QuotaAllocator::QuotaAllocator(QuotaAllocatorHooks aHooks)
  : m_hooks(std::move(aHooks))
{
}

void
QuotaAllocator::Lead(std::uint64_t aTerm,
                     const std::set<HostId>& aHosts,
                     TimePoint aNow)
{
  m_hosts = aHosts;
  if (m_term != aTerm) {
    m_term = aTerm;
    m_leadingSince = aNow;
    m_completeSince.reset();
    m_reporters.clear();
    m_teams.clear();
  }
  if (IsDue(m_removeIdleAt, aNow)) {
    m_removeIdleAt = aNow + kIdleInterval;
    RemoveIdle(aNow);
  }
}

// Until then, control hosts may hold shares of earlier leaders that are not
// known here.
bool
QuotaAllocator::IsComplete(TimePoint aNow)
{
  if (m_completeSince) {
    return true;
  }
  std::size_t missing = 0;
  for (const HostId& host : m_hosts) {
    const auto it = m_reporters.find(host);
    missing += it == m_reporters.end() || !it->second.complete ? 1 : 0;
  }
  if (missing > 0 && !IsDue(m_leadingSince + kCountedLifetime, aNow)) {
    return false;
  }
  m_completeSince = aNow;
  m_hooks.record(Event("quotas_known")
                   .With("term", *m_term)
                   .With("control_hosts", m_hosts.size())
                   .With("missing", missing)
                   .With("ms", (aNow - m_leadingSince).count() / 1000));
  return true;
}

QuotaAllocator::Team&
QuotaAllocator::TeamOf(const std::string& aName, TimePoint aNow)
{
  const auto [it, isNew] = m_teams.try_emplace(aName);
  if (isNew) {
    it->second.pool = kFirstPermits;
    // A team that no control host named so far was idle, so that its pool has
    // grown since.
    it->second.refilledAt = m_completeSince.value_or(aNow);
  }
  it->second.usedAt = aNow;
  return it->second;
}

double
QuotaAllocator::UnassignedRate(const Team& aTeam, const QuotaLimit& aLimit)
{
  double rate = aLimit.rate;
  for (const auto& [host, holding] : aTeam.holdings) {
    rate -= holding.MaxRate();
  }
  return std::max(0.0, rate);
}

// Each holder may hold kMinQuotaBurst beyond the burst, as long as there are at
// most kMaxStandby of them.
double
QuotaAllocator::UnassignedBurst(const Team& aTeam, const QuotaLimit& aLimit)
{
  double burst = aLimit.burst;
  double holders = 0.0;
  for (const auto& [host, holding] : aTeam.holdings) {
    const double held = holding.MaxBurst();
    burst -= std::max(0.0, held - kMinQuotaBurst);
    holders += held > 0.0 ? 1.0 : 0.0;
  }
  return std::max(0.0, burst - std::max(0.0, holders - kMaxStandby));
}

void
QuotaAllocator::Cap(Team& aTeam, const QuotaLimit& aLimit)
{
  double holders = 0.0;
  for (const auto& [host, holding] : aTeam.holdings) {
    holders += holding.MaxBurst() > 0.0 ? 1.0 : 0.0;
  }
  const double room = UnassignedBurst(aTeam, aLimit);
  aTeam.standby += std::max(0.0, aTeam.pool - room);
  aTeam.standby = std::min(aTeam.standby, std::max(0.0, kMaxStandby - holders));
  aTeam.pool = std::min(aTeam.pool, room);
}

void
QuotaAllocator::Refill(Team& aTeam, const QuotaLimit& aLimit, TimePoint aNow)
{
  if (m_completeSince) {
    const TimePoint since = std::max(aTeam.refilledAt, *m_completeSince);
    aTeam.pool +=
      UnassignedRate(aTeam, aLimit) * std::max(0.0, ToSeconds(aNow - since));
  }
  aTeam.refilledAt = aNow;
  for (auto it = aTeam.holdings.begin(); it != aTeam.holdings.end();) {
    Holding& holding = it->second;
    if (IsDue(holding.expiresAt, aNow)) {
      holding.rate = 0.0;
      holding.burst = 0.0;
    }
    std::erase_if(holding.sent, [aNow](const SentShare& aShare) {
      return IsDue(aShare.expiresAt, aNow);
    });
    const bool unused = holding.MaxBurst() <= 0.0 && holding.MaxRate() <= 0.0 &&
                        IsDue(holding.demandUntil, aNow);
    it = unused ? aTeam.holdings.erase(it) : std::next(it);
  }
  Cap(aTeam, aLimit);
}

void
QuotaAllocator::AcceptHeld(Holding& aHolding,
                           const wire::QuotaDemand& aDemand,
                           std::uint64_t aLeaseId,
                           TimePoint aNow)
{
  aHolding.rate = FromMilli(aDemand.held_rate_milli());
  aHolding.burst = FromMilli(aDemand.held_burst_milli());
  // A holder takes no lease older than the newest that it took.
  std::erase_if(aHolding.sent, [aLeaseId](const SentShare& aShare) {
    return aShare.leaseId <= aLeaseId;
  });
  // What it holds expires at most one lifetime after this report was sent.
  aHolding.expiresAt = aNow + kCountedLifetime;
  aHolding.demand = FromMilli(aDemand.demand_milli());
  aHolding.demandUntil = aNow + kDemandLifetime;
}

void
QuotaAllocator::OnReport(const HostId& aFrom,
                         std::uint64_t aIncarnation,
                         const wire::QuotaReport& aReport,
                         TimePoint aNow)
{
  if (m_term != aReport.term() || m_hosts.count(aFrom) == 0) {
    return;
  }
  Reporter& reporter = m_reporters[aFrom];
  const bool isOld = aIncarnation < reporter.incarnation ||
                     (aIncarnation == reporter.incarnation &&
                      aReport.report_id() <= reporter.reportId);
  // A partial report says nothing of the teams that it does not list.
  if (isOld || (aReport.partial() &&
                (aIncarnation != reporter.incarnation || !reporter.complete))) {
    return;
  }
  if (aIncarnation != reporter.incarnation) {
    // The earlier process ended, and with it what it held.
    for (auto& [name, team] : m_teams) {
      if (const auto limit = m_hooks.limitOf(TeamName(name))) {
        Refill(team, *limit, aNow);
      }
      team.holdings.erase(aFrom);
    }
  }
  reporter = { aIncarnation, aReport.report_id(), true };
  const bool complete = IsComplete(aNow);
  wire::QuotaLease lease;
  lease.set_term(*m_term);
  lease.set_report_id(aReport.report_id());
  lease.set_lease_id(m_nextLease++);
  lease.set_lifetime_us(kQuotaLeaseLifetime.count());
  std::set<std::string> listed;
  for (const wire::QuotaDemand& demand : aReport.demands()) {
    const auto limit = m_hooks.limitOf(TeamName(demand.team()));
    if (!limit || !listed.insert(demand.team()).second) {
      continue;
    }
    Team& team = TeamOf(demand.team(), aNow);
    Refill(team, *limit, aNow);
    Holding& holding = team.holdings[aFrom];
    AcceptHeld(holding, demand, aReport.lease_id(), aNow);
    if (complete) {
      team.pool += FromMilli(demand.returned_milli());
    }
    Cap(team, *limit);
    wire::QuotaShare share =
      Divide(team, *limit, aFrom, demand, complete, aNow);
    share.set_team(demand.team());
    holding.sent.push_back({ lease.lease_id(),
                             FromMilli(share.rate_milli()),
                             FromMilli(share.burst_milli()),
                             aNow + kCountedLifetime });
    Cap(team, *limit);
    *lease.add_shares() = std::move(share);
  }
  if (!aReport.partial()) {
    wire::QuotaDemand none;
    for (auto& [name, team] : m_teams) {
      const auto it = team.holdings.find(aFrom);
      if (it != team.holdings.end() && listed.count(name) == 0) {
        AcceptHeld(it->second, none, aReport.lease_id(), aNow);
      }
    }
  }
  m_hooks.send(aFrom, lease);
}

wire::QuotaShare
QuotaAllocator::Divide(Team& aTeam,
                       const QuotaLimit& aLimit,
                       const HostId& aHost,
                       const wire::QuotaDemand& aDemand,
                       bool aComplete,
                       TimePoint aNow)
{
  double total = 0.0;
  double othersRate = 0.0;
  double othersBurst = 0.0;
  for (const auto& [host, holding] : aTeam.holdings) {
    total += IsDue(holding.demandUntil, aNow) ? 0.0 : holding.demand;
    if (host != aHost) {
      othersRate += holding.MaxRate();
      othersBurst += std::max(0.0, holding.MaxBurst() - kMinQuotaBurst);
    }
  }
  const double freeRate = std::max(0.0, aLimit.rate - othersRate);
  const double freeBurst = std::max(0.0, aLimit.burst - othersBurst);
  const double level = FromMilli(aDemand.level_milli());
  const double waiting = FromMilli(aDemand.waiting_milli());
  const double demand = FromMilli(aDemand.demand_milli());
  double rate = FromMilli(aDemand.held_rate_milli());
  double burst = FromMilli(aDemand.held_burst_milli());
  double permits = 0.0;
  if (aComplete) {
    const double part = demand / std::max(total, kMinDemand);
    const double localBurst = kDividedBurst * aLimit.burst * part;
    rate = 0.0;
    burst = kMinQuotaBurst;
    if (localBurst >= kMinLocalBurst) {
      const bool isEnough = total * kHeadroom <= aLimit.rate;
      rate = isEnough ? demand * kHeadroom : aLimit.rate * part;
      burst += localBurst;
    }
    // A part of a permit is of no use to a request that waits.
    permits =
      std::min(waiting, std::floor(aTeam.pool + aTeam.standby + kRounding));
    // The permits are for requests that wait, so the bucket must hold them.
    burst = std::max(burst, permits > 0.0 ? level + permits : 0.0);
    burst = std::min(burst, kMinQuotaBurst + freeBurst);
    permits = std::min(permits, std::max(0.0, burst - level));
    const double fromPool = std::min(permits, aTeam.pool);
    aTeam.pool -= fromPool;
    aTeam.standby = std::max(0.0, aTeam.standby - (permits - fromPool));
    if (waiting <= 0.0 && burst >= kMinQuotaBurst && level < kMinQuotaBurst) {
      const double added = std::min(kMinQuotaBurst - level, aTeam.standby);
      aTeam.standby -= added;
      permits += added;
    }
    // Half of a bucket is kept filled from the pool as long as the pool itself
    // is more than half full.
    const double room = UnassignedBurst(aTeam, aLimit);
    if (rate > 0.0 && level + permits < burst / 2 && aTeam.pool > room / 2) {
      const double added =
        std::min(burst / 2 - level - permits, aTeam.pool - room / 2);
      aTeam.pool -= added;
      permits += added;
    }
  }
  wire::QuotaShare share;
  share.set_rate_milli(ToMilli(std::min(rate, freeRate)));
  share.set_burst_milli(ToMilli(std::min(burst, kMinQuotaBurst + freeBurst)));
  share.set_permits_milli(ToMilli(permits));
  if (aComplete) {
    const double missing = std::max(0.0, 1.0 - aTeam.pool - aTeam.standby);
    const double growth = UnassignedRate(aTeam, aLimit);
    const Duration next = growth * ToSeconds(kMaxNext) > missing
                            ? FromSeconds(missing / growth)
                            : kMaxNext;
    share.set_next_us(std::max(next, kMinNext).count());
  }
  return share;
}

// A team is forgotten when its pool is full, so that it may be taken for one
// that was idle since this leader began.
void
QuotaAllocator::RemoveIdle(TimePoint aNow)
{
  for (auto it = m_teams.begin(); it != m_teams.end();) {
    Team& team = it->second;
    const auto limit = m_hooks.limitOf(TeamName(it->first));
    bool isIdle = IsDue(team.usedAt + kCountedLifetime, aNow);
    if (isIdle && limit && IsComplete(aNow)) {
      Refill(team, *limit, aNow);
      isIdle = team.holdings.empty() && team.pool >= limit->burst;
    } else if (!limit) {
      // A team may be removed from the lists and added again.
      isIdle = IsDue(team.usedAt + 10 * kIdleInterval, aNow);
    } else {
      isIdle = false;
    }
    it = isIdle ? m_teams.erase(it) : std::next(it);
  }
}

} // namespace fuchsiaramp

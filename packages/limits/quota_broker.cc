#include "limits/quota_broker.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace fuchsiaramp {

// Longer than a round trip to a leader in another region (40 ms). With the
// interval of ticks (20 ms) it stays below the 80 ms after which an entry host
// asks another control host.
static constexpr Duration kHoldTime = std::chrono::milliseconds(55);
// A team that was at its limit this short before is taken to be at it still.
static constexpr Duration kRefusalLifetime = std::chrono::milliseconds(200);
// A request for permits whose reply has not come by then is lost.
static constexpr Duration kAskTimeout = std::chrono::milliseconds(100);
// Short enough for demand that moves within a second.
static constexpr Duration kDemandHalfLife = std::chrono::milliseconds(700);
// Control hosts keep a permit at hand this long for teams with few requests, so
// that those are served while there is no leader.
static constexpr Duration kIdleLifetime = std::chrono::seconds(12);
// A report of all teams follows after this time. Between them, teams of which
// this host holds no rate are reported only if they lack a permit.
static constexpr Duration kFullReportInterval = std::chrono::seconds(1);
static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
// Requests expected in a time without any, in units of their mean number. Of
// random arrivals, one such time in e^7 is that long.
static constexpr double kUnlikelySilence = 7.0;
static constexpr double kDemandAfterSilence = 2.0;
// A share that shrinks by more than this is reported at once, since the leader
// cannot give it to others before.
static constexpr double kReportedChange = 0.1;
static constexpr double kMaxSeconds = 60.0; // until the next permit
// Rates are sums of many small steps; a permit may be short by their rounding.
static constexpr double kRounding = 1e-9;

QuotaBroker::Team::Team(TimePoint aNow)
  : refilledAt(aNow)
  , demand(kDemandHalfLife)
  , usedAt(aNow)
{
}

QuotaBroker::QuotaBroker(QuotaBrokerHooks aHooks, std::uint64_t aFirstReportId)
  : m_hooks(std::move(aHooks))
  , m_nextReport(std::max<std::uint64_t>(1, aFirstReportId))
{
}

void
QuotaBroker::SetLeader(const HostId& aLeader,
                       std::uint64_t aTerm,
                       TimePoint aNow)
{
  if (aLeader == m_leader && aTerm == m_term) {
    return;
  }
  m_leader = aLeader;
  m_term = aTerm;
  m_known = false;
  m_unansweredSince.reset();
  m_reportAt = aNow;
  m_fullReportAt = aNow;
  // Requests that the earlier leader did not answer are made again.
  for (auto& [name, team] : m_teams) {
    team.asked.clear();
    team.canTell = false;
  }
}

// A change of the limits takes effect as soon as the lists here have it, before
// the leader divides the new limit.
void
QuotaBroker::Refill(Team& aTeam, const std::string& aName, TimePoint aNow)
{
  const auto limit = m_hooks.limitOf(TeamName(aName));
  if (!limit || IsDue(aTeam.expiresAt, aNow)) {
    aTeam.rate = 0.0;
    aTeam.burst = 0.0;
    aTeam.level = 0.0;
    aTeam.refilledAt = aNow;
    return;
  }
  aTeam.rate = std::min(aTeam.rate, limit->rate);
  aTeam.burst = std::min(aTeam.burst, std::max(limit->burst, kMinQuotaBurst));
  const double grown =
    aTeam.rate * std::max(0.0, ToSeconds(aNow - aTeam.refilledAt));
  aTeam.level = std::min(aTeam.level + grown, aTeam.burst);
  aTeam.refilledAt = aNow;
}

double
QuotaBroker::DecayedDemand(const Team& aTeam, TimePoint aNow)
{
  return aTeam.demand.At(aNow).total * std::numbers::ln2 /
         ToSeconds(kDemandHalfLife);
}

bool
QuotaBroker::IsSilent(const Team& aTeam, TimePoint aNow)
{
  return DecayedDemand(aTeam, aNow) * ToSeconds(aNow - aTeam.usedAt) >
         kUnlikelySilence;
}

// Demand that ended is noticed from the silence after it, long before the
// decayed count shows it: the rate that this host holds meanwhile is lost to
// the others.
double
QuotaBroker::DemandOf(const Team& aTeam, TimePoint aNow)
{
  const double decayed = DecayedDemand(aTeam, aNow);
  return IsSilent(aTeam, aNow)
           ? std::min(decayed,
                      kDemandAfterSilence / ToSeconds(aNow - aTeam.usedAt))
           : decayed;
}

// The permits that waiting requests lack and no report has asked for. They are
// whole, since a part of a permit is of no use to any of them.
double
QuotaBroker::Missing(const Team& aTeam)
{
  double missing = -std::floor(aTeam.level + kRounding);
  for (const Waiter& waiter : aTeam.waiters) {
    missing += waiter.missing;
  }
  for (const Asked& asked : aTeam.asked) {
    missing -= asked.permits;
  }
  return aTeam.waiters.empty() ? 0.0 : std::max(0.0, missing);
}

wire::QuotaPermits&
QuotaBroker::ReplyTo(const Waiter& aWaiter, const std::string& aTeam)
{
  wire::QuotaGrant& grant = m_replies[{ aWaiter.host, aWaiter.requestId }];
  grant.set_request_id(aWaiter.requestId);
  for (wire::QuotaPermits& permits : *grant.mutable_permits()) {
    if (permits.team() == aTeam) {
      return permits;
    }
  }
  wire::QuotaPermits& permits = *grant.add_permits();
  permits.set_team(aTeam);
  return permits;
}

void
QuotaBroker::OnRequest(const HostId& aFrom,
                       const wire::QuotaRequest& aRequest,
                       TimePoint aNow)
{
  for (const wire::QuotaWant& want : aRequest.wants()) {
    const std::uint32_t waiting = std::min(want.waiting(), want.count());
    Waiter waiter{ aFrom, aRequest.request_id(), waiting, aNow };
    if (!m_hooks.limitOf(TeamName(want.team()))) {
      // The lists of the entry host are newer or older than those here.
      ReplyTo(waiter, want.team()).set_unknown(true);
      m_counters.unknown += waiting;
      continue;
    }
    Team& team = m_teams.try_emplace(want.team(), aNow).first->second;
    team.usedAt = aNow;
    team.demand.Add({ static_cast<double>(want.count()), 0.0, 0.0 }, aNow);
    Refill(team, want.team(), aNow);
    if (waiting > 0) {
      team.waiters.push_back(waiter);
    }
    Serve(team, want.team());
    if (team.waiters.empty() && want.count() > waiting) {
      // At most half of what is left goes to requests that do not wait yet.
      const auto extra = std::min(static_cast<double>(want.count() - waiting),
                                  std::max(0.0, std::floor(team.level / 2)));
      team.level -= extra;
      m_counters.granted += static_cast<std::uint64_t>(extra);
      wire::QuotaPermits& permits = ReplyTo(waiter, want.team());
      permits.set_count(permits.count() + static_cast<std::uint32_t>(extra));
    }
    if (!team.waiters.empty()) {
      Settle(team, want.team(), aNow);
      team.askNow = team.askNow || Missing(team) > 0.0;
    }
  }
}

void
QuotaBroker::Serve(Team& aTeam, const std::string& aName)
{
  while (!aTeam.waiters.empty() && aTeam.level + kRounding >= 1.0) {
    Waiter& waiter = aTeam.waiters.front();
    const auto count =
      static_cast<std::uint32_t>(std::min(std::floor(aTeam.level + kRounding),
                                          static_cast<double>(waiter.missing)));
    aTeam.level = std::max(0.0, aTeam.level - count);
    waiter.missing -= count;
    m_counters.granted += count;
    wire::QuotaPermits& permits = ReplyTo(waiter, aName);
    permits.set_count(permits.count() + count);
    if (waiter.missing == 0) {
      aTeam.waiters.pop_front();
    }
  }
}

bool
QuotaBroker::IsLeaderSilent(TimePoint aNow) const
{
  return m_leader.IsEmpty() ||
         (m_unansweredSince && IsDue(*m_unansweredSince + kAskTimeout, aNow));
}

// When the share of this host yields another permit.
TimePoint
QuotaBroker::NextPermitHereAt(const Team& aTeam, TimePoint aNow) const
{
  const double missing = std::max(0.0, 1.0 - aTeam.level);
  return aTeam.rate > missing / kMaxSeconds
           ? aNow + FromSeconds(missing / aTeam.rate)
           : kNever;
}

// When the first waiting request can expect a permit.
TimePoint
QuotaBroker::NextPermitAt(const Team& aTeam, TimePoint aNow) const
{
  return std::min(NextPermitHereAt(aTeam, aNow), std::max(aTeam.nextAt, aNow));
}

// Replies to waiting requests that the leader has decided on, or that cannot
// wait any longer.
void
QuotaBroker::Settle(Team& aTeam, const std::string& aName, TimePoint aNow)
{
  const auto limit = m_hooks.limitOf(TeamName(aName));
  const bool hasLease = !IsDue(aTeam.expiresAt, aNow);
  std::deque<Waiter> left;
  for (const Waiter& waiter : aTeam.waiters) {
    const TimePoint until = waiter.arrivedAt + kHoldTime;
    // Without a recent refusal by the leader, its reply may have been lost.
    const bool isDecided =
      aTeam.canTell && hasLease &&
      (aTeam.refusedAt + kRefusalLifetime >= waiter.arrivedAt ||
       aTeam.nextAt > aNow);
    const bool isHopeless = isDecided && NextPermitAt(aTeam, aNow) > until;
    // Another control host may have a permit at hand.
    const bool refusedUntold =
      !aTeam.canTell && aTeam.refusedAt >= waiter.arrivedAt;
    const bool cannotTell =
      !limit || ((IsLeaderSilent(aNow) || refusedUntold) &&
                 NextPermitHereAt(aTeam, aNow) > until);
    if (cannotTell) {
      Refuse(aTeam, aName, waiter, true, aNow);
    } else if (isHopeless || IsDue(until, aNow)) {
      Refuse(aTeam, aName, waiter, !isDecided, aNow);
    } else {
      left.push_back(waiter);
    }
  }
  aTeam.waiters = std::move(left);
}

void
QuotaBroker::Refuse(Team& aTeam,
                    const std::string& aName,
                    const Waiter& aWaiter,
                    bool aUnknown,
                    TimePoint aNow)
{
  wire::QuotaPermits& permits = ReplyTo(aWaiter, aName);
  permits.set_lease_age_us((aNow - aTeam.leaseSentAt).count());
  if (aUnknown) {
    permits.set_unknown(true);
    m_counters.unknown += aWaiter.missing;
    return;
  }
  m_counters.denied += aWaiter.missing;
  // Callers that were refused within a second come back together; the quota
  // takes them one after the other.
  const auto limit = m_hooks.limitOf(TeamName(aName));
  const double demand = DemandOf(aTeam, aNow);
  const Duration backlog =
    limit && limit->rate > 0.0
      ? FromSeconds(std::min(ToSeconds(kMaxRetryAfter),
                             std::max(0.0, demand - limit->rate) / limit->rate))
      : kMaxRetryAfter;
  const Duration next =
    std::min<Duration>(kMaxRetryAfter, NextPermitAt(aTeam, aNow) - aNow);
  permits.set_retry_after_us(
    std::clamp<Duration>(next + backlog, kMinRetryAfter, kMaxRetryAfter)
      .count());
}

void
QuotaBroker::OnLease(const HostId& aFrom,
                     const wire::QuotaLease& aLease,
                     TimePoint aNow)
{
  const auto report = m_sentReports.find(aLease.report_id());
  // Since it reported in a newer term, its leader counts only what it held
  // then.
  if (aLease.term() != m_reportedTerm || aFrom != m_leader ||
      aLease.term() != m_term || report == m_sentReports.end() ||
      aLease.lease_id() <= m_newestLease) {
    return;
  }
  const TimePoint sentAt = report->second;
  const TimePoint expiresAt =
    sentAt + std::min(Duration(aLease.lifetime_us()), kQuotaLeaseLifetime);
  m_newestLease = aLease.lease_id();
  m_unansweredSince.reset();
  m_known = true;
  for (const wire::QuotaShare& share : aLease.shares()) {
    const auto it = m_teams.find(share.team());
    if (it == m_teams.end()) {
      continue; // given up meanwhile, and reported as not held
    }
    Team& team = it->second;
    Refill(team, share.team(), aNow);
    double asked = 0.0;
    std::erase_if(team.asked, [&](const Asked& aAsked) {
      asked += aAsked.reportId == aLease.report_id() ? aAsked.permits : 0.0;
      return aAsked.reportId <= aLease.report_id();
    });
    if (IsDue(expiresAt, aNow)) {
      continue;
    }
    const double rate = FromMilli(share.rate_milli());
    team.askNow = team.askNow || rate < (1.0 - kReportedChange) * team.rate;
    team.rate = rate;
    team.burst = FromMilli(share.burst_milli());
    team.expiresAt = expiresAt;
    team.leaseSentAt = sentAt;
    team.returned += std::max(0.0, team.level - team.burst);
    team.level =
      std::min(team.level + FromMilli(share.permits_milli()), team.burst);
    Refill(team, share.team(), aNow);
    team.nextAt = aNow;
    if (FromMilli(share.permits_milli()) + kRounding < asked) {
      team.refusedAt = sentAt;
      team.canTell = share.next_us() > 0;
      team.nextAt +=
        std::clamp(Duration(share.next_us()), Duration(), kMaxRetryAfter);
    }
    Serve(team, share.team());
    Settle(team, share.team(), aNow);
  }
}

void
QuotaBroker::Tick(TimePoint aNow)
{
  std::erase_if(m_sentReports, [aNow](const auto& aReport) {
    return IsDue(aReport.second + kQuotaLeaseLifetime, aNow);
  });
  for (auto it = m_teams.begin(); it != m_teams.end();) {
    Team& team = it->second;
    Refill(team, it->first, aNow);
    while (!team.asked.empty() && IsDue(team.asked.front().until, aNow)) {
      team.asked.pop_front();
    }
    if (!team.waiters.empty()) {
      Serve(team, it->first);
      Settle(team, it->first, aNow);
      team.askNow =
        team.askNow || (Missing(team) > 0.0 && IsDue(team.nextAt, aNow));
    }
    const bool isSilent = team.rate > 0.0 && IsSilent(team, aNow);
    team.askNow = team.askNow || (isSilent && !team.silenceReported);
    team.silenceReported = isSilent;
    // The next full report gives back the share of an idle team.
    const bool isIdle =
      team.waiters.empty() && IsDue(team.usedAt + kIdleLifetime, aNow);
    it = isIdle ? m_teams.erase(it) : std::next(it);
  }
  if (!IsDue(m_reportAt, aNow)) {
    return;
  }
  m_reportAt = aNow + kQuotaReportInterval;
  // A new leader waits for a report of each control host. After that, only
  // hosts with active teams report.
  if (!m_leader.IsEmpty() && m_hooks.hasLimits() &&
      (!m_teams.empty() || !m_known)) {
    const bool isFull = !m_known || IsDue(m_fullReportAt, aNow);
    Report(!isFull, true, aNow);
  }
}

void
QuotaBroker::Report(bool aPartial, bool aRegular, TimePoint aNow)
{
  wire::QuotaReport report;
  report.set_term(m_term);
  report.set_report_id(m_nextReport++);
  report.set_lease_id(m_newestLease);
  report.set_partial(aPartial);
  if (!aPartial) {
    m_fullReportAt = aNow + kFullReportInterval;
  }
  for (auto& [name, team] : m_teams) {
    Refill(team, name, aNow);
    const bool isListed =
      !aPartial || team.askNow ||
      (aRegular && (team.rate > 0.0 || team.level < kMinQuotaBurst));
    if (!isListed) {
      continue;
    }
    const double missing = Missing(team);
    wire::QuotaDemand* demand = report.add_demands();
    demand->set_team(name);
    demand->set_demand_milli(ToMilli(DemandOf(team, aNow)));
    // Rounded up, so that the leader never counts less than is held.
    demand->set_held_rate_milli(ToMilliUp(team.rate));
    demand->set_held_burst_milli(ToMilliUp(team.burst));
    demand->set_level_milli(ToMilli(team.level));
    demand->set_waiting_milli(ToMilliUp(missing));
    demand->set_returned_milli(ToMilli(team.returned));
    team.returned = 0.0;
    team.askNow = false;
    if (missing > 0.0) {
      team.asked.push_back({ report.report_id(), missing, aNow + kAskTimeout });
    }
  }
  if (m_term != m_reportedTerm) {
    m_reportedTerm = m_term;
    m_sentReports.clear();
    // Lease ids are counted by each leader.
    m_newestLease = 0;
    report.set_lease_id(0);
  }
  if (aPartial && report.demands().empty()) {
    return;
  }
  m_sentReports[report.report_id()] = aNow;
  m_unansweredSince = m_unansweredSince.value_or(aNow);
  ++m_counters.reports;
  m_hooks.sendReport(m_leader, report);
}

void
QuotaBroker::Flush(TimePoint aNow)
{
  const bool asks = std::ranges::any_of(
    m_teams, [](const auto& aTeam) { return aTeam.second.askNow; });
  if (asks && !m_leader.IsEmpty()) {
    // The leader accepts partial reports only after a full one in its term.
    Report(m_known, false, aNow);
  }
  for (const auto& [target, grant] : m_replies) {
    m_hooks.sendGrant(target.first, grant);
  }
  m_replies.clear();
}

} // namespace fuchsiaramp

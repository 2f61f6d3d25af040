#include "limits/plan_limiter.h"

#include <algorithm>
#include <utility>

#include "routing/rendezvous.h"

namespace fuchsiaramp {

static constexpr Duration kReportInterval = std::chrono::seconds(1);
static constexpr Duration kShareLifetime = std::chrono::seconds(3);
static constexpr Duration kIdleScopeLifetime = std::chrono::seconds(30);
static constexpr double kDemandSmoothing = 0.5;
// Share of a limit that is divided evenly among the hosts, so that a host with
// new demand can accept requests before it receives a share for its first
// report.
static constexpr double kEvenShare = 0.1;

PlanLimiter::PlanLimiter(HostId aSelf, PlanLimiterHooks aHooks, TimePoint aNow)
  : m_self(std::move(aSelf))
  , m_hooks(std::move(aHooks))
  , m_reportAt(aNow + kReportInterval)
  , m_lastReport(aNow)
{
}

double
PlanLimiter::FallbackRate(double aLimit) const
{
  const std::size_t hosts =
    std::max<std::size_t>(1, m_hooks.aliveHosts().size());
  return aLimit / static_cast<double>(hosts);
}

bool
PlanLimiter::TryTake(const std::string& aScope, double aLimit, TimePoint aNow)
{
  if (aLimit <= 0.0) {
    return true;
  }
  auto it = m_scopes.find(aScope);
  if (it == m_scopes.end()) {
    it = m_scopes
           .emplace(aScope,
                    Scope{ aLimit,
                           TokenBucket(FallbackRate(aLimit), aNow),
                           0,
                           0.0,
                           TimePoint(),
                           aNow })
           .first;
  }
  Scope& scope = it->second;
  if (scope.limit != aLimit) {
    scope.limit = aLimit;
    scope.bucket.SetRate(FallbackRate(aLimit), aNow);
  }
  scope.usedAt = aNow;
  ++scope.requestCount;
  return scope.bucket.TryTake(aNow);
}

TimePoint
PlanLimiter::NextAt(const std::string& aScope, TimePoint aNow)
{
  const auto it = m_scopes.find(aScope);
  return it == m_scopes.end() ? aNow : it->second.bucket.NextAt(aNow);
}

void
PlanLimiter::Tick(TimePoint aNow)
{
  if (!IsDue(m_reportAt, aNow)) {
    return;
  }
  const double span = std::max(0.001, ToSeconds(aNow - m_lastReport));
  m_reportAt = aNow + kReportInterval;
  m_lastReport = aNow;
  const std::vector<HostId> hosts = m_hooks.aliveHosts();
  std::unordered_map<HostId, wire::LimitReport> reports;
  for (auto it = m_scopes.begin(); it != m_scopes.end();) {
    Scope& scope = it->second;
    if (IsDue(scope.usedAt + kIdleScopeLifetime, aNow)) {
      it = m_scopes.erase(it);
      continue;
    }
    const double rate = static_cast<double>(scope.requestCount) / span;
    scope.demand += kDemandSmoothing * (rate - scope.demand);
    scope.requestCount = 0;
    if (IsDue(scope.shareUntil, aNow)) {
      scope.bucket.SetRate(FallbackRate(scope.limit), aNow);
    }
    wire::LimitUsage* usage =
      reports[RendezvousFirst(it->first, hosts)].add_usage();
    usage->set_scope(it->first);
    usage->set_demand_milli(static_cast<std::uint64_t>(scope.demand * 1000));
    usage->set_limit_milli(static_cast<std::uint64_t>(scope.limit * 1000));
    ++it;
  }
  for (const auto& [host, report] : reports) {
    if (host == m_self) {
      OnReport(m_self, report, aNow);
    } else {
      m_hooks.send(host, report);
    }
  }
}

void
PlanLimiter::OnReport(const HostId& aFrom,
                      const wire::LimitReport& aReport,
                      TimePoint aNow)
{
  for (const wire::LimitShare& share : aReport.shares()) {
    const auto it = m_scopes.find(share.scope());
    if (it != m_scopes.end()) {
      it->second.bucket.SetRate(
        static_cast<double>(share.rate_milli()) / 1000.0, aNow);
      it->second.shareUntil = aNow + Duration(share.lifetime_us());
    }
  }
  if (aReport.usage_size() == 0) {
    return;
  }
  wire::LimitReport reply;
  for (const wire::LimitUsage& usage : aReport.usage()) {
    Allocate(aFrom, usage, reply, aNow);
  }
  if (aFrom == m_self) {
    OnReport(m_self, reply, aNow);
  } else {
    m_hooks.send(aFrom, reply);
  }
}

void
PlanLimiter::Allocate(const HostId& aFrom,
                      const wire::LimitUsage& aUsage,
                      wire::LimitReport& aReply,
                      TimePoint aNow)
{
  Allocation& allocation = m_allocations[aUsage.scope()];
  allocation.limit = static_cast<double>(aUsage.limit_milli()) / 1000.0;
  allocation.demands[aFrom] = {
    static_cast<double>(aUsage.demand_milli()) / 1000.0, aNow + kShareLifetime
  };
  double total = 0.0;
  for (auto it = allocation.demands.begin(); it != allocation.demands.end();) {
    if (IsDue(it->second.validUntil, aNow)) {
      it = allocation.demands.erase(it);
      continue;
    }
    total += it->second.rate;
    ++it;
  }
  const double evenRate = kEvenShare * FallbackRate(allocation.limit);
  const double proportionalRate = total > 0.0
                                    ? (1.0 - kEvenShare) * allocation.limit *
                                        allocation.demands[aFrom].rate / total
                                    : 0.0;
  wire::LimitShare* share = aReply.add_shares();
  share->set_scope(aUsage.scope());
  share->set_rate_milli(
    static_cast<std::uint64_t>((evenRate + proportionalRate) * 1000));
  share->set_lifetime_us(kShareLifetime.count());
}

} // namespace fuchsiaramp

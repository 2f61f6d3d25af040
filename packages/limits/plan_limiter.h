// Rate limits of customers and routes over all entry hosts.
//
// For each scope one live entry host, found by rendezvous, allocates the limit:
// hosts report their demand and receive shares in proportion, with a lifetime.
// Without a current share a host uses the limit divided by the number of live
// hosts. During a partition each side allocates the whole limit, so the worst
// overshoot is the number of sides.
//
//   if (!limiter.TryTake(scope, limit, now)) { ... limiter.NextAt(scope, now) }
//   limiter.Tick(now);
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "limits/token_bucket.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct PlanLimiterHooks
{
  std::function<void(const HostId&, const wire::LimitReport&)> send;
  std::function<std::vector<HostId>()> aliveHosts;
};

class PlanLimiter
{
public:
  PlanLimiter(HostId aSelf, PlanLimiterHooks aHooks, TimePoint aNow);

  // aLimit: requests a second over the fleet; 0 means no limit.
  bool TryTake(const std::string& aScope, double aLimit, TimePoint aNow);
  // When a request of the scope may be accepted again.
  TimePoint NextAt(const std::string& aScope, TimePoint aNow);
  void OnReport(const HostId& aFrom,
                const wire::LimitReport& aReport,
                TimePoint aNow);
  void Tick(TimePoint aNow);
  std::size_t ScopeCount() const { return m_scopes.size(); }

private:
  struct Scope
  {
    double limit = 0.0;
    TokenBucket bucket;
    std::uint64_t asked = 0; // requests since the last report
    double demand = 0.0;     // requests a second, smoothed
    TimePoint shareUntil;
    TimePoint usedAt;
  };

  struct Demand
  {
    double rate = 0.0; // requests a second
    TimePoint validUntil;
  };

  struct Allocation
  {
    double limit = 0.0;
    std::unordered_map<HostId, Demand> demands;
  };

  void Allocate(const HostId& aFrom,
                const wire::LimitUsage& aUsage,
                wire::LimitReport& aReply,
                TimePoint aNow);
  double FallbackRate(double aLimit) const;

  HostId m_self;
  PlanLimiterHooks m_hooks;
  std::unordered_map<std::string, Scope> m_scopes;
  std::unordered_map<std::string, Allocation> m_allocations;
  TimePoint m_reportAt;
  TimePoint m_lastReport;
};

} // namespace fuchsiaramp

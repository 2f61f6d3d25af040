// Rate limits of customers and routes across all entry hosts.
//
// For each scope, one live entry host, selected by rendezvous hashing,
// allocates the limit: hosts report their demand and receive proportional
// shares with a limited lifetime. A host without a valid share uses the limit
// divided by the number of live hosts. During a network partition each side
// allocates the whole limit, so the total rate is at most the limit times the
// number of sides.
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

  // aLimit: requests per second across the fleet; 0 means no limit.
  bool TryTake(const std::string& aScope, double aLimit, TimePoint aNow);
  // Returns the time at which the scope can next accept a request.
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
    std::uint64_t requestCount = 0; // since the last report
    double demand = 0.0;            // requests per second, smoothed
    TimePoint shareUntil;
    TimePoint usedAt;
  };

  struct Demand
  {
    double rate = 0.0; // requests per second
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

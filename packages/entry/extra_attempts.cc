#include "entry/extra_attempts.h"

#include <algorithm>

namespace fuchsiaramp {

// A percentile of fewer responses says little; until then, no second attempt
// starts.
static constexpr int kMinResponses = 20;
static constexpr int kUpdateInterval = 16; // responses
// The latency that a second attempt must have left, as for queued requests.
static constexpr double kExpectedQuantile = 0.85;
// Hosts check every 20 ms whether a second attempt is due.
static constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
// Routes of one service with a latency of their own, to bound the memory. Lists
// have a few routes for each service.
static constexpr std::size_t kMaxRoutes = 256;
static constexpr Duration kWindow = std::chrono::seconds(10);
// Hosts repeat their load every 250 ms while it is not zero.
static constexpr Duration kPeerLifetime = std::chrono::milliseconds(600);
// Messages of other hosts may hold any number. Above what a host can receive.
static constexpr std::uint32_t kMaxPeerCount = 1'000'000;

const char*
ToText(ExtraAttemptDecision aDecision)
{
  switch (aDecision) {
    case ExtraAttemptDecision::kStart:
      return "started";
    case ExtraAttemptDecision::kTooLate:
      return "too-late";
    case ExtraAttemptDecision::kCapacity:
      return "capacity";
    case ExtraAttemptDecision::kShare:
      return "share";
    case ExtraAttemptDecision::kBudget:
      return "budget";
    case ExtraAttemptDecision::kServers:
      break;
  }
  return "servers";
}

void
RecentCount::Add(TimePoint aNow)
{
  const std::int64_t index = ToMicros(aNow) / kStep.count();
  Step& step = m_steps[static_cast<std::size_t>(index) % m_steps.size()];
  if (step.index != index) {
    step = { index, 0 };
  }
  ++step.count;
}

std::uint32_t
RecentCount::Sum(std::int64_t aSteps, TimePoint aNow) const
{
  const std::int64_t now = ToMicros(aNow) / kStep.count();
  std::uint32_t sum = 0;
  for (const Step& step : m_steps) {
    sum += step.index > now - aSteps && step.index <= now ? step.count : 0;
  }
  return sum;
}

ExtraAttempts::ExtraAttempts(ExtraAttemptOptions aOptions)
  : m_options(aOptions)
{
}

void
ExtraAttempts::OnRequest(TimePoint aNow)
{
  m_requests.Add(aNow);
}

ExtraAttempts::RouteLatency&
ExtraAttempts::FindOrCreate(const std::string& aRoute, TimePoint aNow)
{
  auto it = m_routes.find(aRoute);
  if (it == m_routes.end()) {
    if (m_routes.size() >= kMaxRoutes) {
      m_routes.erase(
        std::min_element(m_routes.begin(),
                         m_routes.end(),
                         [](const auto& aLeft, const auto& aRight) {
                           return aLeft.second.usedAt < aRight.second.usedAt;
                         }));
    }
    it = m_routes.try_emplace(aRoute).first;
  }
  it->second.usedAt = aNow;
  return it->second;
}

const ExtraAttempts::RouteLatency*
ExtraAttempts::FindKnown(const std::string& aRoute) const
{
  const auto it = m_routes.find(aRoute);
  return it == m_routes.end() || it->second.responses < kMinResponses
           ? nullptr
           : &it->second;
}

void
ExtraAttempts::Add(RouteLatency& aRoute, Duration aLatency)
{
  aRoute.tracker.Add(aLatency);
  aRoute.responses = std::min(aRoute.responses + 1, kMinResponses);
  if (--aRoute.responsesUntilUpdate <= 0 && aRoute.responses == kMinResponses) {
    aRoute.responsesUntilUpdate = kUpdateInterval;
    aRoute.delay = std::max(m_options.minDelay,
                            aRoute.tracker.Quantile(m_options.delayQuantile));
    aRoute.expected = aRoute.tracker.Quantile(kExpectedQuantile);
  }
}

void
ExtraAttempts::OnResponse(const std::string& aRoute,
                          Duration aLatency,
                          TimePoint aNow)
{
  Add(FindOrCreate(aRoute, aNow), aLatency);
}

// Without the attempts that lost, only fast responses would be counted, and the
// percentile would fall until every request got a second attempt. One that was
// cancelled below the percentile does not show on which side it would have
// been, so it is not counted.
void
ExtraAttempts::OnCancelled(const std::string& aRoute,
                           Duration aElapsed,
                           TimePoint aNow)
{
  const RouteLatency* known = FindKnown(aRoute);
  if (known != nullptr && aElapsed >= known->delay) {
    Add(FindOrCreate(aRoute, aNow), aElapsed);
  }
}

void
ExtraAttempts::OnPeerCounts(const HostId& aPeer,
                            const ExtraAttemptCounts& aCounts,
                            TimePoint aNow)
{
  std::erase_if(m_peers, [aNow](const auto& aItem) {
    return IsDue(aItem.second.receivedAt + kWindow, aNow);
  });
  if (aCounts.requests == 0 && aCounts.extraAttempts == 0) {
    m_peers.erase(aPeer);
    return;
  }
  m_peers[aPeer] = { { std::min(aCounts.requests, kMaxPeerCount),
                       std::min(aCounts.extraAttempts, kMaxPeerCount) },
                     aNow };
}

std::optional<Duration>
ExtraAttempts::Delay(const std::string& aRoute) const
{
  const RouteLatency* known = FindKnown(aRoute);
  return known == nullptr ? std::nullopt : std::optional(known->delay);
}

std::optional<TimePoint>
ExtraAttempts::StartAt(const std::string& aRoute,
                       const ExtraAttemptTimes& aTimes) const
{
  const RouteLatency* known = FindKnown(aRoute);
  if (known == nullptr || m_options.share <= 0.0) {
    return std::nullopt;
  }
  const TimePoint usual = aTimes.startedAt + known->delay;
  const TimePoint latest = aTimes.endBy - known->expected - kCheckInterval;
  // Where even the earliest one would be too late, the denial is counted for
  // slow attempts only.
  return latest < aTimes.startedAt + m_options.minDelay
           ? usual
           : std::min(usual, latest);
}

ExtraAttemptDecision
ExtraAttempts::Decide(const ExtraAttemptSituation& aSituation,
                      TimePoint aNow) const
{
  const RouteLatency* known = FindKnown(aSituation.route);
  if (known == nullptr || aNow + known->expected > aSituation.endBy) {
    return ExtraAttemptDecision::kTooLate;
  }
  if (aSituation.queued > 0 || aSituation.busyShare > m_options.maxBusyShare) {
    return ExtraAttemptDecision::kCapacity;
  }
  const ExtraAttemptCounts cell = CellCounts(aNow);
  if (cell.extraAttempts + 1.0 > m_options.share * cell.requests) {
    return ExtraAttemptDecision::kShare;
  }
  return aSituation.hasBudget ? ExtraAttemptDecision::kStart
                              : ExtraAttemptDecision::kBudget;
}

void
ExtraAttempts::OnStarted(TimePoint aNow)
{
  m_extraAttempts.Add(aNow);
}

ExtraAttemptCounts
ExtraAttempts::OwnCounts(TimePoint aNow) const
{
  return { m_requests.AtMost(aNow), m_extraAttempts.AtLeast(aNow) };
}

ExtraAttemptCounts
ExtraAttempts::CellCounts(TimePoint aNow) const
{
  ExtraAttemptCounts counts = OwnCounts(aNow);
  for (const auto& [host, peer] : m_peers) {
    if (IsDue(peer.receivedAt + kWindow, aNow)) {
      continue;
    }
    counts.extraAttempts += peer.counts.extraAttempts;
    if (!IsDue(peer.receivedAt + kPeerLifetime, aNow)) {
      counts.requests += peer.counts.requests;
    }
  }
  return counts;
}

} // namespace fuchsiaramp
